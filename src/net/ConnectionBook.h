/// Counts the connections of a server and the bytes that they hold, and decides
/// which of them are closed when there are too many of either. Clients that
/// keep to no limit must not take the memory or the descriptors of the others.
///
/// Does no I/O and reads no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace lacewing::net {

struct ConnectionLimits
{
  std::size_t m_maxConnections = 4096;
  /// Memory of what all connections together have received and that is not
  /// handled yet, and bytes of requests under way.
  std::size_t m_maxBytes = std::size_t{ 64 } * 1024 * 1024;
};

class ConnectionBook
{
public:
  using Id = std::uint64_t;

  explicit ConnectionBook(ConnectionLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /// A connection was accepted.
  Id Open();
  /// `aBytes` is the memory that the received bytes take.
  void OnReceived(Id aConnection, std::size_t aBytes);
  /// A whole request has arrived. Of the bytes received, `aUnread` belong to
  /// later requests; the request holds `aRequestBytes` until its response.
  void OnRequest(Id aConnection,
                 std::size_t aUnread,
                 std::size_t aRequestBytes);
  void OnResponse(Id aConnection);
  void OnClosed(Id aConnection);

  /// True if a further request must be refused for the bytes that are held.
  bool IsFull() const { return m_bytes > m_limits.m_maxBytes; }
  bool HasExcess() const
  {
    return IsFull() || m_connections.size() > m_limits.m_maxConnections;
  }
  /// Connections to close: the least recently used ones if there are too many,
  /// and those that hold most if they hold too much. None whose request is
  /// being handled.
  std::vector<Id> Excess() const;
  std::size_t Connections() const { return m_connections.size(); }
  std::size_t Bytes() const { return m_bytes; }

private:
  struct Connection
  {
    std::size_t m_received = 0; ///< and not handled yet
    std::size_t m_request = 0;  ///< of the request under way
    bool m_handling = false;
    std::uint64_t m_lastUse = 0; ///< order of the last use
  };

  ConnectionLimits m_limits;
  std::map<Id, Connection> m_connections;
  std::size_t m_bytes = 0;
  Id m_lastId = 0;
  std::uint64_t m_uses = 0;
};

} // namespace lacewing::net
