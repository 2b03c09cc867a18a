/// Guards against bytes of a peer that crash the codec, the handshake or the
/// server, or that reach the handler without a handshake. Seeds are fixed, so a
/// failure repeats. Runs with the sanitizers find reads outside of buffers.
#include "fakes/PeerSamples.h"
#include "fakes/PeerSupport.h"
#include "peer/PeerCodec.h"

#include <gtest/gtest.h>

#include <random>

namespace lacewing::peer {

namespace {

constexpr std::uint64_t kSeed = 20261204;

class ByteSource
{
public:
  explicit ByteSource(std::uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  std::size_t Below(std::size_t aBound)
  {
    return std::uniform_int_distribution<std::size_t>(0, aBound - 1)(m_random);
  }

  std::string Random(std::size_t aMaxSize)
  {
    std::string bytes(Below(aMaxSize + 1), '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(Below(256));
    }
    return bytes;
  }

  std::string Nonce()
  {
    std::string nonce(kNonceBytes, '\0');
    for (char& byte : nonce) {
      byte = static_cast<char>(Below(256));
    }
    return nonce;
  }

  /// Flips, inserts, removes or doubles bytes, or cuts the end off.
  std::string Mutate(std::string aBytes)
  {
    const std::size_t changes = 1 + Below(4);
    for (std::size_t change = 0; change < changes && !aBytes.empty();
         ++change) {
      const std::size_t at = Below(aBytes.size());
      switch (Below(5)) {
        case 0:
          aBytes[at] = static_cast<char>(Below(256));
          break;
        case 1:
          aBytes.insert(at, Random(4));
          break;
        case 2:
          aBytes.erase(at, 1 + Below(4));
          break;
        case 3:
          aBytes.insert(at, aBytes.substr(at, 1 + Below(16)));
          break;
        default:
          aBytes.resize(at);
          break;
      }
    }
    return aBytes;
  }

private:
  std::mt19937_64 m_random;
};

/// Decodes and, if that succeeds, checks that the value is encodable again.
void
CheckDecode(const std::string& aBytes)
{
  const auto decoded = DecodeMessage(aBytes);
  if (!decoded.m_value) {
    EXPECT_FALSE(decoded.m_detail.empty());
    return;
  }
  const auto again = DecodeMessage(EncodeMessage(*decoded.m_value));
  ASSERT_TRUE(again.m_value.has_value()) << again.m_detail;
  EXPECT_EQ(again.m_value->index(), decoded.m_value->index());
}

/// The bytes of a whole client session after the handshake, with one request.
std::string
SessionBytes(const std::string& aRequest)
{
  Http2Session session(SessionSide::Client, {});
  session.SubmitRequest(aRequest);
  std::string bytes;
  for (auto piece = session.NextOutput(); !piece.empty();
       piece = session.NextOutput()) {
    bytes.append(piece);
  }
  return bytes;
}

} // namespace

TEST(PeerFuzz, CodecTakesAnyBytes)
{
  ByteSource source(kSeed);
  const auto samples = fakes::SampleMessages();
  constexpr int kRounds = 20'000;
  for (int round = 0; round < kRounds; ++round) {
    CheckDecode(source.Random(64));
    CheckDecode(
      source.Mutate(EncodeMessage(samples[source.Below(samples.size())])));
    DecodeFrame(source.Random(64));
  }
}

TEST(PeerFuzz, CodecTakesEveryTruncation)
{
  for (const PeerMessage& message : fakes::SampleMessages()) {
    const std::string bytes = EncodeMessage(message);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CheckDecode(bytes.substr(0, size));
    }
  }
}

TEST(PeerFuzz, HandshakeNeverCompletesOnChangedBytes)
{
  ByteSource source(kSeed);
  ReplayGuard guard;
  constexpr int kRounds = 3'000;
  for (int round = 0; round < kRounds; ++round) {
    ClientHandshake client(
      fakes::ConfigOf("client"), VmId("server"), source.Nonce(), Time());
    ServerHandshake server(
      fakes::ConfigOf("server"), source.Nonce(), guard, Time());
    const std::string challenge = client.Start();
    // One of the three frames is changed on the way.
    const std::size_t changed = source.Below(3);
    const auto pass = [&](std::size_t aFrame, const std::string& aBytes) {
      return changed == aFrame ? source.Mutate(aBytes) : aBytes;
    };
    const std::string first = pass(0, challenge);
    const auto answer = server.OnBytes(Time(), first);
    const std::string second = pass(1, answer.m_output);
    const auto proof = client.OnBytes(Time(), second);
    const std::string third = pass(2, proof.m_output);
    const auto last = server.OnBytes(Time(), third);
    if (last.m_complete) {
      // The mutation had no effect on what was read: same bytes, or bytes
      // appended after the last frame.
      EXPECT_EQ(first, challenge) << "round " << round;
      EXPECT_EQ(third.substr(0, proof.m_output.size()), proof.m_output)
        << "round " << round;
    }
  }
}

TEST(PeerFuzz, RandomBytesNeverCompleteAHandshake)
{
  ByteSource source(kSeed);
  ReplayGuard guard;
  constexpr int kRounds = 5'000;
  for (int round = 0; round < kRounds; ++round) {
    ServerHandshake server(
      fakes::ConfigOf("server"), source.Nonce(), guard, Time());
    ClientHandshake client(
      fakes::ConfigOf("client"), VmId("server"), source.Nonce(), Time());
    EXPECT_FALSE(server.OnBytes(Time(), source.Random(200)).m_complete);
    EXPECT_FALSE(client.OnBytes(Time(), source.Random(200)).m_complete);
  }
}

TEST(PeerFuzz, SessionsTakeAnyBytes)
{
  ByteSource source(kSeed);
  const auto samples = fakes::SampleMessages();
  constexpr int kRounds = 5'000;
  for (int round = 0; round < kRounds; ++round) {
    const std::string request =
      EncodeMessage(samples[source.Below(samples.size())]);
    Http2Session server(SessionSide::Server, {});
    server.Feed(source.Mutate(SessionBytes(request)));
    for (const SessionEvent& event : server.TakeEvents()) {
      server.SubmitReply(event.m_stream, event.m_body);
    }
    std::string replies;
    for (auto piece = server.NextOutput(); !piece.empty();
         piece = server.NextOutput()) {
      replies.append(piece);
    }
    Http2Session client(SessionSide::Client, {});
    client.SubmitRequest(request);
    while (!client.NextOutput().empty()) {
    }
    client.Feed(source.Mutate(replies));
    while (!client.NextOutput().empty()) {
    }
    for (const SessionEvent& event : client.TakeEvents()) {
      if (event.m_whole) {
        DecodeMessage(event.m_body);
      }
    }
  }
}

TEST(PeerFuzz, ServerSurvivesBytesBeforeAndAfterTheHandshake)
{
  ByteSource source(kSeed);
  net::Loop loop;
  int handled = 0;
  bool authenticated = false;
  PeerServer server(
    loop,
    fakes::ServerOptions(),
    [&](const PeerIdentity&, const PeerMessage&, const PeerReply& aReply) {
      EXPECT_TRUE(authenticated);
      ++handled;
      aReply(Acknowledgement{});
    });
  ASSERT_TRUE(fakes::ListenOnLoopback(server));
  const std::string valid = SessionBytes(EncodeMessage(fakes::SampleRequest()));
  constexpr int kRounds = 400;
  for (int round = 0; round < kRounds; ++round) {
    fakes::RawClient client(loop, server.Port());
    ASSERT_TRUE(client.m_socket.IsOpen());
    authenticated = round % 2 == 0;
    if (authenticated) {
      ASSERT_TRUE(client.Authenticate(fakes::ConfigOf("client")));
    }
    client.m_socket.Send(round % 3 == 0 ? source.Random(300)
                                        : source.Mutate(valid));
    loop.Poll();
    loop.Poll();
    client.m_socket.Close();
    ASSERT_TRUE(
      fakes::RunUntil(loop, [&] { return server.Connections() == 0; }))
      << "round " << round;
  }
  EXPECT_GT(server.Faults().Total(), 0U);
  EXPECT_EQ(server.RunningRequests(), 0U);
  // The server still serves a proper peer.
  authenticated = true;
  const int before = handled;
  fakes::RawClient client(loop, server.Port());
  ASSERT_TRUE(client.Authenticate(fakes::ConfigOf("client")));
  client.m_socket.Send(valid);
  EXPECT_TRUE(fakes::RunUntil(loop, [&] { return handled == before + 1; }));
}

} // namespace lacewing::peer
