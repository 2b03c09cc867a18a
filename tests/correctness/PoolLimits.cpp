/// Guards against a team above its upper limit and a worker above its capacity,
/// also while runs are being stopped.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

TEST(PoolLimits, TeamStaysWithinItsUpperLimitOverAllWorkers)
{
  PoolFixture bench({ PoolWorker("w1"), PoolWorker("w2") },
                    PoolSample({ 5000, 0, 0 }));
  bench.AnswerAll();
  bench.Add(PoolJob("many", kPatientQueue, { PoolStep(12, 1000) }));
  EXPECT_EQ(bench.Plan().m_starts.size(), 5U);
}

TEST(PoolLimits, WorkerStaysWithinItsCapacityWhileARunIsStopping)
{
  PoolFixture bench({ PoolWorker("w1") });
  bench.AnswerAll();
  bench.Add(PoolJob("full", kPatientQueue, { PoolStep(2, 4000) }));
  const auto starts = bench.Plan().m_starts;
  ASSERT_EQ(starts.size(), 2U);
  bench.Confirm(starts);
  bench.m_scheduler.CancelJob(bench.m_now, JobId("full"));
  bench.Add(PoolJob("next", kUrgentQueue, { PoolStep(1, 4000) }));
  const auto actions = bench.Plan();
  EXPECT_EQ(actions.m_stops.size(), 2U);
  EXPECT_TRUE(actions.m_starts.empty());
  bench.Answer(starts[0].m_worker,
               { RunOf(starts[1]) },
               { EndOf(starts[0], 1, pool::RunEnd::Stopped) });
  EXPECT_EQ(bench.Plan().m_starts.size(), 1U);
}

TEST(PoolLimits, TasksOfAStepPerWorkerAreLimited)
{
  PoolFixture bench({ PoolWorker("w1"), PoolWorker("w2") });
  bench.AnswerAll();
  pool::StepSpec spread = PoolStep(5, 1000);
  spread.m_maxPerWorker = 2;
  bench.Add(PoolJob("spread", kPatientQueue, { spread }));
  EXPECT_EQ(bench.Plan().m_starts.size(), 4U);
}

TEST(PoolLimits, DrainingWorkerGetsNoNewTasks)
{
  pool::WorkerInfo leaving = PoolWorker("w1");
  leaving.m_draining = true;
  PoolFixture bench({ leaving });
  bench.AnswerAll();
  bench.Add(PoolJob("waits", kUrgentQueue, { PoolStep(1) }));
  EXPECT_TRUE(bench.Plan().m_starts.empty());
}

} // namespace

} // namespace lacewing::fakes
