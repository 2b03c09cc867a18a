/// Guards against cancelled work that starts or keeps its room.
#include "fakes/SchedFleet.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

TEST(SchedCancellationWave, LeavesOnlyTheOtherJobs)
{
  auto scheduler = MakeSlice(1);
  const Time now = Time() + seconds(1);
  constexpr int kJobs = 1000;
  for (int number = 0; number < kJobs; ++number) {
    scheduler.Submit(
      now, MakeJob("j" + std::to_string(number), "t", 10, { 1000, 1024, 0 }));
  }
  for (int number = 0; number + 1 < kJobs; ++number) {
    EXPECT_TRUE(scheduler.Cancel(now, JobId("j" + std::to_string(number))));
  }
  EXPECT_EQ(scheduler.TakeFinished().size(), kJobs - 1);
  EXPECT_EQ(scheduler.Usage(TeamId("t")).m_waitingMillicores, 10'000);
  for (const auto& action : scheduler.Decide(now, 100)) {
    EXPECT_EQ(action.m_task.m_job, JobId("j999"));
  }
}

TEST(SchedCancellationWave, StopsRunningTasksAndKeepsTheirRoomUntilTheyEnd)
{
  auto scheduler = MakeSlice(1);
  const Time now = Time() + seconds(1);
  scheduler.Submit(now, MakeJob("j", "t", 1, { 8000, 1024, 0 }));
  scheduler.Decide(now, 10);
  EXPECT_TRUE(scheduler.Cancel(now, JobId("j")));
  scheduler.Submit(now, MakeJob("k", "t", 1, { 8000, 1024, 0 }));
  const auto stops = scheduler.Decide(now, 10);
  ASSERT_EQ(stops.size(), 1U);
  EXPECT_EQ(stops[0].m_kind, sched::ActionKind::Stop);
  EXPECT_TRUE(scheduler.TakeFinished().empty());
  End(scheduler, now, stops[0], worker::TaskOutcome::Stopped);
  EXPECT_EQ(scheduler.TakeFinished(), std::vector<JobId>{ JobId("j") });
  EXPECT_EQ(scheduler.Decide(now, 10).size(), 1U);
  EXPECT_TRUE(scheduler.Forget(JobId("j")));
  EXPECT_FALSE(scheduler.JobStatus(JobId("j")).has_value());
}

} // namespace lacewing::fakes
