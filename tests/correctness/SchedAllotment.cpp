/// Guards against teams that run more than their allotment, also after it was
/// lowered.
#include "fakes/SchedFleet.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using sched::ActionKind;

const TeamId kTeam("t");

} // namespace

TEST(SchedAllotment, BoundsWhatStarts)
{
  auto scheduler = MakeSlice(4);
  const Time now = Time() + seconds(1);
  scheduler.SetAllotment(kTeam, 2500);
  scheduler.Submit(now, MakeJob("j", "t", 10, { 1000, 1024, 0 }));
  EXPECT_EQ(scheduler.Decide(now, 100).size(), 2U);
  EXPECT_EQ(scheduler.Explain(now, JobId("j"))->m_wait,
            sched::WaitReason::TeamAllotment);
  EXPECT_EQ(scheduler.Usage(kTeam).m_waitingMillicores, 8000);
}

TEST(SchedAllotment, BoundsUrgentWorkAndWholeGangs)
{
  auto scheduler = MakeSlice(4);
  const Time now = Time() + seconds(1);
  scheduler.SetAllotment(kTeam, 2000);
  scheduler.Submit(
    now, MakeJob("g", "t", 3, { 1000, 1024, 0 }, sched::JobKind::Gang));
  scheduler.Submit(
    now, MakeJob("u", "t", 1, { 2500, 1024, 0 }, sched::JobKind::Urgent));
  EXPECT_TRUE(scheduler.Decide(now, 100).empty());
}

TEST(SchedAllotment, IsZeroUntilItIsSet)
{
  auto scheduler = MakeSlice(1, {});
  scheduler.Submit(Time(), MakeJob("j", "new", 1, { 1000, 1024, 0 }));
  EXPECT_TRUE(scheduler.Decide(Time(), 10).empty());
}

TEST(SchedAllotment, StopsPatientWorkFirstAfterItIsLowered)
{
  auto scheduler = MakeSlice(4);
  const Time now = Time() + seconds(1);
  auto patient = MakeJob("p", "t", 2, { 1000, 1024, 0 });
  patient.m_patient = true;
  scheduler.Submit(now, patient);
  scheduler.Submit(now, MakeJob("j", "t", 2, { 1000, 1024, 0 }));
  ASSERT_EQ(scheduler.Decide(now, 10).size(), 4U);
  scheduler.SetAllotment(kTeam, 1000);
  EXPECT_TRUE(scheduler.Decide(now, 10).empty());
  EXPECT_TRUE(scheduler.Decide(now + seconds(4), 10).empty());
  const auto first = scheduler.Decide(now + seconds(5), 10);
  ASSERT_EQ(CountOf(first, ActionKind::Stop), 2U);
  EXPECT_EQ(first[0].m_task.m_job, JobId("p"));
  EXPECT_EQ(first[1].m_task.m_job, JobId("p"));
  const auto second = scheduler.Decide(now + seconds(10), 10);
  ASSERT_EQ(CountOf(second, ActionKind::Stop), 1U);
  EXPECT_EQ(second[0].m_task.m_job, JobId("j"));
}

TEST(SchedAllotment, ChangedWaitsHoldForAnAllotmentThatWasLoweredBefore)
{
  auto scheduler = MakeSlice(4);
  const Time now = Time() + seconds(1);
  scheduler.Submit(now, MakeJob("j", "t", 2, { 1000, 1024, 0 }));
  ASSERT_EQ(scheduler.Decide(now, 10).size(), 2U);
  scheduler.SetAllotment(kTeam, 1000);
  EXPECT_TRUE(scheduler.Decide(now, 10).empty());
  scheduler.SetAllotmentWaits(seconds(1), seconds(2));
  EXPECT_TRUE(scheduler.Decide(now + milliseconds(1999), 10).empty());
  EXPECT_EQ(CountOf(scheduler.Decide(now + seconds(2), 10), ActionKind::Stop),
            1U);
}

} // namespace lacewing::fakes
