/// Guards against work that waits behind what is less urgent or not owed. Each
/// test names the load pattern it stands for.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

/// Burst of short interactive jobs while patient ones wait for the same room.
TEST(PoolOrder, BurstOfInteractiveJobsGoesBeforeWaitingPatientOnes)
{
  PoolFixture bench({ PoolWorker("w1") });
  bench.AnswerAll();
  bench.Add(PoolJob("patient", kPatientQueue, { PoolStep(8) }));
  bench.Add(PoolJob("urgent1", kUrgentQueue, { PoolStep(4) }));
  bench.Add(PoolJob("urgent2", kUrgentQueue, { PoolStep(2) }));
  std::map<JobId, int> started;
  for (const auto& start : bench.Plan().m_starts) {
    ++started[start.m_task.m_job];
  }
  EXPECT_EQ(started[JobId("urgent1")], 4);
  EXPECT_EQ(started[JobId("urgent2")], 2);
  EXPECT_EQ(started[JobId("patient")], 2);
}

/// One team sends many times what it is owed; jobs of the others go first.
TEST(PoolOrder, JobsBeyondATeamsShareWaitForThoseWithin)
{
  pool::PoolConfig config = PoolSample({}, 2);
  config.m_teams.push_back({ TeamId("other"), { "key2" }, 2, {} });
  PoolFixture bench({ PoolWorker("w1") }, config);
  bench.AnswerAll();
  for (int number = 0; number < 8; ++number) {
    bench.Add(
      PoolJob("hot" + std::to_string(number), kUrgentQueue, { PoolStep(1) }));
  }
  pool::Job other = PoolJob("other", kPatientQueue, { PoolStep(6) });
  other.m_team = TeamId("other");
  bench.Add(other);
  std::map<std::string, int> started;
  for (const auto& start : bench.Plan().m_starts) {
    ++started[start.m_task.m_job == JobId("other") ? "other" : "hot"];
  }
  EXPECT_EQ(started["hot"], 2);
  EXPECT_EQ(started["other"], 6);
}

/// A queue that has grown long: jobs that can still end in time go before those
/// that can't.
TEST(PoolOrder, OverloadServesWhatCanStillEndInTimeFirst)
{
  PoolFixture bench({ PoolWorker("w1") });
  bench.AnswerAll();
  bench.m_scheduler.AddJob(kStart,
                           PoolJob("late", kUrgentQueue, { PoolStep(8) }),
                           seconds(3),
                           {},
                           false);
  bench.Add(PoolJob("fresh", kPatientQueue, { PoolStep(8) }));
  for (const auto& start : bench.Plan().m_starts) {
    EXPECT_EQ(start.m_task.m_job, JobId("fresh"));
  }
}

/// Small tasks beside large ones: the tightest fit keeps large holes whole.
TEST(PoolOrder, SmallTasksFillTheFullestWorker)
{
  PoolFixture bench({ PoolWorker("w1"), PoolWorker("w2") });
  bench.AnswerAll();
  bench.Add(PoolJob("first", kPatientQueue, { PoolStep(1, 2000) }));
  const auto first = bench.Plan().m_starts.at(0);
  bench.Add(PoolJob("second", kPatientQueue, { PoolStep(1, 2000) }));
  EXPECT_EQ(bench.Plan().m_starts.at(0).m_worker, first.m_worker);
}

/// A worker that fails what it starts: two failures in a row keep it free of
/// tasks for a while, and a task is not sent back to where it failed.
TEST(PoolOrder, WorkerThatFailsItsTasksIsAvoided)
{
  PoolFixture bench({ PoolWorker("w1"), PoolWorker("w2") });
  bench.AnswerAll();
  bench.Add(PoolJob("job", kPatientQueue, { PoolStep(2) }));
  const auto starts = bench.Plan().m_starts;
  ASSERT_EQ(starts.size(), 2U);
  bench.Answer(starts[0].m_worker,
               {},
               { EndOf(starts[0], 1, pool::RunEnd::Failed),
                 EndOf(starts[1], 2, pool::RunEnd::Failed) });
  for (const auto& start : bench.Plan().m_starts) {
    EXPECT_NE(start.m_worker, starts[0].m_worker);
  }
}

/// Workers of unlike speed, and one that has turned slow: interactive tasks go
/// to the fast ones, and nothing goes to the slow one while others have room.
TEST(PoolOrder, SlowWorkersAreUsedLast)
{
  PoolFixture bench({ PoolWorker("w1"), PoolWorker("w2") });
  bench.AnswerAll();
  std::map<pool::WorkerId, std::uint64_t> ends;
  // Tasks take a second on the first worker and six on the second.
  for (int round = 0; round < 12; ++round) {
    bench.Add(PoolJob(
      "job" + std::to_string(round), kPatientQueue, { PoolStep(16, 1000) }));
    const auto starts = bench.Plan().m_starts;
    for (int second = 1; second <= 6; ++second) {
      bench.m_now += seconds(1);
      for (const pool::WorkerInfo& worker : bench.m_workers) {
        const bool fast = worker.m_id == pool::WorkerId("w1");
        const bool over = second == (fast ? 1 : 6);
        std::vector<pool::ReportedEnd> list;
        std::vector<pool::ReportedRun> running;
        for (const auto& start : starts) {
          if (start.m_worker != worker.m_id) {
            continue;
          }
          if (over) {
            list.push_back(
              EndOf(start, ++ends[worker.m_id], pool::RunEnd::Done));
          } else if (!fast) {
            running.push_back(RunOf(start, second * 15));
          }
        }
        bench.Answer(worker.m_id, running, list);
      }
    }
  }
  bench.Add(PoolJob("patient", kPatientQueue, { PoolStep(4) }));
  bench.Add(PoolJob("urgent", kUrgentQueue, { PoolStep(4) }));
  const auto starts = bench.Plan().m_starts;
  ASSERT_EQ(starts.size(), 8U);
  for (const auto& start : starts) {
    EXPECT_EQ(start.m_worker, pool::WorkerId("w1"));
  }
}

TEST(PoolOrder, JobFailsAfterItsAttemptsAndItsOtherTasksStop)
{
  PoolFixture bench({ PoolWorker("w1"), PoolWorker("w2"), PoolWorker("w3") });
  bench.AnswerAll();
  bench.Add(PoolJob("poison", kPatientQueue, { PoolStep(1) }));
  std::map<pool::WorkerId, std::uint64_t> ends;
  int runs = 0;
  for (int round = 0; round < 6; ++round) {
    bench.m_now += seconds(1);
    bench.AnswerAll();
    for (const auto& start : bench.Plan().m_starts) {
      ++runs;
      bench.Answer(
        start.m_worker,
        {},
        { EndOf(start, ++ends[start.m_worker], pool::RunEnd::Failed) });
    }
  }
  EXPECT_EQ(runs, 3);
  EXPECT_EQ(bench.m_scheduler.FindJob(JobId("poison"))->State(),
            pool::JobState::Failed);
}

} // namespace

} // namespace lacewing::fakes
