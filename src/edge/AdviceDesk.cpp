#include "edge/AdviceDesk.h"

namespace lacewing::edge {

namespace {

/// A question about a hundred workers takes about a second; a longer silence is
/// a failure.
constexpr Duration kQuestionTimeout = milliseconds(2500);

} // namespace

AdviceDesk::AdviceDesk(platform::WorkerClient& aClient,
                       std::optional<net::Address> aPolicyService)
  : m_client(aClient)
  , m_policyService(std::move(aPolicyService))
{
}

void
AdviceDesk::Ask(const pool::AskAdvice& aQuestion, Done aDone)
{
  if (!m_policyService) {
    aDone(std::nullopt);
    return;
  }
  m_queue.push_back({ aQuestion, std::move(aDone) });
  Next();
}

void
AdviceDesk::Next()
{
  if (m_busy || m_queue.empty()) {
    return;
  }
  m_busy = true;
  Entry entry = std::move(m_queue.front());
  m_queue.pop_front();
  m_client.Ask(*m_policyService,
               entry.m_question,
               kQuestionTimeout,
               [this, done = std::move(entry.m_done)](const Good& aGood) {
                 m_busy = false;
                 done(aGood);
                 Next();
               });
}

} // namespace lacewing::edge
