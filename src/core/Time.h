/// Time types: a monotonic clock per process, with microsecond resolution.
/// Decision code never reads the clock; it takes the present time as an
/// argument.
#pragma once

#include <chrono>
#include <cstdint>

namespace lacewing {

/// Tag for the monotonic clock of one process. Values of different processes
/// must not be compared.
struct ProcessClock
{
  using duration = std::chrono::microseconds;               // NOLINT
  using rep = duration::rep;                                // NOLINT
  using period = duration::period;                          // NOLINT
  using time_point = std::chrono::time_point<ProcessClock>; // NOLINT
  static constexpr bool is_steady = true;                   // NOLINT
};

using Duration = ProcessClock::duration;
using Time = ProcessClock::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Largest relative difference between the rates of two clocks, as a fraction.
/// The safety of all leases rests on this bound and on nothing else about
/// clocks.
inline constexpr double kDefaultClockRateError = 0.01;

/// A duration multiplied by a factor, rounded down to microseconds.
constexpr Duration
Scale(Duration aDuration, double aFactor)
{
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(aDuration.count()) * aFactor));
}

/// Whole milliseconds in a duration.
constexpr std::int64_t
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace lacewing
