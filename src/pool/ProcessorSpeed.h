/// How much slower than usual the processor of this VM is, from the times that
/// a fixed calculation takes. A slow processor is to be told from one that has
/// its usual speed and too much work.
///
/// Does no I/O and reads no clock.
#pragma once

#include "core/Time.h"

namespace lacewing::pool {

class ProcessorSpeed
{
public:
  /// The calculation has taken that long.
  void OnProbe(Time aNow, Duration aTaken);
  /// The least time of the last period as a multiple of the least time ever; 1
  /// before the first period ends. Interruptions do not raise it.
  double Slowdown() const { return m_slowdown; }

private:
  Time m_periodBegin = Time::min();
  Duration m_leastOfPeriod = Duration::max();
  Duration m_leastEver = Duration::max();
  double m_slowdown = 1;
};

} // namespace lacewing::pool
