/// Guards against a successor that waits for workers on which nothing can run,
/// and against tasks on workers that a successor would not wait for.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace lacewing::fakes {

namespace {

const pool::WorkerId kW1("w1");
const pool::WorkerId kW2("w2");

bool
Contains(const std::vector<pool::WorkerId>& aWorkers,
         const pool::WorkerId& aWorker)
{
  return std::ranges::find(aWorkers, aWorker) != aWorkers.end();
}

PoolFixture
TwoWorkers()
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2") });
  fixture.ReportAllIdle();
  return fixture;
}

/// Load pattern: in a large pool some workers never respond. After every leader
/// change the new leader waited five seconds for them before it started any
/// loaded job.
TEST(PoolRecordedWorkers, UnresponsiveWorkerWithoutRunsIsNotRecorded)
{
  PoolFixture fixture = TwoWorkers();
  EXPECT_TRUE(Contains(
    fixture.m_scheduler.ListWorkersToRecord(fixture.m_now).m_workers, kW2));
  fixture.m_now += seconds(7);
  fixture.ReportInventory(kW1, {}, {});
  const auto recorded =
    fixture.m_scheduler.ListWorkersToRecord(fixture.m_now).m_workers;
  EXPECT_TRUE(Contains(recorded, kW1));
  EXPECT_FALSE(Contains(recorded, kW2));
}

/// A successor waits for just these runs, and not before it starts any other.
TEST(PoolRecordedWorkers, UnresponsiveWorkerIsRecordedWithTheRunsThatMayGoOn)
{
  PoolFixture fixture({ PoolWorker("w1") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("job", kUrgentQueue, { PoolStep(1) }));
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 1U);
  fixture.m_scheduler.NextDeadline(fixture.m_now, kW1);
  fixture.m_now += seconds(3);
  const auto recorded = fixture.m_scheduler.ListWorkersToRecord(fixture.m_now);
  EXPECT_FALSE(Contains(recorded.m_workers, kW1));
  const std::vector<pool::CordonedWorker> expected{ { kW1,
                                                      { starts[0].m_task } } };
  EXPECT_EQ(recorded.m_cordoned, expected);
}

/// The stored row says which runs may go on at the worker, so it must not get
/// others before a row names it as one that may run anything.
TEST(PoolRecordedWorkers, WorkerThatAnswersAgainGetsNoTasksBeforeTheNextRow)
{
  PoolFixture fixture({ PoolWorker("w1") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("job", kUrgentQueue, { PoolStep(1) }));
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 1U);
  fixture.m_scheduler.NextDeadline(fixture.m_now, kW1);
  fixture.m_now += seconds(3);
  const auto recorded = fixture.m_scheduler.ListWorkersToRecord(fixture.m_now);
  fixture.m_scheduler.SetRecordedWorkers(recorded.m_workers);
  fixture.ReportInventory(kW1, { RunOf(starts[0]) }, {});
  fixture.Add(PoolJob("next", kUrgentQueue, { PoolStep(1) }));
  EXPECT_TRUE(fixture.m_scheduler.Plan(fixture.m_now).m_starts.empty());
  EXPECT_EQ(fixture.Plan().m_starts.size(), 1U);
}

/// The stored row still names the worker while the write of a row without the
/// worker is in flight.
TEST(PoolRecordedWorkers, WorkerThatTheNextRowLeavesOutGetsNoTasks)
{
  PoolFixture fixture({ PoolWorker("w1") });
  fixture.ReportAllIdle();
  fixture.Record();
  fixture.m_now += seconds(7);
  fixture.m_scheduler.ListWorkersToRecord(fixture.m_now);
  fixture.m_scheduler.SetRecordedWorkers({ kW1 });
  fixture.ReportInventory(kW1, {}, {});
  fixture.Add(PoolJob("job", kUrgentQueue, { PoolStep(1) }));
  EXPECT_TRUE(fixture.m_scheduler.Plan(fixture.m_now).m_starts.empty());
  EXPECT_EQ(fixture.Plan().m_starts.size(), 1U);
}

/// Workers that never responded to any leader stayed in the row forever.
TEST(PoolRecordedWorkers, PreviousWorkerIsRemovedOnceItsLeasesHaveExpired)
{
  PoolFixture fixture(
    { PoolWorker("w1"), PoolWorker("w2") }, PoolSample(), 2, { kW1, kW2 });
  fixture.ReportInventory(kW1, {}, {});
  EXPECT_TRUE(Contains(
    fixture.m_scheduler.ListWorkersToRecord(fixture.m_now).m_workers, kW2));
  fixture.m_now += seconds(11);
  fixture.ReportInventory(kW1, {}, {});
  fixture.Plan();
  EXPECT_FALSE(Contains(
    fixture.m_scheduler.ListWorkersToRecord(fixture.m_now).m_workers, kW2));
}

} // namespace

} // namespace lacewing::fakes
