#include "ownership/SliceOwnership.h"

#include "ownership/RendezvousHash.h"

namespace lacewing::ownership {

SliceOwnership::SliceOwnership(OwnershipOptions aOptions,
                               VmId aSelf,
                               RegionId aRegion)
  : m_options(aOptions)
  , m_self(std::move(aSelf))
  , m_region(std::move(aRegion))
{
}

void
SliceOwnership::SetSlices(std::vector<SliceInfo> aSlices)
{
  m_slices.clear();
  for (SliceInfo& info : aSlices) {
    const SliceId slice = info.m_slice;
    m_slices[slice] = std::move(info);
  }
}

SliceChanges
SliceOwnership::OnView(const MembershipView& aView, Incarnation aOwn)
{
  SliceChanges changes;
  for (const auto& [slice, seen] : aView.Slices()) {
    const auto held = m_held.find(slice);
    if (held != m_held.end() && held->second.m_version == seen.m_version) {
      continue;
    }
    if (held != m_held.end()) {
      changes.m_lost.push_back(slice);
      m_held.erase(held);
      m_busy.erase(slice);
    }
    if (seen.m_row.m_owner == m_self && seen.m_row.m_ownerIncarnation == aOwn) {
      HeldSlice gained;
      gained.m_epoch = seen.m_row.m_epoch;
      gained.m_version = seen.m_version;
      gained.m_inheritedBusy = seen.m_row.m_busy;
      gained.m_planned = seen.m_row.m_planned;
      m_held[slice] = gained;
      changes.m_gained.push_back(slice);
    }
  }
  return changes;
}

std::vector<SliceId>
SliceOwnership::DropAll()
{
  std::vector<SliceId> dropped;
  for (const auto& [slice, held] : m_held) {
    dropped.push_back(slice);
  }
  m_held.clear();
  m_busy.clear();
  return dropped;
}

std::vector<SliceId>
SliceOwnership::Misplaced(const std::vector<VmId>& aActive) const
{
  std::vector<SliceId> misplaced;
  for (const auto& [slice, held] : m_held) {
    if (held.m_releasing || Chosen(slice, aActive) != m_self) {
      misplaced.push_back(slice);
    }
  }
  return misplaced;
}

VmId
SliceOwnership::Chosen(const SliceId& aSlice,
                       const std::vector<VmId>& aActive) const
{
  return ChooseOwner(aSlice, aActive);
}

std::optional<SliceWrite>
SliceOwnership::Release(const SliceId& aSlice)
{
  const auto found = m_held.find(aSlice);
  if (found == m_held.end() || found->second.m_releaseInFlight) {
    return std::nullopt;
  }
  HeldSlice& held = found->second;
  held.m_releasing = true;
  held.m_releaseInFlight = true;
  SliceWrite write;
  write.m_slice = aSlice;
  write.m_version = held.m_version;
  write.m_row.m_epoch = held.m_epoch;
  write.m_row.m_busy = m_busy[aSlice];
  return write;
}

void
SliceOwnership::OnReleaseAnswered(const SliceId& aSlice)
{
  const auto found = m_held.find(aSlice);
  if (found != m_held.end()) {
    found->second.m_releaseInFlight = false;
  }
}

void
SliceOwnership::SetBusy(const SliceId& aSlice,
                        std::map<std::string, std::int64_t> aBusy)
{
  m_busy[aSlice] = std::move(aBusy);
}

const SliceInfo*
SliceOwnership::Info(const SliceId& aSlice) const
{
  const auto found = m_slices.find(aSlice);
  return found == m_slices.end() ? nullptr : &found->second;
}

std::optional<SliceWrite>
SliceOwnership::Claim(const MembershipView& aView,
                      Incarnation aOwn,
                      const std::vector<VmId>& aActive,
                      const SliceId& aSlice,
                      const SliceInfo& aInfo) const
{
  if (aInfo.m_region != m_region || m_held.contains(aSlice)) {
    return std::nullopt;
  }
  const SeenSlice* seen = aView.Slice(aSlice);
  SliceWrite write;
  write.m_slice = aSlice;
  if (seen != nullptr) {
    const SliceRow& row = seen->m_row;
    if (!row.m_owner.empty() &&
        !aView.IsEnded(row.m_owner, row.m_ownerIncarnation)) {
      return std::nullopt;
    }
    write.m_version = seen->m_version;
    write.m_previous = row.m_owner;
    write.m_row = row;
  }
  if (Chosen(aSlice, aActive) != m_self) {
    return std::nullopt;
  }
  write.m_row.m_planned = write.m_row.m_owner.empty();
  write.m_row.m_owner = m_self;
  write.m_row.m_ownerIncarnation = aOwn;
  ++write.m_row.m_epoch;
  return write;
}

} // namespace lacewing::ownership
