/// Guards against steps that wait for permission forever, and against starts
/// with an expired ticket.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

TEST(PoolTickets, StepStartsOnlyOnPermittedWorkers)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("job", kPolicyQueue, { PoolStep(3) }));
  const auto actions = fixture.Plan();
  EXPECT_TRUE(actions.m_starts.empty());
  ASSERT_EQ(actions.m_adviceRequests.size(), 1U);
  EXPECT_EQ(actions.m_adviceRequests[0].m_workers.size(), 2U);
  fixture.m_scheduler.OnAdvice(fixture.m_now,
                               actions.m_adviceRequests[0],
                               { { pool::WorkerId("w2"), "ticket" } });
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 3U);
  for (const auto& start : starts) {
    EXPECT_EQ(start.m_worker, pool::WorkerId("w2"));
    EXPECT_EQ(start.m_ticket, "ticket");
  }
}

/// A step was never placed after a worker with a ticket had left: the scheduler
/// checked the oldest ticket, which was that worker's and could not be renewed.
TEST(PoolTickets, WorkerThatLeftDoesNotBlockTheStep)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("job", kPolicyQueue, { PoolStep(1) }));
  const auto request = fixture.Plan().m_adviceRequests.at(0);
  fixture.m_now += seconds(3);
  fixture.m_workers.pop_back();
  fixture.m_scheduler.SetWorkers(fixture.m_now, fixture.m_workers);
  fixture.ReportAllIdle();
  fixture.m_scheduler.OnAdvice(
    fixture.m_now - seconds(3),
    request,
    { { pool::WorkerId("w1"), "old" }, { pool::WorkerId("w2"), "old" } });
  const auto renewal = fixture.Plan();
  ASSERT_EQ(renewal.m_adviceRequests.size(), 1U);
  EXPECT_TRUE(renewal.m_starts.empty());
  fixture.m_scheduler.OnAdvice(fixture.m_now,
                               renewal.m_adviceRequests[0],
                               { { pool::WorkerId("w1"), "new" } });
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].m_ticket, "new");
}

TEST(PoolTickets, ExpiredTicketIsRenewedBeforeTheStart)
{
  PoolFixture fixture({ PoolWorker("w1") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("job", kPolicyQueue, { PoolStep(1) }));
  const auto request = fixture.Plan().m_adviceRequests.at(0);
  fixture.m_scheduler.OnAdvice(
    fixture.m_now, request, { { pool::WorkerId("w1"), "ticket" } });
  fixture.m_now += seconds(2);
  fixture.ReportAllIdle();
  const auto actions = fixture.Plan();
  EXPECT_TRUE(actions.m_starts.empty());
  EXPECT_EQ(actions.m_adviceRequests.size(), 1U);
}

/// A step whose tickets have expired, behind many older ones that can't start.
class PoolBlockedSteps : public testing::Test
{
protected:
  /// The scheduler renews the tickets of ten steps.
  static constexpr int kBlocked = 10;
  static constexpr int kRounds = 60;

  static pool::PoolConfig Config(Duration aValidity = seconds(2))
  {
    pool::PoolConfig config = PoolSample();
    config.m_queues.back().m_advice->m_validity = aValidity;
    config.m_teams.push_back({ Limited(), { "other" }, 1000, { 500, 0, 0 } });
    return config;
  }

  PoolBlockedSteps()
    : m_fixture({ PoolWorker("w1") }, Config())
  {
    m_fixture.ReportAllIdle();
  }

  /// Permits all workers that are asked about.
  void Answer(const std::vector<pool::AdviceRequest>& aRequests)
  {
    for (const pool::AdviceRequest& request : aRequests) {
      std::vector<pool::Permission> permitted;
      for (const pool::WorkerId& worker : request.m_workers) {
        permitted.push_back({ worker, "ticket" });
      }
      m_fixture.m_scheduler.OnAdvice(m_fixture.m_now, request, permitted);
    }
  }

  void AddBlocked(const TeamId& aTeam, std::int64_t aMillicores)
  {
    for (int number = 0; number < kBlocked; ++number) {
      pool::Job job = PoolJob("a" + std::to_string(number),
                              kPolicyQueue,
                              { PoolStep(1, aMillicores) });
      job.m_team = aTeam;
      m_fixture.Add(job);
    }
  }

  /// Answers advice requests for a while; the first answer for `job` names
  /// tickets that have expired. True if a task of it starts.
  bool JobStarts()
  {
    const JobId waiting("job");
    m_fixture.Add(PoolJob(waiting.Value(), kPolicyQueue, { PoolStep(1) }));
    bool expired = false;
    for (int round = 0; round < kRounds; ++round) {
      const pool::Actions actions = m_fixture.Plan();
      if (!actions.m_starts.empty()) {
        return actions.m_starts[0].m_task.m_job == waiting;
      }
      for (const pool::AdviceRequest& request : actions.m_adviceRequests) {
        const bool late = request.m_job == waiting && !expired;
        expired = expired || late;
        m_fixture.m_scheduler.OnAdvice(late ? m_fixture.m_now - seconds(3)
                                            : m_fixture.m_now,
                                       request,
                                       { { pool::WorkerId("w1"), "ticket" } });
      }
      m_fixture.m_now += milliseconds(100);
      m_fixture.ReportAllIdle();
    }
    return false;
  }

  static TeamId Limited() { return TeamId("limited"); }

  PoolFixture m_fixture;
};

/// Only the first ten steps renewed their tickets, also if no worker could ever
/// run them. The job behind them waited beside a free worker.
TEST_F(PoolBlockedSteps, StepsThatNoWorkerCanRunLeaveTheRenewalsToOthers)
{
  AddBlocked(kTeam, 40'000);
  EXPECT_TRUE(JobStarts());
}

TEST_F(PoolBlockedSteps, StepsOfATeamAtItsLimitLeaveTheRenewalsToOthers)
{
  AddBlocked(Limited(), 1000);
  EXPECT_TRUE(JobStarts());
}

/// A step behind ten that lack room had valid tickets of a full worker only. It
/// never asked about a free worker that came later, as long as these lasted.
TEST_F(PoolBlockedSteps, StepAsksAboutAFreeWorkerBesideItsFullOnes)
{
  m_fixture.m_scheduler.SetConfig(m_fixture.m_now, Config(seconds(600)));
  m_fixture.Add(PoolJob("full", kPatientQueue, { PoolStep(1, 8000) }));
  const auto running = m_fixture.Plan().m_starts;
  ASSERT_EQ(running.size(), 1U);
  AddBlocked(kTeam, 8000);
  m_fixture.Add(PoolJob("job", kPolicyQueue, { PoolStep(1) }));
  bool starts = false;
  for (int round = 0; round < kRounds; ++round) {
    if (round == kRounds / 2) {
      m_fixture.m_workers.push_back(PoolWorker("w2", { 4000, 4000, 0 }));
      m_fixture.m_scheduler.SetWorkers(m_fixture.m_now, m_fixture.m_workers);
    }
    const pool::Actions actions = m_fixture.Plan();
    starts = starts || !actions.m_starts.empty();
    Answer(actions.m_adviceRequests);
    m_fixture.m_now += milliseconds(100);
    for (const pool::WorkerInfo& worker : m_fixture.m_workers) {
      const bool full = worker.m_id == running[0].m_worker;
      m_fixture.ReportInventory(worker.m_id,
                                full ? std::vector{ RunOf(running[0], round) }
                                     : std::vector<pool::ReportedRun>(),
                                {});
    }
  }
  EXPECT_TRUE(starts);
}

} // namespace

} // namespace lacewing::fakes
