#include "sched/FreeTable.h"

#include <algorithm>

namespace lacewing::sched {

void
FreeTable::Add(std::uint32_t aWorker, const WorkerSpec& aSpec)
{
  if (aWorker >= m_slots.size()) {
    m_slots.resize(aWorker + 1);
  }
  FreeSlot& slot = m_slots[aWorker];
  slot = FreeSlot{};
  m_capacity += aSpec.m_capacity;
  slot.m_acceleratorKind = InternKind(aSpec.m_accelerator);
  slot.m_rack = InternRack(aSpec);
  m_racks[slot.m_rack].m_workers.push_back(aWorker);
}

void
FreeTable::Remove(std::uint32_t aWorker)
{
  Set(aWorker, Resources{}, false);
  std::erase(m_racks[m_slots[aWorker].m_rack].m_workers, aWorker);
}

void
FreeTable::Set(std::uint32_t aWorker, Resources aFree, bool aOpen)
{
  FreeSlot& slot = m_slots[aWorker];
  aFree.m_millicores = std::max<std::int64_t>(0, aFree.m_millicores);
  aFree.m_memoryMib = std::max<std::int64_t>(0, aFree.m_memoryMib);
  aFree.m_accelerators = std::max<std::int64_t>(0, aFree.m_accelerators);
  const std::int64_t before = slot.m_open ? slot.m_free.m_millicores : 0;
  const std::int64_t after = aOpen ? aFree.m_millicores : 0;
  slot.m_free = aFree;
  slot.m_open = aOpen;
  AddToSums(aWorker, after - before);
}

std::uint32_t
FreeTable::FindKind(const std::string& aName) const
{
  if (aName.empty()) {
    return kNoAccelerator;
  }
  const auto found = m_kinds.find(aName);
  return found == m_kinds.end() ? kNone : found->second;
}

Request
FreeTable::Resolve(const JobSpec& aSpec) const
{
  Request request;
  request.m_need = aSpec.m_perTask;
  request.m_acceleratorKind = FindKind(aSpec.m_accelerator);
  request.m_restricted = !aSpec.m_domains.empty() || !aSpec.m_racks.empty();
  for (const DomainId& domain : aSpec.m_domains) {
    if (const auto found = m_domainIndex.find(domain);
        found != m_domainIndex.end()) {
      const auto& racks = m_domains[found->second].m_racks;
      request.m_racks.insert(request.m_racks.end(), racks.begin(), racks.end());
    }
  }
  for (const RackId& rack : aSpec.m_racks) {
    const auto found = m_rackIndex.find(rack);
    if (found != m_rackIndex.end()) {
      request.m_racks.push_back(found->second);
    }
  }
  // A rack may be named together with its domain.
  std::sort(request.m_racks.begin(), request.m_racks.end());
  request.m_racks.erase(
    std::unique(request.m_racks.begin(), request.m_racks.end()),
    request.m_racks.end());
  return request;
}

std::uint32_t
FreeTable::InternKind(const std::string& aName)
{
  if (aName.empty()) {
    return kNoAccelerator;
  }
  const auto next = static_cast<std::uint32_t>(m_kinds.size() + 1);
  return m_kinds.emplace(aName, next).first->second;
}

std::uint32_t
FreeTable::InternRack(const WorkerSpec& aSpec)
{
  const auto [domain, newDomain] = m_domainIndex.emplace(
    aSpec.m_domain, static_cast<std::uint32_t>(m_domains.size()));
  if (newDomain) {
    m_domains.emplace_back();
  }
  const auto [rack, newRack] = m_rackIndex.emplace(
    aSpec.m_rack, static_cast<std::uint32_t>(m_racks.size()));
  if (newRack) {
    m_racks.emplace_back();
    m_racks.back().m_domain = domain->second;
    m_domains[domain->second].m_racks.push_back(rack->second);
  }
  return rack->second;
}

void
FreeTable::AddToSums(std::uint32_t aWorker, std::int64_t aMillicores)
{
  RackSlots& rack = m_racks[m_slots[aWorker].m_rack];
  rack.m_freeMillicores += aMillicores;
  m_domains[rack.m_domain].m_freeMillicores += aMillicores;
  m_freeMillicores += aMillicores;
}

} // namespace lacewing::sched
