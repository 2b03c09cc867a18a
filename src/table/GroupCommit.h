/// Group commit: collects writes of single rows into one transaction at a time,
/// at a bounded rate. A pure state machine; transactions and reads are returned
/// as values.
#pragma once

#include "core/Time.h"
#include "table/TableTypes.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace lacewing::table {

using RecordId = std::uint64_t;

/// A write of one row. A put's value contains a nonce that makes it unique, so
/// that a read can tell whether the put took effect.
struct RecordWrite
{
  std::string m_key;
  /// Version that the row must have, 0 for absent; nothing for any version.
  std::optional<RowVersion> m_expected;
  std::optional<std::string> m_value; ///< nothing deletes the row
  Time m_deadline{};                  ///< not sent again at or after this time
  /// Other rows that must have these versions when this one is written; if one
  /// has not, the result is `Conflict`.
  std::vector<Check> m_also = {};
  /// Another row that is written in the same transaction. Whether the record
  /// took effect is read from the first row alone.
  std::optional<Put> m_second = std::nullopt;
};

/// `Committed`, `Conflict`: the state of the row is known. `NotApplied`: no
/// transaction with it can have taken effect. `Unknown`: the deadline passed
/// before that could be found out.
struct RecordResult
{
  RecordId m_record = 0;
  CommitState m_state = CommitState::Unknown;
  RowVersion m_version = 0; ///< of the row, if committed and not deleted
};

/// Number of a transaction or a read; its result is given back with it.
using OperationId = std::uint64_t;

struct CommitBatch
{
  OperationId m_operation = 0;
  Commit m_commit;
};

struct ReadBatch
{
  OperationId m_operation = 0;
  Read m_read;
};

/// At most one of the two operations is set.
struct GroupCommitEffects
{
  std::vector<RecordResult> m_results;
  std::optional<CommitBatch> m_commit;
  std::optional<ReadBatch> m_read;
};

struct GroupCommitOptions
{
  std::size_t m_maxBatch = 200;      ///< records of a transaction
  std::size_t m_maxBacklog = 20'000; ///< records that wait
  Duration m_minPause = milliseconds(5);
  /// Transactions that all fronts together may start in a second.
  int m_writesPerSecond = 200;
  /// False only to show that a checker notices.
  bool m_readBackUnknown = true;
};

class GroupCommit
{
public:
  explicit GroupCommit(GroupCommitOptions aOptions = {});

  /// Active members, which share the rate of writes.
  void SetMembers(int aMembers);
  /// Transactions that all fronts together may start in a second, and records
  /// of one; for transactions that start from now on.
  void SetBudget(int aWritesPerSecond, std::size_t aMaxBatch);
  /// Time between the starts of two operations.
  Duration Pause() const;

  /// Queues a write; nothing when the backlog is full. `OnTick` sends it.
  std::optional<RecordId> Add(RecordWrite aWrite);
  GroupCommitEffects OnTick(Time aNow);
  /// A result of another operation than the present one is ignored.
  GroupCommitEffects OnCommitResult(Time aNow,
                                    OperationId aOperation,
                                    const CommitResult& aResult);
  GroupCommitEffects OnReadResult(Time aNow,
                                  OperationId aOperation,
                                  const ReadResult& aResult);

  std::optional<Time> NextWakeup() const;
  std::size_t size() const { return m_records.size(); }

private:
  struct Record
  {
    RecordWrite m_write;
    /// A transaction with it may have taken effect or may still do so.
    bool m_uncertain = false;
  };
  using Batch = std::vector<RecordId>;

  void Finish(RecordId aRecord,
              CommitState aState,
              RowVersion aVersion,
              GroupCommitEffects& aEffects);
  void Requeue(const Batch& aBatch);
  bool TakeKeys(const RecordWrite& aWrite,
                std::unordered_set<std::string>& aWritten,
                std::unordered_map<std::string, RowVersion>& aChecked) const;
  void OnConflict(const Batch& aBatch,
                  const CommitResult& aResult,
                  GroupCommitEffects& aEffects);
  void OnUnknown(const Batch& aBatch, GroupCommitEffects& aEffects);
  void Settle(RecordId aRecord,
              const Rows& aRows,
              GroupCommitEffects& aEffects);
  void Expire(Time aNow, GroupCommitEffects& aEffects);
  void ExpireList(Time aNow,
                  std::deque<RecordId>& aList,
                  GroupCommitEffects& aEffects);
  void Start(Time aNow, GroupCommitEffects& aEffects);
  ReadBatch StartRead();
  CommitBatch StartCommit();
  GroupCommitEffects Advance(Time aNow, GroupCommitEffects aEffects);

  GroupCommitOptions m_options;
  int m_members = 1;
  std::unordered_map<RecordId, Record> m_records;
  std::deque<RecordId> m_queue;  ///< to be written, by age
  std::deque<RecordId> m_toRead; ///< to be read back
  Batch m_batch;                 ///< of the present operation
  OperationId m_operation = 0;   ///< number of the last operation
  bool m_busy = false;
  RecordId m_nextRecord = 1;
  Time m_nextStart = Time::min();
  Time m_earliestDeadline = Time::max();
};

} // namespace lacewing::table
