/// Guards against second runs of a task when a worker restarts under its id
/// while the leader still sends commands to it.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

class PoolWorkerRestarts : public testing::Test
{
protected:
  PoolWorkerRestarts()
    : m_fixture({ PoolWorker("w1"), PoolWorker("w2") })
  {
    m_fixture.ReportAllIdle();
    m_fixture.Add(PoolJob("job", kPatientQueue, { PoolStep(1) }));
    m_start = m_fixture.Plan().m_starts.at(0);
  }

  pool::PoolScheduler& Scheduler() { return m_fixture.m_scheduler; }

  /// The store's entry shows that the worker has restarted.
  void ShowRestartInStore()
  {
    for (pool::WorkerInfo& info : m_fixture.m_workers) {
      info.m_incarnation = info.m_id == m_start.m_worker ? 2 : 1;
    }
    Scheduler().SetWorkers(m_fixture.m_now, m_fixture.m_workers);
  }

  /// Reports the inventory of the new incarnation.
  void ReportRestarted(std::vector<pool::ReportedRun> aRunning,
                       Time aRequestedAt)
  {
    pool::Inventory inventory;
    inventory.m_incarnation = 2;
    inventory.m_clockMs = 5;
    inventory.m_requestedAt = aRequestedAt;
    inventory.m_running = std::move(aRunning);
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

  void Confirm()
  {
    Scheduler().OnStartOutcome(
      m_fixture.m_now, m_start, pool::StartOutcome::Started);
  }

  PoolFixture m_fixture;
  pool::StartTask m_start;
};

/// All runs of the worker were taken for ended when the store showed its
/// restart. The start that the new incarnation executed ran beside a second
/// one.
TEST_F(PoolWorkerRestarts, UnansweredStartMayRunOnTheNewIncarnation)
{
  ShowRestartInStore();
  EXPECT_EQ(StartsNow(), 0U);
  Confirm();
  EXPECT_EQ(StartsNow(), 0U);
  ReportRestarted({ RunOf(m_start) }, m_fixture.m_now);
  EXPECT_EQ(StartsNow(), 0U);
  EXPECT_TRUE(Scheduler().IsWanted(m_start));
}

TEST_F(PoolWorkerRestarts, InventoryRequestedBeforeTheStartDoesNotShowItsEnd)
{
  const Time requested = m_fixture.m_now;
  m_fixture.m_now += milliseconds(10);
  Confirm();
  m_fixture.m_now += milliseconds(10);
  ReportRestarted({}, requested);
  EXPECT_EQ(StartsNow(), 0U);
  ReportRestarted({ RunOf(m_start) }, m_fixture.m_now);
  EXPECT_EQ(StartsNow(), 0U);
  EXPECT_TRUE(Scheduler().IsWanted(m_start));
}

TEST_F(PoolWorkerRestarts, RunListedBeforeTheRestartStartsAgainAtOnce)
{
  m_fixture.ReportInventory(m_start.m_worker, { RunOf(m_start) }, {});
  ShowRestartInStore();
  EXPECT_EQ(StartsNow(), 1U);
}

TEST_F(PoolWorkerRestarts, StartConfirmedBeforeTheRestartIsLostIfNotListed)
{
  Confirm();
  m_fixture.m_now += milliseconds(10);
  ShowRestartInStore();
  EXPECT_EQ(StartsNow(), 0U);
  ReportRestarted({}, m_fixture.m_now);
  EXPECT_EQ(StartsNow(), 1U);
}

/// The new incarnation may have taken the longest lease that workers accept, at
/// the latest when its restart was noticed.
TEST_F(PoolWorkerRestarts, TaskOfASilentNewIncarnationWaitsForTheLongestLease)
{
  ShowRestartInStore();
  m_fixture.m_now += seconds(6);
  EXPECT_EQ(StartsNow(), 0U);
  m_fixture.m_now += milliseconds(200);
  EXPECT_EQ(StartsNow(), 1U);
}

/// The leader had no answer to a start and heard nothing of the worker's
/// restart. It counted with the lease that it had sent, but the new incarnation
/// held the run for the longest lease: two runs at the same time (TWICE).
TEST_F(PoolWorkerRestarts, UnansweredStartMayHoldTheLongestLeaseUnheard)
{
  Scheduler().NextDeadline(m_fixture.m_now, m_start.m_worker);
  Scheduler().OnNoAnswer(m_start.m_worker);
  m_fixture.m_now += milliseconds(6100);
  EXPECT_EQ(StartsNow(), 0U);
  m_fixture.m_now += seconds(2);
  EXPECT_EQ(StartsNow(), 1U);
}

/// The new incarnation answered a start before anything else was heard of it.
/// The leader took the answer for one of the known incarnation and counted with
/// the lease that it had sent (TWICE).
TEST_F(PoolWorkerRestarts, AnswerWithAnotherClockMayComeWithTheLongestLease)
{
  Scheduler().NextDeadline(m_fixture.m_now, m_start.m_worker);
  Scheduler().OnClockOfLaterIncarnation(
    m_fixture.m_now, m_fixture.m_now, m_start.m_worker);
  Confirm();
  EXPECT_EQ(Scheduler().NextDeadline(m_fixture.m_now, m_start.m_worker), 0);
  m_fixture.m_now += milliseconds(6100);
  EXPECT_EQ(StartsNow(), 0U);
  m_fixture.m_now += seconds(2);
  EXPECT_EQ(StartsNow(), 1U);
}

/// A start that an inventory has listed was sent again until it was answered;
/// the new incarnation could execute a further copy.
TEST_F(PoolWorkerRestarts, ListedStartIsKnownToTheSender)
{
  EXPECT_FALSE(Scheduler().IsListed(m_start));
  m_fixture.ReportInventory(m_start.m_worker, { RunOf(m_start) }, {});
  EXPECT_TRUE(Scheduler().IsListed(m_start));
}

/// A command for the earlier incarnation gave the new one the longest lease.
/// The leader counted with the shorter one that it had sent since.
TEST_F(PoolWorkerRestarts, NewIncarnationMayHoldTheLongestLease)
{
  ReportRestarted({ RunOf(m_start) }, m_fixture.m_now);
  Scheduler().NextDeadline(m_fixture.m_now, m_start.m_worker);
  m_fixture.m_now += seconds(6);
  EXPECT_EQ(StartsNow(), 0U);
  m_fixture.m_now += milliseconds(200);
  EXPECT_EQ(StartsNow(), 1U);
}

/// A lease end for the former incarnation was still under way when the new one
/// reported. It came later and began the longest lease anew, while the leader
/// counted from the report.
TEST_F(PoolWorkerRestarts, LeaseEndUnderWayAtTheReportBeginsALaterLease)
{
  Scheduler().NextDeadline(m_fixture.m_now, m_start.m_worker);
  ReportRestarted({ RunOf(m_start) }, m_fixture.m_now);
  m_fixture.m_now += milliseconds(7100);
  EXPECT_EQ(StartsNow(), 0U);
  m_fixture.m_now += milliseconds(200);
  EXPECT_EQ(StartsNow(), 1U);
}

/// The entry of an idle worker was away for a moment, and the leader forgot
/// that a lease end for the former incarnation was under way. It reached the
/// new one, which held a run for longer than the leader counted with (TWICE).
TEST_F(PoolWorkerRestarts, LeaseEndUnderWayOutlastsTheRecordOfItsWorker)
{
  Scheduler().OnStartOutcome(
    m_fixture.m_now, m_start, pool::StartOutcome::Refused);
  m_fixture.m_now += seconds(2);
  m_fixture.ReportInventory(m_start.m_worker, {}, {});
  Scheduler().NextDeadline(
    m_fixture.m_now, m_start.m_worker, milliseconds(1850));
  const Time arrival = m_fixture.m_now + milliseconds(1850);
  Scheduler().SetWorkers(m_fixture.m_now, {});
  m_fixture.m_now += milliseconds(800);
  m_fixture.m_workers = { PoolWorker(m_start.m_worker.Value()) };
  ShowRestartInStore();
  ReportRestarted({}, m_fixture.m_now);
  const auto starts = m_fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 1U);
  Scheduler().NextDeadline(m_fixture.m_now, m_start.m_worker);
  ReportRestarted({ RunOf(starts[0]) }, m_fixture.m_now);
  m_fixture.m_now = arrival + milliseconds(6000);
  m_fixture.Plan();
  EXPECT_TRUE(Scheduler().IsWanted(starts[0]));
}

/// A worker came back as another kind under its id. Until the leader had read
/// its new entry, it gave the worker tasks by the labels of the former one.
TEST_F(PoolWorkerRestarts, NewIncarnationGetsTasksOnlyOnceItsEntryIsRead)
{
  m_fixture.ReportInventory(m_start.m_worker, { RunOf(m_start) }, {});
  pool::StepSpec step = PoolStep(1);
  step.m_requiredLabel = "a";
  ReportRestarted({}, m_fixture.m_now);
  const pool::WorkerRecord& worker = Scheduler().Workers().at(m_start.m_worker);
  m_fixture.Record();
  EXPECT_FALSE(worker.CanAcceptTasks(m_fixture.m_now));
  // The list of all workers still has the entry of the former incarnation.
  Scheduler().SetWorkers(m_fixture.m_now, m_fixture.m_workers);
  EXPECT_FALSE(worker.CanAcceptTasks(m_fixture.m_now));
  for (pool::WorkerInfo& info : m_fixture.m_workers) {
    info.m_labels = { "b", "r1" };
  }
  ShowRestartInStore();
  EXPECT_TRUE(worker.CanAcceptTasks(m_fixture.m_now));
  m_fixture.Add(PoolJob("labelled", kPatientQueue, { step }));
  for (const pool::StartTask& start : m_fixture.Plan().m_starts) {
    EXPECT_NE(start.m_task.m_job, JobId("labelled"));
  }
}

TEST_F(PoolWorkerRestarts, SilentWorkerGetsNeitherTasksNorALease)
{
  Scheduler().OnNoAnswer(pool::WorkerId("w1"));
  Scheduler().OnNoAnswer(pool::WorkerId("w2"));
  m_fixture.Add(PoolJob("next", kPatientQueue, { PoolStep(1) }));
  EXPECT_TRUE(m_fixture.Plan().m_starts.empty());
  EXPECT_EQ(Scheduler().NextDeadline(m_fixture.m_now, m_start.m_worker), 0);
  m_fixture.ReportAllIdle();
  EXPECT_EQ(m_fixture.Plan().m_starts.size(), 1U);
}

/// The other members of a gang waited for one that was given up, until its task
/// was free again.
TEST(PoolWorkerRestartsOfGangs, MemberThatIsGivenUpStopsTheOthersAtOnce)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2") });
  fixture.ReportAllIdle();
  pool::StepSpec step = PoolStep(2, 8000);
  step.m_gang = true;
  fixture.Add(PoolJob("gang", kPatientQueue, { step }));
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 2U);
  fixture.m_scheduler.AbandonStart(fixture.m_now, starts[0]);
  EXPECT_EQ(fixture.Plan().m_stops.size(), 2U);
}

/// After the answer to a stop the worker refuses the run, so one list without
/// it shows that it never began. The task waited for three lists, a second
/// apart on an idle worker.
TEST_F(PoolWorkerRestarts, StartThatWasStoppedAndIsNotListedFreesItsTask)
{
  Scheduler().AbandonStart(m_fixture.m_now, m_start);
  const auto stops = m_fixture.Plan().m_stops;
  ASSERT_EQ(stops.size(), 1U);
  m_fixture.m_now += milliseconds(10);
  Scheduler().OnStopConfirmed(m_fixture.m_now, m_fixture.m_now, stops[0]);
  m_fixture.m_now += milliseconds(10);
  m_fixture.ReportInventory(m_start.m_worker, {}, {});
  EXPECT_EQ(StartsNow(), 1U);
}

/// The answer to a stop came from the former incarnation and was read after the
/// restart: the new one may still execute the start.
TEST_F(PoolWorkerRestarts, StopThatTheFormerIncarnationConfirmedFreesNothing)
{
  Scheduler().AbandonStart(m_fixture.m_now, m_start);
  const auto stops = m_fixture.Plan().m_stops;
  ASSERT_EQ(stops.size(), 1U);
  const Time sentAt = m_fixture.m_now;
  m_fixture.m_now += milliseconds(10);
  ReportRestarted({}, sentAt);
  Scheduler().OnStopConfirmed(m_fixture.m_now, sentAt, stops[0]);
  for (int list = 0; list < 3; ++list) {
    m_fixture.m_now += milliseconds(10);
    ReportRestarted({}, m_fixture.m_now);
  }
  EXPECT_EQ(StartsNow(), 0U);
}

/// The former incarnation had confirmed the stop before it restarted. Lists of
/// the new one without the run freed its task, though it could still take a
/// late copy of the start.
TEST_F(PoolWorkerRestarts, StopConfirmedBeforeTheRestartIsSentAgain)
{
  Scheduler().AbandonStart(m_fixture.m_now, m_start);
  const auto stops = m_fixture.Plan().m_stops;
  ASSERT_EQ(stops.size(), 1U);
  Scheduler().OnStopConfirmed(m_fixture.m_now, m_fixture.m_now, stops[0]);
  m_fixture.m_now += milliseconds(10);
  ReportRestarted({}, m_fixture.m_now);
  for (int list = 0; list < 3; ++list) {
    m_fixture.m_now += milliseconds(10);
    ReportRestarted({}, m_fixture.m_now);
  }
  const pool::Actions actions = m_fixture.Plan();
  EXPECT_TRUE(actions.m_starts.empty());
  ASSERT_EQ(actions.m_stops.size(), 1U);
  EXPECT_EQ(actions.m_stops[0].m_task, m_start.m_task);
}

} // namespace

} // namespace lacewing::fakes
