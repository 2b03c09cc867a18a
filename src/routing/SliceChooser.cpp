#include "routing/SliceChooser.h"

#include <utility>

namespace lacewing::routing {

SliceChooser::SliceChooser(RegionId aOwnRegion,
                           std::uint64_t aSeed,
                           bool aPreferOwnRegion)
  : m_ownRegion(std::move(aOwnRegion))
  , m_random(aSeed)
  , m_preferOwnRegion(aPreferOwnRegion)
{
}

std::optional<SliceLoad>
SliceChooser::Choose(const std::vector<SliceLoad>& aSlices,
                     const std::set<SliceId>& aTried)
{
  Candidates own;
  Candidates other;
  for (const SliceLoad& slice : aSlices) {
    if (!slice.m_reachable || aTried.contains(slice.m_slice)) {
      continue;
    }
    const bool near = !m_preferOwnRegion || slice.m_region == m_ownRegion;
    (near ? own : other).push_back(&slice);
  }
  const Candidates& candidates = own.empty() ? other : own;
  if (candidates.empty()) {
    return std::nullopt;
  }
  return BetterOfTwo(candidates);
}

const SliceLoad&
SliceChooser::BetterOfTwo(const Candidates& aCandidates)
{
  if (aCandidates.size() == 1) {
    return *aCandidates.front();
  }
  const std::size_t last = aCandidates.size() - 1;
  const auto first =
    std::uniform_int_distribution<std::size_t>(0, last)(m_random);
  auto second =
    std::uniform_int_distribution<std::size_t>(0, last - 1)(m_random);
  if (second >= first) {
    ++second;
  }
  const bool firstBetter =
    aCandidates[first]->m_load <= aCandidates[second]->m_load;
  return *aCandidates[firstBetter ? first : second];
}

void
SliceChooser::CountBytes(const RegionId& aSliceRegion, std::uint64_t aBytes)
{
  if (aSliceRegion != m_ownRegion) {
    m_crossRegionBytes += aBytes;
  }
}

} // namespace lacewing::routing
