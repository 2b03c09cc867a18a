/// A hybrid logical clock: stamps that respect cause and effect between
/// processes and stay close to the time of day.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace lacewing {

/// Microseconds of the time of day, and a counter for equal microseconds.
struct HybridStamp
{
  std::int64_t m_micros = 0;
  std::uint32_t m_count = 0;

  auto operator<=>(const HybridStamp&) const = default;
};

/// The time of day is an argument; the clock never reads it.
class HybridClock
{
public:
  /// A stamp for an event of this process, later than all before.
  HybridStamp Next(std::int64_t aWallMicros)
  {
    if (aWallMicros > m_last.m_micros) {
      m_last = { aWallMicros, 0 };
    } else {
      Increment();
    }
    return m_last;
  }

  /// A stamp for the arrival of a message, later than the sender's stamp. A
  /// stamp that is too far ahead doesn't move the clock, since one wrong time
  /// of day would otherwise spread to all processes.
  HybridStamp Receive(const HybridStamp& aSender, std::int64_t aWallMicros)
  {
    if (aSender.m_micros <= aWallMicros + kMaxAheadMicros) {
      m_last = std::max(m_last, aSender);
    } else {
      ++m_ignored;
    }
    return Next(aWallMicros);
  }

  /// Stamps of senders that were too far ahead.
  std::uint64_t Ignored() const { return m_ignored; }

private:
  static constexpr std::int64_t kMaxAheadMicros = 60'000'000;

  void Increment()
  {
    ++m_last.m_count;
    if (m_last.m_count == 0) {
      ++m_last.m_micros;
    }
  }

  HybridStamp m_last;
  std::uint64_t m_ignored = 0;
};

} // namespace lacewing
