/// Which slices this member holds, which it should claim and which it should
/// release.
#pragma once

#include "ownership/MembershipView.h"

#include <optional>

namespace lacewing::ownership {

/// A slice of the fleet, as formed from the VM list and the settings.
struct SliceInfo
{
  SliceId m_slice;
  RegionId m_region;
  std::set<VmId> m_workers; ///< empty for a service slice
};

struct HeldSlice
{
  Epoch m_epoch = 0;
  RowVersion m_version = 0; ///< of the slice's row, fixed while it is held
  /// Set before the release is sent: the slice is never acted for again under
  /// this epoch.
  bool m_releasing = false;
  bool m_releaseInFlight = false;
  std::map<std::string, std::int64_t> m_inheritedBusy;
  bool m_planned = false; ///< `m_inheritedBusy` is what is still taken
};

/// A row of a slice to be written on condition of its version.
struct SliceWrite
{
  SliceId m_slice;
  RowVersion m_version = 0;
  SliceRow m_row;
  VmId m_previous; ///< the owner that loses the slice; empty if there is none
};

struct SliceChanges
{
  std::vector<SliceId> m_gained;
  std::vector<SliceId> m_lost;
};

class SliceOwnership
{
public:
  SliceOwnership(OwnershipOptions aOptions, VmId aSelf, RegionId aRegion);

  /// `aSlices` is the present division of the fleet, of all regions.
  void SetSlices(std::vector<SliceInfo> aSlices);
  /// Compares the held slices with the rows read.
  SliceChanges OnView(const MembershipView& aView, Incarnation aOwn);
  /// Forgets all slices; returns those that were held.
  std::vector<SliceId> DropAll();

  /// Claims that are due. `aActive` are the active members of the region, with
  /// this one; `aMayTakeOver` decides whether a slice may be taken from a
  /// former owner.
  template<typename MayTakeOver>
  std::vector<SliceWrite> Claims(const MembershipView& aView,
                                 Incarnation aOwn,
                                 const std::vector<VmId>& aActive,
                                 const MayTakeOver& aMayTakeOver) const
  {
    std::vector<SliceWrite> claims;
    for (const auto& [slice, info] : m_slices) {
      if (claims.size() == m_options.m_claimsPerWrite) {
        break;
      }
      const auto claim = Claim(aView, aOwn, aActive, slice, info);
      if (claim && (claim->m_previous.empty() || claim->m_previous == m_self ||
                    aMayTakeOver(claim->m_previous))) {
        claims.push_back(*claim);
      }
    }
    return claims;
  }
  /// Held slices whose owner should be another active member.
  std::vector<SliceId> Misplaced(const std::vector<VmId>& aActive) const;
  /// The owner that the hash chooses; empty if there is no active member.
  VmId Chosen(const SliceId& aSlice, const std::vector<VmId>& aActive) const;

  /// Starts or repeats a release. Nothing while its write is in flight.
  std::optional<SliceWrite> Release(const SliceId& aSlice);
  void OnReleaseAnswered(const SliceId& aSlice);
  /// Busy slots by endpoint, written into the row on release.
  void SetBusy(const SliceId& aSlice,
               std::map<std::string, std::int64_t> aBusy);

  const std::map<SliceId, HeldSlice>& Held() const { return m_held; }
  const SliceInfo* Info(const SliceId& aSlice) const;
  const std::map<SliceId, SliceInfo>& Slices() const { return m_slices; }

private:
  std::optional<SliceWrite> Claim(const MembershipView& aView,
                                  Incarnation aOwn,
                                  const std::vector<VmId>& aActive,
                                  const SliceId& aSlice,
                                  const SliceInfo& aInfo) const;

  OwnershipOptions m_options;
  VmId m_self;
  RegionId m_region;
  std::map<SliceId, SliceInfo> m_slices;
  std::map<SliceId, HeldSlice> m_held;
  std::map<SliceId, std::map<std::string, std::int64_t>> m_busy;
};

} // namespace lacewing::ownership
