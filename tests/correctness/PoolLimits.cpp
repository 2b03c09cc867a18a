/// Guards against a team above its upper limit and a worker above its capacity,
/// also while runs are being stopped.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

TEST(PoolLimits, TeamStaysWithinItsUpperLimitOverAllWorkers)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2") },
                      PoolSample({ 5000, 0, 0 }));
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("many", kPatientQueue, { PoolStep(12, 1000) }));
  EXPECT_EQ(fixture.Plan().m_starts.size(), 5U);
}

TEST(PoolLimits, WorkerStaysWithinItsCapacityWhileARunIsStopping)
{
  PoolFixture fixture({ PoolWorker("w1") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("full", kPatientQueue, { PoolStep(2, 4000) }));
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 2U);
  fixture.Confirm(starts);
  fixture.m_scheduler.CancelJob(fixture.m_now, JobId("full"));
  fixture.Add(PoolJob("next", kUrgentQueue, { PoolStep(1, 4000) }));
  const auto actions = fixture.Plan();
  EXPECT_EQ(actions.m_stops.size(), 2U);
  EXPECT_TRUE(actions.m_starts.empty());
  fixture.ReportInventory(starts[0].m_worker,
                          { RunOf(starts[1]) },
                          { EndOf(starts[0], 1, pool::RunEnd::Stopped) });
  EXPECT_EQ(fixture.Plan().m_starts.size(), 1U);
}

TEST(PoolLimits, TasksOfAStepPerWorkerAreLimited)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2") });
  fixture.ReportAllIdle();
  pool::StepSpec spread = PoolStep(5, 1000);
  spread.m_maxPerWorker = 2;
  fixture.Add(PoolJob("spread", kPatientQueue, { spread }));
  EXPECT_EQ(fixture.Plan().m_starts.size(), 4U);
}

TEST(PoolLimits, DrainingWorkerGetsNoNewTasks)
{
  pool::WorkerInfo leaving = PoolWorker("w1");
  leaving.m_draining = true;
  PoolFixture fixture({ leaving });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("waits", kUrgentQueue, { PoolStep(1) }));
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
}

} // namespace

} // namespace lacewing::fakes
