/// Adoption of workers by `SliceScheduler`, and recovery of the jobs of a
/// former owner.
#pragma once

#include "sched/SliceScheduler.h"

namespace lacewing::sched {

// Shortens the heads of the member functions below; undefined at the end.
#define LACEWING_SCHED_TEMPLATE                                                \
  template<TeamOrder Order, PlacementPolicy Placement, typename Checks>
#define LACEWING_SCHED SliceScheduler<Order, Placement, Checks>

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
LACEWING_SCHED::Recover(Time aNow,
                        const JobSpec& aSpec,
                        const RecoveredTasks& aTasks)
{
  if (m_state.FindJob(aSpec.m_id) != kNone || aSpec.m_tasks == 0) {
    return;
  }
  const std::uint32_t index = AddJob(aNow, aSpec);
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

#undef LACEWING_SCHED
#undef LACEWING_SCHED_TEMPLATE

} // namespace lacewing::sched
