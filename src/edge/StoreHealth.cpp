#include "edge/StoreHealth.h"

namespace lacewing::edge {

namespace {

/// Single responses get lost while the store works, and single parts of a table
/// fail; four failures in a row are rare even if a third of the calls fail.
constexpr int kFailuresForDown = 4;
/// A table suspected down is tried again after this time.
constexpr Duration kRetryAfter = milliseconds(400);

} // namespace

void
StoreHealth::OnAnswer(Time, const std::string& aTable)
{
  m_tables.erase(aTable);
}

void
StoreHealth::OnFailure(Time aNow, const std::string& aTable)
{
  const auto [it, fresh] = m_tables.try_emplace(aTable);
  Table& table = it->second;
  if (fresh) {
    table.m_firstFailure = aNow;
  }
  ++table.m_failuresInRow;
  table.m_lastFailure = aNow;
}

bool
StoreHealth::IsSuspectedDown(Time aNow, const std::string& aTable) const
{
  const auto it = m_tables.find(aTable);
  return it != m_tables.end() &&
         it->second.m_failuresInRow >= kFailuresForDown &&
         aNow < it->second.m_lastFailure + kRetryAfter;
}

std::optional<Time>
StoreHealth::DownSince(const std::string& aTable) const
{
  const auto it = m_tables.find(aTable);
  if (it == m_tables.end() || it->second.m_failuresInRow < kFailuresForDown) {
    return std::nullopt;
  }
  return it->second.m_firstFailure;
}

} // namespace lacewing::edge
