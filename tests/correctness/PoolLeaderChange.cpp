/// Guards against tasks that run twice, workers above their capacity and
/// failures that count twice when the leader of a pool changes.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

const pool::WorkerId kW1("w1");
const pool::WorkerId kW2("w2");

PoolFixture
Successor()
{
  return PoolFixture(
    { PoolWorker("w1"), PoolWorker("w2") }, PoolSample(), 2, { kW1, kW2 });
}

/// A start by the previous leader, as its workers report it.
pool::StartTask
PreviousStart(const std::string& aJob)
{
  return { kW1, { JobId(aJob), 0, 0 }, 1, {}, {}, {} };
}

TEST(PoolLeaderChange, LoadedTaskWaitsUntilAllPreviousWorkersHaveAnswered)
{
  PoolFixture fixture = Successor();
  fixture.m_scheduler.AddJob(kStart,
                             PoolJob("old", kPatientQueue, { PoolStep(1) }),
                             {},
                             {},
                             pool::JobOrigin::Loaded);
  fixture.ReportInventory(kW2, {}, {});
  fixture.m_now += seconds(1);
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  fixture.ReportInventory(kW1, { RunOf(PreviousStart("old")) }, {});
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  EXPECT_EQ(fixture.m_scheduler.FindJob(JobId("old"))->Step(0).m_placed, 1U);
}

TEST(PoolLeaderChange,
     LoadedTaskStartsOnceTheLeasesOfAnUnresponsiveWorkerHaveExpired)
{
  PoolFixture fixture = Successor();
  fixture.m_scheduler.AddJob(kStart,
                             PoolJob("old", kPatientQueue, { PoolStep(1) }),
                             {},
                             {},
                             pool::JobOrigin::Loaded);
  fixture.m_now += milliseconds(9900);
  fixture.ReportInventory(kW2, {}, {});
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  fixture.m_now += milliseconds(200);
  EXPECT_EQ(fixture.Plan().m_starts.size(), 1U);
}

/// A worker that the store no longer listed was given up five seconds after the
/// change, although the previous leader, cut off from the store, can extend its
/// lease for longer. The task ran twice at the same time.
TEST(PoolLeaderChange,
     WorkerThatIsNotListedMayRunTasksUntilItsLeasesHaveExpired)
{
  PoolFixture fixture = Successor();
  fixture.m_scheduler.AddJob(kStart,
                             PoolJob("old", kPatientQueue, { PoolStep(1) }),
                             {},
                             {},
                             pool::JobOrigin::Loaded);
  fixture.m_scheduler.SetWorkers(kStart, { PoolWorker("w2") });
  fixture.m_now += milliseconds(9900);
  fixture.ReportInventory(kW2, {}, {});
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  fixture.m_now += milliseconds(200);
  EXPECT_EQ(fixture.Plan().m_starts.size(), 1U);
}

/// The deposed leader started a job that was accepted during the change. Its
/// successor gave the capacity of the run to other tasks and started the task
/// again.
TEST(PoolLeaderChange, RunOfAnUnknownJobReservesItsWorkerUntilTheJobIsLoaded)
{
  PoolFixture fixture = Successor();
  fixture.ReportInventory(kW1, { RunOf(PreviousStart("late")) }, {});
  fixture.ReportInventory(kW2, {}, {});
  fixture.Add(PoolJob("other", kUrgentQueue, { PoolStep(9, 1000) }));
  const auto actions = fixture.Plan();
  ASSERT_EQ(actions.m_lookups.size(), 1U);
  EXPECT_EQ(actions.m_lookups[0], JobId("late"));
  EXPECT_TRUE(actions.m_stops.empty());
  EXPECT_EQ(actions.m_starts.size(), 8U);
  for (const auto& start : actions.m_starts) {
    EXPECT_EQ(start.m_worker, kW2);
  }
  fixture.m_scheduler.AddJob(
    fixture.m_now,
    PoolJob("late", kPatientQueue, { PoolStep(1, 7500) }),
    {},
    {},
    pool::JobOrigin::Loaded);
  fixture.ReportInventory(kW1, { RunOf(PreviousStart("late"), 2) }, {});
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  EXPECT_EQ(fixture.m_scheduler.FindJob(JobId("late"))->Step(0).m_placed, 1U);
}

/// After the lookup of a reported run's job, the task was started on another
/// worker before the first worker had reported the run again.
TEST(PoolLeaderChange, RunIsAdoptedAsSoonAsItsJobIsLoaded)
{
  PoolFixture fixture = Successor();
  fixture.ReportInventory(kW1, { RunOf(PreviousStart("late")) }, {});
  fixture.ReportInventory(kW2, {}, {});
  ASSERT_EQ(fixture.Plan().m_lookups.size(), 1U);
  fixture.m_scheduler.AddJob(fixture.m_now,
                             PoolJob("late", kPatientQueue, { PoolStep(1) }),
                             {},
                             {},
                             pool::JobOrigin::Loaded);
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  EXPECT_EQ(fixture.m_scheduler.FindJob(JobId("late"))->Step(0).m_placed, 1U);
}

TEST(PoolLeaderChange, RunWithoutAStoredJobIsStopped)
{
  PoolFixture fixture = Successor();
  fixture.ReportInventory(kW1, { RunOf(PreviousStart("ghost")) }, {});
  fixture.m_scheduler.OnJobNotFound(fixture.m_now, JobId("ghost"));
  const auto stops = fixture.Plan().m_stops;
  ASSERT_EQ(stops.size(), 1U);
  EXPECT_EQ(stops[0].m_worker, kW1);
}

/// For a while fronts still announce new jobs to a deposed leader, which may
/// have started them on a worker that has not yet responded to its successor.
TEST(PoolLeaderChange, JobOfTheFirstSecondWaitsForThePreviousWorkers)
{
  PoolFixture fixture = Successor();
  fixture.ReportInventory(kW2, {}, {});
  fixture.Add(PoolJob("new", kUrgentQueue, { PoolStep(1) }));
  fixture.m_now += milliseconds(450); // the first worker does not respond
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  fixture.ReportInventory(kW1, {}, {});
  fixture.ReportInventory(kW2, {}, {});
  EXPECT_EQ(fixture.Plan().m_starts.size(), 1U);
}

TEST(PoolLeaderChange, LaterJobDoesNotWaitForAnUnresponsiveWorker)
{
  PoolFixture fixture = Successor();
  fixture.m_now += milliseconds(1100);
  fixture.ReportInventory(kW2, {}, {});
  fixture.Add(PoolJob("new", kUrgentQueue, { PoolStep(1) }));
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].m_worker, kW2);
}

/// Tasks that may run on workers that have not responded count against the
/// limit of their team.
TEST(PoolLeaderChange, UnreportedRunsCountAgainstTheLimitOfTheirTeam)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2") },
                      PoolSample({ 6000, 0, 0 }),
                      2,
                      { kW1, kW2 });
  fixture.m_scheduler.AddJob(kStart,
                             PoolJob("old", kPatientQueue, { PoolStep(4) }),
                             {},
                             {},
                             pool::JobOrigin::Loaded);
  fixture.m_now += milliseconds(1100);
  fixture.ReportInventory(kW2, {}, {});
  fixture.Add(PoolJob("new", kUrgentQueue, { PoolStep(5) }));
  EXPECT_EQ(fixture.Plan().m_starts.size(), 2U);
}

/// A worker reports an end until it is confirmed. Both leaders counted the same
/// failure, so that a job failed after two of its three attempts.
TEST(PoolLeaderChange, FailureThatThePreviousLeaderStoredCountsOnce)
{
  PoolFixture fixture = Successor();
  pool::JobProgress progress;
  progress.m_tasks[{ 0, 0 }].m_failedRuns = { 1, 2 };
  fixture.m_scheduler.AddJob(kStart,
                             PoolJob("old", kPatientQueue, { PoolStep(1) }),
                             {},
                             progress,
                             pool::JobOrigin::Loaded);
  pool::StartTask second = PreviousStart("old");
  second.m_run = 2;
  fixture.ReportInventory(kW1, {}, { EndOf(second, 7, pool::RunEnd::Failed) });
  fixture.ReportInventory(kW2, {}, {});
  EXPECT_EQ(fixture.m_scheduler.FindJob(JobId("old"))->State(),
            pool::JobState::Pending);
  EXPECT_EQ(fixture.Plan().m_starts.size(), 1U);
}

/// The successor had no record of its predecessor's leases and gave up all runs
/// of a worker 50 ms after its first inventory, if the next one was late.
TEST(PoolLeaderChange, AdoptedRunIsKeptWhileItsWorkerIsSlowToRespondAgain)
{
  PoolFixture fixture = Successor();
  fixture.m_scheduler.AddJob(kStart,
                             PoolJob("old", kPatientQueue, { PoolStep(1) }),
                             {},
                             {},
                             pool::JobOrigin::Loaded);
  fixture.ReportInventory(kW1, { RunOf(PreviousStart("old")) }, {});
  fixture.ReportInventory(kW2, {}, {});
  fixture.m_now += milliseconds(1500);
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  fixture.ReportInventory(kW2, {}, {});
  fixture.m_now += milliseconds(4000);
  fixture.ReportInventory(kW2, {}, {});
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
}

TEST(PoolLeaderChange, RunNumbersOfTheNextLeaderAreHigher)
{
  PoolFixture first({ PoolWorker("w1") });
  first.ReportAllIdle();
  first.Add(PoolJob("job", kPatientQueue, { PoolStep(1) }));
  EXPECT_EQ(first.Plan().m_starts.at(0).m_run, 1U);
  PoolFixture second({ PoolWorker("w1") }, PoolSample(), 2);
  second.ReportAllIdle();
  second.Add(PoolJob("job", kPatientQueue, { PoolStep(1) }));
  EXPECT_GT(second.Plan().m_starts.at(0).m_run, 1U);
}

/// Load pattern: a few workers had left or were silent when the leader was
/// killed. All loaded tasks waited six seconds for these, also on workers that
/// had answered.
TEST(PoolLeaderChange, OnlyTasksOfCordonedWorkersWaitForThem)
{
  PoolFixture fixture(
    { PoolWorker("w1"), PoolWorker("w2") }, PoolSample(), 2, { kW2 });
  fixture.m_scheduler.SetPreviousRuns({ { kW1, { { JobId("lost"), 0, 0 } } } });
  for (const char* job : { "lost", "waiting" }) {
    fixture.m_scheduler.AddJob(kStart,
                               PoolJob(job, kPatientQueue, { PoolStep(1) }),
                               {},
                               {},
                               pool::JobOrigin::Loaded);
  }
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  fixture.ReportInventory(kW2, {}, {});
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].m_task.m_job, JobId("waiting"));
  EXPECT_FALSE(fixture.m_scheduler.IsSettled());
  fixture.m_now += milliseconds(10'100);
  fixture.ReportInventory(kW2, { RunOf(starts[0]) }, {});
  const auto later = fixture.Plan().m_starts;
  ASSERT_EQ(later.size(), 1U);
  EXPECT_EQ(later[0].m_task.m_job, JobId("lost"));
  EXPECT_TRUE(fixture.m_scheduler.IsSettled());
}

TEST(PoolLeaderChange, CordonedWorkerThatReportsReleasesItsTasks)
{
  PoolFixture fixture(
    { PoolWorker("w1"), PoolWorker("w2") }, PoolSample(), 2, {});
  fixture.m_scheduler.SetPreviousRuns({ { kW1, { { JobId("lost"), 0, 0 } } } });
  fixture.m_scheduler.AddJob(kStart,
                             PoolJob("lost", kPatientQueue, { PoolStep(1) }),
                             {},
                             {},
                             pool::JobOrigin::Loaded);
  fixture.ReportInventory(kW2, {}, {});
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  fixture.ReportInventory(kW1, {}, {});
  EXPECT_EQ(fixture.Plan().m_starts.size(), 1U);
}

/// A successor that is replaced before a cordoned worker has reported must pass
/// on what may run there.
TEST(PoolLeaderChange, RunsOfCordonedWorkersStayInTheRowUntilTheyReport)
{
  PoolFixture fixture(
    { PoolWorker("w1"), PoolWorker("w2") }, PoolSample(), 2, {});
  const std::vector<pool::CordonedWorker> cordoned{
    { kW1, { { JobId("lost"), 0, 0 } } }
  };
  fixture.m_scheduler.SetPreviousRuns(cordoned);
  fixture.ReportInventory(kW2, {}, {});
  fixture.Plan();
  EXPECT_EQ(fixture.m_scheduler.ListWorkersToRecord(fixture.m_now).m_cordoned,
            cordoned);
  fixture.ReportInventory(kW1, {}, {});
  fixture.Plan();
  EXPECT_TRUE(
    fixture.m_scheduler.ListWorkersToRecord(fixture.m_now).m_cordoned.empty());
}

/// A gang of which one member runs on a cordoned worker may be whole.
TEST(PoolLeaderChange, GangWithAMemberOnACordonedWorkerIsNotStopped)
{
  PoolFixture fixture(
    { PoolWorker("w1"), PoolWorker("w2") }, PoolSample(), 2, { kW2 });
  fixture.m_scheduler.SetPreviousRuns({ { kW1, { { JobId("gang"), 0, 1 } } } });
  pool::StepSpec gang = PoolStep(2);
  gang.m_gang = true;
  fixture.m_scheduler.AddJob(kStart,
                             PoolJob("gang", kPatientQueue, { gang }),
                             {},
                             {},
                             pool::JobOrigin::Loaded);
  const pool::StartTask first{ kW2, { JobId("gang"), 0, 0 }, 1, {}, {}, {} };
  fixture.ReportInventory(kW2, { RunOf(first) }, {});
  EXPECT_TRUE(fixture.Plan().m_stops.empty());
}

/// Load pattern: all processes are killed at once. Jobs that were accepted
/// before the restarted leader had claimed, and in its first second, waited for
/// leases of a leader that had never heard of them.
TEST(PoolLeaderChange, JobThatNoEarlierLeaderKnowsStartsAtOnce)
{
  PoolFixture fixture = Successor();
  fixture.m_scheduler.SetPreviousEnded();
  fixture.m_scheduler.AddJob(kStart,
                             PoolJob("unseen", kUrgentQueue, { PoolStep(1) }),
                             {},
                             {},
                             pool::JobOrigin::Unseen);
  fixture.Add(PoolJob("new", kUrgentQueue, { PoolStep(1) }));
  fixture.ReportInventory(kW2, {}, {});
  fixture.m_now += milliseconds(500);
  fixture.ReportInventory(kW2, {}, {});
  EXPECT_EQ(fixture.Plan().m_starts.size(), 2U);
}

} // namespace

} // namespace lacewing::fakes
