/// Rows of the settings in the table service.
#pragma once

#include "core/Verdict.h"
#include "settings/SettingsTree.h"
#include "table/TableTypes.h"

#include <map>
#include <string>

namespace lacewing::settings {

inline constexpr std::string_view kIndexKey = "settings/index";
/// Versions of a subtree that are kept beside the newest.
inline constexpr SettingsVersion kKeptVersions = 20;

/// Row `settings/<subtree>`, and one row for each kept version.
struct SubtreeRow
{
  SettingsVersion m_version = 0;
  std::string m_text;
  std::string m_nonce; ///< names the writer's attempt

  bool operator==(const SubtreeRow&) const = default;
};

/// Row `settings/index`.
struct IndexRow
{
  FleetVersion m_fleet = 0;
  std::map<std::string, SettingsVersion> m_subtrees; ///< by name of the subtree

  bool operator==(const IndexRow&) const = default;
};

std::string
SubtreeKey(const std::string& aSubtree);
std::string
HistoryKey(const std::string& aSubtree, SettingsVersion aVersion);

std::string
EncodeSubtree(const SubtreeRow& aRow);
std::string
EncodeIndex(const IndexRow& aRow);

/// Errors of both: `BadInput` saying what is wrong, without the text.
Result<SubtreeRow>
DecodeSubtree(const std::string& aValue);
Result<IndexRow>
DecodeIndex(const std::string& aValue);

} // namespace lacewing::settings
