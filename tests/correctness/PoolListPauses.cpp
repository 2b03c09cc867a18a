/// Guards against an overload that a slow store would cause. Load pattern: 350
/// workers report ends that the store takes seconds to write; each worker sent
/// its inventory at once, 25 times a second, with ends that the leader had
/// already received.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

const pool::WorkerId kW1("w1");

/// A worker whose inventory has one end that is not stored.
struct WorkerWithUnsavedEnd
{
  WorkerWithUnsavedEnd()
    : m_fixture({ PoolWorker("w1") })
  {
    m_fixture.ReportAllIdle();
    m_fixture.Add(PoolJob("job", kUrgentQueue, { PoolStep(2) }));
    m_starts = m_fixture.Plan().m_starts;
    m_fixture.Confirm(m_starts);
    ReportEnds(1);
  }

  void ReportEnds(std::uint64_t aCount)
  {
    std::vector<pool::ReportedEnd> ends;
    for (std::uint64_t number = 1; number <= aCount; ++number) {
      ends.push_back(EndOf(m_starts[number - 1], number, pool::RunEnd::Done));
    }
    m_fixture.ReportInventory(kW1, {}, std::move(ends));
  }

  Duration Delay() const
  {
    return m_fixture.m_scheduler.Workers().at(kW1).DelayBeforeNextInventory();
  }

  PoolFixture m_fixture;
  std::vector<pool::StartTask> m_starts;
};

TEST(PoolListPauses, UnchangedInventoriesAreRequestedLessAndLessOften)
{
  WorkerWithUnsavedEnd worker;
  Duration last = worker.Delay();
  EXPECT_GT(last, Duration::zero());
  constexpr int kInventories = 10;
  Duration sum{};
  for (int inventory = 0; inventory < kInventories; ++inventory) {
    worker.ReportEnds(1);
    EXPECT_GE(worker.Delay(), last);
    last = worker.Delay();
    sum += last;
  }
  EXPECT_GE(sum, seconds(2));
  // Lease extensions and new ends must not be delayed longer.
  EXPECT_LE(last, milliseconds(400));
}

TEST(PoolListPauses, NewEndShortensTheDelay)
{
  WorkerWithUnsavedEnd worker;
  const Duration first = worker.Delay();
  worker.ReportEnds(1);
  worker.ReportEnds(1);
  worker.ReportEnds(2);
  EXPECT_EQ(worker.Delay(), first);
}

TEST(PoolListPauses, NextInventoryIsRequestedAtOnceWhenAllEndsAreStored)
{
  WorkerWithUnsavedEnd worker;
  worker.m_fixture.SaveAll();
  EXPECT_EQ(worker.Delay(), Duration::zero());
}

} // namespace

} // namespace lacewing::fakes
