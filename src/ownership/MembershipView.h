/// The member and slice rows as last read, with the time at which each version
/// of a member row was first received, and the VMs that are gone.
#pragma once

#include "ownership/MemberRow.h"
#include "ownership/OwnershipOptions.h"
#include "ownership/SliceRow.h"
#include "table/TableTypes.h"

#include <map>
#include <set>
#include <vector>

namespace lacewing::ownership {

struct SeenMember
{
  MemberRow m_row;
  RowVersion m_version = 0;
  Time m_firstReceived{};
};

struct SeenSlice
{
  SliceRow m_row;
  RowVersion m_version = 0;
};

class MembershipView
{
public:
  explicit MembershipView(OwnershipOptions aOptions);

  /// Takes newer versions of rows and ignores older ones, which a stale read
  /// returns. Other keys are ignored.
  void OnRows(Time aNow, const table::Rows& aRows);
  /// Polls of the VM list without a VM after which it is gone. Members may
  /// differ in it, since the list never reports a live VM as gone.
  void SetGonePolls(int aPolls) { m_options.m_gonePolls = aPolls; }
  /// The entry VMs in one answer of the VM list.
  void OnVmList(const std::set<VmId>& aEntryVms);

  /// True if the VM was missing from the list for the number of polls that
  /// means "gone".
  bool IsGone(const VmId& aVm) const;
  /// True if the member's row has been seen unchanged for longer than its lease
  /// can last. `aSince` is when this process began to count.
  bool IsLapsed(Time aNow, const VmId& aVm, Time aSince) const;
  const std::map<VmId, SeenMember>& Members() const { return m_members; }
  const SeenMember* Member(const VmId& aVm) const;
  const SeenSlice* Slice(const SliceId& aSlice) const;
  const std::map<SliceId, SeenSlice>& Slices() const { return m_slices; }
  /// Active members of a region, in the order of their ids.
  std::vector<VmId> ActiveMembers(const RegionId& aRegion) const;
  /// True if the process can no longer act: deposed or replaced.
  bool IsEnded(const VmId& aVm, Incarnation aIncarnation) const;
  /// Rows that could not be decoded; a member does not join while there are
  /// any.
  const std::set<std::string>& Malformed() const { return m_malformed; }

private:
  void OnMember(Time aNow, const std::string& aKey, const table::Row& aRow);
  void OnSlice(const std::string& aKey, const table::Row& aRow);

  OwnershipOptions m_options;
  std::map<VmId, SeenMember> m_members;
  std::map<SliceId, SeenSlice> m_slices;
  std::map<VmId, int> m_missingPolls;
  std::set<std::string> m_malformed;
};

} // namespace lacewing::ownership
