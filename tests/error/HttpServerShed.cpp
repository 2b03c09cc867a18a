/// Guards against closing the wrong connection when a server has too many: one
/// whose request is being handled (the reply would go to a request that has
/// been freed, and the process would end), or that of a new client beside those
/// that send requests ahead.
#include "fakes/FreeAddress.h"
#include "net/HttpServer.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <list>
#include <utility>

namespace lacewing::net {

namespace {

constexpr int kOk = 200;
constexpr int kTurns = 50;
constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A client with one connection, on which it sends what it is told to.
class Client
{
public:
  explicit Client(const Address& aTo)
    : m_socket(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(aTo.m_port);
    inet_pton(AF_INET, aTo.m_ip.c_str(), &to.sin_addr);
    EXPECT_EQ(connect(m_socket, reinterpret_cast<sockaddr*>(&to), sizeof to),
              0);
  }
  ~Client() { close(m_socket); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Send(const std::string& aText)
  {
    EXPECT_EQ(send(m_socket, aText.data(), aText.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(aText.size()));
  }

  /// What has come so far.
  std::string Read()
  {
    std::string text(4096, '\0');
    const ssize_t count =
      recv(m_socket, text.data(), text.size(), MSG_DONTWAIT);
    text.resize(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    return text;
  }

private:
  int m_socket;
};

/// A server that takes few connections or bytes and replies when it is told to.
class SmallServer
{
public:
  explicit SmallServer(const ConnectionLimits& aLimits)
    : m_address(fakes::FreeAddress())
    , m_server(m_loop,
               { .m_connections = aLimits },
               [this](const HttpRequest&, const HttpReply& aReply) {
                 m_replies.push_back(aReply);
               })
  {
    leaf::try_handle_all([&] { return m_server.Listen(m_address); },
                         [] { ADD_FAILURE() << "cannot listen"; });
  }

  void Run()
  {
    for (int turn = 0; turn < kTurns; ++turn) {
      m_loop.Poll();
    }
  }

  void ReplyToAll()
  {
    for (const HttpReply& reply : std::exchange(m_replies, {})) {
      reply(JsonResponse(kOk, "{}"));
    }
  }

  const Address& At() const { return m_address; }

private:
  Loop m_loop;
  Address m_address;
  std::vector<HttpReply> m_replies;
  HttpServer m_server;
};

/// The request is there before the server has taken the connection, as that of
/// a client which connects while the server is busy.
TEST(HttpServerShed, RequestThatCameWithItsConnectionIsAnswered)
{
  SmallServer server({ .m_maxConnections = 2 });
  Client client(server.At());
  client.Send(kRequest);
  server.Run();
  const Client second(server.At());
  const Client third(server.At());
  server.Run();
  server.ReplyToAll();
  server.Run();
  EXPECT_TRUE(client.Read().starts_with("HTTP/1.1 200"));
}

/// Clients that sent requests ahead go first, also while each of them has one
/// under way.
TEST(HttpServerShed, NewClientIsAnsweredBesideThoseThatSendAhead)
{
  constexpr std::size_t kConnections = 4;
  SmallServer server({ .m_maxConnections = kConnections });
  const std::string requests = std::string(kRequest) + kRequest + kRequest;
  std::list<Client> crowd;
  for (std::size_t count = 0; count < kConnections; ++count) {
    crowd.emplace_back(server.At()).Send(requests);
  }
  server.Run();
  Client client(server.At());
  server.ReplyToAll();
  server.Run();
  server.ReplyToAll();
  server.Run();
  client.Send(kRequest);
  server.Run();
  server.ReplyToAll();
  server.Run();
  EXPECT_TRUE(client.Read().starts_with("HTTP/1.1 200"));
}

/// A crowd and the load balancer send in the same turn of the loop: the load
/// balancer was refused for bytes of connections that were to be closed.
TEST(HttpServerShed, RequestIsNotRefusedForConnectionsThatAreToBeClosed)
{
  constexpr std::size_t kBytes = std::size_t{ 64 } * 1024;
  constexpr std::size_t kCrowd = 16;
  SmallServer server({ .m_maxBytes = kBytes });
  const std::string unfinished =
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" +
    std::string(2 * kBytes / kCrowd, 'x');
  std::list<Client> crowd;
  for (std::size_t count = 0; count < kCrowd; ++count) {
    crowd.emplace_back(server.At()).Send(unfinished);
  }
  Client client(server.At());
  client.Send(kRequest);
  server.Run();
  server.ReplyToAll();
  server.Run();
  EXPECT_TRUE(client.Read().starts_with("HTTP/1.1 200"));
}

} // namespace

} // namespace lacewing::net
