// A client that keeps to no limit: opens several connections, sends on all of
// them as much as the server takes, and reads nothing. It may stay connected
// until it is killed, and connect again wherever the server closes.
#include "Servers.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <iostream>
#include <vector>

namespace lacewing::standin {

namespace {

/// The flood ends once no connection has taken a byte for this long.
constexpr int kStallMs = 1000;
constexpr std::size_t kBlockBytes = std::size_t{ 64 } * 1024;

/// What is sent once, and what is repeated after it.
struct Script
{
  std::string m_head;
  std::string m_repeated;
};

std::string
Repeat(const std::string& aText)
{
  std::string result;
  while (result.size() < kBlockBytes) {
    result += aText;
  }
  return result;
}

Script
ScriptOf(const FloodOptions& aOptions)
{
  const std::string host = "Host: h.example\r\n";
  const std::string post = "POST " + aOptions.m_path + " HTTP/1.1\r\n" + host +
                           "Content-Type: application/json\r\n";
  switch (aOptions.m_mode) {
    case FloodMode::Pipelined:
      return {
        {}, Repeat("GET " + aOptions.m_path + " HTTP/1.1\r\n" + host + "\r\n")
      };
    case FloodMode::Announced:
      return { post + "Content-Length: 64000000000\r\n\r\n", Repeat("x") };
    case FloodMode::Chunked:
      return { post + "Transfer-Encoding: chunked\r\n\r\n",
               Repeat("400\r\n" + std::string(0x400, 'x') + "\r\n") };
  }
  return {};
}

struct Connection
{
  int m_socket = -1;
  std::size_t m_sent = 0;
};

int
Connect(const net::Address& aTo)
{
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(aTo.m_port);
  inet_pton(AF_INET, aTo.m_ip.c_str(), &to.sin_addr);
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  if (connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
    close(socket);
    return -1;
  }
  return socket;
}

/// Sends the next bytes of the script; closes the connection when the server
/// has closed it.
void
SendMore(const Script& aScript, std::size_t aLimit, Connection& aConnection)
{
  const std::size_t head = aScript.m_head.size();
  const std::string& text =
    aConnection.m_sent < head ? aScript.m_head : aScript.m_repeated;
  const std::size_t offset = aConnection.m_sent < head
                               ? aConnection.m_sent
                               : (aConnection.m_sent - head) % text.size();
  const ssize_t sent = send(aConnection.m_socket,
                            text.data() + offset,
                            text.size() - offset,
                            MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent > 0) {
    aConnection.m_sent += static_cast<std::size_t>(sent);
  }
  const bool failed = sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
  if (failed) {
    close(aConnection.m_socket);
    aConnection.m_socket = -1;
  } else if (aConnection.m_sent >= aLimit) {
    aConnection.m_sent = aLimit;
  }
}

/// All connections of the client.
class Crowd
{
public:
  Crowd(const net::Address& aTo, const FloodOptions& aOptions)
    : m_to(aTo)
    , m_options(aOptions)
    , m_script(ScriptOf(aOptions))
    , m_connections(aOptions.m_connections)
  {
    for (Connection& connection : m_connections) {
      connection.m_socket = Connect(m_to);
    }
  }

  ~Crowd()
  {
    for (const Connection& connection : m_connections) {
      if (connection.m_socket >= 0) {
        close(connection.m_socket);
      }
    }
  }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Sends on each connection that takes something. False if none did.
  bool SendOnce()
  {
    std::vector<pollfd> ready;
    std::vector<Connection*> owners;
    for (Connection& connection : m_connections) {
      if (connection.m_socket >= 0 && connection.m_sent < m_options.m_bytes) {
        ready.push_back({ connection.m_socket, POLLOUT, 0 });
        owners.push_back(&connection);
      }
    }
    if (ready.empty() || poll(ready.data(), ready.size(), kStallMs) == 0) {
      return false;
    }
    for (std::size_t index = 0; index < ready.size(); ++index) {
      if (ready[index].revents != 0) {
        SendMore(m_script, m_options.m_bytes, *owners[index]);
        Reconnect(*owners[index]);
      }
    }
    return true;
  }

  std::size_t Sent() const
  {
    std::size_t sent = 0;
    for (const Connection& connection : m_connections) {
      sent += connection.m_sent;
    }
    return sent;
  }

private:
  void Reconnect(Connection& aConnection)
  {
    if (m_options.m_reconnects && aConnection.m_socket < 0) {
      aConnection = { Connect(m_to), 0 };
    }
  }

  net::Address m_to;
  FloodOptions m_options;
  Script m_script;
  std::vector<Connection> m_connections;
};

} // namespace

int
RunFlood(const net::Address& aTo, const FloodOptions& aOptions)
{
  Crowd crowd(aTo, aOptions);
  if (aOptions.m_holds) {
    // The test begins once each connection has had its turn to send.
    crowd.SendOnce();
    std::cout << "holding" << std::endl;
  }
  while (crowd.SendOnce()) {
  }
  std::cout << "sent " << crowd.Sent() << " bytes" << std::endl;
  while (aOptions.m_holds) {
    if (!crowd.SendOnce()) {
      poll(nullptr, 0, kStallMs);
    }
  }
  return 0;
}

} // namespace lacewing::standin
