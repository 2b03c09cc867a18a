/// Workers of `SliceScheduler`: capacity, measured use, and relief of overload.
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
    const bool cordoned = m_state.WorkerAt(known).m_cordoned;
    RemoveWorker(aNow, aSpec.m_id);
    m_state.SetCordoned(m_state.AddWorker(aSpec), cordoned);
    return;
  }
  m_state.AddWorker(aSpec);
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::SetCordoned(const VmId& aWorker, bool aCordoned)
{
  const std::uint32_t index = m_state.FindWorker(aWorker);
  if (index == kNone || m_state.WorkerAt(index).m_cordoned == aCordoned) {
    return;
  }
  m_state.SetCordoned(index, aCordoned);
  if (aCordoned && m_state.WorkerAt(index).m_heldForGang) {
    DropReservation();
  }
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

/// Stops patient tasks on workers whose measured memory exceeds what they have.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::RelieveWorkers(Time aNow)
{
  for (const std::uint32_t worker : m_overloaded) {
    if (!m_state.WorkerAt(worker).m_present) {
      continue;
    }
    Resources free = FreeAfterStops(m_state, worker);
    std::vector<TaskRef> tasks;
    for (const TaskRef ref : m_state.WorkerAt(worker).m_tasks) {
      if (m_state.TaskAt(ref).m_patientPlace != kNone &&
          !m_state.TaskAt(ref).m_stopping) {
        tasks.push_back(ref);
      }
    }
    std::sort(tasks.begin(), tasks.end(), [&](TaskRef aLeft, TaskRef aRight) {
      return LossOf(m_state, aNow, aLeft) < LossOf(m_state, aNow, aRight);
    });
    for (const TaskRef ref : tasks) {
      if (free.m_memoryMib >= 0) {
        break;
      }
      free += m_state.HeldBy(ref);
      StopForOthers(ref);
    }
  }
  m_overloaded.clear();
}

#undef LACEWING_SCHED
#undef LACEWING_SCHED_TEMPLATE

} // namespace lacewing::sched
