/// Settings of an entry daemon that serves a pool on the users' platform.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"
#include "net/Address.h"

#include <optional>
#include <string>
#include <vector>

namespace lacewing::edge {

struct EdgeSettings
{
  VmId m_vm;
  DomainId m_domain;
  RegionId m_region;
  net::Address m_callers;   ///< listens for callers
  net::Address m_readiness; ///< listens for the balancer's probe
  net::Address m_peers;     ///< listens for other entry daemons and metrics
  std::vector<net::Address> m_seeds; ///< of some daemons; may be out of date
  net::Address m_store;
  std::optional<net::Address> m_policyService;
  double m_cores = 1;           ///< processor share of this VM, in cores
  Duration m_stopGrace{};       ///< from the signal to stop until the kill
  Duration m_leaseMax{};        ///< longest lease that workers take
  Duration m_statusRetention{}; ///< for which ended jobs are shown
};

} // namespace lacewing::edge
