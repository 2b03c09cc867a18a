#include "relay/OrderGate.h"

#include <algorithm>

namespace lacewing::relay {

Time
OrderGate::Beat(Time aNow)
{
  m_firstBeat = std::min(m_firstBeat, aNow);
  return aNow;
}

OrderVerdict
OrderGate::Check(Time aNow, const OrderFrame& aFrame, CallId aCall)
{
  if (aCall <= m_lastCall) {
    return OrderVerdict::Repeated;
  }
  m_lastCall = aCall;
  m_fence.OnTerm(aFrame.m_term);
  if (m_fence.IsSuperseded(aFrame.m_term)) {
    return OrderVerdict::Superseded;
  }
  // The leader had received the beat as it sent the frame, so the frame is not
  // older than the beat. A beat that this connection has not sent tells
  // nothing.
  const bool known = aFrame.m_beat >= m_firstBeat && aFrame.m_beat <= aNow;
  return known && aNow - aFrame.m_beat <= kOrderLifetime
           ? OrderVerdict::Accepted
           : OrderVerdict::Late;
}

} // namespace lacewing::relay
