/// What all parts of the daemon use: loop, clients of the peers, metrics, log
/// and time line.
#pragma once

#include "daemon/TableGateway.h"
#include "endpoint/EndpointClient.h"
#include "observe/Log.h"
#include "observe/Timeline.h"
#include "settings/Bootstrap.h"
#include "vmlist/VmListClient.h"
#include "worker/WorkerClient.h"

#include <random>

namespace lacewing::daemon {

class Runtime
{
public:
  Runtime(net::Loop& aLoop, settings::Bootstrap aBootstrap);

  net::Loop& Loop() { return m_loop; }
  const settings::Bootstrap& Config() const { return m_bootstrap; }
  const VmId& Self() const { return m_bootstrap.m_vm; }
  /// Differs between the processes of one VM: the time of their start.
  Incarnation ProcessIncarnation() const { return m_processIncarnation; }
  TableGateway& Table() { return m_table; }
  vmlist::VmListClient& VmList() { return m_vmList; }
  worker::WorkerClient& Workers() { return m_workers; }
  endpoint::EndpointClient& Endpoints() { return m_endpoints; }
  observe::Metrics& Metrics() { return m_metrics; }
  observe::Timeline& Timeline() { return m_timeline; }
  observe::Log& Log() { return m_log; }
  std::uint64_t Random() { return m_random(); }
  /// Ticks the owners of slices and the front. Each of them arms it after its
  /// inputs for the time when it has something to decide.
  net::PacedTimer& OwnerTimer() { return m_ownerTimer; }
  /// The function that the timer of the owners calls.
  void SetOwnerTick(std::function<void()> aTick)
  {
    m_ownerTick = std::move(aTick);
  }

  /// Adds an event to the time line, stamped now.
  void Record(observe::Event aEvent);

private:
  net::Loop& m_loop;
  settings::Bootstrap m_bootstrap;
  Incarnation m_processIncarnation;
  observe::Metrics m_metrics;
  observe::Log m_log;
  observe::Timeline m_timeline;
  net::HttpClient m_http;
  TableGateway m_table;
  vmlist::VmListClient m_vmList;
  worker::WorkerClient m_workers;
  endpoint::EndpointClient m_endpoints;
  std::mt19937_64 m_random;
  std::function<void()> m_ownerTick = [] {};
  net::PacedTimer m_ownerTimer;
};

/// Microseconds of the time of day.
std::int64_t
WallMicros();

} // namespace lacewing::daemon
