#include "pool/PoolConfig.h"

#include <algorithm>

namespace lacewing::pool {

const QueueRule*
FindQueue(const PoolConfig& aConfig,
          std::string_view aHost,
          std::string_view aPath)
{
  const std::string_view host = aHost.substr(0, aHost.find(':'));
  const QueueRule* best = nullptr;
  for (const QueueRule& queue : aConfig.m_queues) {
    const bool matches =
      queue.m_host == host && aPath.starts_with(queue.m_prefix);
    if (matches &&
        (best == nullptr || queue.m_prefix.size() > best->m_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const QueueRule*
FindQueue(const PoolConfig& aConfig, const QueueId& aQueue)
{
  const auto it = std::ranges::find(aConfig.m_queues, aQueue, &QueueRule::m_id);
  return it == aConfig.m_queues.end() ? nullptr : &*it;
}

const TeamRule*
FindTeamByKey(const PoolConfig& aConfig, std::string_view aKey)
{
  for (const TeamRule& team : aConfig.m_teams) {
    if (std::ranges::find(team.m_keys, aKey) != team.m_keys.end()) {
      return &team;
    }
  }
  return nullptr;
}

} // namespace lacewing::pool
