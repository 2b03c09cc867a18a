/// Rows in which the entry daemons keep jobs, their progress and the leader of
/// the pool, and the keys of these rows.
///
/// A key has the form "table/part/key". All rows of one transaction lie in one
/// part. The leader's own rows share a part, so that each of its transactions
/// can check that it is still the leader. Jobs are spread over `kJobParts`
/// parts, since any entry daemon stores them and a part applies one transaction
/// at a time.
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

/// A job's row lies in one of two parts, so that jobs are accepted while one
/// part of the store is down. Both parts may hold its row; they describe the
/// same job.
enum class JobLocation : std::uint8_t
{
  First,
  Second,
};

std::string
JobKey(const JobId& aJob, JobLocation aLocation);
/// Key of a row that exists, in either location, if the job has been cancelled.
std::string
CancelKey(const JobId& aJob, JobLocation aLocation);
/// Name of the part that a location stands for.
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
/// Key of the row with what leaders have learned about run times.
std::string
RuntimesKey();
/// Prefix of all job and cancellation keys of a part.
std::string
JobPartPrefix(int aPart);
std::string
ProgressPrefix();

/// Content of a key in the table of jobs.
struct JobRowKey
{
  JobId m_job;
  bool m_cancellation = false;
};
JobRowKey
ParseJobRowKey(const std::string& aKey);

/// Progress of one task that survives a change of the leader.
struct TaskProgress
{
  bool m_done = false;
  /// Runs that ended as failed. A worker reports an end until the leader has
  /// acknowledged it, so a new leader may receive one that is already counted;
  /// the run numbers identify it.
  std::vector<std::uint64_t> m_failedRuns;
  std::string m_checkpoint;

  bool operator==(const TaskProgress&) const = default;
};

/// Content of a cancellation's row.
struct Cancellation
{
  /// Wall clock of the daemon that received the request; 0 if not known.
  std::int64_t m_requestedUnixMs = 0;
};

struct JobProgress
{
  JobState m_state = JobState::Pending;
  /// Tasks that differ from a fresh one, by step and index.
  std::map<std::pair<std::uint32_t, std::uint32_t>, TaskProgress> m_tasks;

  bool operator==(const JobProgress&) const = default;
};

/// A worker to which its leader gives no new tasks: it drains, or has not
/// answered lately.
struct CordonedWorker
{
  WorkerId m_worker;
  std::vector<TaskRef> m_runs; ///< all that may go on there

  bool operator==(const CordonedWorker&) const = default;
};

/// Longest time by which a leader's row can extend the wait of its successors.
inline constexpr Duration kMaxRenewalGrace = seconds(4);

struct LeaderRow
{
  std::string m_vm; ///< empty once the leader has resigned
  std::string m_address;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_term = 0; ///< fencing token of the leader at all workers
  /// Workers on which any of its tasks may run.
  std::vector<WorkerId> m_workers;
  std::vector<CordonedWorker> m_cordoned = {};
  /// No leader before this one can send commands, and none of its leases is
  /// valid any more.
  bool m_settled = false;
  /// How much later than usual the leader may renew its row, since its
  /// processor is busy or it is still loading the jobs.
  Duration m_renewalGrace{};

  bool operator==(const LeaderRow&) const = default;
};

std::string
EncodeJob(const Job& aJob);
std::string
EncodeProgress(const JobProgress& aProgress);
std::string
EncodeLeader(const LeaderRow& aRow);
std::string
EncodeCancellation(const Cancellation& aCancellation);

/// Errors of all decoders: `BadInput`, with a description of what is wrong in
/// the row.
Result<Job>
DecodeJob(const JobId& aId, const std::string& aRow);
Result<JobProgress>
DecodeProgress(const std::string& aRow);
Result<LeaderRow>
DecodeLeader(const std::string& aRow);
/// A cancellation counts whatever its row holds: from a row that cannot be
/// decoded only the time is missing.
Cancellation
DecodeCancellation(const std::string& aRow);

} // namespace lacewing::pool
