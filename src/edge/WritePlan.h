/// Decides how an entry daemon goes on with a caller's write: try the store,
/// pass it to the leader's daemon, or give the final answer.
///
/// Does no I/O and reads no clock.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"

#include <cstdint>
#include <optional>

namespace lacewing::edge {

enum class WriteStep : std::uint8_t
{
  TryStore,
  Forward,     ///< to the leader's daemon, which may reach the store
  Refuse,      ///< nothing is stored and nothing will be
  LeaveInDoubt ///< an attempt without an answer may have been stored
};

/// What is known about a write so far.
struct WriteState
{
  Duration m_left{};         ///< until the caller's deadline
  bool m_storeDown = false;  ///< this daemon gets no answers from the store
  bool m_canForward = false; ///< another daemon leads
  bool m_inDoubt = false;    ///< an attempt had no answer
};

WriteStep
NextWriteStep(const WriteState& aState);

/// True if a further attempt can end early enough for the answer to reach the
/// caller in time.
bool
HasTimeForAttempt(Duration aLeft);

/// Timeout of the next attempt, such that an answer after it is in time.
Duration
AttemptTimeout(Duration aLeft);

/// When a refused caller should return: as long as the store has been down, so
/// that few attempts cover a long outage, within bounds, and spread by job so
/// that the callers of an outage do not return together.
seconds
RetryAfter(Time aNow, std::optional<Time> aDownSince, const JobId& aJob);
/// The same for a caller who can be served after the given time.
seconds
RetryAfter(Duration aWait, const JobId& aJob);

} // namespace lacewing::edge
