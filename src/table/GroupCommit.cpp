#include "table/GroupCommit.h"

#include <algorithm>

namespace lacewing::table {

namespace {

RowVersion
VersionIn(const Rows& aRows, const std::string& aKey)
{
  const auto row = aRows.find(aKey);
  return row == aRows.end() ? 0 : row->second.m_version;
}

/// True if a row that the record writes or checks is among the conflicts.
bool
IsConcerned(const RecordWrite& aWrite,
            const std::unordered_set<std::string>& aConflicts)
{
  return aConflicts.contains(aWrite.m_key) ||
         std::ranges::any_of(aWrite.m_also, [&](const Check& aCheck) {
           return aConflicts.contains(aCheck.m_key);
         });
}

} // namespace

GroupCommit::GroupCommit(GroupCommitOptions aOptions)
  : m_options(aOptions)
{
}

void
GroupCommit::SetMembers(int aMembers)
{
  m_members = std::max(1, aMembers);
}

void
GroupCommit::SetBudget(int aWritesPerSecond, std::size_t aMaxBatch)
{
  m_options.m_writesPerSecond = aWritesPerSecond;
  m_options.m_maxBatch = aMaxBatch;
}

Duration
GroupCommit::Pause() const
{
  const Duration shared =
    Duration(seconds(m_members)) / std::max(1, m_options.m_writesPerSecond);
  return std::max(m_options.m_minPause, shared);
}

std::optional<RecordId>
GroupCommit::Add(RecordWrite aWrite)
{
  if (m_records.size() >= m_options.m_maxBacklog) {
    return std::nullopt;
  }
  const RecordId record = m_nextRecord++;
  m_earliestDeadline = std::min(m_earliestDeadline, aWrite.m_deadline);
  m_records.emplace(record, Record{ std::move(aWrite) });
  m_queue.push_back(record);
  return record;
}

GroupCommitEffects
GroupCommit::OnTick(Time aNow)
{
  return Advance(aNow, {});
}

GroupCommitEffects
GroupCommit::Advance(Time aNow, GroupCommitEffects aEffects)
{
  Expire(aNow, aEffects);
  if (!m_busy && aNow >= m_nextStart) {
    Start(aNow, aEffects);
  }
  return aEffects;
}

// ---- Results ----

GroupCommitEffects
GroupCommit::OnCommitResult(Time aNow,
                            OperationId aOperation,
                            const CommitResult& aResult)
{
  GroupCommitEffects effects;
  if (!m_busy || aOperation != m_operation) {
    return effects;
  }
  m_busy = false;
  const Batch batch = std::move(m_batch);
  m_batch.clear();
  switch (aResult.m_state) {
    case CommitState::Committed:
      for (const RecordId record : batch) {
        Finish(record, CommitState::Committed, aResult.m_version, effects);
      }
      break;
    case CommitState::Conflict:
      OnConflict(batch, aResult, effects);
      break;
    case CommitState::NotApplied:
      Requeue(batch);
      break;
    case CommitState::Unknown:
      OnUnknown(batch, effects);
      break;
  }
  return Advance(aNow, std::move(effects));
}

void
GroupCommit::OnConflict(const Batch& aBatch,
                        const CommitResult& aResult,
                        GroupCommitEffects& aEffects)
{
  const std::unordered_set<std::string> conflicts(aResult.m_conflicts.begin(),
                                                  aResult.m_conflicts.end());
  Batch others;
  for (const RecordId record : aBatch) {
    const Record& entry = m_records.at(record);
    if (!IsConcerned(entry.m_write, conflicts)) {
      others.push_back(record);
    } else if (entry.m_uncertain) {
      // The conflict may be with its own earlier transaction.
      m_toRead.push_back(record);
    } else {
      Finish(record, CommitState::Conflict, 0, aEffects);
    }
  }
  Requeue(others);
}

void
GroupCommit::OnUnknown(const Batch& aBatch, GroupCommitEffects& aEffects)
{
  for (const RecordId record : aBatch) {
    m_records.at(record).m_uncertain = true;
    if (m_options.m_readBackUnknown) {
      m_toRead.push_back(record);
    } else {
      Finish(record, CommitState::Unknown, 0, aEffects);
    }
  }
}

GroupCommitEffects
GroupCommit::OnReadResult(Time aNow,
                          OperationId aOperation,
                          const ReadResult& aResult)
{
  GroupCommitEffects effects;
  if (!m_busy || aOperation != m_operation) {
    return effects;
  }
  m_busy = false;
  const Batch batch = std::move(m_batch);
  m_batch.clear();
  for (const RecordId record : batch) {
    if (aResult.m_ok) {
      Settle(record, aResult.m_rows, effects);
    } else {
      m_toRead.push_back(record);
    }
  }
  return Advance(aNow, std::move(effects));
}

void
GroupCommit::Settle(RecordId aRecord,
                    const Rows& aRows,
                    GroupCommitEffects& aEffects)
{
  const RecordWrite& write = m_records.at(aRecord).m_write;
  const auto row = aRows.find(write.m_key);
  const bool absent = row == aRows.end();
  const RowVersion version = absent ? 0 : row->second.m_version;
  const bool alsoHolds =
    std::ranges::all_of(write.m_also, [&](const Check& aCheck) {
      return VersionIn(aRows, aCheck.m_key) == aCheck.m_version;
    });
  const bool inEffect =
    write.m_value ? !absent && row->second.m_value == *write.m_value : absent;
  if (inEffect) {
    Finish(aRecord, CommitState::Committed, version, aEffects);
  } else if (alsoHolds && (!write.m_expected || version == *write.m_expected)) {
    Requeue({ aRecord });
  } else {
    Finish(aRecord, CommitState::Conflict, 0, aEffects);
  }
}

void
GroupCommit::Finish(RecordId aRecord,
                    CommitState aState,
                    RowVersion aVersion,
                    GroupCommitEffects& aEffects)
{
  aEffects.m_results.push_back({ aRecord, aState, aVersion });
  m_records.erase(aRecord);
}

/// Puts records back at the head, in their order.
void
GroupCommit::Requeue(const Batch& aBatch)
{
  m_queue.insert(m_queue.begin(), aBatch.begin(), aBatch.end());
}

// ---- Deadlines ----

void
GroupCommit::Expire(Time aNow, GroupCommitEffects& aEffects)
{
  if (aNow < m_earliestDeadline) {
    return;
  }
  m_earliestDeadline = Time::max();
  ExpireList(aNow, m_queue, aEffects);
  ExpireList(aNow, m_toRead, aEffects);
  for (const auto& [id, record] : m_records) {
    m_earliestDeadline =
      std::min(m_earliestDeadline, record.m_write.m_deadline);
  }
}

void
GroupCommit::ExpireList(Time aNow,
                        std::deque<RecordId>& aList,
                        GroupCommitEffects& aEffects)
{
  std::erase_if(aList, [&](RecordId aRecord) {
    const Record& record = m_records.at(aRecord);
    if (record.m_write.m_deadline > aNow) {
      return false;
    }
    Finish(aRecord,
           record.m_uncertain ? CommitState::Unknown : CommitState::NotApplied,
           0,
           aEffects);
    return true;
  });
}

// ---- Operations ----

void
GroupCommit::Start(Time aNow, GroupCommitEffects& aEffects)
{
  if (!m_toRead.empty()) {
    aEffects.m_read = StartRead();
  } else if (!m_queue.empty()) {
    aEffects.m_commit = StartCommit();
  } else {
    return;
  }
  m_busy = true;
  m_nextStart = aNow + Pause();
}

ReadBatch
GroupCommit::StartRead()
{
  ReadBatch batch{ ++m_operation, {} };
  while (!m_toRead.empty() && m_batch.size() < m_options.m_maxBatch) {
    const RecordId record = m_toRead.front();
    m_toRead.pop_front();
    m_batch.push_back(record);
    const RecordWrite& write = m_records.at(record).m_write;
    batch.m_read.m_keys.push_back(write.m_key);
    for (const Check& check : write.m_also) {
      batch.m_read.m_keys.push_back(check.m_key);
    }
  }
  return batch;
}

/// Adds the rows of a record to those of a transaction; false, with nothing
/// added, if it needs a transaction of its own: a row may be written by one
/// record only, and not be checked by another. Several records may check the
/// same version of a row.
bool
GroupCommit::TakeKeys(
  const RecordWrite& aWrite,
  std::unordered_set<std::string>& aWritten,
  std::unordered_map<std::string, RowVersion>& aChecked) const
{
  std::vector<std::string> writes{ aWrite.m_key };
  if (aWrite.m_second) {
    writes.push_back(aWrite.m_second->m_key);
  }
  const bool writable = std::ranges::none_of(writes, [&](const auto& aKey) {
    return aWritten.contains(aKey) || aChecked.contains(aKey);
  });
  const bool checkable =
    std::ranges::all_of(aWrite.m_also, [&](const Check& aCheck) {
      const auto other = aChecked.find(aCheck.m_key);
      return !aWritten.contains(aCheck.m_key) &&
             (other == aChecked.end() || other->second == aCheck.m_version);
    });
  if (!writable || !checkable) {
    return false;
  }
  aWritten.insert(writes.begin(), writes.end());
  for (const Check& check : aWrite.m_also) {
    aChecked.emplace(check.m_key, check.m_version);
  }
  return true;
}

CommitBatch
GroupCommit::StartCommit()
{
  CommitBatch batch{ ++m_operation, {} };
  Commit& commit = batch.m_commit;
  std::unordered_set<std::string> written;
  std::unordered_map<std::string, RowVersion> checked;
  std::deque<RecordId> sameKey;
  while (!m_queue.empty() && m_batch.size() < m_options.m_maxBatch) {
    const RecordId record = m_queue.front();
    m_queue.pop_front();
    const RecordWrite& write = m_records.at(record).m_write;
    if (!TakeKeys(write, written, checked)) {
      sameKey.push_back(record);
      continue;
    }
    m_batch.push_back(record);
    if (write.m_expected) {
      commit.m_checks.push_back({ write.m_key, *write.m_expected });
    }
    if (write.m_value) {
      commit.m_puts.push_back({ write.m_key, *write.m_value });
    } else {
      commit.m_deletes.push_back(write.m_key);
    }
    if (write.m_second) {
      commit.m_puts.push_back(*write.m_second);
    }
  }
  for (const auto& [key, version] : checked) {
    commit.m_checks.push_back({ key, version });
  }
  m_queue.insert(m_queue.begin(), sameKey.begin(), sameKey.end());
  return batch;
}

std::optional<Time>
GroupCommit::NextWakeup() const
{
  if (m_records.empty()) {
    return std::nullopt;
  }
  const bool waiting = !m_queue.empty() || !m_toRead.empty();
  if (m_busy || !waiting) {
    return m_earliestDeadline;
  }
  return std::min(m_nextStart, m_earliestDeadline);
}

} // namespace lacewing::table
