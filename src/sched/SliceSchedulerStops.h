/// Stops of tasks by `SliceScheduler`: tasks of jobs that have ended, tasks
/// that no job claims, and tasks that make room for others.
#pragma once

#include "sched/SliceScheduler.h"

namespace lacewing::sched {

// Shortens the heads of the member functions below; undefined at the end.
#define LACEWING_SCHED_TEMPLATE                                                \
  template<TeamOrder Order, PlacementPolicy Placement, typename Checks>
#define LACEWING_SCHED SliceScheduler<Order, Placement, Checks>

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::StopTask(TaskRef aRef, ActionKind aKind)
{
  if (!m_state.TaskAt(aRef).m_stopping) {
    m_state.SetStopping(aRef);
    Emit(aKind, aRef);
  }
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::StopForOthers(TaskRef aRef)
{
  const bool checkpoints = m_state.JobAt(aRef.m_job).m_spec.m_checkpointable;
  StopTask(aRef, checkpoints ? ActionKind::Checkpoint : ActionKind::Stop);
}

/// Stops the tasks of jobs that were cancelled, failed or lost a gang member.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::StopAbandoned()
{
  std::vector<JobTag> jobs;
  jobs.swap(m_abandoned);
  for (const JobTag& tag : jobs) {
    const Job& job = m_state.JobAt(tag.m_job);
    if (job.m_sequence != tag.m_sequence ||
        !(job.m_cancelled || job.m_gaveUp || job.m_tearDown)) {
      continue;
    }
    for (std::uint32_t index = 0; index < job.m_tasks.size(); ++index) {
      const TaskRef ref{ tag.m_job, index };
      const Task& task = job.m_tasks[index];
      if (task.m_state == TaskState::Running) {
        StopTask(ref, ActionKind::Stop);
      } else if (task.m_worker != kNone) {
        Unplace(ref);
      }
    }
  }
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::StopUnclaimed()
{
  for (auto& [id, found] : m_unclaimed) {
    if (found.m_stopSent) {
      continue;
    }
    found.m_stopSent = true;
    Action& action = m_actions.emplace_back();
    action.m_kind = ActionKind::Stop;
    action.m_worker = m_state.WorkerAt(found.m_worker).m_spec.m_id;
    action.m_task = id;
    action.m_attempt = found.m_task.m_attempt;
  }
}

#undef LACEWING_SCHED
#undef LACEWING_SCHED_TEMPLATE

} // namespace lacewing::sched
