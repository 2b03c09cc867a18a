#include "edge/JobViewCache.h"

#include <algorithm>

namespace lacewing::edge {

namespace {

/// Timers of an idle event loop are late by less than this.
constexpr Duration kUsualLag = milliseconds(20);
/// A state may be as old as an answer that passes through the leader's event
/// loop a few times.
constexpr int kLagsForView = 4;
constexpr Duration kMaxValidity = milliseconds(500);
/// Entries beyond this number are removed once they are too old to be shown.
constexpr std::size_t kMaxEntries = 2000;

} // namespace

Duration
ViewValidity(Duration aLeaderLag)
{
  return aLeaderLag < kUsualLag
           ? Duration::zero()
           : std::min(aLeaderLag * kLagsForView, kMaxValidity);
}

void
JobViewCache::Put(Time aNow, const JobId& aJob, const JobView& aView)
{
  if (m_views.size() >= kMaxEntries) {
    std::erase_if(m_views, [&](const auto& aItem) {
      return aNow > aItem.second.m_at + kMaxValidity;
    });
  }
  m_views.insert_or_assign(aJob, Entry{ aView, aNow });
}

std::optional<JobView>
JobViewCache::Find(Time aNow, const JobId& aJob, Duration aValidity) const
{
  const auto it = m_views.find(aJob);
  if (it == m_views.end() || aNow >= it->second.m_at + aValidity) {
    return std::nullopt;
  }
  return it->second.m_view;
}

} // namespace lacewing::edge
