/// Guards against a takeover that counts as a planned handover: the next owner
/// would believe the out-of-date counts of busy endpoints in the slice's row.
#include "fakes/OwnershipCell.h"
#include "ownership/SliceRow.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

/// The rows of all slices by key.
std::map<std::string, ownership::SliceRow>
SliceRows(OwnershipCell& aCell)
{
  std::map<std::string, ownership::SliceRow> rows;
  for (const auto& [key, row] : aCell.Table().Table().AllRows()) {
    if (key.starts_with(ownership::kSlicePrefix)) {
      rows[key] = ownership::DecodeSlice(row.m_value).value();
    }
  }
  return rows;
}

/// Slices that changed their owner from the given VM, and of these the planned
/// ones.
std::pair<int, int>
CountChanged(const std::map<std::string, ownership::SliceRow>& aBefore,
             const std::map<std::string, ownership::SliceRow>& aAfter,
             const VmId& aFrom)
{
  int changed = 0;
  int planned = 0;
  for (const auto& [key, row] : aAfter) {
    const auto before = aBefore.find(key);
    if (before != aBefore.end() && before->second.m_owner == aFrom &&
        row.m_owner != aFrom) {
      ++changed;
      planned += row.m_planned ? 1 : 0;
    }
  }
  return { changed, planned };
}

} // namespace

TEST(OwnershipPlannedHandover, TellsAReleaseFromATakeover)
{
  for (const bool kill : { false, true }) {
    OwnershipCell cell({});
    cell.RunFor(seconds(8));
    const auto before = SliceRows(cell);
    const VmId leaver = before.begin()->second.m_owner;
    if (kill) {
      cell.Kill(leaver);
    } else {
      cell.Stop(leaver);
    }
    cell.RunFor(seconds(8));
    const auto [changed, planned] =
      CountChanged(before, SliceRows(cell), leaver);
    EXPECT_GT(changed, 0);
    EXPECT_EQ(planned, kill ? 0 : changed);
  }
}

} // namespace lacewing::fakes
