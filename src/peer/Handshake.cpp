#include "peer/Handshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <stdexcept>

namespace lacewing::peer {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;
/// Complete handshakes that the guard remembers. With at most 9 members that
/// reconnect a few times a second this covers minutes.
constexpr std::size_t kRememberedNonces = 4096;

void
AppendNumber(std::string& aText, std::uint64_t aValue)
{
  for (std::size_t byte = sizeof(aValue); byte-- > 0;) {
    aText.push_back(static_cast<char>(aValue >> (byte * kBitsPerByte)));
  }
}

/// With its length, so that two different lists of fields never give the same
/// text.
void
AppendField(std::string& aText, std::string_view aField)
{
  AppendNumber(aText, aField.size());
  aText.append(aField);
}

bool
SameBytes(const std::string& aLeft, const std::string& aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

HandshakeStep
Reject(PeerFault aFault)
{
  HandshakeStep step;
  step.m_output = PackFrame(Rejected{ aFault });
  step.m_fault = aFault;
  return step;
}

/// Feeds whole frames to a state machine until it ends or needs more bytes.
template<typename OnFrame>
HandshakeStep
ReadFrames(FrameReader& aReader,
           std::string_view aBytes,
           bool& aEnded,
           OnFrame aOnFrame)
{
  HandshakeStep total;
  aReader.Append(aBytes);
  while (!aEnded) {
    const auto frame = aReader.Next();
    if (!frame && !aReader.Oversized()) {
      return total;
    }
    HandshakeStep step;
    if (!frame) {
      step = Reject(PeerFault::OversizedFrame);
    } else {
      const Decoded<HandshakeFrame> decoded = DecodeFrame(*frame);
      step =
        decoded.m_value ? aOnFrame(*decoded.m_value) : Reject(decoded.m_fault);
    }
    total.m_output += step.m_output;
    total.m_complete = step.m_complete;
    total.m_fault = step.m_fault;
    aEnded = step.m_complete || step.m_fault.has_value();
  }
  if (total.m_complete) {
    total.m_rest = aReader.TakeRest();
  }
  return total;
}

} // namespace

void
ReplayGuard::Remember(const std::string& aNonce)
{
  if (!m_seen.insert(aNonce).second) {
    return;
  }
  m_order.push_back(aNonce);
  if (m_order.size() > kRememberedNonces) {
    m_seen.erase(m_order.front());
    m_order.pop_front();
  }
}

std::optional<std::string>
FrameReader::Next()
{
  if (m_buffer.size() < kLengthBytes) {
    return std::nullopt;
  }
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << kBitsPerByte) | static_cast<unsigned char>(m_buffer[i]);
  }
  if (length > kMaxHandshakeFrameBytes) {
    m_oversized = true;
    return std::nullopt;
  }
  if (m_buffer.size() < kLengthBytes + length) {
    return std::nullopt;
  }
  std::string frame = m_buffer.substr(kLengthBytes, length);
  m_buffer.erase(0, kLengthBytes + length);
  return frame;
}

std::string
FrameReader::TakeRest()
{
  return std::exchange(m_buffer, {});
}

std::string
PackFrame(const HandshakeFrame& aFrame)
{
  const std::string body = EncodeFrame(aFrame);
  std::string packed;
  for (std::size_t byte = kLengthBytes; byte-- > 0;) {
    packed.push_back(static_cast<char>(body.size() >> (byte * kBitsPerByte)));
  }
  return packed + body;
}

std::string
ComputeProof(ProofSide aSide,
             const HandshakeConfig& aConfig,
             const Challenge& aChallenge,
             const PeerIdentity& aServer,
             std::string_view aServerNonce)
{
  std::string text;
  AppendField(text,
              aSide == ProofSide::Client ? "lacewing peer client"
                                         : "lacewing peer server");
  AppendNumber(text, kProtocolVersion);
  AppendField(text, aConfig.m_cluster);
  AppendField(text, aChallenge.m_client.m_vm.Value());
  AppendNumber(text, aChallenge.m_client.m_incarnation);
  AppendField(text, aChallenge.m_nonce);
  AppendField(text, aChallenge.m_target.Value());
  AppendField(text, aServer.m_vm.Value());
  AppendNumber(text, aServer.m_incarnation);
  AppendField(text, aServerNonce);

  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       aConfig.m_secret.data(),
       static_cast<int>(aConfig.m_secret.size()),
       reinterpret_cast<const unsigned char*>(text.data()),
       text.size(),
       digest,
       &size);
  return { reinterpret_cast<const char*>(digest), size };
}

std::string
MakeNonce()
{
  std::string nonce(kNonceBytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()),
                 static_cast<int>(nonce.size())) != 1) {
    throw std::runtime_error("no random bytes for a handshake nonce");
  }
  return nonce;
}

ServerHandshake::ServerHandshake(HandshakeConfig aConfig,
                                 std::string aNonce,
                                 ReplayGuard& aGuard,
                                 Time aNow)
  : m_config(std::move(aConfig))
  , m_nonce(std::move(aNonce))
  , m_guard(aGuard)
  , m_deadline(aNow + m_config.m_timeout)
{
}

HandshakeStep
ServerHandshake::OnBytes(Time aNow, std::string_view aBytes)
{
  if (!m_ended && Expired(aNow)) {
    m_ended = true;
    return Reject(PeerFault::HandshakeTimeout);
  }
  return ReadFrames(
    m_reader, aBytes, m_ended, [this](const HandshakeFrame& aFrame) {
      return OnFrame(aFrame);
    });
}

HandshakeStep
ServerHandshake::OnFrame(const HandshakeFrame& aFrame)
{
  if (const auto* rejected = std::get_if<Rejected>(&aFrame)) {
    HandshakeStep step;
    step.m_fault = rejected->m_fault;
    return step;
  }
  const auto* challenge = std::get_if<Challenge>(&aFrame);
  if (challenge != nullptr && !m_challenged) {
    return OnChallenge(*challenge);
  }
  const auto* proof = std::get_if<Proof>(&aFrame);
  if (proof != nullptr && m_challenged) {
    return OnProof(*proof);
  }
  return Reject(PeerFault::OutOfOrder);
}

std::optional<PeerFault>
ServerHandshake::FaultOf(const Challenge& aChallenge) const
{
  if (aChallenge.m_cluster != m_config.m_cluster) {
    return PeerFault::OtherCluster;
  }
  if (aChallenge.m_target != m_config.m_self.m_vm) {
    return PeerFault::WrongPeer;
  }
  if (aChallenge.m_nonce.size() != kNonceBytes) {
    return PeerFault::BadValue;
  }
  if (m_guard.Seen(aChallenge.m_nonce)) {
    return PeerFault::Replayed;
  }
  return std::nullopt;
}

HandshakeStep
ServerHandshake::OnChallenge(const Challenge& aChallenge)
{
  if (const auto fault = FaultOf(aChallenge)) {
    return Reject(*fault);
  }
  m_challenge = aChallenge;
  m_challenged = true;
  ChallengeAnswer answer;
  answer.m_cluster = m_config.m_cluster;
  answer.m_server = m_config.m_self;
  answer.m_nonce = m_nonce;
  answer.m_proof = ComputeProof(
    ProofSide::Server, m_config, m_challenge, m_config.m_self, m_nonce);
  HandshakeStep step;
  step.m_output = PackFrame(answer);
  return step;
}

HandshakeStep
ServerHandshake::OnProof(const Proof& aProof)
{
  const std::string expected = ComputeProof(
    ProofSide::Client, m_config, m_challenge, m_config.m_self, m_nonce);
  if (!SameBytes(expected, aProof.m_proof)) {
    return Reject(PeerFault::WrongSecret);
  }
  // Two connections with the same nonce may both have passed the first check.
  if (m_guard.Seen(m_challenge.m_nonce)) {
    return Reject(PeerFault::Replayed);
  }
  m_guard.Remember(m_challenge.m_nonce);
  HandshakeStep step;
  step.m_output = PackFrame(Accepted{});
  step.m_complete = true;
  return step;
}

ClientHandshake::ClientHandshake(HandshakeConfig aConfig,
                                 VmId aTarget,
                                 std::string aNonce,
                                 Time aNow)
  : m_config(std::move(aConfig))
  , m_deadline(aNow + m_config.m_timeout)
{
  m_challenge.m_cluster = m_config.m_cluster;
  m_challenge.m_client = m_config.m_self;
  m_challenge.m_nonce = std::move(aNonce);
  m_challenge.m_target = std::move(aTarget);
}

std::string
ClientHandshake::Start() const
{
  return PackFrame(m_challenge);
}

HandshakeStep
ClientHandshake::OnBytes(Time aNow, std::string_view aBytes)
{
  if (!m_ended && Expired(aNow)) {
    m_ended = true;
    return Reject(PeerFault::HandshakeTimeout);
  }
  return ReadFrames(
    m_reader, aBytes, m_ended, [this](const HandshakeFrame& aFrame) {
      return OnFrame(aFrame);
    });
}

HandshakeStep
ClientHandshake::OnFrame(const HandshakeFrame& aFrame)
{
  HandshakeStep step;
  if (const auto* rejected = std::get_if<Rejected>(&aFrame)) {
    step.m_fault = rejected->m_fault;
    return step;
  }
  const auto* answer = std::get_if<ChallengeAnswer>(&aFrame);
  if (answer != nullptr && !m_answered) {
    return OnAnswer(*answer);
  }
  if (std::holds_alternative<Accepted>(aFrame) && m_answered) {
    step.m_complete = true;
    return step;
  }
  return Reject(PeerFault::OutOfOrder);
}

std::optional<PeerFault>
ClientHandshake::FaultOf(const ChallengeAnswer& aAnswer) const
{
  if (aAnswer.m_cluster != m_config.m_cluster) {
    return PeerFault::OtherCluster;
  }
  if (aAnswer.m_server.m_vm != m_challenge.m_target) {
    return PeerFault::WrongPeer;
  }
  if (aAnswer.m_nonce.size() != kNonceBytes) {
    return PeerFault::BadValue;
  }
  const std::string expected = ComputeProof(ProofSide::Server,
                                            m_config,
                                            m_challenge,
                                            aAnswer.m_server,
                                            aAnswer.m_nonce);
  if (!SameBytes(expected, aAnswer.m_proof)) {
    return PeerFault::WrongSecret;
  }
  return std::nullopt;
}

HandshakeStep
ClientHandshake::OnAnswer(const ChallengeAnswer& aAnswer)
{
  if (const auto fault = FaultOf(aAnswer)) {
    return Reject(*fault);
  }
  m_answered = true;
  m_server = aAnswer.m_server;
  HandshakeStep step;
  step.m_output = PackFrame(Proof{ ComputeProof(ProofSide::Client,
                                                m_config,
                                                m_challenge,
                                                aAnswer.m_server,
                                                aAnswer.m_nonce) });
  return step;
}

} // namespace lacewing::peer
