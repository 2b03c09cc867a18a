/// Deletes the rows of jobs that have ended long ago.
///
/// A job's own rows go first, its progress afterwards: progress without a job
/// is ignored, but a job without its progress would run again.
#pragma once

#include "platform/TableStore.h"
#include "pool/JobRows.h"

#include <memory>
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

  /// Deletes the rows of the jobs, those that could not be deleted before too.
  void Expire(const std::vector<JobId>& aJobs);
  /// Keys of progress that may be deleted now, at most so many; the leader
  /// deletes them under its own condition.
  std::vector<std::string> TakeProgressKeys(std::size_t aMost);
  void PutBack(const std::vector<std::string>& aKeys);
  bool HasProgressKeys() const { return !m_progressKeys.empty(); }

private:
  platform::TableStore& m_store;
  std::vector<JobId> m_waiting; ///< not deleted yet
  std::vector<std::string> m_progressKeys;
};

/// The rows of the jobs in transactions of at most `aMost` deletions, each of
/// one part, with the jobs that each concerns.
struct ExpiryBatch
{
  table::Commit m_commit;
  std::vector<JobId> m_jobs;
};
std::vector<ExpiryBatch>
PlanExpiry(const std::vector<JobId>& aJobs, std::size_t aMost);

} // namespace lacewing::edge
