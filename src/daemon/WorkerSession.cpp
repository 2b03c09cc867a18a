#include "daemon/WorkerSession.h"

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
  aRequest.m_sequence = ++m_sequence;
  aRequest.m_endedSeen = EndedSeen();
  m_busy = true;
  m_runtime.Workers().Control(
    m_address,
    aRequest,
    kControlTimeout,
    [weak = weak_from_this(),
     commands = aRequest.m_commands](const worker::ControlOutcome& aOutcome) {
      if (const auto self = weak.lock()) {
        self->OnOutcome(aOutcome, commands);
      }
    });
}

void
WorkerSession::OnOutcome(const worker::ControlOutcome& aOutcome,
                         const std::vector<worker::Command>& aCommands)
{
  m_busy = false;
  if (m_closed) {
    return;
  }
  m_handler(aOutcome, aCommands);
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
