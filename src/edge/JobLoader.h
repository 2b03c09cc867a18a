/// Loads what is stored about all jobs at the begin of a leadership: the rows
/// of the jobs, each joined with its progress.
#pragma once

#include "edge/JobTableScan.h"
#include "observe/Log.h"

#include <map>
#include <optional>
#include <set>

namespace lacewing::edge {

struct StoredJob
{
  pool::Job m_job;
  pool::JobProgress m_progress; ///< empty if there is no row of it
  RowVersion m_version = 0;     ///< of the job's row
};

struct LoadedJobs
{
  std::vector<StoredJob> m_jobs;
  std::map<JobId, pool::Cancellation> m_cancelled;
  std::size_t m_progressRows = 0;
  /// Changes of the job table after this version may be missing.
  RowVersion m_readFrom = 0;
};

class JobLoader
{
public:
  using OnDone = std::function<void(const LoadedJobs&)>;

  /// Rows are read at `aNotBefore` or a later version: the version of the claim
  /// of this leadership, after which no earlier leader can store progress.
  JobLoader(net::Loop& aLoop,
            platform::TableStore& aStore,
            observe::Log& aLog,
            RowVersion aNotBefore,
            OnDone aOnDone);

  /// Calls back once, when all rows are read. No callback runs once the object
  /// is gone.
  void Start();

private:
  void OnJobRow(const std::string& aKey, const table::Row& aRow);
  void OnProgressPage(const platform::PageResult& aPage);
  void FinishIfRead();
  /// Empty if a row of the job cannot be decoded.
  std::optional<StoredJob> Join(const JobId& aJob, const table::Row& aRow);
  void LogUnreadable(const char* aEvent, const JobId& aJob);

  observe::Log& m_log;
  OnDone m_onDone;
  JobTableScan m_jobScan;
  std::shared_ptr<TableScan> m_progressScan;
  bool m_jobsRead = false;
  bool m_progressRead = false;
  std::map<JobId, table::Row> m_jobRows;
  std::map<JobId, std::string> m_progressRows;
  LoadedJobs m_result;
};

} // namespace lacewing::edge
