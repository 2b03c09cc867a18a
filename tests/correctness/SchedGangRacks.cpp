/// Guards against gangs spread over racks or domains without need, and against
/// gangs placed in part.
#include "fakes/SchedFleet.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

std::set<sched::RackId>
RacksOf(const std::vector<sched::Action>& aActions)
{
  std::set<sched::RackId> racks;
  for (const auto& action : aActions) {
    const int number = std::stoi(action.m_worker.Value().substr(1));
    racks.insert(MakeWorker(number).m_rack);
  }
  return racks;
}

} // namespace

TEST(SchedGangRacks, KeepsAGangInOneRackThatCanHoldIt)
{
  auto scheduler = MakeSlice(32);
  const Time now = Time() + seconds(1);
  scheduler.Submit(
    now, MakeJob("g", "t", 8, { 4000, 1024, 0 }, sched::JobKind::Gang));
  const auto actions = scheduler.Decide(now, 100);
  EXPECT_EQ(actions.size(), 8U);
  EXPECT_EQ(RacksOf(actions).size(), 1U);
}

TEST(SchedGangRacks, UsesAsFewRacksAsALargerGangNeeds)
{
  auto scheduler = MakeSlice(32);
  const Time now = Time() + seconds(1);
  scheduler.Submit(
    now, MakeJob("g", "t", 12, { 8000, 1024, 0 }, sched::JobKind::Gang));
  const auto actions = scheduler.Decide(now, 100);
  EXPECT_EQ(actions.size(), 12U);
  EXPECT_EQ(RacksOf(actions).size(), 3U);
}

TEST(SchedGangRacks, KeepsToTheAllowedRacks)
{
  auto scheduler = MakeSlice(32);
  const Time now = Time() + seconds(1);
  auto gang = MakeJob("g", "t", 4, { 8000, 1024, 0 }, sched::JobKind::Gang);
  gang.m_racks = { sched::RackId("r5") };
  scheduler.Submit(now, gang);
  const std::set<sched::RackId> allowed = { sched::RackId("r5") };
  EXPECT_EQ(RacksOf(scheduler.Decide(now, 100)), allowed);
}

TEST(SchedGangRacks, StartsNothingOfAGangThatDoesNotFit)
{
  auto scheduler = MakeSlice(4);
  const Time now = Time() + seconds(1);
  scheduler.Submit(now, MakeJob("a", "t", 1, { 1000, 1024, 0 }));
  ASSERT_EQ(scheduler.Decide(now, 100).size(), 1U);
  scheduler.Submit(
    now, MakeJob("g", "t", 4, { 8000, 1024, 0 }, sched::JobKind::Gang));
  EXPECT_TRUE(scheduler.Decide(now, 100).empty());
}

TEST(SchedGangRacks, RestartsTheWholeGangAfterTheLossOfOneTask)
{
  auto scheduler = MakeSlice(8);
  Time now = Time() + seconds(1);
  scheduler.Submit(
    now, MakeJob("g", "t", 3, { 8000, 1024, 0 }, sched::JobKind::Gang));
  const auto first = scheduler.Decide(now, 100);
  ASSERT_EQ(first.size(), 3U);
  scheduler.RemoveWorker(now, first[0].m_worker);
  const auto stops = scheduler.Decide(now, 100);
  ASSERT_EQ(CountOf(stops, sched::ActionKind::Stop), 2U);
  ASSERT_EQ(stops.size(), 2U) << "nothing starts while the rest still runs";
  for (const auto& stop : stops) {
    End(scheduler, now, stop, worker::TaskOutcome::Stopped);
  }
  now += seconds(10);
  EXPECT_EQ(CountOf(scheduler.Decide(now, 100), sched::ActionKind::Start), 3U);
}

} // namespace lacewing::fakes
