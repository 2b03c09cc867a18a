#include "edge/JobTableScan.h"

#include <algorithm>

namespace lacewing::edge {

JobTableScan::JobTableScan(net::Loop& aLoop,
                           platform::TableStore& aStore,
                           RowVersion aNotBefore,
                           OnRow aOnRow,
                           OnDone aOnDone)
  : m_onRow(std::move(aOnRow))
  , m_onDone(std::move(aOnDone))
{
  const auto onPage = [this](const platform::PageResult& aPage, bool) {
    OnPage(aPage);
  };
  for (int part = 0; part < pool::kJobParts; ++part) {
    m_parts.push_back(std::make_shared<TableScan>(
      aLoop, aStore, pool::JobPartPrefix(part), aNotBefore, onPage, [this] {
        OnPartRead();
      }));
  }
}

void
JobTableScan::Start()
{
  m_openParts = m_parts.size();
  for (const auto& part : m_parts) {
    part->Start();
  }
}

void
JobTableScan::OnPage(const platform::PageResult& aPage)
{
  // Parts are read at different versions. A watch that starts at the oldest of
  // them receives later changes of the others again.
  if (m_readFrom == 0 || aPage.m_version < m_readFrom) {
    m_readFrom = aPage.m_version;
  }
  for (const auto& [key, row] : aPage.m_read.m_rows) {
    m_onRow(key, row);
  }
}

void
JobTableScan::OnPartRead()
{
  if (--m_openParts == 0) {
    m_onDone(m_readFrom);
  }
}

} // namespace lacewing::edge
