#include "daemon/WorkerSession.h"

#include <utility>

namespace lacewing::daemon {

namespace {

/// Shorter than the worker lease, so that a lost exchange can be followed by a
/// renewal in time.
constexpr Duration kControlTimeout = seconds(3);

} // namespace

WorkerSession::WorkerSession(Runtime& aRuntime,
                             SliceId aSlice,
                             net::Address aAddress,
                             CredentialSource aCredentials,
                             ControlHandler aHandler)
  : m_runtime(aRuntime)
  , m_slice(std::move(aSlice))
  , m_address(std::move(aAddress))
  , m_credentials(std::move(aCredentials))
  , m_handler(std::move(aHandler))
{
}

void
WorkerSession::Enqueue(const worker::Command& aCommand)
{
  m_commands.push_back(aCommand);
}

void
WorkerSession::Request(const worker::ControlRequest& aRequest)
{
  m_request = aRequest;
  Flush();
}

void
WorkerSession::Poll()
{
  if (!m_request) {
    m_request = worker::ControlRequest();
    m_request->m_slice = m_slice;
  }
  Flush();
}

void
WorkerSession::Flush()
{
  // Asked every few milliseconds for each worker, mostly with nothing waiting;
  // the credentials cost several look-ups.
  if (!NeedsFlush()) {
    return;
  }
  const auto credentials = m_credentials();
  if (credentials) {
    worker::ControlRequest request;
    request.m_slice = m_slice;
    request.m_epoch = credentials->m_epoch;
    request.m_token = credentials->m_token;
    request.m_commands = std::move(m_commands);
    m_commands.clear();
    m_request.reset();
    Send(std::move(request));
    return;
  }
  if (m_request && m_request->m_token == 0 && m_request->m_epoch != 0) {
    // An adoption; commands wait for its answer.
    worker::ControlRequest request = std::move(*m_request);
    m_request.reset();
    Send(std::move(request));
  }
}

bool
WorkerSession::NeedsFlush() const
{
  return !m_busy && !m_closed && (m_request || !m_commands.empty());
}

void
WorkerSession::Send(worker::ControlRequest aRequest)
{
  if (aRequest.m_token == 0) {
    m_inventory.Forget();
  }
  aRequest.m_sequence = ++m_sequence;
  aRequest.m_endedSeen = EndedSeen();
  aRequest.m_inventory = m_inventory.Basis(net::Loop::Now());
  m_commandsSent.insert(m_commandsSent.end(),
                        aRequest.m_commands.begin(),
                        aRequest.m_commands.end());
  m_busy = true;
  m_runtime.Workers().Control(m_address,
                              aRequest,
                              kControlTimeout,
                              [weak = weak_from_this(), sequence = m_sequence](
                                const worker::ControlOutcome& aOutcome) {
                                if (const auto self = weak.lock()) {
                                  self->OnOutcome(aOutcome, sequence);
                                }
                              });
}

void
WorkerSession::OnOutcome(const worker::ControlOutcome& aOutcome,
                         std::uint64_t aSequence)
{
  m_busy = false;
  if (m_closed) {
    return;
  }
  worker::ControlOutcome outcome = aOutcome;
  if (outcome.m_reply && outcome.m_reply->m_accepted) {
    outcome.m_reply = m_inventory.Apply(
      net::Loop::Now(), aSequence, std::move(*outcome.m_reply));
    if (!outcome.m_reply && !m_askedAgain) {
      // Without its inventory the answer does not show what the commands did.
      // Ends of tasks are repeated with the whole inventory.
      m_askedAgain = true;
      Poll();
      return;
    }
  }
  if (!outcome.m_reply && aOutcome.m_reply) {
    outcome.m_error = { Verdict::MayHaveRun,
                        ErrorCode::EndpointFailed,
                        "worker sent no whole inventory when asked for it" };
  }
  m_askedAgain = false;
  const auto commands = std::exchange(m_commandsSent, {});
  m_handler(outcome, commands);
  Flush();
}

bool
WorkerSession::NoteEnd(std::uint64_t aSequence)
{
  if (aSequence <= m_lastEnd) {
    return false;
  }
  m_lastEnd = aSequence;
  m_endsPending.insert(aSequence);
  return true;
}

void
WorkerSession::OnEndDurable(std::uint64_t aSequence)
{
  m_endsPending.erase(aSequence);
}

std::uint64_t
WorkerSession::EndedSeen() const
{
  return m_endsPending.empty() ? m_lastEnd : *m_endsPending.begin() - 1;
}

} // namespace lacewing::daemon
