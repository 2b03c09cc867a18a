/// A timer of the event loop that is armed for the time when work is due, with
/// a least distance between two calls.
#pragma once

#include "core/Time.h"
#include "net/Loop.h"

#include <functional>

struct event;

namespace lacewing::net {

class PacedTimer
{
public:
  /// The function is called at most once in a period. It arms the timer again
  /// while it has work.
  PacedTimer(Loop& aLoop, Duration aPeriod, std::function<void()> aFunction);
  ~PacedTimer();
  PacedTimer(const PacedTimer&) = delete;
  PacedTimer& operator=(const PacedTimer&) = delete;

  /// Calls the function at the time, or one period after the last call if that
  /// is later. An earlier call that is already due stays.
  void CallBy(Time aTime);
  /// Calls the function as soon as the period allows.
  void CallSoon() { CallBy(Time::min()); }

private:
  static void OnEvent(int aSocket, short aWhat, void* aSelf);
  void Run();
  void Start(Time aNow);

  Duration m_period;
  std::function<void()> m_function;
  event* m_event;
  Time m_earliest = Time::min(); ///< the next call may not come before
  Time m_due = Time::max();      ///< of the pending call
};

} // namespace lacewing::net
