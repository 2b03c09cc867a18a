#include "settings/RowSnapshot.h"

namespace lacewing::settings {

const table::Row*
FindRow(const table::Rows& aRows, std::string_view aKey)
{
  const auto found = aRows.find(std::string(aKey));
  return found == aRows.end() ? nullptr : &found->second;
}

RowVersion
RowVersionIn(const table::Rows& aRows, std::string_view aKey)
{
  const table::Row* row = FindRow(aRows, aKey);
  return row == nullptr ? 0 : row->m_version;
}

std::optional<IndexRow>
IndexIn(const table::Rows& aRows)
{
  const table::Row* row = FindRow(aRows, kIndexKey);
  if (row == nullptr) {
    return IndexRow();
  }
  return TryDecode<IndexRow>([&] { return DecodeIndex(row->m_value); });
}

SettingsVersion
VersionIn(const IndexRow& aIndex, const std::string& aSubtree)
{
  const auto found = aIndex.m_subtrees.find(aSubtree);
  return found == aIndex.m_subtrees.end() ? 0 : found->second;
}

} // namespace lacewing::settings
