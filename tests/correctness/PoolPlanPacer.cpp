/// Guards against plans that hold up the event loop, and against plans that
/// stay small after the cause has gone.
#include "pool/PlanPacer.h"

#include <gtest/gtest.h>

namespace lacewing::pool {

namespace {

/// Lets plans that consider all they may run one after another, and returns the
/// time that the last one took.
Duration
LastPlan(PlanPacer& aPacer, Duration aPerStep)
{
  Time now{ seconds(1000) };
  Duration taken{};
  for (int plan = 0; plan < 100; ++plan) {
    taken = aPerStep * static_cast<int>(aPacer.Steps());
    aPacer.OnPlan(now, now + taken, aPacer.Steps(), 0);
    now = aPacer.NextPlan();
  }
  return taken;
}

TEST(PoolPlanPacer, SlowStepsMakePlansConsiderFewer)
{
  PlanPacer pacer;
  EXPECT_EQ(pacer.Steps(), PlanPacer::kMostSteps);
  EXPECT_LE(LastPlan(pacer, microseconds(100)), milliseconds(11));
}

TEST(PoolPlanPacer, PlansGrowAgainOnceStepsAreFast)
{
  PlanPacer pacer;
  LastPlan(pacer, microseconds(1000));
  EXPECT_EQ(pacer.Steps(), PlanPacer::kFewestSteps);
  LastPlan(pacer, microseconds(10));
  EXPECT_EQ(pacer.Steps(), PlanPacer::kMostSteps);
}

/// Guards against plans that hold up the event loop because few steps have many
/// tasks.
TEST(PoolPlanPacer, SlowStartsMakePlansStartFewer)
{
  constexpr std::size_t kSteps = 10;
  constexpr Duration kEach = microseconds(150);
  PlanPacer pacer;
  Time now{ seconds(1000) };
  Duration taken{};
  for (int plan = 0; plan < 100; ++plan) {
    const std::size_t starts = pacer.Operations() - kSteps;
    taken = kEach * static_cast<int>(kSteps + starts);
    pacer.OnPlan(now, now + taken, kSteps, starts);
    now = pacer.NextPlan();
  }
  EXPECT_LE(taken, milliseconds(11));
}

/// Guards against plans that take the processor time of the calls to workers.
TEST(PoolPlanPacer, PlansLeaveFourFifthsOfTheTimeToOtherWork)
{
  PlanPacer pacer;
  const Time begin{ seconds(1000) };
  pacer.OnPlan(begin, begin + milliseconds(30), 100, 0);
  EXPECT_EQ(pacer.NextPlan(), begin + milliseconds(150));
}

/// Guards against a backlog that grows although the processor is idle, because
/// plans may not take the time that nothing else needs.
TEST(PoolPlanPacer, PlansTakeHalfOfTheTimeThatNothingElseNeeds)
{
  PlanPacer pacer;
  const Time begin{ seconds(1000) };
  pacer.SetStandingLag(milliseconds(2));
  pacer.OnPlan(begin, begin + milliseconds(30), 100, 0);
  EXPECT_EQ(pacer.NextPlan(), begin + milliseconds(60));
  pacer.SetStandingLag(milliseconds(40));
  pacer.OnPlan(begin, begin + milliseconds(30), 100, 0);
  EXPECT_EQ(pacer.NextPlan(), begin + milliseconds(150));
}

} // namespace

} // namespace lacewing::pool
