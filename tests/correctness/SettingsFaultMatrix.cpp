/// Guards G3 and G10 against every fault at every step of the protocol, alone
/// and in seeded pairs.
#include "fakes/SettingsCluster.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using settings::Distribution;
using settings::Step;

/// The freshness limit of 5 s on a clock that is up to 1% slow.
constexpr Duration kWithdrawalBound = milliseconds(5100);
/// A check of the version, a fetch and a time-out of the table.
constexpr Duration kInForceBound = seconds(8);

void
CheckAll(const History& aHistory, const std::string& aWhat)
{
  for (const Faults& faults : { CheckKeys(aHistory, kWithdrawalBound),
                                CheckNeverReverts(aHistory),
                                CheckChanges(aHistory),
                                CheckInForceWithin(aHistory, kInForceBound) }) {
    EXPECT_TRUE(faults.empty()) << aWhat << ": " << faults.front();
  }
}

std::string
Describe(const PlannedSettingsFault& aFault)
{
  return "fault " + std::to_string(static_cast<int>(aFault.m_kind)) + " at " +
         std::string(NameOf(aFault.m_step)) + " " +
         std::to_string(aFault.m_occurrence);
}

void
RunSingly(Distribution aDistribution, int aOccurrence)
{
  int fired = 0;
  for (int kind = 0; kind < kFaultKinds; ++kind) {
    for (int step = 0; step < kSteps; ++step) {
      PlannedSettingsFault fault;
      fault.m_kind = static_cast<FaultKind>(kind);
      fault.m_step = static_cast<Step>(step);
      fault.m_occurrence = aOccurrence;
      ClusterOptions options;
      options.m_distribution = aDistribution;
      options.m_loseFirstAnswer = true;
      options.m_seed = 1 + static_cast<std::uint64_t>(kind) * kSteps +
                       static_cast<std::uint64_t>(step);
      SettingsCluster cluster(options, { fault });
      CheckAll(cluster.Run(), Describe(fault));
      fired += cluster.Fired();
      // Rows are passed between peers only with one reader per region.
      const bool reachable = aDistribution == Distribution::Region ||
                             (fault.m_step != Step::PeerRowsSend &&
                              fault.m_step != Step::PeerRowsAnswer);
      if (aOccurrence == 1 && reachable) {
        EXPECT_EQ(cluster.Fired(), 1) << Describe(fault);
      }
    }
  }
  EXPECT_GT(fired, kFaultKinds * kSteps / 2);
}

} // namespace

TEST(SettingsFaultMatrix, HoldsWithoutFaults)
{
  for (const auto distribution :
       { Distribution::Direct, Distribution::Region }) {
    ClusterOptions options;
    options.m_distribution = distribution;
    SettingsCluster cluster(options);
    const History& history = cluster.Run();
    CheckAll(history, "no faults");
    EXPECT_GT(detail::AcceptedChanges(history).size(), 5U);
    EXPECT_GT(detail::ItemsOf<WorkTaken>(history).size(), 300U);
  }
}

TEST(SettingsFaultMatrix, EachFaultAtTheFirstOfEachStepWithOneReader)
{
  RunSingly(Distribution::Region, 1);
}

TEST(SettingsFaultMatrix, EachFaultAtTheFirstOfEachStepWithAllReaders)
{
  RunSingly(Distribution::Direct, 1);
}

TEST(SettingsFaultMatrix, EachFaultAtALaterOccurrenceOfEachStep)
{
  RunSingly(Distribution::Region, 4);
}

TEST(SettingsFaultMatrix, SeededPairsOfFaults)
{
  constexpr int kPairs = 600;
  std::mt19937_64 random(20261204);
  const auto pick = [&](int aBound) {
    return std::uniform_int_distribution<int>(0, aBound - 1)(random);
  };
  for (int i = 0; i < kPairs; ++i) {
    std::vector<PlannedSettingsFault> faults(2);
    std::string what = "pair " + std::to_string(i);
    for (PlannedSettingsFault& fault : faults) {
      fault = { static_cast<FaultKind>(pick(kFaultKinds)),
                static_cast<Step>(pick(kSteps)),
                1 + pick(6),
                pick(5) - 1 };
      what += ", " + Describe(fault);
    }
    ClusterOptions options;
    options.m_seed = static_cast<std::uint64_t>(i);
    options.m_loseFirstAnswer = i % 2 == 0;
    SettingsCluster cluster(options, faults);
    CheckAll(cluster.Run(), what);
  }
}

} // namespace lacewing::fakes
