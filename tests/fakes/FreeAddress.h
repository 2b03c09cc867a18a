/// An address on loopback that no process listens on.
#pragma once

#include "net/Address.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lacewing::fakes {

/// Binds a socket to an ephemeral port and frees the port again.
inline net::Address
FreeAddress()
{
  const int handle = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address); // NOLINT
  const bool bound = bind(handle, generic, size) == 0 &&
                     getsockname(handle, generic, &size) == 0;
  close(handle);
  return { "127.0.0.1", bound ? ntohs(address.sin_port) : std::uint16_t{ 0 } };
}

} // namespace lacewing::fakes
