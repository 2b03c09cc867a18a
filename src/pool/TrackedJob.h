/// What the leader knows about one job: its tasks, the workers that may run its
/// steps, and what of it is stored.
#pragma once

#include "pool/FailureEvidence.h"
#include "pool/Job.h"
#include "pool/JobRows.h"
#include "pool/PoolConfig.h"
#include "pool/RuntimeModel.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewing::pool {

enum class TaskState : std::uint8_t
{
  Waiting,
  Placed, ///< start sent, or running
  Done,
};

struct TaskRecord
{
  TaskState m_state = TaskState::Waiting;
  std::vector<RunNumber>
    m_failedRuns; ///< those of a gang are kept at its first task
  std::string m_checkpoint;
  WorkerId m_worker;      ///< of the present run, if placed
  RunNumber m_run = 0;    ///< of the latest run known
  WorkerId m_lastFailure; ///< worker on which it failed last
  /// It may run on a worker that has not reported to this leader yet.
  bool m_mayRunUnreported = false;
  /// Runs besides the placed one that workers have reported and that are being
  /// stopped.
  int m_surplusRuns = 0;

  /// True if a run of it can start without another one beside it.
  bool MayStart() const
  {
    return m_state == TaskState::Waiting && !m_mayRunUnreported &&
           m_surplusRuns == 0;
  }
};

/// Permission of the policy service to run a step on a worker.
struct Ticket
{
  WorkerSlot m_worker = 0;
  std::string m_text;
  Time m_until{};
};

struct StepRecord
{
  std::vector<TaskRecord> m_tasks;
  std::size_t m_done = 0;
  std::size_t m_placed = 0;
  std::vector<Ticket> m_tickets; ///< of workers that may run the step
  std::vector<bool> m_asked;     ///< workers the service has decided on
  bool m_adviceOpen = false;     ///< an advice request is in flight
  Time m_requestedAt{};          ///< when the last one was sent
  Time m_answeredAt{};           ///< when the last one was answered
  bool m_lacksCapacity =
    false; ///< its permitted workers had too little at the last attempt
  /// The next plan considers it: its permissions have changed, or it could not
  /// ask for more of them yet.
  bool m_inNextPlan = false;
  Time m_consideredAt{}; ///< by the last plan that looked at it
  StepFailures m_failures;
  /// Since then all room that it could use is kept for gangs.
  std::optional<Time> m_blockedSince;
  /// A gang: when room was first kept for it.
  std::optional<Time> m_reservedSince;
  bool m_reportedTooLarge = false; ///< as larger than all usable workers

  std::size_t Waiting() const { return m_tasks.size() - m_done - m_placed; }
  /// Tasks that may be placed now, in the order in which they are. Of a step at
  /// fault these are few, and those with the most failures come first, so that
  /// its attempts are soon used up or a task is done.
  std::vector<std::uint32_t> TasksToPlace() const;
  bool WasAsked(WorkerSlot aWorker) const
  {
    return aWorker < m_asked.size() && m_asked[aWorker];
  }
  void SetAsked(WorkerSlot aWorker);
  /// Null if the worker is not permitted.
  Ticket* FindTicket(WorkerSlot aWorker);
};

/// An end of a run, which the worker reports until the end is stored.
struct EndRef
{
  WorkerId m_worker;
  std::int64_t m_incarnation = 0;
  std::uint64_t m_number = 0;
};

class TrackedJob
{
public:
  /// The queue's rule gives the objective; `aProgress` is what an earlier
  /// leader stored, if anything; `aRuntimes` is how long a task of each step is
  /// expected to take.
  TrackedJob(Job aJob,
             const QueueRule& aQueue,
             Time aAccepted,
             const JobProgress& aProgress,
             std::vector<ExpectedRuntime> aRuntimes);

  const Job& Spec() const { return m_job; }
  JobState State() const { return m_state; }
  bool IsOver() const { return IsFinal(m_state); }
  StepRecord& Step(std::uint32_t aStep) { return m_steps[aStep]; }
  const StepRecord& Step(std::uint32_t aStep) const { return m_steps[aStep]; }
  std::size_t Steps() const { return m_steps.size(); }
  TaskRecord& Task(const TaskRef& aTask)
  {
    return m_steps[aTask.m_step].m_tasks[aTask.m_index];
  }
  bool HasTask(const TaskRef& aTask) const;
  /// True if all steps before it are done and it is not.
  bool IsReady(std::uint32_t aStep) const;
  /// True once a task has been placed or is done.
  bool HasBegun() const;
  /// True while a task is placed.
  bool HasRunning() const;
  bool AllDone() const;
  /// True if no task of any step waits to be started.
  bool AllStarted() const;

  /// Latest time at which a step can start such that the job still ends within
  /// its objective, as far as the expected run times tell.
  Time LatestStart(std::uint32_t aStep) const;
  Time Accepted() const { return m_accepted; }
  /// How long a task of the step is expected to take on a worker of usual
  /// speed.
  const ExpectedRuntime& Expected(std::uint32_t aStep) const
  {
    return m_runtimes[aStep];
  }
  /// Three times the objective; users don't value work that ends later.
  Time LatestUsefulEnd() const { return m_latestUsefulEnd; }

  void SetState(JobState aState) { m_state = aState; }
  JobProgress Progress() const;

  std::vector<EndRef> m_unsavedEnds; ///< attached to the next stored progress
  bool m_dirty = false;              ///< progress differs from the stored one
  bool m_finalStateStored = false;   ///< the final state is stored
  /// Rule of its queue, which the scheduler keeps.
  const QueueRule* m_rule = nullptr;
  bool m_beyondShare = false; ///< submitted beyond the team's guaranteed rate
  Time m_endedAt{};           ///< when the final state was reached

private:
  /// Time from each step's start to the end of the job, if each step takes that
  /// part of its expected run time.
  std::vector<Duration> Chains(Duration ExpectedRuntime::*aPart) const;

  Job m_job;
  JobState m_state = JobState::Pending;
  std::vector<StepRecord> m_steps;
  std::vector<ExpectedRuntime> m_runtimes; ///< of one task of each step
  /// Time from each step's start that is mostly enough for the rest of the job.
  std::vector<Duration> m_chain;
  Time m_accepted{};
  Time m_objective{};
  Time m_latestUsefulEnd{};
};

} // namespace lacewing::pool
