/// Helpers of the tests for connections between entry daemons: a client and a
/// server on one loop, and raw sockets that speak to either of them.
#pragma once

#include "net/Loop.h"
#include "peer/PeerClient.h"
#include "peer/PeerServer.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <string_view>

namespace lacewing::fakes {

inline constexpr std::string_view kLoopback = "127.0.0.1";
inline constexpr int kMaxTurns = 100'000;

inline peer::HandshakeConfig
ConfigOf(const std::string& aVm)
{
  peer::HandshakeConfig config;
  config.m_cluster = "cell";
  config.m_secret = "cluster secret";
  config.m_self = { VmId(aVm), 7 };
  return config;
}

inline peer::PeerServerOptions
ServerOptions()
{
  peer::PeerServerOptions options;
  options.m_handshake = ConfigOf("server");
  return options;
}

inline peer::PeerClientOptions
ClientOptions()
{
  peer::PeerClientOptions options;
  options.m_handshake = ConfigOf("client");
  return options;
}

/// Runs the loop until the condition holds; false after a bounded number of
/// turns.
inline bool
RunUntil(net::Loop& aLoop, const std::function<bool()>& aCondition)
{
  constexpr int kPauseMicroseconds = 100;
  for (int turn = 0; turn < kMaxTurns; ++turn) {
    aLoop.Poll();
    if (aCondition()) {
      return true;
    }
    usleep(kPauseMicroseconds);
  }
  return false;
}

inline net::Address
LoopbackAt(std::uint16_t aPort)
{
  return { std::string(kLoopback), aPort };
}

/// Starts listening on a free port.
inline bool
ListenOnLoopback(peer::PeerServer& aServer)
{
  return leaf::try_handle_all(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(aServer.Listen(LoopbackAt(0)));
      return true;
    },
    [] { return false; });
}

/// A client and a server on one loop.
class PeerPair
{
public:
  explicit PeerPair(peer::PeerHandler aHandler,
                    peer::PeerServerOptions aServer = ServerOptions(),
                    peer::PeerClientOptions aClient = ClientOptions())
    : m_server(m_loop, std::move(aServer), std::move(aHandler))
    , m_client(m_loop, std::move(aClient))
  {
    m_listening = ListenOnLoopback(m_server);
    m_address = LoopbackAt(m_server.Port());
  }

  void Call(const peer::PeerMessage& aMessage,
            peer::PeerDone aDone,
            Duration aTimeout = seconds(60))
  {
    m_client.Call(
      VmId("server"), m_address, aMessage, aTimeout, std::move(aDone));
  }

  /// One call to its end; an outcome with the code `Internal` if there is none.
  peer::PeerOutcome CallAndWait(const peer::PeerMessage& aMessage,
                                Duration aTimeout = seconds(60))
  {
    std::optional<peer::PeerOutcome> result;
    Call(
      aMessage,
      [&](const peer::PeerOutcome& aOutcome) { result = aOutcome; },
      aTimeout);
    RunUntil(m_loop, [&] { return result.has_value(); });
    return result.value_or(peer::PeerOutcome{});
  }

  net::Loop m_loop;
  peer::PeerServer m_server;
  peer::PeerClient m_client;
  net::Address m_address;
  bool m_listening = false;
};

/// A socket whose bytes the test writes and reads itself. Never blocks.
class RawSocket
{
public:
  RawSocket() = default;
  explicit RawSocket(int aSocket)
    : m_socket(aSocket)
  {
    fcntl(m_socket, F_SETFL, fcntl(m_socket, F_GETFL) | O_NONBLOCK);
    // Small writes must not wait for the acknowledgement of earlier ones.
    const int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~RawSocket() { Close(); }
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;
  RawSocket(RawSocket&& aOther) noexcept
    : m_socket(std::exchange(aOther.m_socket, -1))
  {
  }
  RawSocket& operator=(RawSocket&& aOther) noexcept
  {
    Close();
    m_socket = std::exchange(aOther.m_socket, -1);
    return *this;
  }

  static RawSocket ConnectTo(std::uint16_t aPort)
  {
    const int handle = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    // The kernel completes the connection from the backlog of the listener.
    if (connect(handle,
                reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0) {
      close(handle);
      return {};
    }
    return RawSocket(handle);
  }

  bool IsOpen() const { return m_socket >= 0; }

  void Send(std::string_view aBytes) const
  {
    while (!aBytes.empty()) {
      const ssize_t sent =
        send(m_socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return;
      }
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
    }
  }

  /// Bytes that have arrived.
  std::string Receive()
  {
    std::string all;
    char buffer[4096];
    while (m_socket >= 0) {
      const ssize_t got = recv(m_socket, buffer, sizeof(buffer), 0);
      if (got > 0) {
        all.append(buffer, static_cast<std::size_t>(got));
        continue;
      }
      m_ended = m_ended || got == 0 || (errno != EAGAIN && errno != EINTR);
      break;
    }
    return all;
  }

  /// True when the other side has closed the connection.
  bool Ended() const { return m_ended; }

  void Close()
  {
    if (m_socket >= 0) {
      close(m_socket);
      m_socket = -1;
    }
  }

private:
  int m_socket = -1;
  bool m_ended = false;
};

/// A listening socket that accepts by hand.
class RawListener
{
public:
  RawListener()
    : m_socket(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof(address);
    constexpr int kBacklog = 16;
    if (bind(m_socket, generic, size) == 0 && listen(m_socket, kBacklog) == 0 &&
        getsockname(m_socket, generic, &size) == 0) {
      m_port = ntohs(address.sin_port);
    }
    fcntl(m_socket, F_SETFL, fcntl(m_socket, F_GETFL) | O_NONBLOCK);
  }
  ~RawListener() { close(m_socket); }
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  std::uint16_t Port() const { return m_port; }

  RawSocket Accept() const
  {
    const int handle = accept(m_socket, nullptr, nullptr);
    return handle < 0 ? RawSocket() : RawSocket(handle);
  }

private:
  int m_socket;
  std::uint16_t m_port = 0;
};

/// The connecting side of a connection to a `PeerServer`, by hand.
class RawClient
{
public:
  RawClient(net::Loop& aLoop, std::uint16_t aPort)
    : m_loop(aLoop)
    , m_socket(RawSocket::ConnectTo(aPort))
  {
  }

  /// Goes through the handshake; false if the server does not accept.
  bool Authenticate(const peer::HandshakeConfig& aConfig)
  {
    peer::ClientHandshake handshake(
      aConfig, VmId("server"), peer::MakeNonce(), Time());
    m_socket.Send(handshake.Start());
    bool accepted = false;
    RunUntil(m_loop, [&] {
      const std::string bytes = m_socket.Receive();
      const auto step = handshake.OnBytes(Time(), bytes);
      m_socket.Send(step.m_output);
      accepted = step.m_complete;
      if (accepted && !step.m_rest.empty()) {
        m_session.Feed(step.m_rest);
      }
      return accepted || step.m_fault.has_value() || m_socket.Ended();
    });
    return accepted;
  }

  /// Exchanges bytes of HTTP/2 once.
  void Pump()
  {
    std::string output;
    for (std::string_view piece = m_session.NextOutput(); !piece.empty();
         piece = m_session.NextOutput()) {
      output.append(piece);
    }
    m_socket.Send(output);
    m_loop.Poll();
    const std::string bytes = m_socket.Receive();
    if (!bytes.empty()) {
      m_session.Feed(bytes);
    }
  }

  /// True when the server has closed the connection.
  bool WaitForEnd()
  {
    return RunUntil(m_loop, [&] {
      m_socket.Receive();
      return m_socket.Ended();
    });
  }

  net::Loop& m_loop;
  RawSocket m_socket;
  peer::Http2Session m_session{ peer::SessionSide::Client, {} };
};

/// The accepting side of a connection from a `PeerClient`, by hand.
class RawServer
{
public:
  explicit RawServer(net::Loop& aLoop)
    : m_loop(aLoop)
  {
  }

  net::Address Address() const { return LoopbackAt(m_listener.Port()); }

  bool Accept()
  {
    return RunUntil(m_loop, [&] {
      m_socket = m_listener.Accept();
      return m_socket.IsOpen();
    });
  }

  bool Authenticate()
  {
    peer::ServerHandshake handshake(
      ConfigOf("server"), peer::MakeNonce(), m_guard, Time());
    return RunUntil(m_loop, [&] {
      const auto step = handshake.OnBytes(Time(), m_socket.Receive());
      m_socket.Send(step.m_output);
      return step.m_complete;
    });
  }

  void Pump()
  {
    std::string output;
    for (std::string_view piece = m_session.NextOutput(); !piece.empty();
         piece = m_session.NextOutput()) {
      output.append(piece);
    }
    m_socket.Send(output);
    m_loop.Poll();
    const std::string bytes = m_socket.Receive();
    if (!bytes.empty()) {
      m_session.Feed(bytes);
    }
    for (auto& event : m_session.TakeEvents()) {
      m_requests.push_back(std::move(event));
    }
  }

  bool WaitForRequests(std::size_t aCount)
  {
    return RunUntil(m_loop, [&] {
      Pump();
      return m_requests.size() >= aCount;
    });
  }

  net::Loop& m_loop;
  RawListener m_listener;
  RawSocket m_socket;
  peer::ReplayGuard m_guard;
  peer::Http2Session m_session{ peer::SessionSide::Server, {} };
  std::vector<peer::SessionEvent> m_requests;
};

/// Replies with the message itself.
inline void
Echo(const peer::PeerIdentity&,
     const peer::PeerMessage& aMessage,
     const peer::PeerReply& aReply)
{
  aReply(aMessage);
}

inline peer::PeerMessage
TextMessage(std::string aText)
{
  return peer::Opaque{ "test", std::move(aText) };
}

inline std::string
TextOf(const peer::PeerOutcome& aOutcome)
{
  const auto* opaque =
    aOutcome.m_reply ? std::get_if<peer::Opaque>(&*aOutcome.m_reply) : nullptr;
  return opaque == nullptr ? "no reply: " + aOutcome.m_error.m_message
                           : opaque->m_text;
}

} // namespace lacewing::fakes
