/// The table's semantics in memory. The stand-in service and the tests run on
/// it.
#pragma once

#include "table/TableTypes.h"

namespace lacewing::table {

class MemoryTable
{
public:
  /// Applies the transaction if all its checks hold.
  CommitResult Apply(const Commit& aCommit);
  ReadResult Get(const Read& aRead) const;

  const Rows& AllRows() const { return m_rows; }
  std::uint64_t Commits() const { return m_commits; }

private:
  Rows m_rows;
  RowVersion m_lastVersion = 0;
  std::uint64_t m_commits = 0;
};

} // namespace lacewing::table
