/// Guards against a leader whose load grows with the callers that wait.
/// Load pattern: a backlog, and thousands of callers that ask for the states of
/// its jobs again and again.
#include "edge/JobViewCache.h"

#include <gtest/gtest.h>

namespace lacewing::edge {

namespace {

constexpr Time kStart{ seconds(1000) };
const JobId kJob("00000000000000a1");
const JobView kRunning{ pool::JobState::Running, TeamId("team") };

TEST(EdgeJobViewCache, LeaderThatIsNotBusyIsAlwaysAsked)
{
  JobViewCache cache;
  cache.Put(kStart, kJob, kRunning);
  EXPECT_FALSE(cache.Find(kStart, kJob, ViewValidity(milliseconds(3))));
}

TEST(EdgeJobViewCache, BusyLeaderIsAskedLessOften)
{
  JobViewCache cache;
  const Duration validity = ViewValidity(milliseconds(50));
  int asked = 0;
  for (int tick = 0; tick < 1000; tick += 10) {
    const Time now = kStart + milliseconds(tick);
    if (!cache.Find(now, kJob, validity)) {
      ++asked;
      cache.Put(now, kJob, kRunning);
    }
  }
  EXPECT_LE(asked, 6);
  EXPECT_GE(asked, 2);
}

TEST(EdgeJobViewCache, NoStateIsShownForLongHoweverBusyTheLeaderIs)
{
  JobViewCache cache;
  cache.Put(kStart, kJob, kRunning);
  EXPECT_FALSE(
    cache.Find(kStart + milliseconds(501), kJob, ViewValidity(seconds(60))));
}

/// The caller's own cancellation is to be seen by it at once.
TEST(EdgeJobViewCache, CancelledJobIsAskedForAgain)
{
  JobViewCache cache;
  cache.Put(kStart, kJob, kRunning);
  cache.Erase(kJob);
  EXPECT_FALSE(cache.Find(kStart, kJob, seconds(1)));
}

TEST(EdgeJobViewCache, OldStatesAreRemoved)
{
  JobViewCache cache;
  for (int number = 0; number < 10'000; ++number) {
    cache.Put(
      kStart + milliseconds(number), JobId(std::to_string(number)), kRunning);
  }
  EXPECT_LE(cache.size(), 2001U);
}

} // namespace

} // namespace lacewing::edge
