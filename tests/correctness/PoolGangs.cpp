/// Guards against gangs that start in parts, that go on without a member, or
/// that never start under a steady stream of small tasks.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

pool::StepSpec
GangStep(std::uint32_t aTasks, std::int64_t aMillicores)
{
  pool::StepSpec step = PoolStep(aTasks, aMillicores);
  step.m_gang = true;
  return step;
}

TEST(PoolGangs, StartsAllMembersWithOneRunOrNone)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("wide", kPatientQueue, { GangStep(5, 4000) }));
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  fixture.Add(PoolJob("fits", kPatientQueue, { GangStep(4, 4000) }));
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 4U);
  for (const auto& start : starts) {
    EXPECT_EQ(start.m_run, starts[0].m_run);
    EXPECT_EQ(start.m_task.m_job, JobId("fits"));
  }
}

TEST(PoolGangs, RefusedMemberStopsTheOthersAndAllStartAgain)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("gang", kPatientQueue, { GangStep(4, 4000) }));
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 4U);
  fixture.m_scheduler.OnStartOutcome(
    fixture.m_now, starts[0], pool::StartOutcome::Refused);
  const auto actions = fixture.Plan();
  EXPECT_EQ(actions.m_stops.size(), 3U);
  EXPECT_TRUE(actions.m_starts.empty());
}

TEST(PoolGangs, OneFailureOfARunCountsOnceForAllMembers)
{
  PoolFixture fixture({ PoolWorker("w1") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("gang", kPatientQueue, { GangStep(2, 4000) }));
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 2U);
  fixture.ReportInventory(starts[0].m_worker,
                          {},
                          { EndOf(starts[0], 1, pool::RunEnd::Failed),
                            EndOf(starts[1], 2, pool::RunEnd::Failed) });
  const auto* job = fixture.m_scheduler.FindJob(JobId("gang"));
  EXPECT_EQ(job->Step(0).m_tasks[0].m_failedRuns.size(), 1U);
  EXPECT_EQ(job->State(), pool::JobState::Pending);
}

/// Load pattern: small patient tasks arrive continuously and would take all
/// free capacity before a gang of large tasks fits.
TEST(PoolGangs, SteadyStreamOfSmallTasksDoesNotStarveAPendingGang)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("small0", kPatientQueue, { PoolStep(16, 1000) }));
  std::vector<pool::StartTask> running = fixture.Plan().m_starts;
  ASSERT_EQ(running.size(), 16U);
  fixture.Add(PoolJob("gang", kPatientQueue, { GangStep(4, 4000) }));
  std::map<pool::WorkerId, std::uint64_t> ends;
  bool started = false;
  // Each round one small task ends on each worker and two more arrive.
  for (int round = 1; round <= 12 && !started; ++round) {
    fixture.m_now += milliseconds(50);
    fixture.Add(PoolJob(
      "small" + std::to_string(round), kPatientQueue, { PoolStep(2, 1000) }));
    for (const pool::WorkerInfo& worker : fixture.m_workers) {
      const auto ended =
        std::ranges::find(running, worker.m_id, &pool::StartTask::m_worker);
      std::vector<pool::ReportedEnd> reportedEnds;
      if (ended != running.end()) {
        reportedEnds.push_back(
          EndOf(*ended, ++ends[worker.m_id], pool::RunEnd::Done));
        running.erase(ended);
      }
      std::vector<pool::ReportedRun> reportedRuns;
      for (const auto& run : running) {
        if (run.m_worker == worker.m_id) {
          reportedRuns.push_back(RunOf(run, round));
        }
      }
      fixture.ReportInventory(worker.m_id, reportedRuns, reportedEnds);
    }
    for (const auto& start : fixture.Plan().m_starts) {
      started = started || start.m_task.m_job == JobId("gang");
      running.push_back(start);
    }
  }
  EXPECT_TRUE(started);
}

/// A member was lost after the tickets of its gang had expired. The others were
/// stopped only after a further answer of the policy service.
TEST(PoolGangs, LostMemberStopsTheOthersWithoutValidTickets)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("gang", kPolicyQueue, { GangStep(2, 8000) }));
  const auto requests = fixture.Plan().m_adviceRequests;
  ASSERT_EQ(requests.size(), 1U);
  fixture.m_scheduler.OnAdvice(
    fixture.m_now,
    requests[0],
    { { pool::WorkerId("w1"), "ticket" }, { pool::WorkerId("w2"), "ticket" } });
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 2U);
  fixture.Confirm(starts);
  fixture.ReportInventory(starts[0].m_worker, { RunOf(starts[0]) }, {});
  fixture.m_now += seconds(3);
  for (int list = 0; list < 3; ++list) {
    fixture.ReportInventory(starts[0].m_worker, {}, {});
    fixture.ReportInventory(starts[1].m_worker, { RunOf(starts[1]) }, {});
  }
  EXPECT_EQ(fixture.Plan().m_stops.size(), 1U);
}

/// Load: a gang that needs more than all workers hold is at the head of the
/// order. It reserved the whole idle pool, and nothing else ran.
TEST(PoolGangs, GangThatNeverFitsReservesNothing)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("huge", kPatientQueue, { GangStep(5, 4000) }));
  fixture.Add(PoolJob("small", kPatientQueue, { PoolStep(16, 1000) }));
  const auto actions = fixture.Plan();
  EXPECT_EQ(actions.m_starts.size(), 16U);
  EXPECT_EQ(actions.m_tooLargeJobs, std::vector<JobId>{ JobId("huge") });
  EXPECT_TRUE(fixture.Plan().m_tooLargeJobs.empty());
  const auto* job = fixture.m_scheduler.FindJob(JobId("huge"));
  EXPECT_EQ(fixture.m_scheduler.ShownState(*job), pool::JobState::Pending);
  EXPECT_EQ(fixture.m_scheduler.WaitingJobs()[kPatientQueue], 1U);
}

TEST(PoolGangs, GangThatFitsNoRackReservesNothing)
{
  pool::WorkerInfo other = PoolWorker("w2");
  other.m_rack = "r2";
  PoolFixture fixture({ PoolWorker("w1"), other });
  fixture.ReportAllIdle();
  pool::StepSpec gang = GangStep(3, 4000);
  gang.m_sameRack = true;
  fixture.Add(PoolJob("wide", kPatientQueue, { gang }));
  fixture.Add(PoolJob("small", kPatientQueue, { PoolStep(16, 1000) }));
  EXPECT_EQ(fixture.Plan().m_starts.size(), 16U);
}

} // namespace

} // namespace lacewing::fakes
