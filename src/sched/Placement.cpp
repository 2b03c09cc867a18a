#include "sched/Placement.h"

namespace lacewing::sched {

namespace {

/// Workers that the request does not avoid first, then the fullest.
bool
IsBetter(const FreeTable& aTable,
         const Request& aRequest,
         std::uint32_t aWorker,
         std::uint32_t aBest)
{
  const bool avoids = aRequest.Avoids(aWorker);
  if (avoids != aRequest.Avoids(aBest)) {
    return !avoids;
  }
  return aTable.Slots()[aWorker].m_free.m_millicores <
         aTable.Slots()[aBest].m_free.m_millicores;
}

} // namespace

std::uint32_t
FindInRacks(const FreeTable& aTable, const Request& aRequest)
{
  std::uint32_t best = kNone;
  for (const std::uint32_t rack : aRequest.m_racks) {
    for (const std::uint32_t worker : aTable.Racks()[rack].m_workers) {
      if (!aTable.Fits(worker, aRequest)) {
        continue;
      }
      if (best == kNone || IsBetter(aTable, aRequest, worker, best)) {
        best = worker;
      }
    }
  }
  return best;
}

} // namespace lacewing::sched
