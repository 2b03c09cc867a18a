#include "daemon/Runtime.h"

namespace lacewing::daemon {

namespace {

/// Least distance between two ticks of the owners; inputs in between are
/// decided together.
constexpr Duration kOwnerPeriod = milliseconds(5);
constexpr std::size_t kTimelineBytes = 4 * 1024 * 1024;

observe::LogOptions
LogOptionsOf(const settings::Bootstrap& aBootstrap)
{
  observe::LogOptions options;
  options.m_format = aBootstrap.m_logFormat;
  options.m_level = aBootstrap.m_logLevel;
  options.m_process = aBootstrap.m_vm.Value();
  return options;
}

std::uint64_t
RandomSeed()
{
  std::random_device device;
  constexpr unsigned kHalf = 32;
  return (static_cast<std::uint64_t>(device()) << kHalf) | device();
}

} // namespace

Runtime::Runtime(net::Loop& aLoop, settings::Bootstrap aBootstrap)
  : m_loop(aLoop)
  , m_bootstrap(std::move(aBootstrap))
  , m_processIncarnation(static_cast<Incarnation>(WallMicros()))
  , m_log(LogOptionsOf(m_bootstrap))
  , m_timeline(m_bootstrap.m_vm.Value(), kTimelineBytes)
  , m_http(aLoop)
  , m_table(aLoop, m_http, m_bootstrap.m_table, m_metrics)
  , m_vmList(m_http, m_bootstrap.m_vmList)
  , m_workers(m_http)
  , m_endpoints(m_http)
  , m_random(RandomSeed())
  , m_ownerTimer(aLoop, kOwnerPeriod, [this] { m_ownerTick(); })
{
}

void
Runtime::Record(observe::Event aEvent)
{
  m_timeline.Add(WallMicros(), std::move(aEvent));
}

std::int64_t
WallMicros()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace lacewing::daemon
