/// How much slower than usual the processor of this VM is, from the times that
/// a fixed calculation takes. A slow processor is to be told from one that has
/// its usual speed and too much work.
///
/// Does no I/O and reads no clock.
#pragma once

#include "core/Time.h"

#include <vector>

namespace lacewing::pool {

class ProcessorSpeed
{
public:
  /// The calculation has taken that long.
  void OnProbe(Time aNow, Duration aTaken);
  /// The median time of the last period as a multiple of the least median ever;
  /// 1 before the first period ends. Single times do not change it much: a
  /// probe may be interrupted, and a clock may stand still.
  double Slowdown() const { return m_slowdown; }

private:
  std::vector<Duration> m_times; ///< of this period
  Time m_periodBegin = Time::min();
  Duration m_leastMedian = Duration::max();
  double m_slowdown = 1;
};

} // namespace lacewing::pool
