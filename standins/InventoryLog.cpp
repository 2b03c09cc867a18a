#include "InventoryLog.h"

#include <algorithm>

namespace lacewing::standin {

namespace {

constexpr std::int64_t kMemoryStepMib = 64;
constexpr std::int64_t kProcessorStepMillicores = 100;
constexpr std::size_t kRemovalsKept = 64;

std::int64_t
RoundedUp(std::int64_t aMeasured, std::int64_t aStep, std::int64_t aReserved)
{
  const std::int64_t rounded = (aMeasured + aStep - 1) / aStep * aStep;
  return aMeasured <= aReserved ? std::min(rounded, aReserved) : rounded;
}

} // namespace

Resources
ReportedSize(const Resources& aMeasured, const Resources& aReserved)
{
  return {
    RoundedUp(
      aMeasured.m_millicores, kProcessorStepMillicores, aReserved.m_millicores),
    RoundedUp(aMeasured.m_memoryMib, kMemoryStepMib, aReserved.m_memoryMib),
    aMeasured.m_accelerators
  };
}

InventoryLog::InventoryLog(std::uint64_t aInstance)
  : m_instance(aInstance)
{
}

void
InventoryLog::Update(const worker::Inventory& aInventory)
{
  std::erase_if(m_entries, [&](const auto& aEntry) {
    if (aInventory.contains(aEntry.first)) {
      return false;
    }
    m_removals.emplace_back(++m_state, aEntry.first);
    return true;
  });
  for (const auto& [id, task] : aInventory) {
    const auto [found, added] = m_entries.try_emplace(id);
    if (added) {
      found->second.m_added = ++m_state;
    } else if (m_tasks.at(id) != task) {
      found->second.m_changed = ++m_state;
    }
  }
  while (m_removals.size() > kRemovalsKept) {
    m_oldest = m_removals.front().first;
    m_removals.pop_front();
  }
  m_tasks = aInventory;
}

worker::InventoryState
InventoryLog::Answer(const worker::InventoryBasis& aHave) const
{
  worker::InventoryState answer;
  answer.m_at = { m_instance, m_state };
  if (aHave.m_instance != m_instance || aHave.m_state < m_oldest ||
      aHave.m_state > m_state) {
    return answer;
  }
  worker::InventoryDelta delta;
  delta.m_base = aHave.m_state;
  delta.m_count = m_tasks.size();
  delta.m_hash = worker::InventoryHash(m_tasks);
  for (const auto& [state, task] : m_removals) {
    if (state > aHave.m_state) {
      delta.m_removed.push_back(task);
    }
  }
  for (const auto& [id, entry] : m_entries) {
    if (entry.m_added > aHave.m_state) {
      delta.m_added.push_back(m_tasks.at(id));
    } else if (entry.m_changed > aHave.m_state) {
      delta.m_changed.push_back(m_tasks.at(id));
    }
  }
  answer.m_delta = std::move(delta);
  return answer;
}

} // namespace lacewing::standin
