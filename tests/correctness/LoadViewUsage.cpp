/// Guards against teams that are missing from the told usage, or that keep the
/// usage of an earlier heartbeat.
#include "daemon/LoadView.h"
#include "peer/PeerCodec.h"

#include <gtest/gtest.h>

namespace lacewing::daemon {

namespace {

const TeamId kAssessors("assessors");
const TeamId kBuyers("buyers");
const TeamId kCustoms("customs");

peer::Heartbeat
BeatOf(const std::string& aVm, const std::map<TeamId, peer::TeamUsage>& aUsages)
{
  peer::Heartbeat beat;
  beat.m_vm = VmId(aVm);
  beat.m_teams = UsagesToTell(aUsages);
  return beat;
}

} // namespace

TEST(LoadViewUsage, TellsEachKindOfUsageAndNoZero)
{
  const auto told = UsagesToTell({ { kAssessors, { {}, 2'000, 0, 0 } },
                                   { kBuyers, { {}, 0, 3, 0 } },
                                   { kCustoms, { {}, 0, 0, 500 } },
                                   { TeamId("idle"), {} } });
  ASSERT_EQ(told.size(), 3U);
  EXPECT_EQ(told[0], (peer::TeamUsage{ kAssessors, 2'000, 0, 0 }));
  EXPECT_EQ(told[1], (peer::TeamUsage{ kBuyers, 0, 3, 0 }));
  EXPECT_EQ(told[2], (peer::TeamUsage{ kCustoms, 0, 0, 500 }));
}

TEST(LoadViewUsage, TeamThatIsNoLongerToldUsesNothing)
{
  LoadView view;
  view.OnHeartbeat(Time(),
                   BeatOf("entry-1", { { kBuyers, { {}, 100, 2, 30 } } }));
  view.OnHeartbeat(Time(),
                   BeatOf("entry-2", { { kBuyers, { {}, 10, 1, 3 } } }));
  EXPECT_EQ(view.UsageOf(Time(), kBuyers),
            (peer::TeamUsage{ kBuyers, 110, 3, 33 }));
  view.OnHeartbeat(Time() + milliseconds(500),
                   BeatOf("entry-1", { { kBuyers, {} } }));
  EXPECT_EQ(view.UsageOf(Time() + milliseconds(500), kBuyers),
            (peer::TeamUsage{ kBuyers, 10, 1, 3 }));
}

TEST(LoadViewUsage, IdleTeamsAddNoBytes)
{
  std::map<TeamId, peer::TeamUsage> usages = { { kBuyers, { {}, 0, 3, 0 } } };
  const auto alone = peer::EncodeMessage(BeatOf("entry-1", usages)).size();
  for (int team = 0; team < 240; ++team) {
    usages[TeamId("team-" + std::to_string(team))] = {};
  }
  EXPECT_EQ(peer::EncodeMessage(BeatOf("entry-1", usages)).size(), alone);
}

} // namespace lacewing::daemon
