/// Durable rows of the jobs of one owned slice: loading, and writes of marks
/// and ends, at most one write of a row at a time.
#pragma once

#include "daemon/RowAccess.h"
#include "jobs/JobRecord.h"
#include "table/PagedRead.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace lacewing::daemon {

/// The write that moves a job, and the job's record in the new slice.
struct PreparedMove
{
  table::RecordWrite m_write;
  jobs::JobRecord m_moved;
};

class JobStore : public std::enable_shared_from_this<JobStore>
{
public:
  using Loaded = std::function<void(const jobs::JobRecord&)>;
  using Done = std::function<void(bool aDurable)>;

  /// The process is named by `<vm>/<incarnation>`.
  JobStore(RowAccess aAccess,
           SliceId aSlice,
           const std::string& aProcess,
           Epoch aEpoch);

  /// Reads the rows of the slice in pages. Calls `aLoaded` for each job that is
  /// new to this store, with all marks that former owners have made durable,
  /// then `aDone`, with false if it must be tried again.
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
  /// Makes durable that tasks which may have run are to run again.
  void Reopen(const JobId& aJob, Done aDone);
  /// Makes the request to cancel durable, so that the next owner stops the
  /// tasks that still run.
  void RequestCancel(const JobId& aJob, Done aDone);

  /// Prepares the move of a job of which nothing has run, and makes its row
  /// busy until one of the two functions below is called. Nothing if another
  /// write of the row is under way, or the job can't move.
  std::optional<PreparedMove> BeginMove(const JobId& aJob, const SliceId& aTo);
  /// Takes over what the job's row says after a move, or after it has failed.
  void EndMove(const jobs::JobRecord& aRow, RowVersion aVersion);
  /// Forgets a job whose row cannot be known any more.
  void DropMove(const JobId& aJob);
  /// Key of the job's row in this slice.
  std::string RowOf(const JobId& aJob) const;
  /// For the next write of this owner.
  std::string NextNonce();

  /// Jobs that ended before the retention time, at most so many, from where the
  /// last call stopped. The age is counted from the time of day in the row if
  /// this store has seen the job as ended for the given time, and else from
  /// when it first saw that.
  std::vector<JobId> TakeExpired(Duration aRetention,
                                 Duration aMinSeen,
                                 std::size_t aMax);
  /// Forgets a job whose row is gone, unless a write of it is under way.
  void Remove(const JobId& aJob);

private:
  struct Entry
  {
    jobs::JobRecord m_record;
    RowVersion m_version = 0;
    bool m_busy = false;
    /// The row is being taken over from a former owner.
    bool m_fencing = false;
    /// When this store first knew the job as ended.
    Time m_seenEnded = Time::max();
    std::vector<Done> m_inWrite; ///< told when the present write has ended
    std::vector<Done> m_next;    ///< told when the next write has ended
  };

  /// A load under way.
  struct Loading
  {
    table::PagedRead m_pages;
    /// At-most-once jobs of other owners, with the versions of their rows.
    std::vector<std::pair<jobs::JobRecord, RowVersion>> m_toFence;
    Loaded m_loaded;
    Done m_done;
  };

  void LoadPage(const std::shared_ptr<Loading>& aLoading);
  void OnPage(const std::shared_ptr<Loading>& aLoading,
              const table::ReadResult& aPage);
  void Change(Entry& aEntry, Done aDone);
  void Write(const JobId& aJob);
  void OnWritten(const JobId& aJob, const table::RecordResult& aResult);
  void Reread(const JobId& aJob);
  void OnReread(const JobId& aJob, const table::ReadResult& aResult);
  void Finish(const JobId& aJob, bool aDurable);
  void Retry(std::function<void()> aFunction);
  void Fence(const std::vector<JobId>& aJobs,
             const Loaded& aLoaded,
             const Done& aDone);
  void OnFenced(const JobId& aJob, bool aDurable, const Loaded& aLoaded);
  void TakeRow(const std::string& aKey,
               const table::Row& aRow,
               Loading& aLoading);
  bool HasExpired(const Entry& aEntry,
                  Duration aRetention,
                  Duration aMinSeen) const;
  bool IsOfLaterOwner(const std::string& aNonce) const;

  RowAccess m_access;
  SliceId m_slice;
  Epoch m_epoch;
  /// Begins the nonces of this owner's writes.
  std::string m_noncePrefix;
  JobId m_expiryCursor;
  std::uint64_t m_lastNonce = 0;
  std::map<JobId, Entry> m_entries;
};

} // namespace lacewing::daemon
