#include "net/Loop.h"

#include <event2/event.h>

#include <ctime>
#include <stdexcept>

namespace lacewing::net {

namespace {

timeval
ToTimeval(Duration aDuration)
{
  constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
  const auto count = std::max<std::int64_t>(aDuration.count(), 0);
  timeval value{};
  value.tv_sec = count / kMicrosecondsPerSecond;
  value.tv_usec = count % kMicrosecondsPerSecond;
  return value;
}

constexpr int kPriorities = 2;

event_base*
MakeBase()
{
  const std::unique_ptr<event_config, decltype(&event_config_free)> config(
    event_config_new(), &event_config_free);
  if (!config) {
    return nullptr;
  }
  // By default the loop serves all that is ready before it looks again. In a
  // busy process that takes long, and a response of several segments takes as
  // many turns.
  event_config_set_max_dispatch_interval(config.get(),
                                         nullptr,
                                         kCallbacksBetweenPolls,
                                         static_cast<int>(Priority::Normal));
  event_base* base = event_base_new_with_config(config.get());
  if (base != nullptr) {
    event_base_priority_init(base, kPriorities);
  }
  return base;
}

} // namespace

struct Loop::OneShot
{
  Loop* m_loop = nullptr;
  std::function<void()> m_function;
  event* m_source = nullptr;

  ~OneShot()
  {
    if (m_source != nullptr) {
      event_free(m_source);
    }
  }

  static void Run(evutil_socket_t, short, void* aArgument)
  {
    auto* shot = static_cast<OneShot*>(aArgument);
    const auto owned = shot->m_loop->m_oneShots.extract(shot);
    shot->m_function();
  }
};

struct Loop::Repeating
{
  std::function<void()> m_function;
  event* m_source = nullptr;

  static void Run(evutil_socket_t, short, void* aArgument)
  {
    static_cast<Repeating*>(aArgument)->m_function();
  }

  ~Repeating()
  {
    if (m_source != nullptr) {
      event_free(m_source);
    }
  }
};

Loop::Loop()
  : m_base(MakeBase())
{
  if (m_base == nullptr) {
    throw std::runtime_error("libevent could not create an event base");
  }
}

Loop::~Loop()
{
  // What the functions hold may own connections, which need the base.
  m_oneShots.clear();
  m_repeating.clear();
  event_base_free(m_base);
}

Time
Loop::Now()
{
  // CLOCK_MONOTONIC stops while the VM is suspended, and the leases of other
  // processes do not.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Time(std::chrono::duration_cast<Duration>(
    seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

void
Loop::Run()
{
  event_base_dispatch(m_base);
}

void
Loop::Poll()
{
  event_base_loop(m_base, EVLOOP_NONBLOCK);
}

void
Loop::Stop()
{
  event_base_loopbreak(m_base);
}

void
Loop::After(Duration aDelay,
            std::function<void()> aFunction,
            Priority aPriority)
{
  const timeval delay = ToTimeval(aDelay);
  auto shot = std::make_unique<OneShot>();
  OneShot* const key = shot.get();
  shot->m_loop = this;
  shot->m_function = std::move(aFunction);
  shot->m_source = event_new(m_base, -1, 0, OneShot::Run, key);
  event_priority_set(shot->m_source, static_cast<int>(aPriority));
  event_add(shot->m_source, &delay);
  m_oneShots.emplace(key, std::move(shot));
}

void
Loop::Every(Duration aPeriod, std::function<void()> aFunction)
{
  auto repeating = std::make_unique<Repeating>();
  repeating->m_function = std::move(aFunction);
  repeating->m_source =
    event_new(m_base, -1, EV_PERSIST, Repeating::Run, repeating.get());
  const timeval period = ToTimeval(aPeriod);
  event_add(repeating->m_source, &period);
  m_repeating.push_back(std::move(repeating));
}

void
Loop::OnSignal(int aSignal, std::function<void()> aFunction)
{
  auto repeating = std::make_unique<Repeating>();
  repeating->m_function = std::move(aFunction);
  repeating->m_source =
    evsignal_new(m_base, aSignal, Repeating::Run, repeating.get());
  event_add(repeating->m_source, nullptr);
  m_repeating.push_back(std::move(repeating));
}

} // namespace lacewing::net
