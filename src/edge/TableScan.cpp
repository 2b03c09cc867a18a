#include "edge/TableScan.h"

namespace lacewing::edge {

namespace {

constexpr Duration kReadTimeout = milliseconds(1000);
constexpr Duration kRetryDelay = milliseconds(100);

} // namespace

bool
IsReadAt(const platform::PageResult& aPage, RowVersion aVersion)
{
  return aPage.m_read.m_ok && aPage.m_version >= aVersion;
}

TableScan::TableScan(net::Loop& aLoop,
                     platform::TableStore& aStore,
                     std::string aPrefix,
                     RowVersion aNotBefore,
                     OnPage aOnPage,
                     std::function<void()> aOnDone)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_prefix(std::move(aPrefix))
  , m_notBefore(aNotBefore)
  , m_onPage(std::move(aOnPage))
  , m_onDone(std::move(aOnDone))
{
}

void
TableScan::ReadPage(const std::string& aAfter)
{
  m_store.ReadPage(
    m_prefix,
    aAfter,
    kReadTimeout,
    [weak = weak_from_this(), aAfter](const platform::PageResult& aPage) {
      if (const auto self = weak.lock()) {
        self->OnRead(aAfter, aPage);
      }
    });
}

void
TableScan::OnRead(const std::string& aAfter, const platform::PageResult& aPage)
{
  if (!IsReadAt(aPage, m_notBefore)) {
    m_loop.After(kRetryDelay, [weak = weak_from_this(), aAfter] {
      if (const auto self = weak.lock()) {
        self->ReadPage(aAfter);
      }
    });
    return;
  }
  m_onPage(aPage, aAfter.empty());
  if (aPage.m_read.m_more && !aPage.m_read.m_rows.empty()) {
    ReadPage(aPage.m_read.m_rows.rbegin()->first);
  } else {
    m_onDone();
  }
}

} // namespace lacewing::edge
