/// Guards against teams that get less than their weighted share of a full
/// slice, and against lent share that does not come back.
#include "fakes/SchedFleet.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using sched::ActionKind;

/// Starts, by team, of two teams with ample work on an empty slice.
std::map<char, std::size_t>
StartsByTeam(DaemonScheduler& aScheduler, Time aNow)
{
  std::map<char, std::size_t> starts;
  for (const auto& action : aScheduler.Decide(aNow, 1000)) {
    starts[action.m_task.m_job.Value()[0]] +=
      action.m_kind == ActionKind::Start ? 1 : 0;
  }
  return starts;
}

} // namespace

TEST(SchedFairShare, FollowsTheWeights)
{
  auto scheduler = MakeSlice(4, { "a", "b" });
  const Time now = Time() + seconds(1);
  scheduler.SetTeam(now, TeamId("b"), 3);
  scheduler.Submit(now, MakeJob("a", "a", 100, { 1000, 1024, 0 }));
  scheduler.Submit(now, MakeJob("b", "b", 100, { 1000, 1024, 0 }));
  auto starts = StartsByTeam(scheduler, now);
  EXPECT_EQ(starts['a'], 8U);
  EXPECT_EQ(starts['b'], 24U);
}

TEST(SchedFairShare, CountsTheDominantResource)
{
  // Tasks of `a` need a quarter of a worker's processors, those of `b` an
  // eighth of its processors and a quarter of its memory: equal shares.
  auto scheduler = MakeSlice(4, { "a", "b" });
  const Time now = Time() + seconds(1);
  scheduler.Submit(now, MakeJob("a", "a", 100, { 2000, 1024, 0 }));
  scheduler.Submit(now, MakeJob("b", "b", 100, { 1000, 4096, 0 }));
  scheduler.Decide(now, 10);
  const auto a = scheduler.Usage(TeamId("a")).m_dominantShare;
  const auto b = scheduler.Usage(TeamId("b")).m_dominantShare;
  EXPECT_NEAR(a, b, 0.001);
}

TEST(SchedFairShare, StopsPatientTasksOnLentShare)
{
  auto scheduler = MakeSlice(4, { "a", "b" });
  Time now = Time() + seconds(1);
  auto lent = MakeJob("a", "a", 100, { 1000, 1024, 0 });
  lent.m_patient = true;
  scheduler.Submit(now, lent);
  ASSERT_EQ(CountOf(scheduler.Decide(now, 1000), ActionKind::Start), 32U);
  scheduler.Submit(now, MakeJob("b", "b", 100, { 1000, 1024, 0 }));
  std::size_t starts = 0;
  for (int round = 0; round < 10; ++round) {
    now += seconds(1);
    for (const auto& action : scheduler.Decide(now, 1000)) {
      if (action.m_kind == ActionKind::Stop) {
        End(scheduler, now, action, worker::TaskOutcome::Stopped);
      }
      starts += action.m_kind == ActionKind::Start ? 1 : 0;
    }
  }
  EXPECT_EQ(starts, 16U);
  EXPECT_NEAR(scheduler.Usage(TeamId("b")).m_dominantShare, 0.5, 0.001);
}

TEST(SchedFairShare, LeavesTasksThatAreNotPatientAlone)
{
  auto scheduler = MakeSlice(1, { "a", "b" });
  const Time now = Time() + seconds(1);
  scheduler.Submit(now, MakeJob("a", "a", 8, { 1000, 1024, 0 }));
  scheduler.Decide(now, 1000);
  scheduler.Submit(now, MakeJob("b", "b", 8, { 1000, 1024, 0 }));
  EXPECT_TRUE(scheduler.Decide(now, 1000).empty());
}

TEST(SchedFairShare, PromisesRoomToALargeTaskThatHasWaitedLong)
{
  // One-core tasks end one at a time and would always take the room.
  auto scheduler = MakeSlice(1, { "a", "b" });
  Time now = Time() + seconds(1);
  scheduler.Submit(now, MakeJob("a", "a", 1000, { 1000, 1024, 0 }));
  auto running = scheduler.Decide(now, 1000);
  scheduler.Submit(now, MakeJob("b", "b", 1, { 8000, 1024, 0 }));
  bool started = false;
  for (int round = 0; round < 40 && !started; ++round) {
    now += seconds(1);
    if (!running.empty()) {
      End(scheduler, now, running.front());
      running.erase(running.begin());
    }
    for (const auto& action : scheduler.Decide(now, 1000)) {
      started = started || action.m_task.m_job == JobId("b");
      running.push_back(action);
    }
  }
  EXPECT_TRUE(started);
}

} // namespace lacewing::fakes
