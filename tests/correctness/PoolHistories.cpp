/// Guards against doubled runs, workers above their room, teams above their
/// limit and lost jobs in random histories of a pool with faults. Checks are
/// made at the workers.
#include "fakes/PoolWorld.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

constexpr std::uint64_t kSeeds = 40;

void
ExpectGood(const PoolWorldOptions& aOptions)
{
  PoolWorld world(aOptions);
  world.Run();
  EXPECT_GT(world.Jobs(), 50U) << "seed " << aOptions.m_seed;
  EXPECT_EQ(world.Completed(), world.Jobs()) << "seed " << aOptions.m_seed;
  for (const std::string& violation : world.Violations()) {
    ADD_FAILURE() << "seed " << aOptions.m_seed << ": " << violation;
  }
}

TEST(PoolHistories, CalmPoolCompletesAllJobs)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    ExpectGood({ seed, 5, false, false, false });
  }
}

TEST(PoolHistories, ChangesOfTheLeaderLoseAndDoubleNothing)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ExpectGood({ seed, 5, true, false, false });
  }
}

TEST(PoolHistories, SilentWorkersAndLateOrdersLoseAndDoubleNothing)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ExpectGood({ seed, 5, false, true, true });
  }
}

TEST(PoolHistories, AllFaultsTogetherLoseAndDoubleNothing)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ExpectGood({ seed, 5, true, true, true });
  }
}

TEST(PoolHistories, ChecksNoticeASuccessorThatDoesNotWait)
{
  std::size_t violations = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    PoolWorldOptions options{ seed, 5, true, true, true };
    options.m_waitForPreviousWorkers = false;
    PoolWorld world(options);
    world.Run();
    violations += world.Violations().size();
  }
  EXPECT_GT(violations, 0U);
}

} // namespace

} // namespace lacewing::fakes
