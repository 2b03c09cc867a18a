/// Why a connection or a message of a peer was refused, and how often.
#pragma once

#include "core/EnumNames.h"

#include <array>
#include <cstdint>

namespace lacewing::peer {

enum class PeerFault : std::uint8_t
{
  Malformed,        ///< Bytes that the codec cannot read, or a missing field.
  BadValue,         ///< A field outside its range, or an unknown enumerator.
  UnknownVersion,   ///< Another protocol version.
  UnknownKind,      ///< A message kind that this version does not have.
  OtherCluster,     ///< A peer of another cluster.
  WrongPeer,        ///< The process at the address is not the VM meant.
  WrongSecret,      ///< The proof does not match the cluster secret.
  Replayed,         ///< A nonce that an earlier handshake has used.
  OversizedFrame,   ///< A frame or a message above its bound.
  OutOfOrder,       ///< A handshake frame that does not belong here.
  HandshakeTimeout, ///< The handshake was not complete in time.
  ProtocolError,    ///< HTTP/2 rules broken.
  TooManyConnections,
  TooManyStreams,
  SilentPeer,   ///< No bytes, not even the answer to a ping.
  TooManyBytes, ///< Incomplete or unsent messages above the bound.
};

} // namespace lacewing::peer

template<>
struct lacewing::EnumNames<lacewing::peer::PeerFault>
{
  using Fault = lacewing::peer::PeerFault;
  static constexpr std::array kTable = {
    std::pair{ Fault::Malformed, std::string_view("malformed") },
    std::pair{ Fault::BadValue, std::string_view("bad_value") },
    std::pair{ Fault::UnknownVersion, std::string_view("unknown_version") },
    std::pair{ Fault::UnknownKind, std::string_view("unknown_kind") },
    std::pair{ Fault::OtherCluster, std::string_view("other_cluster") },
    std::pair{ Fault::WrongPeer, std::string_view("wrong_peer") },
    std::pair{ Fault::WrongSecret, std::string_view("wrong_secret") },
    std::pair{ Fault::Replayed, std::string_view("replayed") },
    std::pair{ Fault::OversizedFrame, std::string_view("oversized_frame") },
    std::pair{ Fault::OutOfOrder, std::string_view("out_of_order") },
    std::pair{ Fault::HandshakeTimeout, std::string_view("handshake_timeout") },
    std::pair{ Fault::ProtocolError, std::string_view("protocol_error") },
    std::pair{ Fault::TooManyConnections,
               std::string_view("too_many_connections") },
    std::pair{ Fault::TooManyStreams, std::string_view("too_many_streams") },
    std::pair{ Fault::SilentPeer, std::string_view("silent_peer") },
    std::pair{ Fault::TooManyBytes, std::string_view("too_many_bytes") },
  };
};

namespace lacewing::peer {

/// Counts of faults by kind.
class FaultCounters
{
public:
  void Add(PeerFault aFault) { ++m_counts[static_cast<std::size_t>(aFault)]; }

  std::uint64_t Count(PeerFault aFault) const
  {
    return m_counts[static_cast<std::size_t>(aFault)];
  }

  std::uint64_t Total() const
  {
    std::uint64_t total = 0;
    for (const std::uint64_t count : m_counts) {
      total += count;
    }
    return total;
  }

private:
  std::array<std::uint64_t, EnumNames<PeerFault>::kTable.size()> m_counts{};
};

} // namespace lacewing::peer
