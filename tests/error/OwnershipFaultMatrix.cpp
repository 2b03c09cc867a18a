/// Guards against a fault at one protocol step that breaks a guarantee: every
/// fault at every step, before it leaves, after it has left, and when its
/// answer arrives; then seeded pairs of faults.
#include "fakes/OwnershipFaults.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace lacewing::fakes {

namespace {

#if defined(__SANITIZE_ADDRESS__)
// The sanitizers slow a run down about tenfold: every fifth fault of each step.
constexpr std::size_t kFaultStride = 5;
constexpr std::uint64_t kPairs = 4;
#else
constexpr std::size_t kFaultStride = 1;
constexpr std::uint64_t kPairs = 20;
#endif

PlannedFault
AtStep(ownership::Step aStep, Fault aFault, Phase aPhase, int aOccurrence)
{
  PlannedFault planned;
  planned.m_fault = aFault;
  planned.m_step = aStep;
  planned.m_phase = aPhase;
  planned.m_occurrence = aOccurrence;
  return planned;
}

/// Returns how many of the faults took place.
std::size_t
ExpectSafe(const std::vector<PlannedFault>& aPlan, std::uint64_t aSeed)
{
  CellOptions options;
  options.m_seed = aSeed;
  FaultRun run(options, aPlan);
  run.AddScript();
  const Outcome outcome = run.Run(seconds(38), seconds(38));
  std::ostringstream plan;
  for (const PlannedFault& fault : aPlan) {
    plan << fault << "; ";
  }
  EXPECT_EQ(outcome.Text(), "") << plan.str() << "seed " << aSeed;
  return outcome.m_fired;
}

bool
HasArrival(ownership::Step aStep)
{
  return aStep != ownership::Step::AuthorityEnded &&
         aStep != ownership::Step::SliceOpened &&
         aStep != ownership::Step::DrainStarted;
}

/// Steps that the script reaches only once or twice.
bool
IsRare(ownership::Step aStep)
{
  return aStep == ownership::Step::DrainWrite ||
         aStep == ownership::Step::LeaveWrite ||
         aStep == ownership::Step::DrainStarted ||
         aStep == ownership::Step::AuthorityEnded;
}

class OwnershipFaultMatrix : public testing::TestWithParam<ownership::Step>
{};

} // namespace

TEST_P(OwnershipFaultMatrix, EveryFaultAlone)
{
  const ownership::Step step = GetParam();
  std::size_t fired = 0;
  std::size_t planned = 0;
  for (std::size_t i = 0; i < kFaults; i += kFaultStride) {
    const Fault fault = EnumNames<Fault>::kTable[i].first;
    for (const Phase phase : { Phase::Before, Phase::After, Phase::Arrival }) {
      const bool isMessage = HasArrival(step);
      if (!isMessage && phase != Phase::Before) {
        continue;
      }
      const int occurrence = IsRare(step) ? 1 : 1 + static_cast<int>(i % 4);
      ++planned;
      fired += ExpectSafe({ AtStep(step, fault, phase, occurrence) }, i + 1);
    }
  }
  RecordProperty("planned", static_cast<int>(planned));
  RecordProperty("fired", static_cast<int>(fired));
  // A step that is never reached would make the test empty.
  EXPECT_GT(fired, planned / 2);
}

TEST_P(OwnershipFaultMatrix, SeededPairs)
{
  const ownership::Step step = GetParam();
  for (std::uint64_t i = 0; i < kPairs; ++i) {
    const std::uint64_t seed = static_cast<std::uint64_t>(step) * 1000 + i;
    std::mt19937_64 random(seed);
    const auto draw = [&](std::size_t aBound) { return random() % aBound; };
    const auto pick = [&](ownership::Step aStep) {
      return AtStep(aStep,
                    EnumNames<Fault>::kTable[draw(kFaults)].first,
                    static_cast<Phase>(HasArrival(aStep) ? draw(3) : 0),
                    1 + static_cast<int>(draw(20)));
    };
    const auto other = EnumNames<ownership::Step>::kTable[draw(kSteps)].first;
    ExpectSafe({ pick(step), pick(other) }, seed);
  }
}

INSTANTIATE_TEST_SUITE_P(Steps,
                         OwnershipFaultMatrix,
                         testing::ValuesIn([] {
                           std::vector<ownership::Step> steps;
                           steps.reserve(kSteps);
                           for (const auto& [step, name] :
                                EnumNames<ownership::Step>::kTable) {
                             steps.push_back(step);
                           }
                           return steps;
                         }()),
                         [](const auto& aInfo) {
                           return std::string(NameOf(aInfo.param));
                         });

} // namespace lacewing::fakes
