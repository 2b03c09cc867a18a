/// The owner of one service slice: keeps the requests' bodies and carries out
/// what its router decides.
#pragma once

#include "daemon/Runtime.h"
#include "peer/PeerMessages.h"
#include "routing/ForwardTable.h"
#include "routing/RequestRouter.h"
#include "settings/SettingsTree.h"
#include "vmlist/Fleet.h"

namespace lacewing::daemon {

/// A request as it arrives at the owner.
struct OwnedRequest
{
  routing::Request m_request;
  std::string m_method;
  std::string m_body;
};

/// Called exactly once for each admitted request.
using OwnerReplyHandler = std::function<void(const routing::OwnerReply&)>;

class ServiceSliceOwner : public std::enable_shared_from_this<ServiceSliceOwner>
{
public:
  ServiceSliceOwner(Runtime& aRuntime,
                    SliceId aSlice,
                    Epoch aEpoch,
                    routing::RouterOptions aOptions);

  void Adopt(const routing::BusyCounts& aCounts);
  /// What the earlier owner's requests still take. Ignored unless it was the
  /// owner just before this one.
  void OnEarlierOwner(const peer::ReleasedSlice& aReleased);
  /// The same about this owner, once it has released the slice.
  peer::ReleasedSlice Remaining() const;
  void UpdateEndpoints(const std::vector<vmlist::Vm>& aVms);
  void SetTuning(const routing::RouterTuning& aTuning)
  {
    m_router.SetTuning(aTuning);
  }
  void SetTeam(const TeamId& aTeam, const settings::TeamSettings& aSettings);
  void SetAllotment(const TeamId& aTeam, std::int64_t aRequests);
  void SetAuthorityEnd(Time aEnd);

  void Admit(const OwnedRequest& aRequest, OwnerReplyHandler aReply);
  /// Runs timers that are due and arms the timer of the owners for the next.
  void Tick();
  /// Refuses the queue and new requests; dispatched ones finish.
  void BeginDrain();

  bool IsDrained() const { return m_router.IsDrained(); }
  routing::BusyCounts CountBusy() const { return m_router.CountBusy(); }
  std::size_t QueuedCount() const { return m_router.QueuedCount(); }
  std::size_t RunningCount() const { return m_router.RunningCount(); }
  int RunningOf(const TeamId& aTeam) const { return m_router.RunningOf(aTeam); }
  /// Requests of a team that wait here for an endpoint.
  int WaitingOf(const TeamId& aTeam) const;
  /// Queued and running requests over the slots of the endpoints that take
  /// work.
  double Load() const;
  const SliceId& Id() const { return m_slice; }

private:
  struct Open
  {
    OwnedRequest m_request;
    OwnerReplyHandler m_reply;
  };

  void Carry(const routing::Actions& aActions);
  void ArmTimer();
  void CarryOne(const routing::Dispatch& aDispatch);
  void CarryOne(const routing::Answer& aAnswer);
  void CarryOne(const routing::Refuse& aRefusal);
  void CarryOne(const routing::Probe& aProbe);
  void OnDispatched(const routing::Dispatch& aDispatch,
                    const endpoint::DispatchOutcome& aOutcome);
  void Reply(const routing::RequestId& aRequest,
             const routing::OwnerReply& aReply);
  void RecordRequest(observe::EventKind aKind,
                     const Open& aOpen,
                     const VmId& aVm,
                     const std::string& aDetail);

  Runtime& m_runtime;
  SliceId m_slice;
  Epoch m_epoch;
  routing::RequestRouter m_router;
  std::map<VmId, net::Address> m_addresses;
  std::map<routing::RequestId, Open> m_open;
};

/// Text of a request's id for headers and the time line.
std::string
ToText(const routing::RequestId& aId);

} // namespace lacewing::daemon
