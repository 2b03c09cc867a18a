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
    for (std::uint64_t seed = aSeed; seed < aSeed + 10; ++seed) {
      for (const auto mutation :
           { HeartbeatMutation::None, HeartbeatMutation::HiddenRestart }) {
        RC_ASSERT(HeartbeatPair(seed, aSameRegion, mutation).Run() == "");
      }
    }
  }));
}

TEST(HeartbeatDeltas, ReleaseIsRepeatedAtOnceUntilItIsAcknowledged)
{
  daemon::HeartbeatPlan plan;
  const VmId other("other");
  const peer::Heartbeat idle;
  Time now{ seconds(1) };
  const auto next = [&](const peer::Heartbeat& aState) {
    now += daemon::kHeartbeatTick;
    return plan.Next(now, other, false, aState);
  };
  const auto first = next(idle);
  plan.OnReply({ other, 1 }, { first->m_sequence, false });
  EXPECT_FALSE(next(idle).has_value());
  peer::Heartbeat released;
  released.m_released = { { SliceId("a"), 3, {} } };
  ASSERT_EQ(next(released)->m_released, released.m_released);
  const auto last = next(idle);
  ASSERT_EQ(last->m_released, released.m_released);
  plan.OnReply({ other, 1 }, { last->m_sequence, false });
  EXPECT_TRUE(next(idle)->m_released.empty()); // the period of 2 s
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
