#include "pool/ProcessorSpeed.h"

#include <algorithm>

namespace lacewing::pool {

namespace {

constexpr Duration kPeriod = milliseconds(500);
constexpr std::size_t kFewestTimes = 5;
/// Shorter times are mostly the clock's resolution.
constexpr Duration kLeastTaken = microseconds(5);

} // namespace

void
ProcessorSpeed::OnProbe(Time aNow, Duration aTaken)
{
  if (m_periodBegin == Time::min()) {
    m_periodBegin = aNow;
  }
  m_times.push_back(std::max(aTaken, kLeastTaken));
  if (aNow - m_periodBegin < kPeriod || m_times.size() < kFewestTimes) {
    return;
  }
  m_periodBegin = aNow;
  const auto middle =
    m_times.begin() + static_cast<std::ptrdiff_t>(m_times.size() / 2);
  std::ranges::nth_element(m_times, middle);
  m_leastMedian = std::min(m_leastMedian, *middle);
  m_slowdown = std::chrono::duration<double>(*middle) / m_leastMedian;
  m_times.clear();
}

} // namespace lacewing::pool
