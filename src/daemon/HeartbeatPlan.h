/// Decides which heartbeat goes to which member at a given time: what has
/// changed since the last one that the member has acknowledged.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"
#include "peer/PeerMessages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lacewing::daemon {

/// `HeartbeatPlan::Next` is called this often for each receiver.
inline constexpr Duration kHeartbeatTick = milliseconds(500);
/// Within the region, without a change.
inline constexpr Duration kRegionHeartbeatPeriod = seconds(1);
/// Every change is told within this time. Members of other regions get
/// heartbeats only this often.
inline constexpr Duration kFullDetailPeriod = seconds(2);
/// A full heartbeat bounds how long a fault in the deltas lasts.
inline constexpr Duration kFullHeartbeatPeriod = seconds(30);
/// A release that a receiver does not acknowledge is repeated for this long.
inline constexpr Duration kReleaseMaxAge = seconds(30);

/// Whether fronts need the new load of a slice at once.
bool
CountsAsChanged(const peer::SliceLoad& aTold, const peer::SliceLoad& aNow);

class HeartbeatPlan
{
public:
  /// The heartbeat that is due for the receiver, if one is. `aState` is the
  /// whole state of this process: every slice and team at most once.
  std::optional<peer::Heartbeat> Next(Time aNow,
                                      const VmId& aReceiver,
                                      bool aSameRegion,
                                      const peer::Heartbeat& aState);
  /// A reply to a heartbeat of this process.
  void OnReply(const peer::PeerIdentity& aFrom,
               const peer::HeartbeatReply& aReply);
  /// Forgets all other receivers.
  void Retain(const std::set<VmId>& aReceivers);

private:
  /// An entry as last told to a receiver, lost heartbeats included.
  template<typename Value>
  struct Told
  {
    std::optional<Value> m_value; ///< none: told as removed
    std::uint64_t m_sequence = 0; ///< heartbeat that told this value first
  };

  struct PendingRelease
  {
    peer::ReleasedSlice m_release;
    Time m_since{};
    std::uint64_t m_sequence = 0; ///< first heartbeat with it
    bool m_current = true;        ///< is in the present state
  };

  struct Receiver
  {
    std::map<SliceId, Told<peer::SliceLoad>> m_slices;
    std::map<TeamId, Told<peer::TeamUsage>> m_teams;
    std::vector<PendingRelease> m_releases;
    std::optional<Incarnation> m_process; ///< that sent the last reply
    std::uint64_t m_sequence = 0;         ///< of the last heartbeat
    /// Everything up to this heartbeat is held by `m_process`; 0: nothing.
    std::uint64_t m_base = 0;
    /// Replies to earlier heartbeats say nothing: the deltas after them would
    /// lack entries that have been forgotten since.
    std::uint64_t m_firstValid = 0;
    /// Last heartbeat that must arrive at once.
    std::uint64_t m_urgent = 0;
    Time m_lastSent = Time::min();
    Time m_lastDetail = Time::min(); ///< last heartbeat with every change
    Time m_nextFull{};
  };

  static bool HasUrgentChange(const Receiver& aReceiver,
                              const peer::Heartbeat& aState);
  void TakeReleases(Time aNow,
                    Receiver& aReceiver,
                    const peer::Heartbeat& aState) const;
  static void Reset(Receiver& aReceiver);

  /// One count for all receivers, so that it goes on for a receiver that was
  /// forgotten and has come back.
  std::uint64_t m_sequence = 0;
  std::map<VmId, Receiver> m_receivers;
};

} // namespace lacewing::daemon
