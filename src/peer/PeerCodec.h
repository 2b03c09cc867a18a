/// Bytes of the messages between entry daemons: protobuf with a version,
/// checked field by field when decoded.
#pragma once

#include "peer/PeerFault.h"
#include "peer/PeerMessages.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace lacewing::peer {

/// Largest encoded message in bytes.
inline constexpr std::size_t kMaxMessageBytes = 1024 * 1024;
/// Largest name, id or key in bytes.
inline constexpr std::size_t kMaxNameBytes = 256;
/// Largest number of entries in a list of a heartbeat.
inline constexpr std::size_t kMaxListEntries = 8192;

/// A decoded value, or what is wrong with the bytes.
template<typename T>
struct Decoded
{
  std::optional<T> m_value;
  PeerFault m_fault = PeerFault::Malformed; ///< if there is no value
  std::string m_detail;                     ///< names the field or the value
};

/// The encoded message may exceed `kMaxMessageBytes`; senders check it.
std::string
EncodeMessage(const PeerMessage& aMessage);

/// Name of the kind of a message; for `Opaque` the kind that it names.
std::string_view
KindOf(const PeerMessage& aMessage);

enum class ByteDirection : std::uint8_t
{
  Sent,
  Received,
};

/// Is told the kind and the size of each encoded message.
using ByteCounter =
  std::function<void(std::string_view aKind, ByteDirection, std::size_t)>;

Decoded<PeerMessage>
DecodeMessage(std::string_view aBytes);

/// First frame of a handshake, from the client.
struct Challenge
{
  std::uint32_t m_version = kProtocolVersion;
  std::string m_cluster;
  PeerIdentity m_client;
  std::string m_nonce;
  VmId m_target; ///< the VM that the client means to reach

  bool operator==(const Challenge&) const = default;
};

/// Second frame, from the server.
struct ChallengeAnswer
{
  std::uint32_t m_version = kProtocolVersion;
  std::string m_cluster;
  PeerIdentity m_server;
  std::string m_nonce;
  std::string m_proof;

  bool operator==(const ChallengeAnswer&) const = default;
};

/// Third frame, from the client.
struct Proof
{
  std::string m_proof;

  bool operator==(const Proof&) const = default;
};

/// Last frame, from the server: requests may follow.
struct Accepted
{
  bool operator==(const Accepted&) const = default;
};

/// Last frame, from either side: the connection is closed.
struct Rejected
{
  PeerFault m_fault = PeerFault::Malformed;

  bool operator==(const Rejected&) const = default;
};

using HandshakeFrame =
  std::variant<Challenge, ChallengeAnswer, Proof, Accepted, Rejected>;

/// Without the length that precedes a frame on the connection.
std::string
EncodeFrame(const HandshakeFrame& aFrame);

Decoded<HandshakeFrame>
DecodeFrame(std::string_view aBytes);

} // namespace lacewing::peer
