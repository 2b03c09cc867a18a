/// The owner of one slice of workers: carries out what its scheduler decides
/// and keeps the jobs' rows durable.
#pragma once

#include "daemon/JobExpiry.h"
#include "daemon/JobMover.h"
#include "daemon/PollPlan.h"
#include "daemon/Runtime.h"
#include "daemon/WorkerSession.h"
#include "sched/SliceScheduler.h"
#include "settings/SettingsTree.h"
#include "vmlist/Fleet.h"

namespace lacewing::daemon {

/// What the owner asks of the ownership of its slice.
struct SliceAuthority
{
  /// True while the owner may act.
  std::function<bool()> m_mayAct;
  /// The token for a worker; 0 while no command may be sent to it.
  std::function<std::uint64_t(const VmId&)> m_workerToken;
  /// Takes each answer of a worker.
  std::function<void(const VmId&, const worker::ControlReply&)> m_onReply;
};

/// Tasks that wait for a place, by the classes of the metrics.
struct WaitingTasks
{
  std::size_t m_urgent = 0;
  std::size_t m_other = 0;
};

class WorkerSliceOwner : public std::enable_shared_from_this<WorkerSliceOwner>
{
public:
  using Scheduler =
    sched::SliceScheduler<sched::FairOrder, sched::BestFitPlacement>;

  /// `m_putBack` of the hooks is set here.
  WorkerSliceOwner(Runtime& aRuntime,
                   SliceId aSlice,
                   Epoch aEpoch,
                   SliceAuthority aAuthority,
                   MoveHooks aMoveHooks,
                   sched::SchedulerOptions aOptions = {});
  ~WorkerSliceOwner();
  WorkerSliceOwner(const WorkerSliceOwner&) = delete;
  WorkerSliceOwner& operator=(const WorkerSliceOwner&) = delete;

  /// Reads the slice's jobs; repeats until it succeeds.
  void LoadJobs();
  /// Looks for jobs that a front has made durable and told nobody of.
  void RereadJobs();
  void UpdateWorkers(const std::vector<vmlist::Vm>& aVms);
  void SetTeam(const TeamId& aTeam, const settings::TeamSettings& aSettings);
  void SetAllotment(const TeamId& aTeam, std::int64_t aMillicores);
  /// After how long a lowered allotment stops work.
  void SetLimitStops(const sched::SchedulerOptions& aOptions);

  /// From the ownership of the slice.
  void SendControl(const VmId& aWorker, const worker::ControlRequest& aRequest);
  void OnWorkerLost(const VmId& aWorker);
  void OnOpened();
  /// Decides and sends, and arms the timer of the owners for the next time.
  void Tick();

  /// A job that a front has made durable. A reason if it can never run here.
  std::optional<std::string> Submit(const jobs::JobRecord& aRecord,
                                    RowVersion aVersion);
  bool Cancel(const JobId& aJob);
  /// Starts moves of jobs that wait for room here; to be called once a second.
  /// Asks for the other slices only if jobs wait, and tells the size of each
  /// job, so that it counts for its new slice.
  void MoveWaitingJobs(
    const RegionId& aRegion,
    const std::function<std::vector<sched::MoveTarget>()>& aTargets,
    const std::function<void(const SliceId&, std::int64_t)>& aOnSent);
  /// Decides about tasks that may have run; the number of tasks.
  std::uint32_t Resolve(const JobId& aJob, bool aRunAgain);

  const jobs::JobRecord* Find(const JobId& aJob) const;
  std::optional<sched::JobSummary> StatusOf(const JobId& aJob) const;
  std::optional<sched::Explanation> ExplanationOf(const JobId& aJob) const;
  std::vector<sched::TeamUsage> Usages() const { return m_scheduler.Usages(); }
  /// Looks at every open job of the slice and its tasks; to be called about
  /// once a second.
  WaitingTasks CountWaiting() const;
  const SliceId& Id() const { return m_slice; }
  /// True once the rows of all jobs of the slice have been read.
  bool HasLoaded() const { return m_loaded; }
  bool IsOpen() const { return m_opened && m_loaded; }
  /// Processors of the workers that do not leave, less what all tasks hold.
  std::int64_t FreeMillicores() const;
  /// Processors of the workers that do not leave.
  std::int64_t CapacityMillicores() const { return m_capacityMillicores; }

private:
  struct Worker
  {
    vmlist::Vm m_vm;
    std::shared_ptr<WorkerSession> m_session;
    bool m_adopted = false;
    /// Starts that were decided and whose exchange has not ended.
    std::map<TaskId, worker::RunningTask> m_startsUnderWay;
    /// Of the running tasks and the starts under way.
    std::map<TaskId, ExpectedRun> m_expectedRuns;
    Time m_nextPoll = Time::max();
  };

  Worker& WorkerOf(const vmlist::Vm& aVm);
  void OnControl(const VmId& aWorker,
                 const worker::ControlOutcome& aOutcome,
                 const std::vector<worker::Command>& aCommands);
  void Adopt(Worker& aWorker, const worker::ControlReply& aReply);
  void Reconcile(Worker& aWorker, const worker::ControlReply& aReply);
  void TakeEnds(Worker& aWorker, const worker::ControlReply& aReply);
  void TakeEnd(Worker& aWorker, const worker::EndedTask& aTask);
  void PlanPoll(Worker& aWorker, const worker::ControlReply& aReply);
  void CarryOut(const sched::Action& aAction);
  void MarkStarted(const TaskId& aTask);
  void StoreFinished();
  /// Sends what is due or was not sent yet.
  void TickSessions();
  /// When `Tick` is due although there is no further input; `Time::max()` if
  /// never.
  Time NextWakeup() const;
  std::vector<sched::MovableJob> MovableJobs() const;
  void PutBack(const jobs::JobRecord& aRecord, bool aCancel);
  void Recover(const jobs::JobRecord& aRecord);
  void OpenIfReady();
  void RecordTask(observe::EventKind aKind,
                  const TaskId& aTask,
                  const VmId& aWorker,
                  const std::string& aDetail);

  Runtime& m_runtime;
  SliceId m_slice;
  SliceAuthority m_authority;
  Epoch m_epoch;
  std::shared_ptr<JobStore> m_store;
  std::shared_ptr<JobExpiry> m_expiry;
  MoveHooks m_moveHooks;
  std::shared_ptr<JobMover> m_mover; ///< set by the first move
  Scheduler m_scheduler;
  std::map<VmId, Worker> m_workers;
  std::int64_t m_capacityMillicores = 0;
  bool m_loaded = false;
  /// A member was lost before the slice was open.
  bool m_rereadWhenOpen = false;
  bool m_opened = false;
  bool m_decidedNothing = false; ///< the last decision had no action
};

/// The scheduler's form of a submitted job.
sched::JobSpec
ToSchedSpec(const jobs::JobRecord& aRecord);

} // namespace lacewing::daemon
