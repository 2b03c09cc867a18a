/// A plain socket on loopback that takes one connection and answers one HTTP
/// request, without an event loop: the caller decides when.
#pragma once

#include "net/Address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <string>

namespace lacewing::fakes {

class ListeningSocket
{
public:
  ListeningSocket()
    : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
  {
    sockaddr_in address = Loopback();
    if (::bind(m_listener, Generic(&address), sizeof(address)) != 0 ||
        ::listen(m_listener, 1) != 0) {
      throw std::runtime_error("no socket to listen on");
    }
  }
  ~ListeningSocket()
  {
    ::close(m_listener);
    if (m_connection >= 0) {
      ::close(m_connection);
    }
  }
  ListeningSocket(const ListeningSocket&) = delete;
  ListeningSocket& operator=(const ListeningSocket&) = delete;

  net::Address LocalAddress() const
  {
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    ::getsockname(m_listener, Generic(&address), &length);
    return { "127.0.0.1", ntohs(address.sin_port) };
  }

  /// True once the whole head of a request has arrived. Does not wait.
  bool HasRequest()
  {
    if (m_connection < 0) {
      m_connection = ::accept4(m_listener, nullptr, nullptr, 0);
    }
    std::array<char, 4096> part{};
    const ssize_t size =
      m_connection < 0
        ? 0
        : ::recv(m_connection, part.data(), part.size(), MSG_DONTWAIT);
    if (size > 0) {
      m_request.append(part.data(), static_cast<std::size_t>(size));
    }
    return m_request.find("\r\n\r\n") != std::string::npos;
  }

  /// Hands the whole response to the system. The body has to fit in the
  /// socket's buffers.
  void Answer(const std::string& aBody) const
  {
    const std::string text =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) +
      "\r\n\r\n" + aBody;
    if (::send(m_connection, text.data(), text.size(), MSG_NOSIGNAL) !=
        static_cast<ssize_t>(text.size())) {
      throw std::runtime_error("the response does not fit in the buffers");
    }
  }

private:
  static sockaddr_in Loopback()
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }
  static sockaddr* Generic(sockaddr_in* aAddress)
  {
    return reinterpret_cast<sockaddr*>(aAddress); // NOLINT
  }

  int m_listener;
  int m_connection = -1;
  std::string m_request;
};

} // namespace lacewing::fakes
