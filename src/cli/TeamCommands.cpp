#include "cli/TeamCommands.h"

#include "cli/IniEdit.h"
#include "cli/SubtreeClient.h"
#include "settings/SettingsTree.h"
#include "settings/TeamKeys.h"

#include <cstdlib>

namespace lacewing::cli {

namespace {

constexpr const char* kTeamSection = "team";
constexpr const char* kKeyPrefix = "key.";

std::string
SubtreeOf(const std::string& aTeam)
{
  return std::string(settings::kTeamPrefix) + aTeam;
}

/// The checked values of a subtree's text. Errors: `Internal`, since the text
/// was checked before it was accepted.
Result<settings::CheckedText>
Check(settings::Scope aScope, const std::string& aText)
{
  const auto parsed = settings::ParseIni(aScope, "settings", aText);
  if (!parsed.Ok()) {
    return Fail(Verdict::Ran, ErrorCode::Internal, parsed.ErrorText());
  }
  return parsed.m_text;
}

Result<settings::CheckedText>
FetchTeam(CommandContext& aContext, const std::string& aTeam)
{
  BOOST_LEAF_AUTO(subtree, FetchSubtree(aContext.m_client, SubtreeOf(aTeam)));
  if (subtree.m_version == 0) {
    return Fail(
      Verdict::NotRun, ErrorCode::NotFound, "there is no team '" + aTeam + "'");
  }
  return Check(settings::Scope::Team, subtree.m_text);
}

bool
IsRemoved(const settings::CheckedText& aTeam)
{
  return aTeam.Get(kTeamSection, "removed") == "true";
}

nlohmann::json
TextOrNull(const settings::CheckedText& aTeam, const std::string& aKey)
{
  const std::string value = aTeam.Get(kTeamSection, aKey);
  return value.empty() ? nlohmann::json() : nlohmann::json(value);
}

nlohmann::json
Describe(const std::string& aTeam, const settings::CheckedText& aText)
{
  int keys = 0;
  for (const auto& [place, value] : aText.Values()) {
    keys += place.second.starts_with(kKeyPrefix) ? 1 : 0;
  }
  return { { "team", aTeam },
           { "weight", TextOrNull(aText, "weight") },
           { "limit_millicores", TextOrNull(aText, "limit.millicores") },
           { "limit_requests", TextOrNull(aText, "limit.requests") },
           { "keys", keys } };
}

/// The text with those of the options --weight, --cores and --requests that
/// were given.
std::string
WithOptions(const CommandContext& aContext, std::string aText)
{
  constexpr std::pair<const char*, const char*> kOptions[] = {
    { "--weight", "weight" },
    { "--millicores", "limit.millicores" },
    { "--requests", "limit.requests" },
  };
  for (const auto& [option, key] : kOptions) {
    if (aContext.Has(option)) {
      aText = SetIniValue(aText, kTeamSection, key, aContext.Get(option));
    }
  }
  return aText;
}

Result<void>
EditTeam(CommandContext& aContext,
         const std::function<Result<std::string>(const std::string&)>& aEdit)
{
  const std::string team = aContext.Get("TEAM");
  BOOST_LEAF_AUTO(version,
                  EditSubtree(aContext.m_client, SubtreeOf(team), aEdit));
  PrintObject(aContext.m_out,
              aContext.m_format,
              { { "team", team }, { "version", version } });
  return {};
}

void
PrintNewKey(CommandContext& aContext, const settings::NewKey& aKey)
{
  PrintObject(aContext.m_out,
              aContext.m_format,
              { { "key_id", aKey.m_keyId }, { "key", aKey.m_text } });
  aContext.m_progress << "keep the key now; it cannot be shown again\n";
}

} // namespace

Result<void>
ListTeams(CommandContext& aContext)
{
  Call call;
  call.m_path = "/v1/settings";
  BOOST_LEAF_AUTO(index, aContext.m_client.Json(call));
  nlohmann::json teams = nlohmann::json::array();
  const auto versions = index.value("subtrees", nlohmann::json::object());
  for (const auto& [name, version] : versions.items()) {
    if (name.starts_with(settings::kTeamPrefix)) {
      const std::string team = name.substr(settings::kTeamPrefix.size());
      BOOST_LEAF_AUTO(text, FetchTeam(aContext, team));
      if (!IsRemoved(text)) {
        teams.push_back(Describe(team, text));
      }
    }
  }
  PrintList(aContext.m_out,
            aContext.m_format,
            { { "teams", teams } },
            "teams",
            { "team", "weight", "limit_millicores", "limit_requests", "keys" });
  return {};
}

Result<void>
ShowTeam(CommandContext& aContext)
{
  const std::string team = aContext.Get("TEAM");
  BOOST_LEAF_AUTO(text, FetchTeam(aContext, team));
  PrintObject(aContext.m_out, aContext.m_format, Describe(team, text));
  return {};
}

Result<void>
CreateTeam(CommandContext& aContext)
{
  const std::string team = aContext.Get("TEAM");
  BOOST_LEAF_AUTO(subtree, FetchSubtree(aContext.m_client, SubtreeOf(team)));
  BOOST_LEAF_AUTO(present, Check(settings::Scope::Team, subtree.m_text));
  if (subtree.m_version != 0 && !IsRemoved(present)) {
    return Fail(Verdict::NotRun,
                ErrorCode::Conflict,
                "there is a team '" + team + "' already");
  }
  subtree.m_text =
    WithOptions(aContext, SetIniValue("", kTeamSection, "weight", "1"));
  BOOST_LEAF_AUTO(version, ReplaceSubtree(aContext.m_client, subtree));
  PrintObject(aContext.m_out,
              aContext.m_format,
              { { "team", team }, { "version", version } });
  return {};
}

Result<void>
RemoveTeam(CommandContext& aContext)
{
  const std::string team = aContext.Get("TEAM");
  // The keys go with the text; accepted work goes on.
  BOOST_LEAF_CHECK(EditSubtree(aContext.m_client,
                               SubtreeOf(team),
                               [](const std::string&) -> Result<std::string> {
                                 return SetIniValue(
                                   "", kTeamSection, "removed", "true");
                               }));
  PrintObject(aContext.m_out,
              aContext.m_format,
              { { "team", team }, { "removed", true } });
  return {};
}

Result<void>
ListKeys(CommandContext& aContext)
{
  BOOST_LEAF_AUTO(text, FetchTeam(aContext, aContext.Get("TEAM")));
  nlohmann::json keys = nlohmann::json::array();
  for (const auto& [place, value] : text.Values()) {
    if (place.second.starts_with(kKeyPrefix)) {
      const std::string id =
        place.second.substr(std::string(kKeyPrefix).size());
      keys.push_back(
        { { "key_id", id },
          { "state", text.Get(kTeamSection, "key_state." + id) } });
    }
  }
  PrintList(aContext.m_out,
            aContext.m_format,
            { { "keys", keys } },
            "keys",
            { "key_id", "state" });
  return {};
}

Result<void>
MakeKey(CommandContext& aContext)
{
  BOOST_LEAF_AUTO(key, settings::CreateKey(TeamId(aContext.Get("TEAM"))));
  BOOST_LEAF_CHECK(
    EditTeam(aContext, [&key](const std::string& aText) -> Result<std::string> {
      BOOST_LEAF_AUTO(team, Check(settings::Scope::Team, aText));
      return settings::WithKey(team, key);
    }));
  PrintNewKey(aContext, key);
  return {};
}

Result<void>
RotateKey(CommandContext& aContext)
{
  BOOST_LEAF_AUTO(key, settings::CreateKey(TeamId(aContext.Get("TEAM"))));
  const std::string old = aContext.Get("KEYID");
  BOOST_LEAF_CHECK(EditTeam(
    aContext, [&key, &old](const std::string& aText) -> Result<std::string> {
      BOOST_LEAF_AUTO(team, Check(settings::Scope::Team, aText));
      return settings::WithRotatedKey(team, old, key);
    }));
  PrintNewKey(aContext, key);
  return {};
}

Result<void>
WithdrawKey(CommandContext& aContext)
{
  const std::string id = aContext.Get("KEYID");
  return EditTeam(aContext,
                  [&id](const std::string& aText) -> Result<std::string> {
                    BOOST_LEAF_AUTO(team, Check(settings::Scope::Team, aText));
                    return settings::WithoutKey(team, id);
                  });
}

Result<void>
PrintKeyDigest(CommandContext& aContext)
{
  const char* key = std::getenv("LACEWING_KEY");
  if (key == nullptr || *key == '\0') {
    return Fail(Verdict::NotRun,
                ErrorCode::BadInput,
                "the environment variable LACEWING_KEY is not set");
  }
  BOOST_LEAF_AUTO(digest, settings::DigestOf(key));
  PrintObject(aContext.m_out, aContext.m_format, { { "digest", digest } });
  return {};
}

Result<void>
SetShare(CommandContext& aContext)
{
  const std::string weight = aContext.Get("WEIGHT");
  return EditTeam(aContext,
                  [&weight](const std::string& aText) -> Result<std::string> {
                    return SetIniValue(aText, kTeamSection, "weight", weight);
                  });
}

Result<void>
SetLimit(CommandContext& aContext)
{
  return EditTeam(aContext,
                  [&](const std::string& aText) -> Result<std::string> {
                    return WithOptions(aContext, aText);
                  });
}

Result<void>
ShowLimit(CommandContext& aContext)
{
  Call call;
  call.m_path = "/v1/limits/" + aContext.Get("TEAM");
  BOOST_LEAF_AUTO(answer, aContext.m_client.Json(call));
  PrintObject(aContext.m_out, aContext.m_format, answer);
  return {};
}

Result<void>
ListQueues(CommandContext& aContext)
{
  BOOST_LEAF_AUTO(
    subtree,
    FetchSubtree(aContext.m_client, std::string(settings::kSystemSubtree)));
  BOOST_LEAF_AUTO(text, Check(settings::Scope::System, subtree.m_text));
  nlohmann::json queues = nlohmann::json::array();
  constexpr std::string_view kPrefix = "queue.";
  for (const std::string& section : text.Sections()) {
    if (section.starts_with(kPrefix)) {
      queues.push_back({ { "queue", section.substr(kPrefix.size()) },
                         { "access", text.Get(section, "access") },
                         { "teams", text.Get(section, "teams") } });
    }
  }
  PrintList(aContext.m_out,
            aContext.m_format,
            { { "queues", queues } },
            "queues",
            { "queue", "access", "teams" });
  return {};
}

} // namespace lacewing::cli
