/// Measures the delay of the event loop's timers: how long after its due time a
/// timer runs because other callbacks hold the thread.
#pragma once

#include "core/Time.h"
#include "net/Loop.h"

#include <functional>

namespace lacewing::net {

class LoopLagProbe
{
public:
  using OnLag = std::function<void(Duration aLag)>;

  /// Starts measuring, some twenty times a second. The probe must live as long
  /// as the loop runs.
  LoopLagProbe(Loop& aLoop, OnLag aOnLag);

private:
  void Arm();

  Loop& m_loop;
  OnLag m_onLag;
};

} // namespace lacewing::net
