#include "settings/SettingsRows.h"

#include <nlohmann/json.hpp>

namespace lacewing::settings {

namespace {

using Json = nlohmann::json;

/// Bounds the work on a row that something else has written.
constexpr std::size_t kMaxSubtrees = 10'000;

leaf::error_id
Malformed(const char* aWhat)
{
  return Fail(Verdict::NotRun,
              ErrorCode::BadInput,
              std::string("settings row is malformed: ") + aWhat);
}

/// Parses without exceptions and without quoting the input, which may hold
/// digests of keys.
Result<Json>
ParseObject(const std::string& aValue)
{
  Json json = Json::parse(aValue, nullptr, false);
  if (json.is_discarded() || !json.is_object()) {
    return Malformed("not a JSON object");
  }
  return json;
}

const Json*
Member(const Json& aJson, const char* aName)
{
  const auto found = aJson.find(aName);
  return found == aJson.end() ? nullptr : &*found;
}

} // namespace

std::string
SubtreeKey(const std::string& aSubtree)
{
  return "settings/" + aSubtree;
}

std::string
HistoryKey(const std::string& aSubtree, SettingsVersion aVersion)
{
  constexpr std::size_t kDigits = 12;
  std::string digits = std::to_string(aVersion);
  digits.insert(0, kDigits - std::min(kDigits, digits.size()), '0');
  return "settings-history/" + aSubtree + "/" + digits;
}

std::string
EncodeSubtree(const SubtreeRow& aRow)
{
  const Json json = { { "version", aRow.m_version },
                      { "text", aRow.m_text },
                      { "nonce", aRow.m_nonce } };
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string
EncodeIndex(const IndexRow& aRow)
{
  const Json json = { { "fleet", aRow.m_fleet },
                      { "subtrees", aRow.m_subtrees } };
  return json.dump();
}

Result<SubtreeRow>
DecodeSubtree(const std::string& aValue)
{
  BOOST_LEAF_AUTO(json, ParseObject(aValue));
  const Json* version = Member(json, "version");
  const Json* text = Member(json, "text");
  const Json* nonce = Member(json, "nonce");
  if (version == nullptr || !version->is_number_unsigned()) {
    return Malformed("'version' is not a number from 0");
  }
  if (text == nullptr || !text->is_string() || nonce == nullptr ||
      !nonce->is_string()) {
    return Malformed("'text' or 'nonce' is not a text");
  }
  return SubtreeRow{ version->get<SettingsVersion>(),
                     text->get<std::string>(),
                     nonce->get<std::string>() };
}

Result<IndexRow>
DecodeIndex(const std::string& aValue)
{
  BOOST_LEAF_AUTO(json, ParseObject(aValue));
  const Json* fleet = Member(json, "fleet");
  const Json* subtrees = Member(json, "subtrees");
  if (fleet == nullptr || !fleet->is_number_unsigned()) {
    return Malformed("'fleet' is not a number from 0");
  }
  if (subtrees == nullptr || !subtrees->is_object() ||
      subtrees->size() > kMaxSubtrees) {
    return Malformed("'subtrees' is not an object of at most 10000 members");
  }
  IndexRow row;
  row.m_fleet = fleet->get<FleetVersion>();
  for (const auto& [name, version] : subtrees->items()) {
    BOOST_LEAF_CHECK(ScopeOf(name));
    if (!version.is_number_unsigned()) {
      return Malformed("a version is not a number from 0");
    }
    row.m_subtrees[name] = version.get<SettingsVersion>();
  }
  return row;
}

} // namespace lacewing::settings
