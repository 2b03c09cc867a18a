#include "routing/SliceChooser.h"

#include <array>
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

/// Suspect owners come last, since a request to one of them waits for its whole
/// deadline and its outcome stays unknown; the bytes of a request to another
/// region cost less than that.
std::size_t
SliceChooser::RankOf(const SliceLoad& aSlice) const
{
  const bool far = m_preferOwnRegion && aSlice.m_region != m_ownRegion;
  return (aSlice.m_suspect ? 2 : 0) + (far ? 1 : 0);
}

std::optional<SliceLoad>
SliceChooser::Choose(const std::vector<SliceLoad>& aSlices,
                     const std::set<SliceId>& aTried)
{
  constexpr std::size_t kRanks = 4;
  std::array<Candidates, kRanks> byRank;
  for (const SliceLoad& slice : aSlices) {
    if (slice.m_reachable && !aTried.contains(slice.m_slice)) {
      byRank[RankOf(slice)].push_back(&slice);
    }
  }
  for (const Candidates& candidates : byRank) {
    if (!candidates.empty()) {
      return BetterOfTwo(candidates);
    }
  }
  return std::nullopt;
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
