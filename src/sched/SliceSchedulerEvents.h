/// Events of `SliceScheduler`: what became known about workers, jobs and tasks.
#pragma once

#include "sched/SliceScheduler.h"

#include <algorithm>

namespace lacewing::sched {

// Shortens the heads of the member functions below; undefined at the end.
#define LACEWING_SCHED_TEMPLATE                                                \
  template<TeamOrder Order, PlacementPolicy Placement, typename Checks>
#define LACEWING_SCHED SliceScheduler<Order, Placement, Checks>

LACEWING_SCHED_TEMPLATE
LACEWING_SCHED::SliceScheduler(SchedulerOptions aOptions)
  : m_options(aOptions)
{
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::UpsertWorker(Time aNow, const WorkerSpec& aSpec)
{
  const std::uint32_t known = m_state.FindWorker(aSpec.m_id);
  if (known != kNone) {
    const WorkerSpec& old = m_state.WorkerAt(known).m_spec;
    if (old.m_domain == aSpec.m_domain && old.m_rack == aSpec.m_rack &&
        old.m_accelerator == aSpec.m_accelerator) {
      m_state.SetCapacity(known, aSpec.m_capacity);
      return;
    }
    RemoveWorker(aNow, aSpec.m_id);
  }
  m_state.AddWorker(aSpec);
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::RemoveWorker(Time aNow, const VmId& aWorker)
{
  const std::uint32_t index = m_state.FindWorker(aWorker);
  if (index == kNone) {
    return;
  }
  if (m_state.WorkerAt(index).m_heldForGang) {
    DropReservation();
  }
  LoseTasks(aNow, index, {});
  const std::vector<worker::RunningTask> unclaimed =
    m_state.WorkerAt(index).m_unclaimed;
  for (const worker::RunningTask& task : unclaimed) {
    EndUnclaimed(index, task.m_task);
  }
  std::erase(m_suspects, index);
  m_probes.erase(index);
  m_state.DropWorker(index);
}

LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::Adopt(Time aNow,
                      const VmId& aWorker,
                      const std::vector<worker::RunningTask>& aInventory)
{
  const std::uint32_t index = m_state.FindWorker(aWorker);
  if (index == kNone) {
    return false;
  }
  std::unordered_set<TaskId> present;
  for (const worker::RunningTask& task : aInventory) {
    present.insert(task.m_task);
  }
  LoseTasks(aNow, index, present);
  const std::vector<worker::RunningTask> unclaimed =
    m_state.WorkerAt(index).m_unclaimed;
  for (const worker::RunningTask& task : unclaimed) {
    EndUnclaimed(index, task.m_task);
  }
  for (const worker::RunningTask& task : aInventory) {
    Claim(aNow, index, task);
  }
  return true;
}

/// Ends the running tasks of the worker that are not kept, and takes the place
/// of those that have not been started.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::LoseTasks(Time aNow,
                          std::uint32_t aWorker,
                          const std::unordered_set<TaskId>& aKept)
{
  const std::vector<TaskRef> tasks = m_state.WorkerAt(aWorker).m_tasks;
  for (const TaskRef ref : tasks) {
    const Task& task = m_state.TaskAt(ref);
    if (task.m_worker != aWorker) {
      continue; // Ended together with another task of its gang.
    }
    const JobId& job = m_state.JobAt(ref.m_job).m_spec.m_id;
    if (task.m_state != TaskState::Running) {
      Unplace(ref);
    } else if (!aKept.contains(TaskId{ job, ref.m_index })) {
      Finish(aNow, ref, worker::TaskOutcome::LeaseExpired);
    }
  }
}

/// True if the task has no place, or one where it has not been started.
LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::CanClaim(TaskRef aRef) const
{
  const Job& job = m_state.JobAt(aRef.m_job);
  switch (m_state.TaskAt(aRef).m_state) {
    case TaskState::Pending:
    case TaskState::Marking:
    case TaskState::Marked:
    case TaskState::Pledged:
      return !job.m_gaveUp;
    case TaskState::Cancelled:
      return true;
    case TaskState::Running:
    case TaskState::Succeeded:
    case TaskState::Failed:
    case TaskState::MayHaveRun:
      break;
  }
  return false;
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::Claim(Time aNow,
                      std::uint32_t aWorker,
                      const worker::RunningTask& aFound)
{
  const TaskRef ref = FindTask(aFound.m_task);
  if (ref.m_job == kNone) {
    AddUnclaimed(aWorker, aFound);
    return;
  }
  const Task& task = m_state.TaskAt(ref);
  if (task.m_state == TaskState::Running && task.m_worker == aWorker &&
      task.m_attempt == aFound.m_attempt) {
    ApplyMeasured(ref, aFound.m_used);
    return;
  }
  if (!CanClaim(ref)) {
    AddUnclaimed(aWorker, aFound);
    return;
  }
  if (task.m_worker != kNone) {
    Unplace(ref);
  }
  m_state.ErasePending(ref);
  m_state.HoldRunning(aNow, ref, aWorker, aFound);
  if (aFound.m_throttled) {
    m_state.SetThrottled(ref, true, m_options.m_throttledPart);
    m_throttledWorkers.push_back(aWorker);
  }
  Job& job = m_state.JobAt(ref.m_job);
  job.m_reported = false;
  if (job.m_cancelled) {
    m_abandoned.push_back({ ref.m_job, job.m_sequence });
  }
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::AddUnclaimed(std::uint32_t aWorker,
                             const worker::RunningTask& aFound)
{
  m_state.AddUnclaimed(aWorker, aFound);
  m_unclaimed[aFound.m_task] = { aWorker, aFound, false };
}

LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::EndUnclaimed(std::uint32_t aWorker, const TaskId& aTask)
{
  const auto found = m_unclaimed.find(aTask);
  if (found != m_unclaimed.end() && found->second.m_worker == aWorker) {
    m_unclaimed.erase(found);
  }
  return m_state.TakeUnclaimed(aWorker, aTask);
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::SetOpen(bool aOpen)
{
  const bool opened = aOpen && !m_open;
  m_open = aOpen;
  if (opened) {
    for (std::uint32_t job = 0; job < m_state.JobSlots(); ++job) {
      if (m_state.JobAt(job).m_sequence != 0) {
        SettleOpening(job);
      }
    }
  }
}

/// Decides about tasks that no inventory contains: marked ones may have run,
/// and a gang that is not whole is ended.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::SettleOpening(std::uint32_t aJob)
{
  Job& job = m_state.JobAt(aJob);
  const bool wasOver = IsOver(job);
  for (std::uint32_t index = 0; index < job.m_tasks.size(); ++index) {
    Task& task = job.m_tasks[index];
    if (task.m_mayHaveStarted && task.m_state == TaskState::Pending &&
        !job.m_cancelled) {
      m_state.ErasePending({ aJob, index });
      EndForGood({ aJob, index }, TaskState::MayHaveRun);
    }
    task.m_mayHaveStarted = false;
  }
  if (job.m_spec.m_kind == JobKind::Gang && !wasOver) {
    SettleGang(aJob);
  }
  NoteIfOver(aJob);
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::SettleGang(std::uint32_t aJob)
{
  const Job& job = m_state.JobAt(aJob);
  const bool incomplete = !job.m_pending.empty() || job.m_mayHaveRun > 0;
  const bool begun =
    job.m_holding > 0 || job.m_succeeded > 0 || job.m_mayHaveRun > 0;
  if (incomplete && begun && !job.m_cancelled && !job.m_gaveUp) {
    BeginTearDown(aJob);
  }
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::SetTeam(Time aNow,
                        const TeamId& aTeam,
                        double aWeight,
                        std::int64_t aLimitMillicores)
{
  (void)aNow;
  Team& team = m_state.TeamAt(m_state.FindOrAddTeam(aTeam));
  // A weight of zero would divide by zero; such a team comes last.
  constexpr double kSmallestWeight = 1e-6;
  team.m_weight = std::max(aWeight, kSmallestWeight);
  team.m_limit = aLimitMillicores;
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::SetAllotment(const TeamId& aTeam, std::int64_t aMillicores)
{
  m_state.TeamAt(m_state.FindOrAddTeam(aTeam)).m_allotment = aMillicores;
}

LACEWING_SCHED_TEMPLATE
std::uint32_t
LACEWING_SCHED::AddJob(const JobSpec& aSpec)
{
  const std::uint32_t index = m_state.AddJob(aSpec);
  // Pending tasks are taken from the end of the list.
  for (std::uint32_t task = aSpec.m_tasks; task-- > 0;) {
    m_state.AddPending({ index, task });
  }
  return index;
}

LACEWING_SCHED_TEMPLATE
std::optional<NeverRunnable>
LACEWING_SCHED::Submit(Time aNow, const JobSpec& aSpec)
{
  if (m_state.FindJob(aSpec.m_id) != kNone) {
    return std::nullopt;
  }
  if (auto never = m_state.WhyNever(aSpec, m_open)) {
    return never;
  }
  const std::uint32_t index = AddJob(aSpec);
  m_state.Enqueue(index);
  ClaimFound(aNow, index);
  return std::nullopt;
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::Recover(Time aNow,
                        const JobSpec& aSpec,
                        const RecoveredTasks& aTasks)
{
  if (m_state.FindJob(aSpec.m_id) != kNone || aSpec.m_tasks == 0) {
    return;
  }
  const std::uint32_t index = AddJob(aSpec);
  Job& job = m_state.JobAt(index);
  for (const std::uint32_t task : aTasks.m_succeeded) {
    if (task < aSpec.m_tasks &&
        job.m_tasks[task].m_state == TaskState::Pending) {
      m_state.ErasePending({ index, task });
      EndForGood({ index, task }, TaskState::Succeeded);
    }
  }
  for (const std::uint32_t task : aTasks.m_marked) {
    if (task < aSpec.m_tasks) {
      job.m_tasks[task].m_marked = true;
      job.m_tasks[task].m_mayHaveStarted = true;
    }
  }
  if (aTasks.m_cancelled) {
    job.m_cancelled = true;
    m_state.AbandonPending(index);
  } else if (!job.m_pending.empty()) {
    m_state.Enqueue(index);
  }
  ClaimFound(aNow, index);
  if (m_open) {
    SettleOpening(index);
  }
}

/// Takes over tasks of the job that were found before the job was known. One
/// that is being stopped is waited for, so that it never runs twice.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::ClaimFound(Time aNow, std::uint32_t aJob)
{
  if (m_unclaimed.empty()) {
    return;
  }
  const JobId id = m_state.JobAt(aJob).m_spec.m_id;
  for (std::uint32_t task = 0; task < m_state.JobAt(aJob).m_spec.m_tasks;
       ++task) {
    const auto found = m_unclaimed.find(TaskId{ id, task });
    if (found == m_unclaimed.end()) {
      continue;
    }
    const FoundUnclaimed unclaimed = found->second;
    EndUnclaimed(unclaimed.m_worker, unclaimed.m_task.m_task);
    Claim(aNow, unclaimed.m_worker, unclaimed.m_task);
    if (unclaimed.m_stopSent) {
      m_state.SetStopping({ aJob, task });
    }
  }
}

LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::Cancel(Time aNow, const JobId& aJob)
{
  (void)aNow;
  const std::uint32_t index = m_state.FindJob(aJob);
  if (index == kNone || IsOver(m_state.JobAt(index))) {
    return false;
  }
  Job& job = m_state.JobAt(index);
  job.m_cancelled = true;
  job.m_tearDown = false;
  m_state.AbandonPending(index);
  if (job.m_holding > 0) {
    m_abandoned.push_back({ index, job.m_sequence });
  }
  NoteIfOver(index);
  return true;
}

LACEWING_SCHED_TEMPLATE
std::uint32_t
LACEWING_SCHED::Resolve(Time aNow, const JobId& aJob, bool aRunAgain)
{
  (void)aNow;
  const std::uint32_t index = m_state.FindJob(aJob);
  if (index == kNone || m_state.JobAt(index).m_cancelled) {
    return 0;
  }
  Job& job = m_state.JobAt(index);
  const std::uint32_t count = job.m_mayHaveRun;
  for (std::uint32_t task = 0; task < job.m_tasks.size(); ++task) {
    if (job.m_tasks[task].m_state != TaskState::MayHaveRun) {
      continue;
    }
    --job.m_mayHaveRun;
    job.m_tasks[task].m_marked = false;
    if (aRunAgain) {
      Requeue({ index, task });
    } else {
      EndForGood({ index, task }, TaskState::Failed);
    }
  }
  if (count > 0) {
    job.m_reported = false;
    NoteIfOver(index);
  }
  return count;
}

LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::Forget(const JobId& aJob)
{
  const std::uint32_t index = m_state.FindJob(aJob);
  if (index == kNone || !IsOver(m_state.JobAt(index))) {
    return false;
  }
  m_state.DropJob(index);
  return true;
}

LACEWING_SCHED_TEMPLATE
TaskRef
LACEWING_SCHED::FindTask(const TaskId& aTask) const
{
  const std::uint32_t job = m_state.FindJob(aTask.m_job);
  if (job == kNone || aTask.m_index >= m_state.JobAt(job).m_tasks.size()) {
    return {};
  }
  return { job, aTask.m_index };
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::OnReport(Time aNow, const WorkerReport& aReport)
{
  (void)aNow;
  const std::uint32_t index = m_state.FindWorker(aReport.m_worker);
  if (index == kNone) {
    return;
  }
  for (const worker::RunningTask& running : aReport.m_running) {
    const TaskRef ref = FindTask(running.m_task);
    if (ref.m_job == kNone) {
      continue;
    }
    const Task& task = m_state.TaskAt(ref);
    // A report may be older than the present attempt of the task.
    if (task.m_state == TaskState::Running && task.m_worker == index &&
        task.m_attempt == running.m_attempt) {
      ApplyMeasured(ref, running.m_used);
    }
  }
  if (m_state.Unheld(index).m_memoryMib < 0) {
    m_overloaded.push_back(index);
  }
}

/// Memory follows the measured peak, processors the larger of the declared and
/// the latest measured value. A throttled task keeps what it was cut to.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::ApplyMeasured(TaskRef aRef, const Resources& aUsed)
{
  Job& job = m_state.JobAt(aRef.m_job);
  const Task& task = m_state.TaskAt(aRef);
  const std::int64_t memory =
    std::max<std::int64_t>(task.m_memoryMib, aUsed.m_memoryMib);
  const std::int64_t cores =
    task.m_throttled
      ? task.m_millicores
      : std::max(job.m_spec.m_perTask.m_millicores, aUsed.m_millicores);
  m_state.Resize(aRef, cores, memory);
  m_state.LearnMemory(aRef.m_job, memory);
}

LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::OnTaskEnd(Time aNow,
                          const VmId& aWorker,
                          const TaskId& aTask,
                          std::uint32_t aAttempt,
                          worker::TaskOutcome aOutcome)
{
  const std::uint32_t index = m_state.FindWorker(aWorker);
  if (index == kNone) {
    return false;
  }
  const TaskRef ref = FindTask(aTask);
  if (ref.m_job != kNone) {
    const Task& task = m_state.TaskAt(ref);
    if (task.m_state == TaskState::Running && task.m_worker == index &&
        task.m_attempt == aAttempt) {
      Finish(aNow, ref, aOutcome);
      return true;
    }
  }
  const auto unclaimed = m_unclaimed.find(aTask);
  return unclaimed != m_unclaimed.end() &&
         unclaimed->second.m_worker == index &&
         unclaimed->second.m_task.m_attempt == aAttempt &&
         EndUnclaimed(index, aTask);
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::OnMarked(Time aNow, const TaskId& aTask)
{
  (void)aNow;
  const TaskRef ref = FindTask(aTask);
  if (ref.m_job == kNone) {
    return;
  }
  Task& task = m_state.TaskAt(ref);
  if (task.m_state == TaskState::Pending) {
    // The place was lost while the mark was written; no start was sent.
    task.m_marked = true;
  }
  if (task.m_state != TaskState::Marking) {
    return;
  }
  task.m_marked = true;
  task.m_state = TaskState::Marked;
  --m_state.JobAt(ref.m_job).m_marksMissing;
  m_marked.push_back(aTask);
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::OnMarkFailed(Time aNow, const TaskId& aTask)
{
  const TaskRef ref = FindTask(aTask);
  if (ref.m_job == kNone || m_state.TaskAt(ref).m_state != TaskState::Marking) {
    return;
  }
  m_state.JobAt(ref.m_job).m_notBefore = aNow + m_options.m_retryWait;
  Unplace(ref);
}

/// Takes the place of a task that has not been started. A gang loses all of its
/// places.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::Unplace(TaskRef aRef)
{
  Job& job = m_state.JobAt(aRef.m_job);
  const TaskState state = m_state.TaskAt(aRef).m_state;
  if (state == TaskState::Marking) {
    --job.m_marksMissing;
  }
  if (state == TaskState::Pledged) {
    std::erase(m_pledges, aRef);
  }
  std::erase_if(m_probes,
                [&](const auto& aProbe) { return aProbe.second == aRef; });
  const bool ends = job.m_cancelled || job.m_gaveUp;
  m_state.Release(aRef, ends ? TaskState::Cancelled : TaskState::Pending);
  if (ends) {
    NoteIfOver(aRef.m_job);
  } else if (job.m_tearDown) {
    EndTearDown(aRef.m_job);
  } else if (job.m_spec.m_kind == JobKind::Gang) {
    BeginTearDown(aRef.m_job);
  } else {
    Requeue(aRef);
  }
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::Requeue(TaskRef aRef)
{
  m_state.AddPending(aRef);
  Job& job = m_state.JobAt(aRef.m_job);
  if (!job.m_queued) {
    job.m_wait = WaitReason::NotYetConsidered;
    m_state.Enqueue(aRef.m_job);
  }
}

/// Ends an attempt that was running.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::Finish(Time aNow, TaskRef aRef, worker::TaskOutcome aOutcome)
{
  const std::uint32_t worker = m_state.TaskAt(aRef).m_worker;
  if (aOutcome == worker::TaskOutcome::Succeeded) {
    NoteSuccess(aNow, aRef, worker);
  } else if (aOutcome == worker::TaskOutcome::Failed) {
    NoteFailure(aNow, aRef, worker);
  }
  const auto probe = m_probes.find(worker);
  if (probe != m_probes.end() && probe->second == aRef) {
    m_probes.erase(probe);
  }
  FinishAttempt(aNow, aRef, aOutcome);
  NoteIfOver(aRef.m_job);
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::FinishAttempt(Time aNow,
                              TaskRef aRef,
                              worker::TaskOutcome aOutcome)
{
  Job& job = m_state.JobAt(aRef.m_job);
  Task& task = m_state.TaskAt(aRef);
  if (aOutcome == worker::TaskOutcome::Checkpointed) {
    task.m_doneMs +=
      static_cast<std::uint32_t>(ToMilliseconds(aNow - task.m_since));
  }
  m_state.Release(aRef, TaskState::Pending);
  if (aOutcome == worker::TaskOutcome::Succeeded) {
    EndForGood(aRef, TaskState::Succeeded);
  } else if (job.m_spec.m_atMostOnce) {
    EndForGood(aRef,
               aOutcome == worker::TaskOutcome::Failed ? TaskState::Failed
                                                       : TaskState::MayHaveRun);
  } else if (job.m_cancelled || job.m_gaveUp) {
    task.m_state = TaskState::Cancelled;
  } else if (task.m_failures >= m_options.m_taskFailures) {
    EndForGood(aRef, TaskState::Failed);
  } else if (job.m_spec.m_kind != JobKind::Gang) {
    Requeue(aRef);
  }
  const bool succeeded = aOutcome == worker::TaskOutcome::Succeeded;
  if (job.m_tearDown) {
    EndTearDown(aRef.m_job);
  } else if (job.m_spec.m_kind == JobKind::Gang && !succeeded &&
             !job.m_cancelled && !job.m_gaveUp) {
    BeginTearDown(aRef.m_job);
  }
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::EndForGood(TaskRef aRef, TaskState aState)
{
  Job& job = m_state.JobAt(aRef.m_job);
  m_state.TaskAt(aRef).m_state = aState;
  if (aState == TaskState::Succeeded) {
    ++job.m_succeeded;
  } else if (aState == TaskState::MayHaveRun) {
    ++job.m_mayHaveRun;
  } else {
    ++job.m_failed;
  }
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::NoteSuccess(Time aNow, TaskRef aRef, std::uint32_t aWorker)
{
  m_state.WorkerAt(aWorker).m_health.OnSuccess(aNow, m_options.m_health);
  m_state.JobAt(aRef.m_job).m_failedOn.clear();
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::NoteFailure(Time aNow, TaskRef aRef, std::uint32_t aWorker)
{
  Worker& worker = m_state.WorkerAt(aWorker);
  Job& job = m_state.JobAt(aRef.m_job);
  job.m_notBefore = aNow + m_options.m_retryWait;
  // A job that has failed elsewhere too says little about this worker, and a
  // failure on a suspect worker says little about the job.
  const bool failedElsewhere =
    std::any_of(job.m_failedOn.begin(),
                job.m_failedOn.end(),
                [&](std::uint32_t aOther) { return aOther != aWorker; });
  if (!failedElsewhere) {
    worker.m_health.OnFailure(aNow, m_options.m_health, job.m_sequence);
  }
  if (worker.m_suspect) {
    return;
  }
  if (worker.m_health.IsSuspect(aNow, m_options.m_health)) {
    worker.m_suspect = true;
    m_suspects.push_back(aWorker);
    m_state.Touch(aWorker);
    if (worker.m_heldForGang) {
      DropReservation();
    }
    return;
  }
  ++m_state.TaskAt(aRef).m_failures;
  if (std::find(job.m_failedOn.begin(), job.m_failedOn.end(), aWorker) ==
      job.m_failedOn.end()) {
    job.m_failedOn.push_back(aWorker);
  }
  if (job.m_failedOn.size() >= m_options.m_jobFailureWorkers) {
    GiveUp(aRef.m_job);
  }
}

/// Ends a job that fails wherever it runs.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::GiveUp(std::uint32_t aJob)
{
  Job& job = m_state.JobAt(aJob);
  if (job.m_gaveUp || job.m_cancelled) {
    return;
  }
  job.m_gaveUp = true;
  job.m_tearDown = false;
  m_state.AbandonPending(aJob);
  m_abandoned.push_back({ aJob, job.m_sequence });
}

/// Ends a gang that has lost a task: places are given back, running tasks are
/// stopped with the next decision.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::BeginTearDown(std::uint32_t aJob)
{
  Job& job = m_state.JobAt(aJob);
  job.m_tearDown = true;
  m_state.AbandonPending(aJob);
  for (std::uint32_t index = 0; index < job.m_tasks.size(); ++index) {
    const TaskRef ref{ aJob, index };
    const Task& task = job.m_tasks[index];
    if (task.m_worker != kNone && task.m_state != TaskState::Running) {
      m_state.Release(ref, TaskState::Pending);
    }
  }
  job.m_marksMissing = 0;
  m_abandoned.push_back({ aJob, job.m_sequence });
  EndTearDown(aJob);
}

/// Queues the gang again once none of its tasks has a place. Tasks that had
/// succeeded run again with the others, but for at-most-once ones.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::EndTearDown(std::uint32_t aJob)
{
  Job& job = m_state.JobAt(aJob);
  if (job.m_holding > 0) {
    return;
  }
  job.m_tearDown = false;
  m_state.AbandonPending(aJob);
  // A part of an at-most-once gang cannot run again, and the rest alone is of
  // no use: the team decides about the whole gang.
  const bool partlyEnded =
    job.m_spec.m_atMostOnce && job.m_mayHaveRun + job.m_failed > 0;
  for (std::uint32_t index = job.m_spec.m_tasks; index-- > 0;) {
    Task& task = job.m_tasks[index];
    if (task.m_state == TaskState::Succeeded && !job.m_spec.m_atMostOnce) {
      --job.m_succeeded;
      task.m_state = TaskState::Pending;
    }
    if (task.m_state != TaskState::Pending) {
      continue;
    }
    if (partlyEnded) {
      EndForGood({ aJob, index }, TaskState::MayHaveRun);
    } else {
      Requeue({ aJob, index });
    }
  }
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::NoteIfOver(std::uint32_t aJob)
{
  // In a closed slice, inventories may still show tasks of the job.
  Job& job = m_state.JobAt(aJob);
  if (m_open && IsOver(job) && !job.m_reported) {
    job.m_reported = true;
    m_finished.push_back(job.m_spec.m_id);
  }
}

LACEWING_SCHED_TEMPLATE
std::optional<Explanation>
LACEWING_SCHED::Explain(Time aNow, const JobId& aJob) const
{
  const std::uint32_t index = m_state.FindJob(aJob);
  if (index == kNone) {
    return std::nullopt;
  }
  return ExplainJob(m_state, aNow, m_state.JobAt(index), m_open);
}

LACEWING_SCHED_TEMPLATE
std::optional<JobSummary>
LACEWING_SCHED::JobStatus(const JobId& aJob) const
{
  const std::uint32_t index = m_state.FindJob(aJob);
  if (index == kNone) {
    return std::nullopt;
  }
  return Summarise(m_state.JobAt(index));
}

LACEWING_SCHED_TEMPLATE
TeamUsage
LACEWING_SCHED::Usage(const TeamId& aTeam) const
{
  const std::uint32_t index = m_state.FindTeam(aTeam);
  if (index != kNone) {
    return UsageOf(m_state, m_state.TeamAt(index));
  }
  TeamUsage none;
  none.m_team = aTeam;
  return none;
}

LACEWING_SCHED_TEMPLATE
std::vector<TeamUsage>
LACEWING_SCHED::Usages() const
{
  std::vector<TeamUsage> usages;
  for (std::uint32_t team = 0; team < m_state.TeamCount(); ++team) {
    usages.push_back(UsageOf(m_state, m_state.TeamAt(team)));
  }
  return usages;
}

LACEWING_SCHED_TEMPLATE
std::vector<JobId>
LACEWING_SCHED::TakeFinished()
{
  std::vector<JobId> finished;
  finished.swap(m_finished);
  return finished;
}

LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::IsSuspect(const VmId& aWorker) const
{
  const std::uint32_t index = m_state.FindWorker(aWorker);
  return index != kNone && m_state.WorkerAt(index).m_suspect;
}

#undef LACEWING_SCHED
#undef LACEWING_SCHED_TEMPLATE

} // namespace lacewing::sched
