/// Durable marks of at-most-once tasks in `SliceScheduler`, and the starts that
/// wait for them.
#pragma once

#include "sched/SliceScheduler.h"

#include <algorithm>

namespace lacewing::sched {

// Shortens the heads of the member functions below; undefined at the end.
#define LACEWING_SCHED_TEMPLATE                                                \
  template<TeamOrder Order, PlacementPolicy Placement, typename Checks>
#define LACEWING_SCHED SliceScheduler<Order, Placement, Checks>

LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::NeedsMark(TaskRef aRef) const
{
  return Checks::kMarkBeforeStart &&
         m_state.JobAt(aRef.m_job).m_spec.m_atMostOnce &&
         !m_state.TaskAt(aRef).m_marked;
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

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::StartMarked(Time aNow)
{
  std::vector<TaskId> later;
  for (const TaskId& id : m_marked) {
    const TaskRef ref = FindTask(id);
    if (ref.m_job == kNone ||
        m_state.TaskAt(ref).m_state != TaskState::Marked) {
      continue;
    }
    // A gang starts when the marks of all its tasks are durable.
    if (m_state.JobAt(ref.m_job).m_marksMissing > 0) {
      later.push_back(id);
      continue;
    }
    if (IsAboveAllotment(ref) || !HasRoomToStart(ref)) {
      Unplace(ref);
      continue;
    }
    m_state.BeginRunning(aNow, ref);
    Emit(ActionKind::Start, ref);
  }
  m_marked.swap(later);
}

/// False if, since the task or one of its gang was placed, measured sizes of
/// other tasks have grown or its worker has begun to leave.
LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::HasRoomToStart(TaskRef aRef) const
{
  const auto hasRoom = [this](const Task& aTask) {
    return aTask.m_state != TaskState::Marked ||
           (m_state.Unheld(aTask.m_worker).IsNonNegative() &&
            !m_state.WorkerAt(aTask.m_worker).m_cordoned);
  };
  const Job& job = m_state.JobAt(aRef.m_job);
  if (job.m_spec.m_kind != JobKind::Gang) {
    return hasRoom(job.m_tasks[aRef.m_index]);
  }
  return std::all_of(job.m_tasks.begin(), job.m_tasks.end(), hasRoom);
}

#undef LACEWING_SCHED
#undef LACEWING_SCHED_TEMPLATE

} // namespace lacewing::sched
