#include "daemon/LoopLagProbe.h"

#include <algorithm>

namespace lacewing::daemon {

namespace {

/// Twenty values a second show a lag of 50 ms, at which somebody should look,
/// and cost next to nothing.
constexpr Duration kProbePeriod = milliseconds(50);

} // namespace

LoopLagProbe::LoopLagProbe(net::Loop& aLoop, observe::Metrics& aMetrics)
  : m_loop(aLoop)
  , m_metrics(aMetrics)
{
  Arm();
}

void
LoopLagProbe::Arm()
{
  const Time due = net::Loop::Now() + kProbePeriod;
  m_loop.After(kProbePeriod, [this, due] {
    // libevent counts from the start of the callbacks that are under way, so a
    // timer may run slightly before the time computed here.
    const Duration lag = std::max(net::Loop::Now() - due, Duration::zero());
    m_metrics.Observe(observe::Metric::LoopLagSeconds,
                      std::chrono::duration<double>(lag).count());
    Arm();
  });
}

} // namespace lacewing::daemon
