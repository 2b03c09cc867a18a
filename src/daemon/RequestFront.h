/// The front's side of service requests: authentication, at-most-once records,
/// choice of a slice, forwarding and the reply to the caller.
#pragma once

#include "caller/CallerRequest.h"
#include "daemon/CellState.h"
#include "daemon/ServiceSliceOwner.h"
#include "net/HttpServer.h"
#include "routing/AtMostOnce.h"
#include "routing/SliceChooser.h"

#include <unordered_map>

namespace lacewing::daemon {

/// Finds the owner of a service slice in this process, if it is here.
using LocalServiceOwner =
  std::function<ServiceSliceOwner*(const SliceId& aSlice)>;

class RequestFront
{
public:
  RequestFront(CellState aCell, LocalServiceOwner aLocalOwner);

  /// Replies exactly once, or returns an error and does not reply.
  Result<void> Serve(const net::HttpRequest& aRequest,
                     const net::HttpReply& aReply);
  /// Runs timers that are due and arms the timer of the owners for the next.
  void Tick();
  /// Sends idempotent requests that wait for an owner which does not answer to
  /// another one; to be called a few times a second.
  void LeaveSuspectOwners();
  std::size_t OpenCalls() const { return m_calls.size(); }
  /// Non-idempotent requests whose records are not up to date.
  std::size_t UnsettledCalls() const { return m_once.size(); }

private:
  struct Call
  {
    ServiceId m_service;
    std::string m_method;
    TeamId m_team;
    RequestClass m_class = RequestClass::Interactive;
    Time m_received{};
    Time m_deadline{};
    bool m_idempotent = false;
    std::string m_body;
    net::HttpReply m_reply;
  };

  Result<Call> Parse(const net::HttpRequest& aRequest,
                     const caller::CallerContext& aContext) const;
  void Carry(const routing::OnceActions& aActions);
  void CarryOne(const routing::WriteRecord& aWrite);
  void CarryOne(const routing::ReadRecord& aRead);
  void CarryOne(const routing::ForwardCall& aForward);
  void CarryOne(const routing::ReplyToCaller& aReply);
  void Carry(const routing::ForwardOutcomes& aOutcomes);
  void CarryOne(const routing::DeliverAnswer& aAnswer);
  void CarryOne(const routing::FailCall& aFailure);
  void CarryOne(const routing::TryElsewhere& aRetry);

  void ArmTimer();
  void Forward(routing::CallId aCall, const std::set<SliceId>& aTried);
  void SendTo(routing::CallId aCall,
              const routing::SliceLoad& aSlice,
              const MemberInfo& aOwner);
  void SendLocal(routing::ForwardId aForward,
                 const Call& aCall,
                 ServiceSliceOwner& aOwner);
  /// Counts the body of a request or an answer if it crosses regions.
  void CountBytes(const RegionId& aRegion,
                  std::string_view aDirection,
                  std::size_t aBytes);
  void OnPeerOutcome(routing::ForwardId aForward,
                     const RegionId& aRegion,
                     const peer::PeerOutcome& aOutcome);
  void EndForward(routing::CallId aCall, const routing::OwnerReply& aReply);
  void ReplyToCaller(routing::CallId aCall, const routing::OwnerReply& aReply);
  std::vector<routing::SliceLoad> SlicesOf(const ServiceId& aService) const;

  CellState m_cell;
  LocalServiceOwner m_localOwner;
  routing::AtMostOnce m_once;
  routing::ForwardTable m_forwards;
  routing::SliceChooser m_chooser;
  routing::CallId m_lastCall = 0;
  std::unordered_map<routing::CallId, Call> m_calls;
};

/// The peer message for a forwarded request and back.
peer::Answer
ToPeerAnswer(const routing::OwnerReply& aReply);
routing::OwnerReply
FromPeerAnswer(const peer::Answer& aAnswer);

} // namespace lacewing::daemon
