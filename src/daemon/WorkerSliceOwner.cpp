#include "daemon/WorkerSliceOwner.h"

#include <algorithm>
#include <utility>

namespace lacewing::daemon {

namespace {

using observe::EventKind;
using observe::Metric;

constexpr Duration kLoadRetryDelay = seconds(1);
/// Bounds the length of one decision, so that the loop stays responsive.
constexpr std::size_t kMaxStartsPerTick = 256;
/// Time between two decisions when the last one had no action and there was no
/// input since: retry waits, scores of workers and lowered allotments may
/// change the next one, and bear this delay.
constexpr Duration kQuietPeriod = milliseconds(50);
/// Allotment of a team without an upper limit, in millicores.
constexpr std::int64_t kUnlimitedMillicores = 1'000'000'000'000;
/// The kind of all accelerators; callers cannot name kinds yet.
constexpr const char* kAcceleratorKind = "accelerator";

sched::JobKind
KindOf(const caller::JobSpec& aSpec)
{
  switch (aSpec.m_kind) {
    case caller::JobKind::Service:
      return sched::JobKind::Service;
    case caller::JobKind::Gang:
      return sched::JobKind::Gang;
    case caller::JobKind::Batch:
      break;
  }
  return aSpec.m_urgent ? sched::JobKind::Urgent : sched::JobKind::Batch;
}

jobs::JobEnding
EndingOf(sched::JobState aState)
{
  switch (aState) {
    case sched::JobState::Succeeded:
      return jobs::JobEnding::Succeeded;
    case sched::JobState::Failed:
      return jobs::JobEnding::Failed;
    case sched::JobState::MayHaveRun:
      return jobs::JobEnding::MayHaveRun;
    case sched::JobState::Cancelled:
      return jobs::JobEnding::Cancelled;
    case sched::JobState::Queued:
    case sched::JobState::Running:
      break;
  }
  return jobs::JobEnding::Open;
}

sched::WorkerSpec
ToWorkerSpec(const vmlist::Vm& aVm, const Resources& aCapacity)
{
  sched::WorkerSpec spec;
  spec.m_id = aVm.m_vm;
  spec.m_domain = aVm.m_domain;
  spec.m_rack = sched::RackId(aVm.m_rack);
  spec.m_capacity = aCapacity;
  if (aCapacity.m_accelerators > 0) {
    spec.m_accelerator = kAcceleratorKind;
  }
  return spec;
}

RowAccess
RowAccessOf(Runtime& aRuntime)
{
  RowAccess access;
  access.m_fetch = [&aRuntime](const table::Read& aRead,
                               table::ReadDone aDone) {
    aRuntime.Table().Fetch("jobs", aRead, std::move(aDone));
  };
  access.m_write = [&aRuntime](table::RecordWrite aWrite, RecordDone aDone) {
    aRuntime.Table().WriteRecord(std::move(aWrite), std::move(aDone));
  };
  access.m_after = [&aRuntime](Duration aDelay,
                               std::function<void()> aFunction) {
    aRuntime.Loop().After(aDelay, std::move(aFunction));
  };
  access.m_now = net::Loop::Now;
  access.m_wallMicros = WallMicros;
  access.m_onMalformed = [&aRuntime](const JobId& aJob) {
    aRuntime.Log().WriteOnChange("job_row/" + aJob.Value(),
                                 "malformed",
                                 settings::LogLevel::Error,
                                 "job_row_malformed",
                                 { { "job", aJob.Value() } });
  };
  return access;
}

bool
IsLeaving(const vmlist::Vm& aVm)
{
  return aVm.m_state == vmlist::VmState::Leaving;
}

template<typename Indices>
std::vector<std::uint32_t>
ToVector(const Indices& aIndices)
{
  return { aIndices.begin(), aIndices.end() };
}

} // namespace

sched::JobSpec
ToSchedSpec(const jobs::JobRecord& aRecord)
{
  const caller::JobSpec& spec = aRecord.m_spec;
  sched::JobSpec result;
  result.m_id = aRecord.m_id;
  result.m_team = aRecord.m_team;
  result.m_kind = KindOf(spec);
  result.m_tasks = spec.m_tasks;
  result.m_perTask = spec.m_perTask;
  result.m_runMs = spec.m_runMs;
  result.m_patient = spec.m_patient;
  result.m_checkpointable = spec.m_patient && !spec.m_atMostOnce;
  result.m_atMostOnce = spec.m_atMostOnce;
  if (spec.m_perTask.m_accelerators > 0) {
    result.m_accelerator = kAcceleratorKind;
  }
  return result;
}

WorkerSliceOwner::WorkerSliceOwner(Runtime& aRuntime,
                                   SliceId aSlice,
                                   Epoch aEpoch,
                                   SliceAuthority aAuthority,
                                   MoveHooks aMoveHooks,
                                   sched::SchedulerOptions aOptions)
  : m_runtime(aRuntime)
  , m_slice(std::move(aSlice))
  , m_authority(std::move(aAuthority))
  , m_epoch(aEpoch)
  , m_store(std::make_shared<JobStore>(
      RowAccessOf(aRuntime),
      m_slice,
      aRuntime.Self().Value() + "/" +
        std::to_string(aRuntime.ProcessIncarnation()),
      aEpoch))
  , m_expiry(std::make_shared<JobExpiry>(
      RowAccessOf(aRuntime),
      m_store,
      // The scheduler does not know jobs that had ended before the takeover.
      [this](const JobId& aJob) {
        return !m_scheduler.JobStatus(aJob) || m_scheduler.Forget(aJob);
      }))
  , m_moveHooks(std::move(aMoveHooks))
  , m_scheduler(aOptions)
{
}

WorkerSliceOwner::~WorkerSliceOwner()
{
  for (auto& [vm, worker] : m_workers) {
    worker.m_session->Close();
  }
}

void
WorkerSliceOwner::LoadJobs()
{
  m_store->Load(
    [weak = weak_from_this()](const jobs::JobRecord& aRecord) {
      if (const auto self = weak.lock()) {
        self->Recover(aRecord);
      }
    },
    [weak = weak_from_this()](bool aDone) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      if (aDone) {
        self->m_loaded = true;
        self->OpenIfReady();
        return;
      }
      self->m_runtime.Loop().After(kLoadRetryDelay, [weak] {
        if (const auto again = weak.lock()) {
          again->LoadJobs();
        }
      });
    });
}

void
WorkerSliceOwner::RereadJobs()
{
  if (!IsOpen()) {
    // The pages read so far lack rows written behind them since.
    m_rereadWhenOpen = true;
    return;
  }
  if (m_authority.m_mayAct()) {
    LoadJobs();
  }
}

void
WorkerSliceOwner::Recover(const jobs::JobRecord& aRecord)
{
  if (!jobs::MayStillRun(aRecord)) {
    return;
  }
  sched::RecoveredTasks tasks;
  tasks.m_marked = ToVector(aRecord.m_marked);
  tasks.m_succeeded = ToVector(aRecord.m_succeeded);
  tasks.m_cancelled = aRecord.m_cancelRequested;
  m_scheduler.Recover(net::Loop::Now(), ToSchedSpec(aRecord), tasks);
  m_runtime.OwnerTimer().CallSoon();
}

void
WorkerSliceOwner::UpdateWorkers(const std::vector<vmlist::Vm>& aVms)
{
  m_capacityMillicores = 0;
  for (const vmlist::Vm& vm : aVms) {
    WorkerOf(vm).m_vm = vm;
    // Fronts choose a slice by what it can still take.
    m_capacityMillicores += IsLeaving(vm) ? 0 : vm.m_capacity.m_millicores;
    m_scheduler.SetCordoned(vm.m_vm, IsLeaving(vm));
  }
}

WorkerSliceOwner::Worker&
WorkerSliceOwner::WorkerOf(const vmlist::Vm& aVm)
{
  Worker& worker = m_workers[aVm.m_vm];
  if (worker.m_session) {
    return worker;
  }
  worker.m_vm = aVm;
  worker.m_session = std::make_shared<WorkerSession>(
    m_runtime,
    m_slice,
    aVm.m_address,
    [this, vm = aVm.m_vm]() -> std::optional<Credentials> {
      const std::uint64_t token =
        m_authority.m_mayAct() ? m_authority.m_workerToken(vm) : 0;
      if (token == 0) {
        return std::nullopt;
      }
      return Credentials{ m_epoch, token };
    },
    [this, vm = aVm.m_vm](const worker::ControlOutcome& aOutcome,
                          const std::vector<worker::Command>& aCommands) {
      OnControl(vm, aOutcome, aCommands);
    });
  return worker;
}

void
WorkerSliceOwner::SetTeam(const TeamId& aTeam,
                          const settings::TeamSettings& aSettings)
{
  const Time now = net::Loop::Now();
  m_runtime.OwnerTimer().CallSoon();
  if (aSettings.m_limitMillicores) {
    m_scheduler.SetTeam(
      now, aTeam, aSettings.m_weight, *aSettings.m_limitMillicores);
    return;
  }
  m_scheduler.SetTeam(now, aTeam, aSettings.m_weight);
  m_scheduler.SetAllotment(aTeam, kUnlimitedMillicores);
}

void
WorkerSliceOwner::SetAllotment(const TeamId& aTeam, std::int64_t aMillicores)
{
  m_scheduler.SetAllotment(aTeam, aMillicores);
  m_runtime.OwnerTimer().CallSoon();
}

void
WorkerSliceOwner::SetLimitStops(const sched::SchedulerOptions& aOptions)
{
  m_scheduler.SetAllotmentWaits(aOptions.m_allotmentPatientWait,
                                aOptions.m_allotmentWait);
}

void
WorkerSliceOwner::SendControl(const VmId& aWorker,
                              const worker::ControlRequest& aRequest)
{
  const auto found = m_workers.find(aWorker);
  if (found != m_workers.end()) {
    found->second.m_session->Request(aRequest);
    m_runtime.OwnerTimer().CallSoon();
  }
}

void
WorkerSliceOwner::OnControl(const VmId& aWorker,
                            const worker::ControlOutcome& aOutcome,
                            const std::vector<worker::Command>& aCommands)
{
  m_runtime.OwnerTimer().CallSoon();
  Worker& worker = m_workers.at(aWorker);
  for (const worker::Command& command : aCommands) {
    worker.m_startsUnderWay.erase(command.m_task);
  }
  if (!aOutcome.m_reply) {
    return;
  }
  m_authority.m_onReply(aWorker, *aOutcome.m_reply);
  if (!aOutcome.m_reply->m_accepted || !m_authority.m_mayAct()) {
    return;
  }
  if (!worker.m_adopted) {
    Adopt(worker, *aOutcome.m_reply);
  } else {
    TakeEnds(worker, *aOutcome.m_reply);
    Reconcile(worker, *aOutcome.m_reply);
  }
  PlanPoll(worker, *aOutcome.m_reply);
}

void
WorkerSliceOwner::PlanPoll(Worker& aWorker, const worker::ControlReply& aReply)
{
  const Time now = net::Loop::Now();
  std::map<TaskId, ExpectedRun> runs;
  aWorker.m_nextPoll = Time::max();
  for (const worker::RunningTask& task : aReply.m_running) {
    const jobs::JobRecord* job = m_store->Find(task.m_task.m_job);
    if (job == nullptr || job->m_spec.m_kind == caller::JobKind::Service) {
      continue;
    }
    const auto known = aWorker.m_expectedRuns.find(task.m_task);
    const ExpectedRun run = known == aWorker.m_expectedRuns.end()
                              ? ExpectedRun{ now, Time::max() }
                              : known->second;
    runs[task.m_task] = run;
    aWorker.m_nextPoll = std::min(aWorker.m_nextPoll, now + PollWait(now, run));
  }
  // Starts that the worker does not know yet are in a later answer.
  for (const auto& [task, start] : aWorker.m_startsUnderWay) {
    runs[task] = aWorker.m_expectedRuns[task];
  }
  aWorker.m_expectedRuns = std::move(runs);
}

void
WorkerSliceOwner::Adopt(Worker& aWorker, const worker::ControlReply& aReply)
{
  const Time now = net::Loop::Now();
  aWorker.m_adopted = true;
  m_scheduler.UpsertWorker(now, ToWorkerSpec(aWorker.m_vm, aReply.m_capacity));
  m_scheduler.SetCordoned(aWorker.m_vm.m_vm, IsLeaving(aWorker.m_vm));
  // Tasks that ended under the former owner are taken over as running and ended
  // at once, so that their ends are counted like all others.
  auto inventory = aReply.m_running;
  for (const worker::EndedTask& ended : aReply.m_ended) {
    const jobs::JobRecord* job = m_store->Find(ended.m_task.m_job);
    if (job != nullptr && !job->m_succeeded.contains(ended.m_task.m_index)) {
      worker::RunningTask task;
      task.m_task = ended.m_task;
      task.m_attempt = ended.m_attempt;
      task.m_reserved = job->m_spec.m_perTask;
      inventory.push_back(task);
    }
  }
  m_scheduler.Adopt(now, aWorker.m_vm.m_vm, inventory);
  TakeEnds(aWorker, aReply);
  observe::Event event;
  event.m_kind = EventKind::SliceAdopted;
  event.m_vm = aWorker.m_vm.m_vm;
  event.m_detail = m_slice.Value();
  m_runtime.Record(std::move(event));
}

void
WorkerSliceOwner::Reconcile(Worker& aWorker, const worker::ControlReply& aReply)
{
  // Starts that are decided but not sent yet are not in the inventory.
  auto inventory = aReply.m_running;
  for (const auto& [id, task] : aWorker.m_startsUnderWay) {
    inventory.push_back(task);
  }
  m_scheduler.Adopt(net::Loop::Now(), aWorker.m_vm.m_vm, inventory);
}

void
WorkerSliceOwner::TakeEnds(Worker& aWorker, const worker::ControlReply& aReply)
{
  for (const worker::EndedTask& ended : aReply.m_ended) {
    if (aWorker.m_session->NoteEnd(ended.m_sequence)) {
      TakeEnd(aWorker, ended);
    }
  }
  sched::WorkerReport report;
  report.m_worker = aWorker.m_vm.m_vm;
  report.m_running = aReply.m_running;
  m_scheduler.OnReport(net::Loop::Now(), report);
  StoreFinished();
}

void
WorkerSliceOwner::TakeEnd(Worker& aWorker, const worker::EndedTask& aTask)
{
  m_scheduler.OnTaskEnd(net::Loop::Now(),
                        aWorker.m_vm.m_vm,
                        aTask.m_task,
                        aTask.m_attempt,
                        aTask.m_outcome);
  RecordTask(EventKind::TaskEnded,
             aTask.m_task,
             aWorker.m_vm.m_vm,
             std::string(NameOf(aTask.m_outcome)));
  if (aTask.m_outcome != worker::TaskOutcome::Succeeded) {
    aWorker.m_session->OnEndDurable(aTask.m_sequence);
    return;
  }
  m_store->Succeed(
    aTask.m_task,
    [session = aWorker.m_session, sequence = aTask.m_sequence](bool aDurable) {
      if (aDurable) {
        session->OnEndDurable(sequence);
      }
    });
}

void
WorkerSliceOwner::StoreFinished()
{
  for (const JobId& job : m_scheduler.TakeFinished()) {
    const auto status = m_scheduler.JobStatus(job);
    if (status) {
      m_store->End(job, EndingOf(status->m_state), [](bool) {});
    }
  }
}

void
WorkerSliceOwner::OnWorkerLost(const VmId& aWorker)
{
  const auto found = m_workers.find(aWorker);
  if (found == m_workers.end()) {
    return;
  }
  found->second.m_adopted = false;
  found->second.m_startsUnderWay.clear();
  m_scheduler.RemoveWorker(net::Loop::Now(), aWorker);
  StoreFinished();
  m_runtime.OwnerTimer().CallSoon();
}

void
WorkerSliceOwner::OnOpened()
{
  m_opened = true;
  OpenIfReady();
}

void
WorkerSliceOwner::OpenIfReady()
{
  if (IsOpen()) {
    m_scheduler.SetOpen(true);
    StoreFinished();
    m_runtime.OwnerTimer().CallSoon();
    if (std::exchange(m_rereadWhenOpen, false)) {
      LoadJobs();
    }
  }
}

void
WorkerSliceOwner::Tick()
{
  if (IsOpen() && m_authority.m_mayAct()) {
    const auto actions =
      m_scheduler.Decide(net::Loop::Now(), kMaxStartsPerTick);
    m_decidedNothing = actions.empty();
    for (const sched::Action& action : actions) {
      CarryOut(action);
    }
    StoreFinished();
    m_expiry->Tick();
    TickSessions();
  }
  m_runtime.OwnerTimer().CallBy(NextWakeup());
}

void
WorkerSliceOwner::TickSessions()
{
  const Time now = net::Loop::Now();
  for (auto& [vm, worker] : m_workers) {
    if (worker.m_nextPoll <= now) {
      worker.m_nextPoll = Time::max();
      worker.m_session->Poll();
    } else {
      worker.m_session->Flush();
    }
  }
}

Time
WorkerSliceOwner::NextWakeup() const
{
  if (!IsOpen()) {
    return Time::max();
  }
  // No input tells when the authority comes back.
  if (!m_authority.m_mayAct()) {
    return Time::min();
  }
  Time next = m_expiry->NextWakeup();
  for (const sched::TeamUsage& usage : m_scheduler.Usages()) {
    if (usage.m_runningMillicores > 0 || usage.m_waitingMillicores > 0) {
      if (!m_decidedNothing) {
        return Time::min();
      }
      next = std::min(next, net::Loop::Now() + kQuietPeriod);
      break;
    }
  }
  for (const auto& [vm, worker] : m_workers) {
    if (worker.m_session->NeedsFlush()) {
      return Time::min();
    }
    next = std::min(next, worker.m_nextPoll);
  }
  return next;
}

void
WorkerSliceOwner::CarryOut(const sched::Action& aAction)
{
  if (aAction.m_kind == sched::ActionKind::MarkStarted) {
    MarkStarted(aAction.m_task);
    return;
  }
  const auto found = m_workers.find(aAction.m_worker);
  if (found == m_workers.end()) {
    return;
  }
  found->second.m_session->Enqueue(sched::ToCommand(aAction));
  if (aAction.m_kind != sched::ActionKind::Start) {
    m_runtime.Metrics().Add(Metric::Preemptions, { NameOf(aAction.m_kind) });
    RecordTask(EventKind::TaskPreempted,
               aAction.m_task,
               aAction.m_worker,
               std::string(NameOf(aAction.m_kind)));
    return;
  }
  worker::RunningTask& start = found->second.m_startsUnderWay[aAction.m_task];
  start.m_task = aAction.m_task;
  start.m_attempt = aAction.m_attempt;
  start.m_reserved = aAction.m_reserved;
  const Time now = net::Loop::Now();
  found->second.m_expectedRuns[aAction.m_task] = {
    now, now + milliseconds(aAction.m_runMs)
  };
  const jobs::JobRecord* job = m_store->Find(aAction.m_task.m_job);
  const bool urgent = job != nullptr && job->m_spec.m_urgent;
  m_runtime.Metrics().Add(Metric::TaskStarts, { urgent ? "urgent" : "other" });
  RecordTask(EventKind::TaskStarted, aAction.m_task, aAction.m_worker, "");
}

void
WorkerSliceOwner::MarkStarted(const TaskId& aTask)
{
  m_store->Mark(aTask, [weak = weak_from_this(), aTask](bool aDurable) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    if (aDurable) {
      self->m_scheduler.OnMarked(net::Loop::Now(), aTask);
    } else {
      self->m_scheduler.OnMarkFailed(net::Loop::Now(), aTask);
    }
    self->m_runtime.OwnerTimer().CallSoon();
  });
}

std::optional<std::string>
WorkerSliceOwner::Submit(const jobs::JobRecord& aRecord, RowVersion aVersion)
{
  if (!m_store->Add(aRecord, aVersion)) {
    return std::nullopt;
  }
  const Time now = net::Loop::Now();
  // A job that has moved was accepted before. It waits if workers are missing
  // here, and may move on.
  std::optional<sched::NeverRunnable> never;
  if (aRecord.m_movedFrom.empty()) {
    never = m_scheduler.Submit(now, ToSchedSpec(aRecord));
  } else {
    m_scheduler.PutBack(now, ToSchedSpec(aRecord));
  }
  m_runtime.OwnerTimer().CallSoon();
  observe::Event event;
  event.m_kind = EventKind::JobQueued;
  event.m_job = aRecord.m_id;
  event.m_team = aRecord.m_team;
  event.m_detail = m_slice.Value();
  m_runtime.Record(event);
  if (!never) {
    return std::nullopt;
  }
  m_store->End(aRecord.m_id, jobs::JobEnding::Failed, [](bool) {});
  return never->m_message;
}

bool
WorkerSliceOwner::Cancel(const JobId& aJob)
{
  if (m_mover && m_mover->Cancel(aJob)) {
    return true;
  }
  const bool known = m_scheduler.Cancel(net::Loop::Now(), aJob);
  m_runtime.OwnerTimer().CallSoon();
  if (known) {
    m_store->RequestCancel(aJob, [](bool) {});
    observe::Event event;
    event.m_kind = EventKind::JobCancelled;
    event.m_job = aJob;
    m_runtime.Record(event);
  }
  return known;
}

std::vector<sched::MovableJob>
WorkerSliceOwner::MovableJobs() const
{
  std::vector<sched::MovableJob> movable;
  for (const sched::RoomWait& wait : m_scheduler.WaitingForRoom()) {
    const jobs::JobRecord* record = m_store->Find(wait.m_job);
    if (record == nullptr) {
      continue;
    }
    const caller::JobSpec& spec = record->m_spec;
    sched::MovableJob job;
    job.m_job = wait.m_job;
    job.m_since = wait.m_since;
    job.m_region = spec.m_region;
    job.m_urgent = spec.m_urgent;
    job.m_tasks = spec.m_kind == caller::JobKind::Gang ? spec.m_tasks : 1;
    job.m_perTask = spec.m_perTask;
    job.m_allMillicores = spec.m_perTask.m_millicores * spec.m_tasks;
    job.m_movedFrom = record->m_movedFrom;
    movable.push_back(std::move(job));
  }
  return movable;
}

void
WorkerSliceOwner::MoveWaitingJobs(
  const RegionId& aRegion,
  const std::function<std::vector<sched::MoveTarget>()>& aTargets,
  const std::function<void(const SliceId&, std::int64_t)>& aOnSent)
{
  if (!IsOpen() || !m_authority.m_mayAct()) {
    return;
  }
  std::vector<sched::MovableJob> movable = MovableJobs();
  if (movable.empty()) {
    return;
  }
  if (!m_mover) {
    m_moveHooks.m_putBack =
      [weak = weak_from_this()](const jobs::JobRecord& aRecord, bool aCancel) {
        if (const auto self = weak.lock()) {
          self->PutBack(aRecord, aCancel);
        }
      };
    m_mover =
      std::make_shared<JobMover>(RowAccessOf(m_runtime), m_store, m_moveHooks);
  }
  // While the table is slow, moves under way count against the next second.
  const std::size_t open = std::min(m_mover->size(), sched::kMaxMovesPerSecond);
  const Time now = net::Loop::Now();
  for (const sched::JobMove& move :
       sched::PlanMoves(now,
                        aRegion,
                        std::move(movable),
                        aTargets(),
                        sched::kMaxMovesPerSecond - open)) {
    const jobs::JobRecord record = *m_store->Find(move.m_job);
    if (!m_scheduler.TakeOut(move.m_job)) {
      continue;
    }
    if (!m_mover->Begin(move.m_job, move.m_to)) {
      m_scheduler.PutBack(now, ToSchedSpec(record));
      continue;
    }
    aOnSent(move.m_to,
            record.m_spec.m_perTask.m_millicores * record.m_spec.m_tasks);
  }
  m_runtime.OwnerTimer().CallSoon();
}

void
WorkerSliceOwner::PutBack(const jobs::JobRecord& aRecord, bool aCancel)
{
  m_runtime.Metrics().Add(Metric::JobMoves, { "put_back" });
  m_scheduler.PutBack(net::Loop::Now(), ToSchedSpec(aRecord));
  m_runtime.OwnerTimer().CallSoon();
  if (aCancel) {
    Cancel(aRecord.m_id);
  }
}

std::uint32_t
WorkerSliceOwner::Resolve(const JobId& aJob, bool aRunAgain)
{
  m_runtime.OwnerTimer().CallSoon();
  const std::uint32_t tasks =
    m_scheduler.Resolve(net::Loop::Now(), aJob, aRunAgain);
  if (tasks > 0 && aRunAgain) {
    m_store->Reopen(aJob, [](bool) {});
  }
  StoreFinished();
  return tasks;
}

const jobs::JobRecord*
WorkerSliceOwner::Find(const JobId& aJob) const
{
  return m_store->Find(aJob);
}

std::optional<sched::JobSummary>
WorkerSliceOwner::StatusOf(const JobId& aJob) const
{
  return m_scheduler.JobStatus(aJob);
}

std::optional<sched::Explanation>
WorkerSliceOwner::ExplanationOf(const JobId& aJob) const
{
  return m_scheduler.Explain(net::Loop::Now(), aJob);
}

std::int64_t
WorkerSliceOwner::FreeMillicores() const
{
  std::int64_t running = 0;
  for (const sched::TeamUsage& usage : m_scheduler.Usages()) {
    running += usage.m_runningMillicores;
  }
  return std::max<std::int64_t>(m_capacityMillicores - running, 0);
}

WaitingTasks
WorkerSliceOwner::CountWaiting() const
{
  WaitingTasks waiting;
  m_store->ForEachOpen([&](const jobs::JobRecord& aJob) {
    const auto status = m_scheduler.JobStatus(aJob.m_id);
    if (status) {
      (aJob.m_spec.m_urgent ? waiting.m_urgent : waiting.m_other) +=
        status->m_pending;
    }
  });
  return waiting;
}

void
WorkerSliceOwner::RecordTask(EventKind aKind,
                             const TaskId& aTask,
                             const VmId& aWorker,
                             const std::string& aDetail)
{
  observe::Event event;
  event.m_kind = aKind;
  event.m_job = aTask.m_job;
  event.m_vm = aWorker;
  event.m_detail = "task " + std::to_string(aTask.m_index);
  if (!aDetail.empty()) {
    event.m_detail += " " + aDetail;
  }
  m_runtime.Record(std::move(event));
}

} // namespace lacewing::daemon
