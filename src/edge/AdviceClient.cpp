#include "edge/AdviceClient.h"

namespace lacewing::edge {

namespace {

/// The service takes about a second for a request about a hundred workers, and
/// handles the requests sent before it first. A request without a response
/// after this time counts as failed.
constexpr Duration kRequestTimeout = milliseconds(4500);
/// Limit of requests in flight. The service handles them one after another;
/// queueing a few there keeps it from idling for a network round trip between
/// two requests.
constexpr int kMaxInFlight = 4;

} // namespace

AdviceClient::AdviceClient(platform::WorkerClient& aClient,
                           std::optional<net::Address> aPolicyService)
  : m_client(aClient)
  , m_policyService(std::move(aPolicyService))
{
}

void
AdviceClient::Ask(const pool::AdviceRequest& aRequest, Done aDone)
{
  if (!m_policyService) {
    aDone(std::nullopt);
    return;
  }
  m_queue.push_back({ aRequest, std::move(aDone) });
  SendNext();
}

void
AdviceClient::SendNext()
{
  if (m_inFlight >= kMaxInFlight || m_queue.empty()) {
    return;
  }
  ++m_inFlight;
  Entry entry = std::move(m_queue.front());
  m_queue.pop_front();
  m_client.Ask(
    *m_policyService,
    entry.m_request,
    kRequestTimeout,
    [this, done = std::move(entry.m_done)](const Good& aPermissions) {
      --m_inFlight;
      done(aPermissions);
      SendNext();
    });
}

} // namespace lacewing::edge
