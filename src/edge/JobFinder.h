/// Finds the row of a job, which is stored in one of two parts of the store,
/// and what is stored of its progress.
#pragma once

#include "edge/JobLoader.h"
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
  RowVersion m_version = 0; ///< of the row
};

/// Reads the first location, then the second if needed. A read at a version
/// before `aNotBefore` counts as failed. Calls back exactly once.
void
FindJobRow(platform::TableStore& aStore,
           const JobId& aJob,
           RowVersion aNotBefore,
           Duration aTimeout,
           std::function<void(const FoundJob&)> aDone);

/// Result of reading one job with its progress.
struct JobLookUp
{
  /// False if a read failed or a row cannot be decoded.
  bool m_known = false;
  std::optional<StoredJob> m_job; ///< `nullopt` if the job does not exist
};

/// Reads the job's progress and then its row, both at `aNotBefore` or a later
/// version. Calls back exactly once.
void
LookUpJob(platform::TableStore& aStore,
          const JobId& aJob,
          RowVersion aNotBefore,
          Duration aTimeout,
          std::function<void(const JobLookUp&)> aDone);

} // namespace lacewing::edge
