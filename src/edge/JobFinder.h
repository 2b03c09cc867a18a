/// Finds the row of a job, which is stored in one of two parts of the store.
#pragma once

#include "platform/TableStore.h"
#include "pool/JobRows.h"

#include <functional>
#include <optional>

namespace lacewing::edge {

struct FoundJob
{
  /// True if the reads suffice to decide whether the job exists. If false, the
  /// job may or may not exist.
  bool m_known = false;
  std::optional<pool::Job> m_job; ///< `nullopt` if no row was found
  pool::JobLocation m_location = pool::JobLocation::First;
};

/// Reads the first location, then the second if needed. Calls back exactly
/// once.
void
FindJobRow(platform::TableStore& aStore,
           const JobId& aJob,
           Duration aTimeout,
           std::function<void(const FoundJob&)> aDone);

} // namespace lacewing::edge
