/// The leader's decisions: which task starts on which worker, what is stopped,
/// which workers the policy service is asked about, and what has to be stored.
///
/// Does no I/O and reads no clock. Each call returns what is to be done.
///
/// Safety rests on four rules. A worker reports the end of a task until that
/// end is stored or is known to have no effect. A task that may run on a worker
/// that has not reported to this leader is not started elsewhere until that
/// worker's lease has expired. A start whose outcome is unknown keeps its
/// resources and its run number until the worker confirms it or the longest
/// lease has expired that the worker can have taken, also after a restart of
/// which nothing was heard. Resources are released
/// when an end is reported, or when a run can't go on any more.
///
/// Nothing starts by an old view of the stored jobs: a cancellation that is
/// confirmed after that view would not end the starts in time.
#pragma once

#include "pool/GangReservation.h"
#include "pool/PlanPacer.h"
#include "pool/PoolActions.h"
#include "pool/PoolConfig.h"
#include "pool/RuntimeModel.h"
#include "pool/TrackedJob.h"
#include "pool/WorkerRecord.h"

#include <deque>
#include <limits>
#include <map>
#include <queue>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace lacewing::pool {

class PoolScheduler
{
public:
  /// The term is the fencing token of this leadership. Tasks of jobs that were
  /// loaded from the store may run on one of the previous leader's workers.
  /// They wait until all of these have reported, or until the barrier, the time
  /// at which all leases of the previous leader have expired.
  PoolScheduler(Time aNow,
                std::uint64_t aTerm,
                std::set<WorkerId> aPreviousWorkers,
                Time aBarrier);

  void SetConfig(Time aNow, const PoolConfig& aConfig);
  const PoolConfig& Config() const { return m_config; }
  /// Workers of these failure domains get no new tasks; what runs there ends by
  /// itself.
  void SetEvacuations(std::set<DomainId> aDomains);

  /// Runs that may go on at workers that got no new tasks of the previous
  /// leader. Their tasks wait like those that may run on its other workers, but
  /// no other task waits for these.
  void SetPreviousRuns(const std::vector<CordonedWorker>& aCordoned);
  /// All earlier leaders have ended: none can hear of jobs any more.
  void SetPreviousEnded() { m_previousEnded = true; }
  /// Adds a job that this leader learns of. Known jobs are left as they are.
  void AddJob(Time aNow,
              const Job& aJob,
              Duration aAge,
              const JobProgress& aProgress,
              JobOrigin aOrigin);
  /// Stops the job. False if it is not known.
  bool CancelJob(Time aNow, const JobId& aJob);

  /// There is no row of a job that was to be looked up.
  void OnJobNotFound(Time aNow, const JobId& aJob);
  /// The stored jobs are loaded; workers are asked for their inventories.
  void OnLoaded(Time aNow);
  /// How late this process's event loop is all the time. Responses are read
  /// late by several times as much, which must not count as a worker's silence.
  void SetStandingLag(Duration aLag);
  /// Time by which a response to a command may be read late.
  Duration CommandAllowance() const { return m_commandAllowance; }
  /// Time by which leases are extended less often, so that less waits for the
  /// event loop.
  Duration ExtensionPause() const { return m_extensionPause; }
  /// Longest lease that the workers accept; the leader sends no longer one.
  void SetLongestLease(Duration aLease) { m_longestLease = aLease; }
  /// All that was stored about jobs before this time is known here.
  void SetJobsKnownUntil(Time aUntil) { m_jobsKnownUntil = aUntil; }
  /// Age of that view beyond which nothing starts.
  void SetLongestViewAge(Duration aAge) { m_longestViewAge = aAge; }
  /// False while the view of the stored jobs is too old to start tasks by it.
  bool MayStart(Time aNow) const
  {
    return aNow - m_longestViewAge <= m_jobsKnownUntil;
  }
  /// How many VMs can send requests to the policy service at the same time.
  void SetAskingVms(int aVms) { m_askingVms = aVms; }
  /// All leases of the previous leader have expired by this time.
  void SetBarrier(Time aBarrier);
  /// True once all workers of the previous leader have reported or its leases
  /// have expired.
  bool IsSettled() const { return m_barrierPassed; }

  /// Replaces the list of workers.
  void SetWorkers(Time aNow, const std::vector<WorkerInfo>& aWorkers);
  /// Applies the inventory that a worker returns when its lease is extended.
  void OnInventory(Time aNow,
                   const WorkerId& aWorker,
                   const Inventory& aInventory);
  /// The worker did not answer a lease extension.
  void OnNoAnswer(const WorkerId& aWorker);
  /// The clock in the worker's answer to a start that was sent at `aSentAt` is
  /// below the least that the incarnation known then can have: the worker has
  /// restarted. Call this before `OnStartOutcome`.
  void OnClockOfLaterIncarnation(Time aNow,
                                 Time aSentAt,
                                 const WorkerId& aWorker);
  void OnStartOutcome(Time aNow,
                      const StartTask& aStart,
                      StartOutcome aOutcome);
  /// The worker has accepted the stop that was sent at that time: the run has
  /// ended there or never starts.
  void OnStopConfirmed(Time aNow, Time aSentAt, const StopTask& aStop);
  /// Gives up a start of which an earlier command may still take effect.
  void AbandonStart(Time aNow, const StartTask& aStart);
  /// Takes the permitted workers among those in the advice request.
  void OnAdvice(Time aNow,
                const AdviceRequest& aRequest,
                const std::vector<Permission>& aPermitted);
  void OnAdviceFailed(Time aNow, const AdviceRequest& aRequest);

  /// What the next row of the leader has to say about workers. A successor
  /// waits for those that may run any task; the others get no tasks from now
  /// on.
  RecordedWorkers ListWorkersToRecord(Time aNow);
  /// The stored row names these; they can be given tasks if the next one does.
  void SetRecordedWorkers(const std::vector<WorkerId>& aWorkers);

  /// Steps that a plan considers at most, besides those that it has to. A
  /// backlog of thousands of steps must not make plans slower, or it would
  /// grow.
  void SetPlanSteps(std::size_t aSteps) { m_planSteps = aSteps; }
  /// Steps that a plan places and tasks that it starts at most, together, but
  /// for the rest of a gang: steps of many tasks must not make plans long
  /// either.
  void SetPlanOperations(std::size_t aOperations)
  {
    m_planOperations = aOperations;
  }
  /// Decides what can be decided now.
  Actions Plan(Time aNow);

  struct ProgressWrite
  {
    JobId m_job;
    JobProgress m_progress;
    std::string m_row; ///< the progress as it is stored
    std::vector<EndRef> m_ends;
  };
  /// Jobs whose progress has to be stored: at most `aMost`, with rows of at
  /// most `aMostBytes` in sum, but at least one. They count as being stored
  /// until `OnSaved` or `OnSaveFailed`.
  std::vector<ProgressWrite> TakeUnsaved(
    std::size_t aMost,
    std::size_t aMostBytes = std::numeric_limits<std::size_t>::max());
  void OnSaved(Time aNow, const ProgressWrite& aWrite);
  void OnSaveFailed(const ProgressWrite& aWrite);
  bool HasUnsaved() const { return !m_dirty.empty(); }

  /// The lease end to send to a worker, on its clock; 0 if it may get none or
  /// its clock is not known. Counts as sent: the worker has it within
  /// `aDelivery` or never.
  std::int64_t NextDeadline(Time aNow,
                            const WorkerId& aWorker,
                            Duration aDelivery = kUsualDelivery);
  /// The same for an attempt to start a task, whose copies are counted.
  std::int64_t DeadlineOfStart(Time aNow,
                               const StartTask& aStart,
                               Duration aDelivery = kUsualDelivery);
  /// True while the command is still needed; false once its outcome no longer
  /// matters.
  bool IsWanted(const StartTask& aStart) const;
  bool IsWanted(const StopTask& aStop) const;
  /// True if the run is to end, so that its start must not be sent again.
  bool IsBeingStopped(const StartTask& aStart) const;
  /// True if the worker takes no new tasks any more, so that the start must not
  /// be sent again.
  bool IsForDrainingWorker(const StartTask& aStart) const;
  /// True if the worker has reported the run.
  bool IsListed(const StartTask& aStart) const;
  /// True if the worker has restarted since the start was decided. The present
  /// incarnation may not suit the task.
  bool IsForEarlierIncarnation(const StartTask& aStart) const;

  /// What finished runs have taught about the length of tasks.
  const RuntimeModel& Runtimes() const { return m_runtimes; }
  RuntimeModel& Runtimes() { return m_runtimes; }
  const TrackedJob* FindJob(const JobId& aJob) const;
  /// The state that callers may be shown: a final one only once it is stored.
  JobState ShownState(const TrackedJob& aJob) const;
  /// Accepted jobs of which nothing has started, by queue.
  std::map<QueueId, std::size_t> WaitingJobs() const;
  using WorkerMap = std::unordered_map<WorkerId, WorkerRecord>;
  const WorkerMap& Workers() const { return m_workers; }
  PoolCounts Counts(Time aNow) const;
  /// Jobs that reached their final state before the time and are stored; they
  /// are removed from memory.
  std::vector<JobId> ForgetEnded(Time aBefore);

private:
  /// Which work goes first when not all can.
  enum class Tier : std::uint8_t
  {
    InTime,     ///< can still end within its objective
    Late,       ///< too late for its objective, still of value
    BestEffort, ///< too late to be of value, or beyond its team's rate
  };

  struct Candidate
  {
    TrackedJob* m_job = nullptr;
    std::uint32_t m_step = 0;
    const QueueRule* m_queue = nullptr;
    Tier m_tier = Tier::InTime;
    bool m_interactive = false;
    Time m_latestStart{};
    bool m_considered = false; ///< in this plan
    bool m_atHead = false;     ///< of the order
    bool m_wasNext = false;    ///< it had to be in this plan

    const StepSpec& Spec() const { return m_job->Spec().m_steps[m_step]; }
    StepRecord& Record() const { return m_job->Step(m_step); }
  };

  /// A worker that has room for a task of a step.
  struct PlacementOption
  {
    WorkerRecord* m_worker = nullptr;
    /// On trial, not on the preferred rack, reserved for a gang, its speed, and
    /// its free millicores. The tightest fit keeps workers with much free
    /// capacity for large tasks; interactive tasks go to the fastest workers
    /// first.
    std::tuple<bool, bool, bool, SpeedClass, std::int64_t> m_cost;
  };

  /// Room that is kept for gangs at the head of the order; interactive tasks
  /// may use it.
  struct Reservation
  {
    GangReservation m_room;
    int m_gangs = 0;
    /// Work that stands still may pass the gangs until then.
    Time m_firmFrom = Time::max();
  };

  /// Whether room that is kept for gangs is left to them.
  enum class KeptRoom : std::uint8_t
  {
    Left,
    Taken,
  };

  /// A worker and the number of members of a gang that it has room for.
  struct GangOption
  {
    WorkerRecord* m_worker = nullptr;
    std::uint32_t m_members = 0;
  };

  using LeaseCheck = std::pair<Time, WorkerSlot>;

  /// Workers of a service that would be available if none were suspect.
  struct SuspectCount
  {
    std::size_t m_suspects = 0;
    std::size_t m_workers = 0;
  };

  /// An end that was reported before its job became known.
  struct HeldEnd
  {
    EndRef m_ref;
    ReportedEnd m_end;
  };

  /// Makes the job known, with its ends and runs that workers have reported.
  void TakeIn(Time aNow, std::unique_ptr<TrackedJob> aJob);
  /// By the jobs' ids.
  std::vector<Candidate> ReadySteps(Time aNow);
  /// The order in which steps are placed.
  static bool GoesBefore(const Candidate& aOne, const Candidate& aOther);
  /// Steps that this plan considers, in order: the head of the order, some of
  /// the others in turn, and those that have to be in it.
  std::vector<Candidate> ConsideredSteps(Time aNow);
  void AddNextInTurn(std::vector<Candidate>& aReady,
                     std::size_t aMost,
                     std::vector<Candidate*>& aOrder);
  /// Adds the steps that have to be in this plan.
  static void AddNext(std::vector<Candidate>& aReady,
                      std::vector<Candidate*>& aOrder);
  /// True if this plan may go on with the step. Steps behind the head of the
  /// order have a part of the operations for them.
  bool HasOperationsFor(const Candidate& aCandidate,
                        const Actions& aActions) const;
  /// Places the tasks that fit.
  void PlanStep(Time aNow,
                const Candidate& aCandidate,
                Reservation& aReservation,
                Actions& aActions);
  /// Stops what still runs of a gang of which a member was lost.
  void StopBrokenGang(Time aNow, const Candidate& aCandidate);
  /// Lists the workers that can be given tasks in this plan.
  void ListUsable(Time aNow);
  /// Services of which available workers are suspect.
  std::map<ServiceId, SuspectCount> CountSuspects(Time aNow) const;
  /// True if the step needs no advice or has a valid ticket of a usable worker.
  bool HasAdvice(Time aNow, const Candidate& aCandidate) const;
  /// True if a plan can do nothing for the step until its open request is
  /// answered.
  bool AwaitsAdvice(Time aNow, const Candidate& aCandidate) const;
  /// Requests advice for steps without valid tickets that could start, and then
  /// renews the tickets of steps at the head of the order.
  void RequestAdvice(Time aNow,
                     const std::vector<Candidate>& aSteps,
                     Actions& aActions);
  /// Sends requests for interactive steps or for the others, as many as may be
  /// in flight. Part of them are for steps behind the head of the order.
  void AskInTurn(Time aNow,
                 bool aInteractive,
                 const std::vector<Candidate>& aSteps,
                 Actions& aActions);
  /// Puts steps into the next plan that were answered lately and need further
  /// answers while these tickets are valid.
  void KeepInNextPlan(Time aNow,
                      bool aInteractive,
                      const std::vector<Candidate>& aSteps);
  void RenewTickets(Time aNow,
                    const std::vector<Candidate>& aSteps,
                    Actions& aActions);
  /// True if the workers have room for a task of the step now, or for all
  /// members of a gang.
  static bool HasRoomOn(Time aNow,
                        const Candidate& aCandidate,
                        const std::vector<WorkerRecord*>& aWorkers);
  /// The same for all usable workers that are or may be permitted.
  bool HasRoom(Time aNow, const Candidate& aCandidate);
  /// True if the step has never had advice, or could start on workers for which
  /// it has no valid ticket.
  bool LacksOnlyAdvice(Time aNow, const Candidate& aCandidate);
  /// True if tickets of the step expire before a request made later would be
  /// answered, or if further workers should be asked about.
  bool NeedsRenewal(Time aNow, const Candidate& aCandidate) const;
  void Request(Time aNow, const Candidate& aCandidate, Actions& aActions);
  /// True if a usable worker may run tasks of the step at any time.
  bool IsSuitedByUsable(const Candidate& aCandidate) const;
  /// Workers to ask the policy service about; empty if there is none. Those
  /// with room go first, and permitted ones before undecided ones.
  std::vector<WorkerId> ChooseToAsk(Time aNow,
                                    const Candidate& aCandidate) const;
  std::size_t MostToAsk(const Candidate& aCandidate) const;
  /// Adds permitted workers; for a gang only those whose tickets expire before
  /// the answer, since it needs all its workers at the same time.
  void AddPermitted(Time aNow,
                    const Candidate& aCandidate,
                    bool aFull,
                    std::vector<const WorkerRecord*>& aChosen) const;
  /// Adds workers that the service has not decided on, until there are `aMost`.
  void AddUndecided(const Candidate& aCandidate,
                    bool aFull,
                    std::size_t aMost,
                    std::vector<const WorkerRecord*>& aChosen) const;
  /// True if the worker has no room for a task of the step now.
  static bool IsFull(const Candidate& aCandidate, const WorkerRecord& aWorker);
  /// The slot at which the step begins to ask.
  WorkerSlot FirstToAsk(const Candidate& aCandidate) const;
  void SortToAsk(const Candidate& aCandidate,
                 std::vector<const WorkerRecord*>::iterator aBegin,
                 std::vector<const WorkerRecord*>::iterator aEnd) const;
  /// False while the number of advice requests in flight is at its limit.
  bool MayRequestAdvice(bool aInteractive) const;
  /// True if a worker that was not asked about could take a task now.
  bool HasUnaskedCapacity(const Candidate& aCandidate) const;
  void CloseAdviceRequest(const AdviceRequest& aRequest);
  std::vector<WorkerRecord*> Eligible(Time aNow,
                                      const Candidate& aCandidate) const;
  /// True if the worker may run tasks of the step at any time.
  static bool IsSuitable(const Candidate& aCandidate,
                         const WorkerRecord& aWorker);
  /// Speed class used to choose a worker for the step: patient (not
  /// interactive) steps avoid only very slow workers.
  SpeedClass SpeedFor(const Candidate& aCandidate,
                      const WorkerRecord& aWorker) const;
  /// Tasks of the step that the worker may be given now.
  static std::uint32_t TasksThatFitOn(Time aNow,
                                      const WorkerRecord& aWorker,
                                      const Candidate& aCandidate);
  /// Tasks of the step that the worker may be given beside those that are
  /// there, by the limit for each worker and by the step's failures there.
  static std::uint32_t TasksLeftOn(Time aNow,
                                   const WorkerRecord& aWorker,
                                   const Candidate& aCandidate);
  RunNumber NextRun(const TaskRecord& aTask) const;
  void CheckBarrier(Time aNow);
  /// Clears the marks of tasks that cannot run unreported any more.
  void ClearUnreportedMarks();
  /// True if the previous leader had the run on a worker that has not reported.
  bool IsUnreportedRun(const TaskRef& aTask) const;
  /// True if any task may run on a worker of the previous leader that has not
  /// reported.
  bool MayRunUnreported(const TaskRef& aTask) const
  {
    return !m_unreportedWorkers.empty() || IsUnreportedRun(aTask);
  }
  /// True if the worker gets no commands that start tasks.
  bool IsCordoned(Time aNow, const WorkerRecord& aWorker) const;
  bool AwaitsFirstInventories(Time aNow) const;
  /// True while a worker of the previous leader that still holds a lease has
  /// listed only some of its ends.
  bool AwaitsFurtherEnds(Time aNow) const;
  /// Estimates what may run on the previous leader's workers that have not
  /// reported to this leader.
  void EstimateUnreportedUse();
  void PlaceSingles(Time aNow,
                    const Candidate& aCandidate,
                    Reservation& aReservation,
                    Actions& aActions);
  /// The worker that suits the task best; the end if there is none.
  static std::vector<PlacementOption>::iterator BestOption(
    const TaskRecord& aTask,
    std::vector<PlacementOption>& aOptions);
  std::vector<PlacementOption> PlacementOptions(Time aNow,
                                                const Candidate& aCandidate,
                                                const Reservation& aReservation,
                                                KeptRoom aKept) const;
  /// Starts one task in kept room if the step's job has stood still for too
  /// long while much of the pool is idle.
  void PassReservation(Time aNow,
                       const Candidate& aCandidate,
                       Reservation& aReservation,
                       Actions& aActions);
  /// True if less than half of the usable capacity of the step's service is in
  /// use.
  bool IsHalfIdle(const Candidate& aCandidate) const;
  static std::vector<GangOption> GangOptions(
    Time aNow,
    const Candidate& aCandidate,
    const std::vector<WorkerRecord*>& aWorkers);
  /// A rack in which the workers have room for the whole gang; empty for a gang
  /// that need not be in one rack. Nothing if there is none.
  static std::optional<std::string> RackForGang(
    const Candidate& aCandidate,
    const std::vector<GangOption>& aOptions);
  bool PlaceGang(Time aNow,
                 const Candidate& aCandidate,
                 Reservation& aReservation,
                 Actions& aActions);
  /// Leaves out slow workers if the others have room for the whole gang.
  void PreferOneSpeed(const Candidate& aCandidate,
                      std::vector<GangOption>& aOptions) const;
  /// Keeps room for a gang that does not fit now, if it can still be in time.
  void ReserveFor(Time aNow,
                  const Candidate& aCandidate,
                  Reservation& aReservation,
                  Actions& aActions);
  std::vector<WorkerRoom> RoomsFor(Time aNow,
                                   const Candidate& aCandidate) const;
  /// When the run is expected to end, by its progress if that tells.
  static Time ExpectedEnd(Time aNow, const Placement& aPlacement);
  /// When a task of the step that starts now on the worker has almost certainly
  /// ended.
  Time LatestEnd(Time aNow,
                 const Candidate& aCandidate,
                 const WorkerRecord& aWorker) const;
  /// Of the tasks that the worker has room for, those that leave alone what is
  /// kept for gangs.
  std::uint32_t UnkeptRoom(Time aNow,
                           const Candidate& aCandidate,
                           const Reservation& aReservation,
                           const WorkerRecord& aWorker,
                           std::uint32_t aTasks) const;
  /// Notes that a task of the step has started there.
  void NoteKeptRoom(Time aNow,
                    const Candidate& aCandidate,
                    Reservation& aReservation,
                    const WorkerRecord& aWorker) const;
  /// Members that the worker holds when it is empty.
  static std::uint32_t MostMembersOn(const Candidate& aCandidate,
                                     const WorkerRecord& aWorker);
  /// True if the usable workers that are or may be permitted have room for the
  /// whole gang once they are empty.
  bool FitsOnEmptyWorkers(const Candidate& aCandidate) const;
  /// True if the policy service permits the worker, or has not decided on it.
  static bool MayBePermitted(const Candidate& aCandidate,
                             const WorkerRecord& aWorker);
  /// True if the team may run one more task of the step, or the whole gang.
  bool HasQuotaFor(const Candidate& aCandidate) const;
  bool HasQuota(const TeamId& aTeam, const Resources& aExtra) const;
  /// Null if the desired state does not name the team.
  const TeamRule* FindTeam(const TeamId& aTeam) const;
  void Start(Time aNow,
             const Candidate& aCandidate,
             std::uint32_t aIndex,
             RunNumber aRun,
             WorkerRecord& aWorker,
             Actions& aActions);
  /// Stops the members of the task's gang; nothing if it is in none.
  void BreakGang(Time aNow, const TaskRef& aTask);
  void Stop(Time aNow,
            WorkerRecord& aWorker,
            const TaskRef& aTask,
            StopReason aReason);
  void StopJob(Time aNow, TrackedJob& aJob, StopReason aReason);
  void StopStep(Time aNow,
                TrackedJob& aJob,
                std::uint32_t aStep,
                StopReason aReason);
  void StopStuck(Time aNow);
  /// How long the task may go without progress.
  Duration StuckTimeout(const TaskRef& aTask) const;
  void ExpireLeases(Time aNow);
  /// Makes sure that the worker's leases are looked at after that time.
  void CheckLeaseAfter(Time aTime, WorkerRecord& aWorker);
  /// Gives up the runs of a worker whose lease is over.
  void GiveUpExpired(Time aNow, WorkerRecord& aWorker);

  void OnReportedEnd(Time aNow, WorkerRecord& aWorker, const ReportedEnd& aEnd);
  /// Learns from a whole run how long such tasks take, and how fast the worker
  /// is.
  void LearnRuntime(Time aNow,
                    const TrackedJob& aJob,
                    const TaskRef& aTask,
                    const Placement& aPlacement,
                    WorkerRecord& aWorker);
  /// How many times as long as usual a run takes on the worker.
  double SlownessOf(const WorkerRecord& aWorker) const;
  /// The same for the slowest worker of a gang.
  double SlownessOfGang(const TrackedJob& aJob, std::uint32_t aStep) const;
  std::vector<ExpectedRuntime> ExpectedRuntimes(const Job& aJob) const;
  /// Applies an end and keeps it unacknowledged until the job's progress is
  /// stored.
  void RecordEnd(Time aNow,
                 TrackedJob& aJob,
                 const ReportedEnd& aEnd,
                 WorkerRecord& aWorker);
  /// Keeps an end of an unknown job, and has the job looked up.
  void HoldEnd(WorkerRecord& aWorker, const ReportedEnd& aEnd);
  void RecordHeldEnds(Time aNow, TrackedJob& aJob);
  void DiscardHeldEnds(const JobId& aJob);
  /// Null if the worker that reported the end is gone or has restarted.
  WorkerRecord* FindIncarnation(const EndRef& aEnd);
  /// Lets the worker discard the end.
  void Acknowledge(const EndRef& aEnd);
  void ApplyEnd(Time aNow,
                TrackedJob& aJob,
                const ReportedEnd& aEnd,
                WorkerRecord& aWorker);
  void MarkDone(Time aNow, TrackedJob& aJob, const TaskRef& aTask);
  void CountFailure(Time aNow,
                    TrackedJob& aJob,
                    const TaskRef& aTask,
                    RunNumber aRun,
                    WorkerRecord& aWorker);
  /// Decides whether a failed or stuck run counts against the worker or the
  /// job.
  void AttributeFailure(Time aNow,
                        TrackedJob& aJob,
                        const TaskRef& aTask,
                        WorkerRecord& aWorker,
                        Suspicion aKind);
  /// Has it logged that the worker is avoided because of the task.
  void ReportSuspect(Time aNow,
                     const WorkerRecord& aWorker,
                     const TaskRef& aTask,
                     Suspicion aReason);
  void OnReportedRun(Time aNow, WorkerRecord& aWorker, const ReportedRun& aRun);
  void Identify(Time aNow, WorkerRecord& aWorker, const ReportedRun& aRun);
  std::vector<std::pair<TaskRef, WorkerId>> UnknownRunsOf(
    const JobId& aJob) const;
  /// Takes over the runs of a job that has become known.
  void IdentifyRuns(Time aNow, const JobId& aJob);
  void DropMissingRuns(Time aNow,
                       WorkerRecord& aWorker,
                       const Inventory& aInventory);
  /// Discards the state of the worker's previous incarnation. The inventory, if
  /// there is one, is that of the new incarnation.
  void BeginIncarnation(Time aNow,
                        WorkerRecord& aWorker,
                        std::int64_t aIncarnation,
                        const Inventory* aInventory);
  /// How much longer a worker can hold runs by commands for its former
  /// incarnation, of which some may still be under way.
  std::int64_t LongestLeaseMs(Time aNow, const WorkerRecord& aWorker) const;
  void AddPlacement(WorkerRecord& aWorker,
                    const TaskRef& aTask,
                    const Placement& aPlacement);
  /// Releases the resources; the task waits again if this was its present run.
  void DropPlacement(WorkerRecord& aWorker, const TaskRef& aTask);
  /// Drops a placement whose end was not reported.
  void GiveUp(Time aNow,
              WorkerRecord& aWorker,
              const TaskRef& aTask,
              GiveUpReason aReason);
  void MarkDirty(TrackedJob& aJob);
  TrackedJob* Find(const JobId& aJob);
  /// Time by which a worker's next response may be late without its fault.
  Duration ResponseAllowance() const
  {
    return m_commandAllowance + m_extensionPause;
  }
  /// Workers that have or had a slot.
  WorkerSlot Slots() const { return static_cast<WorkerSlot>(m_bySlot.size()); }
  /// When no incarnation of the worker can run anything any more without a new
  /// lease.
  Time UnheardLeaseEnd(const WorkerRecord& aWorker) const
  {
    return aWorker.UnheardLeaseEnd(m_longestLease);
  }
  /// Decides what becomes of a run as its worker restarts. False if it has
  /// ended with the former incarnation.
  bool KeepOverRestart(Time aNow,
                       const WorkerRecord& aWorker,
                       const TaskRef& aTask,
                       Placement& aPlacement,
                       const Inventory* aInventory);
  /// Null if the run is not on the worker any more.
  const Placement* PlacementOf(const StartTask& aStart) const;

  std::uint64_t m_term;
  std::set<WorkerId>
    m_unreportedWorkers; ///< the previous leader's, not reported yet
  /// Runs on workers that the previous leader had cordoned and that have not
  /// reported.
  std::map<WorkerId, std::vector<TaskRef>> m_unreportedRuns;
  bool m_allReported = false;       ///< that may run any task
  bool m_unreportedChanged = false; ///< since the marks of tasks were cleared
  bool m_previousEnded = false;
  Time m_barrier;
  bool m_barrierPassed = false;
  PoolConfig m_config;
  /// Rules of all queues ever seen; jobs of a removed queue still run.
  std::map<QueueId, QueueRule> m_rules;
  std::unordered_map<JobId, std::unique_ptr<TrackedJob>> m_jobs;
  std::map<JobId, TrackedJob*> m_open; ///< jobs that are not over
  std::set<DomainId> m_evacuations;
  WorkerMap m_workers;
  std::vector<WorkerRecord*> m_bySlot; ///< null for workers that are gone
  /// When the leases of workers with placements may have expired, by time: one
  /// entry for each.
  std::priority_queue<LeaseCheck, std::vector<LeaseCheck>, std::greater<>>
    m_leaseChecks;
  std::map<TeamId, const TeamRule*> m_teams; ///< those of `m_config`
  std::map<TeamId, Resources> m_teamUse;
  std::map<TeamId, Resources> m_unreportedUse; ///< upper bound, by team
  std::map<TeamId, std::pair<double, Time>>
    m_rateBudget;            ///< jobs left of the guaranteed rate, by team
  std::deque<JobId> m_dirty; ///< in the order in which they changed
  std::set<JobId> m_lookups;
  /// Runs on workers whose job is not known here.
  std::set<std::pair<TaskRef, WorkerId>> m_unknownRuns;
  std::map<JobId, std::vector<HeldEnd>> m_heldEnds; ///< of unknown jobs
  Duration m_longestLease = kDefaultLongestLease;
  Duration m_commandAllowance{};
  Duration m_extensionPause{};
  Time m_jobsKnownUntil = Time::max();
  Duration m_longestViewAge{};
  Time m_loadedAt = Time::max();
  Time m_began{};
  std::vector<StopTask> m_stops;           ///< decided since the last plan
  std::vector<FailingStep> m_failingSteps; ///< likewise, found
  std::vector<GivenUpRun> m_givenUp;       ///< likewise
  std::vector<SuspectWorker> m_suspects;   ///< likewise
  RuntimeRatio m_runtimeRatio;             ///< of all workers
  RuntimeModel m_runtimes;
  int m_openPatientRequests =
    0; ///< to the policy service, in flight, for patient steps
  int m_openInteractiveRequests = 0; ///< in flight, for interactive steps
  /// Requests for steps at the head of the order since one for another step.
  std::size_t m_patientAtHead = 0;
  std::size_t m_interactiveAtHead = 0;
  int m_askingVms = 1; ///< VMs that send advice requests
  std::size_t m_planSteps = PlanPacer::kMostSteps;
  std::size_t m_planOperations = PlanPacer::kMostOperations;
  std::size_t m_placedSteps = 0;             ///< in this plan
  std::pair<JobId, std::uint32_t> m_turn;    ///< step that had the last turn
  std::vector<WorkerRecord*> m_usable;       ///< in this plan
  std::vector<WorkerRecord*> m_usableBySlot; ///< null for the others
  /// No usable worker had more of any resource as this plan began.
  Resources m_mostFree;
  /// No usable worker of the service has more of any resource when it is empty.
  std::map<ServiceId, Resources> m_largest;
  Time m_nextStuckCheck{};
};

} // namespace lacewing::pool
