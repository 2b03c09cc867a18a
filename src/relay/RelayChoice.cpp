#include "relay/RelayChoice.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace lacewing::relay {

namespace {

/// The leader calls the workers of a smaller pool itself: a relay would only
/// make each call longer.
constexpr std::size_t kWorkersWithoutRelay = 128;
/// Workers that a relay calls for each core of its VM, which has to serve
/// callers too.
constexpr double kWorkersPerCore = 256;
/// Daemons contact the leader several times a second.
constexpr Duration kPeerTimeout = milliseconds(1200);
/// After a failure a daemon is not chosen for this long.
constexpr Duration kFailureBackoff = seconds(4);

/// Rendezvous hashing with weights: the relay with the highest rank calls the
/// worker, so that a change of one relay moves only its own workers.
double
RankOf(const pool::WorkerId& aWorker, const RelayPeer& aRelay)
{
  constexpr double kRange = 4294967296.0; // of the 32 bits that are used
  const std::string text = aWorker.Value() + '@' + aRelay.m_vm.Value();
  const auto bits =
    static_cast<double>(XXH3_64bits(text.data(), text.size()) >> 32U);
  return aRelay.m_cores / -std::log((bits + 1) / (kRange + 1));
}

} // namespace

void
RelayChoice::OnPeerSeen(Time aNow, const RelayPeer& aPeer)
{
  Candidate& candidate = m_candidates[aPeer.m_vm];
  candidate.m_peer = aPeer;
  candidate.m_lastSeen = aNow;
}

void
RelayChoice::OnAlive(Time aNow, const VmId& aVm)
{
  if (const auto it = m_candidates.find(aVm); it != m_candidates.end()) {
    it->second.m_lastSeen = std::max(it->second.m_lastSeen, aNow);
  }
}

void
RelayChoice::OnFailure(Time aNow, const VmId& aVm)
{
  if (const auto it = m_candidates.find(aVm); it != m_candidates.end()) {
    it->second.m_avoidUntil = aNow + kFailureBackoff;
  }
}

std::vector<RelayPeer>
RelayChoice::CandidatesIn(Time aNow, const DomainId& aDomain) const
{
  std::vector<RelayPeer> result;
  for (const auto& [vm, candidate] : m_candidates) {
    if (candidate.m_peer.m_domain == aDomain &&
        aNow >= candidate.m_avoidUntil) {
      result.push_back(candidate.m_peer);
    }
  }
  std::ranges::stable_sort(result, std::greater{}, &RelayPeer::m_cores);
  return result;
}

std::vector<RelayPeer>
RelayChoice::Choose(Time aNow, const WorkerCounts& aWorkers)
{
  std::erase_if(m_candidates, [&](const auto& aItem) {
    return aNow > aItem.second.m_lastSeen + kPeerTimeout;
  });
  const std::size_t total = std::accumulate(
    aWorkers.begin(),
    aWorkers.end(),
    std::size_t{ 0 },
    [](std::size_t aSum, const auto& aItem) { return aSum + aItem.second; });
  std::vector<RelayPeer> chosen;
  if (total <= kWorkersWithoutRelay) {
    return chosen;
  }
  for (const auto& [domain, workers] : aWorkers) {
    auto needed = static_cast<double>(workers);
    for (const RelayPeer& peer : CandidatesIn(aNow, domain)) {
      if (needed <= 0) {
        break;
      }
      chosen.push_back(peer);
      needed -= peer.m_cores * kWorkersPerCore;
    }
  }
  return chosen;
}

void
RelayRoutes::SetUsable(std::vector<RelayPeer> aRelays)
{
  if (aRelays != m_relays) {
    m_relays = std::move(aRelays);
    m_routes.clear();
  }
}

const VmId*
RelayRoutes::Find(const pool::WorkerId& aWorker, const DomainId& aDomain)
{
  const auto [it, fresh] = m_routes.try_emplace(aWorker);
  if (fresh) {
    double best = -std::numeric_limits<double>::infinity();
    for (const RelayPeer& relay : m_relays) {
      if (relay.m_domain != aDomain) {
        continue;
      }
      if (const double rank = RankOf(aWorker, relay); rank > best) {
        best = rank;
        it->second = relay.m_vm;
      }
    }
  }
  return it->second ? &*it->second : nullptr;
}

} // namespace lacewing::relay
