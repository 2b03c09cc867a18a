/// Guards against questions to the policy service that wait behind each other
/// while other daemons could ask them. Load pattern: long questions of gangs
/// among many short ones of interactive jobs.
#include "edge/AdvicePlan.h"

#include <gtest/gtest.h>

namespace lacewing::edge {

namespace {

constexpr Time kStart{ seconds(1000) };
const net::Address kPeer1{ "127.0.0.1", 1 };
const net::Address kPeer2{ "127.0.0.1", 2 };

TEST(EdgeAdvicePlan, ShortQuestionsStayWhileLongOnesGoElsewhere)
{
  AdvicePlan plan(VmId("self"));
  plan.Heard(kStart, VmId("p1"), kPeer1);
  EXPECT_EQ(plan.Choose(kStart, milliseconds(700)).m_address, kPeer1);
  EXPECT_FALSE(plan.Choose(kStart, milliseconds(15)).m_address.has_value());
}

TEST(EdgeAdvicePlan, QuestionsSpreadOverAllDaemons)
{
  AdvicePlan plan(VmId("self"));
  plan.Heard(kStart, VmId("p1"), kPeer1);
  plan.Heard(kStart, VmId("p2"), kPeer2);
  EXPECT_NE(plan.Choose(kStart, milliseconds(700)).m_address,
            plan.Choose(kStart, milliseconds(700)).m_address);
}

TEST(EdgeAdvicePlan, ManyShortQuestionsFlowOverToOthers)
{
  AdvicePlan plan(VmId("self"));
  plan.Heard(kStart, VmId("p1"), kPeer1);
  int elsewhere = 0;
  for (int number = 0; number < 10; ++number) {
    elsewhere +=
      plan.Choose(kStart, milliseconds(15)).m_address.has_value() ? 1 : 0;
  }
  EXPECT_GE(elsewhere, 4);
}

TEST(EdgeAdvicePlan, DaemonsThatFailOrFallSilentGetNoQuestions)
{
  AdvicePlan plan(VmId("self"));
  plan.Heard(kStart, VmId("p1"), kPeer1);
  plan.Failed(kStart, VmId("p1"));
  EXPECT_FALSE(plan.Choose(kStart, milliseconds(700)).m_address.has_value());
  const Time later = kStart + seconds(4);
  plan.Heard(later, VmId("p2"), kPeer2);
  EXPECT_EQ(plan.Choose(later, milliseconds(700)).m_address, kPeer2);
  EXPECT_FALSE(
    plan.Choose(later + seconds(5), milliseconds(700)).m_address.has_value());
}

} // namespace

} // namespace lacewing::edge
