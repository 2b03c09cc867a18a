#include "ownership/RendezvousHash.h"

#include <xxhash.h>

namespace lacewing::ownership {

std::uint64_t
RendezvousWeight(const SliceId& aSlice, const VmId& aVm)
{
  const std::string& slice = aSlice.Value();
  const std::string& vm = aVm.Value();
  return XXH64(slice.data(), slice.size(), XXH64(vm.data(), vm.size(), 0));
}

VmId
ChooseOwner(const SliceId& aSlice, const std::vector<VmId>& aVms)
{
  const VmId* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const VmId& vm : aVms) {
    const std::uint64_t weight = RendezvousWeight(aSlice, vm);
    if (best == nullptr || weight > bestWeight ||
        (weight == bestWeight && vm < *best)) {
      best = &vm;
      bestWeight = weight;
    }
  }
  return best == nullptr ? VmId() : *best;
}

} // namespace lacewing::ownership
