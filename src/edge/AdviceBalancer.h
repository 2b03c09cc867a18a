/// Chooses the daemon that sends an advice request to the policy service. The
/// service handles the requests of each VM one after another, so the leader
/// spreads its requests over all daemons.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"
#include "net/Address.h"

#include <map>
#include <optional>

namespace lacewing::edge {

class AdviceBalancer
{
public:
  explicit AdviceBalancer(VmId aSelf);

  /// Records that a peer daemon has contacted this one.
  void OnPeerSeen(Time aNow, const VmId& aVm, const net::Address& aAddress);
  /// The daemon that is expected to receive the response first, and its
  /// address. The request counts towards the load of that daemon until `Ended`.
  struct Choice
  {
    VmId m_vm;
    std::optional<net::Address> m_address; ///< `nullopt` for this daemon
    Duration m_cost{};                     ///< estimated service time
    Time m_expected{};                     ///< when the response is due
  };
  Choice Choose(Time aNow, Duration aCost);
  /// Records that a request was answered or failed.
  void Ended(Time aNow, const Choice& aChoice, bool aAnswered);

  /// Number of daemons that can send requests, including this one.
  int AskingVms() const { return static_cast<int>(m_members.size()); }

private:
  struct Member
  {
    net::Address m_address;
    Time m_lastSeen{};
    Time m_avoidUntil{};
    Duration m_inFlightCost{}; ///< sum over its requests in flight
    Duration m_delay{};        ///< smoothed time beyond the cost
    Time m_delayAt{};          ///< when `m_delay` was last updated
  };

  /// The delay of the member, halved for each half-life since its last update.
  static Duration DecayedDelay(Time aNow, const Member& aMember);

  VmId m_self;
  std::map<VmId, Member> m_members;
};

} // namespace lacewing::edge
