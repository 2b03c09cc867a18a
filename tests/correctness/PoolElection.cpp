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
  election.OnContact(kStart, LeaderContact::Ended);
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
  election.Resign();
  EXPECT_FALSE(election.MayOrder(kStart));
  const ElectionOrder order = election.OnTick(kStart);
  EXPECT_EQ(order.m_step, ElectionStep::Renew);
  EXPECT_TRUE(order.m_row.m_vm.empty());
  election.OnWritten(kStart, order.m_row, 6);
  EXPECT_EQ(election.CurrentRole(), Role::Follower);
  EXPECT_EQ(election.OnTick(kStart + seconds(1)).m_step, ElectionStep::None);
}

/// A renewal on its way made the row of the resigned leader conflict. It read
/// its own row and took itself for the leader again, so that nobody led.
TEST(PoolElection, ResignationIsWrittenAgainAfterAConflict)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  election.OnRow(kStart, std::nullopt, 0);
  const LeaderRow own = election.OnTick(kStart).m_row;
  election.OnWritten(kStart, own, 5);
  election.Resign();
  election.OnTick(kStart);
  election.OnConflict(kStart);
  EXPECT_EQ(election.OnTick(kStart).m_step, ElectionStep::ReadRow);
  election.OnRow(kStart, own, 6);
  EXPECT_EQ(election.CurrentRole(), Role::Follower);
  const ElectionOrder order = election.OnTick(kStart);
  EXPECT_EQ(order.m_step, ElectionStep::Renew);
  EXPECT_EQ(order.m_expected, 6U);
  EXPECT_TRUE(order.m_row.m_vm.empty());
}

/// A renewal that was on its way when the leader resigned made it lead again.
TEST(PoolElection, RenewalThatEndsAfterTheResignationDoesNotUndoIt)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  election.OnRow(kStart, std::nullopt, 0);
  const LeaderRow own = election.OnTick(kStart).m_row;
  election.OnWritten(kStart, own, 5);
  election.OnTick(kStart + milliseconds(600));
  election.Resign();
  election.OnWritten(kStart + milliseconds(700), own, 6);
  EXPECT_EQ(election.CurrentRole(), Role::Follower);
  EXPECT_TRUE(election.OnTick(kStart + milliseconds(700)).m_row.m_vm.empty());
}

/// The daemon that has just claimed does not know it yet when the store's
/// answer takes long; another one took its answer for a stopped leader.
TEST(PoolElection, LeaderWhoseClaimIsNotAnsweredYetIsNotReplacedAtOnce)
{
  LeaderElection election = Follower(kStart);
  election.OnContact(kStart, LeaderContact::Unsettled);
  EXPECT_EQ(election.OnTick(kStart).m_step, ElectionStep::ReadRow);
  election.OnRow(kStart, RowOf("b", 4), 40);
  EXPECT_NE(election.OnTick(kStart + milliseconds(100)).m_step,
            ElectionStep::Claim);
}

/// Load pattern: the store takes a quarter of a second for each call. Renewals
/// take longer then for every leader; replacing one after the other left the
/// pool without one for seconds.
TEST(PoolElection, SlowStoreIsNoReasonToReplaceALeaderThatAnswers)
{
  LeaderElection election = Follower(kStart);
  election.SetReadTime(milliseconds(250));
  for (int tick = 0; tick < 80; ++tick) {
    const Time now = kStart + milliseconds(50) * tick;
    election.OnContact(now, LeaderContact::StoreFailed);
    const ElectionOrder order = election.OnTick(now);
    EXPECT_NE(order.m_step, ElectionStep::Claim) << tick;
    if (order.m_step == ElectionStep::ReadRow) {
      const RowVersion version = 40 + tick / 28; // a renewal takes 1.4 s
      election.OnRow(now, RowOf("b", 4), version);
    }
  }
}

} // namespace

} // namespace lacewing::pool
