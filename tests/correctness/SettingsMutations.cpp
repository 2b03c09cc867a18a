/// Guards against checkers and schedules that would not notice a missing rule:
/// each rule is taken out in turn, and a checker must fail.
#include "fakes/SettingsCluster.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using settings::Mutation;
using settings::Step;

constexpr Duration kWithdrawalBound = milliseconds(5100);
constexpr int kSchedules = 60;

using Checker = Faults (*)(const History&);

Faults
Keys(const History& aHistory)
{
  return CheckKeys(aHistory, kWithdrawalBound);
}

/// Schedules in which the faults act at changing occurrences of the steps.
int
CountCaught(Mutation aMutation,
            const std::vector<PlannedSettingsFault>& aFaults,
            Checker aCheck)
{
  int caught = 0;
  for (int i = 0; i < kSchedules; ++i) {
    ClusterOptions options;
    options.m_mutation = aMutation;
    options.m_seed = 1 + static_cast<std::uint64_t>(i);
    auto faults = aFaults;
    for (PlannedSettingsFault& fault : faults) {
      fault.m_occurrence += i % 8;
    }
    SettingsCluster cluster(options, faults);
    caught += aCheck(cluster.Run()).empty() ? 0 : 1;
  }
  return caught;
}

void
ExpectCaught(Mutation aMutation,
             const std::vector<PlannedSettingsFault>& aFaults,
             Checker aCheck)
{
  EXPECT_EQ(CountCaught(Mutation::None, aFaults, aCheck), 0);
  const int caught = CountCaught(aMutation, aFaults, aCheck);
  EXPECT_GT(caught, 0) << NameOf(aMutation);
  testing::Test::RecordProperty("caught", caught);
}

} // namespace

TEST(SettingsMutations, WithoutVersionCheckAStaleReadReverts)
{
  ExpectCaught(Mutation::NoVersionCheck,
               { { FaultKind::StaleReads, Step::TakeInForce, 4 } },
               CheckNeverReverts);
}

TEST(SettingsMutations, WithoutFreshnessLimitAWithdrawnKeyWorks)
{
  ExpectCaught(Mutation::NoFreshnessLimit,
               { { FaultKind::CutRegions, Step::CommitSend, 1 } },
               Keys);
}

TEST(SettingsMutations, WithoutCompareAndSetBothRacingChangesAreAccepted)
{
  ExpectCaught(Mutation::NoCompareAndSet,
               { { FaultKind::RaceOperators, Step::ConfirmSend, 3 } },
               CheckChanges);
}

TEST(SettingsMutations, WithoutReadBackARefusalIsUntrue)
{
  ExpectCaught(Mutation::NoReadBack,
               { { FaultKind::LoseAnswers, Step::CommitSend, 1 } },
               CheckChanges);
}

/// The design page confirmed the version with a read of the index.
TEST(SettingsMutations, ConfirmingByReadTrustsALaggingCopy)
{
  ExpectCaught(Mutation::ConfirmByRead,
               { { FaultKind::StaleReads, Step::CommitSend, 1 } },
               Keys);
}

/// The design page counted a peer's age from the arrival of its message.
TEST(SettingsMutations, CountingFromArrivalTrustsADelayedHeartbeat)
{
  ExpectCaught(Mutation::HeartbeatAtArrival,
               { { FaultKind::DelayMessages, Step::CommitSend, 1 },
                 { FaultKind::CutRegions, Step::CommitAnswer, 1 } },
               Keys);
}

/// The design page asked only the members that aren't gone for promises.
TEST(SettingsMutations, PromisesWithoutLostMembersTrustAnOldVersion)
{
  ExpectCaught(Mutation::PromisesOfLiveOnly,
               { { FaultKind::KillAndStoreDown, Step::IndexReadSend, 1 } },
               Keys);
}

/// The design page let a process serve with the version that its peers know.
TEST(SettingsMutations, ServingWithThePeersVersionReverts)
{
  ExpectCaught(Mutation::ServeUnconfirmed,
               { { FaultKind::StaleReads, Step::CommitSend, 1 },
                 { FaultKind::Restart, Step::IndexReadSend, 1 } },
               CheckNeverReverts);
}

} // namespace lacewing::fakes
