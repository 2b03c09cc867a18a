/// Books of a slice: jobs, workers and teams, and what each task holds. Keeps
/// the sums per worker and per team; decides nothing.
#pragma once

#include "sched/FreeTable.h"
#include "sched/RunCheck.h"
#include "sched/SchedulerOptions.h"
#include "sched/TeamOrder.h"
#include "sched/TeamQueue.h"
#include "sched/WorkerHealth.h"
#include "worker/WorkerMessages.h"

#include <deque>
#include <unordered_map>

namespace lacewing::sched {

/// Why a job is not running.
enum class WaitReason : std::uint8_t
{
  None,
  NotYetConsidered,
  NoRoom,
  RoomBeingCleared,
  TeamAllotment,
  GangRoom,        ///< no room for the whole gang
  GangReservation, ///< the gang holds the reservation of the slice
  RetryWait,
};

/// A task by the indices of its job and within it.
struct TaskRef
{
  std::uint32_t m_job = kNone;
  std::uint32_t m_index = 0;

  bool operator==(const TaskRef&) const = default;
};

struct Task
{
  Time m_since{}; ///< start of the attempt, or time until a pledge is kept
  std::uint32_t m_worker = kNone;
  std::uint32_t m_workerPlace = kNone;  ///< in `Worker::m_tasks`
  std::uint32_t m_patientPlace = kNone; ///< in `Team::m_patient`
  std::uint32_t m_attempt = 0;
  std::uint32_t m_doneMs = 0;     ///< kept by checkpoints
  std::uint32_t m_millicores = 0; ///< held on the worker
  std::uint32_t m_memoryMib = 0;  ///< held on the worker
  TaskState m_state = TaskState::Pending;
  std::uint8_t m_failures = 0; ///< on healthy workers
  bool m_throttled = false;
  bool m_stopping = false; ///< a stop has been sent
  bool m_marked = false;   ///< the `started` mark is durable
  /// A former owner of the slice may have started it.
  bool m_mayHaveStarted = false;
};

struct Job
{
  JobSpec m_spec;
  std::uint32_t m_team = 0;
  std::uint64_t m_sequence = 0; ///< 0: the index is unused
  std::vector<Task> m_tasks;
  std::vector<std::uint32_t> m_pending; ///< indices, next one last
  std::uint32_t m_holding = 0;          ///< tasks that hold resources
  std::uint32_t m_marksMissing = 0;
  std::uint32_t m_succeeded = 0;
  std::uint32_t m_failed = 0;
  std::uint32_t m_mayHaveRun = 0;
  bool m_queued = false;
  bool m_cancelled = false;
  bool m_gaveUp = false;   ///< failed on too many workers
  bool m_reported = false; ///< its end has been handed out
  bool m_tearDown = false; ///< gang that lost a task; ends before it restarts
  WaitReason m_wait = WaitReason::NotYetConsidered;
  Time m_blockedSince = Time::max();
  Time m_notBefore = Time::min();
  Time m_submitted{};                    ///< when this slice got the job
  std::uint32_t m_learnedMemoryMib = 0;  ///< highest measured peak of a task
  std::vector<std::uint32_t> m_failedOn; ///< different, since a success
  /// Workers on which a task has failed; they get no probe task of the job, and
  /// no other one while another worker has room.
  std::vector<std::uint32_t> m_avoided;
  std::uint32_t m_failuresInRow = 0; ///< of its tasks, since a success
};

struct Worker
{
  WorkerSpec m_spec;
  bool m_present = false;
  bool m_suspect = false;
  bool m_heldForGang = false;
  bool m_cordoned = false; ///< leaves soon; takes no new tasks
  bool m_changed = false;  ///< the row of the free table is out of date
  std::uint32_t m_failedProbes = 0; ///< in a row
  Time m_nextProbe = Time::min();
  /// From then on, a job that has failed here can be a probe once more.
  Time m_nextRepeatedProbe = Time::min();
  std::uint32_t m_throttled = 0;
  Resources m_held;
  Resources m_pledged; ///< room promised to tasks that wait for it
  Resources m_service; ///< held by services, part of `m_held`
  std::vector<TaskRef> m_tasks;
  std::vector<worker::RunningTask> m_unclaimed; ///< tasks of unknown jobs
  WorkerHealth m_health;
};

struct Team
{
  TeamId m_id;
  double m_weight = 1;
  std::int64_t m_limit = kNoLimit;
  std::int64_t m_allotment = 0;
  std::int64_t m_running = 0; ///< declared millicores of tasks that hold some
  std::int64_t m_waiting = 0; ///< declared millicores of pending tasks
  Resources m_used;
  Resources m_leaving; ///< held by tasks that are being stopped
  TeamQueue m_queue;
  std::vector<TaskRef> m_patient; ///< running tasks that may be stopped
  Time m_aboveSince = Time::max();
};

class SliceState
{
public:
  std::uint32_t AddWorker(const WorkerSpec& aSpec);
  void DropWorker(std::uint32_t aWorker);
  void SetCapacity(std::uint32_t aWorker, const Resources& aCapacity);
  void SetCordoned(std::uint32_t aWorker, bool aCordoned);
  /// Number of present workers that take no new tasks because they leave.
  std::size_t CordonedCount() const;
  std::uint32_t FindWorker(const VmId& aId) const;
  std::uint32_t FindOrAddTeam(const TeamId& aId);
  std::uint32_t FindTeam(const TeamId& aId) const;
  std::uint32_t AddJob(const JobSpec& aSpec);
  /// Frees the index of the job. Its tasks must hold nothing.
  void DropJob(std::uint32_t aJob);
  std::uint32_t FindJob(const JobId& aId) const;

  Job& JobAt(std::uint32_t aJob) { return m_jobs[aJob]; }
  const Job& JobAt(std::uint32_t aJob) const { return m_jobs[aJob]; }
  Worker& WorkerAt(std::uint32_t aWorker) { return m_workers[aWorker]; }
  const Worker& WorkerAt(std::uint32_t aWorker) const
  {
    return m_workers[aWorker];
  }
  Team& TeamAt(std::uint32_t aTeam) { return m_teams[aTeam]; }
  const Team& TeamAt(std::uint32_t aTeam) const { return m_teams[aTeam]; }
  Task& TaskAt(TaskRef aRef)
  {
    return m_jobs[aRef.m_job].m_tasks[aRef.m_index];
  }
  const Task& TaskAt(TaskRef aRef) const
  {
    return m_jobs[aRef.m_job].m_tasks[aRef.m_index];
  }
  std::uint32_t WorkerCount() const
  {
    return static_cast<std::uint32_t>(m_workers.size());
  }
  std::uint32_t TeamCount() const
  {
    return static_cast<std::uint32_t>(m_teams.size());
  }
  std::size_t JobCount() const { return m_jobIndex.size(); }
  /// Upper bound of the indices of jobs; some are unused.
  std::uint32_t JobSlots() const
  {
    return static_cast<std::uint32_t>(m_jobs.size());
  }
  const Resources& Capacity() const { return m_table.Capacity(); }
  FreeTable& Table() { return m_table; }
  const FreeTable& Table() const { return m_table; }
  std::vector<const WorkerSpec*> PresentWorkers() const;
  /// Why the job can never run; by form and limit alone if the workers are not
  /// known yet.
  std::optional<NeverRunnable> WhyNever(const JobSpec& aSpec,
                                        bool aWorkersKnown) const;

  /// Resources of the worker that are neither held nor pledged; an amount is
  /// negative if measured sizes exceed it.
  Resources Free(std::uint32_t aWorker) const;
  /// Resources of the worker that are not held.
  Resources Unheld(std::uint32_t aWorker) const;
  /// What a pending task of the job is to hold.
  Resources NeedOf(const Job& aJob) const;
  Resources HeldBy(TaskRef aRef) const;

  /// Gives a task without a place its need on the worker.
  void Hold(TaskRef aRef, std::uint32_t aWorker, TaskState aState);
  /// Takes over a task that runs on the worker.
  void HoldRunning(Time aNow,
                   TaskRef aRef,
                   std::uint32_t aWorker,
                   const worker::RunningTask& aFound);
  /// Turns the pledge of a task into held resources.
  void Redeem(TaskRef aRef, TaskState aState);
  void BeginRunning(Time aNow, TaskRef aRef);
  /// Takes away all that the task holds.
  void Release(TaskRef aRef, TaskState aState);
  /// Changes the held processors and memory of a placed task.
  void Resize(TaskRef aRef, std::int64_t aMillicores, std::int64_t aMemoryMib);
  void SetStopping(TaskRef aRef);
  void SetThrottled(TaskRef aRef, bool aThrottled, double aPart);
  /// Later tasks of the job hold at least the measured peak, as far as some
  /// worker has that much.
  void LearnMemory(std::uint32_t aJob, std::int64_t aMemoryMib);
  void AddUnclaimed(std::uint32_t aWorker, const worker::RunningTask& aTask);
  /// Takes the task off the worker; false if it is not there.
  bool TakeUnclaimed(std::uint32_t aWorker, const TaskId& aTask);

  void AddPending(TaskRef aRef);
  /// Takes the task off the pending ones, and the job off its queue if it was
  /// the last one.
  void ErasePending(TaskRef aRef);
  /// Takes the next pending task of the job.
  std::uint32_t TakePending(std::uint32_t aJob);
  void Enqueue(std::uint32_t aJob);
  void Dequeue(std::uint32_t aJob);
  /// Forgets what is pending, in constant time; the entry in the queue stays
  /// behind. The caller marks the job as cancelled or failed.
  void AbandonPending(std::uint32_t aJob);

  void Touch(std::uint32_t aWorker);
  /// Brings the rows of changed workers up to date and passes their indices on.
  template<typename Function>
  void FlushChanged(Function aFunction)
  {
    for (const std::uint32_t worker : m_changed) {
      UpdateRow(worker);
      aFunction(worker);
    }
    m_changed.clear();
  }

private:
  struct Shape
  {
    Resources m_capacity;
    std::string m_accelerator;
    std::size_t m_workers = 0;
  };

  bool FitsSomeShape(const JobSpec& aSpec) const;
  void UpdateRow(std::uint32_t aWorker);
  void CountShape(const WorkerSpec& aSpec, bool aAdded);
  void AddToSums(TaskRef aRef, const Resources& aHeld);
  void TakeFromSums(TaskRef aRef, const Resources& aHeld);
  void Attach(TaskRef aRef, std::uint32_t aWorker);
  void Detach(TaskRef aRef);
  void ListPatient(TaskRef aRef);
  void UnlistPatient(TaskRef aRef);

  std::deque<Job> m_jobs;
  std::vector<std::uint32_t> m_freeJobs;
  std::unordered_map<JobId, std::uint32_t> m_jobIndex;
  std::uint64_t m_nextSequence = 1;
  std::deque<Worker> m_workers;
  std::vector<std::uint32_t> m_freeWorkers;
  std::unordered_map<VmId, std::uint32_t> m_workerIndex;
  std::deque<Team> m_teams;
  std::unordered_map<TeamId, std::uint32_t> m_teamIndex;
  std::vector<Shape> m_shapes; ///< different capacities of workers
  FreeTable m_table;
  std::vector<std::uint32_t> m_changed;
};

/// True if the tasks of the job may be stopped for other work. Stopping one
/// task of a gang would end them all, so gangs are left alone.
bool
IsPreemptible(const JobSpec& aSpec);

} // namespace lacewing::sched

template<>
struct lacewing::EnumNames<lacewing::sched::WaitReason>
{
  using Reason = lacewing::sched::WaitReason;
  static constexpr std::array kTable = {
    std::pair{ Reason::None, std::string_view("none") },
    std::pair{ Reason::NotYetConsidered,
               std::string_view("not_yet_considered") },
    std::pair{ Reason::NoRoom, std::string_view("no_room") },
    std::pair{ Reason::RoomBeingCleared,
               std::string_view("room_being_cleared") },
    std::pair{ Reason::TeamAllotment, std::string_view("team_allotment") },
    std::pair{ Reason::GangRoom, std::string_view("gang_room") },
    std::pair{ Reason::GangReservation, std::string_view("gang_reservation") },
    std::pair{ Reason::RetryWait, std::string_view("retry_wait") },
  };
};
