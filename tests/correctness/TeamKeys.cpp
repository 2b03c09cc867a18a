/// Guards against keys that outlive their withdrawal, that work for another
/// team, or that appear in a message.
#include "settings/TeamKeys.h"
#include "core/Redact.h"

#include <gtest/gtest.h>

namespace lacewing::settings {

namespace {

NewKey
Create(const std::string& aTeam)
{
  return leaf::try_handle_all([&] { return CreateKey(TeamId(aTeam)); },
                              [] { return NewKey(); });
}

CheckedText
Parse(const std::string& aText)
{
  const auto result = ParseIni(Scope::Team, "team.a", aText);
  EXPECT_TRUE(result.Ok()) << result.ErrorText();
  return result.m_text;
}

bool
Works(const CheckedText& aTeam, const NewKey& aKey)
{
  return leaf::try_handle_all(
    [&]() -> Result<bool> {
      BOOST_LEAF_AUTO(parts, ParseKey(aKey.m_text));
      return TeamKeys(aTeam).Matches(parts.m_keyId, parts.m_secret);
    },
    [] { return false; });
}

} // namespace

TEST(TeamKeys, CreateRotateAndWithdraw)
{
  const NewKey first = Create("a");
  const NewKey second = Create("a");
  const CheckedText one = Parse(WithKey(CheckedText(Scope::Team), first));
  EXPECT_TRUE(Works(one, first));
  EXPECT_FALSE(Works(one, second));
  const auto rotated = leaf::try_handle_all(
    [&] { return WithRotatedKey(one, first.m_keyId, second); },
    [] { return std::string("[none]"); });
  const CheckedText two = Parse(rotated);
  EXPECT_FALSE(Works(two, first));
  EXPECT_TRUE(Works(two, second));
  const auto unknown = leaf::try_handle_all(
    [&] { return WithoutKey(two, "nobody"); },
    [](const Error& aError) { return std::string(NameOf(aError.m_code)); },
    [] { return std::string(); });
  EXPECT_EQ(unknown, "not_found");
}

TEST(TeamKeys, MalformedDigestsNeverMatch)
{
  EXPECT_FALSE(SecretMatches("", "secret"));
  EXPECT_FALSE(SecretMatches("a:b", ""));
  const std::string zeros = std::string(32, '0') + ":" + std::string(64, '0');
  EXPECT_FALSE(SecretMatches(zeros, "secret"));
}

TEST(TeamKeys, RedactionLeavesNoSecret)
{
  const NewKey key = Create("a");
  const std::string secret = key.m_text.substr(key.m_text.rfind('.') + 1);
  for (const std::string& text : { key.m_text,
                                   "Bearer " + key.m_text + ", next",
                                   "x" + key.m_text,
                                   "LWK." + key.m_text.substr(4) }) {
    EXPECT_EQ(RedactKeys(text).find(secret), std::string::npos) << text;
  }
  EXPECT_EQ(RedactKeys("k=lwk.a.b.c; rest"), "k=lwk.(hidden); rest");
}

} // namespace lacewing::settings
