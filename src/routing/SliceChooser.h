/// Choice of the service slice at the front: owners that answer first, then the
/// own region, then the less loaded of two slices chosen at random.
#pragma once

#include "core/Ids.h"

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace lacewing::routing {

/// What the front knows of a slice from the owner's heartbeats.
struct SliceLoad
{
  SliceId m_slice;
  VmId m_owner;
  RegionId m_region;
  double m_load = 0.0;     ///< queued and running requests over slots
  bool m_reachable = true; ///< has an owner
  bool m_suspect = false;  ///< calls to the owner get no answer at present
};

class SliceChooser
{
public:
  /// `aPreferOwnRegion` is false only in the measurement without preference.
  SliceChooser(RegionId aOwnRegion,
               std::uint64_t aSeed,
               bool aPreferOwnRegion = true);

  /// A reachable slice that was not tried yet; one with a suspect owner only if
  /// there is no other, and another region's only if the own region has none.
  /// Nothing when no slice is left.
  std::optional<SliceLoad> Choose(const std::vector<SliceLoad>& aSlices,
                                  const std::set<SliceId>& aTried);

  /// Counts the bytes of a request or an answer to or from the slice's region.
  void CountBytes(const RegionId& aSliceRegion, std::uint64_t aBytes);
  /// Bytes that crossed the link between regions.
  std::uint64_t CrossRegionBytes() const { return m_crossRegionBytes; }

private:
  using Candidates = std::vector<const SliceLoad*>;

  std::size_t RankOf(const SliceLoad& aSlice) const;

  const SliceLoad& BetterOfTwo(const Candidates& aCandidates);

  RegionId m_ownRegion;
  std::mt19937_64 m_random;
  bool m_preferOwnRegion;
  std::uint64_t m_crossRegionBytes = 0;
};

} // namespace lacewing::routing
