/// Guards against history checkers that pass a history which breaks the point
/// that they stand for.
#include "fakes/SettingsHistory.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

const VmId kOne("vm-1");

Time
At(int aMillis)
{
  return Time() + milliseconds(aMillis);
}

/// A change of version 1 that is accepted, kept and in force.
History
GoodHistory()
{
  return { { At(0), Serving{ kOne, At(0) } },
           { At(0), InForce{ kOne, "team.a", 1 } },
           { At(10), ChangeAsked{ 1, "team.a", 1, "m1", "a/k" } },
           { At(20), ChangeAnswered{ 1, true, Verdict::Ran } },
           { At(30), InForce{ kOne, "team.a", 2 } },
           { At(40), FaultsOver() },
           { At(90), Kept{ "team.a", 2, "m1" } } };
}

History
With(std::vector<std::pair<Time, HistoryItem>> aItems)
{
  History history = GoodHistory();
  history.insert(history.end() - 1, aItems.begin(), aItems.end());
  return history;
}

} // namespace

TEST(SettingsCheckers, PassAGoodHistory)
{
  const History good =
    With({ { At(50), WorkTaken{ kOne, "a/k", TeamId("a"), TeamId("a") } } });
  EXPECT_TRUE(CheckKeys(good, milliseconds(100)).empty());
  EXPECT_TRUE(CheckNeverReverts(good).empty());
  EXPECT_TRUE(CheckChanges(good).empty());
  EXPECT_TRUE(CheckInForceWithin(good, milliseconds(10)).empty());
}

TEST(SettingsCheckers, FindWorkForAWithdrawnKey)
{
  const History late =
    With({ { At(50), WorkTaken{ kOne, "a/k", TeamId("a"), TeamId("a") } } });
  EXPECT_EQ(CheckKeys(late, milliseconds(29)).size(), 1U);
}

TEST(SettingsCheckers, FindWorkForAnotherTeam)
{
  const History other =
    With({ { At(21), WorkTaken{ kOne, "a/j", TeamId("a"), TeamId("b") } } });
  EXPECT_EQ(CheckKeys(other, seconds(5)).size(), 1U);
}

TEST(SettingsCheckers, FindAVersionThatGoesBack)
{
  EXPECT_EQ(
    CheckNeverReverts(With({ { At(50), InForce{ kOne, "team.a", 1 } } }))
      .size(),
    1U);
}

TEST(SettingsCheckers, FindARestartWithAnOldVersionOnAnotherVm)
{
  const VmId two("vm-2");
  EXPECT_EQ(CheckNeverReverts(With({ { At(50), Serving{ two, At(45) } },
                                     { At(50), InForce{ two, "team.a", 1 } } }))
              .size(),
            1U);
}

TEST(SettingsCheckers, FindTwoAcceptedChangesOfOneVersion)
{
  EXPECT_FALSE(
    CheckChanges(With({ { At(50), ChangeAsked{ 2, "team.a", 1, "m2", "" } },
                        { At(51), ChangeAnswered{ 2, true, Verdict::Ran } } }))
      .empty());
}

TEST(SettingsCheckers, FindALostChange)
{
  History lost = GoodHistory();
  lost.back().second = Kept{ "team.a", 2, "m9" };
  EXPECT_EQ(CheckChanges(lost).size(), 1U);
}

TEST(SettingsCheckers, FindARefusalThatIsInEffect)
{
  EXPECT_EQ(
    CheckChanges(With({ { At(50), ChangeAsked{ 2, "team.a", 2, "m2", "" } },
                        { At(51), ChangeAnswered{ 2, false, Verdict::NotRun } },
                        { At(60), Kept{ "team.a", 3, "m2" } } }))
      .size(),
    1U);
}

TEST(SettingsCheckers, FindAVersionThatComesTooLateOrNever)
{
  History late = GoodHistory();
  late[4].first = At(60);
  EXPECT_EQ(CheckInForceWithin(late, milliseconds(10)).size(), 1U);
  late.erase(late.begin() + 4);
  EXPECT_EQ(CheckInForceWithin(late, milliseconds(10)).size(), 1U);
}

} // namespace lacewing::fakes
