/// Choice of one of several VMs for a name, such that a change of the set moves
/// only the names of the VM that joined or left.
#pragma once

#include "core/Ids.h"

#include <cstdint>
#include <vector>

namespace lacewing::ownership {

std::uint64_t
RendezvousWeight(const SliceId& aSlice, const VmId& aVm);
/// The VM with the largest weight; the empty id for an empty list.
VmId
ChooseOwner(const SliceId& aSlice, const std::vector<VmId>& aVms);

} // namespace lacewing::ownership
