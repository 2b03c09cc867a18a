/// Guards against schedules of faults that break a guarantee of the request
/// protocols (G1, G4, G5 to G9).
#include "harness/RoutingSchedule.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace lacewing::harness {

namespace {

constexpr int kShards = 10;

std::string
Fingerprint(const History& aHistory)
{
  std::string text;
  for (const Event& event : aHistory) {
    text += Describe(std::to_string(static_cast<int>(event.m_kind)), event);
    text += event.m_body;
  }
  return text;
}

} // namespace

class RoutingSchedules : public testing::TestWithParam<int>
{};

TEST_P(RoutingSchedules, KeepTheGuarantees)
{
  int answered = 0;
  for (int seed = GetParam(); seed < ScheduleCount(); seed += kShards) {
    WorldOptions options;
    options.m_seed = static_cast<std::uint64_t>(seed);
    options.m_faults = RandomFaults(options.m_seed);
    RoutingWorld world(options);
    const Violations violations = CheckAll(world.Run());
    ASSERT_TRUE(violations.empty()) << ToText(options) << "\n"
                                    << ToText(violations);
    answered += world.Answered();
  }
  EXPECT_GT(answered, 0);
}

INSTANTIATE_TEST_SUITE_P(Shards, RoutingSchedules, testing::Range(0, kShards));

TEST(RoutingScheduleGenerated, KeepsTheGuarantees)
{
  const bool ok = rc::check("faults at steps keep the guarantees", [] {
    WorldOptions options;
    options.m_seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    const auto count = *rc::gen::inRange(0, 5);
    for (int index = 0; index < count; ++index) {
      const auto& steps = EnumNames<Step>::kTable;
      const auto step = *rc::gen::inRange<std::size_t>(0, steps.size());
      const auto fault = *rc::gen::inRange(0, kFaults);
      options.m_faults.push_back({ steps[step].first,
                                   static_cast<Fault>(fault),
                                   *rc::gen::inRange(1, 60) });
    }
    RoutingWorld world(options);
    const Violations violations = CheckAll(world.Run());
    RC_LOG() << ToText(options) << "\n" << ToText(violations);
    RC_ASSERT(violations.empty());
  });
  EXPECT_TRUE(ok);
}

TEST(RoutingSchedule, IsDeterministic)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const WorldOptions options{ seed, RandomFaults(seed), {} };
    RoutingWorld first(options);
    RoutingWorld second(options);
    EXPECT_EQ(Fingerprint(first.Run()), Fingerprint(second.Run()));
  }
}

} // namespace lacewing::harness
