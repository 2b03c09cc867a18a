/// Guards against settings on which all daemons must agree at every moment, and
/// against values that the daemon could not keep.
#include "settings/IniText.h"

#include <gtest/gtest.h>

namespace lacewing::settings {

namespace {

bool
IsAccepted(const std::string& aSection, const std::string& aLine)
{
  return ParseIni(
           Scope::System, "system", "[" + aSection + "]\n" + aLine + "\n")
    .Ok();
}

} // namespace

TEST(SettingRefusals, TimingsOfLeasesAndDivisionIntoSlicesAreNoSettings)
{
  EXPECT_FALSE(IsAccepted("membership", "lease_ms = 3000"));
  EXPECT_FALSE(IsAccepted("membership", "renew_ms = 1000"));
  EXPECT_FALSE(IsAccepted("membership", "promise_ms = 3000"));
  EXPECT_FALSE(IsAccepted("clock", "max_rate_error = 0.01"));
  EXPECT_FALSE(IsAccepted("worker", "lease_ms = 20000"));
  EXPECT_FALSE(IsAccepted("scheduling", "slice_workers_max = 512"));
  EXPECT_FALSE(IsAccepted("service.s", "parts = 4"));
}

TEST(SettingRefusals, DeadlinesAndBodiesAboveTheFixedBounds)
{
  EXPECT_TRUE(IsAccepted("requests", "deadline_max_ms = 30000"));
  EXPECT_FALSE(IsAccepted("requests", "deadline_max_ms = 30001"));
  EXPECT_FALSE(IsAccepted("requests", "deadline_default_ms = 30001"));
  EXPECT_TRUE(IsAccepted("requests", "body_max_bytes = 983040"));
  EXPECT_FALSE(IsAccepted("requests", "body_max_bytes = 983041"));
}

} // namespace lacewing::settings
