/// The owner's copy of a worker's inventory, rebuilt from the deltas in the
/// worker's replies. Makes no exchanges itself.
#pragma once

#include "core/Time.h"
#include "worker/WorkerMessages.h"

#include <map>

namespace lacewing::worker {

/// A copy that is older than this is replaced by a whole inventory, so that an
/// error that the checks cannot notice does not last.
inline constexpr Duration kWholeInventoryPeriod = seconds(60);

/// All tasks on a worker, as last reported.
using Inventory = std::map<TaskId, RunningTask>;

/// XXH3 over all fields of all tasks in the order of their ids; the same on all
/// machines.
std::uint64_t
InventoryHash(const Inventory& aInventory);

/// Checks of the view. Switched off only by mutation tests.
struct InventoryChecks
{
  bool m_order = true; ///< replies that a later one has overtaken are dropped
  bool m_hash = true;  ///< count and hash of the result of a delta
};

class InventoryView
{
public:
  explicit InventoryView(InventoryChecks aChecks = {});

  /// What the next request tells the worker; instance 0 asks for the whole
  /// inventory.
  InventoryBasis Basis(Time aNow) const;
  /// Asks for the whole inventory with the next request.
  void Forget();
  /// Takes an accepted reply to the request with the sequence number. Returns
  /// the reply with capacity and the whole inventory, as a worker without
  /// deltas sends it; nothing if its inventory cannot be used. The copy then
  /// stays as it is for a reply that a later one has overtaken, and is
  /// forgotten otherwise.
  std::optional<ControlReply> Apply(Time aNow,
                                    std::uint64_t aSequence,
                                    ControlReply aReply);

private:
  bool Merge(const InventoryState& aState);
  void TakeWhole(Time aNow, const ControlReply& aReply);

  InventoryChecks m_checks;
  std::uint64_t m_lastSequence = 0; ///< of the latest reply
  InventoryBasis m_at;              ///< instance 0: there is no copy
  Inventory m_tasks;
  Resources m_capacity;
  Time m_wholeAt{}; ///< when the latest whole inventory came
};

} // namespace lacewing::worker
