/// Guards against work that the scheduler never considers because it is queued
/// behind a long backlog. Load pattern: a team submits many times its share, so
/// that thousands of pending jobs that do not fit precede one that does.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

/// The worker has capacity for small tasks beside a long one.
PoolFixture
BusyWorker()
{
  // All jobs are within the team's share.
  constexpr double kWeight = 1e6;
  PoolFixture fixture({ PoolWorker("w1") }, PoolSample({}, kWeight));
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("long", kUrgentQueue, { PoolStep(1, 6000) }));
  fixture.Confirm(fixture.Plan().m_starts);
  return fixture;
}

TEST(PoolBacklog, StepBehindThousandsThatDoNotFitIsStartedInItsTurn)
{
  PoolFixture fixture = BusyWorker();
  constexpr int kBacklog = 3000;
  for (int number = 0; number < kBacklog; ++number) {
    fixture.Add(PoolJob(
      "big" + std::to_string(number), kPatientQueue, { PoolStep(1, 5000) }));
  }
  fixture.m_now += milliseconds(1);
  fixture.Add(PoolJob("small", kPatientQueue, { PoolStep(1, 1000) }));
  constexpr int kMaxPlans = 40; // a third of a second
  int plans = 0;
  std::size_t started = 0;
  while (started == 0 && plans < kMaxPlans) {
    started += fixture.Plan().m_starts.size();
    ++plans;
  }
  EXPECT_EQ(started, 1U);
}

TEST(PoolBacklog, InteractiveJobGoesFirst)
{
  PoolFixture fixture = BusyWorker();
  for (int number = 0; number < 1000; ++number) {
    fixture.Add(PoolJob(
      "big" + std::to_string(number), kPatientQueue, { PoolStep(1, 5000) }));
  }
  fixture.Add(PoolJob("quote", kUrgentQueue, { PoolStep(1, 1000) }));
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts.front().m_task.m_job, JobId("quote"));
}

} // namespace

} // namespace lacewing::fakes
