#include "net/Address.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstring>

namespace lacewing::net {

namespace {

bool
IsIpNumber(const std::string& aText, int aFamily)
{
  in6_addr buffer{}; // large enough for both families
  // inet_pton stops at a NUL byte and would accept any text behind it.
  return aText.find('\0') == std::string::npos &&
         inet_pton(aFamily, aText.c_str(), &buffer) == 1;
}

bool
IsZero(const std::string& aText, int aFamily)
{
  in6_addr number{};
  const in6_addr zero{};
  return inet_pton(aFamily, aText.c_str(), &number) == 1 &&
         std::memcmp(&number, &zero, sizeof(zero)) == 0;
}

} // namespace

bool
Address::IsWildcard() const
{
  return IsZero(m_ip, AF_INET) || IsZero(m_ip, AF_INET6);
}

std::string
Address::ToString() const
{
  const std::string portText = std::to_string(m_port);
  if (m_ip.find(':') != std::string::npos) {
    return "[" + m_ip + "]:" + portText;
  }
  return m_ip + ":" + portText;
}

Result<Address>
ParseAddress(std::string_view aText)
{
  const auto fail = [&] {
    return Fail(Verdict::NotRun,
                ErrorCode::BadInput,
                "'" + std::string(aText) +
                  "' is not an address; expected IP:PORT, for example "
                  "127.0.0.1:7400");
  };
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return fail();
  }
  Address address;
  address.m_ip = std::string(aText.substr(0, colon));
  int family = AF_INET;
  if (address.m_ip.size() > 2 && address.m_ip.front() == '[' &&
      address.m_ip.back() == ']') {
    address.m_ip = address.m_ip.substr(1, address.m_ip.size() - 2);
    family = AF_INET6;
  }
  const std::string_view portText = aText.substr(colon + 1);
  const auto parsed = std::from_chars(
    portText.data(), portText.data() + portText.size(), address.m_port);
  const bool wholePort = parsed.ptr == portText.data() + portText.size();
  if (parsed.ec != std::errc() || !wholePort || address.m_port == 0 ||
      !IsIpNumber(address.m_ip, family)) {
    return fail();
  }
  return address;
}

} // namespace lacewing::net
