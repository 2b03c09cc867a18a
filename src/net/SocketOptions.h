/// Options of TCP sockets.
#pragma once

namespace lacewing::net {

/// Sends small segments at once. Without it the last segment of a message waits
/// for the peer's delayed acknowledgement, which takes about 40 ms.
void
SetNoDelay(int aSocket);

} // namespace lacewing::net
