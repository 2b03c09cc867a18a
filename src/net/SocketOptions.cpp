#include "net/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lacewing::net {

void
SetNoDelay(int aSocket)
{
  const int on = 1;
  // A failure leaves the default, which is only slower.
  static_cast<void>(
    setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on)));
}

} // namespace lacewing::net
