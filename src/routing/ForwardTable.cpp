#include "routing/ForwardTable.h"

#include <algorithm>

namespace lacewing::routing {

ForwardTable::ForwardTable(ForwardOptions aOptions)
  : m_options(aOptions)
  , m_budget(aOptions.m_retryRatio, aOptions.m_retryBurst)
{
}

void
ForwardTable::Open(CallId aCall, Time aDeadline, bool aIdempotent)
{
  Call call;
  call.m_deadline = aDeadline;
  call.m_idempotent = aIdempotent;
  m_calls.insert_or_assign(aCall, std::move(call));
  m_deadlines.emplace(aDeadline, aCall);
  m_budget.OnRequest();
}

ForwardId
ForwardTable::Send(CallId aCall, const SliceId& aSlice, const VmId& aOwner)
{
  Call& call = m_calls.at(aCall);
  call.m_forward = m_nextForward++;
  call.m_owner = aOwner;
  call.m_tried.insert(aSlice);
  ++call.m_tries;
  m_forwards.emplace(call.m_forward, aCall);
  ++m_counters.m_sent;
  return call.m_forward;
}

FailCall
ForwardTable::GiveUp(CallId aCall)
{
  const Call& call = m_calls.at(aCall);
  FailCall fail{ aCall, call.m_lastError, call.m_retryAfter };
  Close(aCall);
  return fail;
}

void
ForwardTable::Close(CallId aCall)
{
  const auto found = m_calls.find(aCall);
  m_deadlines.erase({ found->second.m_deadline, aCall });
  m_forwards.erase(found->second.m_forward);
  m_calls.erase(found);
}

ForwardOutcomes
ForwardTable::OnReply(Time aNow, ForwardId aForward, OwnerReply aReply)
{
  const auto found = m_forwards.find(aForward);
  if (found == m_forwards.end()) {
    ++m_counters.m_lateReplies;
    return {};
  }
  const CallId call = found->second;
  if (aReply.m_answer) {
    Close(call);
    return { DeliverAnswer{ call, std::move(*aReply.m_answer) } };
  }
  return { OnError(
    aNow, call, std::move(aReply.m_error), aReply.m_retryAfter) };
}

ForwardOutcome
ForwardTable::OnError(Time aNow,
                      CallId aCall,
                      Error aError,
                      Duration aRetryAfter)
{
  Call& call = m_calls.at(aCall);
  m_forwards.erase(call.m_forward);
  call.m_forward = 0;
  const bool again = MayTryElsewhere(aNow, call, aError);
  call.m_mayHaveRun |= aError.m_verdict != Verdict::NotRun;
  if (call.m_mayHaveRun && aError.m_verdict == Verdict::NotRun) {
    aError.m_verdict = Verdict::MayHaveRun;
  }
  call.m_lastError = std::move(aError);
  call.m_retryAfter = aRetryAfter;
  if (!again) {
    return GiveUp(aCall);
  }
  ++m_counters.m_triedElsewhere;
  return TryElsewhere{ aCall, call.m_tried };
}

bool
ForwardTable::MayTryElsewhere(Time aNow, const Call& aCall, const Error& aError)
{
  if (aNow >= aCall.m_deadline || aCall.m_tries >= m_options.m_maxTries) {
    return false;
  }
  const bool safe = aError.m_verdict == Verdict::NotRun || aCall.m_idempotent ||
                    !m_options.m_safeguards.m_noRetryAfterMayHaveRun;
  return safe && m_budget.TryRetry();
}

ForwardOutcomes
ForwardTable::OnOwnerLost(Time aNow, const VmId& aOwner)
{
  std::vector<CallId> lost;
  for (const auto& [forward, call] : m_forwards) {
    if (m_calls.at(call).m_owner == aOwner) {
      lost.push_back(call);
    }
  }
  std::sort(lost.begin(), lost.end());
  ForwardOutcomes outcomes;
  for (const CallId call : lost) {
    outcomes.push_back(
      OnError(aNow,
              call,
              Error{ Verdict::MayHaveRun,
                     ErrorCode::Unavailable,
                     "connection to owner " + aOwner.Value() + " broke" },
              Duration::zero()));
  }
  return outcomes;
}

std::vector<TryElsewhere>
ForwardTable::WaitingFor(const VmId& aOwner) const
{
  std::vector<TryElsewhere> waiting;
  for (const auto& [forward, id] : m_forwards) {
    const Call& call = m_calls.at(id);
    if (call.m_owner == aOwner && call.m_idempotent &&
        call.m_tries < m_options.m_maxTries) {
      waiting.push_back({ id, call.m_tried });
    }
  }
  std::ranges::sort(waiting, {}, &TryElsewhere::m_call);
  return waiting;
}

bool
ForwardTable::LeaveOwner(CallId aCall)
{
  if (!m_budget.TryRetry()) {
    return false;
  }
  Call& call = m_calls.at(aCall);
  m_forwards.erase(call.m_forward);
  call.m_forward = 0;
  call.m_mayHaveRun = true;
  call.m_lastError = { Verdict::MayHaveRun,
                       ErrorCode::Unavailable,
                       "owner " + call.m_owner.Value() + " does not answer" };
  ++m_counters.m_triedElsewhere;
  return true;
}

ForwardOutcomes
ForwardTable::OnTick(Time aNow)
{
  ForwardOutcomes outcomes;
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= aNow) {
    const CallId id = m_deadlines.begin()->second;
    const Call& call = m_calls.at(id);
    const bool outstanding = call.m_forward != 0;
    const Verdict verdict =
      outstanding || call.m_mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
    outcomes.emplace_back(FailCall{
      id,
      Error{ verdict, ErrorCode::DeadlineExceeded, "deadline exceeded" },
      Duration::zero() });
    Close(id);
  }
  return outcomes;
}

std::optional<Time>
ForwardTable::NextWakeup() const
{
  if (m_deadlines.empty()) {
    return std::nullopt;
  }
  return m_deadlines.begin()->first;
}

} // namespace lacewing::routing
