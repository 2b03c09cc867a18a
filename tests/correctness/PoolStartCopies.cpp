/// Guards against second runs of a task when a copy of its start is under way
/// while its worker restarts: an attempt without an answer was repeated, and
/// the repetition was carried out first.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

class PoolStartCopies : public testing::Test
{
protected:
  /// The start of a task has been sent at `kStart` and, without an answer, once
  /// more 750 ms later. The first copy arrives by `kUsualDelivery`.
  PoolStartCopies()
    : m_fixture({ PoolWorker("w1"), PoolWorker("w2") })
  {
    m_fixture.ReportAllIdle();
    m_fixture.Add(PoolJob("job", kPatientQueue, { PoolStep(1) }));
    m_start = m_fixture.Plan().m_starts.at(0);
    Scheduler().DeadlineOfStart(m_fixture.m_now, m_start);
    m_fixture.m_now += milliseconds(750);
    Scheduler().DeadlineOfStart(m_fixture.m_now, m_start);
  }

  pool::PoolScheduler& Scheduler() { return m_fixture.m_scheduler; }

  /// Reports the empty inventory of a new incarnation.
  void ReportRestarted()
  {
    pool::Inventory inventory;
    inventory.m_incarnation = 2;
    inventory.m_clockMs = 5;
    inventory.m_requestedAt = m_fixture.m_now;
    Scheduler().OnInventory(m_fixture.m_now, m_start.m_worker, inventory);
  }

  std::size_t StartsNow()
  {
    for (const pool::WorkerInfo& info : m_fixture.m_workers) {
      if (info.m_id != m_start.m_worker) {
        m_fixture.ReportInventory(info.m_id, {}, {});
      }
    }
    return m_fixture.Plan().m_starts.size();
  }

  PoolFixture m_fixture;
  pool::StartTask m_start;
};

/// The former incarnation had listed the run that the repeated start began. The
/// new one took the first copy after its report, and the task had started
/// elsewhere (TWICE).
TEST_F(PoolStartCopies, FirstCopyOfAListedRunMayReachTheNewIncarnation)
{
  m_fixture.m_now += milliseconds(50);
  m_fixture.ReportInventory(m_start.m_worker, { RunOf(m_start) }, {});
  m_fixture.m_now += milliseconds(50);
  ReportRestarted();
  EXPECT_EQ(StartsNow(), 0U);
}

/// Likewise, if the former incarnation had answered the repeated start and not
/// listed the run (TWICE).
TEST_F(PoolStartCopies, FirstCopyOfAnAnsweredStartMayReachTheNewIncarnation)
{
  m_fixture.m_now += milliseconds(50);
  m_fixture.Confirm({ m_start });
  m_fixture.m_now += milliseconds(50);
  ReportRestarted();
  EXPECT_EQ(StartsNow(), 0U);
}

/// The new incarnation, of which nothing was heard, took the first copy and
/// held it for the longest lease. The leader counted with the lease of the run
/// that the former one had listed (TWICE).
TEST_F(PoolStartCopies, FirstCopyOfAListedRunMayHoldTheLongestLeaseUnheard)
{
  m_fixture.m_now += milliseconds(50);
  m_fixture.ReportInventory(m_start.m_worker, { RunOf(m_start) }, {});
  Scheduler().NextDeadline(m_fixture.m_now, m_start.m_worker);
  m_fixture.m_now = kStart + pool::kUsualDelivery + seconds(6);
  EXPECT_EQ(StartsNow(), 0U);
  m_fixture.m_now += seconds(2);
  EXPECT_EQ(StartsNow(), 1U);
}

/// The former incarnation had confirmed the stop of the run, and its list
/// without the run freed the task. The new one, which knew of no stop, took the
/// first copy (TWICE).
TEST_F(PoolStartCopies, FirstCopyOfAStoppedRunMayReachTheNextIncarnation)
{
  Scheduler().AbandonStart(m_fixture.m_now, m_start);
  const auto stops = m_fixture.Plan().m_stops;
  ASSERT_EQ(stops.size(), 1U);
  m_fixture.m_now += milliseconds(20);
  Scheduler().OnStopConfirmed(m_fixture.m_now, m_fixture.m_now, stops[0]);
  m_fixture.m_now += milliseconds(20);
  m_fixture.ReportInventory(m_start.m_worker, {}, {});
  ASSERT_LT(m_fixture.m_now, kStart + pool::kUsualDelivery);
  EXPECT_EQ(StartsNow(), 0U);
}

} // namespace

} // namespace lacewing::fakes
