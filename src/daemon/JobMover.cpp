#include "daemon/JobMover.h"

#include "core/TryDecode.h"

namespace lacewing::daemon {

namespace {

/// A write that was not sent by then is sent again.
constexpr Duration kWriteDeadline = seconds(10);
constexpr Duration kRetryDelay = milliseconds(300);

} // namespace

JobMover::JobMover(RowAccess aAccess,
                   std::shared_ptr<JobStore> aStore,
                   MoveHooks aHooks)
  : m_access(std::move(aAccess))
  , m_store(std::move(aStore))
  , m_hooks(std::move(aHooks))
{
}

bool
JobMover::Begin(const JobId& aJob, const SliceId& aTo)
{
  const auto ownerCheck = m_hooks.m_ownerCheck();
  if (!ownerCheck) {
    return false;
  }
  auto prepared = m_store->BeginMove(aJob, aTo);
  if (!prepared) {
    return false;
  }
  // The next owner of the slice may have read the job and started it.
  prepared->m_write.m_also.push_back(*ownerCheck);
  m_moves[aJob] = Move{ std::move(*prepared), aTo };
  m_hooks.m_onUnderWay(1);
  Write(aJob);
  return true;
}

bool
JobMover::Cancel(const JobId& aJob)
{
  const auto move = m_moves.find(aJob);
  if (move == m_moves.end()) {
    return false;
  }
  move->second.m_cancel = true;
  return true;
}

void
JobMover::Write(const JobId& aJob)
{
  table::RecordWrite write = m_moves.at(aJob).m_prepared.m_write;
  write.m_deadline = m_access.m_now() + kWriteDeadline;
  m_access.m_write(
    std::move(write),
    [self = shared_from_this(), aJob](const table::RecordResult& aResult) {
      self->OnWritten(aJob, aResult);
    });
}

void
JobMover::OnWritten(const JobId& aJob, const table::RecordResult& aResult)
{
  Move& move = m_moves.at(aJob);
  switch (aResult.m_state) {
    case table::CommitState::Committed: {
      // The row that was written is the tombstone.
      const auto tombstone = TryDecode<jobs::JobRecord>([&] {
        return jobs::DecodeRecord(aJob, *move.m_prepared.m_write.m_value);
      });
      TakeTombstone(*tombstone, aResult.m_version);
      return;
    }
    case table::CommitState::Conflict:
      Reread(aJob);
      return;
    case table::CommitState::NotApplied:
      // The job's row may be read and fenced, as after a conflict, unless the
      // table is down; then it is tried until that is over.
      Retry(aJob, move.m_uncertain ? &JobMover::Write : &JobMover::Reread);
      return;
    case table::CommitState::Unknown:
      // The same write once more: it takes effect at most once, since it
      // checks the version of the row that it replaces.
      move.m_uncertain = true;
      Retry(aJob, &JobMover::Write);
      return;
  }
}

void
JobMover::Reread(const JobId& aJob)
{
  table::Read read;
  read.m_keys.push_back(m_store->RowOf(aJob));
  m_access.m_fetch(
    read, [self = shared_from_this(), aJob](const table::ReadResult& aResult) {
      self->OnReread(aJob, aResult);
    });
}

void
JobMover::OnReread(const JobId& aJob, const table::ReadResult& aResult)
{
  if (!aResult.m_ok) {
    Retry(aJob, &JobMover::Reread);
    return;
  }
  const auto row = aResult.m_rows.find(m_store->RowOf(aJob));
  const auto record =
    row == aResult.m_rows.end()
      ? std::nullopt
      : TryDecode<jobs::JobRecord>(
          [&] { return jobs::DecodeRecord(aJob, row->second.m_value); });
  if (record && record->m_ending == jobs::JobEnding::Moved) {
    TakeTombstone(*record, row->second.m_version);
    return;
  }
  if (!record || !m_hooks.m_ownerCheck()) {
    // The row is gone, or another owner decides about the job.
    Take(aJob);
    m_store->DropMove(aJob);
    return;
  }
  Fence(*record, row->second.m_version);
}

/// Writes the open row anew, so that no transaction of the move that is still
/// under way can take effect after the job is put back.
void
JobMover::Fence(const jobs::JobRecord& aRow, RowVersion aVersion)
{
  jobs::JobRecord fenced = aRow;
  fenced.m_nonce = m_store->NextNonce();
  table::RecordWrite write;
  write.m_key = m_store->RowOf(aRow.m_id);
  write.m_expected = aVersion;
  write.m_value = jobs::EncodeRecord(fenced);
  write.m_also = { *m_hooks.m_ownerCheck() };
  write.m_deadline = m_access.m_now() + kWriteDeadline;
  m_access.m_write(
    std::move(write),
    [self = shared_from_this(), fenced](const table::RecordResult& aResult) {
      if (aResult.m_state != table::CommitState::Committed) {
        self->Retry(fenced.m_id, &JobMover::Reread);
        return;
      }
      const Move move = self->Take(fenced.m_id);
      self->m_store->EndMove(fenced, aResult.m_version);
      self->m_hooks.m_putBack(fenced, move.m_cancel);
    });
}

void
JobMover::TakeTombstone(const jobs::JobRecord& aRow, RowVersion aVersion)
{
  const Move move = Take(aRow.m_id);
  m_store->EndMove(aRow, aVersion);
  // A later owner of the slice announces its own moves.
  if (aRow.m_nonce == move.m_prepared.m_moved.m_nonce) {
    m_hooks.m_onMoved(
      { move.m_prepared.m_moved, aVersion, move.m_to, move.m_cancel });
  }
}

JobMover::Move
JobMover::Take(const JobId& aJob)
{
  Move move = std::move(m_moves.extract(aJob).mapped());
  m_hooks.m_onUnderWay(-1);
  return move;
}

void
JobMover::Retry(const JobId& aJob, void (JobMover::*aStep)(const JobId&))
{
  m_access.m_after(kRetryDelay, [self = shared_from_this(), aJob, aStep] {
    (*self.*aStep)(aJob);
  });
}

} // namespace lacewing::daemon
