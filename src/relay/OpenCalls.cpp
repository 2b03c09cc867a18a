#include "relay/OpenCalls.h"

#include <utility>

namespace lacewing::relay {

CallId
OpenCalls::Add(Time aUntil, Done aDone)
{
  const CallId call = ++m_last;
  m_calls.emplace(call, std::move(aDone));
  m_expiries.emplace(aUntil, call);
  return call;
}

void
OpenCalls::End(const Answer& aAnswer)
{
  // Removed first, since the callback may add calls or abandon all of them.
  auto call = m_calls.extract(aAnswer.m_call);
  if (!call.empty()) {
    call.mapped()(aAnswer);
  }
}

void
OpenCalls::OnAnswer(const Answer& aAnswer)
{
  End(aAnswer);
}

void
OpenCalls::Expire(Time aNow)
{
  while (!m_expiries.empty() && m_expiries.top().first <= aNow) {
    Answer answer;
    answer.m_call = m_expiries.top().second;
    m_expiries.pop();
    End(answer);
  }
}

void
OpenCalls::Abandon(CallId aFirstUnsent)
{
  m_expiries = {};
  for (auto& [call, done] : std::exchange(m_calls, {})) {
    Answer answer;
    answer.m_call = call;
    if (call >= aFirstUnsent) {
      answer.m_state = platform::CommandState::NotSent;
      answer.m_outcome = pool::StartOutcome::NotSent;
    }
    done(answer);
  }
}

} // namespace lacewing::relay
