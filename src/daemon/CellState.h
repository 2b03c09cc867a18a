/// What this process knows about the cell: slices, their owners, members and
/// loads.
#pragma once

#include "daemon/LoadView.h"
#include "daemon/SettingsService.h"
#include "vmlist/Fleet.h"

namespace lacewing::daemon {

/// References to the parts that know; outlived by them.
struct CellState
{
  Runtime& m_runtime;
  Membership& m_membership;
  SettingsService& m_settings;
  LoadView& m_loads;
  std::map<SliceId, vmlist::Slice>& m_slices;

  /// The slice's owner with its addresses, if one is known.
  std::optional<MemberInfo> OwnerOf(const SliceId& aSlice) const
  {
    const VmId owner = m_membership.Machine().OwnerOf(aSlice);
    return owner.empty() ? std::nullopt : m_membership.Find(owner);
  }
};

} // namespace lacewing::daemon
