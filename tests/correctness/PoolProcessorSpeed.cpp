/// Guards against a slow processor that is taken for one with too much work,
/// and against an interruption that is taken for a slow processor.
#include "pool/ProcessorSpeed.h"

#include <gtest/gtest.h>

namespace lacewing::pool {

namespace {

constexpr Time kStart{ seconds(1000) };
constexpr Duration kPeriod = milliseconds(100);

/// Probes for a second; each fourth one takes `aInterrupted`.
void
Probe(ProcessorSpeed& aSpeed,
      Time& aNow,
      Duration aTaken,
      Duration aInterrupted)
{
  for (int probe = 0; probe < 10; ++probe, aNow += kPeriod) {
    aSpeed.OnProbe(aNow, probe % 4 == 0 ? aInterrupted : aTaken);
  }
}

TEST(PoolProcessorSpeed, SlowProcessorShowsAndRecovers)
{
  ProcessorSpeed speed;
  Time now = kStart;
  Probe(speed, now, microseconds(20), microseconds(20));
  EXPECT_DOUBLE_EQ(speed.Slowdown(), 1);
  Probe(speed, now, microseconds(120), microseconds(120));
  EXPECT_DOUBLE_EQ(speed.Slowdown(), 6);
  Probe(speed, now, microseconds(20), microseconds(20));
  EXPECT_DOUBLE_EQ(speed.Slowdown(), 1);
}

TEST(PoolProcessorSpeed, InterruptionsAreNoSlowProcessor)
{
  ProcessorSpeed speed;
  Time now = kStart;
  Probe(speed, now, microseconds(20), milliseconds(30));
  EXPECT_DOUBLE_EQ(speed.Slowdown(), 1);
}

/// Guards against a processor that counts as slow for ever after one time that
/// was measured too short.
TEST(PoolProcessorSpeed, OneShortTimeIsNoMeasureForTheOthers)
{
  ProcessorSpeed speed;
  Time now = kStart;
  Probe(speed, now, microseconds(60), microseconds(60));
  speed.OnProbe(now, microseconds(5));
  Probe(speed, now, microseconds(60), microseconds(60));
  EXPECT_DOUBLE_EQ(speed.Slowdown(), 1);
}

/// A clock that does not advance during a probe must not make each later one
/// look slow.
TEST(PoolProcessorSpeed, TimesBelowTheClocksResolutionCountAsEqual)
{
  ProcessorSpeed speed;
  Time now = kStart;
  Probe(speed, now, Duration::zero(), Duration::zero());
  Probe(speed, now, microseconds(4), microseconds(4));
  EXPECT_DOUBLE_EQ(speed.Slowdown(), 1);
}

} // namespace

} // namespace lacewing::pool
