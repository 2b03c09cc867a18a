#include "daemon/EntryDaemon.h"

#include "daemon/PeerPayloads.h"

#include <charconv>

namespace lacewing::daemon {

namespace {

using observe::Metric;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

std::optional<std::uint64_t>
ParseNumber(const std::string& aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace

void
EntryDaemon::HandleCaller(const net::HttpRequest& aRequest,
                          const net::HttpReply& aReply)
{
  if (RouteProbe(aRequest, aReply)) {
    return;
  }
  leaf::try_handle_all(
    [&] { return Route(aRequest, aReply); },
    [&](const Error& aError) { aReply(net::ErrorResponse(aError)); },
    [&] { aReply(net::ErrorResponse({})); });
}

bool
EntryDaemon::RouteProbe(const net::HttpRequest& aRequest,
                        const net::HttpReply& aReply)
{
  if (aRequest.m_path == "/healthz") {
    aReply(net::JsonResponse(kOk, "{}"));
    return true;
  }
  if (aRequest.m_path == "/readyz") {
    aReply(net::JsonResponse(IsReady() ? kOk : kUnavailable, "{}"));
    return true;
  }
  if (aRequest.m_path == "/metrics") {
    net::HttpResponse response;
    response.m_headers["Content-Type"] = "text/plain; version=0.0.4";
    response.m_body = m_runtime.Metrics().Text();
    aReply(response);
    return true;
  }
  return false;
}

bool
EntryDaemon::IsReady() const
{
  return !m_stopping && m_membership.Machine().IsActive() &&
         m_settings.Store().Ready() && !m_slices.empty();
}

Result<void>
EntryDaemon::Route(const net::HttpRequest& aRequest,
                   const net::HttpReply& aReply)
{
  if (OperatorApi::Handles(aRequest)) {
    return m_operators.Serve(aRequest, aReply);
  }
  if (!m_settings.Store().Ready()) {
    return Fail(Verdict::NotRun,
                ErrorCode::Unavailable,
                "this entry daemon is starting and has no settings yet");
  }
  const auto parts = aRequest.PathParts();
  const bool isV1 = parts.size() >= 2 && parts[0] == "v1";
  if (isV1 && parts[1] == "services" && parts.size() == 4 &&
      aRequest.m_method == "POST") {
    return m_requests.Serve(aRequest, aReply);
  }
  if (isV1 && parts[1] == "jobs") {
    return RouteJob(aRequest, aReply);
  }
  return Fail(Verdict::NotRun,
              ErrorCode::NotFound,
              "no such path: " + aRequest.m_method + " " + aRequest.m_path);
}

Result<void>
EntryDaemon::RouteJob(const net::HttpRequest& aRequest,
                      const net::HttpReply& aReply)
{
  const auto parts = aRequest.PathParts();
  const std::string& method = aRequest.m_method;
  if (parts.size() == 2 && method == "POST") {
    return m_jobs.Submit(aRequest, aReply);
  }
  if (parts.size() == 3 && method == "GET") {
    return m_jobs.Ask(aRequest, JobQuestion::Status, aReply);
  }
  if (parts.size() == 3 && method == "DELETE") {
    return m_jobs.Ask(aRequest, JobQuestion::Cancel, aReply);
  }
  if (parts.size() == 4 && parts[3] == "explain") {
    return m_jobs.Ask(aRequest, JobQuestion::Explain, aReply);
  }
  if (parts.size() == 4 && parts[3] == "run-again" && method == "POST") {
    return m_jobs.Ask(aRequest, JobQuestion::RunAgain, aReply);
  }
  if (parts.size() == 4 && parts[3] == "give-up" && method == "POST") {
    return m_jobs.Ask(aRequest, JobQuestion::GiveUp, aReply);
  }
  return Fail(Verdict::NotRun,
              ErrorCode::NotFound,
              "no such path: " + method + " " + aRequest.m_path);
}

void
EntryDaemon::HandlePeer(const peer::PeerIdentity& aFrom,
                        const peer::PeerMessage& aMessage,
                        const peer::PeerReply& aReply)
{
  if (const auto* opaque = std::get_if<peer::Opaque>(&aMessage)) {
    HandleOpaque(aFrom.m_vm, *opaque);
    aReply(peer::Acknowledgement());
  } else if (const auto* beat = std::get_if<peer::Heartbeat>(&aMessage)) {
    const peer::HeartbeatReply reply =
      m_loads.OnHeartbeat(net::Loop::Now(), *beat);
    for (const peer::ReleasedSlice& released : beat->m_released) {
      const auto owner = m_serviceOwners.find(released.m_slice);
      if (owner != m_serviceOwners.end()) {
        owner->second->OnEarlierOwner(released);
      }
    }
    aReply(reply);
  } else if (const auto* forward =
               std::get_if<peer::ForwardRequest>(&aMessage)) {
    HandleForward(aFrom, *forward, aReply);
  } else if (const auto* submit = std::get_if<peer::SubmitJob>(&aMessage)) {
    aReply(m_jobs.OnSubmitJob(*submit));
  } else if (const auto* query = std::get_if<peer::QueryJob>(&aMessage)) {
    aReply(m_jobs.OnQuestion(query->m_body));
  } else {
    aReply(peer::Refusal{ { Verdict::NotRun,
                            ErrorCode::BadInput,
                            "no daemon handles messages of this kind" } });
  }
}

void
EntryDaemon::HandleOpaque(const VmId& aFrom, const peer::Opaque& aMessage)
{
  leaf::try_handle_all(
    [&]() -> Result<void> {
      if (aMessage.m_kind == kOwnershipKind) {
        BOOST_LEAF_AUTO(message, UnpackOwnership(aMessage.m_text));
        m_membership.OnPeerMessage(aFrom, message);
      } else if (aMessage.m_kind == kSettingsKind) {
        BOOST_LEAF_AUTO(message, UnpackSettings(aMessage.m_text));
        m_settings.OnPeerMessage(aFrom, message);
      } else {
        m_runtime.Metrics().Add(Metric::PeerRefusals, { "unknown_kind" });
      }
      return {};
    },
    [&] {
      m_runtime.Metrics().Add(Metric::PeerRefusals, { "malformed_payload" });
    });
}

void
EntryDaemon::HandleForward(const peer::PeerIdentity& aFrom,
                           const peer::ForwardRequest& aMessage,
                           const peer::PeerReply& aReply)
{
  const auto owner = m_serviceOwners.find(aMessage.m_slice);
  if (owner == m_serviceOwners.end() ||
      !m_membership.Machine().MayAct(net::Loop::Now(), aMessage.m_slice)) {
    aReply(peer::Refusal{
      { Verdict::NotRun,
        ErrorCode::NotOwner,
        "slice " + aMessage.m_slice.Value() + " is not owned here" } });
    return;
  }
  const auto number = ParseNumber(aMessage.m_requestId);
  if (!number) {
    aReply(peer::Refusal{
      { Verdict::NotRun,
        ErrorCode::BadInput,
        "request id '" + aMessage.m_requestId + "' is not a number" } });
    return;
  }
  OwnedRequest owned;
  owned.m_request.m_id = { aFrom.m_vm, aFrom.m_incarnation, *number };
  owned.m_request.m_team = aMessage.m_team;
  owned.m_request.m_class = aMessage.m_class;
  owned.m_request.m_deadline = net::Loop::Now() + aMessage.m_remaining;
  owned.m_request.m_idempotent = aMessage.m_idempotent;
  owned.m_method = aMessage.m_method;
  owned.m_body = aMessage.m_body;
  owner->second->Admit(owned, [aReply](const routing::OwnerReply& aOwnerReply) {
    aReply(ToPeerAnswer(aOwnerReply));
  });
}

} // namespace lacewing::daemon
