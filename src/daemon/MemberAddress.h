/// The addresses in a member's row: for peers and for callers.
#pragma once

#include "core/Ids.h"
#include "net/Address.h"

namespace lacewing::daemon {

struct MemberAddress
{
  net::Address m_peers; ///< for daemons of the same region
  net::Address m_callers;
  net::Address m_peersOfOtherRegions;
};

/// "peers,callers", followed by ",peers of other regions" if that is another
/// address than `peers`.
std::string
EncodeAddress(const MemberAddress& aAddress);
/// Errors: `BadInput` naming the text.
Result<MemberAddress>
DecodeAddress(const std::string& aText);

} // namespace lacewing::daemon
