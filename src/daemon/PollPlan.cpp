#include "daemon/PollPlan.h"

#include <algorithm>

namespace lacewing::daemon {

namespace {

constexpr Duration kMinWait = milliseconds(100);
/// Before the declared end, which may be far off: a task that fails at once is
/// noticed after a second.
constexpr Duration kMinWaitBeforeEnd = seconds(1);
/// Above the period of the renewals (5 s), which show the ends as well, so that
/// no polls are sent for long tasks.
constexpr Duration kMaxWait = seconds(6);
/// A poll waits for this part of the time that the task has run, or is overdue.
constexpr int kWaitPart = 4;

} // namespace

Duration
PollWait(Time aNow, const ExpectedRun& aRun)
{
  if (aNow >= aRun.m_end) {
    return std::clamp<Duration>(
      (aNow - aRun.m_end) / kWaitPart, kMinWait, kMaxWait);
  }
  const Duration byAge = std::clamp<Duration>(
    (aNow - aRun.m_start) / kWaitPart, kMinWaitBeforeEnd, kMaxWait);
  return std::max<Duration>(std::min<Duration>(aRun.m_end - aNow, byAge),
                            kMinWait);
}

} // namespace lacewing::daemon
