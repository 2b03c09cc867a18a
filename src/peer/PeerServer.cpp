#include "peer/PeerServer.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>

#include <netinet/in.h>

#include <utility>
#include <vector>

namespace lacewing::peer {

namespace {

PeerMessage
RefuseWith(Verdict aVerdict, ErrorCode aCode, std::string aMessage)
{
  return Refusal{ { aVerdict, aCode, std::move(aMessage) } };
}

/// The bytes of a reply. One that cannot be sent is replaced by an error; the
/// request has run by then, so the error must not say "not run".
std::string
EncodeReply(const PeerMessage& aReply, std::size_t aRoom)
{
  if (std::holds_alternative<Acknowledgement>(aReply)) {
    return {};
  }
  std::string body = EncodeMessage(aReply);
  if (body.size() > kMaxMessageBytes) {
    return EncodeMessage(RefuseWith(Verdict::MayHaveRun,
                                    ErrorCode::TooLarge,
                                    "reply of " + std::to_string(body.size()) +
                                      " bytes exceeds 1 MiB"));
  }
  if (body.size() > aRoom) {
    return EncodeMessage(
      RefuseWith(Verdict::MayHaveRun,
                 ErrorCode::QueueFull,
                 "replies waiting for the peer exceed the bound"));
  }
  return body;
}

std::size_t
RoomFor(const Http2Session& aSession, const PeerLimits& aLimits)
{
  const std::size_t unsent = aSession.UnsentBytes();
  return unsent < aLimits.m_maxQueuedBytes ? aLimits.m_maxQueuedBytes - unsent
                                           : 0;
}

} // namespace

struct PeerServer::Connection
{
  Connection(const HandshakeConfig& aConfig, ReplayGuard& aGuard, Time aNow)
    : m_handshake(aConfig, MakeNonce(), aGuard, aNow)
    , m_running(std::make_shared<std::size_t>(0))
  {
  }

  ServerHandshake m_handshake;
  std::shared_ptr<PeerLink> m_link;
  /// Requests without a reply, also of streams that the peer has reset.
  std::shared_ptr<std::size_t> m_running;
};

/// The duty to reply to one request. A handler that drops it unused must not
/// leave the caller waiting and the stream's place taken.
class PeerServer::PendingReply
{
public:
  PendingReply(std::weak_ptr<PeerLink> aLink,
               StreamId aStream,
               PeerLimits aLimits,
               std::shared_ptr<Counts> aCounts,
               std::shared_ptr<std::size_t> aRunning,
               ByteCounter aCountBytes)
    : m_link(std::move(aLink))
    , m_stream(aStream)
    , m_limits(aLimits)
    , m_counts(std::move(aCounts))
    , m_running(std::move(aRunning))
    , m_countBytes(std::move(aCountBytes))
  {
    ++m_counts->m_running;
    ++*m_running;
  }

  ~PendingReply()
  {
    Send(RefuseWith(Verdict::MayHaveRun,
                    ErrorCode::Internal,
                    "the request was dropped without a reply"));
  }

  PendingReply(const PendingReply&) = delete;
  PendingReply& operator=(const PendingReply&) = delete;

  void Send(const PeerMessage& aReply)
  {
    if (std::exchange(m_replied, true)) {
      return;
    }
    --m_counts->m_running;
    --*m_running;
    const auto link = m_link.lock();
    if (link == nullptr || !link->IsOpen() ||
        !link->Session().HasStream(m_stream)) {
      ++m_counts->m_lateReplies;
      return;
    }
    Http2Session& session = link->Session();
    std::string body = EncodeReply(aReply, RoomFor(session, m_limits));
    m_countBytes(KindOf(aReply), ByteDirection::Sent, body.size());
    session.SubmitReply(m_stream, std::move(body));
    link->ScheduleFlush();
  }

private:
  std::weak_ptr<PeerLink> m_link;
  StreamId m_stream;
  PeerLimits m_limits;
  std::shared_ptr<Counts> m_counts;
  std::shared_ptr<std::size_t> m_running; ///< of the connection
  ByteCounter m_countBytes;
  bool m_replied = false;
};

PeerServer::PeerServer(net::Loop& aLoop,
                       PeerServerOptions aOptions,
                       PeerHandler aHandler)
  : m_loop(aLoop)
  , m_options(std::move(aOptions))
  , m_handler(std::move(aHandler))
  , m_counts(std::make_shared<Counts>())
  , m_sweep(aLoop, [this] { Sweep(); })
{
}

PeerServer::~PeerServer()
{
  StopListening();
}

Result<void>
PeerServer::Listen(const net::Address& aAddress)
{
  const HandshakeConfig& handshake = m_options.m_handshake;
  if (handshake.m_secret.empty() || handshake.m_cluster.empty() ||
      handshake.m_self.m_vm.empty()) {
    return Fail(Verdict::NotRun,
                ErrorCode::BadInput,
                "cluster name, cluster secret and own VM must not be empty");
  }
  sockaddr_storage address{};
  int size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (evutil_parse_sockaddr_port(aAddress.ToString().c_str(), generic, &size) !=
      0) {
    // libevent reads a port of 0 as an error, so it is added by hand.
    const net::Address withPort{ aAddress.m_ip, 1 };
    size = sizeof(address);
    if (aAddress.m_port != 0 ||
        evutil_parse_sockaddr_port(
          withPort.ToString().c_str(), generic, &size) != 0) {
      return Fail(Verdict::NotRun,
                  ErrorCode::BadInput,
                  "'" + aAddress.ToString() + "' is not an address");
    }
    if (generic->sa_family == AF_INET) {
      reinterpret_cast<sockaddr_in*>(&address)->sin_port = 0;
    } else {
      reinterpret_cast<sockaddr_in6*>(&address)->sin6_port = 0;
    }
  }
  constexpr int kBacklog = 128;
  m_listener = evconnlistener_new_bind(
    m_loop.Base(),
    OnAccept,
    this,
    LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
    kBacklog,
    generic,
    size);
  if (m_listener == nullptr) {
    return Fail(Verdict::NotRun,
                ErrorCode::Unavailable,
                "cannot listen on " + aAddress.ToString());
  }
  m_sweep.Start(m_options.m_sweepPeriod);
  return {};
}

std::uint16_t
PeerServer::Port() const
{
  if (m_listener == nullptr) {
    return 0;
  }
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (getsockname(evconnlistener_get_fd(m_listener), generic, &size) != 0) {
    return 0;
  }
  return ntohs(generic->sa_family == AF_INET
                 ? reinterpret_cast<sockaddr_in*>(&address)->sin_port
                 : reinterpret_cast<sockaddr_in6*>(&address)->sin6_port);
}

void
PeerServer::Drain()
{
  StopListening();
  std::vector<std::shared_ptr<PeerLink>> links;
  for (const auto& [link, connection] : m_connections) {
    links.push_back(connection->m_link);
  }
  for (const auto& link : links) {
    link->Shutdown();
  }
}

WireBytes
PeerServer::Bytes() const
{
  WireBytes total = m_closedBytes;
  for (const auto& [link, connection] : m_connections) {
    total.m_sent += link->Bytes().m_sent;
    total.m_received += link->Bytes().m_received;
  }
  return total;
}

void
PeerServer::OnAccept(evconnlistener*, int aSocket, sockaddr*, int, void* aSelf)
{
  static_cast<PeerServer*>(aSelf)->Accept(aSocket);
}

void
PeerServer::Accept(int aSocket)
{
  if (m_connections.size() >= m_options.m_maxConnections) {
    m_faults.Add(PeerFault::TooManyConnections);
    evutil_closesocket(aSocket);
    return;
  }
  bufferevent* buffer =
    bufferevent_socket_new(m_loop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
  if (buffer == nullptr) {
    evutil_closesocket(aSocket);
    return;
  }
  auto owned = std::make_unique<Connection>(
    m_options.m_handshake, m_guard, net::Loop::Now());
  Connection* connection = owned.get();
  PeerLink::Hooks hooks;
  hooks.m_start = [] { return std::string(); };
  hooks.m_handshake = [connection](Time aNow, std::string_view aBytes) {
    return connection->m_handshake.OnBytes(aNow, aBytes);
  };
  hooks.m_onOpen = [] {};
  hooks.m_onEvent = [this, connection](SessionEvent& aEvent) {
    OnRequest(*connection, aEvent);
  };
  hooks.m_onStreamFault = [this](PeerFault aFault) { m_faults.Add(aFault); };
  hooks.m_onClosed = [this, connection](std::optional<PeerFault> aFault) {
    if (aFault) {
      m_faults.Add(*aFault);
    }
    Remove(connection->m_link.get());
  };
  connection->m_link = std::make_shared<PeerLink>(m_loop,
                                                  buffer,
                                                  SessionSide::Server,
                                                  m_options.m_limits,
                                                  m_options.m_writeTimeout,
                                                  std::move(hooks));
  PeerLink* link = connection->m_link.get();
  m_connections.emplace(link, std::move(owned));
  link->Begin(nullptr);
}

void
PeerServer::StopListening()
{
  if (m_listener != nullptr) {
    evconnlistener_free(m_listener);
    m_listener = nullptr;
  }
}

void
PeerServer::OnRequest(Connection& aConnection, SessionEvent& aEvent)
{
  if (aEvent.m_kind != SessionEventKind::Request) {
    return;
  }
  Http2Session& session = aConnection.m_link->Session();
  // A peer that opens and resets streams must not pile up running requests.
  if (*aConnection.m_running >= m_options.m_limits.m_maxStreams) {
    m_faults.Add(PeerFault::TooManyStreams);
    session.Refuse(aEvent.m_stream);
    return;
  }
  Decoded<PeerMessage> decoded = DecodeMessage(aEvent.m_body);
  if (!decoded.m_value) {
    m_faults.Add(decoded.m_fault);
    session.SubmitReply(aEvent.m_stream,
                        EncodeMessage(RefuseWith(Verdict::NotRun,
                                                 ErrorCode::BadInput,
                                                 std::move(decoded.m_detail))));
    aConnection.m_link->Shutdown();
    return;
  }
  m_options.m_countBytes(
    KindOf(*decoded.m_value), ByteDirection::Received, aEvent.m_body.size());
  m_handler(aConnection.m_handshake.Peer(),
            std::move(*decoded.m_value),
            ReplyTo(aConnection, aEvent.m_stream));
}

PeerReply
PeerServer::ReplyTo(Connection& aConnection, StreamId aStream)
{
  const auto pending = std::make_shared<PendingReply>(aConnection.m_link,
                                                      aStream,
                                                      m_options.m_limits,
                                                      m_counts,
                                                      aConnection.m_running,
                                                      m_options.m_countBytes);
  return [pending](const PeerMessage& aReply) { pending->Send(aReply); };
}

void
PeerServer::Remove(PeerLink* aLink)
{
  m_closedBytes.m_sent += aLink->Bytes().m_sent;
  m_closedBytes.m_received += aLink->Bytes().m_received;
  m_connections.erase(aLink);
}

void
PeerServer::Sweep()
{
  const Time now = net::Loop::Now();
  std::vector<Connection*> expired;
  std::vector<std::shared_ptr<PeerLink>> idle;
  for (const auto& [link, connection] : m_connections) {
    if (!link->IsOpen() && connection->m_handshake.Expired(now)) {
      expired.push_back(connection.get());
    } else if (*connection->m_running == 0 &&
               now - link->LastActivity() >= m_options.m_idleTimeout) {
      idle.push_back(connection->m_link);
    }
  }
  for (Connection* connection : expired) {
    const auto link = connection->m_link;
    link->Close(PeerFault::HandshakeTimeout);
  }
  for (const auto& link : idle) {
    const bool stuck = link->IsOpen() && link->Session().OpenStreams() > 0;
    if (stuck) {
      // Incomplete requests, or replies that the peer does not read.
      link->Close(std::nullopt);
    } else {
      link->Shutdown();
    }
  }
  m_sweep.Start(m_options.m_sweepPeriod);
}

} // namespace lacewing::peer
