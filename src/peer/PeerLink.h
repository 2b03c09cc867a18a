/// One connection between two entry daemons: a libevent bufferevent that first
/// carries the handshake and then an HTTP/2 session. Used by the client and by
/// the server.
#pragma once

#include "net/Address.h"
#include "net/Loop.h"
#include "peer/Handshake.h"
#include "peer/Http2Session.h"
#include "peer/PeerTimer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

struct bufferevent;

namespace lacewing::peer {

/// Bytes on the wire, handshakes included.
struct WireBytes
{
  std::uint64_t m_sent = 0;
  std::uint64_t m_received = 0;
};

class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  struct Hooks
  {
    /// The TCP connection of a client is there; returns the first bytes.
    std::function<std::string()> m_start;
    std::function<HandshakeStep(Time, std::string_view)> m_handshake;
    /// The handshake is complete.
    std::function<void()> m_onOpen;
    std::function<void(SessionEvent&)> m_onEvent;
    /// A single stream was refused.
    std::function<void(PeerFault)> m_onStreamFault;
    /// Called once, with the fault that ended the connection, if one did.
    std::function<void(std::optional<PeerFault>)> m_onClosed;
  };

  /// Takes the buffer event over. A peer that takes no bytes for the write
  /// timeout is disconnected.
  PeerLink(net::Loop& aLoop,
           bufferevent* aBuffer,
           SessionSide aSide,
           PeerLimits aLimits,
           Duration aWriteTimeout,
           Hooks aHooks);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /// Must be called once after construction; a client passes the address.
  void Begin(const net::Address* aConnectTo);

  /// Valid after `m_onOpen`.
  Http2Session& Session() { return *m_session; }
  bool IsOpen() const { return m_session != nullptr && !m_closed; }
  bool IsClosed() const { return m_closed; }
  /// Sends what the session has to send, in the next turn of the loop.
  void ScheduleFlush();
  /// Sends GOAWAY; the connection closes when its streams have ended.
  void Shutdown();
  /// Closes the connection because of a fault, after output has been sent.
  void Fail(PeerFault aFault);
  /// Closes the connection now.
  void Close(std::optional<PeerFault> aFault);

  /// Time of the last bytes in either direction.
  Time LastActivity() const { return m_lastActivity; }
  Time LastReceived() const { return m_lastReceived; }
  const WireBytes& Bytes() const { return m_bytes; }

private:
  static void OnReadable(bufferevent* aBuffer, void* aSelf);
  static void OnWritable(bufferevent* aBuffer, void* aSelf);
  static void OnEvent(bufferevent* aBuffer, short aWhat, void* aSelf);

  void Read();
  void ReadHandshake(std::string_view aBytes);
  void ReadSession(std::string_view aBytes);
  void HandleEvents();
  void Flush();
  void Send(std::string_view aBytes);
  void CloseIfFinished();
  std::size_t UnsentBytes() const;

  bufferevent* m_buffer;
  SessionSide m_side;
  PeerLimits m_limits;
  Hooks m_hooks;
  PeerTimer m_flush;
  std::unique_ptr<Http2Session> m_session;
  std::optional<PeerFault> m_fault; ///< closes when the output has been sent
  bool m_shutdown = false;
  bool m_closed = false;
  Time m_lastActivity;
  Time m_lastReceived;
  WireBytes m_bytes;
};

} // namespace lacewing::peer
