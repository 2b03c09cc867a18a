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
struct OneEnd
{
  OneEnd()
    : m_bench({ PoolWorker("w1") })
  {
    m_bench.AnswerAll();
    m_bench.Add(PoolJob("job", kUrgentQueue, { PoolStep(2) }));
    m_starts = m_bench.Plan().m_starts;
    m_bench.Confirm(m_starts);
    ListEnds(1);
  }

  void ListEnds(std::uint64_t aCount)
  {
    std::vector<pool::ReportedEnd> ends;
    for (std::uint64_t number = 1; number <= aCount; ++number) {
      ends.push_back(EndOf(m_starts[number - 1], number, pool::RunEnd::Done));
    }
    m_bench.Answer(kW1, {}, std::move(ends));
  }

  Duration Pause() const
  {
    return m_bench.m_scheduler.Workers().at(kW1).DelayBeforeNextInventory();
  }

  PoolFixture m_bench;
  std::vector<pool::StartTask> m_starts;
};

TEST(PoolListPauses, UnchangedInventoriesAreRequestedLessAndLessOften)
{
  OneEnd worker;
  Duration last = worker.Pause();
  EXPECT_GT(last, Duration::zero());
  constexpr int kLists = 10;
  Duration sum{};
  for (int list = 0; list < kLists; ++list) {
    worker.ListEnds(1);
    EXPECT_GE(worker.Pause(), last);
    last = worker.Pause();
    sum += last;
  }
  EXPECT_GE(sum, seconds(2));
  // Lease extensions and new ends must not be delayed longer.
  EXPECT_LE(last, milliseconds(400));
}

TEST(PoolListPauses, NewEndShortensTheDelay)
{
  OneEnd worker;
  const Duration first = worker.Pause();
  worker.ListEnds(1);
  worker.ListEnds(1);
  worker.ListEnds(2);
  EXPECT_EQ(worker.Pause(), first);
}

TEST(PoolListPauses, NextInventoryIsRequestedAtOnceWhenAllEndsAreStored)
{
  OneEnd worker;
  worker.m_bench.SaveAll();
  EXPECT_EQ(worker.Pause(), Duration::zero());
}

} // namespace

} // namespace lacewing::fakes
