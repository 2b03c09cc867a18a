/// Guards against gangs that never start because smaller tasks take each room
/// that becomes free, and against two gangs that keep each other out.
#include "fakes/SchedFleet.h"

#include <gtest/gtest.h>

#include <deque>

namespace lacewing::fakes {

namespace {

using sched::ActionKind;
using sched::JobKind;

struct NoReservation : sched::AllChecks
{
  static constexpr bool kGangReservation = false;
};

using Unreserved = sched::
  SliceScheduler<sched::FairOrder, sched::BestFitPlacement, NoReservation>;

/// Keeps a slice of four workers full with one-core tasks of another team,
/// which end one by one. Answers the gangs that started within the time.
template<typename Scheduler>
std::set<JobId>
GangsStartedUnderLoad(int aGangs)
{
  auto scheduler = MakeSlice<Scheduler>(4, { "t", "s" });
  Time now = Time() + seconds(1);
  std::deque<sched::Action> running;
  std::set<JobId> gangs;
  int next = 0;
  constexpr int kSteps = 400;
  for (int step = 0; step < kSteps; ++step) {
    now += milliseconds(100);
    for (int i = 0; i < 4; ++i) {
      scheduler.Submit(
        now, MakeJob("s" + std::to_string(next++), "s", 1, { 1000, 1024, 0 }));
    }
    if (step == 20) {
      for (int gang = 0; gang < aGangs; ++gang) {
        scheduler.Submit(now,
                         MakeJob("g" + std::to_string(gang),
                                 "t",
                                 3,
                                 { 6000, 1024, 0 },
                                 JobKind::Gang));
      }
    }
    for (const auto& action : scheduler.Decide(now, 100)) {
      if (action.m_task.m_job.Value().starts_with("g")) {
        gangs.insert(action.m_task.m_job);
      }
      running.push_back(action);
    }
    for (int i = 0; i < 2 && !running.empty(); ++i) {
      End(scheduler, now, running.front());
      running.pop_front();
    }
  }
  return gangs;
}

} // namespace

TEST(SchedGangReservation, LetsAGangStartUnderASteadyStream)
{
  EXPECT_EQ(GangsStartedUnderLoad<DaemonScheduler>(1).size(), 1U);
}

TEST(SchedGangReservation, IsWhatLetsTheGangStart)
{
  EXPECT_TRUE(GangsStartedUnderLoad<Unreserved>(1).empty());
}

TEST(SchedGangReservation, ServesTwoGangsOneAfterTheOther)
{
  EXPECT_EQ(GangsStartedUnderLoad<DaemonScheduler>(2).size(), 2U);
}

TEST(SchedGangReservation, EndsWithTheCancelledGang)
{
  auto scheduler = MakeSlice(2);
  const Time now = Time() + seconds(1);
  scheduler.Submit(now, MakeJob("a", "t", 1, { 8000, 1024, 0 }));
  scheduler.Decide(now, 10);
  scheduler.Submit(now, MakeJob("g", "t", 2, { 8000, 1024, 0 }, JobKind::Gang));
  EXPECT_TRUE(scheduler.Decide(now, 10).empty());
  const auto waiting = scheduler.Explain(now, JobId("g"));
  EXPECT_EQ(waiting->m_wait, sched::WaitReason::GangReservation);
  scheduler.Submit(now, MakeJob("b", "t", 1, { 8000, 1024, 0 }));
  EXPECT_TRUE(scheduler.Decide(now, 10).empty()) << "the worker is held";
  scheduler.Cancel(now, JobId("g"));
  EXPECT_EQ(CountOf(scheduler.Decide(now, 10), ActionKind::Start), 1U);
}

} // namespace lacewing::fakes
