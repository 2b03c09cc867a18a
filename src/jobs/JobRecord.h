/// The durable row of a job, `job/<slice>/<id>`, and the row
/// `submission/<team>/<idempotency key>` that names the job of a submission.
#pragma once

#include "caller/JobSpec.h"
#include "core/EnumNames.h"
#include "core/Verdict.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewing::jobs {

/// How a job ended; `Open` while it has not.
enum class JobEnding : std::uint8_t
{
  Open,
  Succeeded,
  Failed,
  MayHaveRun, ///< a task that must not run twice was lost
  Cancelled,
  Moved, ///< the job goes on under another slice; its row here is a tombstone
};

struct JobRecord
{
  JobId m_id;
  TeamId m_team;
  caller::JobSpec m_spec;
  JobEnding m_ending = JobEnding::Open;
  /// Cancellation was asked for; the job ends when its tasks have stopped.
  bool m_cancelRequested = false;
  /// Tasks with a `started` mark, written before an at-most-once start.
  std::set<std::uint32_t> m_marked;
  std::set<std::uint32_t> m_succeeded;
  /// Time of day of the end in microseconds since 1970; 0 while it is open.
  std::int64_t m_endedMicros = 0;
  /// Row of the submission, empty if it had no idempotency key. Nothing in rows
  /// of former versions, which did not name it: they are never deleted.
  std::optional<std::string> m_submission = "";
  /// Slices that the job has left, the one that accepted it first.
  std::vector<SliceId> m_movedFrom;
  /// Slice that has the job's row now; empty unless the ending is `Moved`.
  SliceId m_movedTo;
  std::string m_nonce; ///< of the last write

  bool operator==(const JobRecord&) const = default;
};

/// True if the rows of the job may be deleted some time after its end. A job
/// that may have run is kept until its team has decided about it.
bool
MayExpire(const JobRecord& aRecord);

/// True if tasks of the job run, wait, or may run again by a decision of its
/// team, so that the next owner must take it over.
bool
MayStillRun(const JobRecord& aRecord);

/// Key of the job's row in the slice that accepted it, with which the id
/// begins.
std::string
JobRow(const JobId& aJob);
/// Key of the job's row in a slice, to which it may have moved.
std::string
JobRow(const SliceId& aSlice, const JobId& aJob);
/// Prefix of the rows of all jobs of a slice.
std::string
JobRowPrefix(const SliceId& aSlice);
std::string
SubmissionRow(const TeamId& aTeam, const std::string& aIdempotencyKey);
/// True for the key of a submission's row of the team.
bool
IsSubmissionRow(const TeamId& aTeam, const std::string& aKey);

/// A new id in the slice; `aRandom` makes it unique.
JobId
MakeJobId(const SliceId& aSlice, std::uint64_t aRandom);
/// The slice in a job's id, which accepted the job; empty if the id is
/// malformed.
SliceId
SliceOf(const JobId& aJob);

/// The row of a job that has moved is short: it has neither the job nor its
/// marks.
std::string
EncodeRecord(const JobRecord& aRecord);
/// Errors: `Internal` with what is wrong in the row.
Result<JobRecord>
DecodeRecord(const JobId& aJob, const std::string& aText);

/// The row of a submission: the record of the job as it was first written, and
/// the time of day of that in microseconds since 1970.
std::string
EncodeSubmission(const JobRecord& aRecord, std::int64_t aWrittenMicros);
/// Errors: `Internal` if the row is malformed.
Result<JobRecord>
DecodeSubmission(const std::string& aText);
/// Time of day in a submission's row; 0 if a former version wrote it. Errors:
/// `Internal` if the row is malformed.
Result<std::int64_t>
SubmissionTime(const std::string& aText);

} // namespace lacewing::jobs

template<>
struct lacewing::EnumNames<lacewing::jobs::JobEnding>
{
  using Ending = lacewing::jobs::JobEnding;
  static constexpr std::array kTable = {
    std::pair{ Ending::Open, std::string_view("open") },
    std::pair{ Ending::Succeeded, std::string_view("succeeded") },
    std::pair{ Ending::Failed, std::string_view("failed") },
    std::pair{ Ending::MayHaveRun, std::string_view("may_have_run") },
    std::pair{ Ending::Cancelled, std::string_view("cancelled") },
    std::pair{ Ending::Moved, std::string_view("moved") },
  };
};
