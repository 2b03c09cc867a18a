/// Deletes the rows of jobs of one owned slice that ended long ago, and the
/// rows of their submissions, and tombstones of jobs that moved long ago.
#pragma once

#include "daemon/JobStore.h"

namespace lacewing::daemon {

/// How long the rows of a job and of its submission are kept after its end.
inline constexpr Duration kJobRetention = std::chrono::hours(24);
/// An owner that relies on the time of day in the row must have seen the job as
/// ended for at least this long, so that a clock that is wrong by days shortens
/// the retention to no less than this.
inline constexpr Duration kMinSeenEnded = std::chrono::hours(1);
/// Time between two batches, and jobs of one batch. With 11 slices of workers
/// the sweeps start at most 5 transactions a second of the table's several
/// hundred, and delete up to 345,600 jobs a day in each slice.
inline constexpr Duration kSweepPeriod = seconds(5);
inline constexpr std::size_t kSweepBatch = 20;

class JobExpiry : public std::enable_shared_from_this<JobExpiry>
{
public:
  /// `aMayDelete` lets go of a job that nothing needs any more, or answers
  /// false.
  JobExpiry(RowAccess aAccess,
            std::shared_ptr<JobStore> aStore,
            std::function<bool(const JobId&)> aMayDelete);

  /// Deletes at most one batch; nothing before the period since the last batch
  /// has passed, or while one is under way.
  void Tick();
  /// When `Tick` is due.
  Time NextWakeup() const;

private:
  void OnRead(const std::vector<JobId>& aJobs, const table::ReadResult& aRead);
  void Take(const JobId& aJob, const table::Rows& aRows);
  void DeleteSubmission(const JobId& aJob,
                        const std::string& aRow,
                        RowVersion aVersion,
                        RowVersion aJobVersion);
  void DeleteJob(const JobId& aJob, RowVersion aVersion);
  void DeleteTombstone(const jobs::JobRecord& aTombstone, RowVersion aVersion);
  void Delete(const std::string& aRow,
              RowVersion aVersion,
              std::vector<table::Check> aAlso,
              std::function<void()> aDeleted);

  RowAccess m_access;
  std::shared_ptr<JobStore> m_store;
  std::function<bool(const JobId&)> m_mayDelete;
  Time m_nextSweep = Time::min();
  std::size_t m_open = 0; ///< reads and deletes under way
};

} // namespace lacewing::daemon
