/// Settings of an edge daemon, which serves a pool on the users' platform.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"
#include "net/Address.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::edge {

struct EdgeSettings
{
  VmId m_vm;
  DomainId m_domain;
  RegionId m_region;
  net::Address m_callers;   ///< listen address for callers
  net::Address m_readiness; ///< for the load balancer's probe
  net::Address m_peers;     ///< for other edge daemons and metrics
  /// On which it takes orders of the leader for workers; none if it can't be a
  /// relay.
  std::optional<net::Address> m_relay;
  std::vector<net::Address> m_seeds; ///< some daemons; may be outdated
  net::Address m_store;
  std::optional<net::Address> m_policyService;
  double m_cores = 1;           ///< CPU share of this VM, in cores
  double m_linkMbps = 1000;     ///< bandwidth of this VM's link, in Mbit/s
  Duration m_stopGrace{};       ///< from the stop signal to the kill
  Duration m_leaseMax{};        ///< longest lease that workers accept
  Duration m_statusRetention{}; ///< how long ended jobs stay visible
  /// No task of a job starts later than this after its cancellation was
  /// confirmed.
  Duration m_cancelBound = seconds(3);
  /// Memory that this process may use; 0 if it is not limited.
  std::size_t m_memoryLimitBytes = 0;
  /// File descriptors that this process may use; 0 if they are not limited.
  std::size_t m_descriptorLimit = 0;
};

} // namespace lacewing::edge
