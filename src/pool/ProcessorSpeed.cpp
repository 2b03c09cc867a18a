#include "pool/ProcessorSpeed.h"

#include <algorithm>
#include <utility>

namespace lacewing::pool {

namespace {

constexpr Duration kPeriod = milliseconds(500);
/// Shorter times are mostly the clock's resolution.
constexpr Duration kLeastTaken = microseconds(5);

} // namespace

void
ProcessorSpeed::OnProbe(Time aNow, Duration aTaken)
{
  if (m_periodBegin == Time::min()) {
    m_periodBegin = aNow;
  }
  const Duration taken = std::max(aTaken, kLeastTaken);
  m_leastOfPeriod = std::min(m_leastOfPeriod, taken);
  m_leastEver = std::min(m_leastEver, taken);
  if (aNow - m_periodBegin < kPeriod) {
    return;
  }
  m_periodBegin = aNow;
  const Duration least = std::exchange(m_leastOfPeriod, Duration::max());
  m_slowdown = std::chrono::duration<double>(least) / m_leastEver;
}

} // namespace lacewing::pool
