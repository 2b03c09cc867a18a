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

/// A load expires this long after the last heartbeat that told it or that said
/// that it is as told before.
inline constexpr Duration kLoadMaxAge = seconds(5);

/// The usages that the state of a member contains: those that are not zero, in
/// the order of the teams.
std::vector<peer::TeamUsage>
UsagesToTell(const std::map<TeamId, peer::TeamUsage>& aUsages);

class LoadView
{
public:
  /// Takes a heartbeat of a member, or the own state, and returns the reply.
  peer::HeartbeatReply OnHeartbeat(Time aNow,
                                   const peer::Heartbeat& aHeartbeat);

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
  /// Counts a job against the slice until its owner tells a load that includes
  /// the job.
  void OnJobSent(Time aNow, const SliceId& aSlice, std::int64_t aMillicores);
  /// Free processors of the slice as told by its owner, less the jobs that this
  /// process has sent there lately; 0 if they are not known.
  std::int64_t FreeMillicores(Time aNow,
                              const VmId& aOwner,
                              const SliceId& aSlice) const;
  /// Usage of a team by all members, by their heartbeats.
  peer::TeamUsage UsageOf(Time aNow, const TeamId& aTeam) const;
  std::uint64_t SettingsVersionOf(const VmId& aVm) const;

private:
  template<typename Value>
  struct Told
  {
    Value m_value;
    Time m_at{}; ///< last heartbeat that contained the value
  };

  /// What one process of a VM has told.
  struct Member
  {
    Incarnation m_incarnation = 0;
    std::uint64_t m_sequence = 0; ///< of the newest heartbeat
    /// Everything up to the newest heartbeat is held.
    bool m_complete = false;
    Time m_lastHeard{};             ///< last heartbeat of the process
    Time m_confirmed = Time::min(); ///< last one whose base was held
    std::uint64_t m_settingsVersion = 0;
    std::map<SliceId, Told<peer::SliceLoad>> m_slices;
    std::map<TeamId, Told<peer::TeamUsage>> m_teams;
  };

  struct SentJob
  {
    Time m_at{};
    std::int64_t m_millicores = 0;
  };

  static void Take(Time aNow,
                   const peer::Heartbeat& aHeartbeat,
                   Member& aMember);
  /// Millicores of the sent jobs that a load told at the time does not include.
  std::int64_t SentSince(Time aNow, const SliceId& aSlice, Time aToldAt) const;
  const Told<peer::SliceLoad>* FindTold(Time aNow,
                                        const VmId& aOwner,
                                        const SliceId& aSlice) const;

  std::map<VmId, Member> m_members;
  /// Oldest first.
  std::map<SliceId, std::deque<SentJob>> m_sentJobs;
};

} // namespace lacewing::daemon
