/// Guards against slices that are not served after a cold start, a kill or a
/// planned stop.
#include "fakes/OwnershipCell.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

std::string
Joined(const Violations& aViolations)
{
  std::string text;
  for (const std::string& violation : aViolations) {
    text += violation + "\n";
  }
  return text;
}

} // namespace

TEST(OwnershipTakeover, AColdStartServesAllSlices)
{
  OwnershipCell cell({});
  cell.RunFor(seconds(8));
  EXPECT_TRUE(cell.Unserved().empty());
  cell.RunFor(seconds(8));
  EXPECT_GT(cell.Starts(), 5U);
  EXPECT_EQ(Joined(cell.Check()), "");
}

TEST(OwnershipTakeover, AfterAKillTheSlicesAreServedAgain)
{
  OwnershipCell cell({});
  cell.RunFor(seconds(8));
  cell.Kill(cell.Members().front());
  cell.Kill(cell.Members().back());
  cell.RunFor(seconds(8));
  EXPECT_TRUE(cell.Unserved().empty());
  EXPECT_EQ(Joined(cell.Check()), "");
}

TEST(OwnershipTakeover, APlannedStopHandsOver)
{
  OwnershipCell cell({});
  cell.RunFor(seconds(8));
  cell.Stop(cell.Members().front());
  cell.RunFor(seconds(4));
  EXPECT_FALSE(cell.Processes().IsAlive(cell.Members().front()));
  EXPECT_TRUE(cell.Unserved().empty());
  EXPECT_EQ(Joined(cell.Check()), "");
}

TEST(OwnershipTakeover, AStoreOutageDoesNotEndTheAuthority)
{
  OwnershipCell cell({});
  cell.RunFor(seconds(8));
  cell.Table().Faults().m_down = true;
  cell.RunFor(seconds(60));
  EXPECT_TRUE(cell.Unserved().empty());
  cell.Table().Faults().m_down = false;
  cell.RunFor(seconds(10));
  EXPECT_TRUE(cell.Unserved().empty());
  EXPECT_EQ(Joined(cell.Check()), "");
}

TEST(OwnershipTakeover, AMemberCutOffFromTheStoreIsRenewedByItsPeers)
{
  OwnershipCell cell({});
  cell.RunFor(seconds(8));
  cell.Table().Faults().m_unreachableFrom = { cell.Members().front() };
  cell.RunFor(seconds(30));
  EXPECT_TRUE(cell.Unserved().empty());
  EXPECT_EQ(Joined(cell.Check()), "");
}

TEST(OwnershipTakeover, ALoweredLimitComesIntoForce)
{
  OwnershipCell cell({});
  cell.RunFor(seconds(12));
  cell.SetLimit(0, 2000);
  cell.RunFor(seconds(20));
  const auto& rows = cell.Table().Table().AllRows();
  const auto row =
    ownership::DecodeLimit(
      rows.at(ownership::LimitKey(OwnershipCell::Limit(0))).m_value)
      .value();
  EXPECT_EQ(row.m_inForce, 2000);
  EXPECT_EQ(Joined(cell.Check()), "");
}

} // namespace lacewing::fakes
