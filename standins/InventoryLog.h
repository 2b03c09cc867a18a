/// The worker's side of inventory deltas: numbers the states of its inventory
/// and tells what changed since one of them.
#pragma once

#include "worker/InventoryView.h"

#include <deque>

namespace lacewing::standin {

/// The measured size as it is reported: memory rounded up to 64 MiB and
/// processors to 100 millicores, so that small changes are not sent. A size
/// within the reserved one is not rounded above it: that would take room on a
/// full worker from tasks that keep to what they declared.
Resources
ReportedSize(const Resources& aMeasured, const Resources& aReserved);

class InventoryLog
{
public:
  explicit InventoryLog(std::uint64_t aInstance);

  /// Gives a number to each change since the last call.
  void Update(const worker::Inventory& aInventory);
  /// How to answer a request that names a state: with a delta, or with the
  /// whole inventory if the state is not known.
  worker::InventoryState Answer(const worker::InventoryBasis& aHave) const;

private:
  struct Entry
  {
    std::uint64_t m_added = 0;
    std::uint64_t m_changed = 0;
  };

  std::uint64_t m_instance;
  std::uint64_t m_state = 0;
  std::uint64_t m_oldest = 0; ///< oldest state whose removals are kept
  worker::Inventory m_tasks;
  std::map<TaskId, Entry> m_entries;
  std::deque<std::pair<std::uint64_t, TaskId>> m_removals;
};

} // namespace lacewing::standin
