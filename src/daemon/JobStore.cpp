#include "daemon/JobStore.h"

#include <algorithm>

namespace lacewing::daemon {

namespace {

/// A record that was not written by then is read again.
constexpr Duration kWriteDeadline = seconds(10);
constexpr Duration kRetryDelay = milliseconds(300);

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
  }
}

std::optional<jobs::JobRecord>
DecodeOrNothing(const JobId& aJob, const std::string& aText)
{
  std::optional<jobs::JobRecord> record;
  leaf::try_handle_all(
    [&]() -> Result<void> {
      BOOST_LEAF_ASSIGN(record, jobs::DecodeRecord(aJob, aText));
      return {};
    },
    [] {});
  return record;
}

} // namespace

JobStore::JobStore(Runtime& aRuntime, SliceId aSlice, Epoch aEpoch)
  : m_runtime(aRuntime)
  , m_slice(std::move(aSlice))
  , m_noncePrefix(aRuntime.Self().Value() + "/" +
                  std::to_string(aRuntime.ProcessIncarnation()) + "/" +
                  std::to_string(aEpoch) + "/")
{
}

void
JobStore::Load(const Loaded& aLoaded, const Done& aDone)
{
  table::Read read;
  read.m_prefixes.push_back(jobs::JobRowPrefix(m_slice));
  m_runtime.Table().Fetch("jobs",
                          read,
                          [weak = weak_from_this(), aLoaded, aDone](
                            const table::ReadResult& aResult) {
                            const auto self = weak.lock();
                            if (!self) {
                              return;
                            }
                            if (!aResult.m_ok) {
                              aDone(false);
                              return;
                            }
                            std::vector<JobId> toFence;
                            for (const auto& [key, row] : aResult.m_rows) {
                              self->TakeRow(key, row, aLoaded, toFence);
                            }
                            self->Fence(toFence, aDone);
                          });
}

void
JobStore::TakeRow(const std::string& aKey,
                  const table::Row& aRow,
                  const Loaded& aLoaded,
                  std::vector<JobId>& aToFence)
{
  const JobId job(aKey.substr(jobs::JobRowPrefix(m_slice).size()));
  if (m_entries.contains(job)) {
    return;
  }
  const auto record = DecodeOrNothing(job, aRow.m_value);
  if (!record) {
    m_runtime.Log().WriteOnChange("job_row/" + job.Value(),
                                  "malformed",
                                  settings::LogLevel::Error,
                                  "job_row_malformed",
                                  { { "job", job.Value() } });
    return;
  }
  Add(*record, aRow.m_version);
  const bool open = record->m_ending == jobs::JobEnding::Open;
  const bool mine = record->m_nonce.starts_with(m_noncePrefix);
  if (open && record->m_spec.m_atMostOnce && !mine) {
    aToFence.push_back(job);
  }
  aLoaded(*record);
}

void
JobStore::Fence(const std::vector<JobId>& aJobs, const Done& aDone)
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
    Change(m_entries.at(job), [open, all, aDone](bool aDurable) {
      *all = *all && aDurable;
      if (--*open == 0) {
        aDone(*all);
      }
    });
  }
}

bool
JobStore::Add(const jobs::JobRecord& aRecord, RowVersion aVersion)
{
  Entry entry;
  entry.m_record = aRecord;
  entry.m_version = aVersion;
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
  entry.m_record.m_nonce = m_noncePrefix + std::to_string(++m_lastNonce);
  table::RecordWrite write;
  write.m_key = jobs::JobRow(aJob);
  write.m_expected = entry.m_version;
  write.m_value = jobs::EncodeRecord(entry.m_record);
  write.m_deadline = net::Loop::Now() + kWriteDeadline;
  m_runtime.Table().WriteRecord(
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
  read.m_keys.push_back(jobs::JobRow(aJob));
  m_runtime.Table().Fetch(
    "jobs",
    read,
    [weak = weak_from_this(), aJob](const table::ReadResult& aResult) {
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
  const auto row = aResult.m_rows.find(jobs::JobRow(aJob));
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
  const bool mine = found->m_nonce.starts_with(m_noncePrefix);
  if (!mine && entry.m_record.m_spec.m_atMostOnce &&
      row->second.m_version != entry.m_version) {
    // Another owner has fenced the row; its marks decide from now on.
    Finish(aJob, false);
    return;
  }
  Merge(entry.m_record, *found);
  entry.m_version = row->second.m_version;
  Write(aJob);
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
  m_runtime.Loop().After(
    kRetryDelay, [weak = weak_from_this(), function = std::move(aFunction)] {
      if (weak.lock()) {
        function();
      }
    });
}

} // namespace lacewing::daemon
