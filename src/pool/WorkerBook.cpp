#include "pool/WorkerBook.h"

#include <algorithm>

namespace lacewing::pool {

bool
WorkerInfo::HasLabel(const std::string& aLabel) const
{
  return std::ranges::find(m_labels, aLabel) != m_labels.end();
}

std::uint64_t
WorkerRecord::SavedEnds() const
{
  return m_unsavedEnds.empty() ? m_highestEnd : *m_unsavedEnds.begin() - 1;
}

Time
WorkerRecord::LeaseEnd() const
{
  const Duration left =
    milliseconds(std::max<std::int64_t>(0, m_deadlineMs - m_clockMs));
  return m_lastAnswer + Scale(left, 1 / (1 - kWorkerClockError));
}

bool
WorkerRecord::HasUnknownRuns() const
{
  return std::ranges::any_of(
    m_placements, [](const auto& aItem) { return aItem.second.m_unknown; });
}

bool
WorkerRecord::CanTake(Time aNow) const
{
  return m_listed && m_adopted && m_recorded && !m_info.m_draining &&
         aNow < m_lastAnswer + kSilentAfter && aNow >= m_avoidUntil &&
         !HasUnknownRuns();
}

} // namespace lacewing::pool
