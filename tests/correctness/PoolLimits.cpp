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

/// A copy of an earlier start is carried out late, while the task waits again.
/// A second run started beside it, and the room of the first was never freed.
TEST(PoolLimits, EarlierRunThatGoesOnKeepsItsTaskWaitingAndFreesItsRoom)
{
  PoolFixture fixture({ PoolWorker("w1") });
  fixture.Add(PoolJob("job", kPatientQueue, { PoolStep(1) }));
  std::vector<pool::StartTask> starts;
  for (int run = 0; run < 2; ++run) {
    fixture.ReportAllIdle();
    starts.push_back(fixture.Plan().m_starts.at(0));
    fixture.m_scheduler.OnStartOutcome(
      fixture.m_now, starts.back(), pool::StartOutcome::NotSent);
    fixture.m_now += milliseconds(400);
  }
  const pool::WorkerId worker("w1");
  fixture.ReportInventory(worker, { RunOf(starts[0]) }, {});
  const pool::Actions actions = fixture.Plan();
  EXPECT_EQ(actions.m_stops.size(), 1U);
  EXPECT_TRUE(actions.m_starts.empty());
  for (const pool::StartTask& start : actions.m_starts) {
    starts.push_back(start);
  }
  fixture.m_now += milliseconds(400);
  std::vector<pool::ReportedEnd> ends{ EndOf(
    starts[0], 1, pool::RunEnd::Stopped) };
  for (std::size_t later = 2; later < starts.size(); ++later) {
    ends.push_back(EndOf(starts[later], later, pool::RunEnd::Done));
  }
  fixture.ReportInventory(worker, {}, ends);
  EXPECT_EQ(fixture.m_scheduler.Counts(fixture.m_now).m_usedMillicores, 0);
}

} // namespace

} // namespace lacewing::fakes
