#include "peer/PeerClient.h"

#include <event2/bufferevent.h>

#include <utility>

namespace lacewing::peer {

namespace {

Error
MakeError(Verdict aVerdict, ErrorCode aCode, std::string aMessage)
{
  return { aVerdict, aCode, std::move(aMessage) };
}

Verdict
VerdictOf(bool aMayHaveLeft)
{
  return aMayHaveLeft ? Verdict::MayHaveRun : Verdict::NotRun;
}

} // namespace

struct PeerClient::PendingCall
{
  std::uint64_t m_id = 0;
  std::string m_body; ///< until it is handed to the session
  std::string m_kind;
  std::size_t m_bytes = 0;
  PeerDone m_done;
  std::optional<StreamId> m_stream;
  std::unique_ptr<PeerTimer> m_timer;
};

struct PeerClient::Connection
{
  Connection(const PeerClientOptions& aOptions,
             const VmId& aPeer,
             net::Address aAddress)
    : m_peer(aPeer)
    , m_address(std::move(aAddress))
    , m_handshake(aOptions.m_handshake, aPeer, MakeNonce(), net::Loop::Now())
    , m_budget(aOptions.m_limits)
    , m_liveness(aOptions.m_liveness)
  {
  }

  VmId m_peer;
  net::Address m_address;
  ClientHandshake m_handshake;
  ConnectionBudget m_budget;
  LivenessCheck m_liveness;
  bool m_opened = false; ///< the handshake was complete
  std::shared_ptr<PeerLink> m_link;
  std::map<std::uint64_t, std::unique_ptr<PendingCall>> m_calls; ///< by call id
  std::map<StreamId, std::uint64_t> m_streams;                   ///< call ids
};

struct PeerClient::Peer
{
  explicit Peer(BackoffOptions aOptions)
    : m_backoff(aOptions)
  {
  }

  ReconnectBackoff m_backoff;
  Connection* m_current = nullptr; ///< takes new calls
};

struct PeerClient::Completion
{
  std::unique_ptr<PendingCall> m_call;
  Error m_error;
};

PeerClient::PeerClient(net::Loop& aLoop, PeerClientOptions aOptions)
  : m_loop(aLoop)
  , m_options(std::move(aOptions))
  , m_random(m_options.m_jitterSeed)
  , m_complete(aLoop, [this] { RunCompletions(); })
  , m_sweep(aLoop, [this] { Sweep(); })
{
  m_sweep.Start(m_options.m_sweepPeriod);
}

PeerClient::~PeerClient() = default;

void
PeerClient::Call(const VmId& aPeer,
                 const net::Address& aAddress,
                 const PeerMessage& aMessage,
                 Duration aTimeout,
                 PeerDone aDone)
{
  auto call = std::make_unique<PendingCall>();
  call->m_id = m_nextCall++;
  call->m_body = EncodeMessage(aMessage);
  call->m_kind = KindOf(aMessage);
  call->m_bytes = call->m_body.size();
  call->m_done = std::move(aDone);
  if (auto refused = Refused(aPeer, call->m_bytes)) {
    CompleteLater(std::move(call), std::move(*refused));
    return;
  }
  Connection* connection = Current(aPeer, aAddress);
  const bool isNew = connection == nullptr;
  if (isNew) {
    connection = Open(aPeer, aAddress);
  }
  if (connection == nullptr) {
    CompleteLater(std::move(call),
                  MakeError(Verdict::NotRun,
                            ErrorCode::Unavailable,
                            "no connection to " + aPeer.Value() +
                              "; the next attempt follows after a pause"));
    return;
  }
  if (connection->m_budget.Take(call->m_bytes)) {
    CompleteLater(std::move(call),
                  MakeError(Verdict::NotRun,
                            ErrorCode::QueueFull,
                            "connection to " + aPeer.Value() +
                              " carries as many calls as it may"));
    return;
  }
  call->m_timer =
    std::make_unique<PeerTimer>(m_loop, [this, connection, id = call->m_id] {
      OnTimeout(*connection, id);
    });
  call->m_timer->Start(aTimeout);
  PendingCall& kept = *call;
  connection->m_calls.emplace(call->m_id, std::move(call));
  if (connection->m_link->IsOpen()) {
    Submit(*connection, kept);
  }
  if (isNew) {
    // Can fail at once, which removes the connection.
    connection->m_link->Begin(&aAddress);
  }
}

void
PeerClient::Notify(const VmId& aPeer,
                   const net::Address& aAddress,
                   const PeerMessage& aMessage)
{
  Call(aPeer,
       aAddress,
       aMessage,
       m_options.m_notifyTimeout,
       [](const PeerOutcome&) {});
}

void
PeerClient::Drain()
{
  m_draining = true;
  std::vector<std::shared_ptr<PeerLink>> links;
  for (const auto& [link, connection] : m_connections) {
    links.push_back(connection->m_link);
  }
  for (const auto& link : links) {
    link->Shutdown();
  }
}

std::size_t
PeerClient::OpenCalls() const
{
  std::size_t count = m_completions.size();
  for (const auto& [link, connection] : m_connections) {
    count += connection->m_calls.size();
  }
  return count;
}

WireBytes
PeerClient::Bytes() const
{
  WireBytes total = m_closedBytes;
  for (const auto& [link, connection] : m_connections) {
    total.m_sent += link->Bytes().m_sent;
    total.m_received += link->Bytes().m_received;
  }
  return total;
}

std::optional<Error>
PeerClient::Refused(const VmId& aPeer, std::size_t aBytes) const
{
  if (m_draining) {
    return MakeError(
      Verdict::NotRun, ErrorCode::Draining, "this process is draining");
  }
  if (aBytes > kMaxMessageBytes) {
    return MakeError(Verdict::NotRun,
                     ErrorCode::TooLarge,
                     "message of " + std::to_string(aBytes) +
                       " bytes exceeds 1 MiB");
  }
  const HandshakeConfig& handshake = m_options.m_handshake;
  if (aPeer.empty() || handshake.m_secret.empty() ||
      handshake.m_cluster.empty() || handshake.m_self.m_vm.empty()) {
    return MakeError(
      Verdict::NotRun,
      ErrorCode::BadInput,
      "peer, cluster name, cluster secret and own VM must not be empty");
  }
  return std::nullopt;
}

PeerClient::Connection*
PeerClient::Current(const VmId& aPeer, const net::Address& aAddress)
{
  const auto found = m_peers.find(aPeer);
  if (found == m_peers.end() || found->second.m_current == nullptr) {
    return nullptr;
  }
  Connection* current = found->second.m_current;
  if (current->m_address == aAddress) {
    return current;
  }
  // A replaced VM has the same name at another address.
  Retire(*current);
  return nullptr;
}

bool
PeerClient::IsSuspect(Time aNow, const VmId& aPeer) const
{
  const auto found = m_peers.find(aPeer);
  if (found == m_peers.end()) {
    return false;
  }
  const Connection* current = found->second.m_current;
  if (current == nullptr || !current->m_opened) {
    return found->second.m_backoff.HasFailed();
  }
  return current->m_liveness.IsSuspect(aNow);
}

PeerClient::Connection*
PeerClient::Open(const VmId& aPeer, const net::Address& aAddress)
{
  Peer& peer = m_peers.try_emplace(aPeer, m_options.m_backoff).first->second;
  if (!peer.m_backoff.MayConnect(net::Loop::Now())) {
    return nullptr;
  }
  bufferevent* buffer =
    bufferevent_socket_new(m_loop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  if (buffer == nullptr) {
    return nullptr;
  }
  auto owned = std::make_unique<Connection>(m_options, aPeer, aAddress);
  Connection* connection = owned.get();
  PeerLink::Hooks hooks;
  hooks.m_start = [connection] { return connection->m_handshake.Start(); };
  hooks.m_handshake = [connection](Time aNow, std::string_view aBytes) {
    return connection->m_handshake.OnBytes(aNow, aBytes);
  };
  hooks.m_onOpen = [this, connection] { OnOpen(*connection); };
  hooks.m_onEvent = [this, connection](SessionEvent& aEvent) {
    OnEvent(*connection, aEvent);
  };
  hooks.m_onStreamFault = [this](PeerFault aFault) { m_faults.Add(aFault); };
  hooks.m_onClosed = [this, connection](std::optional<PeerFault> aFault) {
    OnClosed(*connection, aFault);
  };
  connection->m_link = std::make_shared<PeerLink>(m_loop,
                                                  buffer,
                                                  SessionSide::Client,
                                                  m_options.m_limits,
                                                  m_options.m_writeTimeout,
                                                  std::move(hooks));
  m_connections.emplace(connection->m_link.get(), std::move(owned));
  peer.m_current = connection;
  return connection;
}

void
PeerClient::Submit(Connection& aConnection, PendingCall& aCall)
{
  aCall.m_stream =
    aConnection.m_link->Session().SubmitRequest(std::move(aCall.m_body));
  if (!aCall.m_stream) {
    CompleteLater(Take(aConnection, aCall.m_id),
                  MakeError(Verdict::NotRun,
                            ErrorCode::Unavailable,
                            "connection to " + aConnection.m_peer.Value() +
                              " takes no further calls"));
    return;
  }
  m_options.m_countBytes(aCall.m_kind, ByteDirection::Sent, aCall.m_bytes);
  aConnection.m_streams.emplace(*aCall.m_stream, aCall.m_id);
  aConnection.m_link->ScheduleFlush();
}

void
PeerClient::OnOpen(Connection& aConnection)
{
  aConnection.m_opened = true;
  m_peers.at(aConnection.m_peer).m_backoff.OnSuccess();
  std::vector<PendingCall*> waiting;
  for (const auto& [id, call] : aConnection.m_calls) {
    waiting.push_back(call.get());
  }
  for (PendingCall* call : waiting) {
    Submit(aConnection, *call);
  }
}

void
PeerClient::OnEvent(Connection& aConnection, SessionEvent& aEvent)
{
  switch (aEvent.m_kind) {
    case SessionEventKind::GoAway:
      Retire(aConnection);
      return;
    case SessionEventKind::StreamClosed:
      OnStreamClosed(aConnection, aEvent);
      return;
    case SessionEventKind::Request:
      return;
  }
}

void
PeerClient::OnStreamClosed(Connection& aConnection, SessionEvent& aEvent)
{
  const auto found = aConnection.m_streams.find(aEvent.m_stream);
  if (found == aConnection.m_streams.end()) {
    return;
  }
  const auto call = Take(aConnection, found->second);
  const std::string& peer = aConnection.m_peer.Value();
  PeerOutcome outcome;
  if (aEvent.m_refused) {
    outcome.m_error = MakeError(Verdict::NotRun,
                                ErrorCode::Unavailable,
                                "peer " + peer + " took no further calls");
  } else if (!aEvent.m_whole) {
    outcome.m_error = MakeError(VerdictOf(aEvent.m_mayHaveLeft),
                                ErrorCode::Unavailable,
                                "no whole reply from " + peer);
  } else if (aEvent.m_body.empty()) {
    outcome.m_reply = Acknowledgement{};
  } else {
    Decoded<PeerMessage> decoded = DecodeMessage(aEvent.m_body);
    if (decoded.m_value) {
      m_options.m_countBytes(KindOf(*decoded.m_value),
                             ByteDirection::Received,
                             aEvent.m_body.size());
    }
    if (!decoded.m_value) {
      m_faults.Add(decoded.m_fault);
      Retire(aConnection);
      outcome.m_error =
        MakeError(Verdict::MayHaveRun,
                  ErrorCode::Internal,
                  "reply of " + peer + " is wrong: " + decoded.m_detail);
    } else if (const auto* refusal = std::get_if<Refusal>(&*decoded.m_value)) {
      outcome.m_error = refusal->m_error;
    } else {
      outcome.m_reply = std::move(decoded.m_value);
    }
  }
  if (outcome.m_reply) {
    outcome.m_from = aConnection.m_handshake.Peer();
  }
  call->m_done(outcome);
}

void
PeerClient::OnTimeout(Connection& aConnection, std::uint64_t aCall)
{
  auto call = Take(aConnection, aCall);
  bool mayHaveLeft = false;
  if (call->m_stream) {
    Http2Session& session = aConnection.m_link->Session();
    mayHaveLeft = session.MayHaveLeft(*call->m_stream);
    session.Reset(*call->m_stream);
    aConnection.m_link->ScheduleFlush();
  }
  CompleteLater(std::move(call),
                MakeError(VerdictOf(mayHaveLeft),
                          ErrorCode::DeadlineExceeded,
                          "no reply from " + aConnection.m_peer.Value() +
                            " before the timeout"));
}

void
PeerClient::OnClosed(Connection& aConnection, std::optional<PeerFault> aFault)
{
  Peer& peer = m_peers.at(aConnection.m_peer);
  // A connection that is given up on purpose is no longer the current one.
  const bool neverOpened =
    !aConnection.m_opened && peer.m_current == &aConnection;
  if (aFault) {
    m_faults.Add(*aFault);
  }
  if (aFault || neverOpened) {
    std::uniform_real_distribution<> jitter(0.0, 1.0);
    peer.m_backoff.OnFailure(net::Loop::Now(), jitter(m_random));
  }
  if (peer.m_current == &aConnection) {
    peer.m_current = nullptr;
  }
  const std::string reason =
    "connection to " + aConnection.m_peer.Value() + " was closed" +
    (aFault ? ": " + std::string(NameOf(*aFault)) : std::string());
  while (!aConnection.m_calls.empty()) {
    auto call = Take(aConnection, aConnection.m_calls.begin()->first);
    const bool mayHaveLeft =
      call->m_stream &&
      aConnection.m_link->Session().MayHaveLeft(*call->m_stream);
    CompleteLater(
      std::move(call),
      MakeError(VerdictOf(mayHaveLeft), ErrorCode::Unavailable, reason));
  }
  m_closedBytes.m_sent += aConnection.m_link->Bytes().m_sent;
  m_closedBytes.m_received += aConnection.m_link->Bytes().m_received;
  m_connections.erase(aConnection.m_link.get());
}

void
PeerClient::Retire(Connection& aConnection)
{
  Peer& peer = m_peers.at(aConnection.m_peer);
  if (peer.m_current == &aConnection) {
    peer.m_current = nullptr;
  }
  const auto link = aConnection.m_link;
  link->Shutdown();
}

std::unique_ptr<PeerClient::PendingCall>
PeerClient::Take(Connection& aConnection, std::uint64_t aCall)
{
  const auto found = aConnection.m_calls.find(aCall);
  auto call = std::move(found->second);
  aConnection.m_calls.erase(found);
  if (call->m_stream) {
    aConnection.m_streams.erase(*call->m_stream);
  }
  aConnection.m_budget.Release(call->m_bytes);
  if (call->m_timer) {
    call->m_timer->Stop();
  }
  return call;
}

void
PeerClient::CompleteLater(std::unique_ptr<PendingCall> aCall, Error aError)
{
  m_completions.push_back({ std::move(aCall), std::move(aError) });
  m_complete.StartSoon();
}

void
PeerClient::RunCompletions()
{
  for (Completion& completion : std::exchange(m_completions, {})) {
    PeerOutcome outcome;
    outcome.m_error = std::move(completion.m_error);
    completion.m_call->m_done(outcome);
  }
}

void
PeerClient::Sweep()
{
  const Time now = net::Loop::Now();
  std::vector<std::shared_ptr<PeerLink>> expired;
  std::vector<Connection*> idle;
  for (const auto& [link, connection] : m_connections) {
    if (!link->IsOpen()) {
      if (connection->m_handshake.Expired(now)) {
        expired.push_back(connection->m_link);
      }
    } else if (connection->m_calls.empty() &&
               now - link->LastActivity() >= m_options.m_idleTimeout) {
      idle.push_back(connection.get());
    }
  }
  for (const auto& link : expired) {
    link->Close(PeerFault::HandshakeTimeout);
  }
  for (Connection* connection : idle) {
    Retire(*connection);
  }
  CheckLiveness(now);
  m_sweep.Start(m_options.m_sweepPeriod);
}

void
PeerClient::CheckLiveness(Time aNow)
{
  std::vector<std::shared_ptr<PeerLink>> silent;
  for (const auto& [link, connection] : m_connections) {
    if (!link->IsOpen()) {
      continue;
    }
    switch (connection->m_liveness.Check(
      aNow, link->LastReceived(), !connection->m_calls.empty())) {
      case LivenessAction::None:
        break;
      case LivenessAction::Ping:
        link->Session().Ping();
        link->ScheduleFlush();
        break;
      case LivenessAction::Close:
        silent.push_back(connection->m_link);
        break;
    }
  }
  for (const auto& link : silent) {
    link->Close(PeerFault::SilentPeer);
  }
}

} // namespace lacewing::peer
