/// Guards against a handshake that accepts a peer without the secret, of
/// another cluster or version, or with bytes that were recorded before.
#include "fakes/PeerSupport.h"
#include "peer/Handshake.h"

#include <gtest/gtest.h>

namespace lacewing::peer {

namespace {

/// One handshake whose frames the test may change on the way.
struct Exchange
{
  HandshakeConfig m_clientConfig = fakes::ConfigOf("client");
  HandshakeConfig m_serverConfig = fakes::ConfigOf("server");
  VmId m_target{ "server" };
  ReplayGuard m_guard;
  std::string m_challenge;
  std::string m_proof;

  /// The fault of the server, else of the client, else nothing.
  std::optional<PeerFault> Run()
  {
    ClientHandshake client(m_clientConfig, m_target, MakeNonce(), Time());
    ServerHandshake server(m_serverConfig, MakeNonce(), m_guard, Time());
    m_challenge = client.Start();
    const auto answer = server.OnBytes(Time(), m_challenge);
    if (answer.m_fault) {
      // The client learns the same reason.
      EXPECT_EQ(client.OnBytes(Time(), answer.m_output).m_fault,
                answer.m_fault);
      return answer.m_fault;
    }
    const auto proof = client.OnBytes(Time(), answer.m_output);
    m_proof = proof.m_output;
    const auto last = server.OnBytes(Time(), m_proof);
    EXPECT_EQ(last.m_complete, !last.m_fault.has_value());
    return last.m_fault;
  }
};

} // namespace

TEST(PeerHandshakeRefusals, UnchangedExchangeCompletes)
{
  EXPECT_EQ(Exchange().Run(), std::nullopt);
}

TEST(PeerHandshakeRefusals, WrongSecret)
{
  Exchange exchange;
  exchange.m_clientConfig.m_secret = "guess";
  EXPECT_EQ(exchange.Run(), PeerFault::WrongSecret);
}

TEST(PeerHandshakeRefusals, ServerChecksTheProofItself)
{
  // A client that skips its own check must still fail at the server.
  ReplayGuard guard;
  HandshakeConfig config = fakes::ConfigOf("client");
  ServerHandshake server(fakes::ConfigOf("server"), MakeNonce(), guard, Time());
  Challenge challenge;
  challenge.m_cluster = config.m_cluster;
  challenge.m_client = config.m_self;
  challenge.m_nonce = MakeNonce();
  challenge.m_target = VmId("server");
  ASSERT_FALSE(server.OnBytes(Time(), PackFrame(challenge)).m_fault);
  const auto step =
    server.OnBytes(Time(), PackFrame(Proof{ std::string(32, 'x') }));
  EXPECT_EQ(step.m_fault, PeerFault::WrongSecret);
  EXPECT_FALSE(step.m_complete);
  EXPECT_FALSE(guard.Seen(challenge.m_nonce));
  // Nothing further is taken after the refusal.
  const auto after = server.OnBytes(Time(), PackFrame(challenge));
  EXPECT_TRUE(after.m_output.empty());
  EXPECT_FALSE(after.m_complete);
}

TEST(PeerHandshakeRefusals, ProofOfTheServerCannotBeSentBack)
{
  ReplayGuard guard;
  ServerHandshake server(fakes::ConfigOf("server"), MakeNonce(), guard, Time());
  Challenge challenge;
  challenge.m_cluster = "cell";
  challenge.m_client = { VmId("client"), 7 };
  challenge.m_nonce = MakeNonce();
  challenge.m_target = VmId("server");
  const auto step = server.OnBytes(Time(), PackFrame(challenge));
  constexpr std::size_t kLengthBytes = 4;
  const auto frame = DecodeFrame(step.m_output.substr(kLengthBytes));
  ASSERT_TRUE(frame.m_value.has_value());
  const auto answer = std::get<ChallengeAnswer>(*frame.m_value);
  EXPECT_EQ(server.OnBytes(Time(), PackFrame(Proof{ answer.m_proof })).m_fault,
            PeerFault::WrongSecret);
}

TEST(PeerHandshakeRefusals, ChallengeCannotBeRelayedToItsSender)
{
  // Two connections in opposite directions: the answer of one must not serve as
  // the proof in the other.
  const HandshakeConfig config = fakes::ConfigOf("server");
  Challenge challenge;
  challenge.m_client = { VmId("server"), 7 };
  challenge.m_nonce = std::string(kNonceBytes, 'n');
  challenge.m_target = VmId("server");
  const PeerIdentity self{ VmId("server"), 7 };
  EXPECT_NE(
    ComputeProof(ProofSide::Client, config, challenge, self, challenge.m_nonce),
    ComputeProof(
      ProofSide::Server, config, challenge, self, challenge.m_nonce));
}

TEST(PeerHandshakeRefusals, ProofCoversEveryField)
{
  const HandshakeConfig config = fakes::ConfigOf("server");
  Challenge challenge;
  challenge.m_client = { VmId("client"), 7 };
  challenge.m_nonce = std::string(kNonceBytes, 'n');
  challenge.m_target = VmId("server");
  const PeerIdentity server{ VmId("server"), 8 };
  const std::string nonce(kNonceBytes, 'm');
  const auto proof = [&](const HandshakeConfig& aConfig,
                         const Challenge& aChallenge,
                         const PeerIdentity& aServer,
                         const std::string& aNonce) {
    return ComputeProof(
      ProofSide::Client, aConfig, aChallenge, aServer, aNonce);
  };
  const std::string base = proof(config, challenge, server, nonce);
  EXPECT_EQ(base.size(), 32U);

  HandshakeConfig otherCluster = config;
  otherCluster.m_cluster = "other";
  EXPECT_NE(proof(otherCluster, challenge, server, nonce), base);
  HandshakeConfig otherSecret = config;
  otherSecret.m_secret = "other";
  EXPECT_NE(proof(otherSecret, challenge, server, nonce), base);
  Challenge otherVm = challenge;
  otherVm.m_client.m_vm = VmId("other");
  EXPECT_NE(proof(config, otherVm, server, nonce), base);
  Challenge otherIncarnation = challenge;
  otherIncarnation.m_client.m_incarnation = 9;
  EXPECT_NE(proof(config, otherIncarnation, server, nonce), base);
  Challenge otherNonce = challenge;
  otherNonce.m_nonce = std::string(kNonceBytes, 'o');
  EXPECT_NE(proof(config, otherNonce, server, nonce), base);
  EXPECT_NE(proof(config, challenge, { VmId("other"), 8 }, nonce), base);
  EXPECT_NE(proof(config, challenge, { VmId("server"), 9 }, nonce), base);
  EXPECT_NE(proof(config, challenge, server, std::string(kNonceBytes, 'o')),
            base);
  // Moving a byte from one field to the next must change the proof.
  Challenge shifted = challenge;
  shifted.m_client.m_vm = VmId("clien");
  HandshakeConfig shiftedConfig = config;
  shiftedConfig.m_cluster = "cellt";
  EXPECT_NE(proof(shiftedConfig, shifted, server, nonce), base);
}

TEST(PeerHandshakeRefusals, OtherCluster)
{
  Exchange exchange;
  exchange.m_clientConfig.m_cluster = "other";
  EXPECT_EQ(exchange.Run(), PeerFault::OtherCluster);
}

TEST(PeerHandshakeRefusals, AnotherVmAtTheAddress)
{
  Exchange exchange;
  exchange.m_target = VmId("third");
  EXPECT_EQ(exchange.Run(), PeerFault::WrongPeer);
}

TEST(PeerHandshakeRefusals, UnknownVersion)
{
  ReplayGuard guard;
  ServerHandshake server(fakes::ConfigOf("server"), MakeNonce(), guard, Time());
  Challenge challenge;
  challenge.m_version = kProtocolVersion + 1;
  challenge.m_cluster = "cell";
  challenge.m_client = { VmId("client"), 7 };
  challenge.m_nonce = MakeNonce();
  challenge.m_target = VmId("server");
  EXPECT_EQ(server.OnBytes(Time(), PackFrame(challenge)).m_fault,
            PeerFault::UnknownVersion);
}

TEST(PeerHandshakeRefusals, RecordedHandshake)
{
  Exchange exchange;
  ASSERT_EQ(exchange.Run(), std::nullopt);
  ServerHandshake again(
    exchange.m_serverConfig, MakeNonce(), exchange.m_guard, Time());
  EXPECT_EQ(
    again.OnBytes(Time(), exchange.m_challenge + exchange.m_proof).m_fault,
    PeerFault::Replayed);
  // Also without the memory of the guard, the recorded proof is worth nothing.
  ReplayGuard forgetful;
  ServerHandshake fresh(
    exchange.m_serverConfig, MakeNonce(), forgetful, Time());
  EXPECT_EQ(
    fresh.OnBytes(Time(), exchange.m_challenge + exchange.m_proof).m_fault,
    PeerFault::WrongSecret);
}

TEST(PeerHandshakeRefusals, OversizedFrame)
{
  ReplayGuard guard;
  ServerHandshake server(fakes::ConfigOf("server"), MakeNonce(), guard, Time());
  EXPECT_EQ(server.OnBytes(Time(), std::string("\x00\x10\x00\x01", 4)).m_fault,
            PeerFault::OversizedFrame);
}

TEST(PeerHandshakeRefusals, FramesOutOfOrder)
{
  const std::vector<HandshakeFrame> frames = { Proof{ "p" }, Accepted{} };
  for (const HandshakeFrame& frame : frames) {
    ReplayGuard guard;
    ServerHandshake server(
      fakes::ConfigOf("server"), MakeNonce(), guard, Time());
    EXPECT_EQ(server.OnBytes(Time(), PackFrame(frame)).m_fault,
              PeerFault::OutOfOrder);
    ClientHandshake client(
      fakes::ConfigOf("client"), VmId("server"), MakeNonce(), Time());
    EXPECT_EQ(client.OnBytes(Time(), PackFrame(frame)).m_fault,
              PeerFault::OutOfOrder);
  }
}

TEST(PeerHandshakeRefusals, TimeIsUp)
{
  ReplayGuard guard;
  const HandshakeConfig config = fakes::ConfigOf("server");
  ServerHandshake server(config, MakeNonce(), guard, Time());
  const Time end = Time() + config.m_timeout;
  EXPECT_FALSE(server.Expired(end - Duration(1)));
  EXPECT_TRUE(server.Expired(end));
  EXPECT_EQ(server.OnBytes(end, "").m_fault, PeerFault::HandshakeTimeout);
}

TEST(PeerHandshakeRefusals, GuardForgetsOnlyTheOldest)
{
  ReplayGuard guard;
  constexpr int kMany = 5000;
  for (int nonce = 0; nonce < kMany; ++nonce) {
    guard.Remember(std::to_string(nonce));
  }
  EXPECT_FALSE(guard.Seen("0"));
  EXPECT_TRUE(guard.Seen(std::to_string(kMany - 1)));
  EXPECT_TRUE(guard.Seen(std::to_string(kMany - 4096)));
}

} // namespace lacewing::peer
