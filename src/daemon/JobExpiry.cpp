#include "daemon/JobExpiry.h"

#include "core/TryDecode.h"

namespace lacewing::daemon {

namespace {

/// A delete that was not written by then is left to a later sweep.
constexpr Duration kDeleteDeadline = seconds(10);

} // namespace

JobExpiry::JobExpiry(RowAccess aAccess,
                     std::shared_ptr<JobStore> aStore,
                     std::function<bool(const JobId&)> aMayDelete)
  : m_access(std::move(aAccess))
  , m_store(std::move(aStore))
  , m_mayDelete(std::move(aMayDelete))
{
}

void
JobExpiry::Tick()
{
  const Time now = m_access.m_now();
  if (m_open > 0 || now < m_nextSweep) {
    return;
  }
  m_nextSweep = now + kSweepPeriod;
  std::vector<JobId> jobs;
  table::Read read;
  for (const JobId& job :
       m_store->TakeExpired(kJobRetention, kMinSeenEnded, kSweepBatch)) {
    if (m_mayDelete(job)) {
      jobs.push_back(job);
      read.m_keys.push_back(m_store->RowOf(job));
      const jobs::JobRecord& record = *m_store->Find(job);
      read.m_keys.push_back(record.m_ending == jobs::JobEnding::Moved
                              ? jobs::JobRow(record.m_movedTo, job)
                              : *record.m_submission);
    }
  }
  std::erase(read.m_keys, std::string());
  if (jobs.empty()) {
    return;
  }
  ++m_open;
  m_access.m_fetch(read,
                   [weak = weak_from_this(),
                    jobs = std::move(jobs)](const table::ReadResult& aResult) {
                     if (const auto self = weak.lock()) {
                       --self->m_open;
                       self->OnRead(jobs, aResult);
                     }
                   });
}

Time
JobExpiry::NextWakeup() const
{
  // The end of a batch under way arms no timer, so it is looked for again.
  return m_open > 0 ? m_access.m_now() + kSweepPeriod : m_nextSweep;
}

void
JobExpiry::OnRead(const std::vector<JobId>& aJobs,
                  const table::ReadResult& aRead)
{
  if (aRead.m_ok) {
    for (const JobId& job : aJobs) {
      Take(job, aRead.m_rows);
    }
  }
}

void
JobExpiry::Take(const JobId& aJob, const table::Rows& aRows)
{
  const auto row = aRows.find(m_store->RowOf(aJob));
  if (row == aRows.end()) {
    m_store->Remove(aJob); // Deleted by a write whose answer was lost.
    return;
  }
  const auto record = TryDecode<jobs::JobRecord>(
    [&] { return jobs::DecodeRecord(aJob, row->second.m_value); });
  if (!record || !jobs::MayExpire(*record)) {
    return;
  }
  if (record->m_ending == jobs::JobEnding::Moved) {
    if (!aRows.contains(jobs::JobRow(record->m_movedTo, aJob))) {
      DeleteTombstone(*record, row->second.m_version);
    }
    return;
  }
  const auto submission = aRows.find(*record->m_submission);
  const auto named =
    submission == aRows.end() ? std::nullopt : TryDecode<jobs::JobRecord>([&] {
      return jobs::DecodeSubmission(submission->second.m_value);
    });
  // The row may belong to a later job with the same idempotency key.
  if (named && named->m_id == aJob) {
    DeleteSubmission(aJob,
                     submission->first,
                     submission->second.m_version,
                     row->second.m_version);
  } else {
    DeleteJob(aJob, row->second.m_version);
  }
}

void
JobExpiry::DeleteSubmission(const JobId& aJob,
                            const std::string& aRow,
                            RowVersion aVersion,
                            RowVersion aJobVersion)
{
  // While the submission's row exists, a repeat writes the job's row if it is
  // absent, so the job's row goes last.
  Delete(aRow, aVersion, {}, [this, aJob, aJobVersion] {
    DeleteJob(aJob, aJobVersion);
  });
}

void
JobExpiry::DeleteJob(const JobId& aJob, RowVersion aVersion)
{
  Delete(m_store->RowOf(aJob), aVersion, {}, [this, aJob] {
    m_store->Remove(aJob);
  });
}

/// The tombstone goes after the row that it names: a front that repeats the
/// submission finds one of the two, or no submission.
void
JobExpiry::DeleteTombstone(const jobs::JobRecord& aTombstone,
                           RowVersion aVersion)
{
  const JobId job = aTombstone.m_id;
  Delete(m_store->RowOf(job),
         aVersion,
         { { jobs::JobRow(aTombstone.m_movedTo, job), 0 } },
         [this, job] { m_store->Remove(job); });
}

void
JobExpiry::Delete(const std::string& aRow,
                  RowVersion aVersion,
                  std::vector<table::Check> aAlso,
                  std::function<void()> aDeleted)
{
  table::RecordWrite write;
  write.m_key = aRow;
  write.m_expected = aVersion;
  write.m_also = std::move(aAlso);
  write.m_deadline = m_access.m_now() + kDeleteDeadline;
  ++m_open;
  m_access.m_write(std::move(write),
                   [weak = weak_from_this(), deleted = std::move(aDeleted)](
                     const table::RecordResult& aResult) {
                     const auto self = weak.lock();
                     if (!self) {
                       return;
                     }
                     --self->m_open;
                     if (aResult.m_state == table::CommitState::Committed) {
                       deleted();
                     }
                   });
}

} // namespace lacewing::daemon
