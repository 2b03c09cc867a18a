/// Chooses the entry daemons that call workers in place of the leader, so that
/// its event loop has to do with frames of many calls and not with each call.
///
/// A relay calls workers of its own failure domain. A domain has as many relays
/// as its workers need, the VMs with the most processor first. A pool that is
/// small enough has none, and neither has a domain of which no daemon is known:
/// the leader calls these workers itself.
///
/// Does no I/O and reads no clock.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"
#include "net/Address.h"
#include "pool/TrackedJob.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing::relay {

/// A daemon that can be a relay.
struct RelayPeer
{
  VmId m_vm;
  DomainId m_domain;
  net::Address m_address; ///< on which it takes orders
  double m_cores = 0;     ///< processor of its VM

  bool operator==(const RelayPeer&) const = default;
};

using WorkerCounts = std::map<DomainId, std::size_t>;

class RelayChoice
{
public:
  /// The peer has contacted this daemon.
  void OnPeerSeen(Time aNow, const RelayPeer& aPeer);
  /// A frame has come from the relay.
  void OnAlive(Time aNow, const VmId& aVm);
  /// The connection to the peer was lost, or the peer is late. It is chosen
  /// again after a while.
  void OnFailure(Time aNow, const VmId& aVm);
  /// The daemons to use, given the workers of each domain.
  std::vector<RelayPeer> Choose(Time aNow, const WorkerCounts& aWorkers);

private:
  struct Candidate
  {
    RelayPeer m_peer;
    Time m_lastSeen{};
    Time m_avoidUntil{};
  };

  /// Of the domain, those with the most processor first.
  std::vector<RelayPeer> CandidatesIn(Time aNow, const DomainId& aDomain) const;

  std::map<VmId, Candidate> m_candidates;
};

/// Which relay calls a worker. Workers keep their relay while it is usable.
class RelayRoutes
{
public:
  /// Relays that can take orders at present.
  void SetUsable(std::vector<RelayPeer> aRelays);
  /// Null if the leader has to call the worker itself.
  const VmId* Find(const pool::WorkerId& aWorker, const DomainId& aDomain);

private:
  std::vector<RelayPeer> m_relays;
  /// Chosen since the usable relays changed.
  std::unordered_map<pool::WorkerId, std::optional<VmId>> m_routes;
};

} // namespace lacewing::relay
