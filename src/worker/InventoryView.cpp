#include "worker/InventoryView.h"

#include <xxhash.h>

#include <utility>

namespace lacewing::worker {

namespace {

/// Adds a number in a byte order that does not depend on the machine.
void
AddNumber(std::string& aBytes, std::uint64_t aNumber)
{
  constexpr int kBits = 64;
  constexpr int kByteBits = 8;
  for (int shift = 0; shift < kBits; shift += kByteBits) {
    aBytes.push_back(static_cast<char>((aNumber >> shift) & 0xFFU));
  }
}

void
AddResources(std::string& aBytes, const Resources& aResources)
{
  AddNumber(aBytes, static_cast<std::uint64_t>(aResources.m_millicores));
  AddNumber(aBytes, static_cast<std::uint64_t>(aResources.m_memoryMib));
  AddNumber(aBytes, static_cast<std::uint64_t>(aResources.m_accelerators));
}

} // namespace

std::uint64_t
InventoryHash(const Inventory& aInventory)
{
  std::string bytes;
  for (const auto& [id, task] : aInventory) {
    const std::string& job = id.m_job.Value();
    // The length keeps two different lists from having the same bytes.
    AddNumber(bytes, job.size());
    bytes += job;
    AddNumber(bytes, id.m_index);
    AddNumber(bytes, task.m_attempt);
    AddResources(bytes, task.m_reserved);
    AddResources(bytes, task.m_used);
    AddNumber(bytes, task.m_throttled ? 1 : 0);
  }
  return XXH3_64bits(bytes.data(), bytes.size());
}

InventoryView::InventoryView(InventoryChecks aChecks)
  : m_checks(aChecks)
{
}

InventoryBasis
InventoryView::Basis(Time aNow) const
{
  if (aNow - m_wholeAt >= kWholeInventoryPeriod) {
    return {};
  }
  return m_at;
}

void
InventoryView::Forget()
{
  m_at = {};
  m_tasks.clear();
}

std::optional<ControlReply>
InventoryView::Apply(Time aNow, std::uint64_t aSequence, ControlReply aReply)
{
  if (m_checks.m_order && aSequence <= m_lastSequence) {
    return std::nullopt;
  }
  m_lastSequence = aSequence;
  if (!aReply.m_inventory) {
    Forget();
    return aReply;
  }
  if (!aReply.m_inventory->m_delta) {
    TakeWhole(aNow, aReply);
  } else if (!Merge(*aReply.m_inventory)) {
    Forget();
    return std::nullopt;
  }
  aReply.m_inventory.reset();
  aReply.m_capacity = m_capacity;
  aReply.m_running.clear();
  for (const auto& [id, task] : m_tasks) {
    aReply.m_running.push_back(task);
  }
  return aReply;
}

bool
InventoryView::Merge(const InventoryState& aState)
{
  const InventoryDelta& delta = *aState.m_delta;
  const InventoryBasis base{ aState.m_at.m_instance, delta.m_base };
  if (base != m_at) {
    return false;
  }
  for (const TaskId& task : delta.m_removed) {
    m_tasks.erase(task);
  }
  for (const auto* list : { &delta.m_added, &delta.m_changed }) {
    for (const RunningTask& task : *list) {
      m_tasks[task.m_task] = task;
    }
  }
  m_at = aState.m_at;
  return !m_checks.m_hash || (m_tasks.size() == delta.m_count &&
                              InventoryHash(m_tasks) == delta.m_hash);
}

void
InventoryView::TakeWhole(Time aNow, const ControlReply& aReply)
{
  m_at = aReply.m_inventory->m_at;
  m_capacity = aReply.m_capacity;
  m_wholeAt = aNow;
  m_tasks.clear();
  for (const RunningTask& task : aReply.m_running) {
    m_tasks[task.m_task] = task;
  }
}

} // namespace lacewing::worker
