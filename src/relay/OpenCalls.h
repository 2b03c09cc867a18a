/// The leader's calls that a relay is making: each ends exactly once, with its
/// answer, in doubt when its time is over, or when the way to the relay is
/// lost.
///
/// Does no I/O and reads no clock.
#pragma once

#include "relay/RelayFrames.h"

#include <functional>
#include <queue>
#include <unordered_map>
#include <vector>

namespace lacewing::relay {

class OpenCalls
{
public:
  using Done = std::function<void(const Answer&)>;

  /// A call that ends in doubt at the time, unless it is answered before.
  CallId Add(Time aUntil, Done aDone);
  /// Ends the call. An answer to a call that has ended is ignored.
  void OnAnswer(const Answer& aAnswer);
  /// Ends the calls whose time is over.
  void Expire(Time aNow);
  /// Ends all calls. Those from `aFirstUnsent` on have not left this process,
  /// so they are known not to have been sent; the others are in doubt.
  void Abandon(CallId aFirstUnsent);
  std::size_t Size() const { return m_calls.size(); }

private:
  using Expiry = std::pair<Time, CallId>;

  void End(const Answer& aAnswer);

  CallId m_last = 0;
  std::unordered_map<CallId, Done> m_calls;
  /// By time; also of calls that were answered.
  std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> m_expiries;
};

} // namespace lacewing::relay
