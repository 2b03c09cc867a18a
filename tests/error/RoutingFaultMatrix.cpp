/// Guards against single faults at any step of the request protocols, and pairs
/// of them, that break a guarantee.
#include "harness/RoutingSchedule.h"

#include <gtest/gtest.h>

namespace lacewing::harness {

namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr int kSeedsPerCell = 1;
constexpr int kPairsPerFault = 20;
#else
constexpr int kSeedsPerCell = 5;
constexpr int kPairsPerFault = 100;
#endif

/// Runs a schedule and returns how many of its faults were hit.
int
RunSchedule(const WorldOptions& aOptions)
{
  RoutingWorld world(aOptions);
  const Violations violations = CheckAll(world.Run());
  EXPECT_TRUE(violations.empty()) << ToText(aOptions) << "\n"
                                  << ToText(violations);
  return world.FaultsHit();
}

Step
AnyStep(std::mt19937_64& aRandom)
{
  return EnumNames<Step>::kTable[aRandom() % EnumNames<Step>::kTable.size()]
    .first;
}

int
AnyNth(std::mt19937_64& aRandom)
{
  return static_cast<int>(1 + aRandom() % 20);
}

} // namespace

class RoutingFaultMatrix : public testing::TestWithParam<int>
{};

TEST_P(RoutingFaultMatrix, EachStepSingly)
{
  for (const auto& [step, name] : EnumNames<Step>::kTable) {
    int hit = 0;
    for (int seed = 0; seed < kSeedsPerCell; ++seed) {
      WorldOptions options;
      options.m_seed = static_cast<std::uint64_t>(GetParam()) * 1000 +
                       static_cast<std::uint64_t>(seed);
      options.m_faults = { { step, static_cast<Fault>(GetParam()), 1 + seed } };
      hit += RunSchedule(options);
    }
    EXPECT_GT(hit, 0) << "step " << name << " was not reached";
  }
}

TEST_P(RoutingFaultMatrix, SeededPairs)
{
  std::mt19937_64 random(static_cast<std::uint64_t>(GetParam()));
  for (int pair = 0; pair < kPairsPerFault; ++pair) {
    WorldOptions options;
    options.m_seed = random();
    const auto other = static_cast<Fault>(random() % kFaults);
    options.m_faults = {
      { AnyStep(random), static_cast<Fault>(GetParam()), AnyNth(random) },
      { AnyStep(random), other, AnyNth(random) }
    };
    RunSchedule(options);
  }
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         RoutingFaultMatrix,
                         testing::Range(0, kFaults));

} // namespace lacewing::harness
