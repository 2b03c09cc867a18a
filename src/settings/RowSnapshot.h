/// Looks up the rows of the settings in a snapshot of the table.
#pragma once

#include "settings/SettingsRows.h"

#include <optional>

namespace lacewing::settings {

/// The value of a result, or nothing for an error.
template<typename T, typename Decode>
std::optional<T>
TryDecode(Decode aDecode)
{
  return leaf::try_handle_all(
    [&]() -> Result<std::optional<T>> {
      BOOST_LEAF_AUTO(value, aDecode());
      return std::optional<T>(std::move(value));
    },
    [] { return std::optional<T>(); });
}

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
