/// Guards against checkers and schedules that would not notice the loss of a
/// safety mechanism: without it, the checker of its guarantee must fail.
#include "harness/RoutingSchedule.h"

#include <gtest/gtest.h>

namespace lacewing::harness {

namespace {

using routing::Safeguards;
using Checker = Violations (*)(const History&);

struct Mutation
{
  const char* m_name;
  bool Safeguards::*m_switch;
  Checker m_checker;
  /// A fault that the mechanism guards against.
  FaultPoint m_fault;
};

const std::vector<Mutation> kMutations = {
  { "InsertBeforeForward",
    &Safeguards::m_insertBeforeForward,
    CheckAtMostOnce,
    { Step::FrontForward, Fault::FrontKilled } },
  { "ReadBackOfUnknownInserts",
    &Safeguards::m_readBackUnknown,
    CheckAtMostOnce,
    { Step::FrontWriteInsert, Fault::StoreSlow } },
  { "VersionCheckOnDelete",
    &Safeguards::m_checkVersionOnDelete,
    CheckAtMostOnce,
    { Step::FrontDeleteRecord, Fault::StoreAnswerLost } },
  { "AttemptMatch",
    &Safeguards::m_matchAttempts,
    CheckAnswers,
    { Step::EndpointAnswer, Fault::MessageDuplicated } },
  { "SlotCount",
    &Safeguards::m_countSlots,
    CheckSlots,
    { Step::OwnerDispatch, Fault::MessageDelayed } },
  { "Drain",
    &Safeguards::m_drainFlights,
    CheckPlannedStops,
    { Step::OwnerDispatch, Fault::MessageDelayed } },
  { "NoRetryAfterMayHaveRun",
    &Safeguards::m_noRetryAfterMayHaveRun,
    CheckAtMostOnce,
    { Step::EndpointStart, Fault::EndpointFailing } },
};

constexpr std::uint64_t kMaxSeeds = 400;

/// Seeds until the first violation; 0 if there is none.
std::uint64_t
SeedsToCatch(const Mutation& aMutation, bool aMutated)
{
  for (std::uint64_t seed = 1; seed <= kMaxSeeds; ++seed) {
    WorldOptions options;
    options.m_seed = seed;
    options.m_faults = { aMutation.m_fault };
    options.m_faults[0].m_nth = static_cast<int>(1 + seed % 10);
    options.m_safeguards.*aMutation.m_switch = !aMutated;
    RoutingWorld world(options);
    if (!aMutation.m_checker(world.Run()).empty()) {
      return seed;
    }
  }
  return 0;
}

} // namespace

class RoutingMutations : public testing::TestWithParam<std::size_t>
{};

TEST_P(RoutingMutations, AreCaught)
{
  const std::uint64_t seeds = SeedsToCatch(kMutations[GetParam()], true);
  EXPECT_NE(seeds, 0U) << "not caught in " << kMaxSeeds << " schedules";
  RecordProperty("seeds_to_catch", static_cast<int>(seeds));
  std::cout << "caught after " << seeds << " schedules\n";
}

INSTANTIATE_TEST_SUITE_P(Each,
                         RoutingMutations,
                         testing::Range(std::size_t(0), kMutations.size()),
                         [](const auto& aInfo) {
                           return kMutations[aInfo.param].m_name;
                         });

} // namespace lacewing::harness
