#include "daemon/MemberAddress.h"

namespace lacewing::daemon {

std::string
EncodeAddress(const MemberAddress& aAddress)
{
  return aAddress.m_peers.ToString() + "," + aAddress.m_callers.ToString();
}

Result<MemberAddress>
DecodeAddress(const std::string& aText)
{
  const auto comma = aText.find(',');
  if (comma == std::string::npos) {
    return Fail(Verdict::NotRun,
                ErrorCode::BadInput,
                "member address '" + aText + "' has no comma");
  }
  MemberAddress address;
  BOOST_LEAF_ASSIGN(address.m_peers, net::ParseAddress(aText.substr(0, comma)));
  BOOST_LEAF_ASSIGN(address.m_callers,
                    net::ParseAddress(aText.substr(comma + 1)));
  return address;
}

} // namespace lacewing::daemon
