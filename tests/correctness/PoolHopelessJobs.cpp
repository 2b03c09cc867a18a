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

} // namespace

} // namespace lacewing::fakes
