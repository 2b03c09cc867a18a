/// Virtual time for tests: events run in the order of their time, and events of
/// the same time in the order in which they were added.
#pragma once

#include "core/Time.h"

#include <functional>
#include <map>
#include <utility>

namespace lacewing::fakes {

class EventQueue
{
public:
  Time Now() const { return m_now; }

  void At(Time aTime, std::function<void()> aFunction)
  {
    const Time time = aTime < m_now ? m_now : aTime;
    m_events.emplace(std::pair{ time, m_sequence++ }, std::move(aFunction));
  }

  void After(Duration aDelay, std::function<void()> aFunction)
  {
    At(m_now + aDelay, std::move(aFunction));
  }

  /// Runs all events up to and including the time, then sets the time.
  void RunUntil(Time aTime)
  {
    while (!m_events.empty() && m_events.begin()->first.first <= aTime) {
      auto next = m_events.extract(m_events.begin());
      m_now = next.key().first;
      next.mapped()();
    }
    m_now = aTime;
  }

  void RunFor(Duration aDuration) { RunUntil(m_now + aDuration); }

private:
  Time m_now{};
  std::uint64_t m_sequence = 0;
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> m_events;
};

} // namespace lacewing::fakes
