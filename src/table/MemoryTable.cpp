#include "table/MemoryTable.h"

namespace lacewing::table {

CommitResult
MemoryTable::Apply(const Commit& aCommit)
{
  CommitResult result;
  for (const Check& check : aCommit.m_checks) {
    const auto found = m_rows.find(check.m_key);
    const RowVersion version =
      found == m_rows.end() ? 0 : found->second.m_version;
    if (version != check.m_version) {
      result.m_conflicts.push_back(check.m_key);
    }
  }
  if (!result.m_conflicts.empty()) {
    result.m_state = CommitState::Conflict;
    return result;
  }
  ++m_commits;
  ++m_lastVersion;
  for (const Put& put : aCommit.m_puts) {
    m_rows[put.m_key] = Row{ put.m_value, m_lastVersion };
  }
  for (const std::string& key : aCommit.m_deletes) {
    m_rows.erase(key);
  }
  result.m_state = CommitState::Committed;
  result.m_version = m_lastVersion;
  return result;
}

ReadResult
MemoryTable::Get(const Read& aRead) const
{
  ReadResult result;
  result.m_ok = true;
  for (const std::string& key : aRead.m_keys) {
    const auto found = m_rows.find(key);
    if (found != m_rows.end()) {
      result.m_rows.insert(*found);
    }
  }
  for (const std::string& prefix : aRead.m_prefixes) {
    auto row = m_rows.lower_bound(prefix);
    if (aRead.m_page && aRead.m_page->m_after >= prefix) {
      row = m_rows.upper_bound(aRead.m_page->m_after);
    }
    for (; row != m_rows.end() && row->first.starts_with(prefix); ++row) {
      if (aRead.m_page && result.m_rows.size() >= aRead.m_page->m_limit) {
        result.m_more = true;
        break;
      }
      result.m_rows.insert(result.m_rows.end(), *row);
    }
  }
  return result;
}

} // namespace lacewing::table
