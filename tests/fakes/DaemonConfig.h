/// The bootstrap settings of a daemon's parts in a test: every peer's address
/// is on loopback and nothing listens there.
#pragma once

#include "fakes/FreeAddress.h"
#include "settings/Bootstrap.h"

namespace lacewing::fakes {

inline settings::Bootstrap
DaemonConfig()
{
  settings::Bootstrap config;
  config.m_vm = VmId("vm-1");
  config.m_region = RegionId("lombardy");
  config.m_domain = DomainId("a");
  config.m_cluster = "test";
  config.m_callers = FreeAddress();
  config.m_peers = FreeAddress();
  config.m_advertised = { config.m_callers, config.m_peers, config.m_peers };
  config.m_table = FreeAddress();
  config.m_objects = FreeAddress();
  config.m_vmList = FreeAddress();
  config.m_logLevel = settings::LogLevel::Error;
  return config;
}

} // namespace lacewing::fakes
