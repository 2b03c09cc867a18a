/// Guards against starts before a slice is adopted, and against running tasks
/// that the next owner forgets or starts again.
#include "fakes/SchedFleet.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using sched::ActionKind;

worker::RunningTask
Found(const std::string& aJob, std::uint32_t aIndex)
{
  worker::RunningTask task;
  task.m_task = { JobId(aJob), aIndex };
  task.m_attempt = 3;
  task.m_reserved = { 1000, 1024, 0 };
  return task;
}

DaemonScheduler
ClosedSlice()
{
  auto scheduler = MakeSlice(2);
  scheduler.SetOpen(false);
  return scheduler;
}

constexpr Time kNow = Time() + seconds(1);
const VmId kWorker("w0");

} // namespace

TEST(SchedTakeover, StartsNothingUntilTheSliceIsOpen)
{
  auto scheduler = ClosedSlice();
  scheduler.Submit(kNow, MakeJob("j", "t", 2, { 1000, 1024, 0 }));
  EXPECT_TRUE(scheduler.Decide(kNow, 10).empty());
  scheduler.SetOpen(true);
  EXPECT_EQ(scheduler.Decide(kNow, 10).size(), 2U);
}

TEST(SchedTakeover, KeepsTasksOfTheInventory)
{
  for (const bool jobFirst : { true, false }) {
    auto scheduler = ClosedSlice();
    const auto job = MakeJob("j", "t", 2, { 1000, 1024, 0 });
    if (jobFirst) {
      scheduler.Recover(kNow, job, {});
    }
    ASSERT_TRUE(scheduler.Adopt(kNow, kWorker, { Found("j", 1) }));
    scheduler.Recover(kNow, job, {});
    scheduler.SetOpen(true);
    const auto actions = scheduler.Decide(kNow, 10);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].m_task.m_index, 0U);
    EXPECT_EQ(scheduler.Usage(TeamId("t")).m_runningMillicores, 2000);
    EXPECT_TRUE(scheduler.OnTaskEnd(
      kNow, kWorker, { JobId("j"), 1 }, 3, worker::TaskOutcome::Succeeded));
  }
}

TEST(SchedTakeover, StopsTasksOfUnknownJobsAndKeepsTheirRoom)
{
  auto scheduler = ClosedSlice();
  auto unknown = Found("gone", 0);
  unknown.m_reserved = { 8000, 1024, 0 };
  scheduler.Adopt(kNow, kWorker, { unknown });
  scheduler.SetOpen(true);
  scheduler.Submit(kNow, MakeJob("j", "t", 2, { 8000, 1024, 0 }));
  const auto actions = scheduler.Decide(kNow, 10);
  ASSERT_EQ(CountOf(actions, ActionKind::Stop), 1U);
  EXPECT_EQ(CountOf(actions, ActionKind::Start), 1U);
  scheduler.OnTaskEnd(
    kNow, kWorker, unknown.m_task, 3, worker::TaskOutcome::Stopped);
  EXPECT_EQ(CountOf(scheduler.Decide(kNow, 10), ActionKind::Start), 1U);
}

TEST(SchedTakeover, DoesNotStartATaskAgainWhileItIsBeingStopped)
{
  auto scheduler = ClosedSlice();
  scheduler.Adopt(kNow, kWorker, { Found("late", 0) });
  scheduler.SetOpen(true);
  ASSERT_EQ(CountOf(scheduler.Decide(kNow, 10), ActionKind::Stop), 1U);
  scheduler.Submit(kNow, MakeJob("late", "t", 1, { 1000, 1024, 0 }));
  EXPECT_TRUE(scheduler.Decide(kNow, 10).empty());
  scheduler.OnTaskEnd(
    kNow, kWorker, { JobId("late"), 0 }, 3, worker::TaskOutcome::Stopped);
  EXPECT_EQ(CountOf(scheduler.Decide(kNow, 10), ActionKind::Start), 1U);
}

TEST(SchedTakeover, QueuesTasksAgainThatAnInventoryLacks)
{
  auto scheduler = MakeSlice(1);
  scheduler.Submit(kNow, MakeJob("j", "t", 1, { 1000, 1024, 0 }));
  ASSERT_EQ(scheduler.Decide(kNow, 10).size(), 1U);
  scheduler.Adopt(kNow, kWorker, {});
  const auto again = scheduler.Decide(kNow, 10);
  ASSERT_EQ(CountOf(again, ActionKind::Start), 1U);
  EXPECT_EQ(again[0].m_attempt, 2U);
}

TEST(SchedTakeover, ChargesTasksOfCancelledJobsUntilTheyEnd)
{
  auto scheduler = ClosedSlice();
  sched::RecoveredTasks cancelled;
  cancelled.m_cancelled = true;
  scheduler.Recover(kNow, MakeJob("j", "t", 1, { 1000, 1024, 0 }), cancelled);
  scheduler.Adopt(kNow, kWorker, { Found("j", 0) });
  scheduler.SetOpen(true);
  EXPECT_EQ(scheduler.Usage(TeamId("t")).m_runningMillicores, 1000);
  EXPECT_EQ(CountOf(scheduler.Decide(kNow, 10), ActionKind::Stop), 1U);
}

} // namespace lacewing::fakes
