#include "edge/JobFinder.h"

#include "core/TryDecode.h"

namespace lacewing::edge {

namespace {

FoundJob
FromPage(const platform::PageResult& aPage,
         const JobId& aJob,
         RowVersion aNotBefore,
         pool::JobLocation aLocation)
{
  FoundJob found;
  found.m_known = IsReadAt(aPage, aNotBefore);
  found.m_location = aLocation;
  for (const auto& item : aPage.m_read.m_rows) {
    found.m_job = TryDecode<pool::Job>(
      [&] { return pool::DecodeJob(aJob, item.second.m_value); });
    found.m_version = item.second.m_version;
    // A row that cannot be decoded does not show that the job is absent.
    found.m_known = found.m_known && found.m_job.has_value();
  }
  return found;
}

/// Joins the job's row with the page of its progress, which was read before.
JobLookUp
Join(const FoundJob& aFound,
     const platform::PageResult& aProgress,
     RowVersion aNotBefore)
{
  JobLookUp result;
  result.m_known = aFound.m_known && IsReadAt(aProgress, aNotBefore);
  if (!result.m_known || !aFound.m_job) {
    return result;
  }
  StoredJob job{ *aFound.m_job, {}, aFound.m_version };
  for (const auto& item : aProgress.m_read.m_rows) {
    auto progress = TryDecode<pool::JobProgress>(
      [&] { return pool::DecodeProgress(item.second.m_value); });
    result.m_known = result.m_known && progress.has_value();
    job.m_progress = std::move(progress).value_or(pool::JobProgress());
  }
  if (result.m_known) {
    result.m_job = std::move(job);
  }
  return result;
}

} // namespace

void
FindJobRow(platform::TableStore& aStore,
           const JobId& aJob,
           RowVersion aNotBefore,
           Duration aTimeout,
           std::function<void(const FoundJob&)> aDone)
{
  using pool::JobLocation;
  aStore.ReadRow(
    pool::JobKey(aJob, JobLocation::First),
    aTimeout,
    [&aStore, aJob, aNotBefore, aTimeout, aDone = std::move(aDone)](
      const platform::PageResult& aFirst) {
      const FoundJob first =
        FromPage(aFirst, aJob, aNotBefore, JobLocation::First);
      if (first.m_job) {
        aDone(first);
        return;
      }
      aStore.ReadRow(
        pool::JobKey(aJob, JobLocation::Second),
        aTimeout,
        [aJob, aNotBefore, first, aDone](const platform::PageResult& aSecond) {
          FoundJob second =
            FromPage(aSecond, aJob, aNotBefore, JobLocation::Second);
          // The job is absent only if both locations were read
          // without finding it.
          second.m_known =
            second.m_job.has_value() || (second.m_known && first.m_known);
          aDone(second);
        });
    });
}

void
LookUpJob(platform::TableStore& aStore,
          const JobId& aJob,
          RowVersion aNotBefore,
          Duration aTimeout,
          std::function<void(const JobLookUp&)> aDone)
{
  // Expiry deletes the rows of a job before its progress. In the opposite order
  // the row could be read just before, and the progress just after they are
  // deleted.
  aStore.ReadRow(
    pool::ProgressKey(aJob),
    aTimeout,
    [&aStore, aJob, aNotBefore, aTimeout, aDone = std::move(aDone)](
      const platform::PageResult& aProgress) {
      FindJobRow(aStore,
                 aJob,
                 aNotBefore,
                 aTimeout,
                 [aProgress, aNotBefore, aDone](const FoundJob& aFound) {
                   aDone(Join(aFound, aProgress, aNotBefore));
                 });
    });
}

} // namespace lacewing::edge
