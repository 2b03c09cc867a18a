/// Guards against work that the scheduler never considers because it is queued
/// behind a long backlog. Load pattern: a team submits many times its share, so
/// that thousands of pending jobs that do not fit precede one that does.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

#include <functional>

namespace lacewing::fakes {

namespace {

/// The worker has capacity for small tasks beside a long one.
class BusyWorker : public PoolFixture
{
public:
  BusyWorker()
    : PoolFixture({ PoolWorker("w1") }, PoolSample({}, kWeight))
  {
    ReportAllIdle();
    Add(PoolJob("long", kUrgentQueue, { PoolStep(1, 6000) }));
    m_long = Plan().m_starts.at(0);
    Confirm({ m_long });
  }

  /// Adds jobs of one task each.
  void AddBacklog(int aJobs, std::int64_t aMillicores)
  {
    for (int number = 0; number < aJobs; ++number) {
      Add(PoolJob("big" + std::to_string(number),
                  kPatientQueue,
                  { PoolStep(1, aMillicores) }));
    }
  }

  /// Reports that the long task goes on.
  void ReportLongTask()
  {
    ReportInventory(m_workers[0].m_id, { RunOf(m_long, ++m_percent) }, {});
  }

private:
  /// All jobs are within the team's share.
  static constexpr double kWeight = 1e6;

  pool::StartTask m_long;
  int m_percent = 0;
};

/// Idle workers, and a backlog of jobs that none of them can run.
class LargePool : public PoolFixture
{
public:
  LargePool(int aWorkers, Resources aCapacity)
    : PoolFixture(Workers(aWorkers, aCapacity), PoolSample({}, kWeight))
  {
    ReportAllIdle();
    constexpr int kBacklog = 3000;
    for (int number = 0; number < kBacklog; ++number) {
      Add(PoolJob("big" + std::to_string(number),
                  kPatientQueue,
                  { PoolStep(1, aCapacity.m_millicores + 1) }));
    }
  }

  /// Adds steps that need advice. They stay at the head of the order, since
  /// they are in time for longer than the tests take.
  void AddAskingSteps(int aSteps)
  {
    for (int number = 0; number < aSteps; ++number) {
      pool::StepSpec step = PoolStep(1);
      step.m_estimate = seconds(40);
      Add(PoolJob("asking" + std::to_string(number), kPolicyQueue, { step }));
    }
  }

  /// Whether the policy service lets the job run on the worker.
  using Policy = std::function<bool(const JobId&, const pool::WorkerId&)>;

  /// Plans until a task starts, at most for that long, and answers questions
  /// with the permitted ones of the workers. Returns the number of starts.
  std::size_t StartsWithin(Duration aTime, const Policy& aIsPermitted)
  {
    const Time end = m_now + aTime;
    std::size_t started = 0;
    while (started == 0 && m_now < end) {
      const pool::Actions actions = Plan();
      started += actions.m_starts.size();
      m_now += milliseconds(300);
      for (const pool::AdviceRequest& request : actions.m_adviceRequests) {
        std::vector<pool::Permission> permitted;
        for (const pool::WorkerId& worker : request.m_workers) {
          if (aIsPermitted(request.m_job, worker)) {
            permitted.push_back({ worker, "ticket" });
          }
        }
        m_scheduler.OnAdvice(m_now, request, permitted);
      }
      ReportAllIdle();
    }
    return started;
  }

private:
  static constexpr double kWeight = 1e6;

  static std::vector<pool::WorkerInfo> Workers(int aCount, Resources aCapacity)
  {
    std::vector<pool::WorkerInfo> workers;
    workers.reserve(static_cast<std::size_t>(aCount));
    for (int number = 0; number < aCount; ++number) {
      workers.push_back(PoolWorker("w" + std::to_string(number), aCapacity));
    }
    return workers;
  }
};

TEST(PoolBacklog, StepBehindThousandsThatDoNotFitIsStartedInItsTurn)
{
  BusyWorker fixture;
  fixture.AddBacklog(3000, 5000);
  fixture.m_now += milliseconds(1);
  fixture.Add(PoolJob("small", kPatientQueue, { PoolStep(1, 1000) }));
  constexpr int kMaxPlans = 40; // a third of a second
  int plans = 0;
  std::size_t started = 0;
  while (started == 0 && plans < kMaxPlans) {
    started += fixture.Plan().m_starts.size();
    ++plans;
  }
  EXPECT_EQ(started, 1U);
}

/// Guards against an accepted job that never starts beside free room: behind a
/// long backlog its tickets had always expired when its turn came.
TEST(PoolBacklog, StepBehindThousandsStartsBeforeItsTicketsExpire)
{
  BusyWorker fixture;
  fixture.AddBacklog(3000, 5000);
  // Equal jobs are in the order of their ids.
  fixture.Add(PoolJob("small", kPolicyQueue, { PoolStep(1, 1000) }));
  // Each step has its turn every eight seconds, and a ticket is valid for two.
  constexpr Duration kPlanSpacing = milliseconds(300);
  constexpr Duration kAnswerDelay = milliseconds(200);
  const Time end = fixture.m_now + seconds(30);
  std::size_t started = 0;
  while (started == 0 && fixture.m_now < end) {
    const pool::Actions actions = fixture.Plan();
    started += actions.m_starts.size();
    fixture.m_now += kAnswerDelay;
    for (const pool::AdviceRequest& request : actions.m_adviceRequests) {
      fixture.m_scheduler.OnAdvice(
        fixture.m_now, request, { { pool::WorkerId("w1"), "ticket" } });
    }
    fixture.m_now += kPlanSpacing - kAnswerDelay;
    fixture.ReportLongTask();
  }
  EXPECT_EQ(started, 1U);
}

/// Guards against a wide gang behind a long backlog that never has enough
/// tickets at once: its members need more workers than one answer permits.
TEST(PoolBacklog, WideGangBehindThousandsStartsOnWorkersOfSeveralAnswers)
{
  LargePool fixture(300, { 32'000, 64'000, 0 });
  // Two members fit on a worker, so that the gang needs 31 permitted ones. A
  // question names at most a hundred workers.
  pool::StepSpec gang = PoolStep(61, 6000);
  gang.m_each.m_memoryMib = 28'000;
  gang.m_gang = true;
  fixture.Add(PoolJob("gang", kPolicyQueue, { gang }));
  const auto threeOfTen = [](const JobId&, const pool::WorkerId& aWorker) {
    // Whether a worker may run the step does not change.
    return std::hash<pool::WorkerId>()(aWorker) % 10 < 3;
  };
  EXPECT_EQ(fixture.StartsWithin(seconds(30), threeOfTen), 61U);
}

/// Guards against a step behind a long backlog that asks about a hundred
/// workers in each turn: it finds the few that it may use only after many
/// turns.
TEST(PoolBacklog, StepWithFewPermittedWorkersBehindThousandsFindsThem)
{
  LargePool fixture(600, kWorkerCapacity);
  fixture.Add(PoolJob("small", kPolicyQueue, { PoolStep(1) }));
  const auto onlyTheLast = [](const JobId&, const pool::WorkerId& aWorker) {
    return aWorker == pool::WorkerId("w599");
  };
  EXPECT_EQ(fixture.StartsWithin(seconds(15), onlyTheLast), 1U);
}

/// Guards against an accepted job that never starts beside free room because
/// the steps at the head of the order take all questions that may be in flight.
TEST(PoolBacklog, StepBehindHundredsThatAskHasItsShareOfQuestions)
{
  LargePool fixture(600, kWorkerCapacity);
  // The policy service permits them nowhere, which takes six questions each.
  fixture.AddAskingSteps(300);
  fixture.Add(PoolJob("small", kPolicyQueue, { PoolStep(1) }));
  const auto onlySmallOnTheLast = [](const JobId& aJob,
                                     const pool::WorkerId& aWorker) {
    return aJob == JobId("small") && aWorker == pool::WorkerId("w599");
  };
  EXPECT_EQ(fixture.StartsWithin(seconds(30), onlySmallOnTheLast), 1U);
}

/// Guards against a gang whose tickets expire while it waits for a further
/// question: its members need the workers of several answers.
TEST(PoolBacklog, WideGangBehindHundredsThatAskStarts)
{
  LargePool fixture(300, { 32'000, 64'000, 0 });
  fixture.m_scheduler.SetAskingVms(3); // two questions in flight
  fixture.AddAskingSteps(300);
  pool::StepSpec gang = PoolStep(61, 6000);
  gang.m_each.m_memoryMib = 28'000;
  gang.m_gang = true;
  fixture.Add(PoolJob("gang", kPolicyQueue, { gang }));
  const auto threeOfTenForTheGang = [](const JobId& aJob,
                                       const pool::WorkerId& aWorker) {
    return aJob == JobId("gang") &&
           std::hash<pool::WorkerId>()(aWorker) % 10 < 3;
  };
  EXPECT_EQ(fixture.StartsWithin(seconds(30), threeOfTenForTheGang), 61U);
}

/// Guards against a step whose ticket was refused by the worker and that then
/// waits for its turn behind thousands.
TEST(PoolBacklog, StepWithAnInvalidTicketIsInTheNextPlan)
{
  LargePool fixture(2, kWorkerCapacity);
  fixture.Add(PoolJob("small", kPolicyQueue, { PoolStep(1) }));
  std::vector<pool::StartTask> starts;
  while (starts.empty()) {
    const pool::Actions actions = fixture.Plan();
    for (const pool::AdviceRequest& request : actions.m_adviceRequests) {
      fixture.m_scheduler.OnAdvice(
        fixture.m_now, request, { { pool::WorkerId("w0"), "old" } });
    }
    starts = actions.m_starts;
  }
  fixture.m_scheduler.OnStartOutcome(
    fixture.m_now, starts.front(), pool::StartOutcome::TicketInvalid);
  EXPECT_EQ(fixture.Plan().m_adviceRequests.size(), 1U);
}

/// Guards against a step whose question has failed and that then waits for its
/// turn behind thousands.
TEST(PoolBacklog, StepWhoseQuestionHasFailedAsksInTheNextPlan)
{
  LargePool fixture(2, kWorkerCapacity);
  fixture.Add(PoolJob("small", kPolicyQueue, { PoolStep(1) }));
  std::vector<pool::AdviceRequest> requests;
  while (requests.empty()) {
    requests = fixture.Plan().m_adviceRequests;
  }
  fixture.m_scheduler.OnAdviceFailed(fixture.m_now, requests.front());
  const pool::Actions next = fixture.Plan();
  ASSERT_EQ(next.m_adviceRequests.size(), 1U);
  EXPECT_EQ(next.m_adviceRequests.front().m_job, JobId("small"));
}

/// Guards against results that are stored late for ever under a lasting load,
/// because those of jobs with lower ids went first.
TEST(PoolBacklog, ProgressIsStoredInTheOrderOfItsChanges)
{
  PoolFixture fixture({ PoolWorker("w1") });
  for (const char* id : { "a", "b", "c" }) {
    fixture.Add(PoolJob(id, kPatientQueue, { PoolStep(1) }));
  }
  fixture.m_scheduler.CancelJob(fixture.m_now, JobId("c"));
  fixture.m_scheduler.CancelJob(fixture.m_now, JobId("a"));
  const auto writes = fixture.m_scheduler.TakeUnsaved(1);
  ASSERT_EQ(writes.size(), 1U);
  EXPECT_EQ(writes.front().m_job, JobId("c"));
}

TEST(PoolBacklog, InteractiveJobGoesFirst)
{
  BusyWorker fixture;
  fixture.AddBacklog(1000, 5000);
  fixture.Add(PoolJob("quote", kUrgentQueue, { PoolStep(1, 1000) }));
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts.front().m_task.m_job, JobId("quote"));
}

} // namespace

} // namespace lacewing::fakes
