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
  PoolFixture fixture({ PoolWorker("w1") });
  fixture.ReportAllIdle();
  fixture.Add(ChainOfTwo());
  const auto first = fixture.Plan().m_starts;
  ASSERT_EQ(first.size(), 2U);
  fixture.Confirm(first);
  fixture.ReportInventory(first[0].m_worker,
                          { RunOf(first[1]) },
                          { EndOf(first[0], 1, pool::RunEnd::Done) });
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  fixture.ReportInventory(
    first[0].m_worker, {}, { EndOf(first[1], 2, pool::RunEnd::Done) });
  const auto second = fixture.Plan().m_starts;
  ASSERT_EQ(second.size(), 2U);
  EXPECT_EQ(second[0].m_task.m_step, 1U);
}

TEST(PoolStepOrder, CompletionIsReportedOnlyOnceItIsStored)
{
  PoolFixture fixture({ PoolWorker("w1") });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("single", kPatientQueue, { PoolStep(1) }));
  const auto start = fixture.Plan().m_starts.at(0);
  fixture.ReportInventory(
    start.m_worker, {}, { EndOf(start, 1, pool::RunEnd::Done) });
  const auto* job = fixture.m_scheduler.FindJob(JobId("single"));
  EXPECT_EQ(fixture.m_scheduler.ShownState(*job), pool::JobState::Running);
  EXPECT_EQ(fixture.m_scheduler.Workers().at(start.m_worker).SavedEnds(), 0U);
  fixture.SaveAll();
  EXPECT_EQ(fixture.m_scheduler.ShownState(*job), pool::JobState::Completed);
  EXPECT_EQ(fixture.m_scheduler.Workers().at(start.m_worker).SavedEnds(), 1U);
}

} // namespace

} // namespace lacewing::fakes
