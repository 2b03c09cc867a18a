#include "sched/GangPlacement.h"

#include <algorithm>
#include <numeric>

namespace lacewing::sched {

namespace {

using Indices = std::vector<std::uint32_t>;

bool
Allows(const Request& aRequest, std::uint32_t aRack)
{
  return !aRequest.m_restricted || std::binary_search(aRequest.m_racks.begin(),
                                                      aRequest.m_racks.end(),
                                                      aRack);
}

/// Adds workers of the rack until the gang is complete.
void
FillFromRack(const FreeTable& aTable,
             const Request& aRequest,
             std::uint32_t aRack,
             std::uint32_t aTasks,
             Indices& aPlaces)
{
  for (const std::uint32_t worker : aTable.Racks()[aRack].m_workers) {
    const auto missing = aTasks - static_cast<std::uint32_t>(aPlaces.size());
    const std::uint32_t taken =
      std::min(missing, CountThatFit(aTable, worker, aRequest));
    aPlaces.insert(aPlaces.end(), taken, worker);
    if (aPlaces.size() == aTasks) {
      return;
    }
  }
}

Indices
RacksByFree(const FreeTable& aTable, const Request& aRequest, Indices aRacks)
{
  std::erase_if(aRacks,
                [&](std::uint32_t aRack) { return !Allows(aRequest, aRack); });
  std::sort(aRacks.begin(),
            aRacks.end(),
            [&](std::uint32_t aLeft, std::uint32_t aRight) {
              const std::int64_t left = aTable.Racks()[aLeft].m_freeMillicores;
              const std::int64_t right =
                aTable.Racks()[aRight].m_freeMillicores;
              return left != right ? left > right : aLeft < aRight;
            });
  return aRacks;
}

Indices
PlaceInRacks(const FreeTable& aTable,
             const Request& aRequest,
             const Indices& aRacks,
             std::uint32_t aTasks)
{
  Indices places;
  places.reserve(aTasks);
  for (const std::uint32_t rack : RacksByFree(aTable, aRequest, aRacks)) {
    FillFromRack(aTable, aRequest, rack, aTasks, places);
    if (places.size() == aTasks) {
      return places;
    }
  }
  return {};
}

/// The fullest rack that takes the whole gang, so that emptier ones stay for
/// larger gangs.
Indices
PlaceInOneRack(const FreeTable& aTable,
               const Request& aRequest,
               std::uint32_t aTasks)
{
  const std::int64_t needed = aRequest.m_need.m_millicores * aTasks;
  Indices racks;
  for (std::uint32_t rack = 0; rack < aTable.Racks().size(); ++rack) {
    if (aTable.Racks()[rack].m_freeMillicores >= needed) {
      racks.push_back(rack);
    }
  }
  racks = RacksByFree(aTable, aRequest, std::move(racks));
  for (auto rack = racks.rbegin(); rack != racks.rend(); ++rack) {
    Indices places;
    FillFromRack(aTable, aRequest, *rack, aTasks, places);
    if (places.size() == aTasks) {
      return places;
    }
  }
  return {};
}

Indices
DomainsByFree(const FreeTable& aTable)
{
  Indices domains(aTable.Domains().size());
  std::iota(domains.begin(), domains.end(), 0U);
  std::stable_sort(domains.begin(),
                   domains.end(),
                   [&](std::uint32_t aLeft, std::uint32_t aRight) {
                     return aTable.Domains()[aLeft].m_freeMillicores >
                            aTable.Domains()[aRight].m_freeMillicores;
                   });
  return domains;
}

} // namespace

std::uint32_t
CountThatFit(const Resources& aAvailable, const Resources& aNeed)
{
  if (!aNeed.FitsIn(aAvailable)) {
    return 0;
  }
  std::int64_t count = std::numeric_limits<std::int32_t>::max();
  if (aNeed.m_millicores > 0) {
    count = std::min(count, aAvailable.m_millicores / aNeed.m_millicores);
  }
  if (aNeed.m_memoryMib > 0) {
    count = std::min(count, aAvailable.m_memoryMib / aNeed.m_memoryMib);
  }
  if (aNeed.m_accelerators > 0) {
    count = std::min(count, aAvailable.m_accelerators / aNeed.m_accelerators);
  }
  return static_cast<std::uint32_t>(count);
}

std::uint32_t
CountThatFit(const FreeTable& aTable,
             std::uint32_t aWorker,
             const Request& aRequest)
{
  if (!aTable.Fits(aWorker, aRequest)) {
    return 0;
  }
  return CountThatFit(aTable.Slots()[aWorker].m_free, aRequest.m_need);
}

std::vector<std::uint32_t>
PlaceGangByRack(const FreeTable& aTable,
                const Request& aRequest,
                std::uint32_t aTasks)
{
  const std::int64_t needed = aRequest.m_need.m_millicores * aTasks;
  if (aTable.FreeMillicores() < needed) {
    return {};
  }
  if (Indices places = PlaceInOneRack(aTable, aRequest, aTasks);
      !places.empty()) {
    return places;
  }
  const Indices domains = DomainsByFree(aTable);
  for (const std::uint32_t domain : domains) {
    const DomainSlots& slots = aTable.Domains()[domain];
    if (slots.m_freeMillicores < needed) {
      break;
    }
    Indices places = PlaceInRacks(aTable, aRequest, slots.m_racks, aTasks);
    if (!places.empty()) {
      return places;
    }
  }
  Indices racks;
  for (const std::uint32_t domain : domains) {
    const auto& own = aTable.Domains()[domain].m_racks;
    racks.insert(racks.end(), own.begin(), own.end());
  }
  return PlaceInRacks(aTable, aRequest, racks, aTasks);
}

} // namespace lacewing::sched
