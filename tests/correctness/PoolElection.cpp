/// Guards against two leaders of a pool, against a pool without one, and
/// against a leader that keeps sending commands after another took over.
#include "pool/LeaderElection.h"

#include <gtest/gtest.h>

namespace lacewing::pool {

namespace {

constexpr Time kStart{ seconds(1000) };
/// The incarnation of every process whose row `Self` makes.
constexpr std::uint64_t kIncarnation = 7;

LeaderRow
Self(const std::string& aVm)
{
  return { aVm, "127.0.0.1:1", kIncarnation, 0, {}, {}, false };
}

LeaderRow
RowOf(const std::string& aVm, std::uint64_t aTerm)
{
  LeaderRow row = Self(aVm);
  row.m_term = aTerm;
  return row;
}

/// A follower that has read the row of a leader on another VM.
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
  const ElectionAction action = election.OnTick(kStart);
  EXPECT_EQ(action.m_step, ElectionStep::Claim);
  EXPECT_EQ(action.m_expected, 0U);
  EXPECT_EQ(action.m_row.m_term, 1U);
  election.OnWritten(kStart, action.m_row, 5);
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
  const ElectionAction action = election.OnTick(kStart);
  EXPECT_EQ(action.m_step, ElectionStep::Claim);
  EXPECT_EQ(action.m_row.m_term, 5U);
}

TEST(PoolElection, UnreachableLeaderThatStillRenewsIsNotReplaced)
{
  LeaderElection election = Follower(kStart);
  for (int tick = 0; tick < 40; ++tick) {
    const Time now = kStart + milliseconds(100) * tick;
    election.OnLeaderProbed(now, kIncarnation, LeaderProbeResult::Unreachable);
    const ElectionAction action = election.OnTick(now);
    EXPECT_NE(action.m_step, ElectionStep::Claim);
    if (action.m_step == ElectionStep::ReadRow) {
      // The leader writes its row twice a second.
      const RowVersion version = 40 + tick / 5;
      election.OnRow(now, RowOf("b", 4), version);
    }
  }
}

TEST(PoolElection, UnreachableLeaderWithoutRenewalsIsReplacedInTime)
{
  LeaderElection election = Follower(kStart);
  Time now = kStart;
  ElectionAction action;
  while (action.m_step != ElectionStep::Claim && now < kStart + seconds(5)) {
    election.OnLeaderProbed(now, kIncarnation, LeaderProbeResult::Unreachable);
    action = election.OnTick(now);
    if (action.m_step == ElectionStep::ReadRow) {
      election.OnRow(now, RowOf("b", 4), 40);
    }
    now += milliseconds(25);
  }
  EXPECT_EQ(action.m_step, ElectionStep::Claim);
  EXPECT_LE(now - kStart, milliseconds(1200));
}

TEST(PoolElection, ClaimNamesTheWorkersOfThePreviousLeader)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  LeaderRow row = RowOf("", 4);
  row.m_workers = { WorkerId("w1"), WorkerId("w2") };
  election.OnRow(kStart, row, 40);
  const ElectionAction action = election.OnTick(kStart);
  EXPECT_EQ(action.m_step, ElectionStep::Claim);
  EXPECT_EQ(action.m_row.m_workers, row.m_workers);
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

TEST(PoolElection, FencedLeaderSendsNoMoreCommands)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  election.OnRow(kStart, std::nullopt, 0);
  election.OnWritten(kStart, election.OnTick(kStart).m_row, 5);
  election.OnFenced(kStart);
  EXPECT_FALSE(election.MaySendCommands(kStart));
}

TEST(PoolElection, LeaderWithoutRenewalsStopsSendingCommands)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  election.OnRow(kStart, std::nullopt, 0);
  election.OnWritten(kStart, election.OnTick(kStart).m_row, 5);
  EXPECT_TRUE(election.MaySendCommands(kStart + milliseconds(4900)));
  EXPECT_FALSE(election.MaySendCommands(kStart + milliseconds(5100)));
}

/// A leader that was stopped between the store's answer to its renewal and the
/// reading of that answer took itself for the leader for another five seconds.
/// Its successor had counted from the renewal.
TEST(PoolElection, LeaseOfTheLeaderCountsFromTheSendingOfItsRenewal)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  election.OnRow(kStart, std::nullopt, 0);
  const ElectionAction claim = election.OnTick(kStart);
  election.OnWritten(kStart + seconds(6), claim.m_row, 5);
  EXPECT_FALSE(election.MaySendCommands(kStart + seconds(6)));
  const ElectionAction renewal = election.OnTick(kStart + seconds(7));
  EXPECT_EQ(renewal.m_step, ElectionStep::Renew);
  election.OnWritten(kStart + seconds(8), renewal.m_row, 6);
  EXPECT_TRUE(election.MaySendCommands(kStart + milliseconds(11'900)));
  EXPECT_FALSE(election.MaySendCommands(kStart + milliseconds(12'100)));
}

TEST(PoolElection, LeaseThatIsFoundByReadingCountsFromTheSendingOfTheRead)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  election.OnRow(kStart, std::nullopt, 0);
  const ElectionAction claim = election.OnTick(kStart);
  election.OnWriteFailed(kStart + milliseconds(100));
  EXPECT_EQ(election.OnTick(kStart + seconds(1)).m_step, ElectionStep::ReadRow);
  election.OnRow(kStart + seconds(4), claim.m_row, 5);
  EXPECT_TRUE(election.MaySendCommands(kStart + milliseconds(5900)));
  EXPECT_FALSE(election.MaySendCommands(kStart + milliseconds(6100)));
}

/// A claim says nothing about the leader before: a third leader that waited
/// only for the leases of the second missed the first, which still sent
/// commands.
TEST(PoolElection, ClaimIsNotSettledUntilTheLeaderSaysSo)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  LeaderRow previous = RowOf("b", 4);
  previous.m_vm.clear();
  previous.m_settled = true;
  election.OnRow(kStart, previous, 40);
  const ElectionAction claim = election.OnTick(kStart);
  ASSERT_EQ(claim.m_step, ElectionStep::Claim);
  EXPECT_FALSE(claim.m_row.m_settled);
  election.OnWritten(kStart, claim.m_row, 41);
  EXPECT_FALSE(election.OnTick(kStart + seconds(1)).m_row.m_settled);
  election.OnWritten(kStart + seconds(1), claim.m_row, 42);
  election.SetSettled(true);
  EXPECT_TRUE(election.OnTick(kStart + seconds(2)).m_row.m_settled);
}

TEST(PoolElection, ResignedLeaderLeavesARowThatAnyoneMayClaim)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  election.OnRow(kStart, std::nullopt, 0);
  election.OnWritten(kStart, election.OnTick(kStart).m_row, 5);
  election.Resign();
  EXPECT_FALSE(election.MaySendCommands(kStart));
  const ElectionAction action = election.OnTick(kStart);
  EXPECT_EQ(action.m_step, ElectionStep::Renew);
  EXPECT_TRUE(action.m_row.m_vm.empty());
  election.OnWritten(kStart, action.m_row, 6);
  EXPECT_EQ(election.CurrentRole(), Role::Follower);
  EXPECT_EQ(election.OnTick(kStart + seconds(1)).m_step, ElectionStep::None);
}

/// The write of a resignation conflicted with a renewal in flight. The resigned
/// process then read its own row and took the role of the leader again, so that
/// no process led the pool.
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
  const ElectionAction action = election.OnTick(kStart);
  EXPECT_EQ(action.m_step, ElectionStep::Renew);
  EXPECT_EQ(action.m_expected, 6U);
  EXPECT_TRUE(action.m_row.m_vm.empty());
}

/// A renewal that was in flight when the leader resigned made the resigned
/// process the leader again.
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

/// While the store's reply to a claim is slow, the claiming daemon cannot yet
/// report that it leads. Another daemon took that report for one of a stopped
/// leader.
TEST(PoolElection, LeaderWhoseClaimIsNotAnsweredYetIsNotReplacedAtOnce)
{
  LeaderElection election = Follower(kStart);
  election.OnLeaderProbed(kStart, kIncarnation, LeaderProbeResult::Unsettled);
  EXPECT_EQ(election.OnTick(kStart).m_step, ElectionStep::ReadRow);
  election.OnRow(kStart, RowOf("b", 4), 40);
  EXPECT_NE(election.OnTick(kStart + milliseconds(100)).m_step,
            ElectionStep::Claim);
}

/// Load pattern: each call of the store takes a quarter of a second, so that
/// renewals are slow for every leader. Replacing one leader after another left
/// the pool without a leader for seconds.
TEST(PoolElection, SlowStoreIsNoReasonToReplaceALeaderThatAnswers)
{
  LeaderElection election = Follower(kStart);
  election.SetReadTime(milliseconds(250));
  for (int tick = 0; tick < 80; ++tick) {
    const Time now = kStart + milliseconds(50) * tick;
    election.OnLeaderProbed(now, kIncarnation, LeaderProbeResult::StoreFailed);
    const ElectionAction action = election.OnTick(now);
    EXPECT_NE(action.m_step, ElectionStep::Claim) << tick;
    if (action.m_step == ElectionStep::ReadRow) {
      const RowVersion version = 40 + tick / 28; // a renewal takes 1.4 s
      election.OnRow(now, RowOf("b", 4), version);
    }
  }
}

/// A daemon that had lost the store probed the former leader while it read the
/// row of the new one. It took the reply for that of the new leader, whose
/// process seemed to have ended, and replaced a healthy leader at once.
TEST(PoolElection, ReplyOfTheFormerLeaderDoesNotReplaceTheNewOne)
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

/// The leader's VM restarted and its new process leads. The end of the former
/// process is no reason to replace the new one.
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

/// Load pattern: the store refuses calls of some VMs for seconds. Their fronts
/// could not find the new leader and refused every job that they could have
/// forwarded to it.
TEST(PoolElection, FollowerWithoutTheStoreLearnsTheLeaderFromItsPeers)
{
  LeaderElection election = Follower(kStart);
  LeaderRow successor = RowOf("c", 5);
  successor.m_incarnation = 9;
  EXPECT_TRUE(election.OnLeaderReported(kStart, successor));
  EXPECT_EQ(election.Leader().m_vm, "c");
  EXPECT_EQ(election.Term(), 5U);
}

/// Load pattern: a large pool on VMs of different sizes. Small VMs that took
/// over after the leader was killed could not load the jobs in time and were
/// replaced one after another, four times in twelve seconds.
TEST(PoolElection, SmallVmLetsLargerOnesClaimFirst)
{
  constexpr Duration kNear = milliseconds(6);
  constexpr Duration kFar = milliseconds(46);
  constexpr double kFastLink = 200;
  EXPECT_GT(ClaimDelay(kNear, 0.12, kFastLink),
            ClaimDelay(kFar, 0.5, kFastLink) + milliseconds(300));
  EXPECT_EQ(ClaimDelay(kNear, 0.25, kFastLink),
            ClaimDelay(kNear, 0.5, kFastLink));
  EXPECT_LT(ClaimDelay(kNear, 0.25, kFastLink),
            ClaimDelay(kFar, 0.25, kFastLink));
}

/// A peer's report of the leader may be older than the row that was read.
TEST(PoolElection, ReportOfAnEarlierTermIsIgnored)
{
  LeaderElection election = Follower(kStart);
  EXPECT_FALSE(election.OnLeaderReported(kStart, RowOf("c", 4)));
  EXPECT_EQ(election.Leader().m_vm, "b");
}

/// A peer's report contains no workers and no row version. A claim needs both,
/// so the row must be read first.
TEST(PoolElection, ReportedLeaderIsNotReplacedWithoutReadingItsRow)
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

/// A leader whose processor or link was busy was replaced, and so was each
/// successor while it was loading the jobs: no leader ever began to work.
TEST(PoolElection, BusyLeaderIsNotReplacedWhileItsRowAsksForMoreTime)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  LeaderRow row = RowOf("b", 4);
  row.m_renewalGrace = seconds(3);
  election.OnRow(kStart, row, 40);
  election.OnLeaderProbed(kStart, kIncarnation, LeaderProbeResult::Unreachable);
  Time now = kStart;
  const auto claims = [&] {
    ElectionAction action = election.OnTick(now);
    if (action.m_step == ElectionStep::ReadRow) {
      election.OnRow(now, row, 40);
      action = election.OnTick(now);
    }
    return action.m_step == ElectionStep::Claim;
  };
  for (; now < kStart + seconds(3); now += milliseconds(50)) {
    EXPECT_FALSE(claims());
  }
  now = kStart + seconds(5);
  EXPECT_TRUE(claims());
}

/// The process is gone, so there is nothing to wait for.
TEST(PoolElection, EndedLeaderIsReplacedAtOnceWhateverItsRowAsks)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  LeaderRow row = RowOf("b", 4);
  row.m_renewalGrace = seconds(3);
  election.OnRow(kStart, row, 40);
  election.OnLeaderProbed(kStart, kIncarnation, LeaderProbeResult::Ended);
  EXPECT_EQ(election.OnTick(kStart).m_step, ElectionStep::ReadRow);
  election.OnRow(kStart, row, 40);
  EXPECT_EQ(election.OnTick(kStart).m_step, ElectionStep::Claim);
}

TEST(PoolElection, RowAsksForMoreTimeWhileTheLeaderLoadsOrIsBusy)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  election.OnRow(kStart, std::nullopt, 0);
  const ElectionAction claim = election.OnTick(kStart);
  EXPECT_GE(claim.m_row.m_renewalGrace, seconds(2));
  election.OnWritten(kStart, claim.m_row, 5);
  Time now = kStart;
  const auto renewal = [&] {
    now += seconds(1);
    const LeaderRow row = election.OnTick(now).m_row;
    election.OnWritten(now, row, 6);
    return row.m_renewalGrace;
  };
  election.SetLoading(true);
  EXPECT_GE(renewal(), seconds(2));
  election.SetLoading(false);
  EXPECT_EQ(renewal(), Duration::zero());
  election.SetLoopLag(milliseconds(300));
  EXPECT_GE(renewal(), milliseconds(900));
  election.SetLoopLag(seconds(60));
  EXPECT_EQ(renewal(), kMaxRenewalGrace);
}

/// A renewal that was long on its way shows that the next one may be, too.
TEST(PoolElection, RowAsksForMoreTimeAfterASlowRenewal)
{
  LeaderElection election(Self("a"), {});
  election.OnTick(kStart);
  election.OnRow(kStart, std::nullopt, 0);
  election.OnWritten(kStart, election.OnTick(kStart).m_row, 5);
  const Time sent = kStart + seconds(1);
  const ElectionAction slow = election.OnTick(sent);
  election.OnWritten(sent + milliseconds(800), slow.m_row, 6);
  const ElectionAction next = election.OnTick(sent + seconds(2));
  EXPECT_GE(next.m_row.m_renewalGrace, milliseconds(800));
}

/// Load pattern: after a loss of power a VM with a narrow link took over and
/// needed three seconds to read the stored jobs.
TEST(PoolElection, VmWithANarrowLinkLetsOthersClaimFirst)
{
  constexpr Duration kNear = milliseconds(6);
  constexpr Duration kFar = milliseconds(46);
  EXPECT_GT(ClaimDelay(kNear, 0.3, 10),
            ClaimDelay(kFar, 0.3, 200) + milliseconds(300));
  EXPECT_EQ(ClaimDelay(kNear, 0.5, 1000), ClaimDelay(kNear, 0.5, 100));
  // In a pool with slow links only, the wait stays short.
  EXPECT_EQ(ClaimDelay(kNear, 0.5, 10), ClaimDelay(kNear, 0.5, 2));
}

} // namespace

} // namespace lacewing::pool
