/// What the leader's scheduler decides, and what it is told of the outcome.
#pragma once

#include "core/EnumNames.h"
#include "core/Time.h"
#include "pool/GivenUpRun.h"
#include "pool/Job.h"
#include "pool/SuspectWorker.h"
#include "pool/TrackedJob.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lacewing::pool {

struct StartTask
{
  WorkerId m_worker;
  TaskRef m_task;
  RunNumber m_run = 0;
  std::string m_payload;
  std::string m_checkpoint;
  std::string m_ticket;
};

/// Why a run is stopped.
enum class StopReason : std::uint8_t
{
  Cancelled,
  JobFailed,  ///< another task has used up its attempts
  GangBroken, ///< another member of its gang has ended or is lost
  Stuck,      ///< it makes no progress
  NotNeeded,  ///< an earlier run of the task was done
  Unknown, ///< the run is not needed: no such job, or its task runs elsewhere
  InDoubt, ///< its start was refused after an attempt without a response
};

struct StopTask
{
  WorkerId m_worker;
  TaskRef m_task;
  RunNumber m_run = 0;
  StopReason m_reason = StopReason::Unknown;
};

/// Asks the policy service which of the workers may run the step.
struct AdviceRequest
{
  JobId m_job;
  std::uint32_t m_step = 0;
  std::vector<WorkerId> m_workers;
  bool m_interactive = false;
};

/// A step that was found to fail wherever it runs.
struct FailingStep
{
  JobId m_job;
  std::uint32_t m_step = 0;
  std::size_t m_failing = 0; ///< workers on which its latest run has failed
  std::size_t m_sound = 0;   ///< workers on which it was done
};

/// A gang for which room is kept from now on.
struct WaitingGang
{
  JobId m_job;
  std::uint32_t m_step = 0;
  std::uint32_t m_members = 0;
  Duration m_startsIn{}; ///< until it is expected to start
  Duration m_slack{};    ///< until it is too late for its objective
};

/// A task that was started in room that is kept for a gang, since its job had
/// nothing running.
struct PassedGang
{
  JobId m_job; ///< of the task
  std::uint32_t m_step = 0;
  Duration m_blocked{}; ///< for how long only kept room was free
};

struct Actions
{
  std::vector<StartTask> m_starts;
  std::vector<StopTask> m_stops;
  std::vector<AdviceRequest> m_adviceRequests;
  /// Jobs that run on workers and are not known here; to be looked up.
  std::vector<JobId> m_lookups;
  /// Their failures do not count against workers.
  std::vector<FailingStep> m_failingSteps;
  /// Jobs with a gang that does not fit on all usable workers together, even if
  /// they were empty. No capacity is reserved for it.
  std::vector<JobId> m_tooLargeJobs;
  std::vector<WaitingGang> m_waitingGangs;
  std::vector<PassedGang> m_passedGangs;
  /// Runs that were given up since the last plan.
  std::vector<GivenUpRun> m_givenUp;
  /// Workers that became suspect since the last plan, or stay so.
  std::vector<SuspectWorker> m_suspects;
  std::size_t m_considered = 0; ///< steps
};

enum class StartOutcome : std::uint8_t
{
  Started,
  NotSent,       ///< the worker was not reached
  Refused,       ///< the worker is unhealthy; nothing was done
  NoRoom,        ///< the runs on the worker leave too few resources
  TicketInvalid, ///< the policy service's ticket has expired
  TooLate,       ///< the lease in the command had expired
  OldRun,        ///< a later run ended or was stopped there
  Unknown,       ///< no response; the start may still take effect
};

struct Permission
{
  WorkerId m_worker;
  std::string m_ticket;
};

/// Counts for metrics and log lines.
struct PoolCounts
{
  std::size_t m_workers = 0;      ///< that can take tasks
  std::size_t m_running = 0;      ///< runs on workers
  std::size_t m_waitingTasks = 0; ///< of steps that are ready
  std::size_t m_openJobs = 0;     ///< not over
  std::int64_t m_usedMillicores = 0;
  /// Age of the oldest job of which a ready step has waiting tasks.
  Duration m_oldestWaiting{};
  /// Longest time for which no plan has considered such a step.
  Duration m_longestTurn{};
};

/// What a leader's row says about workers on which its tasks may run.
struct RecordedWorkers
{
  std::vector<WorkerId> m_workers; ///< any task may run there
  std::vector<CordonedWorker> m_cordoned;

  bool operator==(const RecordedWorkers&) const = default;
};

/// How a job became known to the leader.
enum class JobOrigin : std::uint8_t
{
  Accepted, ///< by a daemon, since this leadership began
  Unseen,   ///< stored before, but known to no earlier leader
  Loaded,   ///< an earlier leader may have started its tasks
};

} // namespace lacewing::pool

template<>
struct lacewing::EnumNames<lacewing::pool::StopReason>
{
  using Reason = lacewing::pool::StopReason;
  static constexpr std::array kTable = {
    std::pair{ Reason::Cancelled, std::string_view("cancelled") },
    std::pair{ Reason::JobFailed, std::string_view("job_failed") },
    std::pair{ Reason::GangBroken, std::string_view("gang_broken") },
    std::pair{ Reason::Stuck, std::string_view("stuck") },
    std::pair{ Reason::NotNeeded, std::string_view("not_needed") },
    std::pair{ Reason::Unknown, std::string_view("unknown") },
    std::pair{ Reason::InDoubt, std::string_view("in_doubt") },
  };
};

template<>
struct lacewing::EnumNames<lacewing::pool::StartOutcome>
{
  using Outcome = lacewing::pool::StartOutcome;
  static constexpr std::array kTable = {
    std::pair{ Outcome::Started, std::string_view("started") },
    std::pair{ Outcome::NotSent, std::string_view("not_sent") },
    std::pair{ Outcome::Refused, std::string_view("refused") },
    std::pair{ Outcome::NoRoom, std::string_view("no_room") },
    std::pair{ Outcome::TicketInvalid, std::string_view("ticket_invalid") },
    std::pair{ Outcome::TooLate, std::string_view("too_late") },
    std::pair{ Outcome::OldRun, std::string_view("old_run") },
    std::pair{ Outcome::Unknown, std::string_view("unknown") },
  };
};
