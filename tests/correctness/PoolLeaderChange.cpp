/// Guards against tasks that run twice, workers above their room and failures
/// that count twice when the leader of a pool changes.
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

/// The previous leader's start, as its workers list it.
pool::StartTask
PreviousStart(const std::string& aJob)
{
  return { kW1, { JobId(aJob), 0, 0 }, 1, {}, {}, {} };
}

TEST(PoolLeaderChange, LoadedTaskWaitsUntilAllPreviousWorkersHaveAnswered)
{
  PoolFixture bench = Successor();
  bench.m_scheduler.AddJob(
    kStart, PoolJob("old", kPatientQueue, { PoolStep(1) }), {}, {}, true);
  bench.Answer(kW2, {}, {});
  bench.m_now += seconds(1);
  EXPECT_TRUE(bench.Plan().m_starts.empty());
  bench.Answer(kW1, { RunOf(PreviousStart("old")) }, {});
  EXPECT_TRUE(bench.Plan().m_starts.empty());
  EXPECT_EQ(bench.m_scheduler.FindJob(JobId("old"))->Step(0).m_placed, 1U);
}

TEST(PoolLeaderChange, LoadedTaskStartsOnceTheLeasesOfASilentWorkerHaveRunOut)
{
  PoolFixture bench = Successor();
  bench.m_scheduler.AddJob(
    kStart, PoolJob("old", kPatientQueue, { PoolStep(1) }), {}, {}, true);
  bench.m_now += milliseconds(9900);
  bench.Answer(kW2, {}, {});
  EXPECT_TRUE(bench.Plan().m_starts.empty());
  bench.m_now += milliseconds(200);
  EXPECT_EQ(bench.Plan().m_starts.size(), 1U);
}

/// A job that was accepted during the change was started by the deposed leader.
/// Its successor gave the room away and started the task again.
TEST(PoolLeaderChange, RunOfAnUnknownJobKeepsItsWorkerUntilTheJobIsKnown)
{
  PoolFixture bench = Successor();
  bench.Answer(kW1, { RunOf(PreviousStart("late")) }, {});
  bench.Answer(kW2, {}, {});
  bench.Add(PoolJob("other", kUrgentQueue, { PoolStep(9, 1000) }));
  const auto actions = bench.Plan();
  ASSERT_EQ(actions.m_lookups.size(), 1U);
  EXPECT_EQ(actions.m_lookups[0], JobId("late"));
  EXPECT_TRUE(actions.m_stops.empty());
  EXPECT_EQ(actions.m_starts.size(), 8U);
  for (const auto& start : actions.m_starts) {
    EXPECT_EQ(start.m_worker, kW2);
  }
  bench.m_scheduler.AddJob(
    bench.m_now,
    PoolJob("late", kPatientQueue, { PoolStep(1, 7500) }),
    {},
    {},
    true);
  bench.Answer(kW1, { RunOf(PreviousStart("late"), 2) }, {});
  EXPECT_TRUE(bench.Plan().m_starts.empty());
  EXPECT_EQ(bench.m_scheduler.FindJob(JobId("late"))->Step(0).m_placed, 1U);
}

/// The task of a run whose job was looked up was started elsewhere before the
/// worker had listed the run once more.
TEST(PoolLeaderChange, RunIsAdoptedAsSoonAsItsJobIsKnown)
{
  PoolFixture bench = Successor();
  bench.Answer(kW1, { RunOf(PreviousStart("late")) }, {});
  bench.Answer(kW2, {}, {});
  ASSERT_EQ(bench.Plan().m_lookups.size(), 1U);
  bench.m_scheduler.AddJob(
    bench.m_now, PoolJob("late", kPatientQueue, { PoolStep(1) }), {}, {}, true);
  EXPECT_TRUE(bench.Plan().m_starts.empty());
  EXPECT_EQ(bench.m_scheduler.FindJob(JobId("late"))->Step(0).m_placed, 1U);
}

TEST(PoolLeaderChange, RunWithoutAStoredJobIsStopped)
{
  PoolFixture bench = Successor();
  bench.Answer(kW1, { RunOf(PreviousStart("ghost")) }, {});
  bench.m_scheduler.OnJobNotFound(bench.m_now, JobId("ghost"));
  const auto stops = bench.Plan().m_stops;
  ASSERT_EQ(stops.size(), 1U);
  EXPECT_EQ(stops[0].m_worker, kW1);
}

/// Fronts tell a deposed leader of new jobs for a while; it may have started
/// them on a worker that has not answered its successor.
TEST(PoolLeaderChange, JobOfTheFirstSecondWaitsForThePreviousWorkers)
{
  PoolFixture bench = Successor();
  bench.Answer(kW2, {}, {});
  bench.Add(PoolJob("new", kUrgentQueue, { PoolStep(1) }));
  bench.m_now += milliseconds(450); // the first worker stays silent
  EXPECT_TRUE(bench.Plan().m_starts.empty());
  bench.Answer(kW1, {}, {});
  bench.Answer(kW2, {}, {});
  EXPECT_EQ(bench.Plan().m_starts.size(), 1U);
}

TEST(PoolLeaderChange, LaterJobDoesNotWaitForASilentWorker)
{
  PoolFixture bench = Successor();
  bench.m_now += milliseconds(1100);
  bench.Answer(kW2, {}, {});
  bench.Add(PoolJob("new", kUrgentQueue, { PoolStep(1) }));
  const auto starts = bench.Plan().m_starts;
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].m_worker, kW2);
}

/// What may run on workers that have not answered counts against its team.
TEST(PoolLeaderChange, UnseenRunsCountAgainstTheLimitOfTheirTeam)
{
  PoolFixture bench({ PoolWorker("w1"), PoolWorker("w2") },
                    PoolSample({ 6000, 0, 0 }),
                    2,
                    { kW1, kW2 });
  bench.m_scheduler.AddJob(
    kStart, PoolJob("old", kPatientQueue, { PoolStep(4) }), {}, {}, true);
  bench.m_now += milliseconds(1100);
  bench.Answer(kW2, {}, {});
  bench.Add(PoolJob("new", kUrgentQueue, { PoolStep(5) }));
  EXPECT_EQ(bench.Plan().m_starts.size(), 2U);
}

/// The end that a worker lists until it is confirmed was counted by both
/// leaders, so that a job failed after two of its three attempts.
TEST(PoolLeaderChange, FailureThatThePreviousLeaderStoredCountsOnce)
{
  PoolFixture bench = Successor();
  pool::JobProgress progress;
  progress.m_tasks[{ 0, 0 }].m_failedRuns = { 1, 2 };
  bench.m_scheduler.AddJob(
    kStart, PoolJob("old", kPatientQueue, { PoolStep(1) }), {}, progress, true);
  pool::StartTask second = PreviousStart("old");
  second.m_run = 2;
  bench.Answer(kW1, {}, { EndOf(second, 7, pool::RunEnd::Failed) });
  bench.Answer(kW2, {}, {});
  EXPECT_EQ(bench.m_scheduler.FindJob(JobId("old"))->State(),
            pool::JobState::Pending);
  EXPECT_EQ(bench.Plan().m_starts.size(), 1U);
}

/// The successor did not know the leases of its predecessor and gave up all
/// runs 50 ms after a worker's first answer, if the next one was late.
TEST(PoolLeaderChange, AdoptedRunIsKeptWhileItsWorkerIsSlowToAnswerAgain)
{
  PoolFixture bench = Successor();
  bench.m_scheduler.AddJob(
    kStart, PoolJob("old", kPatientQueue, { PoolStep(1) }), {}, {}, true);
  bench.Answer(kW1, { RunOf(PreviousStart("old")) }, {});
  bench.Answer(kW2, {}, {});
  bench.m_now += milliseconds(1500);
  EXPECT_TRUE(bench.Plan().m_starts.empty());
  bench.Answer(kW2, {}, {});
  bench.m_now += milliseconds(4000);
  bench.Answer(kW2, {}, {});
  EXPECT_TRUE(bench.Plan().m_starts.empty());
}

TEST(PoolLeaderChange, RunNumbersOfTheNextLeaderAreHigher)
{
  PoolFixture first({ PoolWorker("w1") });
  first.AnswerAll();
  first.Add(PoolJob("job", kPatientQueue, { PoolStep(1) }));
  EXPECT_EQ(first.Plan().m_starts.at(0).m_run, 1U);
  PoolFixture second({ PoolWorker("w1") }, PoolSample(), 2);
  second.AnswerAll();
  second.Add(PoolJob("job", kPatientQueue, { PoolStep(1) }));
  EXPECT_GT(second.Plan().m_starts.at(0).m_run, 1U);
}

} // namespace

} // namespace lacewing::fakes
