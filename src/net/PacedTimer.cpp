#include "net/PacedTimer.h"

#include <event2/event.h>

#include <algorithm>
#include <stdexcept>

namespace lacewing::net {

PacedTimer::PacedTimer(Loop& aLoop,
                       Duration aPeriod,
                       std::function<void()> aFunction)
  : m_period(aPeriod)
  , m_function(std::move(aFunction))
  , m_event(event_new(aLoop.Base(), -1, 0, OnEvent, this))
{
  if (m_event == nullptr) {
    throw std::runtime_error("libevent could not create a timer");
  }
}

PacedTimer::~PacedTimer()
{
  event_free(m_event);
}

void
PacedTimer::CallBy(Time aTime)
{
  const Time due = std::max(aTime, m_earliest);
  if (due >= m_due) {
    return;
  }
  m_due = due;
  Start(Loop::Now());
}

void
PacedTimer::Start(Time aNow)
{
  constexpr Duration::rep kMicrosecondsPerSecond = 1'000'000;
  const auto count = m_due <= aNow ? 0 : (m_due - aNow).count();
  timeval delay{};
  delay.tv_sec = count / kMicrosecondsPerSecond;
  delay.tv_usec = count % kMicrosecondsPerSecond;
  event_add(m_event, &delay);
}

void
PacedTimer::OnEvent(int, short, void* aSelf)
{
  static_cast<PacedTimer*>(aSelf)->Run();
}

void
PacedTimer::Run()
{
  const Time now = Loop::Now();
  // libevent measures delays with a coarse clock and may be a few milliseconds
  // early.
  if (now < m_due) {
    Start(now);
    return;
  }
  m_due = Time::max();
  m_earliest = now + m_period;
  m_function();
}

} // namespace lacewing::net
