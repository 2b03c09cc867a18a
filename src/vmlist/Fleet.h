/// The fleet as seen through the VM list, divided into slices.
#pragma once

#include "vmlist/VmList.h"

#include <map>
#include <optional>
#include <vector>

namespace lacewing::vmlist {

/// Number of parts into which the endpoints of a service in one failure domain
/// are divided.
inline constexpr int kDefaultServiceParts = 4;
/// Number of parts into which the workers of a failure domain are divided. One
/// part for each 512 workers keeps a decision short; see the design page.
inline constexpr int kDefaultWorkerParts = 1;

enum class SliceKind : std::uint8_t
{
  Workers,
  Service,
};

struct Slice
{
  SliceId m_id;
  SliceKind m_kind = SliceKind::Workers;
  RegionId m_region;
  DomainId m_domain;
  ServiceId m_service; ///< of a service slice
  std::vector<Vm> m_vms;

  /// Sum of the capacities of the slice's workers.
  Resources Capacity() const;
};

struct FleetOptions
{
  int m_serviceParts = kDefaultServiceParts;
  int m_workerParts = kDefaultWorkerParts;
};

/// Divides the VMs into slices. A slice's name and members depend only on the
/// list, so that all processes with the same list see the same slices.
std::map<SliceId, Slice>
DivideIntoSlices(const std::vector<Vm>& aVms, const FleetOptions& aOptions);

} // namespace lacewing::vmlist
