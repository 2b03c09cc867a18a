/// Guards against urgent work that waits for patient work, and against losing
/// more work for it than needed.
#include "fakes/SchedFleet.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using sched::ActionKind;
using sched::JobKind;

sched::JobSpec
Patient(const std::string& aId, std::uint32_t aTasks, Resources aPerTask)
{
  auto spec = MakeJob(aId, "t", aTasks, aPerTask);
  spec.m_patient = true;
  return spec;
}

sched::JobSpec
Urgent(Resources aPerTask)
{
  return MakeJob("urgent", "t", 1, aPerTask, JobKind::Urgent);
}

} // namespace

TEST(SchedUrgentRoom, ThrottlesWhenOnlyProcessorsAreMissing)
{
  auto scheduler = MakeSlice(1);
  const Time now = Time() + seconds(1);
  scheduler.Submit(now, Patient("p", 2, { 4000, 1024, 0 }));
  scheduler.Decide(now, 10);
  scheduler.Submit(now, Urgent({ 3000, 1024, 0 }));
  const auto actions = scheduler.Decide(now, 10);
  ASSERT_EQ(actions.size(), 2U);
  EXPECT_EQ(actions[0].m_kind, ActionKind::Throttle);
  EXPECT_EQ(actions[1].m_kind, ActionKind::Start);
  ASSERT_TRUE(End(scheduler, now, actions[1]));
  EXPECT_EQ(CountOf(scheduler.Decide(now, 10), ActionKind::Unthrottle), 1U);
}

TEST(SchedUrgentRoom, StopsTheTaskThatLosesLeast)
{
  auto scheduler = MakeSlice(2);
  Time now = Time() + seconds(1);
  for (int number = 0; number < 4; ++number) {
    scheduler.Submit(
      now, Patient("p" + std::to_string(number), 1, { 4000, 8192, 0 }));
    ASSERT_EQ(scheduler.Decide(now, 10).size(), 1U);
    now += seconds(10);
  }
  scheduler.Submit(now, Urgent({ 4000, 8192, 0 }));
  const auto actions = scheduler.Decide(now, 10);
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(actions[0].m_kind, ActionKind::Stop);
  EXPECT_EQ(actions[0].m_task.m_job, JobId("p3")) << "started last";
}

TEST(SchedUrgentRoom, CheckpointsRatherThanStopsAndWaitsForTheEnd)
{
  auto scheduler = MakeSlice(1);
  Time now = Time() + seconds(1);
  scheduler.Submit(now, Patient("stops", 1, { 4000, 8192, 0 }));
  auto saves = Patient("saves", 1, { 4000, 8192, 0 });
  saves.m_checkpointable = true;
  scheduler.Submit(now, saves);
  scheduler.Decide(now, 10);
  now += seconds(20);
  scheduler.Submit(now, Urgent({ 4000, 8192, 0 }));
  const auto actions = scheduler.Decide(now, 10);
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(actions[0].m_kind, ActionKind::Checkpoint);
  EXPECT_EQ(actions[0].m_task.m_job, JobId("saves"));
  EXPECT_TRUE(scheduler.Decide(now, 10).empty()) << "room is not free yet";
  End(scheduler, now, actions[0], worker::TaskOutcome::Checkpointed);
  const auto starts = scheduler.Decide(now, 10);
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].m_task.m_job, JobId("urgent"));
  End(scheduler, now, starts[0]);
  const auto resumed = scheduler.Decide(now, 10);
  ASSERT_EQ(resumed.size(), 1U);
  EXPECT_EQ(resumed[0].m_runMs, 40'000) << "20 of 60 s are done";
}

TEST(SchedUrgentRoom, LooksElsewhereWhenAWorkerDoesNotClear)
{
  auto scheduler = MakeSlice(2);
  Time now = Time() + seconds(1);
  scheduler.Submit(now, Patient("p", 2, { 8000, 16384, 0 }));
  scheduler.Decide(now, 10);
  scheduler.Submit(now, Urgent({ 8000, 16384, 0 }));
  const auto first = scheduler.Decide(now, 10);
  ASSERT_EQ(first.size(), 1U);
  now += seconds(1);
  scheduler.Decide(now, 10); // The pledge has run out.
  scheduler.RemoveWorker(now, first[0].m_worker);
  const auto second = scheduler.Decide(now, 10);
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(second[0].m_worker, first[0].m_worker);
}

TEST(SchedUrgentRoom, NeverStopsAtMostOnceTasks)
{
  auto scheduler = MakeSlice(1);
  const Time now = Time() + seconds(1);
  auto proof = Patient("proof", 1, { 8000, 16384, 0 });
  proof.m_atMostOnce = true;
  scheduler.Submit(now, proof);
  scheduler.Decide(now, 10);
  scheduler.OnMarked(now, { JobId("proof"), 0 });
  ASSERT_EQ(CountOf(scheduler.Decide(now, 10), ActionKind::Start), 1U);
  scheduler.Submit(now, Urgent({ 4000, 8192, 0 }));
  EXPECT_TRUE(scheduler.Decide(now, 10).empty());
}

} // namespace lacewing::fakes
