/// Guards against untrue verdicts of the HTTP client and against clients that
/// harm the server by what they send or by going away.
#include "net/HttpClient.h"
#include "net/HttpServer.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace lacewing::net {

namespace {

/// A TCP socket on loopback, closed at the end.
class Socket
{
public:
  Socket()
    : m_handle(socket(AF_INET, SOCK_STREAM, 0))
  {
  }
  explicit Socket(int aHandle)
    : m_handle(aHandle)
  {
  }
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  void Close()
  {
    if (m_handle >= 0) {
      close(m_handle);
    }
    m_handle = -1;
  }

  /// Binds to an ephemeral port.
  Address Bind() const
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address); // NOLINT
    EXPECT_EQ(bind(m_handle, generic, size), 0);
    EXPECT_EQ(getsockname(m_handle, generic, &size), 0);
    return { "127.0.0.1", ntohs(address.sin_port) };
  }

  void Connect(const Address& aTo) const
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(aTo.m_port);
    auto* generic = reinterpret_cast<sockaddr*>(&address); // NOLINT
    ASSERT_EQ(connect(m_handle, generic, sizeof(address)), 0);
  }

  void Write(const std::string& aText) const
  {
    EXPECT_EQ(send(m_handle, aText.data(), aText.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(aText.size()));
  }

  /// Runs the loop until the text has arrived or the peer has closed, and
  /// returns what came.
  std::string ReadUntil(Loop& aLoop, const std::string& aText) const
  {
    std::string all;
    std::array<char, 4096> bytes{};
    while (all.find(aText) == std::string::npos) {
      aLoop.Poll();
      const ssize_t count =
        recv(m_handle, bytes.data(), bytes.size(), MSG_DONTWAIT);
      if (count > 0) {
        all.append(bytes.data(), static_cast<std::size_t>(count));
      } else if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
        break;
      }
    }
    return all;
  }

  int Handle() const { return m_handle; }

private:
  int m_handle;
};

Address
FreeAddress()
{
  return Socket().Bind();
}

/// Starts a request whose outcome is stored in the argument.
void
Start(HttpClient& aClient,
      const Address& aTo,
      std::optional<HttpOutcome>& aOutcome)
{
  HttpRequest request;
  request.m_method = "POST";
  request.m_path = "/v1/test";
  request.m_body = "body";
  aClient.Send(aTo, request, seconds(60), [&](const HttpOutcome& aResult) {
    EXPECT_FALSE(aOutcome) << "called back twice";
    aOutcome = aResult;
  });
}

void
RunUntilDone(Loop& aLoop, const std::optional<HttpOutcome>& aOutcome)
{
  while (!aOutcome) {
    aLoop.Poll();
  }
}

/// A peer that reads a whole request, answers with the text and closes.
Error
ErrorAfterAnswer(const std::string& aAnswer)
{
  Loop loop;
  HttpClient client(loop);
  const Socket listener;
  const Address address = listener.Bind();
  EXPECT_EQ(listen(listener.Handle(), 1), 0);
  std::optional<HttpOutcome> outcome;
  Start(client, address, outcome);
  loop.Poll();
  {
    const Socket peer(accept(listener.Handle(), nullptr, nullptr));
    EXPECT_TRUE(peer.ReadUntil(loop, "body").ends_with("body"));
    peer.Write(aAnswer);
  }
  RunUntilDone(loop, outcome);
  EXPECT_FALSE(outcome->m_response);
  return outcome->m_error;
}

/// A server that counts requests and answers them at once.
struct CountingServer
{
  Loop m_loop;
  int m_handled = 0;
  HttpServer m_server{ m_loop,
                       HttpServerLimits{},
                       [this](const HttpRequest&, const HttpReply& aReply) {
                         ++m_handled;
                         aReply(JsonResponse(200, "{}"));
                       } };
  Address m_address = FreeAddress();

  CountingServer() { EXPECT_TRUE(m_server.Listen(m_address)); }

  /// The status line and headers of the answer to a text.
  std::string AnswerTo(const std::string& aText)
  {
    const Socket client;
    client.Connect(m_address);
    client.Write(aText);
    return client.ReadUntil(m_loop, "\r\n\r\n");
  }
};

bool
HasStatus(const std::string& aAnswer, const std::string& aStatus)
{
  return aAnswer.starts_with("HTTP/1.1 " + aStatus) ||
         aAnswer.starts_with("HTTP/1.0 " + aStatus);
}

} // namespace

TEST(HttpLoopback, RefusedConnectionHasNotRun)
{
  Loop loop;
  HttpClient client(loop);
  const Socket bound; // bound without listening: refuses connections
  std::optional<HttpOutcome> outcome;
  Start(client, bound.Bind(), outcome);
  RunUntilDone(loop, outcome);
  EXPECT_FALSE(outcome->m_response);
  EXPECT_EQ(outcome->m_error.m_verdict, Verdict::NotRun);
  EXPECT_EQ(outcome->m_error.m_code, ErrorCode::Unavailable);
}

TEST(HttpLoopback, ConnectionClosedAfterTheRequestMayHaveRun)
{
  EXPECT_EQ(ErrorAfterAnswer("").m_verdict, Verdict::MayHaveRun);
}

TEST(HttpLoopback, ShortAnswerIsNotPassedOn)
{
  const auto error =
    ErrorAfterAnswer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort");
  EXPECT_EQ(error.m_verdict, Verdict::MayHaveRun);
}

TEST(HttpLoopback, TooManyHeadersAreRefused)
{
  CountingServer server;
  std::string repeated;
  std::string distinct;
  for (int i = 0; i < 65; ++i) {
    repeated += "X: 1\r\n";
    distinct += "X" + std::to_string(i) + ": 1\r\n";
  }
  const std::string start = "GET / HTTP/1.1\r\n";
  EXPECT_TRUE(HasStatus(server.AnswerTo(start + distinct + "\r\n"), "413"));
  EXPECT_TRUE(HasStatus(server.AnswerTo(start + repeated + "\r\n"), "413"));
  EXPECT_EQ(server.m_handled, 0);
  EXPECT_TRUE(HasStatus(server.AnswerTo(start + "X: 1\r\n\r\n"), "200"));
}

TEST(HttpLoopback, TooLargeHeadersAndBodiesAreRefused)
{
  CountingServer server;
  const std::string large(17 * 1024, 'x');
  const std::string headers =
    server.AnswerTo("GET / HTTP/1.1\r\nX: " + large + "\r\n\r\n");
  EXPECT_FALSE(HasStatus(headers, "200")) << headers;
  const std::string body =
    server.AnswerTo("POST / HTTP/1.1\r\nContent-Length: 1048577\r\n\r\n");
  EXPECT_TRUE(HasStatus(body, "413")) << body;
  EXPECT_EQ(server.m_handled, 0);
  EXPECT_TRUE(HasStatus(server.AnswerTo("GET / HTTP/1.1\r\n\r\n"), "200"));
}

TEST(HttpLoopback, PathsAndQueriesThatAreNotUtf8AreRefused)
{
  CountingServer server;
  const std::string end = " HTTP/1.1\r\n\r\n";
  EXPECT_TRUE(HasStatus(server.AnswerTo("GET /v1/jobs/s.%ff" + end), "400"));
  EXPECT_TRUE(HasStatus(server.AnswerTo("GET /?team=%c0%80" + end), "400"));
  EXPECT_EQ(server.m_handled, 0);
  EXPECT_TRUE(HasStatus(server.AnswerTo("GET /%c3%bc" + end), "200"));
}

TEST(HttpLoopback, ClientThatGoesAwayBeforeTheReplyDoesNoHarm)
{
  Loop loop;
  std::vector<HttpReply> replies;
  HttpServer server(
    loop, HttpServerLimits{}, [&](const HttpRequest&, const HttpReply& aReply) {
      replies.push_back(aReply);
    });
  const Address address = FreeAddress();
  ASSERT_TRUE(server.Listen(address));
  {
    const Socket client;
    client.Connect(address);
    client.Write("GET / HTTP/1.1\r\n\r\n");
    while (replies.empty()) {
      loop.Poll();
    }
  }
  // The loop may or may not notice the end of the connection before the reply.
  for (int i = 0; i < 10; ++i) {
    loop.Poll();
  }
  EXPECT_EQ(server.OpenRequests(), 1U);
  replies[0](JsonResponse(200, std::string(100'000, 'x')));
  EXPECT_EQ(server.OpenRequests(), 0U);

  HttpClient client(loop);
  std::optional<HttpOutcome> outcome;
  Start(client, address, outcome);
  while (replies.size() < 2) {
    loop.Poll();
  }
  replies[1](JsonResponse(202, "{}"));
  RunUntilDone(loop, outcome);
  ASSERT_TRUE(outcome->m_response);
  EXPECT_EQ(outcome->m_response->m_status, 202);
  EXPECT_EQ(client.BusyConnections(), 0U);
}

TEST(HttpLoopback, ErrorsQuoteInvalidUtf8WithoutFailing)
{
  const auto response = ErrorResponse(
    { Verdict::NotRun, ErrorCode::BadInput, "X-Request-Class is '\xff'" });
  EXPECT_EQ(response.m_status, 400);
  EXPECT_EQ(nlohmann::json::parse(response.m_body).at("verdict"), "not_run");
}

} // namespace lacewing::net
