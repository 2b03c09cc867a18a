#include "edge/JobExpiry.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace lacewing::edge {

namespace {

constexpr Duration kDeleteTimeout = seconds(2);
/// Deletions in one transaction, below the store's limit of 100 entries.
constexpr std::size_t kDeletionsPerCommit = 80;

} // namespace

std::vector<ExpiryBatch>
PlanExpiry(const std::vector<JobId>& aJobs, std::size_t aMost)
{
  std::map<std::string, ExpiryBatch> open;
  std::vector<ExpiryBatch> result;
  for (const JobId& job : aJobs) {
    for (const auto place :
         { pool::JobLocation::First, pool::JobLocation::Second }) {
      ExpiryBatch& batch = open[pool::JobPart(job, place)];
      batch.m_commit.m_deletes.push_back(pool::JobKey(job, place));
      batch.m_commit.m_deletes.push_back(pool::CancelKey(job, place));
      batch.m_jobs.push_back(job);
      if (batch.m_commit.m_deletes.size() + 2 > aMost) {
        result.push_back(std::exchange(batch, {}));
      }
    }
  }
  for (auto& [part, batch] : open) {
    if (!batch.m_jobs.empty()) {
      result.push_back(std::move(batch));
    }
  }
  return result;
}

void
JobExpiry::Expire(const std::vector<JobId>& aJobs)
{
  const std::set<JobId> failed = std::exchange(m_failedJobs, {});
  std::vector<JobId> jobs(failed.begin(), failed.end());
  std::ranges::copy_if(aJobs, std::back_inserter(jobs), [&](const JobId& aJob) {
    return !failed.contains(aJob);
  });
  // The rows at both locations of a job must be deleted before its progress.
  const auto remaining = std::make_shared<std::map<JobId, int>>();
  for (const JobId& job : jobs) {
    (*remaining)[job] = 2;
  }
  for (const ExpiryBatch& batch : PlanExpiry(jobs, kDeletionsPerCommit)) {
    m_store.Submit(batch.m_commit,
                   kDeleteTimeout,
                   [weak = weak_from_this(), remaining, ids = batch.m_jobs](
                     const table::CommitResult& aResult) {
                     const auto self = weak.lock();
                     if (!self) {
                       return;
                     }
                     for (const JobId& job : ids) {
                       if (aResult.m_state != table::CommitState::Committed) {
                         self->m_failedJobs.insert(job);
                         // The next Expire retries the job.
                         (*remaining)[job] = 0;
                       } else if (--(*remaining)[job] == 0) {
                         self->m_progressKeys.push_back(pool::ProgressKey(job));
                       }
                     }
                   });
  }
}

std::vector<std::string>
JobExpiry::TakeProgressKeys(std::size_t aMost)
{
  const std::size_t count = std::min(aMost, m_progressKeys.size());
  const auto first = m_progressKeys.end() - static_cast<std::ptrdiff_t>(count);
  std::vector<std::string> keys(first, m_progressKeys.end());
  m_progressKeys.erase(first, m_progressKeys.end());
  return keys;
}

void
JobExpiry::PutBack(const std::vector<std::string>& aKeys)
{
  m_progressKeys.insert(m_progressKeys.end(), aKeys.begin(), aKeys.end());
}

} // namespace lacewing::edge
