/// States of jobs that the leader has reported to this daemon. While the leader
/// is busy, callers that ask again are shown them for a short while, so that
/// its load does not grow with the number of callers that wait.
///
/// Does no I/O and reads no clock.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"
#include "edge/PeerProtocol.h"

#include <optional>
#include <unordered_map>

namespace lacewing::edge {

/// How long a state may be shown again, by the lag of the leader's event loop;
/// zero for a leader that is not busy.
Duration
ViewValidity(Duration aLeaderLag);

class JobViewCache
{
public:
  void Put(Time aNow, const JobId& aJob, const JobView& aView);
  /// Empty if no state of the job was reported within the validity.
  std::optional<JobView> Find(Time aNow,
                              const JobId& aJob,
                              Duration aValidity) const;
  void Erase(const JobId& aJob) { m_views.erase(aJob); }
  std::size_t size() const { return m_views.size(); } // NOLINT: as containers

private:
  struct Entry
  {
    JobView m_view;
    Time m_at{};
  };

  std::unordered_map<JobId, Entry> m_views;
};

} // namespace lacewing::edge
