/// The endpoints of one service slice as its owner knows them: which may
/// receive work, and how many slots of each are taken.
///
/// A slot is taken by a flight (an attempt of this owner that is not known to
/// have ended) or by a request of an earlier owner.
#pragma once

#include "routing/Backoff.h"
#include "routing/EndpointChoice.h"
#include "routing/Request.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace lacewing::routing {

/// An endpoint as the VM list shows it.
struct EndpointInfo
{
  VmId m_vm;
  int m_slots = 8;
  int m_connections = 64;
  bool m_leaving = false;
};

enum class EndpointState : std::uint8_t
{
  Unknown, ///< its status was not read yet; gets no work
  Ready,
  Ejected, ///< failed too often; probed after a back-off
  Leaving, ///< finishes what it has, gets no new work
  Gone,    ///< missing from the list
};

struct PoolOptions
{
  int m_failuresToEject = 3; ///< in succession
  int m_missesToGone = 3;    ///< polls of the VM list
  BackoffOptions m_probe{ milliseconds(100), seconds(5) };
  /// Time between status queries that are due for other reasons than a failure.
  Duration m_statusPeriod = seconds(1);
};

struct Endpoint
{
  EndpointInfo m_info;
  EndpointState m_state = EndpointState::Unknown;
  int m_flights = 0; ///< running or abandoned attempts of this owner
  int m_abandoned = 0;
  int m_foreign = 0; ///< slots taken by requests of earlier owners
  int m_failures = 0;
  int m_ejections = 0;
  int m_misses = 0;
  bool m_adopted = false; ///< its status was read by this owner
  bool m_probing = false;
  std::uint64_t m_probeNumber = 0;
  Time m_probeAt{};
  Time m_probeSent{};

  int Busy() const { return m_flights + m_foreign; }
  /// Slots that may be taken at the same time.
  int Capacity() const;
};

/// A status query to send; the number matches its result.
struct StatusQuery
{
  VmId m_vm;
  std::uint64_t m_number = 0;
};

/// Result of a status query for the router.
struct StatusChange
{
  /// Set when the endpoint ran nothing: attempts that were abandoned at or
  /// before this time have ended.
  std::optional<Time> m_idleSince;
};

template<EndpointChoice Choice>
class EndpointPool
{
public:
  EndpointPool(PoolOptions aOptions, std::uint64_t aSeed);

  /// Polls of the VM list without an endpoint after which it is gone.
  void SetMissesToGone(int aPolls) { m_options.m_missesToGone = aPolls; }
  /// Takes over a poll of the VM list. Returns endpoints that became gone.
  std::vector<VmId> Update(Time aNow, const std::vector<EndpointInfo>& aList);

  /// The earlier owner left its counts: endpoints that it does not name have no
  /// slots taken. Without this call the first status is trusted only when no
  /// dispatch of the earlier owner can be under way any more.
  void SetCountsGiven() { m_countsGiven = true; }
  /// Treats slots of an endpoint as taken by an earlier owner; 0 frees them.
  void SetForeign(const VmId& aVm, int aBusy);
  /// Frees all slots of earlier owners: the largest deadline has passed.
  void ClearForeign();
  /// Slots taken by earlier owners. An endpoint whose status is still to be
  /// read counts as full, since any team may have all its slots.
  int TotalForeign() const;

  /// An endpoint with a free slot, or nothing. `aCountSlots` is false only to
  /// show that a checker notices.
  std::optional<VmId> Choose(bool aCountSlots);

  void OnDispatch(const VmId& aVm);
  /// An attempt ended: its slot is free.
  void OnEnd(const VmId& aVm, bool aWasAbandoned);
  /// The owner no longer waits for the attempt, but it may still run.
  void OnAbandon(Time aNow, const VmId& aVm);
  void OnSuccess(const VmId& aVm);
  /// The endpoint failed or could not be reached.
  void OnFailure(Time aNow, const VmId& aVm);
  /// The endpoint refused: no work until its status was read again.
  void OnRefusal(Time aNow, const VmId& aVm);
  void OnLeaving(const VmId& aVm);

  /// Status queries that are due; each is under way until `OnStatus`.
  std::vector<StatusQuery> TakeProbes(Time aNow);
  /// The status, or nothing when it could not be read. The result of an
  /// earlier query is ignored. `aAdopted` is when this owner took over.
  StatusChange OnStatus(Time aNow,
                        const StatusQuery& aQuery,
                        const std::optional<EndpointStatus>& aStatus,
                        Time aAdopted);

  const Endpoint* Find(const VmId& aVm) const;
  const std::vector<Endpoint>& Endpoints() const { return m_endpoints; }
  /// Slots of the endpoints that take work.
  int TotalSlots() const;
  /// True if endpoints are known and each of them is leaving or gone.
  bool HasLeft() const;
  std::optional<Time> NextProbe() const;

private:
  Endpoint* FindMutable(const VmId& aVm);
  void ApplyInfo(Time aNow, const EndpointInfo& aInfo);
  void Eject(Time aNow, Endpoint& aEndpoint);
  bool NeedsProbe(const Endpoint& aEndpoint) const;
  void ApplyStatus(Endpoint& aEndpoint, const EndpointStatus& aStatus);
  void RemoveIdleGone();

  PoolOptions m_options;
  bool m_countsGiven = false;
  bool m_foreignEnded = false;             ///< the largest deadline has passed
  std::map<VmId, int> m_foreignBeforeList; ///< counts of unlisted endpoints
  Choice m_choice;
  Backoff m_backoff;
  std::vector<Endpoint> m_endpoints;
  std::unordered_map<VmId, std::size_t> m_index;
  std::vector<EndpointCandidate> m_candidates; ///< scratch of `Choose`
};

extern template class EndpointPool<LeastBusy>;
extern template class EndpointPool<BestOfTwo>;
extern template class EndpointPool<RandomEndpoint>;
extern template class EndpointPool<RoundRobin>;

} // namespace lacewing::routing

template<>
struct lacewing::EnumNames<lacewing::routing::EndpointState>
{
  using State = lacewing::routing::EndpointState;
  static constexpr std::array kTable = {
    std::pair{ State::Unknown, std::string_view("unknown") },
    std::pair{ State::Ready, std::string_view("ready") },
    std::pair{ State::Ejected, std::string_view("ejected") },
    std::pair{ State::Leaving, std::string_view("leaving") },
    std::pair{ State::Gone, std::string_view("gone") },
  };
};
