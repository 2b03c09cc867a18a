/// Guards against checks of keys that are not counted, or counted under
/// another result than the caller gets.
#include "daemon/SettingsService.h"
#include "fakes/DaemonConfig.h"

#include <gtest/gtest.h>

namespace lacewing::daemon {

TEST(AuthenticationMetric, CountsARefusalUnderItsError)
{
  net::Loop loop;
  Runtime runtime(loop, fakes::DaemonConfig());
  peer::PeerClient peers(loop, {});
  Membership membership(runtime, peers, {});
  const SettingsService service(runtime, membership, [](const auto&) {});
  const auto code = leaf::try_handle_all(
    [&]() -> Result<std::string> {
      BOOST_LEAF_CHECK(service.Authenticate("lwk.a.b.c", ""));
      return std::string("accepted");
    },
    [](const Error& aError) { return std::string(NameOf(aError.m_code)); },
    [] { return std::string("another error"); });
  // No settings were read yet.
  EXPECT_EQ(code, "stale_settings");
  const auto& metrics = runtime.Metrics();
  EXPECT_EQ(
    metrics.Value(observe::Metric::Authentications, { "stale_settings" }), 1);
  EXPECT_EQ(metrics.Value(observe::Metric::Authentications, { "accepted" }), 0);
}

} // namespace lacewing::daemon
