/// Free resources of each worker, with sums per rack and per failure domain.
/// Placement policies read this table and nothing else.
#pragma once

#include "sched/JobTypes.h"

#include <algorithm>
#include <limits>
#include <map>
#include <unordered_map>

namespace lacewing::sched {

inline constexpr std::uint32_t kNone =
  std::numeric_limits<std::uint32_t>::max();
/// Accelerator kind of workers and requests without accelerators.
inline constexpr std::uint32_t kNoAccelerator = 0;

/// What one task needs, with names resolved to indices of the table.
struct Request
{
  Resources m_need;
  std::uint32_t m_acceleratorKind = kNoAccelerator;
  std::vector<std::uint32_t> m_racks; ///< allowed racks if `m_restricted`
  bool m_restricted = false;
  /// Workers that are used only if nothing else fits.
  std::vector<std::uint32_t> m_avoided;

  bool Avoids(std::uint32_t aWorker) const
  {
    return std::find(m_avoided.begin(), m_avoided.end(), aWorker) !=
           m_avoided.end();
  }
};

struct FreeSlot
{
  Resources m_free; ///< never negative
  std::uint32_t m_acceleratorKind = kNoAccelerator;
  std::uint32_t m_rack = kNone;
  bool m_open = false; ///< takes new tasks
};

struct RackSlots
{
  std::vector<std::uint32_t> m_workers;
  std::uint32_t m_domain = 0;
  std::int64_t m_freeMillicores = 0; ///< of the open workers
};

struct DomainSlots
{
  std::vector<std::uint32_t> m_racks;
  std::int64_t m_freeMillicores = 0; ///< of the open workers
};

class FreeTable
{
public:
  /// Adds a worker at the given index, closed and without free resources.
  void Add(std::uint32_t aWorker, const WorkerSpec& aSpec);
  void Remove(std::uint32_t aWorker);
  /// Changes the total, which `Add` has counted for the worker.
  void AddCapacity(const Resources& aMore) { m_capacity += aMore; }
  const Resources& Capacity() const { return m_capacity; }
  /// Sets what is free. Negative amounts, as left by a measured size above the
  /// declared one, count as zero.
  void Set(std::uint32_t aWorker, Resources aFree, bool aOpen);

  /// Index of a kind, or `kNone` if no worker ever had it.
  std::uint32_t FindKind(const std::string& aName) const;
  /// Resolves the names of a job; unknown domains and racks allow nothing.
  Request Resolve(const JobSpec& aSpec) const;

  bool Fits(std::uint32_t aWorker, const Request& aRequest) const
  {
    const FreeSlot& slot = m_slots[aWorker];
    return slot.m_open && aRequest.m_need.FitsIn(slot.m_free) &&
           (aRequest.m_need.m_accelerators == 0 ||
            slot.m_acceleratorKind == aRequest.m_acceleratorKind);
  }

  const std::vector<FreeSlot>& Slots() const { return m_slots; }
  const std::vector<RackSlots>& Racks() const { return m_racks; }
  const std::vector<DomainSlots>& Domains() const { return m_domains; }
  std::int64_t FreeMillicores() const { return m_freeMillicores; }
  /// Memory for each millicore over all workers; 1 if there are none.
  double MibPerMillicore() const
  {
    return m_capacity.m_millicores > 0 && m_capacity.m_memoryMib > 0
             ? static_cast<double>(m_capacity.m_memoryMib) /
                 static_cast<double>(m_capacity.m_millicores)
             : 1;
  }

private:
  std::uint32_t InternKind(const std::string& aName);
  std::uint32_t InternRack(const WorkerSpec& aSpec);
  void AddToSums(std::uint32_t aWorker, std::int64_t aMillicores);

  std::vector<FreeSlot> m_slots;
  std::vector<RackSlots> m_racks;
  std::vector<DomainSlots> m_domains;
  std::unordered_map<std::string, std::uint32_t> m_kinds;
  std::unordered_map<RackId, std::uint32_t> m_rackIndex;
  std::unordered_map<DomainId, std::uint32_t> m_domainIndex;
  std::int64_t m_freeMillicores = 0;
  Resources m_capacity; ///< of all workers
};

} // namespace lacewing::sched
