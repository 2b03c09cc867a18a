/// Guards against a broken worker that eats task after task, and against good
/// workers or good jobs that are blamed for the failures of others.
#include "fakes/SchedFleet.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using sched::ActionKind;
using sched::JobState;

constexpr Time kNow = Time() + seconds(1);
const VmId kBroken("w0");

/// Three jobs fail on a slice with a single worker.
void
FailThreeJobs(DaemonScheduler& aScheduler)
{
  for (int number = 0; number < 3; ++number) {
    const std::string id = "f" + std::to_string(number);
    aScheduler.Submit(kNow, MakeJob(id, "t", 1, { 1000, 1024, 0 }));
    const auto starts = aScheduler.Decide(kNow, 10);
    ASSERT_EQ(starts.size(), 1U);
    End(aScheduler, kNow, starts[0], worker::TaskOutcome::Failed);
  }
}

} // namespace

TEST(SchedSuspectWorkers, GetOneProbeAtATime)
{
  auto scheduler = MakeSlice(1);
  FailThreeJobs(scheduler);
  EXPECT_TRUE(scheduler.IsSuspect(kBroken));
  scheduler.Submit(kNow, MakeJob("j", "t", 5, { 1000, 1024, 0 }));
  const auto probes = scheduler.Decide(kNow, 10);
  EXPECT_EQ(probes.size(), 1U);
  EXPECT_TRUE(scheduler.Decide(kNow, 10).empty());
}

TEST(SchedSuspectWorkers, GetNoUrgentGangOrAtMostOnceWork)
{
  auto scheduler = MakeSlice(1);
  FailThreeJobs(scheduler);
  const Resources size{ 1000, 1024, 0 };
  scheduler.Submit(kNow, MakeJob("u", "t", 1, size, sched::JobKind::Urgent));
  scheduler.Submit(kNow, MakeJob("g", "t", 2, size, sched::JobKind::Gang));
  auto proof = MakeJob("p", "t", 1, size);
  proof.m_atMostOnce = true;
  scheduler.Submit(kNow, proof);
  EXPECT_TRUE(scheduler.Decide(kNow, 10).empty());
}

TEST(SchedSuspectWorkers, ComeBackAfterASuccessfulProbe)
{
  auto scheduler = MakeSlice(1);
  FailThreeJobs(scheduler);
  scheduler.Submit(kNow, MakeJob("j", "t", 5, { 1000, 1024, 0 }));
  const auto probes = scheduler.Decide(kNow, 10);
  ASSERT_EQ(probes.size(), 1U);
  End(scheduler, kNow, probes[0]);
  EXPECT_EQ(scheduler.Decide(kNow, 10).size(), 4U);
  EXPECT_FALSE(scheduler.IsSuspect(kBroken));
}

TEST(SchedSuspectWorkers, ComeBackAsTheScoreDecays)
{
  auto scheduler = MakeSlice(1);
  FailThreeJobs(scheduler);
  scheduler.Decide(kNow + std::chrono::hours(1), 10);
  EXPECT_FALSE(scheduler.IsSuspect(kBroken));
}

TEST(SchedSuspectWorkers, AreNotMadeByOneJobThatFailsEverywhere)
{
  auto scheduler = MakeSlice(6);
  scheduler.Submit(kNow, MakeJob("bad", "t", 6, { 8000, 1024, 0 }));
  for (const auto& start : scheduler.Decide(kNow, 10)) {
    End(scheduler, kNow, start, worker::TaskOutcome::Failed);
  }
  for (int number = 0; number < 6; ++number) {
    EXPECT_FALSE(scheduler.IsSuspect(MakeWorker(number).m_id));
  }
  EXPECT_EQ(scheduler.JobStatus(JobId("bad"))->m_state, JobState::Failed);
  EXPECT_TRUE(scheduler.Decide(kNow + seconds(60), 10).empty());
}

TEST(SchedSuspectWorkers, DoNotMakeAGoodJobFail)
{
  auto scheduler = MakeSlice(1);
  FailThreeJobs(scheduler);
  Time now = kNow;
  scheduler.Submit(now, MakeJob("good", "t", 1, { 1000, 1024, 0 }));
  for (int round = 0; round < 10; ++round) {
    for (const auto& start : scheduler.Decide(now, 10)) {
      End(scheduler, now, start, worker::TaskOutcome::Failed);
    }
    now += seconds(10);
  }
  EXPECT_EQ(scheduler.JobStatus(JobId("good"))->m_state, JobState::Queued);
}

TEST(SchedSuspectWorkers, GetNoSecondProbeOfAJobThatFailedThere)
{
  auto scheduler = MakeSlice(1);
  FailThreeJobs(scheduler);
  scheduler.Submit(kNow, MakeJob("j", "t", 1, { 1000, 1024, 0 }));
  const auto probes = scheduler.Decide(kNow, 10);
  ASSERT_EQ(probes.size(), 1U);
  End(scheduler, kNow, probes[0], worker::TaskOutcome::Failed);
  const Time later = kNow + seconds(6);
  EXPECT_TRUE(scheduler.IsSuspect(kBroken));
  EXPECT_TRUE(scheduler.Decide(later, 10).empty());
}

TEST(SchedSuspectWorkers, FailedProbeDoesNotDelayItsJobElsewhere)
{
  auto scheduler = MakeSlice(1);
  FailThreeJobs(scheduler);
  scheduler.Submit(kNow, MakeJob("j", "t", 2, { 1000, 1024, 0 }));
  const auto probes = scheduler.Decide(kNow, 10);
  ASSERT_EQ(probes.size(), 1U);
  scheduler.UpsertWorker(kNow, MakeWorker(1));
  End(scheduler, kNow, probes[0], worker::TaskOutcome::Failed);
  const auto starts = scheduler.Decide(kNow, 10);
  ASSERT_EQ(starts.size(), 2U);
  for (const auto& start : starts) {
    EXPECT_EQ(start.m_worker, MakeWorker(1).m_id);
  }
}

// Guards against a broken worker that uses up one task of every job, because a
// failed probe is followed by the next one at once.
TEST(SchedSuspectWorkers, WaitLongerAfterEachFailedProbe)
{
  auto scheduler = MakeSlice(1);
  FailThreeJobs(scheduler);
  std::vector<Duration> probesAt;
  const Duration step = milliseconds(100);
  for (Duration age{}; age < seconds(20); age += step) {
    const std::string id = "p" + std::to_string(age.count());
    scheduler.Submit(kNow + age, MakeJob(id, "t", 1, { 1000, 1024, 0 }));
    for (const auto& probe : scheduler.Decide(kNow + age, 10)) {
      probesAt.push_back(age);
      End(scheduler, kNow + age, probe, worker::TaskOutcome::Failed);
      scheduler.Cancel(kNow + age, probe.m_task.m_job);
    }
  }
  const std::vector<Duration> expected{
    seconds(0), seconds(1), seconds(3), seconds(7), seconds(15)
  };
  EXPECT_EQ(probesAt, expected);
}

// Guards against a worker that has recovered and gets no probe, because all
// waiting jobs have failed on it before.
TEST(SchedSuspectWorkers, GetAJobThatFailedThereAsProbeAfterAMinute)
{
  auto scheduler = MakeSlice(1);
  FailThreeJobs(scheduler);
  scheduler.Submit(kNow, MakeJob("j", "t", 1, { 1000, 1024, 0 }));
  const auto probe = scheduler.Decide(kNow, 10).at(0);
  End(scheduler, kNow, probe, worker::TaskOutcome::Failed);
  EXPECT_TRUE(scheduler.Decide(kNow + seconds(59), 10).empty());
  EXPECT_EQ(scheduler.Decide(kNow + seconds(60), 10).size(), 1U);
}

TEST(SchedSuspectWorkers, WaitAtMostAMinuteForTheNextProbe)
{
  auto scheduler = MakeSlice(1);
  FailThreeJobs(scheduler);
  Time last = kNow;
  Duration longest{};
  for (int second = 0; second < 600; ++second) {
    const Time now = kNow + seconds(second);
    scheduler.Submit(
      now, MakeJob("p" + std::to_string(second), "t", 1, { 1000, 1024, 0 }));
    for (const auto& probe : scheduler.Decide(now, 1)) {
      longest = std::max<Duration>(longest, now - last);
      last = now;
      End(scheduler, now, probe, worker::TaskOutcome::Failed);
    }
  }
  EXPECT_EQ(longest, seconds(60));
}

// Guards against retries of a job on the worker where it has just failed while
// another worker has room.
TEST(SchedSuspectWorkers, FailedTaskGoesToAnotherWorker)
{
  auto scheduler = MakeSlice(2);
  scheduler.Submit(kNow, MakeJob("j", "t", 1, { 1000, 1024, 0 }));
  const auto first = scheduler.Decide(kNow, 10).at(0);
  // A second job makes the first worker the tightest one again.
  scheduler.Submit(kNow, MakeJob("other", "t", 1, { 1000, 1024, 0 }));
  ASSERT_EQ(scheduler.Decide(kNow, 10).at(0).m_worker, first.m_worker);
  End(scheduler, kNow, first, worker::TaskOutcome::Failed);
  const auto second = scheduler.Decide(kNow + seconds(5), 10).at(0);
  EXPECT_NE(second.m_worker, first.m_worker);
}

TEST(SchedSuspectWorkers, FailedTaskGoesToTheSameWorkerIfThereIsNoOther)
{
  auto scheduler = MakeSlice(1);
  scheduler.Submit(kNow, MakeJob("j", "t", 1, { 1000, 1024, 0 }));
  const auto first = scheduler.Decide(kNow, 10).at(0);
  End(scheduler, kNow, first, worker::TaskOutcome::Failed);
  const auto second = scheduler.Decide(kNow + seconds(5), 10).at(0);
  EXPECT_EQ(second.m_worker, first.m_worker);
}

// Guards against urgent work that misses its 1.9 s because one worker is
// broken.
TEST(SchedSuspectWorkers, UrgentJobIsTriedAgainSoonElsewhere)
{
  auto scheduler = MakeSlice(2);
  const Resources size{ 1000, 1024, 0 };
  scheduler.Submit(kNow, MakeJob("u", "t", 1, size, sched::JobKind::Urgent));
  const auto first = scheduler.Decide(kNow, 10).at(0);
  End(scheduler, kNow, first, worker::TaskOutcome::Failed);
  EXPECT_TRUE(scheduler.Decide(kNow + milliseconds(199), 10).empty());
  const auto second = scheduler.Decide(kNow + milliseconds(200), 10);
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(second[0].m_worker, first.m_worker);
}

TEST(SchedSuspectWorkers, FailingTaskWaitsBeforeItsNextAttempt)
{
  auto scheduler = MakeSlice(2);
  scheduler.Submit(kNow, MakeJob("j", "t", 1, { 1000, 1024, 0 }));
  const auto start = scheduler.Decide(kNow, 10).at(0);
  End(scheduler, kNow, start, worker::TaskOutcome::Failed);
  EXPECT_TRUE(scheduler.Decide(kNow, 10).empty());
  EXPECT_EQ(scheduler.Explain(kNow, JobId("j"))->m_wait,
            sched::WaitReason::RetryWait);
  EXPECT_EQ(CountOf(scheduler.Decide(kNow + seconds(5), 10), ActionKind::Start),
            1U);
}

} // namespace lacewing::fakes
