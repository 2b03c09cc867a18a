/// Finds the row of a job, which lies in one of two parts of the store.
#pragma once

#include "platform/TableStore.h"
#include "pool/JobRows.h"

#include <functional>
#include <optional>

namespace lacewing::edge {

struct FoundJob
{
  /// True if the store has answered well enough to tell; without it the job may
  /// or may not exist.
  bool m_known = false;
  std::optional<pool::Job> m_job; ///< nothing if there is no such job
  pool::JobLocation m_location = pool::JobLocation::First;
};

/// Reads the first place, then the second. Calls back exactly once.
void
FindJobRow(platform::TableStore& aStore,
           const JobId& aJob,
           Duration aTimeout,
           std::function<void(const FoundJob&)> aDone);

} // namespace lacewing::edge
