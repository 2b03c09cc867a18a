/// Reads the rows below a prefix in pages. A pure state machine; the reads are
/// returned as values.
#pragma once

#include "table/TableTypes.h"

namespace lacewing::table {

/// Rows of one page; the largest that is read of prefixes whose rows grow with
/// the work.
inline constexpr std::size_t kPageRows = 500;

/// Each page is a snapshot of its own. A row is seen at most once; one that
/// exists from the first page to the last is seen. A row that is inserted or
/// deleted in between may be missed or seen, and a seen row may have changed
/// or gone since.
class PagedRead
{
public:
  explicit PagedRead(std::string aPrefix, std::size_t aRows = kPageRows);

  /// The read of the next page; the same again until `OnPage` took its result.
  Read Next() const;
  /// Takes the result of the next page. A failed one changes nothing.
  void OnPage(const ReadResult& aPage);
  /// Continues after the key, which need not exist.
  void ContinueAfter(std::string aKey);
  /// True once the last page has been taken.
  bool Done() const { return m_done; }

private:
  std::string m_prefix;
  std::string m_after;
  std::size_t m_rows;
  bool m_done = false;
};

} // namespace lacewing::table
