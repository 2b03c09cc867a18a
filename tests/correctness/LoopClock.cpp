/// Guards against leases that outlast a suspension of the VM: the clock of the
/// process must count that time.
#include "net/Loop.h"

#include <gtest/gtest.h>

#include <ctime>

namespace lacewing::net {

namespace {

Time
TimeSinceBoot()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Time(std::chrono::duration_cast<Duration>(
    seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

/// On a machine that has never been suspended this also holds for a clock that
/// stops meanwhile.
TEST(LoopClock, ReadsTheTimeSinceBoot)
{
  const Time before = TimeSinceBoot();
  const Time now = Loop::Now();
  EXPECT_LE(before, now);
  EXPECT_LE(now, TimeSinceBoot());
}

} // namespace

} // namespace lacewing::net
