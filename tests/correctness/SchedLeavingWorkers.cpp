/// Guards against tasks that are started on workers which the VM list shows as
/// leaving, and against the loss of what already runs there.
#include "fakes/SchedFleet.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using sched::ActionKind;
using sched::JobKind;

constexpr Resources kWholeWorker{ 8000, 1024, 0 };

} // namespace

TEST(SchedLeavingWorkers, StartsNothingNewAndLetsRunningTasksGoOn)
{
  auto scheduler = MakeSlice(1);
  const Time now = Time() + seconds(1);
  scheduler.Submit(now, MakeJob("a", "t", 1, { 1000, 1024, 0 }));
  const auto first = scheduler.Decide(now, 10);
  ASSERT_EQ(CountOf(first, ActionKind::Start), 1U);
  scheduler.SetCordoned(VmId("w0"), true);
  scheduler.Submit(now, MakeJob("b", "t", 1, { 1000, 1024, 0 }));
  EXPECT_TRUE(scheduler.Decide(now, 10).empty());
  EXPECT_EQ(scheduler.JobStatus(JobId("a"))->m_running, 1U);
  EXPECT_TRUE(End(scheduler, now, first.front()));
  EXPECT_EQ(scheduler.JobStatus(JobId("a"))->m_state,
            sched::JobState::Succeeded);
}

TEST(SchedLeavingWorkers, AreNamedInTheExplanation)
{
  auto scheduler = MakeSlice(2);
  const Time now = Time() + seconds(1);
  scheduler.SetCordoned(VmId("w0"), true);
  scheduler.SetCordoned(VmId("w1"), true);
  scheduler.Submit(now, MakeJob("a", "t", 1, { 1000, 1024, 0 }));
  scheduler.Decide(now, 10);
  const auto explained = scheduler.Explain(now, JobId("a"));
  EXPECT_EQ(explained->m_wait, sched::WaitReason::NoRoom);
  EXPECT_FALSE(explained->m_never) << "workers that leave are replaced";
  EXPECT_EQ(explained->m_message,
            "no worker has 1000 millicores and 1024 MiB free; workers that are "
            "leaving and take no new tasks: 2");
}

TEST(SchedLeavingWorkers, TakeTasksAgainWhenTheyStay)
{
  auto scheduler = MakeSlice(1);
  const Time now = Time() + seconds(1);
  scheduler.SetCordoned(VmId("w0"), true);
  scheduler.Submit(now, MakeJob("a", "t", 1, { 1000, 1024, 0 }));
  EXPECT_TRUE(scheduler.Decide(now, 10).empty());
  scheduler.SetCordoned(VmId("w0"), false);
  EXPECT_EQ(CountOf(scheduler.Decide(now, 10), ActionKind::Start), 1U);
}

TEST(SchedLeavingWorkers, AreNoRoomForAGang)
{
  auto scheduler = MakeSlice(2);
  const Time now = Time() + seconds(1);
  scheduler.SetCordoned(VmId("w1"), true);
  scheduler.Submit(now, MakeJob("g", "t", 2, kWholeWorker, JobKind::Gang));
  EXPECT_TRUE(scheduler.Decide(now, 10).empty());
  EXPECT_EQ(scheduler.Explain(now, JobId("g"))->m_wait,
            sched::WaitReason::GangRoom)
    << "no reservation on a worker that leaves";
  scheduler.Submit(now, MakeJob("a", "t", 1, kWholeWorker));
  EXPECT_EQ(CountOf(scheduler.Decide(now, 10), ActionKind::Start), 1U);
}

TEST(SchedLeavingWorkers, EndTheReservationThatHoldsThem)
{
  auto scheduler = MakeSlice(2);
  const Time now = Time() + seconds(1);
  scheduler.Submit(now, MakeJob("a", "t", 1, kWholeWorker));
  const auto first = scheduler.Decide(now, 10);
  scheduler.Submit(now, MakeJob("g", "t", 2, kWholeWorker, JobKind::Gang));
  scheduler.Decide(now, 10);
  ASSERT_EQ(scheduler.Explain(now, JobId("g"))->m_wait,
            sched::WaitReason::GangReservation);
  const VmId free(first.front().m_worker == VmId("w0") ? "w1" : "w0");
  scheduler.SetCordoned(free, true);
  End(scheduler, now, first.front());
  EXPECT_TRUE(scheduler.Decide(now, 10).empty());
  scheduler.Submit(now, MakeJob("b", "t", 1, kWholeWorker));
  EXPECT_EQ(CountOf(scheduler.Decide(now + seconds(10), 10), ActionKind::Start),
            1U)
    << "the other worker is no longer held";
}

TEST(SchedLeavingWorkers, LoseTheTaskThatWaitsForItsMark)
{
  auto scheduler = MakeSlice(2);
  const Time now = Time() + seconds(1);
  auto spec = MakeJob("a", "t", 1, { 1000, 1024, 0 });
  spec.m_atMostOnce = true;
  scheduler.Submit(now, spec);
  const auto marks = Only(scheduler.Decide(now, 10), ActionKind::MarkStarted);
  ASSERT_EQ(marks.size(), 1U);
  scheduler.SetCordoned(marks[0].m_worker, true);
  scheduler.OnMarked(now, marks[0].m_task);
  const auto starts = Only(scheduler.Decide(now, 10), ActionKind::Start);
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_NE(starts[0].m_worker, marks[0].m_worker);
}

TEST(SchedLeavingWorkers, LoseTheTaskThatWaitsForRoomThere)
{
  auto scheduler = MakeSlice(1);
  const Time now = Time() + seconds(1);
  auto patient = MakeJob("a", "t", 1, kWholeWorker);
  patient.m_patient = true;
  scheduler.Submit(now, patient);
  const auto first = scheduler.Decide(now, 10);
  // As much memory as the worker has cannot be had by throttling.
  scheduler.Submit(now,
                   MakeJob("u", "t", 1, { 1000, 16384, 0 }, JobKind::Urgent));
  ASSERT_EQ(CountOf(scheduler.Decide(now, 10), ActionKind::Stop), 1U);
  scheduler.SetCordoned(VmId("w0"), true);
  End(scheduler, now, first.front(), worker::TaskOutcome::Stopped);
  EXPECT_TRUE(scheduler.Decide(now, 10).empty());
}

TEST(SchedLeavingWorkers, StayCordonedWhenTheirPlaceChanges)
{
  auto scheduler = MakeSlice(1);
  const Time now = Time() + seconds(1);
  scheduler.SetCordoned(VmId("w0"), true);
  auto moved = MakeWorker(0);
  moved.m_rack = sched::RackId("another rack");
  scheduler.UpsertWorker(now, moved);
  scheduler.Submit(now, MakeJob("a", "t", 1, { 1000, 1024, 0 }));
  EXPECT_TRUE(scheduler.Decide(now, 10).empty());
}

} // namespace lacewing::fakes
