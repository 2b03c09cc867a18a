/// Sends messages to other entry daemons, over one connection to each, and says
/// for every message without a reply whether it may have run.
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
#include <optional>
#include <random>
#include <vector>

namespace lacewing::peer {

struct PeerClientOptions
{
  HandshakeConfig m_handshake;
  PeerLimits m_limits;
  BackoffOptions m_backoff;
  LivenessOptions m_liveness;
  /// A connection without traffic and without open calls is closed.
  Duration m_idleTimeout = seconds(30);
  /// A peer that takes no bytes for this long is disconnected.
  Duration m_writeTimeout = seconds(30);
  Duration m_notifyTimeout = seconds(5);
  Duration m_sweepPeriod = milliseconds(250);
  ByteCounter m_countBytes = [](auto, auto, auto) {};
  std::uint64_t m_jitterSeed = 1; ///< differs between processes
};

/// A reply, or the error when there is none. The verdict of the error is
/// `NotRun` only when no byte of the request can have left for the peer, or
/// when the peer has refused it explicitly.
struct PeerOutcome
{
  std::optional<PeerMessage> m_reply; ///< never a `Refusal`
  Error m_error;
  PeerIdentity m_from; ///< the process that replied, if there is a reply
};

using PeerDone = std::function<void(const PeerOutcome&)>;

class PeerClient
{
public:
  PeerClient(net::Loop& aLoop, PeerClientOptions aOptions);
  /// Calls that are open are not called back. Must not be called from a
  /// callback of this client.
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  /// Sends a message and calls back exactly once, at the latest after the
  /// timeout and never before this function returns.
  void Call(const VmId& aPeer,
            const net::Address& aAddress,
            const PeerMessage& aMessage,
            Duration aTimeout,
            PeerDone aDone);

  /// Sends a message whose reply does not matter.
  void Notify(const VmId& aPeer,
              const net::Address& aAddress,
              const PeerMessage& aMessage);

  /// True if the peer owes a reply and is silent, or cannot be connected to.
  /// Nothing is known of a peer that was never called; it is not suspect.
  bool IsSuspect(Time aNow, const VmId& aPeer) const;

  /// Refuses new calls; open ones finish, then the connections are closed.
  void Drain();

  std::size_t Connections() const { return m_connections.size(); }
  std::size_t OpenCalls() const;
  const FaultCounters& Faults() const { return m_faults; }
  /// Bytes of all connections so far.
  WireBytes Bytes() const;

private:
  struct PendingCall;
  struct Connection;
  struct Peer;
  struct Completion;

  std::optional<Error> Refused(const VmId& aPeer, std::size_t aBytes) const;
  Connection* Current(const VmId& aPeer, const net::Address& aAddress);
  Connection* Open(const VmId& aPeer, const net::Address& aAddress);
  void Submit(Connection& aConnection, PendingCall& aCall);
  void OnOpen(Connection& aConnection);
  void OnEvent(Connection& aConnection, SessionEvent& aEvent);
  void OnStreamClosed(Connection& aConnection, SessionEvent& aEvent);
  void OnTimeout(Connection& aConnection, std::uint64_t aCall);
  void OnClosed(Connection& aConnection, std::optional<PeerFault> aFault);
  void Retire(Connection& aConnection);
  std::unique_ptr<PendingCall> Take(Connection& aConnection,
                                    std::uint64_t aCall);
  void CompleteLater(std::unique_ptr<PendingCall> aCall, Error aError);
  void RunCompletions();
  void Sweep();
  void CheckLiveness(Time aNow);

  net::Loop& m_loop;
  PeerClientOptions m_options;
  std::mt19937_64 m_random;
  FaultCounters m_faults;
  bool m_draining = false;
  std::uint64_t m_nextCall = 1;
  WireBytes m_closedBytes; ///< of connections that are gone
  std::map<VmId, Peer> m_peers;
  std::map<PeerLink*, std::unique_ptr<Connection>> m_connections;
  std::vector<Completion> m_completions;
  PeerTimer m_complete;
  PeerTimer m_sweep;
};

} // namespace lacewing::peer
