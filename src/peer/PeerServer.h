/// Accepts connections of other entry daemons and hands their messages to the
/// daemon.
#pragma once

#include "net/Address.h"
#include "net/Loop.h"
#include "peer/Handshake.h"
#include "peer/PeerAdmission.h"
#include "peer/PeerCodec.h"
#include "peer/PeerLink.h"
#include "peer/PeerMessages.h"
#include "peer/PeerTimer.h"

#include <functional>
#include <map>
#include <memory>

struct evconnlistener;
struct sockaddr;

namespace lacewing::peer {

struct PeerServerOptions
{
  HandshakeConfig m_handshake;
  PeerLimits m_limits;
  std::size_t m_maxConnections = 256; ///< with those in the handshake
  /// A connection without traffic and without running requests is closed.
  Duration m_idleTimeout = seconds(60);
  /// A peer that takes no bytes for this long is disconnected.
  Duration m_writeTimeout = seconds(30);
  Duration m_sweepPeriod = milliseconds(250);
  ByteCounter m_countBytes = [](auto, auto, auto) {};
};

/// Sends the reply; to be called once, at any later time, also after the server
/// has gone. `Acknowledgement` is sent as an empty reply, `Refusal` becomes the
/// error of the caller's outcome. Further calls are ignored. If all copies are
/// dropped without a call, the caller is told that the request may have run.
using PeerReply = std::function<void(const PeerMessage&)>;

/// The identity is that proven in the handshake.
using PeerHandler =
  std::function<void(const PeerIdentity&, PeerMessage, PeerReply)>;

class PeerServer
{
public:
  PeerServer(net::Loop& aLoop,
             PeerServerOptions aOptions,
             PeerHandler aHandler);
  /// Cuts open connections. Must not be called from a handler.
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// Listens on the address; port 0 takes a free one. Errors: `Unavailable`
  /// naming the address, `BadInput` if the secret, the cluster or the own VM is
  /// empty.
  Result<void> Listen(const net::Address& aAddress);
  /// The port that is listened on, 0 if none.
  std::uint16_t Port() const;

  /// Stops listening and sends GOAWAY: running requests finish, new ones are
  /// refused as "not run".
  void Drain();

  std::size_t Connections() const { return m_connections.size(); }
  /// Requests that were handed to the handler and not yet replied to.
  std::size_t RunningRequests() const { return m_counts->m_running; }
  /// Replies that came after the caller had given up or its connection had
  /// gone; they were dropped.
  std::uint64_t LateReplies() const { return m_counts->m_lateReplies; }
  const FaultCounters& Faults() const { return m_faults; }
  /// Bytes of all connections so far.
  WireBytes Bytes() const;

private:
  struct Connection;
  class PendingReply;
  /// Shared with replies, which may outlive the server.
  struct Counts
  {
    std::size_t m_running = 0;
    std::uint64_t m_lateReplies = 0;
  };

  static void OnAccept(evconnlistener* aListener,
                       int aSocket,
                       sockaddr* aAddress,
                       int aSize,
                       void* aSelf);
  void Accept(int aSocket);
  void StopListening();
  void OnRequest(Connection& aConnection, SessionEvent& aEvent);
  PeerReply ReplyTo(Connection& aConnection, StreamId aStream);
  void Remove(PeerLink* aLink);
  void Sweep();

  net::Loop& m_loop;
  PeerServerOptions m_options;
  PeerHandler m_handler;
  evconnlistener* m_listener = nullptr;
  ReplayGuard m_guard;
  FaultCounters m_faults;
  std::shared_ptr<Counts> m_counts;
  WireBytes m_closedBytes; ///< of connections that are gone
  std::map<PeerLink*, std::unique_ptr<Connection>> m_connections;
  PeerTimer m_sweep;
};

} // namespace lacewing::peer
