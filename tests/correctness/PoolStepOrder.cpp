/// Guards against a step that starts before the steps it depends on are done.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

pool::Job
ChainOfTwo()
{
  pool::StepSpec second = PoolStep(2);
  second.m_after = { 0 };
  return PoolJob("chain", kPatientQueue, { PoolStep(2), second });
}

TEST(PoolStepOrder, SecondStepWaitsForEveryTaskOfTheFirst)
{
  PoolFixture bench({ PoolWorker("w1") });
  bench.AnswerAll();
  bench.Add(ChainOfTwo());
  const auto first = bench.Plan().m_starts;
  ASSERT_EQ(first.size(), 2U);
  bench.Confirm(first);
  bench.Answer(first[0].m_worker,
               { RunOf(first[1]) },
               { EndOf(first[0], 1, pool::RunEnd::Done) });
  EXPECT_TRUE(bench.Plan().m_starts.empty());
  bench.Answer(
    first[0].m_worker, {}, { EndOf(first[1], 2, pool::RunEnd::Done) });
  const auto second = bench.Plan().m_starts;
  ASSERT_EQ(second.size(), 2U);
  EXPECT_EQ(second[0].m_task.m_step, 1U);
}

TEST(PoolStepOrder, CompletionIsReportedOnlyOnceItIsStored)
{
  PoolFixture bench({ PoolWorker("w1") });
  bench.AnswerAll();
  bench.Add(PoolJob("single", kPatientQueue, { PoolStep(1) }));
  const auto start = bench.Plan().m_starts.at(0);
  bench.Answer(start.m_worker, {}, { EndOf(start, 1, pool::RunEnd::Done) });
  const auto* job = bench.m_scheduler.FindJob(JobId("single"));
  EXPECT_EQ(bench.m_scheduler.ShownState(*job), pool::JobState::Running);
  EXPECT_EQ(bench.m_scheduler.Workers().at(start.m_worker).SavedEnds(), 0U);
  bench.SaveAll();
  EXPECT_EQ(bench.m_scheduler.ShownState(*job), pool::JobState::Completed);
  EXPECT_EQ(bench.m_scheduler.Workers().at(start.m_worker).SavedEnds(), 1U);
}

} // namespace

} // namespace lacewing::fakes
