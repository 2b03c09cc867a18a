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
Names(const std::vector<pool::WorkerId>& aList, const pool::WorkerId& aWorker)
{
  return std::ranges::find(aList, aWorker) != aList.end();
}

PoolFixture
TwoWorkers()
{
  PoolFixture bench({ PoolWorker("w1"), PoolWorker("w2") });
  bench.AnswerAll();
  return bench;
}

/// Load pattern: in a large pool some workers never respond. After every leader
/// change the new leader waited five seconds for them before it started any
/// loaded job.
TEST(PoolRecordedWorkers, UnresponsiveWorkerWithoutRunsIsNotRecorded)
{
  PoolFixture bench = TwoWorkers();
  EXPECT_TRUE(Names(bench.m_scheduler.ListWorkersToRecord(bench.m_now), kW2));
  bench.m_now += seconds(7);
  bench.Answer(kW1, {}, {});
  const auto list = bench.m_scheduler.ListWorkersToRecord(bench.m_now);
  EXPECT_TRUE(Names(list, kW1));
  EXPECT_FALSE(Names(list, kW2));
}

TEST(PoolRecordedWorkers, UnresponsiveWorkerIsRecordedWhileATaskMayRunThere)
{
  PoolFixture bench({ PoolWorker("w1") });
  bench.AnswerAll();
  bench.Add(PoolJob("job", kUrgentQueue, { PoolStep(1) }));
  const auto starts = bench.Plan().m_starts;
  ASSERT_EQ(starts.size(), 1U);
  bench.m_scheduler.NextDeadline(bench.m_now, kW1);
  bench.m_now += seconds(3);
  EXPECT_TRUE(Names(bench.m_scheduler.ListWorkersToRecord(bench.m_now), kW1));
}

/// The stored row still names the worker while the write of a row without the
/// worker is in flight.
TEST(PoolRecordedWorkers, WorkerThatTheNextRowLeavesOutGetsNoTasks)
{
  PoolFixture bench({ PoolWorker("w1") });
  bench.AnswerAll();
  bench.Record();
  bench.m_now += seconds(7);
  bench.m_scheduler.ListWorkersToRecord(bench.m_now);
  bench.m_scheduler.SetRecordedWorkers({ kW1 });
  bench.Answer(kW1, {}, {});
  bench.Add(PoolJob("job", kUrgentQueue, { PoolStep(1) }));
  EXPECT_TRUE(bench.m_scheduler.Plan(bench.m_now).m_starts.empty());
  EXPECT_EQ(bench.Plan().m_starts.size(), 1U);
}

/// Workers that never responded to any leader stayed in the row forever.
TEST(PoolRecordedWorkers, PreviousWorkerIsRemovedOnceItsLeasesHaveExpired)
{
  PoolFixture bench(
    { PoolWorker("w1"), PoolWorker("w2") }, PoolSample(), 2, { kW1, kW2 });
  bench.Answer(kW1, {}, {});
  EXPECT_TRUE(Names(bench.m_scheduler.ListWorkersToRecord(bench.m_now), kW2));
  bench.m_now += seconds(11);
  bench.Answer(kW1, {}, {});
  bench.Plan();
  EXPECT_FALSE(Names(bench.m_scheduler.ListWorkersToRecord(bench.m_now), kW2));
}

} // namespace

} // namespace lacewing::fakes
