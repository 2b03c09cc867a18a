/// Guards against two leaders of a pool, against a pool without one, and
/// against a leader that goes on after another has taken over.
#include "pool/LeaderElection.h"

#include <gtest/gtest.h>

namespace lacewing::pool {

namespace {

constexpr Time kStart{ seconds(1000) };

LeaderRow
Self(const std::string& aVm)
{
  return { aVm, "127.0.0.1:1", 7, 0, {} };
}

LeaderRow
RowOf(const std::string& aVm, std::uint64_t aTerm)
{
  LeaderRow row = Self(aVm);
  row.m_term = aTerm;
  return row;
}

/// A follower that has read the row of another VM's leader.
LeaderElection
Follower(Time aNow)
{
  LeaderElection election(Self("a"), {});
  EXPECT_EQ(election.OnTick(aNow).m_step, ElectionStep::ReadRow);
  election.OnRow(aNow, RowOf("b", 4), 40);
  return election;
}

TEST(PoolElection, EmptyStoreIsClaimedWithTheFirstTerm)
{
  LeaderElection election(Self("a"), {});
  EXPECT_EQ(election.OnTick(kStart).m_step, ElectionStep::ReadRow);
  election.OnRow(kStart, std::nullopt, 0);
  const ElectionOrder order = election.OnTick(kStart);
  EXPECT_EQ(order.m_step, ElectionStep::Claim);
  EXPECT_EQ(order.m_expected, 0U);
  EXPECT_EQ(order.m_row.m_term, 1U);
  election.OnWritten(kStart, order.m_row, 5);
  EXPECT_EQ(election.CurrentRole(), Role::Leader);
  EXPECT_TRUE(election.MayOrder(kStart));
}

TEST(PoolElection, LeaderThatAnswersIsNotReplaced)
{
  LeaderElection election = Follower(kStart);
  for (int tick = 0; tick < 100; ++tick) {
    const Time now = kStart + milliseconds(100) * tick;
    election.OnContact(now, LeaderContact::Leads);
    EXPECT_EQ(election.OnTick(now).m_step, ElectionStep::None);
  }
}

TEST(PoolElection, StoppedProcessOfTheLeaderIsReplacedAfterOneRead)
{
  LeaderElection election = Follower(kStart);
  election.OnContact(kStart, LeaderContact::Denies);
  EXPECT_EQ(election.OnTick(kStart).m_step, ElectionStep::ReadRow);
  election.OnRow(kStart, RowOf("b", 4), 40);
  const ElectionOrder order = election.OnTick(kStart);
  EXPECT_EQ(order.m_step, ElectionStep::Claim);
  EXPECT_EQ(order.m_row.m_term, 5U);
}

TEST(PoolElection, SilentLeaderThatStillRenewsIsNotReplaced)
{
  LeaderElection election = Follower(kStart);
  for (int tick = 0; tick < 40; ++tick) {
    const Time now = kStart + milliseconds(100) * tick;
    election.OnContact(now, LeaderContact::Unreachable);
    const ElectionOrder order = election.OnTick(now);
    EXPECT_NE(order.m_step, ElectionStep::Claim);
    if (order.m_step == ElectionStep::ReadRow) {
      // The leader writes its row twice a second.
      const RowVersion version = 40 + tick / 5;
      election.OnRow(now, RowOf("b", 4), version);
    }
  }
}

TEST(PoolElection, SilentLeaderWithoutRenewalsIsReplacedWithinItsSilence)
{
  LeaderElection election = Follower(kStart);
  Time now = kStart;
  ElectionOrder order;
  while (order.m_step != ElectionStep::Claim && now < kStart + seconds(5)) {
    election.OnContact(now, LeaderContact::Unreachable);
    order = election.OnTick(now);
    if (order.m_step == ElectionStep::ReadRow) {
      election.OnRow(now, RowOf("b", 4), 40);
    }
    now += milliseconds(25);
  }
  EXPECT_EQ(order.m_step, ElectionStep::Claim);
  EXPECT_LE(now - kStart, milliseconds(1200));
}

TEST(PoolElection, ClaimNamesTheWorkersOfThePreviousLeader)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  LeaderRow row = RowOf("", 4);
  row.m_workers = { "w1", "w2" };
  election.OnRow(kStart, row, 40);
  const ElectionOrder order = election.OnTick(kStart);
  EXPECT_EQ(order.m_step, ElectionStep::Claim);
  EXPECT_EQ(order.m_row.m_workers, row.m_workers);
}

TEST(PoolElection, ClaimWhoseAnswerWasLostIsFoundByReading)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  election.OnRow(kStart, std::nullopt, 0);
  const ElectionOrder claim = election.OnTick(kStart);
  election.OnWriteFailed(kStart);
  const Time later = kStart + milliseconds(200);
  EXPECT_EQ(election.OnTick(later).m_step, ElectionStep::ReadRow);
  election.OnRow(later, claim.m_row, 9);
  EXPECT_EQ(election.CurrentRole(), Role::Leader);
}

TEST(PoolElection, FencedLeaderGivesNoMoreOrders)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  election.OnRow(kStart, std::nullopt, 0);
  election.OnWritten(kStart, election.OnTick(kStart).m_row, 5);
  election.OnFenced(kStart);
  EXPECT_FALSE(election.MayOrder(kStart));
}

TEST(PoolElection, LeaderWithoutRenewalsStopsGivingOrders)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  election.OnRow(kStart, std::nullopt, 0);
  election.OnWritten(kStart, election.OnTick(kStart).m_row, 5);
  EXPECT_TRUE(election.MayOrder(kStart + milliseconds(4900)));
  EXPECT_FALSE(election.MayOrder(kStart + milliseconds(5100)));
}

TEST(PoolElection, ResignedLeaderLeavesARowThatAnyoneMayClaim)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  election.OnRow(kStart, std::nullopt, 0);
  election.OnWritten(kStart, election.OnTick(kStart).m_row, 5);
  const ElectionOrder order = election.Resign();
  EXPECT_TRUE(order.m_row.m_vm.empty());
  EXPECT_FALSE(election.MayOrder(kStart));
  EXPECT_EQ(election.OnTick(kStart).m_step, ElectionStep::None);
}

} // namespace

} // namespace lacewing::pool
