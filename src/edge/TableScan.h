/// Reads all rows below a prefix of the store, page by page.
#pragma once

#include "net/Loop.h"
#include "platform/TableStore.h"

#include <functional>
#include <memory>
#include <string>

namespace lacewing::edge {

/// True if the page was read, and at that version of the store or a later one.
bool
IsReadAt(const platform::PageResult& aPage, RowVersion aVersion);

/// Retries each failed or outdated read until all rows are read. No callback
/// runs once the object is gone.
class TableScan : public std::enable_shared_from_this<TableScan>
{
public:
  using OnPage = std::function<void(const platform::PageResult&, bool aFirst)>;

  /// The prefix has the form "table/part/". Pages read at a version before
  /// `aNotBefore` are read again.
  TableScan(net::Loop& aLoop,
            platform::TableStore& aStore,
            std::string aPrefix,
            RowVersion aNotBefore,
            OnPage aOnPage,
            std::function<void()> aOnDone);

  void Start() { ReadPage({}); }

private:
  void ReadPage(const std::string& aAfter);
  void OnRead(const std::string& aAfter, const platform::PageResult& aPage);

  net::Loop& m_loop;
  platform::TableStore& m_store;
  std::string m_prefix;
  RowVersion m_notBefore;
  OnPage m_onPage;
  std::function<void()> m_onDone;
};

} // namespace lacewing::edge
