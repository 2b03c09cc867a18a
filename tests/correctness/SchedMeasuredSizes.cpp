/// Guards against workers overloaded by tasks that use more than declared, and
/// against reports that are older than the present attempt.
#include "fakes/SchedFleet.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

sched::WorkerReport
ReportOf(const sched::Action& aStart, Resources aUsed)
{
  worker::RunningTask task;
  task.m_task = aStart.m_task;
  task.m_attempt = aStart.m_attempt;
  task.m_reserved = aStart.m_reserved;
  task.m_used = aUsed;
  return { aStart.m_worker, { task } };
}

constexpr Time kNow = Time() + seconds(1);

} // namespace

TEST(SchedMeasuredSizes, KeepRoomForTheMeasuredPeak)
{
  auto scheduler = MakeSlice(1);
  scheduler.Submit(kNow, MakeJob("j", "t", 1, { 1000, 1024, 0 }));
  const auto start = scheduler.Decide(kNow, 10).at(0);
  scheduler.OnReport(kNow, ReportOf(start, { 500, 10'240, 0 }));
  scheduler.OnReport(kNow, ReportOf(start, { 500, 512, 0 }));
  scheduler.Submit(kNow, MakeJob("k", "t", 1, { 1000, 8192, 0 }));
  EXPECT_TRUE(scheduler.Decide(kNow, 10).empty()) << "the peak counts";
}

TEST(SchedMeasuredSizes, AreLearntForLaterTasksOfTheJob)
{
  auto scheduler = MakeSlice(2);
  scheduler.Submit(kNow, MakeJob("j", "t", 4, { 1000, 1024, 0 }));
  const auto start = scheduler.Decide(kNow, 1).at(0);
  scheduler.OnReport(kNow, ReportOf(start, { 500, 10'240, 0 }));
  const auto later = scheduler.Decide(kNow, 10);
  ASSERT_EQ(later.size(), 1U) << "one more fits on the other worker";
  EXPECT_EQ(later[0].m_reserved.m_memoryMib, 10'240);
}

TEST(SchedMeasuredSizes, StopPatientTasksOnAWorkerOutOfMemory)
{
  auto scheduler = MakeSlice(1);
  auto patient = MakeJob("p", "t", 1, { 1000, 8192, 0 });
  patient.m_patient = true;
  scheduler.Submit(kNow, patient);
  scheduler.Submit(kNow, MakeJob("j", "t", 1, { 1000, 8192, 0 }));
  const auto starts = scheduler.Decide(kNow, 10);
  ASSERT_EQ(starts.size(), 2U);
  const auto& growing =
    starts[0].m_task.m_job == JobId("j") ? starts[0] : starts[1];
  scheduler.OnReport(kNow, ReportOf(growing, { 1000, 12'000, 0 }));
  const auto stops = scheduler.Decide(kNow, 10);
  ASSERT_EQ(stops.size(), 1U);
  EXPECT_EQ(stops[0].m_task.m_job, JobId("p"));
}

TEST(SchedMeasuredSizes, IgnoreReportsOfAnEarlierAttempt)
{
  auto scheduler = MakeSlice(1);
  scheduler.Submit(kNow, MakeJob("j", "t", 1, { 1000, 1024, 0 }));
  const auto first = scheduler.Decide(kNow, 10).at(0);
  End(scheduler, kNow, first, worker::TaskOutcome::Stopped);
  ASSERT_EQ(scheduler.Decide(kNow, 10).size(), 1U);
  scheduler.OnReport(kNow, ReportOf(first, { 500, 16'000, 0 }));
  scheduler.Submit(kNow, MakeJob("k", "t", 1, { 1000, 8192, 0 }));
  EXPECT_EQ(scheduler.Decide(kNow, 10).size(), 1U);
}

} // namespace lacewing::fakes
