#include "daemon/RequestExpiry.h"

#include "core/TryDecode.h"
#include "jobs/JobRecord.h"
#include "routing/AtMostOnce.h"

#include <algorithm>
#include <utility>

namespace lacewing::daemon {

namespace {

/// A delete that was not written by then is left to a later sweep.
constexpr Duration kDeleteDeadline = seconds(10);
/// Time until a read that failed is tried again.
constexpr Duration kRetryPause = seconds(5);

/// Prefixes of the rows of the share, in the order in which they are swept.
std::vector<std::string>
PrefixesOf(const SweepShare& aShare)
{
  std::vector<std::string> prefixes;
  for (const TeamId& team : aShare.m_teams) {
    prefixes.push_back(routing::RecordRow(team, ""));
    prefixes.push_back(jobs::SubmissionRow(team, ""));
  }
  std::ranges::sort(prefixes);
  return prefixes;
}

} // namespace

RequestExpiry::RequestExpiry(
  RowAccess aAccess,
  std::function<void(std::string_view aKind)> aOnDeleted)
  : m_access(std::move(aAccess))
  , m_onDeleted(std::move(aOnDeleted))
{
}

void
RequestExpiry::Tick(const SweepShare& aShare)
{
  if (!IsDue()) {
    return;
  }
  m_notes.Tick(m_access.m_now());
  m_pause = aShare.m_pause;
  if (!m_submissions.empty()) {
    ReadJobRows();
    return;
  }
  if (IsPassOver(aShare)) {
    m_prefix.clear();
    m_notes.NoteNow(m_access.m_now());
    m_nextStep = m_access.m_now() + aShare.m_passPause;
    return;
  }
  if ((m_pages.Done() || !IsInShare(aShare)) && !NextPrefix(aShare)) {
    m_nextStep = m_access.m_now() + m_pause;
    return;
  }
  ReadPage();
}

bool
RequestExpiry::IsDue() const
{
  return m_open == 0 && m_access.m_now() >= m_nextStep;
}

bool
RequestExpiry::IsInShare(const SweepShare& aShare) const
{
  return std::ranges::count(PrefixesOf(aShare), m_prefix) > 0;
}

bool
RequestExpiry::IsPassOver(const SweepShare& aShare) const
{
  return !m_prefix.empty() && m_pages.Done() &&
         std::ranges::none_of(
           PrefixesOf(aShare),
           [&](const std::string& aPrefix) { return aPrefix > m_prefix; });
}

bool
RequestExpiry::NextPrefix(const SweepShare& aShare)
{
  const auto prefixes = PrefixesOf(aShare);
  if (prefixes.empty()) {
    return false;
  }
  const auto next = std::ranges::upper_bound(prefixes, m_prefix);
  m_prefix = next == prefixes.end() ? prefixes.front() : *next;
  m_pages = table::PagedRead(m_prefix);
  return true;
}

void
RequestExpiry::ReadPage()
{
  BeginOperation();
  m_access.m_fetch(m_pages.Next(),
                   [weak = weak_from_this()](const table::ReadResult& aPage) {
                     if (const auto self = weak.lock()) {
                       self->OnPage(aPage);
                       self->EndOperation();
                     }
                   });
}

void
RequestExpiry::OnPage(const table::ReadResult& aPage)
{
  if (!aPage.m_ok) {
    m_pause = std::max(m_pause, kRetryPause);
    return;
  }
  m_pages.OnPage(aPage);
  std::size_t taken = 0;
  for (const auto& [key, row] : aPage.m_rows) {
    m_notes.OnVersion(row.m_version);
    taken += TakeRow(key, row) ? 1 : 0;
    if (taken == kSweepDeletes && key != aPage.m_rows.rbegin()->first) {
      m_pages.ContinueAfter(key);
      return;
    }
  }
}

bool
RequestExpiry::TakeRow(const std::string& aKey, const table::Row& aRow)
{
  return aKey.starts_with("request/") ? TakeRequest(aKey, aRow)
                                      : TakeSubmission(aKey, aRow);
}

bool
RequestExpiry::TakeRequest(const std::string& aKey, const table::Row& aRow)
{
  const auto record = TryDecode<routing::RequestRecord>(
    [&] { return routing::DecodeRecord(aRow.m_value); });
  if (!record ||
      !HasExpired(m_access.m_wallMicros(),
                  record->m_writtenMicros,
                  record->m_answer ? kRequestRetention : kUnansweredRetention,
                  aRow.m_version,
                  m_notes.Unchanged(m_access.m_now()))) {
    return false;
  }
  table::RecordWrite write;
  write.m_key = aKey;
  write.m_expected = aRow.m_version;
  Delete(std::move(write), "request");
  return true;
}

bool
RequestExpiry::TakeSubmission(const std::string& aKey, const table::Row& aRow)
{
  const auto written =
    TryDecode<std::int64_t>([&] { return jobs::SubmissionTime(aRow.m_value); });
  const auto job = TryDecode<jobs::JobRecord>(
    [&] { return jobs::DecodeSubmission(aRow.m_value); });
  if (!written || !job || jobs::SliceOf(job->m_id).empty() ||
      !HasExpired(m_access.m_wallMicros(),
                  *written,
                  kRequestRetention,
                  aRow.m_version,
                  m_notes.Unchanged(m_access.m_now()))) {
    return false;
  }
  m_submissions.push_back({ aKey, aRow.m_version, jobs::JobRow(job->m_id) });
  return true;
}

void
RequestExpiry::ReadJobRows()
{
  // Most submissions have a job. Without this read each of them would cost a
  // transaction that conflicts.
  table::Read read;
  for (const OldSubmission& submission : m_submissions) {
    read.m_keys.push_back(submission.m_jobRow);
  }
  BeginOperation();
  m_access.m_fetch(
    read,
    [weak = weak_from_this(), submissions = std::exchange(m_submissions, {})](
      const table::ReadResult& aRead) {
      if (const auto self = weak.lock()) {
        self->OnJobRows(submissions, aRead);
        self->EndOperation();
      }
    });
}

void
RequestExpiry::OnJobRows(const std::vector<OldSubmission>& aSubmissions,
                         const table::ReadResult& aRead)
{
  if (!aRead.m_ok) {
    // The next sweep finds these submissions again.
    m_pause = std::max(m_pause, kRetryPause);
    return;
  }
  for (const OldSubmission& submission : aSubmissions) {
    if (aRead.m_rows.contains(submission.m_jobRow)) {
      continue;
    }
    table::RecordWrite write;
    write.m_key = submission.m_row;
    write.m_expected = submission.m_version;
    // A front may write the job's row meanwhile. Without the submission, a
    // repeat would become a second job.
    write.m_also = { { submission.m_jobRow, 0 } };
    Delete(std::move(write), "submission");
  }
}

void
RequestExpiry::Delete(table::RecordWrite aWrite, std::string_view aKind)
{
  aWrite.m_deadline = m_access.m_now() + kDeleteDeadline;
  BeginOperation();
  m_access.m_write(
    std::move(aWrite),
    [weak = weak_from_this(), aKind](const table::RecordResult& aResult) {
      if (const auto self = weak.lock()) {
        if (aResult.m_state == table::CommitState::Committed) {
          self->m_onDeleted(aKind);
        }
        self->EndOperation();
      }
    });
}

void
RequestExpiry::BeginOperation()
{
  ++m_open;
}

void
RequestExpiry::EndOperation()
{
  --m_open;
  m_nextStep = m_access.m_now() + m_pause;
}

} // namespace lacewing::daemon
