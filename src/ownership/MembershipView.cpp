#include "ownership/MembershipView.h"

#include <algorithm>

namespace lacewing::ownership {

MembershipView::MembershipView(OwnershipOptions aOptions)
  : m_options(aOptions)
{
}

void
MembershipView::OnRows(Time aNow, const table::Rows& aRows)
{
  for (const auto& [key, row] : aRows) {
    if (key.starts_with(kMemberPrefix)) {
      OnMember(aNow, key, row);
    } else if (key.starts_with(kSlicePrefix)) {
      OnSlice(key, row);
    }
  }
}

void
MembershipView::OnVmList(const std::set<VmId>& aEntryVms)
{
  for (const auto& [vm, seen] : m_members) {
    if (aEntryVms.contains(vm)) {
      m_missingPolls.erase(vm);
    } else {
      ++m_missingPolls[vm];
    }
  }
}

bool
MembershipView::IsGone(const VmId& aVm) const
{
  const auto found = m_missingPolls.find(aVm);
  return found != m_missingPolls.end() &&
         found->second >= m_options.m_gonePolls;
}

bool
MembershipView::IsLapsed(Time aNow, const VmId& aVm, Time aSince) const
{
  const SeenMember* seen = Member(aVm);
  if (seen == nullptr) {
    return false;
  }
  const Time start = std::max(seen->m_firstReceived, aSince);
  return aNow - start >= m_options.DeposeAfter();
}

const SeenMember*
MembershipView::Member(const VmId& aVm) const
{
  const auto found = m_members.find(aVm);
  return found == m_members.end() ? nullptr : &found->second;
}

const SeenSlice*
MembershipView::Slice(const SliceId& aSlice) const
{
  const auto found = m_slices.find(aSlice);
  return found == m_slices.end() ? nullptr : &found->second;
}

std::vector<VmId>
MembershipView::ActiveMembers(const RegionId& aRegion) const
{
  std::vector<VmId> active;
  for (const auto& [vm, seen] : m_members) {
    if (seen.m_row.m_region == aRegion &&
        seen.m_row.m_state == MemberState::Active) {
      active.push_back(vm);
    }
  }
  return active;
}

bool
MembershipView::IsEnded(const VmId& aVm, Incarnation aIncarnation) const
{
  const SeenMember* seen = Member(aVm);
  if (seen == nullptr || seen->m_row.m_incarnation < aIncarnation) {
    return false;
  }
  return seen->m_row.m_incarnation > aIncarnation ||
         seen->m_row.m_state == MemberState::Deposed;
}

void
MembershipView::OnMember(Time aNow,
                         const std::string& aKey,
                         const table::Row& aRow)
{
  const VmId vm(aKey.substr(std::string(kMemberPrefix).size()));
  const auto known = m_members.find(vm);
  if (known != m_members.end() && aRow.m_version <= known->second.m_version) {
    return;
  }
  const auto row = DecodeMember(aRow.m_value);
  if (!row) {
    m_malformed.insert(aKey);
    return;
  }
  m_malformed.erase(aKey);
  m_members[vm] = { *row, aRow.m_version, aNow };
}

void
MembershipView::OnSlice(const std::string& aKey, const table::Row& aRow)
{
  const SliceId slice(aKey.substr(std::string(kSlicePrefix).size()));
  const auto known = m_slices.find(slice);
  if (known != m_slices.end() && aRow.m_version <= known->second.m_version) {
    return;
  }
  const auto row = DecodeSlice(aRow.m_value);
  if (!row) {
    m_malformed.insert(aKey);
    return;
  }
  m_malformed.erase(aKey);
  m_slices[slice] = { *row, aRow.m_version };
}

} // namespace lacewing::ownership
