/// Rows in which the entry daemons keep jobs, their progress and the leader of
/// the pool, and the keys of these rows.
///
/// A key has the form "table/part/key". All rows of one transaction lie in one
/// part. The leader's own rows share a part, so that each of its transactions
/// can check that it still leads. Jobs are spread over `kJobParts` parts, since
/// any entry daemon stores them and a part applies one transaction at a time.
#pragma once

#include "core/Verdict.h"
#include "pool/Job.h"

#include <map>
#include <string>
#include <vector>

namespace lacewing::pool {

inline constexpr const char* kJobTable = "jobs";
inline constexpr const char* kProgressTable = "progress";
/// Many, since a part applies its transactions one after another: when the
/// store is slow a part takes only a few a second.
inline constexpr int kJobParts = 64;

/// A job's row lies in one of two parts, so that jobs are taken while one part
/// of the store is down. Its row may stand in both; it is one job.
enum class JobLocation : std::uint8_t
{
  First,
  Second,
};

std::string
JobKey(const JobId& aJob, JobLocation aLocation);
/// Present, in either place, if the job has been cancelled.
std::string
CancelKey(const JobId& aJob, JobLocation aLocation);
/// Name of the part of a place.
std::string
JobPart(const JobId& aJob, JobLocation aLocation);
constexpr JobLocation
OtherLocation(JobLocation aLocation)
{
  return aLocation == JobLocation::First ? JobLocation::Second
                                         : JobLocation::First;
}
std::string
ProgressKey(const JobId& aJob);
std::string
LeaderKey();
/// Prefix of all job and cancellation keys of a part.
std::string
JobPartPrefix(int aPart);
std::string
ProgressPrefix();

/// What a key in the table of jobs stands for.
struct JobRowKey
{
  JobId m_job;
  bool m_cancellation = false;
};
JobRowKey
ParseJobRowKey(const std::string& aKey);

/// Progress of one task that is kept over a change of the leader.
struct TaskProgress
{
  bool m_done = false;
  /// Runs that ended as failed. A worker lists an end until the leader has
  /// confirmed it, so that a new leader may see one that is counted already.
  std::vector<std::uint64_t> m_failedRuns;
  std::string m_checkpoint;

  bool operator==(const TaskProgress&) const = default;
};

struct JobProgress
{
  JobState m_state = JobState::Pending;
  /// Step and index of the tasks that differ from a fresh one.
  std::map<std::pair<std::uint32_t, std::uint32_t>, TaskProgress> m_tasks;

  bool operator==(const JobProgress&) const = default;
};

struct LeaderRow
{
  std::string m_vm; ///< empty once the leader has resigned
  std::string m_address;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_term = 0; ///< fencing token of the leader at all workers
  /// Workers on which its tasks may run.
  std::vector<std::string> m_workers;

  bool operator==(const LeaderRow&) const = default;
};

std::string
EncodeJob(const Job& aJob);
std::string
EncodeProgress(const JobProgress& aProgress);
std::string
EncodeLeader(const LeaderRow& aRow);

/// Errors of all decoders: `BadInput` with what is wrong in the row.
Result<Job>
DecodeJob(const JobId& aId, const std::string& aRow);
Result<JobProgress>
DecodeProgress(const std::string& aRow);
Result<LeaderRow>
DecodeLeader(const std::string& aRow);

} // namespace lacewing::pool
