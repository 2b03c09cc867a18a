/// Placement policies to compare with: first fit, random, best of k sampled,
/// exact best fit by a linear scan, an ordered set by free processors, and best
/// fit that ignores racks.
#pragma once

#include "sched/Placement.h"

#include <cmath>
#include <random>
#include <set>

namespace lacewing::bench {

using sched::FreeTable;
using sched::kNone;
using sched::Request;

/// Places a gang task by task through `Place` on a scratch table, without a
/// look at racks.
template<typename Policy>
std::vector<std::uint32_t>
PlaceGangOneByOne(Policy& aPolicy,
                  const FreeTable& aTable,
                  const Request& aRequest,
                  std::uint32_t aTasks)
{
  // The table is copied back after the search; only chosen rows change.
  auto& table = const_cast<FreeTable&>(aTable); // NOLINT
  std::vector<std::uint32_t> places;
  while (places.size() < aTasks) {
    const std::uint32_t worker = aPolicy.Place(aTable, aRequest);
    if (worker == kNone) {
      break;
    }
    const auto& slot = aTable.Slots()[worker];
    table.Set(worker, slot.m_free - aRequest.m_need, true);
    aPolicy.Update(aTable, worker);
    places.push_back(worker);
  }
  for (const std::uint32_t worker : places) {
    const auto& slot = aTable.Slots()[worker];
    table.Set(worker, slot.m_free + aRequest.m_need, true);
    aPolicy.Update(aTable, worker);
  }
  if (places.size() < aTasks) {
    places.clear();
  }
  return places;
}

class FirstFitPlacement
{
public:
  void Update(const FreeTable&, std::uint32_t) {}
  std::uint32_t Place(const FreeTable& aTable, const Request& aRequest)
  {
    const auto workers = static_cast<std::uint32_t>(aTable.Slots().size());
    for (std::uint32_t worker = 0; worker < workers; ++worker) {
      if (aTable.Fits(worker, aRequest)) {
        return worker;
      }
    }
    return kNone;
  }
  std::vector<std::uint32_t> PlaceGang(const FreeTable& aTable,
                                       const Request& aRequest,
                                       std::uint32_t aTasks)
  {
    return PlaceGangOneByOne(*this, aTable, aRequest, aTasks);
  }
};

/// A random worker of those that fit: tries at random, then all from a random
/// one on.
class RandomPlacement
{
public:
  void Update(const FreeTable&, std::uint32_t) {}
  std::uint32_t Place(const FreeTable& aTable, const Request& aRequest)
  {
    const auto workers = static_cast<std::uint32_t>(aTable.Slots().size());
    constexpr int kTries = 32;
    for (int i = 0; i < kTries; ++i) {
      const auto worker = static_cast<std::uint32_t>(m_random() % workers);
      if (aTable.Fits(worker, aRequest)) {
        return worker;
      }
    }
    const auto start = static_cast<std::uint32_t>(m_random() % workers);
    for (std::uint32_t i = 0; i < workers; ++i) {
      const std::uint32_t worker = (start + i) % workers;
      if (aTable.Fits(worker, aRequest)) {
        return worker;
      }
    }
    return kNone;
  }
  std::vector<std::uint32_t> PlaceGang(const FreeTable& aTable,
                                       const Request& aRequest,
                                       std::uint32_t aTasks)
  {
    return PlaceGangOneByOne(*this, aTable, aRequest, aTasks);
  }

private:
  std::mt19937_64 m_random{ 7 };
};

/// The same measure as in the index of the daemon.
inline double
Looseness(const FreeTable& aTable, std::uint32_t aWorker, const Request& aNeed)
{
  const Resources left = aTable.Slots()[aWorker].m_free - aNeed.m_need;
  const auto cores = static_cast<double>(left.m_millicores);
  const double memory =
    static_cast<double>(left.m_memoryMib) / aTable.MibPerMillicore();
  return cores + std::abs(cores - memory);
}

/// The tightest of k random workers that fit; a random one if none does.
class BestOfKPlacement
{
public:
  void Update(const FreeTable&, std::uint32_t) {}
  std::uint32_t Place(const FreeTable& aTable, const Request& aRequest)
  {
    constexpr int kSampled = 16;
    std::uint32_t best = kNone;
    for (int i = 0; i < kSampled; ++i) {
      const auto worker =
        static_cast<std::uint32_t>(m_random() % aTable.Slots().size());
      if (aTable.Fits(worker, aRequest) &&
          (best == kNone || Looseness(aTable, worker, aRequest) <
                              Looseness(aTable, best, aRequest))) {
        best = worker;
      }
    }
    return best != kNone ? best : m_fallback.Place(aTable, aRequest);
  }
  std::vector<std::uint32_t> PlaceGang(const FreeTable& aTable,
                                       const Request& aRequest,
                                       std::uint32_t aTasks)
  {
    return PlaceGangOneByOne(*this, aTable, aRequest, aTasks);
  }

private:
  std::mt19937_64 m_random{ 11 };
  RandomPlacement m_fallback;
};

/// Exact best fit over all workers, gangs by rack.
class LinearBestFitPlacement
{
public:
  void Update(const FreeTable&, std::uint32_t) {}
  std::uint32_t Place(const FreeTable& aTable, const Request& aRequest)
  {
    const auto workers = static_cast<std::uint32_t>(aTable.Slots().size());
    std::uint32_t best = kNone;
    for (std::uint32_t worker = 0; worker < workers; ++worker) {
      if (aTable.Fits(worker, aRequest) &&
          (best == kNone || Looseness(aTable, worker, aRequest) <
                              Looseness(aTable, best, aRequest))) {
        best = worker;
      }
    }
    return best;
  }
  std::vector<std::uint32_t> PlaceGang(const FreeTable& aTable,
                                       const Request& aRequest,
                                       std::uint32_t aTasks)
  {
    return sched::PlaceGangByRack(aTable, aRequest, aTasks);
  }
};

/// Workers ordered by free processors; the first from the need on that fits.
class OrderedSetPlacement
{
public:
  void Update(const FreeTable& aTable, std::uint32_t aWorker)
  {
    if (aWorker >= m_filed.size()) {
      m_filed.resize(aWorker + 1, -1);
    }
    if (m_filed[aWorker] >= 0) {
      m_byCores.erase({ m_filed[aWorker], aWorker });
      m_filed[aWorker] = -1;
    }
    const auto& slot = aTable.Slots()[aWorker];
    if (slot.m_open) {
      m_filed[aWorker] = slot.m_free.m_millicores;
      m_byCores.emplace(m_filed[aWorker], aWorker);
    }
  }
  std::uint32_t Place(const FreeTable& aTable, const Request& aRequest)
  {
    auto entry = m_byCores.lower_bound({ aRequest.m_need.m_millicores, 0 });
    for (; entry != m_byCores.end(); ++entry) {
      if (aTable.Fits(entry->second, aRequest)) {
        return entry->second;
      }
    }
    return kNone;
  }
  std::vector<std::uint32_t> PlaceGang(const FreeTable& aTable,
                                       const Request& aRequest,
                                       std::uint32_t aTasks)
  {
    return sched::PlaceGangByRack(aTable, aRequest, aTasks);
  }

private:
  std::set<std::pair<std::int64_t, std::uint32_t>> m_byCores;
  std::vector<std::int64_t> m_filed; ///< by worker; -1: not in the set
};

/// The policy of the daemon, but for gangs that ignore racks.
class RackBlindPlacement : public sched::BestFitPlacement
{
public:
  std::vector<std::uint32_t> PlaceGang(const FreeTable& aTable,
                                       const Request& aRequest,
                                       std::uint32_t aTasks)
  {
    return PlaceGangOneByOne(*this, aTable, aRequest, aTasks);
  }
};

} // namespace lacewing::bench
