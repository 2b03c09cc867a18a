/// Guards against steps that wait for permission forever, and against starts
/// with an expired ticket.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

TEST(PoolTickets, StepStartsOnlyOnPermittedWorkers)
{
  PoolFixture bench({ PoolWorker("w1"), PoolWorker("w2") });
  bench.AnswerAll();
  bench.Add(PoolJob("job", kPolicyQueue, { PoolStep(3) }));
  const auto actions = bench.Plan();
  EXPECT_TRUE(actions.m_starts.empty());
  ASSERT_EQ(actions.m_adviceRequests.size(), 1U);
  EXPECT_EQ(actions.m_adviceRequests[0].m_workers.size(), 2U);
  bench.m_scheduler.OnAdvice(bench.m_now,
                             actions.m_adviceRequests[0],
                             { { pool::WorkerId("w2"), "ticket" } });
  const auto starts = bench.Plan().m_starts;
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
  PoolFixture bench({ PoolWorker("w1"), PoolWorker("w2") });
  bench.AnswerAll();
  bench.Add(PoolJob("job", kPolicyQueue, { PoolStep(1) }));
  const auto question = bench.Plan().m_adviceRequests.at(0);
  bench.m_now += seconds(3);
  bench.m_workers.pop_back();
  bench.m_scheduler.SetWorkers(bench.m_now, bench.m_workers);
  bench.AnswerAll();
  bench.m_scheduler.OnAdvice(
    bench.m_now - seconds(3),
    question,
    { { pool::WorkerId("w1"), "old" }, { pool::WorkerId("w2"), "old" } });
  const auto renewal = bench.Plan();
  ASSERT_EQ(renewal.m_adviceRequests.size(), 1U);
  EXPECT_TRUE(renewal.m_starts.empty());
  bench.m_scheduler.OnAdvice(bench.m_now,
                             renewal.m_adviceRequests[0],
                             { { pool::WorkerId("w1"), "new" } });
  const auto starts = bench.Plan().m_starts;
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].m_ticket, "new");
}

TEST(PoolTickets, ExpiredTicketIsRenewedBeforeTheStart)
{
  PoolFixture bench({ PoolWorker("w1") });
  bench.AnswerAll();
  bench.Add(PoolJob("job", kPolicyQueue, { PoolStep(1) }));
  const auto question = bench.Plan().m_adviceRequests.at(0);
  bench.m_scheduler.OnAdvice(
    bench.m_now, question, { { pool::WorkerId("w1"), "ticket" } });
  bench.m_now += seconds(2);
  bench.AnswerAll();
  const auto actions = bench.Plan();
  EXPECT_TRUE(actions.m_starts.empty());
  EXPECT_EQ(actions.m_adviceRequests.size(), 1U);
}

} // namespace

} // namespace lacewing::fakes
