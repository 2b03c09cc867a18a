#include "daemon/ServiceSliceOwner.h"

#include <algorithm>
#include <limits>

namespace lacewing::daemon {

namespace {

using observe::EventKind;
using observe::Metric;

constexpr Duration kStatusTimeout = seconds(1);
/// Load of a slice without an endpoint that takes work: above that of any other
/// slice, since a front sends requests to the less loaded of two.
constexpr double kLoadWithoutSlots = 1e6;

int
ToInt(std::int64_t aValue)
{
  constexpr std::int64_t kMax = std::numeric_limits<int>::max();
  return static_cast<int>(std::clamp<std::int64_t>(aValue, 0, kMax));
}

} // namespace

std::string
ToText(const routing::RequestId& aId)
{
  return aId.m_front.Value() + "/" + std::to_string(aId.m_incarnation) + "/" +
         std::to_string(aId.m_number);
}

ServiceSliceOwner::ServiceSliceOwner(Runtime& aRuntime,
                                     SliceId aSlice,
                                     Epoch aEpoch,
                                     routing::RouterOptions aOptions)
  : m_runtime(aRuntime)
  , m_slice(std::move(aSlice))
  , m_epoch(aEpoch)
  , m_router(net::Loop::Now(), aOptions, aRuntime.Random())
{
}

void
ServiceSliceOwner::Adopt(const routing::BusyCounts& aCounts)
{
  m_router.Adopt(net::Loop::Now(), aCounts);
  ArmTimer();
}

void
ServiceSliceOwner::OnEarlierOwner(const peer::ReleasedSlice& aReleased)
{
  if (aReleased.m_epoch + 1 != m_epoch) {
    return;
  }
  routing::BusyCounts counts;
  for (const peer::EndpointBusy& busy : aReleased.m_busy) {
    counts.m_byEndpoint[busy.m_endpoint] = static_cast<int>(busy.m_slots);
  }
  Carry(m_router.OnEarlierOwner(net::Loop::Now(), counts));
}

peer::ReleasedSlice
ServiceSliceOwner::Remaining() const
{
  peer::ReleasedSlice released;
  released.m_slice = m_slice;
  released.m_epoch = m_epoch;
  for (const auto& [vm, count] : m_router.CountBusy().m_byEndpoint) {
    released.m_busy.push_back({ vm, static_cast<std::uint32_t>(count) });
  }
  return released;
}

void
ServiceSliceOwner::UpdateEndpoints(const std::vector<vmlist::Vm>& aVms)
{
  std::vector<routing::EndpointInfo> list;
  for (const vmlist::Vm& vm : aVms) {
    m_addresses[vm.m_vm] = vm.m_address;
    list.push_back({ vm.m_vm,
                     vm.m_slots,
                     vm.m_connections,
                     vm.m_state == vmlist::VmState::Leaving });
  }
  Carry(m_router.UpdateEndpoints(net::Loop::Now(), list));
}

void
ServiceSliceOwner::SetTeam(const TeamId& aTeam,
                           const settings::TeamSettings& aSettings)
{
  m_router.SetTeamWeight(aTeam, aSettings.m_weight);
  if (!aSettings.m_limitRequests) {
    SetAllotment(aTeam, std::numeric_limits<int>::max());
  }
}

void
ServiceSliceOwner::SetAllotment(const TeamId& aTeam, std::int64_t aRequests)
{
  Carry(m_router.SetAllotment(net::Loop::Now(), aTeam, ToInt(aRequests)));
}

void
ServiceSliceOwner::SetAuthorityEnd(Time aEnd)
{
  Carry(m_router.SetAuthorityEnd(net::Loop::Now(), aEnd));
}

void
ServiceSliceOwner::Admit(const OwnedRequest& aRequest, OwnerReplyHandler aReply)
{
  const routing::RequestId& id = aRequest.m_request.m_id;
  const auto [entry, isNew] =
    m_open.try_emplace(id, Open{ aRequest, std::move(aReply) });
  if (!isNew) {
    // A duplicated forward; the router has answered or will answer the first.
    return;
  }
  RecordRequest(EventKind::RequestAdmitted, entry->second, {}, "");
  Carry(m_router.Admit(net::Loop::Now(), aRequest.m_request));
}

void
ServiceSliceOwner::Tick()
{
  const Time now = net::Loop::Now();
  const auto wakeup = m_router.NextWakeup(now);
  if (wakeup && *wakeup <= now) {
    Carry(m_router.OnTick(now));
  }
  ArmTimer();
}

void
ServiceSliceOwner::ArmTimer()
{
  if (const auto wakeup = m_router.NextWakeup(net::Loop::Now())) {
    m_runtime.OwnerTimer().CallBy(*wakeup);
  }
}

void
ServiceSliceOwner::BeginDrain()
{
  Carry(m_router.BeginDrain(net::Loop::Now()));
}

int
ServiceSliceOwner::WaitingOf(const TeamId& aTeam) const
{
  const auto open = std::ranges::count_if(m_open, [&](const auto& aEntry) {
    return aEntry.second.m_request.m_request.m_team == aTeam;
  });
  return std::max(static_cast<int>(open) - m_router.RunningOf(aTeam), 0);
}

double
ServiceSliceOwner::Load() const
{
  const auto work = m_router.QueuedCount() + m_router.RunningCount();
  const int slots = m_router.TotalSlots();
  return slots > 0 ? static_cast<double>(work) / slots : kLoadWithoutSlots;
}

void
ServiceSliceOwner::Carry(const routing::Actions& aActions)
{
  for (const routing::Action& action : aActions) {
    std::visit([this](const auto& aOne) { CarryOne(aOne); }, action);
  }
  ArmTimer();
}

void
ServiceSliceOwner::CarryOne(const routing::Dispatch& aDispatch)
{
  const auto open = m_open.find(aDispatch.m_request);
  const auto address = m_addresses.find(aDispatch.m_endpoint);
  if (open == m_open.end() || address == m_addresses.end()) {
    Carry(m_router.OnEndpointFailure(
      net::Loop::Now(),
      aDispatch.m_attempt,
      { Verdict::NotRun, "the endpoint's address is unknown" }));
    return;
  }
  const OwnedRequest& owned = open->second.m_request;
  endpoint::DispatchRequest request;
  request.m_requestId =
    endpoint::RequestIdHeader(m_slice, m_epoch, aDispatch.m_attempt);
  request.m_path = "/" + owned.m_method;
  request.m_body = owned.m_body;
  request.m_remaining = aDispatch.m_deadline - net::Loop::Now();
  RecordRequest(
    EventKind::RequestDispatched, open->second, aDispatch.m_endpoint, "");
  m_runtime.Endpoints().Dispatch(address->second,
                                 request,
                                 request.m_remaining + routing::kMaxDeadline,
                                 [weak = weak_from_this(), aDispatch](
                                   const endpoint::DispatchOutcome& aOutcome) {
                                   if (const auto self = weak.lock()) {
                                     self->OnDispatched(aDispatch, aOutcome);
                                   }
                                 });
}

void
ServiceSliceOwner::OnDispatched(const routing::Dispatch& aDispatch,
                                const endpoint::DispatchOutcome& aOutcome)
{
  const Time now = net::Loop::Now();
  const auto late = m_router.Counters().m_lateAnswers;
  if (aOutcome.m_answer) {
    Carry(m_router.OnEndpointAnswer(
      now, aDispatch.m_attempt, aDispatch.m_endpoint, *aOutcome.m_answer));
  } else {
    Carry(m_router.OnEndpointFailure(
      now,
      aDispatch.m_attempt,
      { aOutcome.m_error.m_verdict, aOutcome.m_error.m_message }));
  }
  m_runtime.Metrics().Add(
    Metric::LateAnswersDropped,
    {},
    static_cast<double>(m_router.Counters().m_lateAnswers - late));
}

void
ServiceSliceOwner::CarryOne(const routing::Answer& aAnswer)
{
  routing::OwnerReply reply;
  reply.m_answer = aAnswer.m_answer;
  Reply(aAnswer.m_request, reply);
}

void
ServiceSliceOwner::CarryOne(const routing::Refuse& aRefusal)
{
  routing::OwnerReply reply;
  reply.m_error = aRefusal.m_error;
  reply.m_retryAfter = aRefusal.m_retryAfter;
  Reply(aRefusal.m_request, reply);
}

void
ServiceSliceOwner::CarryOne(const routing::Probe& aProbe)
{
  const routing::StatusQuery query = aProbe.m_query;
  const auto answer = [weak = weak_from_this(), query](
                        const std::optional<routing::EndpointStatus>& aStatus) {
    if (const auto self = weak.lock()) {
      self->Carry(
        self->m_router.OnEndpointStatus(net::Loop::Now(), query, aStatus));
    }
  };
  const auto address = m_addresses.find(query.m_vm);
  if (address == m_addresses.end()) {
    m_runtime.Loop().After(Duration::zero(), [answer] { answer({}); });
    return;
  }
  m_runtime.Endpoints().FetchStatus(address->second, kStatusTimeout, answer);
}

void
ServiceSliceOwner::Reply(const routing::RequestId& aRequest,
                         const routing::OwnerReply& aReply)
{
  auto open = m_open.extract(aRequest);
  if (open.empty()) {
    return;
  }
  const bool answered = aReply.m_answer.has_value();
  RecordRequest(answered ? EventKind::RequestAnswered
                         : EventKind::RequestRefused,
                open.mapped(),
                {},
                answered ? "" : aReply.m_error.m_message);
  open.mapped().m_reply(aReply);
}

void
ServiceSliceOwner::RecordRequest(EventKind aKind,
                                 const Open& aOpen,
                                 const VmId& aVm,
                                 const std::string& aDetail)
{
  observe::Event event;
  event.m_kind = aKind;
  event.m_request = ToText(aOpen.m_request.m_request.m_id);
  event.m_team = aOpen.m_request.m_request.m_team;
  event.m_vm = aVm;
  event.m_detail = m_slice.Value();
  if (!aDetail.empty()) {
    event.m_detail += ": " + aDetail;
  }
  m_runtime.Record(std::move(event));
}

} // namespace lacewing::daemon
