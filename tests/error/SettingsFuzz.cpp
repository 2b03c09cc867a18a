/// Guards against inputs that crash a decoder or change the state of a store.
/// Random bytes and mutated valid inputs with fixed seeds.
#include "observe/Timeline.h"
#include "settings/Authenticator.h"
#include "settings/SettingsStore.h"

#include <gtest/gtest.h>

#include <random>

namespace lacewing::settings {

namespace {

constexpr int kRounds = 20'000;

class Fuzzer
{
public:
  explicit Fuzzer(std::uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  int Pick(int aBound)
  {
    return std::uniform_int_distribution<int>(0, aBound - 1)(m_random);
  }

  std::string Bytes()
  {
    std::string text(static_cast<std::size_t>(Pick(200)), '\0');
    for (char& each : text) {
      each = static_cast<char>(Pick(256));
    }
    return text;
  }

  /// Up to four bytes changed, removed, repeated or inserted.
  std::string Mutate(std::string aText)
  {
    for (int i = Pick(4); i >= 0 && !aText.empty(); --i) {
      const auto at =
        static_cast<std::size_t>(Pick(static_cast<int>(aText.size())));
      switch (Pick(4)) {
        case 0:
          aText[at] = static_cast<char>(Pick(256));
          break;
        case 1:
          aText.erase(at, 1 + static_cast<std::size_t>(Pick(20)));
          break;
        case 2:
          aText.insert(at, aText.substr(at, 30));
          break;
        default:
          constexpr std::string_view kSpecial = "[]=:;#\n\r\t\0\"{},.-0";
          aText.insert(at,
                       1,
                       kSpecial[static_cast<std::size_t>(
                         Pick(static_cast<int>(kSpecial.size())))]);
          break;
      }
    }
    return aText;
  }

private:
  std::mt19937_64 m_random;
};

const std::string kTeamText =
  "[team]\nweight = 2.5\nlimit.requests = 10\nkey.k1 = " +
  std::string(32, 'a') + ":" + std::string(64, 'b') +
  "\nkey_state.k1 = withdrawn\n";

} // namespace

TEST(SettingsFuzz, IniIsAcceptedWithValidValuesOrHasErrors)
{
  Fuzzer fuzz(1);
  const std::string system =
    "[limits]\nstop_any_ms = 3000\n[queue.q]\nteams = a,\n b\naccess = open\n"
    "[service.s]\nslots = 2 ; comment\n";
  for (int i = 0; i < kRounds; ++i) {
    const bool isTeam = fuzz.Pick(2) == 0;
    const std::string text =
      i % 4 == 0 ? fuzz.Bytes() : fuzz.Mutate(isTeam ? kTeamText : system);
    const Scope scope = isTeam ? Scope::Team : Scope::System;
    const IniResult result = ParseIni(scope, "f", text);
    for (const auto& [place, value] : result.m_text.Values()) {
      const SettingDef* setting = FindSetting(scope, place.first, place.second);
      ASSERT_NE(setting, nullptr);
      ASSERT_EQ(CheckValue(*setting, value), "");
    }
    if (result.Ok()) {
      const IniResult again = ParseIni(scope, "f", RenderIni(result.m_text));
      ASSERT_TRUE(again.Ok()) << again.ErrorText();
      ASSERT_EQ(again.m_text.Values(), result.m_text.Values());
    }
  }
}

TEST(SettingsFuzz, RowsDecodeToAValueOrATypedError)
{
  Fuzzer fuzz(2);
  const std::string row = EncodeSubtree({ 7, kTeamText, "nonce" });
  const std::string index = EncodeIndex({ 9, { { "team.a", 7 } } });
  int decoded = 0;
  for (int i = 0; i < kRounds; ++i) {
    const std::string value =
      i % 4 == 0 ? fuzz.Bytes() : fuzz.Mutate(i % 2 == 0 ? row : index);
    const auto bad = [](const Error& aError) {
      EXPECT_EQ(aError.m_code, ErrorCode::BadInput);
      return 0;
    };
    const auto untyped = [] {
      ADD_FAILURE() << "an error without a type";
      return 0;
    };
    decoded += leaf::try_handle_all(
      [&]() -> Result<int> {
        BOOST_LEAF_CHECK(DecodeSubtree(value));
        return 1;
      },
      bad,
      untyped);
    decoded += leaf::try_handle_all(
      [&]() -> Result<int> {
        BOOST_LEAF_CHECK(DecodeIndex(value));
        return 1;
      },
      bad,
      untyped);
  }
  EXPECT_GT(decoded, 0);
}

TEST(SettingsFuzz, KeysAndTimelinesDecodeToAValueOrAnError)
{
  Fuzzer fuzz(3);
  observe::Timeline timeline("vm", 10'000);
  timeline.Add(1, observe::Event());
  const std::string ring = timeline.ToJson({});
  for (int i = 0; i < kRounds / 4; ++i) {
    const std::string key =
      i % 2 == 0 ? fuzz.Bytes() : fuzz.Mutate("lwk.a.k1.secret");
    leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(parts, ParseKey(key));
        EXPECT_TRUE(IsName(parts.m_team.Value()));
        return {};
      },
      [](const Error& aError) {
        EXPECT_EQ(aError.m_code, ErrorCode::Unauthenticated);
      },
      [] { ADD_FAILURE() << "an error without a type"; });
    const std::string body = i % 2 == 0 ? fuzz.Bytes() : fuzz.Mutate(ring);
    leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_CHECK(observe::ParseRing(body));
        return {};
      },
      [](const Error& aError) {
        EXPECT_EQ(aError.m_code, ErrorCode::BadInput);
      },
      [] { ADD_FAILURE() << "an error without a type"; });
  }
}

TEST(SettingsFuzz, MalformedRowsOfPeersAndTableLeaveTheValuesInForce)
{
  Fuzzer fuzz(4);
  const Time now = Time() + seconds(9);
  SettingsStore store{ StoreOptions() };
  store.Start(now, {});
  RowsAnswer good;
  good.m_rows["settings/index"] = { EncodeIndex({ 9, { { "team.a", 7 } } }),
                                    50 };
  good.m_rows["settings/team.a"] = { EncodeSubtree({ 7, kTeamText, "n" }), 50 };
  store.OnMessage(now, VmId("peer"), good);
  ASSERT_EQ(store.Fleet(), 9U);
  for (int i = 0; i < kRounds / 4; ++i) {
    RowsAnswer bad = good;
    std::string& row = bad.m_rows["settings/team.a"].m_value;
    std::string& index = bad.m_rows["settings/index"].m_value;
    // The version of the row goes up, so only the contents protect.
    bad.m_rows["settings/index"].m_version = 51;
    (i % 2 == 0 ? row : index) = fuzz.Bytes();
    store.OnMessage(now, VmId("peer"), bad);
    const auto* team = store.Tree().Find("team.a");
    ASSERT_EQ(team->m_inForce, 7U);
    ASSERT_EQ(store.Tree().Team(TeamId("a"))->m_weight, 2.5);
  }
}

} // namespace lacewing::settings
