/// Guards against work that waits behind less urgent work or behind work beyond
/// a team's share. Each test names its load pattern.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

/// A burst of short interactive jobs while patient jobs wait for the same
/// capacity.
TEST(PoolOrder, BurstOfInteractiveJobsGoesBeforeWaitingPatientOnes)
{
  PoolFixture fixture({ PoolWorker("w1") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("patient", kPatientQueue, { PoolStep(8) }));
  fixture.Add(PoolJob("urgent1", kUrgentQueue, { PoolStep(4) }));
  fixture.Add(PoolJob("urgent2", kUrgentQueue, { PoolStep(2) }));
  std::map<JobId, int> started;
  for (const auto& start : fixture.Plan().m_starts) {
    ++started[start.m_task.m_job];
  }
  EXPECT_EQ(started[JobId("urgent1")], 4);
  EXPECT_EQ(started[JobId("urgent2")], 2);
  EXPECT_EQ(started[JobId("patient")], 2);
}

/// One team submits many times its share; jobs of the others start first.
TEST(PoolOrder, JobsBeyondATeamsShareWaitForThoseWithin)
{
  pool::PoolConfig config = PoolSample({}, 2);
  config.m_teams.push_back({ TeamId("other"), { "key2" }, 2, {} });
  PoolFixture fixture({ PoolWorker("w1") }, config);
  fixture.ReportAllIdle();
  for (int number = 0; number < 8; ++number) {
    fixture.Add(
      PoolJob("hot" + std::to_string(number), kUrgentQueue, { PoolStep(1) }));
  }
  pool::Job other = PoolJob("other", kPatientQueue, { PoolStep(6) });
  other.m_team = TeamId("other");
  fixture.Add(other);
  std::map<std::string, int> started;
  for (const auto& start : fixture.Plan().m_starts) {
    ++started[start.m_task.m_job == JobId("other") ? "other" : "hot"];
  }
  EXPECT_EQ(started["hot"], 2);
  EXPECT_EQ(started["other"], 6);
}

/// A long backlog: jobs that can still end in time start before those
/// that cannot.
TEST(PoolOrder, OverloadStartsJobsThatCanStillEndInTimeFirst)
{
  PoolFixture fixture({ PoolWorker("w1") });
  fixture.ReportAllIdle();
  fixture.m_scheduler.AddJob(kStart,
                             PoolJob("late", kUrgentQueue, { PoolStep(8) }),
                             seconds(3),
                             {},
                             pool::JobOrigin::Accepted);
  fixture.Add(PoolJob("fresh", kPatientQueue, { PoolStep(8) }));
  for (const auto& start : fixture.Plan().m_starts) {
    EXPECT_EQ(start.m_task.m_job, JobId("fresh"));
  }
}

/// Small tasks beside large ones: best-fit placement avoids fragmenting the
/// free capacity that large tasks need.
TEST(PoolOrder, SmallTasksFillTheFullestWorker)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("first", kPatientQueue, { PoolStep(1, 2000) }));
  const auto first = fixture.Plan().m_starts.at(0);
  fixture.Add(PoolJob("second", kPatientQueue, { PoolStep(1, 2000) }));
  EXPECT_EQ(fixture.Plan().m_starts.at(0).m_worker, first.m_worker);
}

/// A worker on which tasks fail: after two failures in a row it gets no tasks
/// for a while, and a task is not retried on a worker where it failed.
TEST(PoolOrder, WorkerThatFailsItsTasksIsAvoided)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("job", kPatientQueue, { PoolStep(2) }));
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 2U);
  fixture.ReportInventory(starts[0].m_worker,
                          {},
                          { EndOf(starts[0], 1, pool::RunEnd::Failed),
                            EndOf(starts[1], 2, pool::RunEnd::Failed) });
  for (const auto& start : fixture.Plan().m_starts) {
    EXPECT_NE(start.m_worker, starts[0].m_worker);
  }
}

/// Workers of different speed, and one that became slow: interactive tasks go
/// to the fast ones, and the slow one gets no tasks while others have capacity.
TEST(PoolOrder, SlowWorkersAreUsedLast)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2") });
  fixture.ReportAllIdle();
  std::map<pool::WorkerId, std::uint64_t> ends;
  // Tasks take a second on the first worker and six on the second.
  for (int round = 0; round < 12; ++round) {
    fixture.Add(PoolJob(
      "job" + std::to_string(round), kPatientQueue, { PoolStep(16, 1000) }));
    const auto starts = fixture.Plan().m_starts;
    for (int second = 1; second <= 6; ++second) {
      fixture.m_now += seconds(1);
      for (const pool::WorkerInfo& worker : fixture.m_workers) {
        const bool fast = worker.m_id == pool::WorkerId("w1");
        const bool over = second == (fast ? 1 : 6);
        std::vector<pool::ReportedEnd> ended;
        std::vector<pool::ReportedRun> running;
        for (const auto& start : starts) {
          if (start.m_worker != worker.m_id) {
            continue;
          }
          if (over) {
            ended.push_back(
              EndOf(start, ++ends[worker.m_id], pool::RunEnd::Done));
          } else if (!fast) {
            running.push_back(RunOf(start, second * 15));
          }
        }
        fixture.ReportInventory(worker.m_id, running, ended);
      }
    }
  }
  fixture.Add(PoolJob("patient", kPatientQueue, { PoolStep(4) }));
  fixture.Add(PoolJob("urgent", kUrgentQueue, { PoolStep(4) }));
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 8U);
  for (const auto& start : starts) {
    EXPECT_EQ(start.m_worker, pool::WorkerId("w1"));
  }
}

TEST(PoolOrder, JobFailsAfterItsAttemptsAndItsOtherTasksStop)
{
  PoolFixture fixture({ PoolWorker("w1"), PoolWorker("w2"), PoolWorker("w3") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("poison", kPatientQueue, { PoolStep(1) }));
  std::map<pool::WorkerId, std::uint64_t> ends;
  int runs = 0;
  for (int round = 0; round < 6; ++round) {
    fixture.m_now += seconds(1);
    fixture.ReportAllIdle();
    for (const auto& start : fixture.Plan().m_starts) {
      ++runs;
      fixture.ReportInventory(
        start.m_worker,
        {},
        { EndOf(start, ++ends[start.m_worker], pool::RunEnd::Failed) });
    }
  }
  EXPECT_EQ(runs, 3);
  EXPECT_EQ(fixture.m_scheduler.FindJob(JobId("poison"))->State(),
            pool::JobState::Failed);
}

} // namespace

} // namespace lacewing::fakes
