/// Guards against rows that are lost or read twice at the border of two pages.
#include "table/PagedRead.h"
#include "table/MemoryTable.h"

#include <gtest/gtest.h>

namespace lacewing::table {

TEST(PagedRead, SeesEachLastingRowOnceWhileTheTableChanges)
{
  MemoryTable table;
  Commit commit;
  for (const std::string key : { "a/1", "b/1", "b/2", "b/3", "b/4", "c/1" }) {
    commit.m_puts.push_back({ key, "v" });
  }
  table.Apply(commit);
  PagedRead pages("b/", 2);
  std::vector<std::string> seen;
  while (!pages.Done()) {
    const ReadResult page = table.Get(pages.Next());
    EXPECT_LE(page.m_rows.size(), 2U);
    for (const auto& [key, row] : page.m_rows) {
      seen.push_back(key);
    }
    pages.OnPage(ReadResult());
    pages.OnPage(page);
    Commit change;
    change.m_puts.push_back({ "b/0", "v" });
    change.m_deletes.push_back("b/2");
    table.Apply(change);
  }
  EXPECT_EQ(seen, (std::vector<std::string>{ "b/1", "b/2", "b/3", "b/4" }));
}

} // namespace lacewing::table
