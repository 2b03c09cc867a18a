#include "net/ConnectionBook.h"

#include <algorithm>
#include <functional>

namespace lacewing::net {

namespace {

/// Part of the connections that may be new ones without a request, before these
/// are closed ahead of used ones.
constexpr std::size_t kNewPart = 2;
/// Part of the connections by which their number may be exceeded while others
/// that are to end wait for their responses.
constexpr std::size_t kEndingPart = 4;

} // namespace

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
    it->second.m_ahead |= it->second.m_handling;
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
  connection.m_ahead = aUnread > 0;
  connection.m_used = true;
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

bool
ConnectionBook::EndsWithResponse(Id aConnection) const
{
  const auto it = m_connections.find(aConnection);
  return it != m_connections.end() && it->second.m_ahead &&
         m_connections.size() > m_limits.m_maxConnections;
}

std::vector<ConnectionBook::Item>
ConnectionBook::Closable() const
{
  std::vector<Item> result;
  std::vector<Item> used;
  std::vector<Item> young;
  for (const auto& [id, connection] : m_connections) {
    if (!connection.m_handling) {
      (connection.m_ahead  ? result
       : connection.m_used ? used
                           : young)
        .emplace_back(id, &connection);
    }
  }
  const auto lastUse = [](const Item& aItem) {
    return aItem.second->m_lastUse;
  };
  std::ranges::sort(result, {}, lastUse);
  std::ranges::sort(used, {}, lastUse);
  // A client that connects is about to send its request; it would never be
  // answered if those that send all the time counted as more recently used.
  // One that has sent much without a whole request has had its chance.
  std::ranges::sort(young, {}, [](const Item& aItem) {
    const Connection& connection = *aItem.second;
    return std::pair{ ~connection.m_received, connection.m_lastUse };
  });
  const auto split =
    young.end() - static_cast<std::ptrdiff_t>(std::min(
                    young.size(), m_limits.m_maxConnections / kNewPart));
  result.insert(result.end(), young.begin(), split);
  result.insert(result.end(), used.begin(), used.end());
  result.insert(result.end(), split, young.end());
  return result;
}

std::size_t
ConnectionBook::Surplus(std::size_t aJustCome) const
{
  const auto ending = static_cast<std::size_t>(
    std::ranges::count_if(m_connections, [](const auto& aItem) {
      return aItem.second.m_handling && aItem.second.m_ahead;
    }));
  const std::size_t bound =
    m_limits.m_maxConnections +
    std::min(ending, m_limits.m_maxConnections / kEndingPart);
  const std::size_t counted = m_connections.size() - aJustCome;
  return counted - std::min(counted, bound);
}

std::vector<ConnectionBook::Id>
ConnectionBook::Excess(std::size_t aJustCome) const
{
  std::vector<Item> closable = Closable();
  const auto kept =
    closable.begin() +
    static_cast<std::ptrdiff_t>(std::min(Surplus(aJustCome), closable.size()));
  std::vector<Id> result;
  std::size_t bytes = m_bytes;
  for (auto item = closable.begin(); item != kept; ++item) {
    bytes -= item->second->m_received;
    result.push_back(item->first);
  }
  closable.erase(closable.begin(), kept);
  const std::vector<Id> largest = Largest(std::move(closable), bytes);
  result.insert(result.end(), largest.begin(), largest.end());
  return result;
}

std::vector<ConnectionBook::Id>
ConnectionBook::ExcessOfBytes() const
{
  return Largest(Closable(), m_bytes);
}

std::vector<ConnectionBook::Id>
ConnectionBook::Largest(std::vector<Item> aClosable, std::size_t aBytes) const
{
  std::ranges::sort(aClosable, std::greater{}, [](const Item& aItem) {
    return aItem.second->m_received;
  });
  std::vector<Id> result;
  for (const auto& [id, connection] : aClosable) {
    // To close one that holds nothing would bring nothing.
    if (aBytes <= m_limits.m_maxBytes || connection->m_received == 0) {
      break;
    }
    aBytes -= connection->m_received;
    result.push_back(id);
  }
  return result;
}

} // namespace lacewing::net
