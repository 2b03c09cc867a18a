/// Guards against jobs that can never be done and keep workers from all other
/// work, under drawn orders of ends, inventories, restarts and changes of the
/// leader.
#include "fakes/HopelessLoad.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

constexpr std::uint64_t kSeeds = 40;
/// Work that has nothing running beside idle workers for longer counts as lost.
constexpr Duration kLongestStandstill = seconds(3);

/// Plays the load with each seed and checks that no work stands still.
void
CheckSeeds(HopelessLoadOptions aOptions)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    aOptions.m_seed = seed;
    HopelessLoad load(aOptions);
    load.Run();
    EXPECT_LT(load.LongestStandstill(), kLongestStandstill) << "seed " << seed;
    EXPECT_TRUE(load.AllDecided()) << "seed " << seed;
  }
}

/// Failures of hopeless jobs that come in any order must not take the workers
/// out of use.
TEST(PoolHopelessJobs, AnyOrderOfEndsLeavesThePoolUsable)
{
  CheckSeeds({});
}

/// A task that is done among many that fail must not turn their failures
/// against the workers.
TEST(PoolHopelessJobs, FewDoneTasksLeaveThePoolUsable)
{
  HopelessLoadOptions options;
  options.m_soundTasks = 1;
  CheckSeeds(options);
  options.m_soundTasks = 8;
  CheckSeeds(options);
}

/// Many hopeless jobs that are narrow fail on a worker each.
TEST(PoolHopelessJobs, ManyNarrowJobsLeaveThePoolUsable)
{
  HopelessLoadOptions options;
  options.m_hopelessJobs = 12;
  options.m_width = 8;
  CheckSeeds(options);
}

/// A successor knows nothing of what was seen before it.
TEST(PoolHopelessJobs, ChangeOfTheLeaderLeavesThePoolUsable)
{
  HopelessLoadOptions options;
  options.m_changesLeader = true;
  CheckSeeds(options);
}

/// A worker that returns has forgotten its ends.
TEST(PoolHopelessJobs, RestartOfAWorkerLeavesThePoolUsable)
{
  HopelessLoadOptions options;
  options.m_restartsWorker = true;
  options.m_changesLeader = true;
  CheckSeeds(options);
}

/// Failed tasks of a job that was known to be hopeless were started again at
/// once and at full width, so that tasks which are a little larger found no
/// room until its attempts were used up.
TEST(PoolHopelessJobs, RetriesLeaveRoomForOthers)
{
  HopelessLoadOptions options;
  options.m_attempts = 6;
  options.m_ordinaryAfter = milliseconds(2500);
  options.m_endsTogether = true;
  for (options.m_seed = 1; options.m_seed <= kSeeds; ++options.m_seed) {
    HopelessLoad load(options);
    load.Run();
    EXPECT_LT(load.LongestWait(), kLongestStandstill)
      << "seed " << options.m_seed;
    EXPECT_TRUE(load.AllDecided()) << "seed " << options.m_seed;
    // The first runs of all tasks, and the attempts of one task of each job.
    EXPECT_LE(load.FailedRuns(), 2 * (48 + 6)) << "seed " << options.m_seed;
  }
}

/// A successor started the failed tasks of hopeless jobs at full width again.
TEST(PoolHopelessJobs, SuccessorTriesWhatHasFailedBeforeWithOneTask)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2") });
  fixture.ReportAllIdle();
  pool::JobProgress progress;
  progress.m_state = pool::JobState::Running;
  for (std::uint32_t task = 0; task < 4; ++task) {
    progress.m_tasks[{ 0, task }] = { false, { 1 }, {} };
  }
  progress.m_tasks[{ 0, 2 }].m_failedRuns = { 1, 2 };
  fixture.m_scheduler.AddJob(kStart,
                             PoolJob("bad", kPatientQueue, { PoolStep(16) }),
                             {},
                             progress,
                             pool::JobOrigin::Unseen);
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].m_task.m_index, 2U) << "has the fewest attempts left";
}

} // namespace

} // namespace lacewing::fakes
