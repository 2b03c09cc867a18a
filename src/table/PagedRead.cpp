#include "table/PagedRead.h"

namespace lacewing::table {

PagedRead::PagedRead(std::string aPrefix, std::size_t aRows)
  : m_prefix(std::move(aPrefix))
  , m_rows(aRows)
{
}

Read
PagedRead::Next() const
{
  Read read;
  read.m_prefixes.push_back(m_prefix);
  read.m_page = Page{ m_after, m_rows };
  return read;
}

void
PagedRead::OnPage(const ReadResult& aPage)
{
  if (!aPage.m_ok) {
    return;
  }
  // An empty page cannot be continued, whatever it says about more.
  m_done = !aPage.m_more || aPage.m_rows.empty();
  if (!aPage.m_rows.empty()) {
    m_after = aPage.m_rows.rbegin()->first;
  }
}

void
PagedRead::ContinueAfter(std::string aKey)
{
  m_after = std::move(aKey);
  m_done = false;
}

} // namespace lacewing::table
