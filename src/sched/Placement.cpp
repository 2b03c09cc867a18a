#include "sched/Placement.h"

namespace lacewing::sched {

std::uint32_t
FindInRacks(const FreeTable& aTable, const Request& aRequest)
{
  std::uint32_t best = kNone;
  for (const std::uint32_t rack : aRequest.m_racks) {
    for (const std::uint32_t worker : aTable.Racks()[rack].m_workers) {
      if (!aTable.Fits(worker, aRequest)) {
        continue;
      }
      if (best == kNone || aTable.Slots()[worker].m_free.m_millicores <
                             aTable.Slots()[best].m_free.m_millicores) {
        best = worker;
      }
    }
  }
  return best;
}

} // namespace lacewing::sched
