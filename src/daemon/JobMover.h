/// Moves jobs from one owned slice to others: a transaction that leaves a
/// tombstone in the old slice and inserts the job in the new one.
#pragma once

#include "daemon/JobStore.h"
#include "sched/MovePlan.h"

namespace lacewing::daemon {

/// A job whose row is durable under another slice.
struct MovedJob
{
  jobs::JobRecord m_record;
  RowVersion m_version = 0; ///< of the row in the new slice
  SliceId m_to;
  bool m_cancel = false; ///< it was cancelled during the move
};

struct MoveHooks
{
  /// The check that holds while the slice is owned under this owner's epoch;
  /// nothing when it is not.
  std::function<std::optional<table::Check>()> m_ownerCheck;
  std::function<void(const MovedJob&)> m_onMoved;
  /// The job has surely not moved and cannot any more.
  std::function<void(const jobs::JobRecord& aRecord, bool aCancel)> m_putBack;
  /// A move has begun (1), or its outcome is known (-1).
  std::function<void(int)> m_onUnderWay;
};

/// A move under way keeps its mover alive, also after the slice is lost, so
/// that a job that has moved is announced.
class JobMover : public std::enable_shared_from_this<JobMover>
{
public:
  JobMover(RowAccess aAccess,
           std::shared_ptr<JobStore> aStore,
           MoveHooks aHooks);

  /// Begins the move of a job that the scheduler has given up. False if it
  /// can't move now; the caller keeps the job then.
  bool Begin(const JobId& aJob, const SliceId& aTo);
  /// Cancels a job wherever its move ends; false if it is not moving.
  bool Cancel(const JobId& aJob);
  /// Moves under way.
  std::size_t size() const { return m_moves.size(); }

private:
  struct Move
  {
    PreparedMove m_prepared;
    SliceId m_to;
    bool m_cancel = false;
    /// A transaction with it may have taken effect, or may still do so.
    bool m_uncertain = false;
  };

  void Write(const JobId& aJob);
  void OnWritten(const JobId& aJob, const table::RecordResult& aResult);
  void Reread(const JobId& aJob);
  void OnReread(const JobId& aJob, const table::ReadResult& aResult);
  void Fence(const jobs::JobRecord& aRow, RowVersion aVersion);
  void TakeTombstone(const jobs::JobRecord& aRow, RowVersion aVersion);
  void Retry(const JobId& aJob, void (JobMover::*aStep)(const JobId&));
  Move Take(const JobId& aJob);

  RowAccess m_access;
  std::shared_ptr<JobStore> m_store;
  MoveHooks m_hooks;
  std::map<JobId, Move> m_moves;
};

} // namespace lacewing::daemon
