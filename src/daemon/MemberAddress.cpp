#include "daemon/MemberAddress.h"

namespace lacewing::daemon {

namespace {

/// Takes the text up to the next comma off the front.
std::string
TakeField(std::string& aText)
{
  const auto comma = aText.find(',');
  std::string field = aText.substr(0, comma);
  aText = comma == std::string::npos ? "" : aText.substr(comma + 1);
  return field;
}

} // namespace

std::string
EncodeAddress(const MemberAddress& aAddress)
{
  std::string text =
    aAddress.m_peers.ToString() + "," + aAddress.m_callers.ToString();
  if (aAddress.m_peersOfOtherRegions != aAddress.m_peers) {
    text += "," + aAddress.m_peersOfOtherRegions.ToString();
  }
  return text;
}

Result<MemberAddress>
DecodeAddress(const std::string& aText)
{
  if (aText.find(',') == std::string::npos) {
    return Fail(Verdict::NotRun,
                ErrorCode::BadInput,
                "member address '" + aText + "' has no comma");
  }
  std::string rest = aText;
  MemberAddress address;
  BOOST_LEAF_ASSIGN(address.m_peers, net::ParseAddress(TakeField(rest)));
  const bool hasThird = rest.find(',') != std::string::npos;
  BOOST_LEAF_ASSIGN(address.m_callers, net::ParseAddress(TakeField(rest)));
  address.m_peersOfOtherRegions = address.m_peers;
  if (hasThird) {
    BOOST_LEAF_ASSIGN(address.m_peersOfOtherRegions, net::ParseAddress(rest));
  }
  return address;
}

} // namespace lacewing::daemon
