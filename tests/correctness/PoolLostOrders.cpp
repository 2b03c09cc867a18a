/// Guards against second runs of a task when a worker falls silent, or when the
/// answer to a start is lost.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

TEST(PoolLostOrders, TaskOfASilentWorkerWaitsForTheEndOfItsLease)
{
  PoolFixture bench({ PoolWorker("w1"), PoolWorker("w2") });
  bench.AnswerAll();
  bench.Add(PoolJob("job", kPatientQueue, { PoolStep(1) }));
  const auto start = bench.Plan().m_starts.at(0);
  bench.Confirm({ start });
  const std::int64_t lease =
    bench.m_scheduler.NextDeadline(bench.m_now, start.m_worker);
  EXPECT_GT(lease, 0);
  const pool::WorkerId other(start.m_worker == pool::WorkerId("w1") ? "w2"
                                                                    : "w1");
  bench.m_now += milliseconds(4700);
  bench.Answer(other, {}, {});
  EXPECT_TRUE(bench.Plan().m_starts.empty());
  // 4.8 s on a clock that may be 2% slow, and the margin.
  bench.m_now += milliseconds(350);
  bench.Answer(other, {}, {});
  const auto again = bench.Plan().m_starts;
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].m_worker, other);
  EXPECT_GT(again[0].m_run, start.m_run);
}

TEST(PoolLostOrders, LeaseOfASilentWorkerIsNotExtended)
{
  PoolFixture bench({ PoolWorker("w1") });
  bench.AnswerAll();
  bench.m_now += seconds(2);
  EXPECT_EQ(bench.m_scheduler.NextDeadline(bench.m_now, pool::WorkerId("w1")),
            0);
}

/// The workers' longest lease comes from the settings; a longer one would be
/// shortened there and believed here.
TEST(PoolLostOrders, LeaseIsNotLongerThanWorkersTake)
{
  PoolFixture bench({ PoolWorker("w1") });
  bench.m_scheduler.SetLongestLease(seconds(2));
  bench.AnswerAll();
  EXPECT_EQ(bench.m_scheduler.NextDeadline(bench.m_now, pool::WorkerId("w1")),
            1 + 2000);
}

TEST(PoolLostOrders, StartWithoutAnAnswerKeepsItsRoomAndItsTask)
{
  PoolFixture bench({ PoolWorker("w1"), PoolWorker("w2") });
  bench.AnswerAll();
  bench.Add(PoolJob("job", kPatientQueue, { PoolStep(1, 5000) }));
  const auto start = bench.Plan().m_starts.at(0);
  bench.m_scheduler.OnStartOutcome(
    bench.m_now, start, pool::StartOutcome::Unknown);
  bench.m_now += seconds(1);
  bench.AnswerAll();
  bench.AnswerAll();
  bench.AnswerAll();
  EXPECT_TRUE(bench.Plan().m_starts.empty());
  EXPECT_TRUE(bench.m_scheduler.IsWanted(start));
  EXPECT_EQ(bench.m_scheduler.Workers().at(start.m_worker).m_used.m_millicores,
            5000);
}

TEST(PoolLostOrders, StartThatIsGivenUpIsStoppedBeforeTheTaskStartsElsewhere)
{
  PoolFixture bench({ PoolWorker("w1"), PoolWorker("w2") });
  bench.AnswerAll();
  bench.Add(PoolJob("job", kPatientQueue, { PoolStep(1) }));
  const auto start = bench.Plan().m_starts.at(0);
  bench.m_scheduler.AbandonStart(bench.m_now, start);
  const auto actions = bench.Plan();
  ASSERT_EQ(actions.m_stops.size(), 1U);
  EXPECT_TRUE(actions.m_starts.empty());
}

/// A start that was never confirmed may still be carried out while its stop is
/// on the way too; lists that do not show it say nothing. Its room was given
/// away after three such lists.
TEST(PoolLostOrders, UnconfirmedStartKeepsItsRoomUntilItsStopIsConfirmed)
{
  PoolFixture bench({ PoolWorker("w1") });
  bench.AnswerAll();
  bench.Add(PoolJob("job", kPatientQueue, { PoolStep(1, 5000) }));
  const auto start = bench.Plan().m_starts.at(0);
  bench.m_scheduler.AbandonStart(bench.m_now, start);
  const auto stop = bench.Plan().m_stops.at(0);
  for (int list = 0; list < 5; ++list) {
    bench.AnswerAll();
  }
  EXPECT_TRUE(bench.m_scheduler.IsWanted(stop));
  EXPECT_TRUE(bench.Plan().m_starts.empty());
  bench.m_scheduler.OnStopConfirmed(stop);
  for (int list = 0; list < 3; ++list) {
    bench.AnswerAll();
  }
  EXPECT_EQ(bench.Plan().m_starts.size(), 1U);
}

TEST(PoolLostOrders, NewLifeOfAWorkerFreesItsTasksAtOnce)
{
  PoolFixture bench({ PoolWorker("w1") });
  bench.AnswerAll();
  bench.Add(PoolJob("job", kPatientQueue, { PoolStep(1) }));
  const auto start = bench.Plan().m_starts.at(0);
  bench.Confirm({ start });
  pool::Inventory reborn;
  reborn.m_incarnation = 2;
  reborn.m_clockMs = 5;
  bench.m_scheduler.OnInventory(bench.m_now, start.m_worker, reborn);
  const auto again = bench.Plan().m_starts;
  ASSERT_EQ(again.size(), 1U);
  EXPECT_GT(again[0].m_run, start.m_run);
}

TEST(PoolLostOrders, StuckTaskIsStoppedAndItsWorkerAvoided)
{
  PoolFixture bench({ PoolWorker("w1") });
  bench.AnswerAll();
  bench.Add(PoolJob("job", kPatientQueue, { PoolStep(1) }));
  const auto start = bench.Plan().m_starts.at(0);
  bench.Confirm({ start });
  std::size_t stops = 0;
  for (int passed = 0; passed < 5; ++passed) {
    bench.m_now += seconds(1);
    bench.Answer(start.m_worker, { RunOf(start, 30) }, {});
    stops += bench.Plan().m_stops.size();
  }
  EXPECT_EQ(stops, 1U);
  EXPECT_FALSE(
    bench.m_scheduler.Workers().at(start.m_worker).CanAcceptTasks(bench.m_now));
}

} // namespace

} // namespace lacewing::fakes
