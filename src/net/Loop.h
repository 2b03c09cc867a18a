/// The event loop of a process: one libevent base on one thread, with timers
/// and signals.
#pragma once

#include "core/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

struct event;
struct event_base;

namespace lacewing::net {

/// Order in which the loop serves what is ready. What is urgent has to be
/// little: it goes before everything else.
enum class Priority : std::uint8_t
{
  Urgent,
  Normal,
};

/// After this many callbacks the loop looks for urgent ones that have become
/// ready meanwhile.
inline constexpr int kCallbacksBetweenPolls = 128;

class Loop
{
public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// Present time of this process; includes the time while its VM was
  /// suspended.
  static Time Now();

  /// Runs until `Stop`.
  void Run();
  /// Runs callbacks that are ready, without waiting. For tests.
  void Poll();
  void Stop();

  /// Calls the function once after the delay, unless the loop ends before.
  void After(Duration aDelay,
             std::function<void()> aFunction,
             Priority aPriority = Priority::Normal);
  /// Calls the function in every period until the loop ends.
  void Every(Duration aPeriod, std::function<void()> aFunction);
  /// Calls the function on each arrival of the signal.
  void OnSignal(int aSignal, std::function<void()> aFunction);

  event_base* Base() { return m_base; }

private:
  struct OneShot;
  struct Repeating;
  event_base* m_base;
  /// Those that have not run yet, by address.
  std::unordered_map<OneShot*, std::unique_ptr<OneShot>> m_oneShots;
  std::vector<std::unique_ptr<Repeating>> m_repeating;
};

} // namespace lacewing::net
