/// Seeded fault schedules for `RoutingWorld`, and how many of them a run does.
#pragma once

#include "harness/RoutingWorld.h"

#include <cstdlib>
#include <sstream>

namespace lacewing::harness {

/// LACEWING_ROUTING_SCHEDULES sets the number of seeded schedules. Under the
/// sanitizers, which slow a schedule down by more than ten, the default is a
/// tenth.
inline int
ScheduleCount()
{
  if (const char* text = std::getenv("LACEWING_ROUTING_SCHEDULES")) {
    return std::max(1, static_cast<int>(std::strtol(text, nullptr, 10)));
  }
#ifdef __SANITIZE_ADDRESS__
  return 1'000;
#else
  return 10'000;
#endif
}

/// One to three faults at random steps.
inline std::vector<FaultPoint>
RandomFaults(std::uint64_t aSeed)
{
  constexpr std::uint64_t kMaxNth = 40;
  std::mt19937_64 random(aSeed);
  const auto& steps = EnumNames<Step>::kTable;
  std::vector<FaultPoint> faults(1 + random() % 3);
  for (FaultPoint& point : faults) {
    point.m_step = steps[random() % steps.size()].first;
    point.m_fault = static_cast<Fault>(random() % kFaults);
    point.m_nth = static_cast<int>(1 + random() % kMaxNth);
  }
  return faults;
}

/// The options as text, for the message of a failed test.
inline std::string
ToText(const WorldOptions& aOptions)
{
  std::ostringstream text;
  text << "seed " << aOptions.m_seed;
  for (const FaultPoint& point : aOptions.m_faults) {
    text << ", fault " << static_cast<int>(point.m_fault) << " at "
         << NameOf(point.m_step) << " number " << point.m_nth;
  }
  return text.str();
}

inline std::string
ToText(const Violations& aViolations)
{
  std::string text;
  for (const std::string& violation : aViolations) {
    text += violation + "\n";
  }
  return text;
}

} // namespace lacewing::harness
