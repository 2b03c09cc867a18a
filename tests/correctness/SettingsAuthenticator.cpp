/// Guards against work that is taken without the team's key, or refused with
/// the wrong error.
#include "fakes/SettingsCluster.h"

#include <gtest/gtest.h>

namespace lacewing::settings {

namespace {

using fakes::SettingsCluster;

/// "team" or the name of the error.
std::string
Try(const SettingsStore& aStore,
    Time aNow,
    const std::string& aKey,
    const std::string& aQueue)
{
  const Authenticator gate(aStore);
  return leaf::try_handle_all(
    [&]() -> Result<std::string> {
      BOOST_LEAF_AUTO(team, gate.Authenticate(aNow, aKey, aQueue));
      return team.Value();
    },
    [](const Error& aError) {
      EXPECT_EQ(aError.m_verdict, Verdict::NotRun);
      EXPECT_EQ(aError.m_message.find("secret"), std::string::npos);
      return std::string(NameOf(aError.m_code));
    },
    [] { return std::string("untyped"); });
}

} // namespace

TEST(SettingsAuthenticator, DecidesByKeyQueueAndAge)
{
  fakes::ClusterOptions options;
  options.m_operatorsAct = false;
  SettingsCluster cluster(options);
  const SettingsStore& store = cluster.Store(2);
  const auto age = [&](Duration aAge) {
    // Process 2 started with its clock at 200 s.
    const Time now = Time() + seconds(203);
    return now - *store.ConfirmationAge(now) + aAge;
  };
  const Time fresh = age(seconds(4));
  const Time stale = age(milliseconds(5001));
  const std::string keyA = SettingsCluster::KeyText("a", "k1");
  const std::string keyB = SettingsCluster::KeyText("b", "k1");
  EXPECT_EQ(Try(store, fresh, keyA, ""), "a");
  EXPECT_EQ(Try(store, fresh, keyA, "desk"), "a");
  EXPECT_EQ(Try(store, fresh, keyB, "desk"), "forbidden");
  EXPECT_EQ(Try(store, fresh, keyA, "nowhere"), "not_found");
  EXPECT_EQ(Try(store, fresh, "", "lobby"), "b");
  EXPECT_EQ(Try(store, stale, "", "lobby"), "b");
  EXPECT_EQ(Try(store, stale, keyA, ""), "stale_settings");
  for (const std::string& wrong : { std::string(),
                                    std::string("lwk"),
                                    std::string("lwk.a.k1"),
                                    keyA + "x",
                                    std::string("lwk.a.k9.secret"),
                                    std::string("lwk.z.k1.secret"),
                                    "lwk.b.k1." + keyA.substr(9) }) {
    EXPECT_EQ(Try(store, fresh, wrong, ""), "unauthenticated") << wrong;
  }
}

TEST(SettingsAuthenticator, ServesNothingBeforeTheSettingsAreRead)
{
  const SettingsStore store{ StoreOptions() };
  EXPECT_EQ(Try(store, Time(), SettingsCluster::KeyText("a", "k1"), ""),
            "stale_settings");
  EXPECT_EQ(Try(store, Time(), "", "lobby"), "stale_settings");
}

} // namespace lacewing::settings
