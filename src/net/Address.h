/// An IP address and port, written "127.0.0.1:8080" or "[::1]:8080".
#pragma once

#include "core/Verdict.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace lacewing::net {

struct Address
{
  std::string m_ip;
  std::uint16_t m_port = 0;

  auto operator<=>(const Address&) const = default;

  /// "ip:port", with brackets around an IPv6 number.
  std::string ToString() const;
  /// True for 0.0.0.0 and [::], to which nobody can connect.
  bool IsWildcard() const;
};

/// Parses "ip:port". Errors: `BadInput` naming the text. Host names are not
/// accepted, since the processes talk by IP number.
Result<Address>
ParseAddress(std::string_view aText);

} // namespace lacewing::net
