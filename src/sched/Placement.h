/// Placement policies: which worker takes a task, and which workers take a
/// gang.
#pragma once

#include "sched/GangPlacement.h"
#include "sched/WorkerIndex.h"

#include <concepts>

namespace lacewing::sched {

/// `Update` is called for each worker whose row in the table has changed,
/// before the next `Place` or `PlaceGang`. `Place` answers `kNone` and
/// `PlaceGang` an empty list if there is no room.
template<typename T>
concept PlacementPolicy = std::default_initializable<T> &&
  requires(T aPolicy, const FreeTable& aTable, const Request& aRequest)
{
  {
    aPolicy.Update(aTable, std::uint32_t{})
    } -> std::same_as<void>;
  {
    aPolicy.Place(aTable, aRequest)
    } -> std::same_as<std::uint32_t>;
  {
    aPolicy.PlaceGang(aTable, aRequest, std::uint32_t{})
    } -> std::same_as<std::vector<std::uint32_t>>;
};

/// The fitting worker of the allowed racks with the fewest free processors.
/// Linear in the size of the racks.
std::uint32_t
FindInRacks(const FreeTable& aTable, const Request& aRequest);

/// The worker with the least left over, gangs rack by rack.
class BestFitPlacement
{
public:
  void Update(const FreeTable& aTable, std::uint32_t aWorker)
  {
    m_index.Update(aTable, aWorker);
  }

  std::uint32_t Place(const FreeTable& aTable, const Request& aRequest)
  {
    return aRequest.m_restricted ? FindInRacks(aTable, aRequest)
                                 : m_index.FindTightest(aTable, aRequest);
  }

  std::vector<std::uint32_t> PlaceGang(const FreeTable& aTable,
                                       const Request& aRequest,
                                       std::uint32_t aTasks)
  {
    return PlaceGangByRack(aTable, aRequest, aTasks);
  }

private:
  WorkerIndex m_index;
};

} // namespace lacewing::sched
