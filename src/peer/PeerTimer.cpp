#include "peer/PeerTimer.h"

#include <event2/event.h>

#include <algorithm>
#include <stdexcept>

namespace lacewing::peer {

PeerTimer::PeerTimer(net::Loop& aLoop, std::function<void()> aFunction)
  : m_function(std::move(aFunction))
  , m_event(event_new(aLoop.Base(), -1, 0, OnEvent, this))
{
  if (m_event == nullptr) {
    throw std::runtime_error("libevent could not create a timer");
  }
}

PeerTimer::~PeerTimer()
{
  event_free(m_event);
}

void
PeerTimer::Start(Duration aDelay)
{
  constexpr Duration::rep kMicrosecondsPerSecond = 1'000'000;
  const auto count = std::max<Duration::rep>(aDelay.count(), 0);
  timeval delay{};
  delay.tv_sec = count / kMicrosecondsPerSecond;
  delay.tv_usec = count % kMicrosecondsPerSecond;
  event_add(m_event, &delay);
}

void
PeerTimer::StartSoon()
{
  event_active(m_event, EV_TIMEOUT, 0);
}

void
PeerTimer::Stop()
{
  event_del(m_event);
}

void
PeerTimer::OnEvent(int, short, void* aSelf)
{
  static_cast<PeerTimer*>(aSelf)->m_function();
}

} // namespace lacewing::peer
