#include "daemon/RequestFront.h"

#include "daemon/AppliedSettings.h"

#include <algorithm>

namespace lacewing::daemon {

namespace {

using observe::EventKind;
using observe::Metric;

constexpr std::int64_t kMillisecondsPerSecond = 1000;

/// `Retry-After` in whole seconds, at least one.
std::string
RetryAfterText(Duration aDuration)
{
  const auto whole = (ToMilliseconds(aDuration) + kMillisecondsPerSecond - 1) /
                     kMillisecondsPerSecond;
  return std::to_string(std::max<std::int64_t>(whole, 1));
}

net::HttpResponse
ToResponse(const routing::OwnerReply& aReply)
{
  if (aReply.m_answer) {
    return net::JsonResponse(aReply.m_answer->m_status,
                             aReply.m_answer->m_body);
  }
  auto response = net::ErrorResponse(aReply.m_error);
  if (aReply.m_error.m_verdict == Verdict::NotRun &&
      (aReply.m_retryAfter > Duration::zero() ||
       aReply.m_error.m_code == ErrorCode::QueueFull)) {
    response.m_headers["Retry-After"] = RetryAfterText(aReply.m_retryAfter);
  }
  return response;
}

} // namespace

peer::Answer
ToPeerAnswer(const routing::OwnerReply& aReply)
{
  peer::Answer answer;
  if (aReply.m_answer) {
    answer.m_status = aReply.m_answer->m_status;
    answer.m_body = aReply.m_answer->m_body;
    answer.m_bytes = answer.m_body.size();
    return answer;
  }
  answer.m_status = HttpStatusOf(aReply.m_error.m_code);
  answer.m_error = aReply.m_error;
  answer.m_retryAfter = aReply.m_retryAfter;
  return answer;
}

routing::OwnerReply
FromPeerAnswer(const peer::Answer& aAnswer)
{
  routing::OwnerReply reply;
  if (aAnswer.m_error) {
    reply.m_error = *aAnswer.m_error;
    reply.m_retryAfter = aAnswer.m_retryAfter;
    return reply;
  }
  routing::EndpointAnswer answer;
  answer.m_status = aAnswer.m_status;
  answer.m_body = aAnswer.m_body;
  reply.m_answer = std::move(answer);
  return reply;
}

RequestFront::RequestFront(CellState aCell, LocalServiceOwner aLocalOwner)
  : m_cell(aCell)
  , m_localOwner(std::move(aLocalOwner))
  , m_once(aCell.m_runtime.Self().Value() + "/" +
           std::to_string(aCell.m_runtime.ProcessIncarnation()))
  , m_chooser(aCell.m_runtime.Config().m_region, aCell.m_runtime.Random())
{
}

Result<void>
RequestFront::Serve(const net::HttpRequest& aRequest,
                    const net::HttpReply& aReply)
{
  BOOST_LEAF_AUTO(
    context,
    caller::ParseContext(aRequest, DeadlineBoundsOf(m_cell.m_settings.Tree())));
  BOOST_LEAF_AUTO(call, Parse(aRequest, context));
  call.m_reply = aReply;
  const routing::CallId id = ++m_lastCall;
  const Call& open = m_calls.emplace(id, std::move(call)).first->second;
  m_forwards.Open(id, open.m_deadline, open.m_idempotent);
  ArmTimer();
  if (open.m_idempotent) {
    Forward(id, {});
    return {};
  }
  Carry(m_once.Begin(net::Loop::Now(),
                     WallMicros(),
                     id,
                     open.m_team,
                     context.m_idempotencyKey,
                     open.m_deadline));
  return {};
}

Result<RequestFront::Call>
RequestFront::Parse(const net::HttpRequest& aRequest,
                    const caller::CallerContext& aContext) const
{
  const auto parts = aRequest.PathParts();
  Call call;
  call.m_service = ServiceId(parts[2]);
  call.m_method = parts[3];
  BOOST_LEAF_ASSIGN(
    call.m_team,
    m_cell.m_settings.Authenticate(aContext.m_key, aContext.m_queue));
  const auto service = m_cell.m_settings.Tree().Service(call.m_service);
  if (!service) {
    return Fail(Verdict::NotRun,
                ErrorCode::NotFound,
                "there is no service '" + call.m_service.Value() +
                  "' in the settings");
  }
  const auto& idempotent = service->m_idempotentMethods;
  call.m_idempotent = std::ranges::count(idempotent, call.m_method) > 0;
  if (!call.m_idempotent && aContext.m_idempotencyKey.empty()) {
    return Fail(Verdict::NotRun,
                ErrorCode::BadInput,
                "method '" + call.m_method +
                  "' is not idempotent; the header Idempotency-Key is missing");
  }
  const std::size_t maxBody = MaxBodyBytes(m_cell.m_settings.Tree());
  if (aRequest.m_body.size() > maxBody) {
    return Fail(Verdict::NotRun,
                ErrorCode::TooLarge,
                "the body has " + std::to_string(aRequest.m_body.size()) +
                  " bytes; at most " + std::to_string(maxBody) + " are taken");
  }
  call.m_class = aContext.m_class;
  call.m_received = net::Loop::Now();
  call.m_deadline = call.m_received + aContext.m_deadline;
  call.m_body = aRequest.m_body;
  return call;
}

void
RequestFront::Tick()
{
  const Time now = net::Loop::Now();
  Carry(m_forwards.OnTick(now));
  Carry(m_once.OnTick(now));
  ArmTimer();
}

void
RequestFront::ArmTimer()
{
  for (const auto& wakeup : { m_forwards.NextWakeup(), m_once.NextWakeup() }) {
    if (wakeup) {
      m_cell.m_runtime.OwnerTimer().CallBy(*wakeup);
    }
  }
}

void
RequestFront::Carry(const routing::OnceActions& aActions)
{
  for (const routing::OnceAction& action : aActions) {
    std::visit([this](const auto& aOne) { CarryOne(aOne); }, action);
  }
  ArmTimer();
}

void
RequestFront::CarryOne(const routing::WriteRecord& aWrite)
{
  table::RecordWrite write;
  write.m_key = aWrite.m_key;
  write.m_expected = aWrite.m_expected;
  write.m_value = aWrite.m_value;
  write.m_deadline = aWrite.m_deadline;
  m_cell.m_runtime.Table().WriteRecord(
    std::move(write),
    [this, call = aWrite.m_call, step = aWrite.m_step](
      const table::RecordResult& aResult) {
      Carry(m_once.OnWritten(
        net::Loop::Now(), call, step, aResult.m_state, aResult.m_version));
    });
}

void
RequestFront::CarryOne(const routing::ReadRecord& aRead)
{
  table::Read read;
  read.m_keys.push_back(aRead.m_key);
  m_cell.m_runtime.Table().Fetch(
    "records",
    read,
    [this, call = aRead.m_call, key = aRead.m_key](
      const table::ReadResult& aResult) {
      std::optional<table::Row> row;
      if (aResult.m_ok) {
        const auto found = aResult.m_rows.find(key);
        row = found == aResult.m_rows.end() ? table::Row() : found->second;
      }
      Carry(m_once.OnRead(net::Loop::Now(), call, row));
    });
}

void
RequestFront::CarryOne(const routing::ForwardCall& aForward)
{
  Forward(aForward.m_call, {});
}

void
RequestFront::CarryOne(const routing::ReplyToCaller& aReply)
{
  ReplyToCaller(aReply.m_call, aReply.m_reply);
}

void
RequestFront::Carry(const routing::ForwardOutcomes& aOutcomes)
{
  for (const routing::ForwardOutcome& outcome : aOutcomes) {
    std::visit([this](const auto& aOne) { CarryOne(aOne); }, outcome);
  }
  ArmTimer();
}

void
RequestFront::CarryOne(const routing::DeliverAnswer& aAnswer)
{
  routing::OwnerReply reply;
  reply.m_answer = aAnswer.m_answer;
  EndForward(aAnswer.m_call, reply);
}

void
RequestFront::CarryOne(const routing::FailCall& aFailure)
{
  routing::OwnerReply reply;
  reply.m_error = aFailure.m_error;
  reply.m_retryAfter = aFailure.m_retryAfter;
  EndForward(aFailure.m_call, reply);
}

void
RequestFront::CarryOne(const routing::TryElsewhere& aRetry)
{
  Forward(aRetry.m_call, aRetry.m_tried);
}

void
RequestFront::Forward(routing::CallId aCall, const std::set<SliceId>& aTried)
{
  const auto call = m_calls.find(aCall);
  if (call == m_calls.end()) {
    return;
  }
  const auto slice = m_chooser.Choose(SlicesOf(call->second.m_service), aTried);
  const auto owner =
    slice ? m_cell.OwnerOf(slice->m_slice) : std::optional<MemberInfo>();
  if (!owner) {
    CarryOne(m_forwards.GiveUp(aCall));
    return;
  }
  SendTo(aCall, *slice, *owner);
}

void
RequestFront::LeaveSuspectOwners()
{
  for (const MemberInfo& member : m_cell.m_membership.Members()) {
    if (!m_cell.m_membership.IsSuspect(member.m_vm)) {
      continue;
    }
    for (const auto& waiting : m_forwards.WaitingFor(member.m_vm)) {
      const ServiceId& service = m_calls.at(waiting.m_call).m_service;
      const auto slice = m_chooser.Choose(SlicesOf(service), waiting.m_tried);
      const auto owner = slice && !slice->m_suspect
                           ? m_cell.OwnerOf(slice->m_slice)
                           : std::optional<MemberInfo>();
      if (owner && m_forwards.LeaveOwner(waiting.m_call)) {
        SendTo(waiting.m_call, *slice, *owner);
      }
    }
  }
}

void
RequestFront::SendTo(routing::CallId aCall,
                     const routing::SliceLoad& aSlice,
                     const MemberInfo& aOwner)
{
  const Call& call = m_calls.at(aCall);
  const auto forward = m_forwards.Send(aCall, aSlice.m_slice, aOwner.m_vm);
  observe::Event event;
  event.m_kind = EventKind::RequestForwarded;
  event.m_request = ToText({ m_cell.m_runtime.Self(),
                             m_cell.m_runtime.ProcessIncarnation(),
                             forward });
  event.m_team = call.m_team;
  event.m_vm = aOwner.m_vm;
  event.m_detail = aSlice.m_slice.Value();
  m_cell.m_runtime.Record(event);
  if (aOwner.m_vm == m_cell.m_runtime.Self()) {
    if (ServiceSliceOwner* local = m_localOwner(aSlice.m_slice)) {
      SendLocal(forward, call, *local);
      return;
    }
  }
  const Duration remaining = call.m_deadline - net::Loop::Now();
  peer::ForwardRequest message;
  message.m_slice = aSlice.m_slice;
  message.m_service = call.m_service;
  message.m_method = call.m_method;
  message.m_team = call.m_team;
  message.m_requestId = std::to_string(forward);
  message.m_class = call.m_class;
  message.m_idempotent = call.m_idempotent;
  message.m_remaining = std::max(remaining, Duration(milliseconds(1)));
  message.m_body = call.m_body;
  CountBytes(aSlice.m_region, "sent", call.m_body.size());
  m_cell.m_membership.Call(aOwner,
                           message,
                           message.m_remaining,
                           [this, forward, region = aSlice.m_region](
                             const peer::PeerOutcome& aOutcome) {
                             OnPeerOutcome(forward, region, aOutcome);
                           });
}

void
RequestFront::SendLocal(routing::ForwardId aForward,
                        const Call& aCall,
                        ServiceSliceOwner& aOwner)
{
  OwnedRequest owned;
  owned.m_request.m_id = { m_cell.m_runtime.Self(),
                           m_cell.m_runtime.ProcessIncarnation(),
                           aForward };
  owned.m_request.m_team = aCall.m_team;
  owned.m_request.m_class = aCall.m_class;
  owned.m_request.m_deadline = aCall.m_deadline;
  owned.m_request.m_idempotent = aCall.m_idempotent;
  owned.m_method = aCall.m_method;
  owned.m_body = aCall.m_body;
  aOwner.Admit(owned, [this, aForward](const routing::OwnerReply& aReply) {
    // The reply may come while the request is being admitted; the call is
    // finished outside of the owner's code.
    m_cell.m_runtime.Loop().After(Duration::zero(), [this, aForward, aReply] {
      Carry(m_forwards.OnReply(net::Loop::Now(), aForward, aReply));
    });
  });
}

void
RequestFront::CountBytes(const RegionId& aRegion,
                         std::string_view aDirection,
                         std::size_t aBytes)
{
  m_chooser.CountBytes(aRegion, aBytes);
  if (aRegion != m_cell.m_runtime.Config().m_region) {
    m_cell.m_runtime.Metrics().Add(Metric::CrossRegionBytes,
                                   { aRegion.Value(), aDirection },
                                   static_cast<double>(aBytes));
  }
}

void
RequestFront::OnPeerOutcome(routing::ForwardId aForward,
                            const RegionId& aRegion,
                            const peer::PeerOutcome& aOutcome)
{
  routing::OwnerReply reply;
  reply.m_error = aOutcome.m_error;
  if (aOutcome.m_reply) {
    if (const auto* answer = std::get_if<peer::Answer>(&*aOutcome.m_reply)) {
      CountBytes(aRegion, "received", answer->m_body.size());
      reply = FromPeerAnswer(*answer);
    } else {
      reply.m_error = { Verdict::MayHaveRun,
                        ErrorCode::Internal,
                        "the owner sent a reply of another kind" };
    }
  }
  Carry(m_forwards.OnReply(net::Loop::Now(), aForward, std::move(reply)));
}

void
RequestFront::EndForward(routing::CallId aCall,
                         const routing::OwnerReply& aReply)
{
  const auto call = m_calls.find(aCall);
  if (call != m_calls.end() && call->second.m_idempotent) {
    ReplyToCaller(aCall, aReply);
    return;
  }
  Carry(m_once.OnForwardEnd(net::Loop::Now(), WallMicros(), aCall, aReply));
}

void
RequestFront::ReplyToCaller(routing::CallId aCall,
                            const routing::OwnerReply& aReply)
{
  auto call = m_calls.extract(aCall);
  if (call.empty()) {
    return;
  }
  const Call& ended = call.mapped();
  const bool answered = aReply.m_answer.has_value();
  auto& metrics = m_cell.m_runtime.Metrics();
  metrics.Add(
    Metric::Requests,
    { answered ? NameOf(Verdict::Ran) : NameOf(aReply.m_error.m_verdict),
      answered ? "none" : NameOf(aReply.m_error.m_code) });
  const Duration waited = net::Loop::Now() - ended.m_received;
  metrics.Observe(Metric::WaitingSeconds,
                  std::chrono::duration<double>(waited).count(),
                  { NameOf(ended.m_class) });
  ended.m_reply(ToResponse(aReply));
}

std::vector<routing::SliceLoad>
RequestFront::SlicesOf(const ServiceId& aService) const
{
  const Time now = net::Loop::Now();
  std::vector<routing::SliceLoad> slices;
  for (const auto& [id, slice] : m_cell.m_slices) {
    if (slice.m_kind != vmlist::SliceKind::Service ||
        slice.m_service != aService) {
      continue;
    }
    routing::SliceLoad load;
    load.m_slice = id;
    load.m_region = slice.m_region;
    load.m_owner = m_cell.m_membership.Machine().OwnerOf(id);
    load.m_reachable = !load.m_owner.empty();
    load.m_suspect = m_cell.m_membership.IsSuspect(load.m_owner);
    const auto seen = m_cell.m_loads.Find(now, load.m_owner, id);
    load.m_load = seen ? seen->m_load : 0.0;
    slices.push_back(load);
  }
  return slices;
}

} // namespace lacewing::daemon
