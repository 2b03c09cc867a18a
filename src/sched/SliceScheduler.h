/// The scheduler of one slice of workers: a state machine without I/O. Events
/// go in through the functions below; `Decide` answers with the actions that
/// the daemon carries out.
///
/// Room of a task is given back only when its end is reported, when its worker
/// is removed, or when an inventory does not contain it. A stop that was sent
/// frees nothing by itself.
#pragma once

#include "sched/Action.h"
#include "sched/HeldWorkers.h"
#include "sched/JobReport.h"
#include "sched/Placement.h"
#include "sched/RoomPlan.h"

#include <unordered_set>

namespace lacewing::sched {

/// Measured use of the tasks of a worker; may be seconds old.
struct WorkerReport
{
  VmId m_worker;
  std::vector<worker::RunningTask> m_running;
};

template<TeamOrder Order,
         PlacementPolicy Placement,
         typename Checks = AllChecks>
class SliceScheduler
{
public:
  explicit SliceScheduler(SchedulerOptions aOptions = {});

  /// Adds a worker, or changes its capacity. A worker whose place or kind of
  /// accelerator differs is removed and added again.
  void UpsertWorker(Time aNow, const WorkerSpec& aSpec);
  /// The worker is gone, or its lease has surely lapsed: none of its tasks runs
  /// any more. They are queued again; at-most-once tasks end as `MayHaveRun`.
  void RemoveWorker(Time aNow, const VmId& aWorker);
  /// A cordoned worker takes no new tasks; what runs on it goes on. Tasks that
  /// were placed there and have not been started are placed elsewhere.
  void SetCordoned(const VmId& aWorker, bool aCordoned);
  /// Takes over what runs on a known worker; false for an unknown one. Tasks
  /// that were thought to run there and are not in the inventory are lost.
  bool Adopt(Time aNow,
             const VmId& aWorker,
             const std::vector<worker::RunningTask>& aInventory);
  /// Nothing is started while the slice is closed, as it is at first. Open it
  /// when each worker is adopted or removed and each job is submitted.
  void SetOpen(bool aOpen);

  /// The limit is that of the whole fleet, in millicores; it is only used to
  /// refuse jobs that can never run.
  void SetTeam(Time aNow,
               const TeamId& aTeam,
               double aWeight,
               std::int64_t aLimitMillicores = kNoLimit);
  /// What the team may run in this slice; 0 until it is set. Running work above
  /// a lowered allotment is stopped after the waits of the options.
  void SetAllotment(const TeamId& aTeam, std::int64_t aMillicores);
  /// Replaces the waits after which a lowered allotment stops patient tasks and
  /// any tasks.
  void SetAllotmentWaits(Duration aPatient, Duration aAny);

  /// Queues a job; a job that is known already is left as it is. Answers why it
  /// can never run, in which case it is not queued. A closed slice may not know
  /// its workers yet and refuses only by form and limit.
  std::optional<NeverRunnable> Submit(Time aNow, const JobSpec& aSpec);
  /// Queues an accepted job of a former owner. Tasks with a mark that no worker
  /// has in its inventory end as `MayHaveRun` when the slice opens.
  void Recover(Time aNow, const JobSpec& aSpec, const RecoveredTasks& aTasks);
  /// False if the job is unknown or over. Constant time; the stops follow with
  /// the next decision.
  bool Cancel(Time aNow, const JobId& aJob);
  /// The team's decision about tasks in the state `MayHaveRun`: run them again,
  /// or count them as failed. Answers the number of tasks.
  std::uint32_t Resolve(Time aNow, const JobId& aJob, bool aRunAgain);
  /// Jobs that wait for room and may go to another slice: none of their tasks
  /// holds anything, has run, is marked or may have run. In no order. Looks at
  /// every job.
  std::vector<RoomWait> WaitingForRoom() const;
  /// Forgets such a job; false if it is unknown or not such a job. `PutBack`
  /// queues it again, behind the jobs of its team that came meanwhile.
  bool TakeOut(const JobId& aJob);
  void PutBack(Time aNow, const JobSpec& aSpec);
  /// Drops a job that is over; false if it is unknown or not over.
  bool Forget(const JobId& aJob);

  void OnReport(Time aNow, const WorkerReport& aReport);
  /// False for a late or repeated message about an attempt that is not running.
  bool OnTaskEnd(Time aNow,
                 const VmId& aWorker,
                 const TaskId& aTask,
                 std::uint32_t aAttempt,
                 worker::TaskOutcome aOutcome);
  /// The mark asked for by `MarkStarted` is durable, or surely is not.
  void OnMarked(Time aNow, const TaskId& aTask);
  void OnMarkFailed(Time aNow, const TaskId& aTask);

  /// At most `aMaxStarts` starts and marks; a gang above that starts only if
  /// nothing else does.
  std::vector<Action> Decide(Time aNow, std::size_t aMaxStarts);

  /// Nothing for an unknown job.
  std::optional<Explanation> Explain(Time aNow, const JobId& aJob) const;
  std::optional<JobSummary> JobStatus(const JobId& aJob) const;
  TeamUsage Usage(const TeamId& aTeam) const;
  /// In the order in which the teams became known.
  std::vector<TeamUsage> Usages() const;
  /// Jobs that are over since the last call, in the order of their end.
  std::vector<JobId> TakeFinished();
  bool IsSuspect(const VmId& aWorker) const;
  std::size_t JobCount() const { return m_state.JobCount(); }

private:
  struct Reservation
  {
    std::uint32_t m_job = kNone;
    std::uint64_t m_sequence = 0;
    std::vector<std::uint32_t> m_workers;
  };

  struct FoundUnclaimed
  {
    std::uint32_t m_worker = kNone;
    worker::RunningTask m_task;
    bool m_stopSent = false;
  };

  struct ReadyForProbe
  {
    std::uint32_t m_worker = kNone;
    bool m_mayRepeat = false; ///< takes jobs that have failed there
  };

  /// A job by index, with its sequence number to detect a reused index.
  struct JobTag
  {
    std::uint32_t m_job = kNone;
    std::uint64_t m_sequence = 0;
  };

  enum class Attempt : std::uint8_t
  {
    Started,
    Blocked,
    Skipped, ///< waits for a time; does not count as blocked
  };

  // SliceSchedulerDecide.h
  void Flush();
  void Emit(ActionKind aKind, TaskRef aRef);

  // SliceSchedulerStops.h
  void StopTask(TaskRef aRef, ActionKind aKind);
  void StopForOthers(TaskRef aRef);
  void StopAbandoned();
  void StopUnclaimed();

  // SliceSchedulerWorkers.h
  void ApplyMeasured(TaskRef aRef, const Resources& aUsed);
  void RelieveWorkers(Time aNow);

  // SliceSchedulerAllotments.h
  void CutToAllotments(Time aNow);
  void CutTeam(Time aNow, std::uint32_t aTeam);
  std::vector<TaskRef> StoppableByLoss(Time aNow,
                                       std::uint32_t aTeam,
                                       bool aPatientOnly) const;
  bool WithinAllotment(const Job& aJob, std::size_t aTasks) const;
  bool IsAboveAllotment(TaskRef aRef) const;

  // SliceSchedulerSuspects.h
  void ReviewSuspects(Time aNow);
  std::uint32_t TakeProbe(std::uint32_t aJob, const Request& aRequest);
  void NoteSuccess(Time aNow, TaskRef aRef, std::uint32_t aWorker);
  void NoteFailure(Time aNow, TaskRef aRef, std::uint32_t aWorker);
  Duration RetryWait(const Job& aJob) const;

  // SliceSchedulerMarks.h
  bool NeedsMark(TaskRef aRef) const;
  void StartMarked(Time aNow);
  bool HasRoomToStart(TaskRef aRef) const;

  // SliceSchedulerFairOrder.h
  void ComputeLevel();
  double KeyOf(const Team& aTeam, const Resources& aUsed) const;
  bool IsAboveShare(std::uint32_t aTeam) const;
  bool Alive(const QueueEntry& aEntry) const;
  bool DropDeadHead(Team& aTeam);
  void UrgentPass(Time aNow);
  void SharePass(Time aNow);
  void RunPass(Time aNow, bool aUrgentOnly);
  bool TryTeam(Time aNow, std::uint32_t aTeam, bool aUrgentOnly);
  Attempt TryJob(Time aNow, std::uint32_t aJob);

  // SliceSchedulerSinglePlacement.h
  Attempt TrySingle(Time aNow, std::uint32_t aJob);
  Request RequestOf(const Job& aJob) const;
  std::uint32_t Locate(std::uint32_t aJob, const Request& aRequest);
  void Place(Time aNow, std::uint32_t aJob, std::uint32_t aWorker);
  void Launch(Time aNow, TaskRef aRef);

  // SliceSchedulerGangs.h
  Attempt TryGang(Time aNow, std::uint32_t aJob);
  void PlaceGang(Time aNow,
                 std::uint32_t aJob,
                 const std::vector<std::uint32_t>& aPlaces);
  bool Reserve(Time aNow, std::uint32_t aJob);
  std::vector<std::uint32_t> ChooseHeldWorkers(std::uint32_t aJob) const;
  void ClearHeldWorkers(std::uint32_t aJob);
  void DropReservation();
  void SettleReservation(Time aNow);
  void SettleGang(std::uint32_t aJob);
  void BeginTearDown(std::uint32_t aJob);
  void EndTearDown(std::uint32_t aJob);

  // SliceSchedulerRoom.h
  void MakeRoomForUrgent(Time aNow, std::uint32_t aJob, const Request& aNeed);
  void Reclaim(Time aNow, std::uint32_t aJob, const Request& aNeed);
  RoomRules RulesForReclaim() const;
  void GuardFromStarvation(Time aNow, std::uint32_t aJob, const Request& aNeed);
  std::optional<RoomPlan> CheapestPlan(
    Time aNow,
    const std::vector<std::uint32_t>& aWorkers,
    const Request& aNeed,
    const RoomRules& aRules) const;
  std::vector<std::uint32_t> WorkersOfPatientTasks() const;
  std::vector<std::uint32_t> WorkersOfTeam(std::uint32_t aTeam) const;
  void CarryOut(Time aNow,
                std::uint32_t aJob,
                const RoomPlan& aPlan,
                Duration aPatience);
  void Pledge(Time aNow,
              std::uint32_t aJob,
              std::uint32_t aWorker,
              Duration aPatience);
  void SettlePledges(Time aNow);
  void Unthrottle(Time aNow);

  // SliceSchedulerAdoption.h
  void LoseTasks(Time aNow,
                 std::uint32_t aWorker,
                 const std::unordered_set<TaskId>& aKept);
  bool CanClaim(TaskRef aRef) const;
  void Claim(Time aNow,
             std::uint32_t aWorker,
             const worker::RunningTask& aFound);
  void AddUnclaimed(std::uint32_t aWorker, const worker::RunningTask& aFound);
  bool EndUnclaimed(std::uint32_t aWorker, const TaskId& aTask);
  void SettleOpening(std::uint32_t aJob);
  void ClaimFound(Time aNow, std::uint32_t aJob);

  // SliceSchedulerTaskEnds.h
  void Unplace(TaskRef aRef);
  void Requeue(TaskRef aRef);
  void Finish(Time aNow, TaskRef aRef, worker::TaskOutcome aOutcome);
  void FinishAttempt(Time aNow, TaskRef aRef, worker::TaskOutcome aOutcome);
  void EndForGood(TaskRef aRef, TaskState aState);
  void GiveUp(std::uint32_t aJob);
  void NoteIfOver(std::uint32_t aJob);

  // SliceSchedulerJobs.h
  TaskRef FindTask(const TaskId& aTask) const;
  std::uint32_t AddJob(Time aNow, const JobSpec& aSpec);
  bool IsUntouched(std::uint32_t aJob) const;

  SchedulerOptions m_options;
  SliceState m_state;
  Placement m_placement;
  bool m_open = false;
  std::vector<JobTag> m_abandoned; ///< have tasks that are to be stopped
  std::unordered_map<TaskId, FoundUnclaimed> m_unclaimed;
  std::vector<TaskId> m_marked; ///< ready to start
  std::vector<TaskRef> m_pledges;
  std::vector<std::uint32_t> m_suspects;
  std::vector<std::uint32_t> m_overloaded;
  std::vector<std::uint32_t> m_throttledWorkers;
  std::unordered_map<std::uint32_t, TaskRef> m_probes; ///< by worker
  std::optional<Reservation> m_reservation;
  std::vector<JobId> m_finished;

  // Used within one decision.
  std::vector<Action> m_actions;
  std::vector<ReadyForProbe> m_probeReady;
  std::size_t m_budget = 0;
  std::size_t m_started = 0;
  std::size_t m_reclaims = 0;
  bool m_scannedAll = false;
  double m_level = 0; ///< key of a team that has exactly its share
  std::uint32_t m_cursor = 0;
};

} // namespace lacewing::sched

#include "sched/SliceSchedulerAdoption.h"
#include "sched/SliceSchedulerAllotments.h"
#include "sched/SliceSchedulerDecide.h"
#include "sched/SliceSchedulerFairOrder.h"
#include "sched/SliceSchedulerGangs.h"
#include "sched/SliceSchedulerJobs.h"
#include "sched/SliceSchedulerMarks.h"
#include "sched/SliceSchedulerQueries.h"
#include "sched/SliceSchedulerRoom.h"
#include "sched/SliceSchedulerSinglePlacement.h"
#include "sched/SliceSchedulerStops.h"
#include "sched/SliceSchedulerSuspects.h"
#include "sched/SliceSchedulerTaskEnds.h"
#include "sched/SliceSchedulerWorkers.h"

namespace lacewing::sched {

/// The scheduler of the daemon; compiled once, in SliceScheduler.cpp.
extern template class SliceScheduler<FairOrder, BestFitPlacement>;

} // namespace lacewing::sched
