/// Guards against workers that nobody calls, and against a choice of relays
/// that goes by anything but what the VMs have.
#include "relay/RelayChoice.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace lacewing::relay {

namespace {

constexpr Time kNow{ seconds(100) };
const DomainId kDomain("domain-a");
const DomainId kOther("domain-b");

RelayPeer
Peer(const std::string& aVm, double aCores, const DomainId& aDomain = kDomain)
{
  return { VmId(aVm), aDomain, { "127.0.0.1", 7000 }, aCores };
}

std::set<std::string>
Names(const std::vector<RelayPeer>& aPeers)
{
  std::set<std::string> names;
  for (const RelayPeer& peer : aPeers) {
    names.insert(peer.m_vm.Value());
  }
  return names;
}

pool::WorkerId
Worker(int aNumber)
{
  return pool::WorkerId("worker-" + std::to_string(aNumber));
}

TEST(RelayRoutes, LeaderCallsTheWorkersOfASmallPoolItself)
{
  RelayChoice choice;
  choice.OnPeerSeen(kNow, Peer("a", 0.5));
  EXPECT_TRUE(choice.Choose(kNow, { { kDomain, 48 }, { kOther, 48 } }).empty());
}

/// A relay on a VM with little processor would be the next bottleneck.
TEST(RelayRoutes, VmsWithTheMostProcessorAreChosenFirst)
{
  RelayChoice choice;
  choice.OnPeerSeen(kNow, Peer("small-1", 0.12));
  choice.OnPeerSeen(kNow, Peer("large-1", 0.5));
  choice.OnPeerSeen(kNow, Peer("small-2", 0.12));
  choice.OnPeerSeen(kNow, Peer("large-2", 0.5));
  EXPECT_EQ(Names(choice.Choose(kNow, { { kDomain, 200 } })),
            (std::set<std::string>{ "large-1", "large-2" }));
  EXPECT_EQ(Names(choice.Choose(kNow, { { kDomain, 280 } })).size(), 3U);
}

TEST(RelayRoutes, EachDomainHasRelaysOfItsOwn)
{
  RelayChoice choice;
  choice.OnPeerSeen(kNow, Peer("a", 0.5));
  choice.OnPeerSeen(kNow, Peer("b", 0.5, kOther));
  EXPECT_EQ(Names(choice.Choose(kNow, { { kDomain, 120 }, { kOther, 120 } })),
            (std::set<std::string>{ "a", "b" }));
  RelayRoutes routes;
  routes.SetUsable({ Peer("a", 0.5) });
  ASSERT_NE(routes.Find(Worker(1), kDomain), nullptr);
  EXPECT_EQ(routes.Find(Worker(1), kDomain)->Value(), "a");
  EXPECT_EQ(routes.Find(Worker(2), kOther), nullptr);
}

TEST(RelayRoutes, DaemonThatFailedOrFellSilentIsNotChosen)
{
  RelayChoice choice;
  choice.OnPeerSeen(kNow, Peer("a", 0.5));
  choice.OnPeerSeen(kNow, Peer("b", 0.5));
  choice.OnFailure(kNow, VmId("a"));
  EXPECT_EQ(Names(choice.Choose(kNow, { { kDomain, 200 } })),
            (std::set<std::string>{ "b" }));
  const Time later = kNow + seconds(5);
  choice.OnPeerSeen(later, Peer("a", 0.5));
  EXPECT_EQ(Names(choice.Choose(later, { { kDomain, 200 } })),
            (std::set<std::string>{ "a" }));
}

/// A busy leader reads requests for its status late, and lost its relays
/// although their frames came.
TEST(RelayRoutes, RelayWhoseFramesComeIsKnownWithoutItsRequests)
{
  RelayChoice choice;
  choice.OnPeerSeen(kNow, Peer("a", 0.5));
  const Time later = kNow + seconds(2);
  choice.OnAlive(later, VmId("a"));
  choice.OnAlive(later, VmId("unknown"));
  EXPECT_EQ(Names(choice.Choose(later, { { kDomain, 200 } })),
            (std::set<std::string>{ "a" }));
  EXPECT_TRUE(choice.Choose(later + seconds(2), { { kDomain, 200 } }).empty());
}

/// Each worker that changes its relay costs a connection to it.
TEST(RelayRoutes, WorkersKeepTheirRelayWhenAnotherIsLost)
{
  RelayRoutes routes;
  routes.SetUsable({ Peer("a", 0.5), Peer("b", 0.5), Peer("c", 0.5) });
  std::vector<std::string> before;
  before.reserve(300);
  for (int number = 0; number < 300; ++number) {
    before.push_back(routes.Find(Worker(number), kDomain)->Value());
  }
  const auto share = std::ranges::count(before, "c");
  EXPECT_GT(share, 60);
  EXPECT_LT(share, 140);
  routes.SetUsable({ Peer("a", 0.5), Peer("b", 0.5) });
  for (int number = 0; number < 300; ++number) {
    const std::string after = routes.Find(Worker(number), kDomain)->Value();
    if (before[static_cast<std::size_t>(number)] != "c") {
      EXPECT_EQ(after, before[static_cast<std::size_t>(number)]);
    } else {
      EXPECT_NE(after, "c");
    }
  }
}

TEST(RelayRoutes, StrongerRelaysCallMoreWorkers)
{
  RelayRoutes routes;
  routes.SetUsable({ Peer("large", 0.4), Peer("small", 0.1) });
  int large = 0;
  for (int number = 0; number < 1000; ++number) {
    large += routes.Find(Worker(number), kDomain)->Value() == "large" ? 1 : 0;
  }
  EXPECT_GT(large, 700);
  EXPECT_LT(large, 900);
}

} // namespace

} // namespace lacewing::relay
