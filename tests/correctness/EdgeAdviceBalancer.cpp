/// Guards against advice requests that queue on one daemon while other daemons
/// could send them to the policy service. Load pattern: long requests of gangs
/// among many short requests of interactive jobs.
#include "edge/AdviceBalancer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <vector>

namespace lacewing::edge {

namespace {

constexpr Time kStart{ seconds(1000) };
const net::Address kPeer1{ "127.0.0.1", 1 };
const net::Address kPeer2{ "127.0.0.1", 2 };

TEST(EdgeAdviceBalancer, ShortRequestsStayLocalAndLongOnesAreForwarded)
{
  AdviceBalancer plan(VmId("self"));
  plan.OnPeerSeen(kStart, VmId("p1"), kPeer1);
  EXPECT_EQ(plan.Choose(kStart, milliseconds(700)).m_address, kPeer1);
  EXPECT_FALSE(plan.Choose(kStart, milliseconds(15)).m_address.has_value());
}

TEST(EdgeAdviceBalancer, RequestsSpreadOverAllDaemons)
{
  AdviceBalancer plan(VmId("self"));
  plan.OnPeerSeen(kStart, VmId("p1"), kPeer1);
  plan.OnPeerSeen(kStart, VmId("p2"), kPeer2);
  EXPECT_NE(plan.Choose(kStart, milliseconds(700)).m_address,
            plan.Choose(kStart, milliseconds(700)).m_address);
}

TEST(EdgeAdviceBalancer, ManyShortRequestsOverflowToPeers)
{
  AdviceBalancer plan(VmId("self"));
  plan.OnPeerSeen(kStart, VmId("p1"), kPeer1);
  int elsewhere = 0;
  for (int number = 0; number < 10; ++number) {
    elsewhere +=
      plan.Choose(kStart, milliseconds(15)).m_address.has_value() ? 1 : 0;
  }
  EXPECT_GE(elsewhere, 4);
}

TEST(EdgeAdviceBalancer, FailedOrUnresponsiveDaemonsGetNoRequests)
{
  AdviceBalancer plan(VmId("self"));
  plan.OnPeerSeen(kStart, VmId("p1"), kPeer1);
  plan.Ended(kStart, plan.Choose(kStart, milliseconds(700)), false);
  EXPECT_FALSE(plan.Choose(kStart, milliseconds(700)).m_address.has_value());
  const Time later = kStart + seconds(4);
  plan.OnPeerSeen(later, VmId("p2"), kPeer2);
  EXPECT_EQ(plan.Choose(later, milliseconds(700)).m_address, kPeer2);
  EXPECT_FALSE(
    plan.Choose(later + seconds(5), milliseconds(700)).m_address.has_value());
}

/// Guards against a leader that sends all short requests itself although its
/// network path to the policy service is slow. Load pattern: requests of
/// interactive jobs arrive faster than the leader's VM can complete them one
/// after another. The balancer once counted only the processing time of the
/// service and kept all requests on that VM: 16 a second were answered, and
/// jobs waited for seconds.
TEST(EdgeAdviceBalancer, RequestsMoveAwayFromALeaderWithSlowResponses)
{
  AdviceBalancer plan(VmId("self"));
  constexpr Duration kCost = milliseconds(14);
  constexpr Duration kNetworkDelay = milliseconds(40);
  std::vector<std::pair<Time, AdviceBalancer::Choice>> open;
  int elsewhere = 0;
  for (int question = 0; question < 200; ++question) {
    const Time now = kStart + milliseconds(25) * question;
    std::erase_if(open, [&](const auto& aOpen) {
      if (aOpen.first > now) {
        return false;
      }
      plan.Ended(aOpen.first, aOpen.second, true);
      return true;
    });
    for (const char* peer : { "p1", "p2" }) {
      plan.OnPeerSeen(now, VmId(peer), kPeer1);
    }
    const AdviceBalancer::Choice choice = plan.Choose(now, kCost);
    elsewhere += choice.m_address ? 1 : 0;
    // The requests of one VM are processed one after another.
    Time begin = now;
    for (const auto& [end, other] : open) {
      if (other.m_vm == choice.m_vm) {
        begin = std::max(begin, end);
      }
    }
    open.emplace_back(begin + kNetworkDelay + kCost, choice);
  }
  EXPECT_GT(elsewhere, 100);
  EXPECT_LT(open.size(), 12U);
}

/// A VM that was slow for a while receives requests again.
TEST(EdgeAdviceBalancer, MeasuredDelayExpires)
{
  AdviceBalancer plan(VmId("self"));
  plan.OnPeerSeen(kStart, VmId("p1"), kPeer1);
  plan.OnPeerSeen(kStart, VmId("p2"), kPeer2);
  const AdviceBalancer::Choice slow = plan.Choose(kStart, milliseconds(700));
  const Time answered = kStart + seconds(8);
  plan.OnPeerSeen(answered, VmId("p1"), kPeer1);
  plan.OnPeerSeen(answered, VmId("p2"), kPeer2);
  plan.Ended(answered, slow, true);
  EXPECT_NE(plan.Choose(answered, milliseconds(700)).m_vm, slow.m_vm);
  const Time later = answered + seconds(10);
  plan.OnPeerSeen(later, VmId("p1"), kPeer1);
  plan.OnPeerSeen(later, VmId("p2"), kPeer2);
  std::set<VmId> asked;
  asked.insert(plan.Choose(later, milliseconds(700)).m_vm);
  asked.insert(plan.Choose(later, milliseconds(700)).m_vm);
  EXPECT_TRUE(asked.contains(slow.m_vm));
}

} // namespace

} // namespace lacewing::edge
