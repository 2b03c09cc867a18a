/// Guards against values that pass unchecked, errors without their place, and
/// errors that hide the ones after them.
#include "settings/Bootstrap.h"
#include "settings/SettingsTree.h"

#include <gtest/gtest.h>

namespace lacewing::settings {

namespace {

const std::string kDigest = std::string(32, 'a') + ":" + std::string(64, 'b');

std::string
GoodBootstrap()
{
  return "[process]\nvm = vm-1\nregion = lombardy\ndomain = a\n"
         "cluster = prod\n[listen]\ncallers = 127.0.0.1:8080\n"
         "peers = 127.0.0.1:8081\n[platform]\ntable = 127.0.0.1:9000\n"
         "objects = 127.0.0.1:9001\nvm_list = [::1]:9002\n[secrets]\n"
         "cluster_secret = hush\nadmin_key_digest = " +
         kDigest + "\n";
}

} // namespace

TEST(SettingsIni, ReadsABootstrapFile)
{
  const auto result = ParseBootstrap("boot.ini", GoodBootstrap());
  ASSERT_TRUE(result.m_bootstrap) << result.ErrorText();
  EXPECT_EQ(result.m_bootstrap->m_vm.Value(), "vm-1");
  EXPECT_EQ(result.m_bootstrap->m_vmList.m_port, 9002);
  EXPECT_EQ(result.m_bootstrap->m_logLevel, LogLevel::Info);
}

TEST(SettingsIni, ReportsEveryErrorWithItsPlace)
{
  const std::string text = "[limits]\n"              // 1
                           "transaction_ms = soon\n" // 2
                           "idle_return_ms = 100\n"  // 3
                           "idle_return_ms = 200\n"  // 4
                           "transaktion_ms = 1\n"    // 5
                           "[limit]\n"               // 6
                           "x = 1\n"                 // 7
                           "[vm_list]\n"             // 8
                           "no value here\n"         // 9
                           "poll_ms = 1\n";          // 10
  const auto result = ParseIni(Scope::System, "system", text);
  ASSERT_EQ(result.m_errors.size(), 6U) << result.ErrorText();
  EXPECT_EQ(result.m_errors[0].ToString(),
            "system:2: [limits] transaction_ms = 'soon': expected an integer "
            "from 10 to 60000 (ms)");
  EXPECT_EQ(result.m_errors[1].m_line, 4);
  EXPECT_EQ(result.m_errors[1].m_expected, "duplicate of line 3");
  EXPECT_EQ(result.m_errors[2].m_expected,
            "unknown key; the nearest known name is 'transaction_ms'");
  EXPECT_EQ(result.m_errors[3].m_expected,
            "unknown section; the nearest known name is 'limits'");
  EXPECT_EQ(result.m_errors[4].m_line, 9);
  EXPECT_EQ(result.m_errors[5].m_line, 10);
}

TEST(SettingsIni, NamesMissingSettingsAndHidesSecrets)
{
  const auto result =
    ParseBootstrap("boot.ini",
                   "[process]\nvm = BAD\n[secrets]\n"
                   "cluster_secret = hush\ncluster_secret_file = f\n"
                   "admin_key_digest = lwk.a.b.c\n");
  const std::string text = result.ErrorText();
  EXPECT_FALSE(result.m_bootstrap);
  EXPECT_NE(text.find("[process] region: missing"), std::string::npos) << text;
  EXPECT_NE(text.find("vm = 'BAD'"), std::string::npos) << text;
  EXPECT_NE(text.find("either cluster_secret or"), std::string::npos) << text;
  EXPECT_EQ(text.find("hush"), std::string::npos) << text;
  EXPECT_EQ(text.find("lwk.a"), std::string::npos) << text;
}

// Guards against a daemon that tells others an address at which nobody can
// reach it.
TEST(SettingsIni, AdvertisesTheListenAddressUnlessToldOtherwise)
{
  const auto plain = ParseBootstrap("boot.ini", GoodBootstrap());
  ASSERT_TRUE(plain.m_bootstrap) << plain.ErrorText();
  const AdvertisedAddresses& listen = plain.m_bootstrap->m_advertised;
  EXPECT_EQ(listen.m_callers.ToString(), "127.0.0.1:8080");
  EXPECT_EQ(listen.m_peersOfOtherRegions.ToString(), "127.0.0.1:8081");
  const auto told = ParseBootstrap(
    "boot.ini", GoodBootstrap() + "[advertise]\npeers = 10.0.0.1:81\n");
  ASSERT_TRUE(told.m_bootstrap) << told.ErrorText();
  const AdvertisedAddresses& addresses = told.m_bootstrap->m_advertised;
  EXPECT_EQ(addresses.m_peers.ToString(), "10.0.0.1:81");
  EXPECT_EQ(addresses.m_peersOfOtherRegions.ToString(), "10.0.0.1:81");
}

TEST(SettingsIni, RefusesToAdvertiseAWildcardAddress)
{
  const auto told = ParseBootstrap(
    "boot.ini", GoodBootstrap() + "[advertise]\npeers = 0.0.0.0:81\n");
  EXPECT_NE(told.ErrorText().find("boot.ini:17: [advertise] peers = "
                                  "'0.0.0.0:81'"),
            std::string::npos)
    << told.ErrorText();
  std::string text = GoodBootstrap();
  text.replace(text.find("127.0.0.1:8080"), 14, "[0::0]:8080");
  const auto silent = ParseBootstrap("boot.ini", text);
  EXPECT_FALSE(silent.m_bootstrap);
  EXPECT_NE(silent.ErrorText().find("[advertise] callers"), std::string::npos)
    << silent.ErrorText();
}

TEST(SettingsIni, LongListsContinueAndSurviveRendering)
{
  CheckedText text(Scope::System);
  std::string teams = "team-0";
  for (int i = 1; i < 200; ++i) {
    teams += ",team-" + std::to_string(i);
  }
  text.Set("queue.all", "teams", teams);
  text.Set("queue.all", "access", "open");
  const auto result = ParseIni(Scope::System, "system", RenderIni(text));
  ASSERT_TRUE(result.Ok()) << result.ErrorText();
  EXPECT_EQ(result.m_text.GetList("queue.all", "teams").size(), 200U);
  const std::string overlong = "[queue.q]\nteams = " + teams + "\n";
  EXPECT_FALSE(ParseIni(Scope::System, "system", overlong).Ok());
}

TEST(SettingsTree, GivesTypedValuesAndKeepsThemWhenTheNewTextIsBad)
{
  SettingsTree tree;
  EXPECT_EQ(tree.Milliseconds("vm_list", "poll_ms"), seconds(1));
  Subtree row;
  row.m_version = 1;
  row.m_text = "[vm_list]\npoll_ms = 30000\n[queue.desk]\nteams = a, b\n"
               "[service.lot-ledger]\nslots = 2\n";
  tree.Set("system", row);
  const SettingsTree before = tree;
  row.m_version = 2;
  row.m_text = "[vm_list]\npoll_ms = never\n";
  tree.Set("system", row);
  EXPECT_EQ(tree.Milliseconds("vm_list", "poll_ms"), seconds(30));
  EXPECT_TRUE(tree.Find("system")->IsBad());
  EXPECT_NE(tree.Find("system")->m_fault.find("never"), std::string::npos);
  ASSERT_TRUE(tree.Queue("desk"));
  EXPECT_EQ(tree.Queue("desk")->m_teams.size(), 2U);
  EXPECT_EQ(tree.Service(ServiceId("lot-ledger"))->m_slots, 2);
  EXPECT_TRUE(Diff(before, tree).empty());
  row.m_version = 3;
  row.m_text = "[vm_list]\npoll_ms = 40000\n";
  tree.Set("system", row);
  const auto changes = Diff(before, tree);
  ASSERT_EQ(changes.size(), 3U);
  EXPECT_EQ(changes[2].m_before, "30000");
  EXPECT_EQ(changes[2].m_after, "40000");
}

} // namespace lacewing::settings
