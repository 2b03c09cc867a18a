/// Guards against combinations of faults that no one thought of: RapidCheck
/// generates schedules of faults, each of which is run with several seeds.
/// LACEWING_SCHEDULES sets the number of runs of all shards together.
#include "fakes/OwnershipFaults.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>

namespace lacewing::fakes {

namespace {

constexpr int kShards = 16;
constexpr int kSeedsPerPlan = 4;
constexpr std::uint64_t kSeed = 20261204;

int
Runs()
{
#if defined(__SANITIZE_ADDRESS__)
  constexpr int kDefault = 640; // about ten times slower than a release build
#else
  constexpr int kDefault = 10240;
#endif
  const char* text = std::getenv("LACEWING_SCHEDULES");
  return text == nullptr ? kDefault : std::atoi(text); // NOLINT
}

/// Any value of an enum with a name table.
template<typename Enum>
rc::Gen<Enum>
AnyOf()
{
  const auto size = static_cast<int>(EnumNames<Enum>::kTable.size());
  return rc::gen::map(rc::gen::inRange(0, size), [](int aIndex) {
    return EnumNames<Enum>::kTable[static_cast<std::size_t>(aIndex)].first;
  });
}

PlannedFault
AnyFault()
{
  PlannedFault fault;
  fault.m_fault = *AnyOf<Fault>();
  fault.m_time = Time() + milliseconds(*rc::gen::inRange(3000, 32000));
  fault.m_member = *rc::gen::inRange<std::size_t>(0, 9);
  if (*rc::gen::arbitrary<bool>()) {
    fault.m_step = *AnyOf<ownership::Step>();
    fault.m_phase = static_cast<Phase>(*rc::gen::inRange(0, 3));
    fault.m_occurrence = *rc::gen::inRange(1, 16);
  }
  return fault;
}

class OwnershipSchedules : public testing::TestWithParam<int>
{};

} // namespace

TEST_P(OwnershipSchedules, KeepTheGuarantees)
{
  rc::detail::TestParams params;
  params.seed = kSeed + static_cast<std::uint64_t>(GetParam());
  params.maxSuccess = Runs() / kShards / kSeedsPerPlan;
  rc::detail::TestMetadata metadata;
  metadata.id = "OwnershipSchedules";
  std::size_t fired = 0;
  const auto property = [&] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 6);
    std::vector<PlannedFault> plan;
    for (std::size_t i = 0; i < count; ++i) {
      plan.push_back(AnyFault());
      RC_LOG() << plan.back() << "; ";
    }
    const auto base =
      *rc::gen::noShrink(rc::gen::inRange<std::uint64_t>(0, 1000000));
    for (int i = 0; i < kSeedsPerPlan; ++i) {
      const std::uint64_t seed = base + static_cast<std::uint64_t>(i);
      FaultRun run(RandomOptions(seed), plan);
      if (seed % 2 == 0) {
        run.AddScript();
      }
      const Outcome outcome = run.Run(seconds(38), seconds(38));
      fired += outcome.m_fired;
      if (!outcome.m_violations.empty()) {
        RC_FAIL("seed " + std::to_string(seed) + ": " + outcome.Text());
      }
    }
  };
  const auto result = rc::detail::checkTestable(property, metadata, params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << text.str();
  EXPECT_GT(fired, 0U);
}

INSTANTIATE_TEST_SUITE_P(Shards,
                         OwnershipSchedules,
                         testing::Range(0, kShards));

} // namespace lacewing::fakes
