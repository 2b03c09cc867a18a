#include "edge/JobFinder.h"

#include "core/TryDecode.h"

namespace lacewing::edge {

namespace {

FoundJob
FromPage(const platform::PageResult& aPage,
         const JobId& aJob,
         pool::JobLocation aLocation)
{
  FoundJob found;
  found.m_known = aPage.m_read.m_ok;
  found.m_location = aLocation;
  for (const auto& item : aPage.m_read.m_rows) {
    found.m_job = TryDecode<pool::Job>(
      [&] { return pool::DecodeJob(aJob, item.second.m_value); });
  }
  return found;
}

} // namespace

void
FindJobRow(platform::TableStore& aStore,
           const JobId& aJob,
           Duration aTimeout,
           std::function<void(const FoundJob&)> aDone)
{
  using pool::JobLocation;
  aStore.ReadRow(
    pool::JobKey(aJob, JobLocation::First),
    aTimeout,
    [&aStore, aJob, aTimeout, aDone = std::move(aDone)](
      const platform::PageResult& aFirst) {
      const FoundJob first = FromPage(aFirst, aJob, JobLocation::First);
      if (first.m_job) {
        aDone(first);
        return;
      }
      aStore.ReadRow(pool::JobKey(aJob, JobLocation::Second),
                     aTimeout,
                     [aJob, first, aDone](const platform::PageResult& aSecond) {
                       FoundJob second =
                         FromPage(aSecond, aJob, JobLocation::Second);
                       // The job is absent only if both locations were read
                       // without finding it.
                       second.m_known = second.m_job.has_value() ||
                                        (second.m_known && first.m_known);
                       aDone(second);
                     });
    });
}

} // namespace lacewing::edge
