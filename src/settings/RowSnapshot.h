/// Looks up the rows of the settings in a snapshot of the table.
#pragma once

#include "core/TryDecode.h"
#include "settings/SettingsRows.h"

#include <optional>

namespace lacewing::settings {

/// The row of the key, or null.
const table::Row*
FindRow(const table::Rows& aRows, std::string_view aKey);

/// The version of the key's row; 0 without one.
RowVersion
RowVersionIn(const table::Rows& aRows, std::string_view aKey);

/// The index in a snapshot. An absent row stands for no settings; nothing is
/// returned for a malformed row.
std::optional<IndexRow>
IndexIn(const table::Rows& aRows);

/// The version of a subtree in the index; 0 without one.
SettingsVersion
VersionIn(const IndexRow& aIndex, const std::string& aSubtree);

} // namespace lacewing::settings
