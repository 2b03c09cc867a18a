/// Loads of the slices and settings versions of the members, as their
/// heartbeats tell them.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"
#include "peer/PeerMessages.h"

#include <deque>
#include <map>
#include <optional>

namespace lacewing::daemon {

/// A heartbeat older than this says nothing about loads.
inline constexpr Duration kLoadMaxAge = seconds(5);

/// The usages that a heartbeat contains: those that are not zero, in the order
/// of the teams. A heartbeat replaces the earlier one of its member, so a team
/// that is not in it uses nothing there.
std::vector<peer::TeamUsage>
UsagesToTell(const std::map<TeamId, peer::TeamUsage>& aUsages);

class LoadView
{
public:
  /// Takes a heartbeat of a member, or the own one.
  void OnHeartbeat(Time aNow, const peer::Heartbeat& aHeartbeat);

  /// The load of the slice as told by the member, unless it is too old.
  std::optional<peer::SliceLoad> Find(Time aNow,
                                      const VmId& aOwner,
                                      const SliceId& aSlice) const;
  /// Free part of a slice of workers with this capacity, as told by its owner,
  /// less the jobs that this process has sent there lately: 1 for an idle
  /// slice, below 0 for one whose queue is as long as it is large, -1 if the
  /// load is not known.
  double FreeShare(Time aNow,
                   const VmId& aOwner,
                   const SliceId& aSlice,
                   std::int64_t aCapacityMillicores,
                   std::size_t aWorkers) const;
  /// Counts a job against the slice until heartbeats include it.
  void OnJobSent(Time aNow, const SliceId& aSlice, std::int64_t aMillicores);
  /// Millicores of the jobs that were sent there and that heartbeats may not
  /// include yet.
  std::int64_t SentMillicores(Time aNow, const SliceId& aSlice) const;
  /// Usage of a team by all members, by their latest heartbeats.
  peer::TeamUsage UsageOf(Time aNow, const TeamId& aTeam) const;
  std::uint64_t SettingsVersionOf(const VmId& aVm) const;

private:
  struct Seen
  {
    Time m_at{};
    peer::Heartbeat m_heartbeat;
  };

  struct SentJob
  {
    Time m_at{};
    std::int64_t m_millicores = 0;
  };

  bool IsFresh(Time aNow, const Seen& aSeen) const;

  std::map<VmId, Seen> m_members;
  /// Oldest first.
  std::map<SliceId, std::deque<SentJob>> m_sentJobs;
};

} // namespace lacewing::daemon
