/// The addresses in a member's row: for peers and for callers.
#pragma once

#include "net/Address.h"

namespace lacewing::daemon {

struct MemberAddress
{
  net::Address m_peers;
  net::Address m_callers;
};

/// "peers,callers".
std::string
EncodeAddress(const MemberAddress& aAddress);
/// Errors: `BadInput` naming the text.
Result<MemberAddress>
DecodeAddress(const std::string& aText);

} // namespace lacewing::daemon
