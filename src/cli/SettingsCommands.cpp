#include "cli/SettingsCommands.h"

#include "cli/IniEdit.h"
#include "cli/SubtreeClient.h"
#include "settings/Bootstrap.h"
#include "settings/SettingsTree.h"

#include <chrono>
#include <thread>

namespace lacewing::cli {

namespace {

constexpr std::chrono::milliseconds kWaitPeriod{ 200 };
/// Settings are in force everywhere within 13 s; twice that is a fault.
constexpr int kMaxWaitPolls = 130;

Result<settings::CheckedText>
CheckText(const std::string& aSubtree,
          const std::string& aFile,
          const std::string& aText)
{
  BOOST_LEAF_AUTO(scope, settings::ScopeOf(aSubtree));
  const auto parsed = settings::ParseIni(scope, aFile, aText);
  if (!parsed.Ok()) {
    return Fail(Verdict::NotRun, ErrorCode::BadInput, parsed.ErrorText());
  }
  return parsed.m_text;
}

/// True once every active member has at least the fleet version.
Result<bool>
IsInForce(CommandContext& aContext, std::uint64_t aFleetVersion)
{
  Call call;
  call.m_path = "/v1/members";
  BOOST_LEAF_AUTO(body, aContext.m_client.Json(call));
  for (const auto& member : body.value("members", nlohmann::json::array())) {
    if (member.value("state", "") == "active" &&
        member.value("settings_version", std::uint64_t{ 0 }) < aFleetVersion) {
      return false;
    }
  }
  return true;
}

Result<void>
WaitUntilInForce(CommandContext& aContext)
{
  Call call;
  call.m_path = "/v1/settings";
  BOOST_LEAF_AUTO(index, aContext.m_client.Json(call));
  const auto version = index.value("version", std::uint64_t{ 0 });
  for (int poll = 0; poll < kMaxWaitPolls; ++poll) {
    BOOST_LEAF_AUTO(inForce, IsInForce(aContext, version));
    if (inForce) {
      return {};
    }
    aContext.m_progress << "waiting for version " << version
                        << " on all members\n";
    std::this_thread::sleep_for(kWaitPeriod);
  }
  return Fail(Verdict::Ran,
              ErrorCode::DeadlineExceeded,
              "accepted, but not yet in force on all members");
}

} // namespace

Result<void>
ListSettings(CommandContext& aContext)
{
  Call call;
  call.m_path = "/v1/settings";
  BOOST_LEAF_AUTO(index, aContext.m_client.Json(call));
  nlohmann::json subtrees = nlohmann::json::array();
  const auto versions = index.value("subtrees", nlohmann::json::object());
  for (const auto& [name, version] : versions.items()) {
    subtrees.push_back({ { "subtree", name }, { "version", version } });
  }
  PrintList(
    aContext.m_out,
    aContext.m_format,
    { { "version", index.value("version", 0) }, { "subtrees", subtrees } },
    "subtrees",
    { "subtree", "version" });
  return {};
}

Result<void>
GetSettings(CommandContext& aContext)
{
  BOOST_LEAF_AUTO(subtree,
                  FetchSubtree(aContext.m_client, aContext.Get("SUBTREE")));
  if (aContext.m_format == OutputFormat::Json) {
    PrintObject(aContext.m_out,
                aContext.m_format,
                { { "subtree", subtree.m_name },
                  { "version", subtree.m_version },
                  { "text", subtree.m_text } });
    return {};
  }
  aContext.m_out << subtree.m_text;
  aContext.m_progress << "version " << subtree.m_version << "\n";
  return {};
}

Result<void>
SetSetting(CommandContext& aContext)
{
  const std::string subtree = aContext.Get("SUBTREE");
  BOOST_LEAF_AUTO(
    version,
    EditSubtree(aContext.m_client,
                subtree,
                [&](const std::string& aText) -> Result<std::string> {
                  return SetIniValue(aText,
                                     aContext.Get("SECTION"),
                                     aContext.Get("KEY"),
                                     aContext.Get("VALUE"));
                }));
  PrintObject(aContext.m_out,
              aContext.m_format,
              { { "subtree", subtree }, { "version", version } });
  return {};
}

Result<void>
DiffSettings(CommandContext& aContext)
{
  const std::string name = aContext.Get("SUBTREE");
  const std::string file = aContext.Get("FILE");
  BOOST_LEAF_AUTO(subtree, FetchSubtree(aContext.m_client, name));
  BOOST_LEAF_AUTO(text, ReadInput(file));
  BOOST_LEAF_AUTO(before, CheckText(name, "settings", subtree.m_text));
  BOOST_LEAF_AUTO(after, CheckText(name, file, text));
  nlohmann::json changes = nlohmann::json::array();
  for (const auto& change : settings::DiffText(name, before, after)) {
    changes.push_back({ { "section", change.m_section },
                        { "key", change.m_key },
                        { "before", change.m_before },
                        { "after", change.m_after } });
  }
  PrintList(aContext.m_out,
            aContext.m_format,
            { { "changes", changes } },
            "changes",
            { "section", "key", "before", "after" });
  return {};
}

Result<void>
SettingsHistory(CommandContext& aContext)
{
  Call call;
  call.m_path = "/v1/settings/" + aContext.Get("SUBTREE") + "/history";
  BOOST_LEAF_AUTO(body, aContext.m_client.Json(call));
  PrintList(
    aContext.m_out, aContext.m_format, body, "versions", { "version", "text" });
  return {};
}

Result<void>
CheckSettings(CommandContext& aContext)
{
  const std::string file = aContext.Get("FILE");
  BOOST_LEAF_AUTO(text, ReadInput(file));
  if (aContext.Has("--bootstrap")) {
    const auto parsed = settings::ParseBootstrap(file, text);
    if (!parsed.m_bootstrap) {
      return Fail(Verdict::NotRun, ErrorCode::BadInput, parsed.ErrorText());
    }
  } else {
    BOOST_LEAF_CHECK(CheckText(aContext.Get("SUBTREE"), file, text));
  }
  PrintObject(
    aContext.m_out, aContext.m_format, { { "file", file }, { "valid", true } });
  return {};
}

Result<void>
ApplySettings(CommandContext& aContext)
{
  const std::string file = aContext.Get("FILE");
  BOOST_LEAF_AUTO(subtree,
                  FetchSubtree(aContext.m_client, aContext.Get("SUBTREE")));
  BOOST_LEAF_ASSIGN(subtree.m_text, ReadInput(file));
  BOOST_LEAF_CHECK(CheckText(subtree.m_name, file, subtree.m_text));
  if (aContext.Has("--base")) {
    subtree.m_version = std::stoull(aContext.Get("--base"));
  }
  BOOST_LEAF_AUTO(version, ReplaceSubtree(aContext.m_client, subtree));
  if (aContext.Has("--wait")) {
    BOOST_LEAF_CHECK(WaitUntilInForce(aContext));
  }
  PrintObject(aContext.m_out,
              aContext.m_format,
              { { "subtree", subtree.m_name }, { "version", version } });
  return {};
}

} // namespace lacewing::cli
