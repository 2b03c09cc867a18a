/// Order between teams.
#pragma once

#include "core/Resources.h"

#include <algorithm>
#include <concepts>
#include <cstdint>

namespace lacewing::sched {

/// What an order may look at.
struct TeamView
{
  Resources m_used;     ///< held by the team's tasks
  Resources m_capacity; ///< of all workers
  double m_weight = 1;
  /// Sequence number of the submission of the team's first job in its queue.
  std::uint64_t m_firstSequence = 0;
};

/// The team with the lowest key comes first. With `kReclaims`, patient tasks of
/// teams above their share are stopped for teams below theirs.
template<typename T>
concept TeamOrder = requires(const TeamView& aView)
{
  {
    T::Key(aView)
    } -> std::same_as<double>;
  {
    T::kReclaims
    } -> std::convertible_to<bool>;
};

/// The largest of the team's parts of each resource.
inline double
DominantShare(const Resources& aUsed, const Resources& aCapacity)
{
  const auto part = [](std::int64_t aPart, std::int64_t aWhole) {
    return aWhole > 0 ? static_cast<double>(aPart) / static_cast<double>(aWhole)
                      : 0.0;
  };
  return std::max({ part(aUsed.m_millicores, aCapacity.m_millicores),
                    part(aUsed.m_memoryMib, aCapacity.m_memoryMib),
                    part(aUsed.m_accelerators, aCapacity.m_accelerators) });
}

/// Weighted dominant share.
struct FairOrder
{
  static constexpr bool kReclaims = true;

  static double Key(const TeamView& aView)
  {
    return DominantShare(aView.m_used, aView.m_capacity) / aView.m_weight;
  }
};

/// First come, first served, without shares; a baseline.
struct ArrivalOrder
{
  static constexpr bool kReclaims = false;

  static double Key(const TeamView& aView)
  {
    return static_cast<double>(aView.m_firstSequence);
  }
};

} // namespace lacewing::sched
