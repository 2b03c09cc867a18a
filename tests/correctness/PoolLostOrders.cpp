/// Guards against second runs of a task when a worker stops responding, or when
/// the reply to a start command is lost.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

TEST(PoolLostOrders, TaskOfAnUnresponsiveWorkerWaitsForTheEndOfItsLease)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("job", kPatientQueue, { PoolStep(1) }));
  const auto start = fixture.Plan().m_starts.at(0);
  fixture.Confirm({ start });
  const std::int64_t lease =
    fixture.m_scheduler.NextDeadline(fixture.m_now, start.m_worker);
  EXPECT_GT(lease, 0);
  const pool::WorkerId other(start.m_worker == pool::WorkerId("w1") ? "w2"
                                                                    : "w1");
  fixture.m_now += milliseconds(4700);
  fixture.ReportInventory(other, {}, {});
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  // A lease of 4.8 s on a clock that may be 2% slow, plus the margin.
  fixture.m_now += milliseconds(350);
  fixture.ReportInventory(other, {}, {});
  const auto again = fixture.Plan().m_starts;
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].m_worker, other);
  EXPECT_GT(again[0].m_run, start.m_run);
}

TEST(PoolLostOrders, LeaseOfAnUnresponsiveWorkerIsNotExtended)
{
  PoolFixture fixture({ PoolWorker("w1") });
  fixture.ReportAllIdle();
  fixture.m_now += seconds(2);
  EXPECT_EQ(
    fixture.m_scheduler.NextDeadline(fixture.m_now, pool::WorkerId("w1")), 0);
}

/// The settings limit the leases that workers accept. A worker would shorten a
/// longer lease, while the leader would count on its full length.
TEST(PoolLostOrders, LeaseIsNotLongerThanWorkersAccept)
{
  PoolFixture fixture({ PoolWorker("w1") });
  fixture.m_scheduler.SetLongestLease(seconds(2));
  fixture.ReportAllIdle();
  EXPECT_EQ(
    fixture.m_scheduler.NextDeadline(fixture.m_now, pool::WorkerId("w1")),
    1 + 2000);
}

/// A job whose only start was in doubt was not counted among the waiting ones,
/// for as long as the doubt lasted (MIXED).
TEST(PoolLostOrders, JobWhoseStartIsInDoubtIsCountedAsWaiting)
{
  PoolFixture fixture({ PoolWorker("w1") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("job", kPatientQueue, { PoolStep(1) }));
  const auto start = fixture.Plan().m_starts.at(0);
  EXPECT_EQ(fixture.m_scheduler.WaitingJobs()[kPatientQueue], 0U);
  fixture.m_scheduler.DeadlineOfStart(fixture.m_now, start);
  fixture.m_now += milliseconds(750);
  fixture.m_scheduler.DeadlineOfStart(fixture.m_now, start);
  EXPECT_EQ(fixture.m_scheduler.WaitingJobs()[kPatientQueue], 1U);
  fixture.m_scheduler.OnNoAnswer(start.m_worker);
  EXPECT_EQ(fixture.m_scheduler.WaitingJobs()[kPatientQueue], 1U);
  fixture.Confirm({ start });
  EXPECT_EQ(fixture.m_scheduler.WaitingJobs()[kPatientQueue], 0U);
}

TEST(PoolLostOrders, StartWithoutAReplyKeepsItsCapacityAndItsTask)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("job", kPatientQueue, { PoolStep(1, 5000) }));
  const auto start = fixture.Plan().m_starts.at(0);
  fixture.m_scheduler.OnStartOutcome(
    fixture.m_now, start, pool::StartOutcome::Unknown);
  fixture.m_now += seconds(1);
  fixture.ReportAllIdle();
  fixture.ReportAllIdle();
  fixture.ReportAllIdle();
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  EXPECT_TRUE(fixture.m_scheduler.IsWanted(start));
  EXPECT_EQ(
    fixture.m_scheduler.Workers().at(start.m_worker).m_used.m_millicores, 5000);
}

TEST(PoolLostOrders, AbandonedStartIsStoppedBeforeTheTaskStartsElsewhere)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("job", kPatientQueue, { PoolStep(1) }));
  const auto start = fixture.Plan().m_starts.at(0);
  fixture.m_scheduler.AbandonStart(fixture.m_now, start);
  const auto actions = fixture.Plan();
  ASSERT_EQ(actions.m_stops.size(), 1U);
  EXPECT_TRUE(actions.m_starts.empty());
}

/// A worker may still execute an unconfirmed start while the stop command is in
/// flight, so inventories without the run prove nothing. The capacity was given
/// to other tasks after three such inventories.
TEST(PoolLostOrders, UnconfirmedStartKeepsItsCapacityUntilItsStopIsConfirmed)
{
  PoolFixture fixture({ PoolWorker("w1") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("job", kPatientQueue, { PoolStep(1, 5000) }));
  const auto start = fixture.Plan().m_starts.at(0);
  fixture.m_scheduler.AbandonStart(fixture.m_now, start);
  const auto stop = fixture.Plan().m_stops.at(0);
  for (int inventory = 0; inventory < 5; ++inventory) {
    fixture.ReportAllIdle();
  }
  EXPECT_TRUE(fixture.m_scheduler.IsWanted(stop));
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  fixture.m_scheduler.OnStopConfirmed(fixture.m_now, fixture.m_now, stop);
  for (int inventory = 0; inventory < 3; ++inventory) {
    fixture.ReportAllIdle();
  }
  EXPECT_EQ(fixture.Plan().m_starts.size(), 1U);
}

TEST(PoolLostOrders, NewIncarnationOfAWorkerFreesItsTasksAtOnce)
{
  PoolFixture fixture({ PoolWorker("w1") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("job", kPatientQueue, { PoolStep(1) }));
  const auto start = fixture.Plan().m_starts.at(0);
  fixture.Confirm({ start });
  pool::Inventory restarted;
  restarted.m_incarnation = 2;
  restarted.m_clockMs = 5;
  fixture.m_scheduler.OnInventory(fixture.m_now, start.m_worker, restarted);
  EXPECT_FALSE(fixture.m_scheduler.IsWanted(start));
  // The worker takes tasks again once its new entry is read.
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  fixture.m_workers[0].m_incarnation = 2;
  fixture.m_scheduler.SetWorkers(fixture.m_now, fixture.m_workers);
  const auto again = fixture.Plan().m_starts;
  ASSERT_EQ(again.size(), 1U);
  EXPECT_GT(again[0].m_run, start.m_run);
}

TEST(PoolLostOrders, StuckTaskIsStoppedAndItsWorkerAvoided)
{
  PoolFixture fixture({ PoolWorker("w1") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("job", kPatientQueue, { PoolStep(1) }));
  const auto start = fixture.Plan().m_starts.at(0);
  fixture.Confirm({ start });
  std::size_t stops = 0;
  for (int passed = 0; passed < 5; ++passed) {
    fixture.m_now += seconds(1);
    fixture.ReportInventory(start.m_worker, { RunOf(start, 30) }, {});
    stops += fixture.Plan().m_stops.size();
  }
  EXPECT_EQ(stops, 1U);
  EXPECT_FALSE(fixture.m_scheduler.Workers()
                 .at(start.m_worker)
                 .CanAcceptTasks(fixture.m_now));
}

/// Progress is reported in whole percents. A task that takes longer than 350 s
/// kept the same percent for longer than the limit, and was stopped and started
/// again without end.
TEST(PoolLostOrders, LongTaskIsNotStoppedBetweenTwoPercents)
{
  PoolFixture fixture({ PoolWorker("w1") });
  fixture.ReportAllIdle();
  pool::StepSpec step = PoolStep(1);
  step.m_estimate = seconds(600);
  fixture.Add(PoolJob("job", kPatientQueue, { step }));
  const auto start = fixture.Plan().m_starts.at(0);
  fixture.Confirm({ start });
  const auto stopsWithin = [&](int aSeconds) {
    std::size_t stops = 0;
    for (int passed = 0; passed < aSeconds; ++passed) {
      fixture.m_now += seconds(1);
      fixture.ReportInventory(start.m_worker, { RunOf(start, 30) }, {});
      stops += fixture.Plan().m_stops.size();
    }
    return stops;
  };
  EXPECT_EQ(stopsWithin(30), 0U);
  EXPECT_EQ(stopsWithin(60), 1U);
}

} // namespace

} // namespace lacewing::fakes
