/// Guards against deadlines of the settings that are accepted but not used for
/// requests.
#include "daemon/AppliedSettings.h"
#include "fakes/SystemSettings.h"

#include <gtest/gtest.h>

namespace lacewing::daemon {

namespace {

/// The deadline taken for a header, in milliseconds; -1 if it is refused.
std::int64_t
DeadlineOf(const std::string& aSettings, const std::string& aHeader)
{
  net::HttpRequest request;
  request.m_headers["X-Deadline-Ms"] = aHeader;
  const auto bounds = DeadlineBoundsOf(fakes::SystemSettings(aSettings));
  return leaf::try_handle_all(
    [&]() -> Result<std::int64_t> {
      BOOST_LEAF_AUTO(context, caller::ParseContext(request, bounds));
      return ToMilliseconds(context.m_deadline);
    },
    [](const Error& aError) {
      EXPECT_EQ(aError.m_code, ErrorCode::BadInput);
      return std::int64_t{ -1 };
    },
    [] { return std::int64_t{ -2 }; });
}

} // namespace

TEST(SettingDeadlines, BoundAndDefaultAreThoseOfTheSettings)
{
  const std::string text =
    "[requests]\ndeadline_max_ms = 2000\ndeadline_default_ms = 500\n";
  EXPECT_EQ(DeadlineOf(text, ""), 500);
  EXPECT_EQ(DeadlineOf(text, "2000"), 2000);
  EXPECT_EQ(DeadlineOf(text, "2001"), -1);
  EXPECT_EQ(DeadlineOf("", ""), 10'000);
  EXPECT_EQ(DeadlineOf("", "30000"), 30'000);
  EXPECT_EQ(DeadlineOf("", "30001"), -1);
}

TEST(SettingDeadlines, DefaultIsNotAboveTheBound)
{
  EXPECT_EQ(DeadlineOf("[requests]\ndeadline_max_ms = 2000\n", ""), 2000);
}

} // namespace lacewing::daemon
