/// Guards against timers of the daemon that call too often, too early or not at
/// all.
#include "net/PacedTimer.h"

#include <gtest/gtest.h>

namespace lacewing::net {

namespace {

/// Turns the loop until the condition holds or the time is over.
template<typename Condition>
bool
RunUntil(Loop& aLoop, Duration aLongest, Condition aCondition)
{
  const Time end = Loop::Now() + aLongest;
  while (!aCondition() && Loop::Now() < end) {
    aLoop.Poll();
  }
  return aCondition();
}

} // namespace

TEST(PacedTimer, DoesNothingUntilItIsArmed)
{
  Loop loop;
  int calls = 0;
  PacedTimer timer(loop, milliseconds(1), [&] { ++calls; });
  RunUntil(loop, milliseconds(30), [] { return false; });
  EXPECT_EQ(calls, 0);
}

TEST(PacedTimer, NeverCallsBeforeTheTime)
{
  Loop loop;
  Time called = Time::max();
  PacedTimer timer(loop, milliseconds(1), [&] { called = Loop::Now(); });
  const Time due = Loop::Now() + milliseconds(20);
  timer.CallBy(due);
  ASSERT_TRUE(
    RunUntil(loop, seconds(5), [&] { return called != Time::max(); }));
  EXPECT_GE(called, due);
}

TEST(PacedTimer, KeepsThePeriodBetweenTwoCalls)
{
  Loop loop;
  std::vector<Time> calls;
  PacedTimer* self = nullptr;
  PacedTimer timer(loop, milliseconds(10), [&] {
    calls.push_back(Loop::Now());
    self->CallSoon();
  });
  self = &timer;
  timer.CallSoon();
  ASSERT_TRUE(RunUntil(loop, seconds(5), [&] { return calls.size() == 4; }));
  for (std::size_t index = 1; index < calls.size(); ++index) {
    EXPECT_GE(calls[index] - calls[index - 1], milliseconds(10));
  }
}

TEST(PacedTimer, TakesTheEarliestOfSeveralTimes)
{
  Loop loop;
  int calls = 0;
  PacedTimer timer(loop, milliseconds(1), [&] { ++calls; });
  timer.CallBy(Loop::Now() + seconds(60));
  timer.CallSoon();
  timer.CallBy(Loop::Now() + seconds(30));
  EXPECT_TRUE(RunUntil(loop, seconds(5), [&] { return calls == 1; }));
}

} // namespace lacewing::net
