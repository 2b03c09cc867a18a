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

} // namespace

} // namespace lacewing::fakes
