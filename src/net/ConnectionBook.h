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
  /// Connections to close. If there are too many: those whose clients send
  /// requests ahead, then new ones above half of the number, then the least
  /// recently used ones, and other new ones last. Of new ones, those that hold
  /// most go first. If they hold too much: those that hold most. None whose
  /// request is being handled. Of the connections, `aJustCome` have had no time
  /// to send a request; they do not count, or an older one would be closed in
  /// the place of each.
  std::vector<Id> Excess(std::size_t aJustCome = 0) const;
  /// Only those to close because they hold too much.
  std::vector<Id> ExcessOfBytes() const;
  /// True if the connection must end with the response to its request: there
  /// are too many, and its client sends requests ahead. Ask before
  /// `OnResponse`.
  bool EndsWithResponse(Id aConnection) const;
  std::size_t Connections() const { return m_connections.size(); }
  std::size_t Bytes() const { return m_bytes; }

private:
  struct Connection
  {
    std::size_t m_received = 0; ///< and not handled yet
    std::size_t m_request = 0;  ///< of the request under way
    bool m_handling = false;
    bool m_ahead = false;        ///< more was sent than the request under way
    bool m_used = false;         ///< has sent a request
    std::uint64_t m_lastUse = 0; ///< order of the last use
  };
  using Item = std::pair<Id, const Connection*>;

  /// Connections that may be closed, in the order in which they are.
  std::vector<Item> Closable() const;
  /// Of `aClosable`, those that hold most, until `aBytes` are no longer too
  /// many.
  std::vector<Id> Largest(std::vector<Item> aClosable,
                          std::size_t aBytes) const;
  /// Connections above the number, without those that end by themselves.
  std::size_t Surplus(std::size_t aJustCome) const;

  ConnectionLimits m_limits;
  std::map<Id, Connection> m_connections;
  std::size_t m_bytes = 0;
  Id m_lastId = 0;
  std::uint64_t m_uses = 0;
};

} // namespace lacewing::net
