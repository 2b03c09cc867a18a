#include "edge/AdviceClient.h"

namespace lacewing::edge {

namespace {

/// A question about a hundred workers takes about a second, and waits for those
/// sent before it; a longer silence is a failure.
constexpr Duration kQuestionTimeout = milliseconds(4500);
/// Questions at the service at a time. It answers one after another; the next
/// ones are there already, so that it does not wait for the way between two.
constexpr int kMaxAtService = 4;

} // namespace

AdviceClient::AdviceClient(platform::WorkerClient& aClient,
                           std::optional<net::Address> aPolicyService)
  : m_client(aClient)
  , m_policyService(std::move(aPolicyService))
{
}

void
AdviceClient::Ask(const pool::AdviceRequest& aQuestion, Done aDone)
{
  if (!m_policyService) {
    aDone(std::nullopt);
    return;
  }
  m_queue.push_back({ aQuestion, std::move(aDone) });
  Next();
}

void
AdviceClient::Next()
{
  if (m_atService >= kMaxAtService || m_queue.empty()) {
    return;
  }
  ++m_atService;
  Entry entry = std::move(m_queue.front());
  m_queue.pop_front();
  m_client.Ask(*m_policyService,
               entry.m_question,
               kQuestionTimeout,
               [this, done = std::move(entry.m_done)](const Good& aGood) {
                 --m_atService;
                 done(aGood);
                 Next();
               });
}

} // namespace lacewing::edge
