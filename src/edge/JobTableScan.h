/// Reads the rows of all jobs and cancellations, which lie in many parts of
/// the store.
#pragma once

#include "edge/TableScan.h"
#include "pool/JobRows.h"

#include <vector>

namespace lacewing::edge {

class JobTableScan
{
public:
  using OnRow = std::function<void(const std::string& aKey, const table::Row&)>;
  /// Changes after this version may be missing from the rows.
  using OnDone = std::function<void(RowVersion aReadFrom)>;

  /// Rows are read at `aNotBefore` or a later version of the store.
  JobTableScan(net::Loop& aLoop,
               platform::TableStore& aStore,
               RowVersion aNotBefore,
               OnRow aOnRow,
               OnDone aOnDone);

  void Start();

private:
  void OnPage(const platform::PageResult& aPage);
  void OnPartRead();

  OnRow m_onRow;
  OnDone m_onDone;
  std::vector<std::shared_ptr<TableScan>> m_parts;
  std::size_t m_openParts = 0;
  RowVersion m_readFrom = 0;
};

} // namespace lacewing::edge
