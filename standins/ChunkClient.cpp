// A client that sends bodies of chunks of one byte, in writes that each end
// within a chunk, so that the server reads each write by itself.
#include "Servers.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <iostream>
#include <string_view>
#include <thread>
#include <vector>

namespace lacewing::standin {

namespace {

/// Between two rounds over all connections; the server reads meanwhile.
constexpr auto kPause = std::chrono::milliseconds(1);
constexpr std::string_view kPiece = "\r\n1\r\nx";

int
Connect(const net::Address& aTo)
{
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(aTo.m_port);
  inet_pton(AF_INET, aTo.m_ip.c_str(), &to.sin_addr);
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const int noDelay = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
  if (connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
    close(socket);
    return -1;
  }
  return socket;
}

/// Bytes sent; closes the connection if the server has closed it.
std::size_t
SendText(int& aSocket, std::string_view aText)
{
  if (aSocket < 0) {
    return 0;
  }
  const ssize_t sent =
    send(aSocket, aText.data(), aText.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent < 0 || static_cast<std::size_t>(sent) != aText.size()) {
    close(aSocket);
    aSocket = -1;
  }
  return sent < 0 ? 0 : static_cast<std::size_t>(sent);
}

} // namespace

int
RunChunks(const net::Address& aTo, const ChunkOptions& aOptions)
{
  const std::string head = "POST " + aOptions.m_path +
                           " HTTP/1.1\r\nHost: h.example\r\n"
                           "Content-Type: application/json\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n1\r\nx";
  std::vector<int> sockets(aOptions.m_connections);
  std::size_t sent = 0;
  for (int& socket : sockets) {
    socket = Connect(aTo);
    sent += SendText(socket, head);
  }
  for (std::size_t piece = 0; piece < aOptions.m_pieces; ++piece) {
    for (int& socket : sockets) {
      sent += SendText(socket, kPiece);
    }
    std::this_thread::sleep_for(kPause);
  }
  for (const int socket : sockets) {
    if (socket >= 0) {
      close(socket);
    }
  }
  std::cout << "sent " << sent << " bytes" << std::endl;
  return 0;
}

} // namespace lacewing::standin
