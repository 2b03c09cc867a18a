#include "net/ConnectionBook.h"

#include <algorithm>
#include <functional>

namespace lacewing::net {

ConnectionBook::Id
ConnectionBook::Open()
{
  m_connections[++m_lastId].m_lastUse = ++m_uses;
  return m_lastId;
}

void
ConnectionBook::OnReceived(Id aConnection, std::size_t aBytes)
{
  const auto it = m_connections.find(aConnection);
  if (it != m_connections.end()) {
    it->second.m_received += aBytes;
    m_bytes += aBytes;
  }
}

void
ConnectionBook::OnRequest(Id aConnection,
                          std::size_t aUnread,
                          std::size_t aRequestBytes)
{
  const auto it = m_connections.find(aConnection);
  if (it == m_connections.end()) {
    return;
  }
  Connection& connection = it->second;
  m_bytes -= connection.m_received + connection.m_request;
  connection.m_received = aUnread;
  connection.m_request = aRequestBytes;
  m_bytes += connection.m_received + connection.m_request;
  connection.m_handling = true;
  connection.m_lastUse = ++m_uses;
}

void
ConnectionBook::OnResponse(Id aConnection)
{
  const auto it = m_connections.find(aConnection);
  if (it != m_connections.end()) {
    m_bytes -= it->second.m_request;
    it->second.m_request = 0;
    it->second.m_handling = false;
    it->second.m_lastUse = ++m_uses;
  }
}

void
ConnectionBook::OnClosed(Id aConnection)
{
  const auto it = m_connections.find(aConnection);
  if (it != m_connections.end()) {
    m_bytes -= it->second.m_received + it->second.m_request;
    m_connections.erase(it);
  }
}

std::vector<ConnectionBook::Id>
ConnectionBook::Excess() const
{
  std::vector<std::pair<Id, const Connection*>> idle;
  for (const auto& [id, connection] : m_connections) {
    if (!connection.m_handling) {
      idle.emplace_back(id, &connection);
    }
  }
  std::vector<Id> result;
  std::size_t bytes = m_bytes;
  const auto close = [&](std::size_t aIndex) {
    bytes -= idle[aIndex].second->m_received;
    result.push_back(idle[aIndex].first);
  };
  const std::size_t surplus =
    m_connections.size() -
    std::min(m_connections.size(), m_limits.m_maxConnections);
  std::ranges::sort(
    idle, {}, [](const auto& aItem) { return aItem.second->m_lastUse; });
  const std::size_t oldest = std::min(surplus, idle.size());
  for (std::size_t index = 0; index < oldest; ++index) {
    close(index);
  }
  idle.erase(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(oldest));
  std::ranges::sort(idle, std::greater{}, [](const auto& aItem) {
    return aItem.second->m_received;
  });
  for (std::size_t index = 0;
       index < idle.size() && bytes > m_limits.m_maxBytes;
       ++index) {
    close(index);
  }
  return result;
}

} // namespace lacewing::net
