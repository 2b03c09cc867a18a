/// Durable rows of the jobs of one owned slice: loading, and writes of marks
/// and ends, at most one write of a row at a time.
#pragma once

#include "daemon/Runtime.h"
#include "jobs/JobRecord.h"

#include <functional>
#include <map>
#include <vector>

namespace lacewing::daemon {

class JobStore : public std::enable_shared_from_this<JobStore>
{
public:
  using Loaded = std::function<void(const jobs::JobRecord&)>;
  using Done = std::function<void(bool aDurable)>;

  JobStore(Runtime& aRuntime, SliceId aSlice, Epoch aEpoch);

  /// Reads the rows of the slice. Calls `aLoaded` for each job that is new to
  /// this store, then `aDone`, with false if it must be tried again.
  void Load(const Loaded& aLoaded, const Done& aDone);

  /// Takes a job that a front has made durable. False if it is known.
  bool Add(const jobs::JobRecord& aRecord, RowVersion aVersion);
  const jobs::JobRecord* Find(const JobId& aJob) const;
  std::size_t size() const { return m_entries.size(); }
  /// Calls the function for each job that has not ended, ordered by id.
  template<typename Function>
  void ForEachOpen(Function aFunction) const
  {
    for (const auto& [id, entry] : m_entries) {
      if (entry.m_record.m_ending == jobs::JobEnding::Open) {
        aFunction(entry.m_record);
      }
    }
  }

  /// Makes the mark of a start durable; false if another owner has the row.
  void Mark(const TaskId& aTask, Done aDone);
  /// Makes the end of a task durable.
  void Succeed(const TaskId& aTask, Done aDone);
  void End(const JobId& aJob, jobs::JobEnding aEnding, Done aDone);
  /// Makes the request to cancel durable, so that the next owner stops the
  /// tasks that still run.
  void RequestCancel(const JobId& aJob, Done aDone);

private:
  struct Entry
  {
    jobs::JobRecord m_record;
    RowVersion m_version = 0;
    bool m_busy = false;
    std::vector<Done> m_inWrite; ///< told when the present write has ended
    std::vector<Done> m_next;    ///< told when the next write has ended
  };

  void Change(Entry& aEntry, Done aDone);
  void Write(const JobId& aJob);
  void OnWritten(const JobId& aJob, const table::RecordResult& aResult);
  void Reread(const JobId& aJob);
  void OnReread(const JobId& aJob, const table::ReadResult& aResult);
  void Finish(const JobId& aJob, bool aDurable);
  void Retry(std::function<void()> aFunction);
  void Fence(const std::vector<JobId>& aJobs, const Done& aDone);
  void TakeRow(const std::string& aKey,
               const table::Row& aRow,
               const Loaded& aLoaded,
               std::vector<JobId>& aToFence);

  Runtime& m_runtime;
  SliceId m_slice;
  /// Begins the nonces of this owner's writes.
  std::string m_noncePrefix;
  std::uint64_t m_lastNonce = 0;
  std::map<JobId, Entry> m_entries;
};

} // namespace lacewing::daemon
