/// Guards against at-most-once tasks that start without a durable mark, start a
/// second time, or disappear.
#include "fakes/SchedFleet.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using sched::ActionKind;
using sched::JobState;

const TaskId kProof{ JobId("proof"), 0 };

sched::JobSpec
Proof()
{
  auto spec = MakeJob("proof", "t", 1, { 4000, 4096, 0 });
  spec.m_atMostOnce = true;
  return spec;
}

/// A slice in which the proof runs, and its start.
std::pair<DaemonScheduler, sched::Action>
RunningProof(Time aNow)
{
  auto scheduler = MakeSlice(2);
  scheduler.Submit(aNow, Proof());
  scheduler.Decide(aNow, 10);
  scheduler.OnMarked(aNow, kProof);
  const auto starts = scheduler.Decide(aNow, 10);
  return { std::move(scheduler), starts.at(0) };
}

} // namespace

TEST(SchedAtMostOnce, StartsOnlyAfterTheMark)
{
  auto scheduler = MakeSlice(1);
  const Time now = Time() + seconds(1);
  scheduler.Submit(now, Proof());
  const auto marks = scheduler.Decide(now, 10);
  ASSERT_EQ(marks.size(), 1U);
  EXPECT_EQ(marks[0].m_kind, ActionKind::MarkStarted);
  EXPECT_TRUE(scheduler.Decide(now, 10).empty());
  scheduler.OnMarked(now, kProof);
  scheduler.OnMarked(now, kProof); // A repeated answer changes nothing.
  EXPECT_EQ(CountOf(scheduler.Decide(now, 10), ActionKind::Start), 1U);
  EXPECT_TRUE(scheduler.Decide(now, 10).empty());
}

TEST(SchedAtMostOnce, IsAskedForAgainAfterAFailedMark)
{
  auto scheduler = MakeSlice(1);
  Time now = Time() + seconds(1);
  scheduler.Submit(now, Proof());
  scheduler.Decide(now, 10);
  scheduler.OnMarkFailed(now, kProof);
  now += seconds(60);
  EXPECT_EQ(CountOf(scheduler.Decide(now, 10), ActionKind::MarkStarted), 1U);
}

TEST(SchedAtMostOnce, EndsAsMayHaveRunWhenItsWorkerIsLost)
{
  const Time now = Time() + seconds(1);
  auto [scheduler, start] = RunningProof(now);
  scheduler.RemoveWorker(now, start.m_worker);
  EXPECT_TRUE(scheduler.Decide(now + seconds(60), 10).empty());
  EXPECT_EQ(scheduler.JobStatus(kProof.m_job)->m_state, JobState::MayHaveRun);
  EXPECT_EQ(scheduler.TakeFinished().size(), 1U);
}

TEST(SchedAtMostOnce, RunsAgainOnlyWhenItsTeamDecidesSo)
{
  const Time now = Time() + seconds(1);
  auto [scheduler, start] = RunningProof(now);
  scheduler.RemoveWorker(now, start.m_worker);
  EXPECT_EQ(scheduler.Resolve(now, kProof.m_job, true), 1U);
  EXPECT_EQ(CountOf(scheduler.Decide(now, 10), ActionKind::MarkStarted), 1U);
}

TEST(SchedAtMostOnce, CountsAsFailedWhenItsTeamGivesUp)
{
  const Time now = Time() + seconds(1);
  auto [scheduler, start] = RunningProof(now);
  End(scheduler, now, start, worker::TaskOutcome::LeaseExpired);
  EXPECT_EQ(scheduler.Resolve(now, kProof.m_job, false), 1U);
  EXPECT_EQ(scheduler.JobStatus(kProof.m_job)->m_state, JobState::Failed);
}

TEST(SchedAtMostOnce, StartsElsewhereIfItsWorkerGoesBeforeTheStart)
{
  auto scheduler = MakeSlice(2);
  const Time now = Time() + seconds(1);
  scheduler.Submit(now, Proof());
  const auto marks = scheduler.Decide(now, 10);
  scheduler.RemoveWorker(now, marks.at(0).m_worker);
  scheduler.OnMarked(now, kProof);
  const auto starts = scheduler.Decide(now, 10);
  ASSERT_EQ(CountOf(starts, ActionKind::Start), 1U);
  EXPECT_NE(starts[0].m_worker, marks[0].m_worker);
}

TEST(SchedAtMostOnce, IsNotStartedByTheNextOwnerOnceMarked)
{
  auto scheduler = MakeSlice(2);
  const Time now = Time() + seconds(1);
  scheduler.SetOpen(false);
  scheduler.Recover(now, Proof(), { .m_marked = { 0 }, .m_succeeded = {} });
  scheduler.SetOpen(true);
  EXPECT_TRUE(scheduler.Decide(now, 10).empty());
  EXPECT_EQ(scheduler.JobStatus(kProof.m_job)->m_state, JobState::MayHaveRun);
}

} // namespace lacewing::fakes
