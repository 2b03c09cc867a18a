/// What the keepers of rows need of their process: the table, timers and
/// clocks, as functions, so that tests can give them a table without sockets.
#pragma once

#include "core/Time.h"
#include "table/GroupCommit.h"

#include <functional>

namespace lacewing::daemon {

struct RowAccess
{
  /// Both call back exactly once.
  std::function<void(const table::Read&,
                     std::function<void(const table::ReadResult&)>)>
    m_fetch;
  std::function<void(table::RecordWrite,
                     std::function<void(const table::RecordResult&)>)>
    m_write;
  /// Calls the function once after the delay.
  std::function<void(Duration, std::function<void()>)> m_after;
  std::function<Time()> m_now;
  /// Time of day in microseconds since 1970.
  std::function<std::int64_t()> m_wallMicros;
  /// Reports a row that cannot be decoded.
  std::function<void(const JobId&)> m_onMalformed;
};

} // namespace lacewing::daemon
