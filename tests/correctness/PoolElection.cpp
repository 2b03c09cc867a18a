/// Guards against two leaders of a pool, against a pool without one, and
/// against a leader that goes on after another has taken over.
#include "pool/LeaderElection.h"

#include <gtest/gtest.h>

namespace lacewing::pool {

namespace {

constexpr Time kStart{ seconds(1000) };
/// Of all processes whose rows are made by `Self`.
constexpr std::uint64_t kIncarnation = 7;

LeaderRow
Self(const std::string& aVm)
{
  return { aVm, "127.0.0.1:1", kIncarnation, 0, {} };
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
  const ElectionAction order = election.OnTick(kStart);
  EXPECT_EQ(order.m_step, ElectionStep::Claim);
  EXPECT_EQ(order.m_expected, 0U);
  EXPECT_EQ(order.m_row.m_term, 1U);
  election.OnWritten(kStart, order.m_row, 5);
  EXPECT_EQ(election.CurrentRole(), Role::Leader);
  EXPECT_TRUE(election.MaySendCommands(kStart));
}

TEST(PoolElection, LeaderThatAnswersIsNotReplaced)
{
  LeaderElection election = Follower(kStart);
  for (int tick = 0; tick < 100; ++tick) {
    const Time now = kStart + milliseconds(100) * tick;
    election.OnLeaderProbed(now, kIncarnation, LeaderProbeResult::Leads);
    EXPECT_EQ(election.OnTick(now).m_step, ElectionStep::None);
  }
}

TEST(PoolElection, StoppedProcessOfTheLeaderIsReplacedAfterOneRead)
{
  LeaderElection election = Follower(kStart);
  election.OnLeaderProbed(kStart, kIncarnation, LeaderProbeResult::Ended);
  EXPECT_EQ(election.OnTick(kStart).m_step, ElectionStep::ReadRow);
  election.OnRow(kStart, RowOf("b", 4), 40);
  const ElectionAction order = election.OnTick(kStart);
  EXPECT_EQ(order.m_step, ElectionStep::Claim);
  EXPECT_EQ(order.m_row.m_term, 5U);
}

TEST(PoolElection, SilentLeaderThatStillRenewsIsNotReplaced)
{
  LeaderElection election = Follower(kStart);
  for (int tick = 0; tick < 40; ++tick) {
    const Time now = kStart + milliseconds(100) * tick;
    election.OnLeaderProbed(now, kIncarnation, LeaderProbeResult::Unreachable);
    const ElectionAction order = election.OnTick(now);
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
  ElectionAction order;
  while (order.m_step != ElectionStep::Claim && now < kStart + seconds(5)) {
    election.OnLeaderProbed(now, kIncarnation, LeaderProbeResult::Unreachable);
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
  const ElectionAction order = election.OnTick(kStart);
  EXPECT_EQ(order.m_step, ElectionStep::Claim);
  EXPECT_EQ(order.m_row.m_workers, row.m_workers);
}

TEST(PoolElection, ClaimWhoseAnswerWasLostIsFoundByReading)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  election.OnRow(kStart, std::nullopt, 0);
  const ElectionAction claim = election.OnTick(kStart);
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
  EXPECT_FALSE(election.MaySendCommands(kStart));
}

TEST(PoolElection, LeaderWithoutRenewalsStopsGivingOrders)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  election.OnRow(kStart, std::nullopt, 0);
  election.OnWritten(kStart, election.OnTick(kStart).m_row, 5);
  EXPECT_TRUE(election.MaySendCommands(kStart + milliseconds(4900)));
  EXPECT_FALSE(election.MaySendCommands(kStart + milliseconds(5100)));
}

TEST(PoolElection, ResignedLeaderLeavesARowThatAnyoneMayClaim)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  election.OnRow(kStart, std::nullopt, 0);
  election.OnWritten(kStart, election.OnTick(kStart).m_row, 5);
  election.Resign();
  EXPECT_FALSE(election.MaySendCommands(kStart));
  const ElectionAction order = election.OnTick(kStart);
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
  const ElectionAction order = election.OnTick(kStart);
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
  election.OnLeaderProbed(kStart, kIncarnation, LeaderProbeResult::Unsettled);
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
    election.OnLeaderProbed(now, kIncarnation, LeaderProbeResult::StoreFailed);
    const ElectionAction order = election.OnTick(now);
    EXPECT_NE(order.m_step, ElectionStep::Claim) << tick;
    if (order.m_step == ElectionStep::ReadRow) {
      const RowVersion version = 40 + tick / 28; // a renewal takes 1.4 s
      election.OnRow(now, RowOf("b", 4), version);
    }
  }
}

/// A daemon that was cut off from the store asked the former leader while it
/// read the row of the new one. It took the answer for that of the new leader,
/// whose process seemed to have ended, and replaced a sound leader at once.
TEST(PoolElection, AnswerOfTheFormerLeaderSaysNothingAboutTheNewOne)
{
  LeaderElection election = Follower(kStart);
  election.OnLeaderProbed(kStart, kIncarnation, LeaderProbeResult::Unsettled);
  EXPECT_EQ(election.OnTick(kStart).m_step, ElectionStep::ReadRow);
  LeaderRow successor = RowOf("c", 5);
  successor.m_incarnation = 9;
  election.OnRow(kStart, successor, 50);
  election.OnLeaderProbed(kStart, kIncarnation, LeaderProbeResult::Ended);
  for (int tick = 0; tick < 40; ++tick) {
    const Time now = kStart + milliseconds(25) * tick;
    EXPECT_EQ(election.OnTick(now).m_step, ElectionStep::None) << tick;
  }
}

/// The leader's VM restarted and its new process leads. That the former process
/// has ended says nothing about this one.
TEST(PoolElection, RestartedLeaderIsNotReplacedForTheEndOfItsFormerProcess)
{
  LeaderElection election = Follower(kStart);
  election.OnLeaderProbed(kStart, kIncarnation, LeaderProbeResult::Ended);
  EXPECT_EQ(election.OnTick(kStart).m_step, ElectionStep::ReadRow);
  LeaderRow restarted = RowOf("b", 5);
  restarted.m_incarnation = 9;
  election.OnRow(kStart, restarted, 50);
  EXPECT_EQ(election.OnTick(kStart).m_step, ElectionStep::None);
}

/// Load pattern: the store refuses some VMs for seconds. Their fronts could
/// not learn of a new leader and refused every job that they could have passed
/// on to it.
TEST(PoolElection, FollowerWithoutTheStoreLearnsTheLeaderFromItsPeers)
{
  LeaderElection election = Follower(kStart);
  LeaderRow successor = RowOf("c", 5);
  successor.m_incarnation = 9;
  EXPECT_TRUE(election.OnLeaderReported(kStart, successor));
  EXPECT_EQ(election.Leader().m_vm, "c");
  EXPECT_EQ(election.Term(), 5U);
}

/// Load pattern: a large pool on unlike VMs. Small ones that led after a kill
/// could not load the jobs in time and were replaced one after the other, four
/// times in twelve seconds.
TEST(PoolElection, SmallVmLetsLargerOnesClaimFirst)
{
  constexpr Duration kNear = milliseconds(6);
  constexpr Duration kFar = milliseconds(46);
  EXPECT_GT(ClaimDelay(kNear, 0.12), ClaimDelay(kFar, 0.5) + milliseconds(300));
  EXPECT_EQ(ClaimDelay(kNear, 0.25), ClaimDelay(kNear, 0.5));
  EXPECT_LT(ClaimDelay(kNear, 0.25), ClaimDelay(kFar, 0.25));
}

/// Hearsay may be older than what was read.
TEST(PoolElection, HearsayOfAnEarlierTermIsIgnored)
{
  LeaderElection election = Follower(kStart);
  EXPECT_FALSE(election.OnLeaderReported(kStart, RowOf("c", 4)));
  EXPECT_EQ(election.Leader().m_vm, "b");
}

/// What a peer says names no workers and no version. A claim needs the row.
TEST(PoolElection, LeaderKnownFromHearsayIsNotReplacedWithoutReadingItsRow)
{
  LeaderElection election = Follower(kStart);
  LeaderRow successor = RowOf("c", 5);
  successor.m_incarnation = 9;
  election.OnLeaderReported(kStart, successor);
  election.OnLeaderProbed(kStart, 9, LeaderProbeResult::Ended);
  EXPECT_EQ(election.OnTick(kStart).m_step, ElectionStep::ReadRow);
  election.OnReadFailed(kStart);
  for (int tick = 1; tick < 40; ++tick) {
    const Time now = kStart + milliseconds(200) * tick;
    EXPECT_EQ(election.OnTick(now).m_step, ElectionStep::ReadRow) << tick;
    election.OnReadFailed(now);
  }
}

} // namespace

} // namespace lacewing::pool
