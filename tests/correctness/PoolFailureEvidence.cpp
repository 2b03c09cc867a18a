/// Guards against a few jobs that fail everywhere and take all workers of an
/// idle pool out of use, and against failing workers that go on being used.
#include "fakes/PoolSamples.h"
#include "pool/FailureEvidence.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using pool::StepFailures;
using pool::WorkerFailures;
using pool::WorkerId;

const WorkerFailures::StepId kStep{ JobId("job"), 0 };
const WorkerFailures::StepId kOtherStep{ JobId("other"), 0 };
constexpr std::size_t kManyWorkers = 100;

TEST(PoolFailureEvidence, StepThatFailsOnTwoWorkersIsAtFault)
{
  StepFailures failures;
  EXPECT_FALSE(failures.OnFailure(WorkerId("w1"), kManyWorkers));
  EXPECT_FALSE(failures.OnFailure(WorkerId("w1"), kManyWorkers));
  EXPECT_TRUE(failures.OnFailure(WorkerId("w2"), kManyWorkers));
  EXPECT_TRUE(failures.IsAtFault());
  EXPECT_FALSE(failures.OnFailure(WorkerId("w3"), kManyWorkers));
}

TEST(PoolFailureEvidence, StepOfWhichATaskIsDoneIsNotAtFault)
{
  StepFailures failures;
  failures.OnDone();
  for (const char* worker : { "w1", "w2", "w3" }) {
    EXPECT_FALSE(failures.OnFailure(WorkerId(worker), kManyWorkers));
  }
}

TEST(PoolFailureEvidence, StepIsAtFaultIfItFailsOnTheOnlyWorker)
{
  StepFailures failures;
  EXPECT_TRUE(failures.OnFailure(WorkerId("w1"), 1));
}

TEST(PoolFailureEvidence,
     WorkerIsAvoidedFromTheSecondFailureOnForLongerEachTime)
{
  WorkerFailures failures;
  failures.OnFailure(kStart, kStep);
  EXPECT_LE(failures.AvoidUntil(), kStart);
  failures.OnFailure(kStart, kOtherStep);
  const Time first = failures.AvoidUntil();
  EXPECT_GT(first, kStart);
  failures.OnFailure(kStart, kOtherStep);
  EXPECT_GT(failures.AvoidUntil(), first);
}

TEST(PoolFailureEvidence, WorkerIsUsedAgainOnceTheStepIsAtFault)
{
  WorkerFailures failures;
  failures.OnFailure(kStart, kStep);
  failures.OnFailure(kStart, kStep);
  ASSERT_GT(failures.AvoidUntil(), kStart);
  failures.Discard(kStep);
  EXPECT_LE(failures.AvoidUntil(), kStart);
}

TEST(PoolFailureEvidence, OtherFailuresOfAWorkerStillCount)
{
  WorkerFailures failures;
  failures.OnFailure(kStart, kStep);
  failures.OnFailure(kStart, kOtherStep);
  failures.OnFailure(kStart, kOtherStep);
  failures.Discard(kStep);
  EXPECT_GT(failures.AvoidUntil(), kStart);
}

/// Load: two jobs of which each task fails at once, on all workers of a pool
/// that is idle otherwise.
TEST(PoolFailureEvidence, JobsThatFailEverywhereLeaveThePoolUsable)
{
  std::vector<pool::WorkerInfo> workers;
  for (const char* name : { "w1", "w2", "w3", "w4" }) {
    workers.push_back(PoolWorker(name));
  }
  PoolFixture fixture(workers);
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("bad1", kPatientQueue, { PoolStep(16) }));
  fixture.Add(PoolJob("bad2", kPatientQueue, { PoolStep(16) }));
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 32U);
  std::map<WorkerId, std::vector<pool::ReportedEnd>> ends;
  for (const pool::StartTask& start : starts) {
    auto& ofWorker = ends[start.m_worker];
    ofWorker.push_back(EndOf(start, ofWorker.size() + 1, pool::RunEnd::Failed));
  }
  for (const auto& [worker, failed] : ends) {
    fixture.ReportInventory(worker, {}, failed);
  }
  fixture.Add(PoolJob("good", kUrgentQueue, { PoolStep(32) }));
  const auto actions = fixture.Plan();
  const auto good =
    std::ranges::count_if(actions.m_starts, [](const pool::StartTask& aStart) {
      return aStart.m_task.m_job == JobId("good");
    });
  EXPECT_EQ(good, 32);
  EXPECT_EQ(actions.m_failingJobs.size(), 2U);
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
