/// Ends of tasks in `SliceScheduler`: what follows for the task and its job.
#pragma once

#include "sched/SliceScheduler.h"

namespace lacewing::sched {

// Shortens the heads of the member functions below; undefined at the end.
#define LACEWING_SCHED_TEMPLATE                                                \
  template<TeamOrder Order, PlacementPolicy Placement, typename Checks>
#define LACEWING_SCHED SliceScheduler<Order, Placement, Checks>

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

#undef LACEWING_SCHED
#undef LACEWING_SCHED_TEMPLATE

} // namespace lacewing::sched
