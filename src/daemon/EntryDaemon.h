/// The entry daemon: front for callers and operators, owner of slices, reader
/// of settings.
#pragma once

#include "daemon/HeartbeatPlan.h"
#include "daemon/JobFront.h"
#include "daemon/LimitReconciler.h"
#include "daemon/OperatorApi.h"
#include "daemon/RequestExpiry.h"
#include "daemon/RequestFront.h"
#include "net/LoopLagProbe.h"
#include "peer/PeerServer.h"

namespace lacewing::daemon {

class EntryDaemon
{
public:
  EntryDaemon(net::Loop& aLoop,
              const settings::Bootstrap& aBootstrap,
              const std::string& aClusterSecret);

  /// Listens and starts the periodic work. Errors: `Unavailable` naming the
  /// address that is taken.
  Result<void> Start();
  /// Starts the planned stop; the loop ends when it is complete.
  void BeginDrain();

private:
  /// The owner of a released slice whose dispatched requests still run. Its
  /// counts are reported to the next owner, a few times after the last has
  /// ended.
  struct Draining
  {
    std::shared_ptr<ServiceSliceOwner> m_owner;
    int m_reportsLeft = 0;
  };

  void HandleCaller(const net::HttpRequest& aRequest,
                    const net::HttpReply& aReply);
  Result<void> Route(const net::HttpRequest& aRequest,
                     const net::HttpReply& aReply);
  bool RouteProbe(const net::HttpRequest& aRequest,
                  const net::HttpReply& aReply);
  Result<void> RouteJob(const net::HttpRequest& aRequest,
                        const net::HttpReply& aReply);
  bool IsReady() const;

  void HandlePeer(const peer::PeerIdentity& aFrom,
                  const peer::PeerMessage& aMessage,
                  const peer::PeerReply& aReply);
  void HandleOpaque(const VmId& aFrom, const peer::Opaque& aMessage);
  void HandleForward(const peer::PeerIdentity& aFrom,
                     const peer::ForwardRequest& aMessage,
                     const peer::PeerReply& aReply);

  /// Polls if the time of the settings has passed since the last poll.
  void PollVmList();
  void PollVmListNow();
  void TakeVmList(Time aAsked, const std::vector<vmlist::Vm>& aVms);
  void OnOwnershipEvent(const ownership::OwnershipEvent& aEvent);
  void RecordOwnershipEvent(const ownership::OwnershipEvent& aEvent);
  void Claim(const SliceId& aSlice, Epoch aEpoch);
  void ClaimWorkers(const vmlist::Slice& aSlice, Epoch aEpoch);
  MoveHooks MoveHooksOf(const SliceId& aSlice, Epoch aEpoch);
  void ClaimService(const vmlist::Slice& aSlice, Epoch aEpoch);
  void DropSlice(const SliceId& aSlice);
  void ApplyTeams();
  void ApplySystem();
  void OnSettingsInForce(const settings::InForceEffect& aEffect);

  void TickOwnership();
  void RereadJobsOfLostFronts();
  void TickExpiry();
  void TickOwners();
  void TickAllotments();
  void TickWorkerAllotment(WorkerSliceOwner& aOwner);
  void TickServiceAllotment(ServiceSliceOwner& aOwner);
  /// Every slice is given away: only open requests are still served.
  void BeginClose();
  void TickDrain();
  std::size_t RunningRequests() const;
  void MoveWaitingJobs();
  std::vector<sched::MoveTarget> MoveTargets(const SliceId& aFrom) const;
  void SendHeartbeats();
  void SendHeartbeat(const MemberInfo& aTo, const peer::Heartbeat& aBeat);
  peer::Heartbeat OwnHeartbeat() const;
  void UpdateMetrics();
  void CountOverhead();
  void LogState();

  Runtime m_runtime;
  peer::WireBytes m_messageBytes;    ///< encoded messages of peers
  peer::WireBytes m_overheadCounted; ///< that the metric already has
  peer::PeerClient m_peerClient;
  Membership m_membership;
  SettingsService m_settings;
  LoadView m_loads;
  HeartbeatPlan m_heartbeats;
  std::map<SliceId, vmlist::Slice> m_slices;
  std::map<SliceId, std::shared_ptr<WorkerSliceOwner>> m_workerOwners;
  std::map<SliceId, std::shared_ptr<ServiceSliceOwner>> m_serviceOwners;
  std::vector<Draining> m_draining;
  RequestFront m_requests;
  JobFront m_jobs;
  OperatorApi m_operators;
  LimitReconciler m_limits;
  std::shared_ptr<RequestExpiry> m_expiry;
  net::HttpServer m_callerServer;
  peer::PeerServer m_peerServer;
  net::LoopLagProbe m_loopLag;
  std::map<VmId, Incarnation> m_knownMembers;
  Time m_nextVmListPoll = Time::min();
  bool m_stopping = false;
  bool m_stopped = false;
  Time m_settleEnd{};
  /// Part of `Timeline::Dropped` that the metric already has.
  std::uint64_t m_droppedCounted = 0;
};

} // namespace lacewing::daemon
