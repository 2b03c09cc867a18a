/// Guards against a server that hands anything to its handler before the
/// handshake, or that keeps a connection after a refusal, or does not count it.
#include "fakes/PeerSupport.h"
#include "peer/PeerCodec.h"

#include <gtest/gtest.h>

namespace lacewing::peer {

namespace {

using namespace std::string_literals;
using fakes::RawClient;
using fakes::RunUntil;

/// A server that counts the messages that reach its handler.
struct CountingServer
{
  explicit CountingServer(PeerServerOptions aOptions = fakes::ServerOptions())
    : m_server(m_loop,
               std::move(aOptions),
               [this](const PeerIdentity&,
                      const PeerMessage&,
                      const PeerReply& aReply) {
                 ++m_handled;
                 aReply(Acknowledgement{});
               })
    , m_listening(fakes::ListenOnLoopback(m_server))
  {
  }

  /// Sends bytes on a new connection and expects the fault and the close.
  void ExpectFault(const std::string& aBytes, PeerFault aFault)
  {
    const auto before = m_server.Faults().Count(aFault);
    RawClient client(m_loop, m_server.Port());
    client.m_socket.Send(aBytes);
    EXPECT_TRUE(client.WaitForEnd()) << NameOf(aFault);
    EXPECT_EQ(m_server.Faults().Count(aFault), before + 1) << NameOf(aFault);
    EXPECT_EQ(m_server.Connections(), 0U);
    EXPECT_EQ(m_handled, 0);
  }

  net::Loop m_loop;
  int m_handled = 0;
  PeerServer m_server;
  bool m_listening;
};

Challenge
GoodChallenge()
{
  Challenge challenge;
  challenge.m_cluster = "cell";
  challenge.m_client = { VmId("client"), 7 };
  challenge.m_nonce = MakeNonce();
  challenge.m_target = VmId("server");
  return challenge;
}

} // namespace

TEST(PeerServerRefusals, HandshakeFaultsAreCountedAndClose)
{
  CountingServer server;
  ASSERT_TRUE(server.m_listening);
  Challenge challenge = GoodChallenge();
  challenge.m_cluster = "other";
  server.ExpectFault(PackFrame(challenge), PeerFault::OtherCluster);
  challenge = GoodChallenge();
  challenge.m_version = 9;
  server.ExpectFault(PackFrame(challenge), PeerFault::UnknownVersion);
  challenge = GoodChallenge();
  challenge.m_target = VmId("third");
  server.ExpectFault(PackFrame(challenge), PeerFault::WrongPeer);
  challenge = GoodChallenge();
  server.ExpectFault(PackFrame(challenge) + PackFrame(Proof{ "guess" }),
                     PeerFault::WrongSecret);
  server.ExpectFault("\x7f\x00\x00\x00"s, PeerFault::OversizedFrame);
  server.ExpectFault("\x00\x00\x00\x02\xff\xff"s, PeerFault::Malformed);
  server.ExpectFault("\x00\x00\x00\x02\x7a\x00"s, PeerFault::UnknownKind);
  server.ExpectFault(PackFrame(Accepted{}), PeerFault::OutOfOrder);
}

TEST(PeerServerRefusals, Http2BeforeTheHandshakeIsNotProcessed)
{
  CountingServer server;
  Http2Session session(SessionSide::Client, {});
  session.SubmitRequest(EncodeMessage(Opaque{ "kind", "text" }));
  std::string bytes;
  for (auto piece = session.NextOutput(); !piece.empty();
       piece = session.NextOutput()) {
    bytes.append(piece);
  }
  // "PRI " is read as the length of a huge frame.
  server.ExpectFault(bytes, PeerFault::OversizedFrame);
}

TEST(PeerServerRefusals, ReplayedHandshake)
{
  CountingServer server;
  std::string recorded;
  {
    RawClient client(server.m_loop, server.m_server.Port());
    ClientHandshake handshake(
      fakes::ConfigOf("client"), VmId("server"), MakeNonce(), Time());
    recorded = handshake.Start();
    client.m_socket.Send(recorded);
    ASSERT_TRUE(RunUntil(server.m_loop, [&] {
      const auto step = handshake.OnBytes(Time(), client.m_socket.Receive());
      client.m_socket.Send(step.m_output);
      recorded += step.m_output;
      return step.m_complete;
    }));
  }
  ASSERT_TRUE(RunUntil(server.m_loop,
                       [&] { return server.m_server.Connections() == 0; }));
  server.ExpectFault(recorded, PeerFault::Replayed);
}

TEST(PeerServerRefusals, SilentPeerIsDisconnected)
{
  PeerServerOptions options = fakes::ServerOptions();
  options.m_handshake.m_timeout = milliseconds(1);
  options.m_sweepPeriod = milliseconds(1);
  CountingServer server(options);
  server.ExpectFault("", PeerFault::HandshakeTimeout);
}

TEST(PeerServerRefusals, ConnectionsAreBounded)
{
  PeerServerOptions options = fakes::ServerOptions();
  options.m_maxConnections = 2;
  CountingServer server(options);
  RawClient first(server.m_loop, server.m_server.Port());
  RawClient second(server.m_loop, server.m_server.Port());
  ASSERT_TRUE(RunUntil(server.m_loop,
                       [&] { return server.m_server.Connections() == 2; }));
  RawClient third(server.m_loop, server.m_server.Port());
  EXPECT_TRUE(third.WaitForEnd());
  EXPECT_EQ(server.m_server.Faults().Count(PeerFault::TooManyConnections), 1U);
  EXPECT_EQ(server.m_server.Connections(), 2U);
}

TEST(PeerServerRefusals, BadMessagesAreRefusedAsNotRunAndClose)
{
  const std::vector<std::pair<std::string, PeerFault>> cases = {
    { "\x08\x02\xa2\x06\x00"s, PeerFault::UnknownKind },
    { "\x08\x03\x22\x00"s, PeerFault::UnknownVersion },
    { "\x08\x02\x22\x00"s, PeerFault::Malformed },
    { EncodeMessage(JobReply{ 7, "" }), PeerFault::BadValue },
  };
  CountingServer server;
  for (const auto& [bytes, fault] : cases) {
    RawClient client(server.m_loop, server.m_server.Port());
    ASSERT_TRUE(client.Authenticate(fakes::ConfigOf("client")));
    client.m_session.SubmitRequest(bytes);
    std::string reply;
    EXPECT_TRUE(RunUntil(server.m_loop, [&] {
      client.Pump();
      for (const auto& event : client.m_session.TakeEvents()) {
        if (event.m_kind == SessionEventKind::StreamClosed) {
          reply = event.m_body;
        }
      }
      return client.m_socket.Ended();
    }));
    const auto decoded = DecodeMessage(reply);
    ASSERT_TRUE(decoded.m_value.has_value()) << decoded.m_detail;
    EXPECT_EQ(std::get<Refusal>(*decoded.m_value).m_error.m_verdict,
              Verdict::NotRun);
    EXPECT_EQ(server.m_server.Faults().Count(fault), 1U);
    EXPECT_EQ(server.m_server.Connections(), 0U);
  }
  EXPECT_EQ(server.m_handled, 0);
}

TEST(PeerServerRefusals, OversizedMessageClosesTheConnection)
{
  CountingServer server;
  RawClient client(server.m_loop, server.m_server.Port());
  ASSERT_TRUE(client.Authenticate(fakes::ConfigOf("client")));
  client.m_session.SubmitRequest(std::string(kMaxMessageBytes + 1, 'a'));
  ASSERT_TRUE(RunUntil(server.m_loop, [&] {
    client.Pump();
    return client.m_socket.Ended();
  }));
  EXPECT_EQ(server.m_server.Faults().Count(PeerFault::OversizedFrame), 1U);
  EXPECT_EQ(server.m_handled, 0);
}

TEST(PeerServerRefusals, OversizedHttp2FrameClosesTheConnection)
{
  CountingServer server;
  RawClient client(server.m_loop, server.m_server.Port());
  ASSERT_TRUE(client.Authenticate(fakes::ConfigOf("client")));
  client.Pump();
  // The head of a DATA frame of 16 MiB - 1 on stream 1.
  client.m_socket.Send("\xff\xff\xff\x00\x00\x00\x00\x00\x01"s);
  EXPECT_TRUE(client.WaitForEnd());
  EXPECT_EQ(server.m_server.Faults().Count(PeerFault::OversizedFrame), 1U);
}

TEST(PeerServerRefusals, GarbageAfterTheHandshakeClosesTheConnection)
{
  CountingServer server;
  RawClient client(server.m_loop, server.m_server.Port());
  ASSERT_TRUE(client.Authenticate(fakes::ConfigOf("client")));
  client.m_socket.Send("GET / HTTP/1.1\r\n\r\n................");
  EXPECT_TRUE(client.WaitForEnd());
  EXPECT_EQ(server.m_server.Faults().Count(PeerFault::ProtocolError), 1U);
  EXPECT_EQ(server.m_server.Connections(), 0U);
}

TEST(PeerServerRefusals, ResetStreamsDoNotPileUpRunningRequests)
{
  PeerServerOptions options = fakes::ServerOptions();
  options.m_limits.m_maxStreams = 3;
  net::Loop loop;
  std::vector<PeerReply> waiting;
  PeerServer server(
    loop,
    options,
    [&](const PeerIdentity&, const PeerMessage&, PeerReply aReply) {
      waiting.push_back(std::move(aReply));
    });
  ASSERT_TRUE(fakes::ListenOnLoopback(server));
  RawClient client(loop, server.Port());
  ASSERT_TRUE(client.Authenticate(fakes::ConfigOf("client")));
  constexpr int kRequests = 20;
  for (int request = 0; request < kRequests; ++request) {
    const auto stream =
      client.m_session.SubmitRequest(EncodeMessage(Opaque{ "kind", "text" }));
    ASSERT_TRUE(stream.has_value());
    const auto seen = waiting.size();
    const auto refused = server.Faults().Count(PeerFault::TooManyStreams);
    ASSERT_TRUE(RunUntil(loop, [&] {
      client.Pump();
      return waiting.size() > seen ||
             server.Faults().Count(PeerFault::TooManyStreams) > refused;
    }));
    client.m_session.Reset(*stream);
  }
  EXPECT_EQ(waiting.size(), 3U);
  EXPECT_EQ(server.RunningRequests(), 3U);
  EXPECT_EQ(server.Faults().Count(PeerFault::TooManyStreams), kRequests - 3U);
  for (const PeerReply& reply : waiting) {
    reply(Acknowledgement{});
    reply(Acknowledgement{});
  }
  EXPECT_EQ(server.RunningRequests(), 0U);
  EXPECT_EQ(server.LateReplies(), 3U);
}

TEST(PeerServerRefusals, EmptySecretIsNotServed)
{
  PeerServerOptions options = fakes::ServerOptions();
  options.m_handshake.m_secret.clear();
  const CountingServer server(options);
  EXPECT_FALSE(server.m_listening);
}

} // namespace lacewing::peer
