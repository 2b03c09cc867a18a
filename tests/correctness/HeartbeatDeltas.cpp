/// Guards against heartbeat deltas after which a receiver keeps old loads or
/// usages, or mixes two processes of one VM, when heartbeats or replies are
/// lost or delayed and either side restarts. Each check is shown to notice the
/// loss of its mechanism.
#include "fakes/HeartbeatPair.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace lacewing::fakes {

namespace {

bool
IsCaught(HeartbeatMutation aMutation,
         bool aSameRegion,
         const std::string& aText)
{
  constexpr std::uint64_t kSeeds = 200;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto wrong = HeartbeatPair(seed, aSameRegion, aMutation).Run();
    if (wrong.find(aText) != std::string::npos) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST(HeartbeatDeltas, ViewFollowsTheStateInAnyOrderOfFaults)
{
  EXPECT_TRUE(rc::check([](std::uint64_t aSeed, bool aSameRegion) {
    const auto wrong =
      HeartbeatPair(aSeed, aSameRegion, HeartbeatMutation::None).Run();
    RC_ASSERT(wrong == "");
  }));
}

TEST(HeartbeatDeltas, ViewFollowsTheStateForManySeeds)
{
  constexpr std::uint64_t kSeeds = 500;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const bool sameRegion : { false, true }) {
      for (const auto mutation :
           { HeartbeatMutation::None, HeartbeatMutation::HiddenRestart }) {
        ASSERT_EQ(HeartbeatPair(seed, sameRegion, mutation).Run(), "")
          << "seed " << seed << ", same region " << sameRegion;
      }
    }
  }
}

TEST(HeartbeatDeltas, ChecksNoticeEachMutation)
{
  EXPECT_TRUE(IsCaught(HeartbeatMutation::NoBaseCheck, true, "older than 2 s"));
  EXPECT_TRUE(IsCaught(HeartbeatMutation::AckOnSend, true, "older than 2 s"));
  EXPECT_TRUE(
    IsCaught(HeartbeatMutation::NoProcessCheck, false, "two processes"));
  EXPECT_TRUE(
    IsCaught(HeartbeatMutation::NoSequenceCheck, true, "older than 2 s"));
  EXPECT_TRUE(IsCaught(HeartbeatMutation::LateTeams, true, "2 s: team"));
  EXPECT_TRUE(IsCaught(HeartbeatMutation::LateLoads, true, "500 ms: slice"));
}

} // namespace lacewing::fakes
