/// The mutual challenge that opens a connection between entry daemons, as state
/// machines without I/O.
///
/// client: Challenge(nonce) -> server: ChallengeAnswer(nonce, proof)
/// client: Proof            -> server: Accepted
///
/// A proof is an HMAC-SHA256 with the cluster secret over a label for the
/// direction and everything both sides have said. Each frame is preceded by its
/// length (4 bytes, big endian). HTTP/2 begins after `Accepted`.
#pragma once

#include "peer/PeerCodec.h"

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace lacewing::peer {

inline constexpr std::size_t kNonceBytes = 32;
/// Largest handshake frame in bytes, without its length.
inline constexpr std::size_t kMaxHandshakeFrameBytes = 4096;

struct HandshakeConfig
{
  std::string m_cluster;
  std::string m_secret; ///< cluster secret from the bootstrap settings
  PeerIdentity m_self;
  Duration m_timeout = seconds(5); ///< for the whole handshake
};

/// Remembers the nonces of the latest complete handshakes. A replay already
/// fails at the server's fresh nonce; the guard gives it an error of its own.
class ReplayGuard
{
public:
  bool Seen(const std::string& aNonce) const { return m_seen.contains(aNonce); }
  void Remember(const std::string& aNonce);

private:
  std::deque<std::string> m_order;
  std::set<std::string> m_seen;
};

/// Splits a byte stream into handshake frames.
class FrameReader
{
public:
  void Append(std::string_view aBytes) { m_buffer.append(aBytes); }
  /// The next whole frame. Nothing if more bytes are needed, or if the
  /// announced size is above the bound (`Oversized`).
  std::optional<std::string> Next();
  bool Oversized() const { return m_oversized; }
  /// Bytes after the last frame taken.
  std::string TakeRest();

private:
  std::string m_buffer;
  bool m_oversized = false;
};

/// A frame with its length, ready to send.
std::string
PackFrame(const HandshakeFrame& aFrame);

/// What follows from received bytes.
struct HandshakeStep
{
  std::string m_output; ///< to be sent, also before a close
  bool m_complete = false;
  std::optional<PeerFault> m_fault; ///< the connection must be closed
  std::string m_rest;               ///< if complete: bytes of HTTP/2
};

/// The accepting side.
class ServerHandshake
{
public:
  /// The nonce has `kNonceBytes` random bytes. The guard must outlive the
  /// handshake.
  ServerHandshake(HandshakeConfig aConfig,
                  std::string aNonce,
                  ReplayGuard& aGuard,
                  Time aNow);

  HandshakeStep OnBytes(Time aNow, std::string_view aBytes);
  bool Expired(Time aNow) const { return aNow >= m_deadline; }
  /// Proven only when a step was complete.
  const PeerIdentity& Peer() const { return m_challenge.m_client; }

private:
  HandshakeStep OnFrame(const HandshakeFrame& aFrame);
  HandshakeStep OnChallenge(const Challenge& aChallenge);
  HandshakeStep OnProof(const Proof& aProof);
  std::optional<PeerFault> FaultOf(const Challenge& aChallenge) const;

  HandshakeConfig m_config;
  std::string m_nonce;
  ReplayGuard& m_guard;
  Time m_deadline;
  FrameReader m_reader;
  Challenge m_challenge;
  bool m_challenged = false;
  bool m_ended = false;
};

/// The connecting side.
class ClientHandshake
{
public:
  ClientHandshake(HandshakeConfig aConfig,
                  VmId aTarget,
                  std::string aNonce,
                  Time aNow);

  /// First bytes to send.
  std::string Start() const;
  HandshakeStep OnBytes(Time aNow, std::string_view aBytes);
  bool Expired(Time aNow) const { return aNow >= m_deadline; }
  /// Proven only when a step was complete.
  const PeerIdentity& Peer() const { return m_server; }

private:
  HandshakeStep OnFrame(const HandshakeFrame& aFrame);
  HandshakeStep OnAnswer(const ChallengeAnswer& aAnswer);
  std::optional<PeerFault> FaultOf(const ChallengeAnswer& aAnswer) const;

  HandshakeConfig m_config;
  Challenge m_challenge;
  Time m_deadline;
  FrameReader m_reader;
  PeerIdentity m_server;
  bool m_answered = false;
  bool m_ended = false;
};

enum class ProofSide : std::uint8_t
{
  Client,
  Server,
};

/// The proof of one side. The sides use distinct labels, so that a proof cannot
/// be sent back to its maker.
std::string
ComputeProof(ProofSide aSide,
             const HandshakeConfig& aConfig,
             const Challenge& aChallenge,
             const PeerIdentity& aServer,
             std::string_view aServerNonce);

/// Random bytes for a nonce.
std::string
MakeNonce();

} // namespace lacewing::peer
