#include "net/FrameConnection.h"

#include "net/SocketOptions.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace lacewing::net {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kReadBytes = std::size_t{ 64 } * 1024;
/// Reads of one turn of the event loop, so that one busy peer does not hold up
/// the others.
constexpr int kReadsPerTurn = 8;
/// A buffer above this size is given back once it is empty.
constexpr std::size_t kKeptBytes = std::size_t{ 256 } * 1024;

bool
IsTemporary(int aError)
{
  return aError == EAGAIN || aError == EWOULDBLOCK || aError == EINTR ||
         aError == EINPROGRESS || aError == ENOTCONN;
}

/// A socket address for the library's calls; its length is 0 if the text is no
/// IP number.
struct SocketAddress
{
  sockaddr_storage m_storage{};
  int m_length = 0;

  explicit SocketAddress(const Address& aAddress)
  {
    int length = sizeof m_storage;
    if (evutil_parse_sockaddr_port(
          aAddress.ToString().c_str(), Generic(), &length) == 0) {
      m_length = length;
    }
  }

  sockaddr* Generic() { return reinterpret_cast<sockaddr*>(&m_storage); }
};

/// A socket that is connecting; negative if there is none.
int
Connect(const Address& aTo)
{
  SocketAddress to(aTo);
  if (to.m_length == 0) {
    return -1;
  }
  const int socket = ::socket(
    to.m_storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket < 0) {
    return -1;
  }
  const auto length = static_cast<socklen_t>(to.m_length);
  if (connect(socket, to.Generic(), length) != 0 && !IsTemporary(errno)) {
    close(socket);
    return -1;
  }
  return socket;
}

std::uint32_t
LengthAt(const std::string& aBytes, std::size_t aOffset)
{
  std::uint32_t length = 0;
  std::memcpy(&length, aBytes.data() + aOffset, kLengthBytes);
  return ntohl(length);
}

} // namespace

FrameConnection::FrameConnection(Loop& aLoop, int aSocket, FrameHooks aHooks)
  : m_hooks(std::move(aHooks))
  , m_socket(aSocket)
{
  evutil_make_socket_nonblocking(m_socket);
  Watch(aLoop);
}

FrameConnection::FrameConnection(Loop& aLoop,
                                 const Address& aTo,
                                 FrameHooks aHooks)
  : m_hooks(std::move(aHooks))
  , m_socket(Connect(aTo))
{
  Watch(aLoop);
}

FrameConnection::~FrameConnection()
{
  Close();
}

void
FrameConnection::Watch(Loop& aLoop)
{
  if (m_socket < 0) {
    return;
  }
  SetNoDelay(m_socket);
  m_readable =
    event_new(aLoop.Base(), m_socket, EV_READ | EV_PERSIST, OnReadable, this);
  m_writable = event_new(aLoop.Base(), m_socket, EV_WRITE, OnWritable, this);
  if (m_readable == nullptr || m_writable == nullptr) {
    throw std::runtime_error("libevent could not watch a socket");
  }
  event_add(m_readable, nullptr);
}

void
FrameConnection::Close()
{
  if (m_socket < 0) {
    return;
  }
  event_free(m_readable);
  event_free(m_writable);
  close(m_socket);
  m_socket = -1;
  m_input.clear();
  m_output.clear();
  m_written = 0;
}

void
FrameConnection::Fail()
{
  Close();
  m_hooks.m_onClosed();
}

void
FrameConnection::Send(std::string_view aFrame)
{
  if (m_socket < 0) {
    return;
  }
  const std::uint32_t length = htonl(static_cast<std::uint32_t>(aFrame.size()));
  std::array<char, kLengthBytes> prefix{};
  std::memcpy(prefix.data(), &length, kLengthBytes);
  if (UnsentBytes() == 0) {
    event_add(m_writable, nullptr);
  }
  m_output.append(prefix.data(), prefix.size());
  m_output.append(aFrame);
}

void
FrameConnection::OnReadable(int, short, void* aSelf)
{
  static_cast<FrameConnection*>(aSelf)->Read();
}

void
FrameConnection::OnWritable(int, short, void* aSelf)
{
  static_cast<FrameConnection*>(aSelf)->Write();
}

void
FrameConnection::Read()
{
  std::array<char, kReadBytes> block; // NOLINT: filled by recv
  bool more = true;
  for (int count = 0; count < kReadsPerTurn && more; ++count) {
    const ssize_t bytes = recv(m_socket, block.data(), block.size(), 0);
    if (bytes == 0 || (bytes < 0 && !IsTemporary(errno))) {
      Fail();
      return;
    }
    m_input.append(block.data(),
                   static_cast<std::size_t>(std::max<ssize_t>(bytes, 0)));
    more = bytes == static_cast<ssize_t>(block.size());
  }
  if (!TakeFrames()) {
    Fail();
  }
}

bool
FrameConnection::TakeFrames()
{
  std::size_t begin = 0;
  while (m_input.size() - begin >= kLengthBytes) {
    const std::size_t length = LengthAt(m_input, begin);
    if (length > kMaxFrameBytes) {
      return false;
    }
    if (m_input.size() - begin - kLengthBytes < length) {
      break;
    }
    m_hooks.m_onFrame(
      std::string_view(m_input).substr(begin + kLengthBytes, length));
    if (m_socket < 0) {
      return true; // closed by the hook
    }
    begin += kLengthBytes + length;
  }
  m_input.erase(0, begin);
  if (m_input.empty() && m_input.capacity() > kKeptBytes) {
    m_input.shrink_to_fit();
  }
  return true;
}

void
FrameConnection::Write()
{
  const ssize_t bytes = send(m_socket,
                             m_output.data() + m_written,
                             m_output.size() - m_written,
                             MSG_NOSIGNAL);
  if (bytes < 0 && !IsTemporary(errno)) {
    Fail();
    return;
  }
  m_written += static_cast<std::size_t>(std::max<ssize_t>(bytes, 0));
  if (UnsentBytes() > 0) {
    if (m_written > kKeptBytes) {
      m_output.erase(0, std::exchange(m_written, 0));
    }
    event_add(m_writable, nullptr);
    return;
  }
  m_output.clear();
  m_written = 0;
  if (m_output.capacity() > kKeptBytes) {
    m_output.shrink_to_fit();
  }
}

FrameListener::FrameListener(Loop& aLoop, OnAccepted aOnAccepted)
  : m_loop(aLoop)
  , m_onAccepted(std::move(aOnAccepted))
{
}

FrameListener::~FrameListener()
{
  if (m_listener != nullptr) {
    evconnlistener_free(m_listener);
  }
}

Result<void>
FrameListener::Listen(const Address& aAddress)
{
  SocketAddress address(aAddress);
  if (address.m_length > 0) {
    m_listener = evconnlistener_new_bind(
      m_loop.Base(),
      OnAccept,
      this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      SOMAXCONN,
      address.Generic(),
      address.m_length);
  }
  if (m_listener == nullptr) {
    return Fail(Verdict::NotRun,
                ErrorCode::Unavailable,
                "cannot listen on " + aAddress.ToString());
  }
  return {};
}

void
FrameListener::OnAccept(evconnlistener*,
                        int aSocket,
                        sockaddr*,
                        int,
                        void* aSelf)
{
  static_cast<FrameListener*>(aSelf)->m_onAccepted(aSocket);
}

} // namespace lacewing::net
