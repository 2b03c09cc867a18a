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
  // The leader had heard this clock as it decided on the orders, so they are
  // not older than the beat. A time before the first beat of this connection,
  // or after the present, tells nothing.
  const bool known = aFrame.m_beat >= m_firstBeat && aFrame.m_beat <= aNow;
  return known && aNow - aFrame.m_beat <= kOrderLifetime
           ? OrderVerdict::Accepted
           : OrderVerdict::Late;
}

} // namespace lacewing::relay
