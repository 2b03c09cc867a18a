/// Guards against a few jobs that fail everywhere and take all workers of an
/// idle pool out of use, and against failing workers that go on being used.
#include "fakes/PoolSamples.h"
#include "pool/FailureEvidence.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>

namespace lacewing::fakes {

namespace {

using pool::StepFailures;
using pool::Suspicion;
using pool::WorkerFailures;
using pool::WorkerId;

const JobId kJob{ "job" };
const JobId kOtherJob{ "other" };
const JobId kThirdJob{ "third" };
constexpr std::size_t kManyWorkers = 100;

/// Guards against a step that fails everywhere and counts against workers.
TEST(PoolFailureEvidence, StepThatFailsOnTwoWorkersIsAtFault)
{
  StepFailures failures;
  EXPECT_FALSE(failures.OnFailure(kStart, 1, kManyWorkers));
  EXPECT_FALSE(failures.OnFailure(kStart, 1, kManyWorkers));
  EXPECT_TRUE(failures.OnFailure(kStart, 2, kManyWorkers));
  EXPECT_TRUE(failures.IsAtFault());
  EXPECT_FALSE(failures.OnFailure(kStart, 3, kManyWorkers));
}

/// Guards against failing workers that a sound step protects.
TEST(PoolFailureEvidence, StepThatIsDoneOnAsManyWorkersIsNotAtFault)
{
  StepFailures failures;
  for (const pool::WorkerSlot worker : { 1, 2, 3 }) {
    failures.OnDone(worker);
  }
  for (const pool::WorkerSlot worker : { 4, 5, 6 }) {
    EXPECT_FALSE(failures.OnFailure(kStart, worker, kManyWorkers));
  }
  EXPECT_FALSE(failures.IsAtFault());
}

/// Guards against a step whose failures on many workers count against them
/// since one of its tasks was done.
TEST(PoolFailureEvidence, OneDoneTaskDoesNotClearAStepThatFailsOnTwoWorkers)
{
  StepFailures failures;
  failures.OnDone(1);
  EXPECT_FALSE(failures.OnFailure(kStart, 2, kManyWorkers));
  EXPECT_TRUE(failures.OnFailure(kStart, 3, kManyWorkers));
}

/// Guards against a step that stays at fault once it is done on the workers on
/// which it had failed.
TEST(PoolFailureEvidence, LatestRunOnAWorkerCounts)
{
  StepFailures failures;
  failures.OnFailure(kStart, 1, kManyWorkers);
  failures.OnFailure(kStart, 2, kManyWorkers);
  ASSERT_TRUE(failures.IsAtFault());
  failures.OnDone(1);
  EXPECT_FALSE(failures.IsAtFault());
  EXPECT_TRUE(failures.OnFailure(kStart, 1, kManyWorkers));
}

/// Guards against a step that takes all workers though it is known to fail, and
/// against one that never gets them back.
TEST(PoolFailureEvidence, StepAtFaultIsTriedWithOneTaskAndThenWithMore)
{
  StepFailures failures;
  EXPECT_EQ(failures.MostTried(), StepFailures::kNoLimit);
  for (const pool::WorkerSlot worker : { 1, 2, 3, 4, 5 }) {
    failures.OnFailure(kStart, worker, kManyWorkers);
  }
  EXPECT_EQ(failures.MostTried(), 1U);
  failures.OnDone(1);
  EXPECT_EQ(failures.MostTried(), 2U);
  failures.OnDone(6);
  EXPECT_EQ(failures.MostTried(), 4U);
  failures.OnDone(2);
  EXPECT_EQ(failures.MostTried(), StepFailures::kNoLimit);
}

/// Guards against a successor that takes a sound step for one at fault.
TEST(PoolFailureEvidence, RestoredStepIsAtFaultIfMoreHasFailedThanWasDone)
{
  StepFailures failing;
  failing.Restore(3, 2);
  EXPECT_TRUE(failing.IsAtFault());
  failing.OnDone(1);
  failing.OnDone(2);
  EXPECT_FALSE(failing.IsAtFault());
  StepFailures sound;
  sound.Restore(3, 3);
  EXPECT_FALSE(sound.IsAtFault());
}

/// Guards against the only worker of a pool that a hopeless step takes out of
/// use.
TEST(PoolFailureEvidence, StepIsAtFaultIfItFailsOnTheOnlyWorker)
{
  StepFailures failures;
  EXPECT_TRUE(failures.OnFailure(kStart, 1, 1));
}

/// Guards against a wide job that goes on starting tasks on a worker that fails
/// them, and against a worker that is never tried again.
TEST(PoolFailureEvidence, StepKeepsAwayFromAWorkerAndTriesOneTaskLater)
{
  StepFailures failures;
  failures.OnFailure(kStart, 1, kManyWorkers);
  EXPECT_EQ(failures.MostTasksOn(kStart, 1), StepFailures::kNoLimit);
  failures.OnFailure(kStart, 1, kManyWorkers);
  EXPECT_EQ(failures.MostTasksOn(kStart, 1), 0U);
  EXPECT_EQ(failures.MostTasksOn(kStart, 2), StepFailures::kNoLimit);
  EXPECT_EQ(failures.MostTasksOn(kStart + seconds(2), 1), 1U);
  failures.OnDone(1);
  EXPECT_EQ(failures.MostTasksOn(kStart, 1), StepFailures::kNoLimit);
}

/// Guards against a failing worker that goes on being used by all jobs.
TEST(PoolFailureEvidence,
     WorkerIsAvoidedFromTheSecondFailureOnForLongerEachTime)
{
  WorkerFailures failures;
  failures.OnFailure(kStart, kJob, Suspicion::Failed);
  EXPECT_LE(failures.AvoidUntil(), kStart);
  failures.OnFailure(kStart, kOtherJob, Suspicion::Failed);
  const Time first = failures.AvoidUntil();
  EXPECT_GT(first, kStart);
  failures.OnFailure(kStart, kOtherJob, Suspicion::Failed);
  EXPECT_GT(failures.AvoidUntil(), first);
}

/// Guards against one job that takes a worker out of use.
TEST(PoolFailureEvidence, FailuresOfOneJobLeaveAWorkerUnsuspected)
{
  WorkerFailures failures;
  for (int failure = 0; failure < 5; ++failure) {
    failures.OnFailure(kStart, kJob, Suspicion::Failed);
  }
  EXPECT_FALSE(failures.IsSuspect());
  EXPECT_LE(failures.AvoidUntil(), kStart);
}

/// Guards against work that stands still for as long as its workers are
/// avoided.
TEST(PoolFailureEvidence, WorkerIsAvoidedForTwoSecondsAtMost)
{
  WorkerFailures failures;
  for (const JobId& job : { kJob, kOtherJob, kThirdJob, kJob, kOtherJob }) {
    failures.OnFailure(kStart, job, Suspicion::Failed);
    failures.OnFailure(kStart, job, Suspicion::Stuck);
  }
  EXPECT_EQ(failures.AvoidUntil(), kStart + seconds(2));
}

/// Guards against a worker that is avoided for a fault of a job.
TEST(PoolFailureEvidence, WorkerIsUsedAgainOnceTheStepIsAtFault)
{
  WorkerFailures failures;
  failures.OnFailure(kStart, kJob, Suspicion::Failed);
  failures.OnFailure(kStart, kOtherJob, Suspicion::Failed);
  ASSERT_GT(failures.AvoidUntil(), kStart);
  failures.Discard(kJob);
  EXPECT_LE(failures.AvoidUntil(), kStart);
  EXPECT_FALSE(failures.IsSuspect());
}

/// Guards against a failing worker that is used again since one of the jobs
/// that failed there was at fault.
TEST(PoolFailureEvidence, OtherFailuresOfAWorkerStillCount)
{
  WorkerFailures failures;
  failures.OnFailure(kStart, kJob, Suspicion::Failed);
  failures.OnFailure(kStart, kOtherJob, Suspicion::Failed);
  failures.OnFailure(kStart, kThirdJob, Suspicion::Failed);
  failures.Discard(kJob);
  EXPECT_GT(failures.AvoidUntil(), kStart);
}

/// Runs that end so on their workers, one after the other at the same time.
void
ReportEnds(PoolFixture& aFixture,
           const std::vector<pool::StartTask>& aStarts,
           const std::function<pool::RunEnd(const pool::TaskRef&)>& aHow)
{
  std::map<WorkerId, std::vector<pool::ReportedEnd>> ends;
  for (const pool::StartTask& start : aStarts) {
    auto& ofWorker = ends[start.m_worker];
    ofWorker.push_back(EndOf(start, ofWorker.size() + 1, aHow(start.m_task)));
  }
  for (const auto& [worker, ended] : ends) {
    aFixture.ReportInventory(worker, {}, ended);
  }
}

/// True if one of the starts is that of the task on the worker.
bool
RunsOn(const std::vector<pool::StartTask>& aStarts,
       const pool::TaskRef& aTask,
       const WorkerId& aWorker)
{
  return std::ranges::any_of(aStarts, [&](const pool::StartTask& aStart) {
    return aStart.m_task == aTask && aStart.m_worker == aWorker;
  });
}

std::vector<pool::WorkerInfo>
FourWorkers()
{
  return {
    PoolWorker("w1"), PoolWorker("w2"), PoolWorker("w3"), PoolWorker("w4")
  };
}

std::ptrdiff_t
StartsOf(const pool::Actions& aActions, const JobId& aJob)
{
  return std::ranges::count_if(
    aActions.m_starts,
    [&](const pool::StartTask& aStart) { return aStart.m_task.m_job == aJob; });
}

/// Load: two jobs of which each task fails at once, on all workers of a pool
/// that is idle otherwise.
TEST(PoolFailureEvidence, JobsThatFailEverywhereLeaveThePoolUsable)
{
  PoolFixture fixture(FourWorkers());
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("bad1", kPatientQueue, { PoolStep(16) }));
  fixture.Add(PoolJob("bad2", kPatientQueue, { PoolStep(16) }));
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 32U);
  ReportEnds(
    fixture, starts, [](const pool::TaskRef&) { return pool::RunEnd::Failed; });
  fixture.Add(PoolJob("good", kUrgentQueue, { PoolStep(32) }));
  const auto actions = fixture.Plan();
  EXPECT_EQ(StartsOf(actions, JobId("good")), 32);
  EXPECT_EQ(actions.m_failingSteps.size(), 2U);
}

/// Load: two jobs of which one task is done and all others fail, on all workers
/// of a pool that is idle otherwise. The done task made all their failures
/// count against workers, and none took any work for up to 16 s.
TEST(PoolFailureEvidence, JobsThatFailButForOneTaskLeaveThePoolUsable)
{
  PoolFixture fixture(FourWorkers());
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("bad1", kPatientQueue, { PoolStep(16) }));
  fixture.Add(PoolJob("bad2", kPatientQueue, { PoolStep(16) }));
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 32U);
  ReportEnds(fixture, starts, [](const pool::TaskRef& aTask) {
    return aTask.m_index == 0 ? pool::RunEnd::Done : pool::RunEnd::Failed;
  });
  fixture.Add(PoolJob("good", kUrgentQueue, { PoolStep(32) }));
  EXPECT_EQ(StartsOf(fixture.Plan(), JobId("good")), 32);
}

/// Load: hopeless jobs that are as wide as one worker each. Each worker saw
/// failures of one job only, and all were avoided.
TEST(PoolFailureEvidence, JobsThatFailOnAWorkerEachLeaveThePoolUsable)
{
  PoolFixture fixture(FourWorkers());
  fixture.ReportAllIdle();
  for (const char* job : { "bad1", "bad2", "bad3", "bad4" }) {
    fixture.Add(PoolJob(job, kPatientQueue, { PoolStep(8) }));
  }
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 32U);
  ReportEnds(
    fixture, starts, [](const pool::TaskRef&) { return pool::RunEnd::Failed; });
  fixture.Add(PoolJob("good", kUrgentQueue, { PoolStep(32) }));
  EXPECT_EQ(StartsOf(fixture.Plan(), JobId("good")), 32);
}

/// Load: a job whose tasks make no progress, on all workers. Each stuck task
/// took its worker out of use for 4 s.
TEST(PoolFailureEvidence, JobThatIsStuckEverywhereLeavesThePoolUsable)
{
  PoolFixture fixture(FourWorkers());
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("bad", kPatientQueue, { PoolStep(32) }));
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 32U);
  fixture.Confirm(starts);
  std::size_t stops = 0;
  while (stops == 0 && fixture.m_now < kStart + seconds(10)) {
    fixture.m_now += milliseconds(500);
    for (const pool::WorkerInfo& worker : fixture.m_workers) {
      std::vector<pool::ReportedRun> running;
      for (const pool::StartTask& start : starts) {
        if (start.m_worker == worker.m_id) {
          running.push_back(RunOf(start, 30));
        }
      }
      fixture.ReportInventory(worker.m_id, running, {});
    }
    stops = fixture.Plan().m_stops.size();
  }
  ASSERT_EQ(stops, 32U);
  ReportEnds(fixture, starts, [](const pool::TaskRef&) {
    return pool::RunEnd::Stopped;
  });
  fixture.Add(PoolJob("good", kUrgentQueue, { PoolStep(32) }));
  EXPECT_EQ(StartsOf(fixture.Plan(), JobId("good")), 32);
}

/// Load: a worker fails tasks of two sound jobs while a hopeless job runs on
/// all workers. The hopeless job must not hide it.
TEST(PoolFailureEvidence, FailingWorkerIsFoundBesideAHopelessJob)
{
  PoolFixture fixture(FourWorkers());
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("bad", kPatientQueue, { PoolStep(24) }));
  fixture.Add(PoolJob("one", kPatientQueue, { PoolStep(4) }));
  fixture.Add(PoolJob("two", kPatientQueue, { PoolStep(4) }));
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 32U);
  const auto sound =
    std::ranges::find(starts, JobId("one"), [](const pool::StartTask& aStart) {
      return aStart.m_task.m_job;
    });
  const WorkerId failing = sound->m_worker;
  ReportEnds(fixture, starts, [&](const pool::TaskRef& aTask) {
    const bool fails =
      aTask.m_job == JobId("bad") || RunsOn(starts, aTask, failing);
    return fails ? pool::RunEnd::Failed : pool::RunEnd::Done;
  });
  const auto actions = fixture.Plan();
  ASSERT_EQ(actions.m_suspects.size(), 1U);
  EXPECT_EQ(actions.m_suspects[0].m_worker, failing);
}

/// Load: a worker that has failed tasks of two jobs while the pool is full. It
/// was given as many tasks as it holds once its pause was over.
TEST(PoolFailureEvidence, SuspectWorkerIsTriedWithOneTask)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("silent") });
  fixture.ReportInventory(WorkerId("w1"), {}, {});
  fixture.Add(PoolJob("one", kPatientQueue, { PoolStep(1) }));
  fixture.Add(PoolJob("two", kPatientQueue, { PoolStep(1) }));
  auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 2U);
  ReportEnds(
    fixture, starts, [](const pool::TaskRef&) { return pool::RunEnd::Failed; });
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  fixture.m_now += seconds(2);
  fixture.ReportInventory(WorkerId("w1"), {}, {});
  fixture.Add(PoolJob("three", kPatientQueue, { PoolStep(8) }));
  starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  fixture.ReportInventory(
    WorkerId("w1"), {}, { EndOf(starts[0], 3, pool::RunEnd::Done) });
  EXPECT_GT(fixture.Plan().m_starts.size(), 1U);
}

/// A gang on trial must not exceed its limit of tasks on one worker.
TEST(PoolFailureEvidence, GangOnASuspectWorkerKeepsItsLimitForEachWorker)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("silent") });
  fixture.ReportInventory(WorkerId("w1"), {}, {});
  fixture.Add(PoolJob("one", kPatientQueue, { PoolStep(1) }));
  fixture.Add(PoolJob("two", kPatientQueue, { PoolStep(1) }));
  ReportEnds(fixture, fixture.Plan().m_starts, [](const pool::TaskRef&) {
    return pool::RunEnd::Failed;
  });
  fixture.m_scheduler.CancelJob(kStart, JobId("one"));
  fixture.m_scheduler.CancelJob(kStart, JobId("two"));
  fixture.m_now += seconds(2);
  fixture.ReportInventory(WorkerId("w1"), {}, {});
  pool::StepSpec gang = PoolStep(3);
  gang.m_gang = true;
  gang.m_maxPerWorker = 2;
  fixture.Add(PoolJob("gang", kPatientQueue, { gang }));
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  gang.m_tasks = 2;
  fixture.Add(PoolJob("smaller", kPatientQueue, { gang }));
  EXPECT_EQ(StartsOf(fixture.Plan(), JobId("smaller")), 2);
}

/// Load: one worker fails what it starts, of any job, while others are sound.
TEST(PoolFailureEvidence, WorkerThatFailsTasksOfSoundJobsIsAvoided)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2"), PoolWorker("w3") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("job", kPatientQueue, { PoolStep(24) }));
  std::vector<pool::ReportedEnd> failed;
  for (const pool::StartTask& start : fixture.Plan().m_starts) {
    if (start.m_worker == WorkerId("w1")) {
      failed.push_back(EndOf(start, failed.size() + 1, pool::RunEnd::Failed));
    }
  }
  ASSERT_EQ(failed.size(), 8U);
  fixture.ReportInventory(WorkerId("w1"), {}, failed);
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
}

} // namespace

} // namespace lacewing::fakes
