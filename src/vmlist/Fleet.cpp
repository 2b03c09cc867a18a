#include "vmlist/Fleet.h"

#include <xxhash.h>

namespace lacewing::vmlist {

namespace {

std::uint64_t
HashOf(const std::string& aText)
{
  return XXH64(aText.data(), aText.size(), 0);
}

SliceId
WorkerSliceOf(const Vm& aVm, int aParts)
{
  // The number of parts is fixed and is not derived from the number of
  // workers, since a worker must not change its slice when others come or go.
  // A rack is never divided, so that gangs can be placed within one.
  const auto parts = static_cast<std::uint64_t>(std::max(aParts, 1));
  const auto part = HashOf(aVm.m_rack) % parts;
  return SliceId("workers-" + aVm.m_domain.Value() + "-" +
                 std::to_string(part));
}

SliceId
ServiceSliceOf(const Vm& aVm, int aParts)
{
  const auto parts = static_cast<std::uint64_t>(std::max(aParts, 1));
  const auto part = HashOf(aVm.m_vm.Value()) % parts;
  return SliceId("service-" + aVm.m_service.Value() + "-" +
                 aVm.m_domain.Value() + "-" + std::to_string(part));
}

} // namespace

Resources
Slice::Capacity() const
{
  Resources sum;
  for (const Vm& vm : m_vms) {
    sum += vm.m_capacity;
  }
  return sum;
}

std::map<SliceId, Slice>
DivideIntoSlices(const std::vector<Vm>& aVms, const FleetOptions& aOptions)
{
  std::map<SliceId, Slice> slices;
  for (const Vm& vm : aVms) {
    if (vm.m_kind == VmKind::Entry) {
      continue;
    }
    const bool isWorker = vm.m_kind == VmKind::Worker;
    const SliceId id = isWorker ? WorkerSliceOf(vm, aOptions.m_workerParts)
                                : ServiceSliceOf(vm, aOptions.m_serviceParts);
    Slice& slice = slices[id];
    slice.m_id = id;
    slice.m_kind = isWorker ? SliceKind::Workers : SliceKind::Service;
    slice.m_region = vm.m_region;
    slice.m_domain = vm.m_domain;
    slice.m_service = vm.m_service;
    slice.m_vms.push_back(vm);
  }
  return slices;
}

} // namespace lacewing::vmlist
