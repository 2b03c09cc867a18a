#include "daemon/JobStore.h"

#include "core/TryDecode.h"

#include <algorithm>
#include <charconv>

namespace lacewing::daemon {

namespace {

/// A record that was not written by then is read again.
constexpr Duration kWriteDeadline = seconds(10);
constexpr Duration kRetryDelay = milliseconds(300);
/// Entries looked at in one search for expired jobs, which bounds its time.
constexpr std::size_t kExpiryScan = 2000;

/// Adds what another row of the same job knows.
void
Merge(jobs::JobRecord& aRecord, const jobs::JobRecord& aOther)
{
  aRecord.m_marked.insert(aOther.m_marked.begin(), aOther.m_marked.end());
  aRecord.m_succeeded.insert(aOther.m_succeeded.begin(),
                             aOther.m_succeeded.end());
  aRecord.m_cancelRequested |= aOther.m_cancelRequested;
  if (aRecord.m_ending == jobs::JobEnding::Open) {
    aRecord.m_ending = aOther.m_ending;
    aRecord.m_endedMicros = aOther.m_endedMicros;
  }
}

std::optional<jobs::JobRecord>
DecodeOrNothing(const JobId& aJob, const std::string& aText)
{
  return TryDecode<jobs::JobRecord>(
    [&] { return jobs::DecodeRecord(aJob, aText); });
}

} // namespace

JobStore::JobStore(RowAccess aAccess,
                   SliceId aSlice,
                   const std::string& aProcess,
                   Epoch aEpoch)
  : m_access(std::move(aAccess))
  , m_slice(std::move(aSlice))
  , m_epoch(aEpoch)
  , m_noncePrefix(aProcess + "/" + std::to_string(aEpoch) + "/")
{
}

void
JobStore::Load(const Loaded& aLoaded, const Done& aDone)
{
  LoadPage(std::make_shared<Loading>(Loading{
    table::PagedRead(jobs::JobRowPrefix(m_slice)), {}, aLoaded, aDone }));
}

void
JobStore::LoadPage(const std::shared_ptr<Loading>& aLoading)
{
  m_access.m_fetch(
    aLoading->m_pages.Next(),
    [weak = weak_from_this(), aLoading](const table::ReadResult& aResult) {
      if (const auto self = weak.lock()) {
        self->OnPage(aLoading, aResult);
      }
    });
}

void
JobStore::OnPage(const std::shared_ptr<Loading>& aLoading,
                 const table::ReadResult& aPage)
{
  if (!aPage.m_ok) {
    aLoading->m_done(false);
    return;
  }
  for (const auto& [key, row] : aPage.m_rows) {
    TakeRow(key, row, *aLoading);
  }
  aLoading->m_pages.OnPage(aPage);
  if (!aLoading->m_pages.Done()) {
    LoadPage(aLoading);
    return;
  }
  // Rows to fence become known only now: after a page that fails, the next
  // load must find them unknown.
  std::vector<JobId> toFence;
  for (const auto& [record, version] : aLoading->m_toFence) {
    if (Add(record, version)) {
      toFence.push_back(record.m_id);
    }
  }
  Fence(toFence, aLoading->m_loaded, aLoading->m_done);
}

void
JobStore::TakeRow(const std::string& aKey,
                  const table::Row& aRow,
                  Loading& aLoading)
{
  const JobId job(aKey.substr(jobs::JobRowPrefix(m_slice).size()));
  if (m_entries.contains(job)) {
    return;
  }
  const auto record = DecodeOrNothing(job, aRow.m_value);
  if (!record) {
    m_access.m_onMalformed(job);
    return;
  }
  const bool mine = record->m_nonce.starts_with(m_noncePrefix);
  if (jobs::MayStillRun(*record) && record->m_spec.m_atMostOnce && !mine) {
    aLoading.m_toFence.emplace_back(*record, aRow.m_version);
    return;
  }
  Add(*record, aRow.m_version);
  aLoading.m_loaded(*record);
}

void
JobStore::Fence(const std::vector<JobId>& aJobs,
                const Loaded& aLoaded,
                const Done& aDone)
{
  // A former owner may still have the mark of a task under way. Writing the row
  // anew makes that write fail, so that the marks that were read are all.
  if (aJobs.empty()) {
    aDone(true);
    return;
  }
  const auto open = std::make_shared<std::size_t>(aJobs.size());
  const auto all = std::make_shared<bool>(true);
  for (const JobId& job : aJobs) {
    Entry& entry = m_entries.at(job);
    entry.m_fencing = true;
    Change(entry, [this, job, open, all, aLoaded, aDone](bool aDurable) {
      OnFenced(job, aDurable, aLoaded);
      *all = *all && aDurable;
      if (--*open == 0) {
        aDone(*all);
      }
    });
  }
}

void
JobStore::OnFenced(const JobId& aJob, bool aDurable, const Loaded& aLoaded)
{
  if (aDurable) {
    Entry& entry = m_entries.at(aJob);
    entry.m_fencing = false;
    // The record has the marks that a former owner wrote since the row was
    // read.
    aLoaded(entry.m_record);
    return;
  }
  // Known jobs are not read again, so this one must not stay known.
  Remove(aJob);
}

bool
JobStore::Add(const jobs::JobRecord& aRecord, RowVersion aVersion)
{
  Entry entry;
  entry.m_record = aRecord;
  entry.m_version = aVersion;
  if (aRecord.m_ending != jobs::JobEnding::Open) {
    entry.m_seenEnded = m_access.m_now();
  }
  return m_entries.try_emplace(aRecord.m_id, std::move(entry)).second;
}

const jobs::JobRecord*
JobStore::Find(const JobId& aJob) const
{
  const auto found = m_entries.find(aJob);
  return found == m_entries.end() ? nullptr : &found->second.m_record;
}

void
JobStore::Mark(const TaskId& aTask, Done aDone)
{
  const auto found = m_entries.find(aTask.m_job);
  if (found == m_entries.end()) {
    aDone(false);
    return;
  }
  found->second.m_record.m_marked.insert(aTask.m_index);
  Change(found->second, std::move(aDone));
}

void
JobStore::Succeed(const TaskId& aTask, Done aDone)
{
  const auto found = m_entries.find(aTask.m_job);
  if (found == m_entries.end()) {
    aDone(true);
    return;
  }
  found->second.m_record.m_succeeded.insert(aTask.m_index);
  Change(found->second, std::move(aDone));
}

void
JobStore::End(const JobId& aJob, jobs::JobEnding aEnding, Done aDone)
{
  const auto found = m_entries.find(aJob);
  if (found == m_entries.end()) {
    aDone(true);
    return;
  }
  found->second.m_record.m_ending = aEnding;
  found->second.m_record.m_endedMicros = m_access.m_wallMicros();
  found->second.m_seenEnded = m_access.m_now();
  Change(found->second, std::move(aDone));
}

void
JobStore::Reopen(const JobId& aJob, Done aDone)
{
  const auto found = m_entries.find(aJob);
  if (found == m_entries.end()) {
    aDone(true);
    return;
  }
  found->second.m_record.m_ending = jobs::JobEnding::Open;
  found->second.m_record.m_endedMicros = 0;
  found->second.m_seenEnded = Time::max();
  Change(found->second, std::move(aDone));
}

void
JobStore::RequestCancel(const JobId& aJob, Done aDone)
{
  const auto found = m_entries.find(aJob);
  if (found == m_entries.end()) {
    aDone(true);
    return;
  }
  found->second.m_record.m_cancelRequested = true;
  Change(found->second, std::move(aDone));
}

void
JobStore::Change(Entry& aEntry, Done aDone)
{
  aEntry.m_next.push_back(std::move(aDone));
  if (!aEntry.m_busy) {
    Write(aEntry.m_record.m_id);
  }
}

void
JobStore::Write(const JobId& aJob)
{
  Entry& entry = m_entries.at(aJob);
  entry.m_busy = true;
  entry.m_inWrite.insert(
    entry.m_inWrite.end(), entry.m_next.begin(), entry.m_next.end());
  entry.m_next.clear();
  entry.m_record.m_nonce = NextNonce();
  table::RecordWrite write;
  write.m_key = RowOf(aJob);
  write.m_expected = entry.m_version;
  write.m_value = jobs::EncodeRecord(entry.m_record);
  write.m_deadline = m_access.m_now() + kWriteDeadline;
  m_access.m_write(
    std::move(write),
    [weak = weak_from_this(), aJob](const table::RecordResult& aResult) {
      if (const auto self = weak.lock()) {
        self->OnWritten(aJob, aResult);
      }
    });
}

void
JobStore::OnWritten(const JobId& aJob, const table::RecordResult& aResult)
{
  switch (aResult.m_state) {
    case table::CommitState::Committed:
      m_entries.at(aJob).m_version = aResult.m_version;
      Finish(aJob, true);
      return;
    case table::CommitState::NotApplied:
      Retry([this, aJob] { Write(aJob); });
      return;
    case table::CommitState::Conflict:
    case table::CommitState::Unknown:
      Retry([this, aJob] { Reread(aJob); });
      return;
  }
}

void
JobStore::Reread(const JobId& aJob)
{
  table::Read read;
  read.m_keys.push_back(RowOf(aJob));
  m_access.m_fetch(
    read, [weak = weak_from_this(), aJob](const table::ReadResult& aResult) {
      if (const auto self = weak.lock()) {
        self->OnReread(aJob, aResult);
      }
    });
}

void
JobStore::OnReread(const JobId& aJob, const table::ReadResult& aResult)
{
  if (!aResult.m_ok) {
    Retry([this, aJob] { Reread(aJob); });
    return;
  }
  const auto row = aResult.m_rows.find(RowOf(aJob));
  const auto found = row == aResult.m_rows.end()
                       ? std::nullopt
                       : DecodeOrNothing(aJob, row->second.m_value);
  Entry& entry = m_entries.at(aJob);
  if (!found) {
    Finish(aJob, false);
    return;
  }
  if (found->m_nonce == entry.m_record.m_nonce) {
    entry.m_version = row->second.m_version;
    Finish(aJob, true);
    return;
  }
  if (found->m_ending == jobs::JobEnding::Moved) {
    // A later owner has moved the job; its tombstone must stay.
    entry.m_record = *found;
    entry.m_version = row->second.m_version;
    entry.m_seenEnded = m_access.m_now();
    Finish(aJob, false);
    return;
  }
  const bool mine = found->m_nonce.starts_with(m_noncePrefix);
  // A row that is being fenced may still be written by the former owner; its
  // marks are taken over. After that, and for a former owner that meets the
  // fence of a later one, the marks in the row decide.
  const bool mayTakeOver = entry.m_fencing && !IsOfLaterOwner(found->m_nonce);
  if (!mine && !mayTakeOver && entry.m_record.m_spec.m_atMostOnce &&
      row->second.m_version != entry.m_version) {
    Finish(aJob, false);
    return;
  }
  Merge(entry.m_record, *found);
  entry.m_version = row->second.m_version;
  Write(aJob);
}

/// True if the nonce, `<vm>/<incarnation>/<epoch>/<number>`, is that of an
/// owner with a higher epoch. A front writes a nonce of another form.
bool
JobStore::IsOfLaterOwner(const std::string& aNonce) const
{
  const auto last = aNonce.rfind('/');
  const auto before =
    last == std::string::npos || last == 0 ? last : aNonce.rfind('/', last - 1);
  if (before == std::string::npos || before == last) {
    return false;
  }
  Epoch epoch = 0;
  const char* const end = aNonce.data() + last;
  const auto parsed = std::from_chars(aNonce.data() + before + 1, end, epoch);
  return parsed.ec == std::errc() && parsed.ptr == end && epoch > m_epoch;
}

std::string
JobStore::RowOf(const JobId& aJob) const
{
  return jobs::JobRow(m_slice, aJob);
}

std::string
JobStore::NextNonce()
{
  return m_noncePrefix + std::to_string(++m_lastNonce);
}

std::optional<PreparedMove>
JobStore::BeginMove(const JobId& aJob, const SliceId& aTo)
{
  const auto found = m_entries.find(aJob);
  if (found == m_entries.end() || found->second.m_busy) {
    return std::nullopt;
  }
  Entry& entry = found->second;
  const jobs::JobRecord& record = entry.m_record;
  if (record.m_ending != jobs::JobEnding::Open || record.m_cancelRequested ||
      !record.m_marked.empty() || !record.m_succeeded.empty()) {
    return std::nullopt;
  }
  entry.m_busy = true;
  PreparedMove move{ {}, record };
  move.m_moved.m_nonce = NextNonce();
  move.m_moved.m_movedFrom.push_back(m_slice);
  jobs::JobRecord tombstone = move.m_moved;
  tombstone.m_ending = jobs::JobEnding::Moved;
  tombstone.m_movedTo = aTo;
  tombstone.m_endedMicros = m_access.m_wallMicros();
  const std::string newRow = jobs::JobRow(aTo, aJob);
  move.m_write.m_key = RowOf(aJob);
  move.m_write.m_expected = entry.m_version;
  move.m_write.m_value = jobs::EncodeRecord(tombstone);
  move.m_write.m_also = { { newRow, 0 } };
  move.m_write.m_second =
    table::Put{ newRow, jobs::EncodeRecord(move.m_moved) };
  return move;
}

void
JobStore::EndMove(const jobs::JobRecord& aRow, RowVersion aVersion)
{
  Entry& entry = m_entries.at(aRow.m_id);
  entry.m_record = aRow;
  entry.m_version = aVersion;
  if (aRow.m_ending != jobs::JobEnding::Open) {
    entry.m_seenEnded = m_access.m_now();
  }
  Finish(aRow.m_id, true);
}

void
JobStore::DropMove(const JobId& aJob)
{
  m_entries.at(aJob).m_busy = false;
  Remove(aJob);
}

std::vector<JobId>
JobStore::TakeExpired(Duration aRetention, Duration aMinSeen, std::size_t aMax)
{
  std::vector<JobId> expired;
  auto next = m_entries.upper_bound(m_expiryCursor);
  const std::size_t looks = std::min(kExpiryScan, m_entries.size());
  for (std::size_t i = 0; i < looks && expired.size() < aMax; ++i, ++next) {
    if (next == m_entries.end()) {
      next = m_entries.begin();
    }
    m_expiryCursor = next->first;
    if (HasExpired(next->second, aRetention, aMinSeen)) {
      expired.push_back(next->first);
    }
  }
  return expired;
}

bool
JobStore::HasExpired(const Entry& aEntry,
                     Duration aRetention,
                     Duration aMinSeen) const
{
  if (aEntry.m_busy || aEntry.m_seenEnded == Time::max() ||
      !jobs::MayExpire(aEntry.m_record)) {
    return false;
  }
  const Duration seen = m_access.m_now() - aEntry.m_seenEnded;
  const Duration byTimeOfDay(m_access.m_wallMicros() -
                             aEntry.m_record.m_endedMicros);
  const bool known = aEntry.m_record.m_endedMicros > 0;
  return seen >= aRetention ||
         (known && seen >= aMinSeen && byTimeOfDay >= aRetention);
}

void
JobStore::Remove(const JobId& aJob)
{
  const auto found = m_entries.find(aJob);
  if (found != m_entries.end() && !found->second.m_busy) {
    m_entries.erase(found);
  }
}

void
JobStore::Finish(const JobId& aJob, bool aDurable)
{
  Entry& entry = m_entries.at(aJob);
  entry.m_busy = false;
  const auto done = std::move(entry.m_inWrite);
  entry.m_inWrite.clear();
  if (!entry.m_next.empty()) {
    Write(aJob);
  }
  for (const Done& function : done) {
    function(aDurable);
  }
}

void
JobStore::Retry(std::function<void()> aFunction)
{
  m_access.m_after(kRetryDelay,
                   [weak = weak_from_this(), function = std::move(aFunction)] {
                     if (weak.lock()) {
                       function();
                     }
                   });
}

} // namespace lacewing::daemon
