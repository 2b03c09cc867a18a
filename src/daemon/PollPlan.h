/// When a worker is polled for the end of a task, besides the renewals.
#pragma once

#include "core/Time.h"

namespace lacewing::daemon {

/// A running task as its owner expects it.
struct ExpectedRun
{
  Time m_start{};           ///< of one that was taken over: the takeover
  Time m_end = Time::max(); ///< by its declared run time, if it is known
};

/// Time until the next poll for this task.
Duration
PollWait(Time aNow, const ExpectedRun& aRun);

} // namespace lacewing::daemon
