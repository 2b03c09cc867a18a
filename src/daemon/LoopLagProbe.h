/// Measures the delay of the event loop's timers: how long after its due time a
/// timer runs because other callbacks hold the thread.
#pragma once

#include "net/Loop.h"
#include "observe/Metrics.h"

namespace lacewing::daemon {

class LoopLagProbe
{
public:
  /// Starts measuring. The probe must live as long as the loop runs.
  LoopLagProbe(net::Loop& aLoop, observe::Metrics& aMetrics);

private:
  void Arm();

  net::Loop& m_loop;
  observe::Metrics& m_metrics;
};

} // namespace lacewing::daemon
