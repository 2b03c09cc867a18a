#include "peer/PeerLink.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lacewing::peer {

namespace {

/// Output beyond this stays in the session, where a stream can still be reset.
constexpr std::size_t kOutputHighWaterBytes = 256 * 1024;
constexpr std::size_t kOutputLowWaterBytes = 64 * 1024;
/// Read in one turn; other connections of the loop get theirs in between.
constexpr std::size_t kReadBytes = 256 * 1024;

void
DisableNagle(bufferevent* aBuffer)
{
  const int on = 1;
  setsockopt(
    bufferevent_getfd(aBuffer), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

PeerLink::PeerLink(net::Loop& aLoop,
                   bufferevent* aBuffer,
                   SessionSide aSide,
                   PeerLimits aLimits,
                   Duration aWriteTimeout,
                   Hooks aHooks)
  : m_buffer(aBuffer)
  , m_side(aSide)
  , m_limits(aLimits)
  , m_hooks(std::move(aHooks))
  , m_flush(aLoop,
            [this] {
              const auto self = shared_from_this();
              Flush();
            })
  , m_lastActivity(net::Loop::Now())
  , m_lastReceived(m_lastActivity)
{
  constexpr Duration::rep kMicrosecondsPerSecond = 1'000'000;
  timeval timeout{};
  timeout.tv_sec = aWriteTimeout.count() / kMicrosecondsPerSecond;
  timeout.tv_usec = aWriteTimeout.count() % kMicrosecondsPerSecond;
  bufferevent_setcb(m_buffer, OnReadable, OnWritable, OnEvent, this);
  bufferevent_set_timeouts(m_buffer, nullptr, &timeout);
  bufferevent_setwatermark(m_buffer, EV_WRITE, kOutputLowWaterBytes, 0);
  bufferevent_setwatermark(m_buffer, EV_READ, 0, kReadBytes);
  // The defaults of 16 KiB cost a system call and a turn of the loop for each
  // HTTP/2 frame of that size.
  bufferevent_set_max_single_read(m_buffer, kReadBytes);
  bufferevent_set_max_single_write(m_buffer, kOutputHighWaterBytes);
}

PeerLink::~PeerLink()
{
  if (m_buffer != nullptr) {
    bufferevent_free(m_buffer);
  }
}

void
PeerLink::Begin(const net::Address* aConnectTo)
{
  if (aConnectTo == nullptr) {
    DisableNagle(m_buffer);
    bufferevent_enable(m_buffer, EV_READ | EV_WRITE);
    return;
  }
  sockaddr_storage address{};
  int size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  const auto self = shared_from_this();
  if (evutil_parse_sockaddr_port(
        aConnectTo->ToString().c_str(), generic, &size) != 0 ||
      bufferevent_socket_connect(m_buffer, generic, size) != 0) {
    Close(std::nullopt);
  }
}

void
PeerLink::ScheduleFlush()
{
  m_flush.StartSoon();
}

void
PeerLink::Shutdown()
{
  if (m_closed || m_shutdown) {
    return;
  }
  m_shutdown = true;
  if (m_session == nullptr) {
    // No request has been sent or taken before the handshake is complete.
    Close(std::nullopt);
    return;
  }
  m_session->Shutdown();
  ScheduleFlush();
}

void
PeerLink::Fail(PeerFault aFault)
{
  if (m_closed || m_fault) {
    return;
  }
  m_fault = aFault;
  bufferevent_disable(m_buffer, EV_READ);
  ScheduleFlush();
}

void
PeerLink::Close(std::optional<PeerFault> aFault)
{
  if (m_closed) {
    return;
  }
  m_closed = true;
  bufferevent_disable(m_buffer, EV_READ | EV_WRITE);
  bufferevent_setcb(m_buffer, nullptr, nullptr, nullptr, nullptr);
  bufferevent_free(m_buffer);
  m_buffer = nullptr;
  m_flush.Stop();
  m_hooks.m_onClosed(aFault);
}

void
PeerLink::OnReadable(bufferevent*, void* aSelf)
{
  const auto self = static_cast<PeerLink*>(aSelf)->shared_from_this();
  self->Read();
}

void
PeerLink::OnWritable(bufferevent*, void* aSelf)
{
  const auto self = static_cast<PeerLink*>(aSelf)->shared_from_this();
  self->Flush();
}

void
PeerLink::OnEvent(bufferevent* aBuffer, short aWhat, void* aSelf)
{
  const auto self = static_cast<PeerLink*>(aSelf)->shared_from_this();
  if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
    DisableNagle(aBuffer);
    bufferevent_enable(aBuffer, EV_READ | EV_WRITE);
    self->Send(self->m_hooks.m_start());
    return;
  }
  if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
    // Replies that arrived together with the end are still handled.
    if (!self->m_closed && !self->m_fault) {
      self->Read();
    }
    self->Close(self->m_fault);
  }
}

void
PeerLink::Read()
{
  evbuffer* input = bufferevent_get_input(m_buffer);
  const std::size_t size = evbuffer_get_length(input);
  if (size == 0) {
    return;
  }
  m_lastActivity = net::Loop::Now();
  m_lastReceived = m_lastActivity;
  m_bytes.m_received += size;
  const auto* data = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
  const std::string bytes(data, size);
  evbuffer_drain(input, size);
  if (m_session == nullptr) {
    ReadHandshake(bytes);
  } else {
    ReadSession(bytes);
  }
}

void
PeerLink::ReadHandshake(std::string_view aBytes)
{
  const HandshakeStep step = m_hooks.m_handshake(m_lastActivity, aBytes);
  Send(step.m_output);
  if (step.m_fault) {
    Fail(*step.m_fault);
    return;
  }
  if (!step.m_complete) {
    return;
  }
  m_session = std::make_unique<Http2Session>(m_side, m_limits);
  m_hooks.m_onOpen();
  ScheduleFlush();
  if (!m_closed && !step.m_rest.empty()) {
    ReadSession(step.m_rest);
  }
}

void
PeerLink::ReadSession(std::string_view aBytes)
{
  const auto fault = m_session->Feed(aBytes);
  HandleEvents();
  if (fault) {
    Fail(*fault);
  }
  if (!m_closed) {
    Flush();
  }
}

void
PeerLink::HandleEvents()
{
  for (const PeerFault fault : m_session->TakeStreamFaults()) {
    m_hooks.m_onStreamFault(fault);
  }
  for (SessionEvent& event : m_session->TakeEvents()) {
    if (m_closed) {
      return;
    }
    m_hooks.m_onEvent(event);
  }
}

void
PeerLink::Flush()
{
  if (m_closed) {
    return;
  }
  while (m_session != nullptr && UnsentBytes() < kOutputHighWaterBytes) {
    const std::string_view output = m_session->NextOutput();
    if (output.empty()) {
      break;
    }
    Send(output);
  }
  if (m_session != nullptr) {
    // Sending can end streams and find faults.
    HandleEvents();
    if (m_session->Fault() && !m_closed) {
      Fail(*m_session->Fault());
    }
  }
  CloseIfFinished();
}

void
PeerLink::Send(std::string_view aBytes)
{
  if (m_closed || aBytes.empty()) {
    return;
  }
  m_bytes.m_sent += aBytes.size();
  m_lastActivity = net::Loop::Now();
  bufferevent_write(m_buffer, aBytes.data(), aBytes.size());
}

void
PeerLink::CloseIfFinished()
{
  if (m_closed || UnsentBytes() > 0) {
    return;
  }
  if (m_fault) {
    Close(m_fault);
    return;
  }
  if (m_session != nullptr && m_session->Finished()) {
    Close(std::nullopt);
  }
}

std::size_t
PeerLink::UnsentBytes() const
{
  return evbuffer_get_length(bufferevent_get_output(m_buffer));
}

} // namespace lacewing::peer
