/// Deletes the rows of jobs whose retention after their end has expired.
///
/// The job rows are deleted first and the progress row afterwards: a progress
/// row without a job is ignored, but a job without progress would run again.
#pragma once

#include "platform/TableStore.h"
#include "pool/JobRows.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lacewing::edge {

class JobExpiry : public std::enable_shared_from_this<JobExpiry>
{
public:
  explicit JobExpiry(platform::TableStore& aStore)
    : m_store(aStore)
  {
  }

  /// Deletes the rows of the jobs, and retries those that failed earlier.
  void Expire(const std::vector<JobId>& aJobs);
  /// Removes and returns at most `aMost` keys of progress rows that may be
  /// deleted now. The leader deletes them in a transaction that checks its own
  /// leadership.
  std::vector<std::string> TakeProgressKeys(std::size_t aMost);
  /// Returns keys whose deletion failed.
  void PutBack(const std::vector<std::string>& aKeys);
  bool HasProgressKeys() const { return !m_progressKeys.empty(); }

private:
  platform::TableStore& m_store;
  std::set<JobId> m_failedJobs; ///< to be retried
  std::vector<std::string> m_progressKeys;
};

/// Groups the rows of the jobs into transactions of at most `aMost` deletions.
/// Each transaction covers one part of the store and lists its jobs.
struct ExpiryBatch
{
  table::Commit m_commit;
  std::vector<JobId> m_jobs;
};
std::vector<ExpiryBatch>
PlanExpiry(const std::vector<JobId>& aJobs, std::size_t aMost);

} // namespace lacewing::edge
