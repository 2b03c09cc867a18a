/// Jobs of `SliceScheduler`: submission, cancellation and resolution.
#pragma once

#include "sched/SliceScheduler.h"

namespace lacewing::sched {

// Shortens the heads of the member functions below; undefined at the end.
#define LACEWING_SCHED_TEMPLATE                                                \
  template<TeamOrder Order, PlacementPolicy Placement, typename Checks>
#define LACEWING_SCHED SliceScheduler<Order, Placement, Checks>

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
std::uint32_t
LACEWING_SCHED::AddJob(Time aNow, const JobSpec& aSpec)
{
  const std::uint32_t index = m_state.AddJob(aSpec);
  m_state.JobAt(index).m_submitted = aNow;
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
  const std::uint32_t index = AddJob(aNow, aSpec);
  m_state.Enqueue(index);
  ClaimFound(aNow, index);
  return std::nullopt;
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

/// True if nothing of the job has run, is marked or holds anything.
LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::IsUntouched(std::uint32_t aJob) const
{
  const Job& job = m_state.JobAt(aJob);
  if (job.m_sequence == 0 || job.m_cancelled || job.m_gaveUp ||
      job.m_tearDown || job.m_holding > 0 || !job.m_failedOn.empty()) {
    return false;
  }
  return std::ranges::all_of(job.m_tasks, [](const Task& aTask) {
    return aTask.m_state == TaskState::Pending && aTask.m_attempt == 0 &&
           aTask.m_failures == 0 && !aTask.m_marked && !aTask.m_mayHaveStarted;
  });
}

LACEWING_SCHED_TEMPLATE
std::vector<RoomWait>
LACEWING_SCHED::WaitingForRoom() const
{
  // Behind a job that waits for its team's allotment, jobs are not considered;
  // they would wait for the allotment in another slice too.
  std::vector<bool> atAllotment(m_state.TeamCount());
  for (std::uint32_t job = 0; job < m_state.JobSlots(); ++job) {
    const Job& entry = m_state.JobAt(job);
    if (entry.m_sequence != 0 && entry.m_wait == WaitReason::TeamAllotment &&
        !entry.m_pending.empty()) {
      atAllotment[entry.m_team] = true;
    }
  }
  std::vector<RoomWait> waits;
  for (std::uint32_t job = 0; job < m_state.JobSlots(); ++job) {
    const Job& entry = m_state.JobAt(job);
    const WaitReason wait = entry.m_wait;
    const bool forRoom =
      wait == WaitReason::NoRoom || wait == WaitReason::GangRoom ||
      wait == WaitReason::GangReservation ||
      (wait == WaitReason::NotYetConsidered && !atAllotment[entry.m_team]);
    if (forRoom && IsUntouched(job)) {
      waits.push_back({ entry.m_spec.m_id, entry.m_submitted });
    }
  }
  return waits;
}

LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::TakeOut(const JobId& aJob)
{
  const std::uint32_t index = m_state.FindJob(aJob);
  if (index == kNone || !IsUntouched(index)) {
    return false;
  }
  if (m_reservation && m_reservation->m_job == index) {
    DropReservation();
  }
  m_state.AbandonPending(index);
  m_state.DropJob(index);
  return true;
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::PutBack(Time aNow, const JobSpec& aSpec)
{
  if (m_state.FindJob(aSpec.m_id) != kNone) {
    return;
  }
  const std::uint32_t index = AddJob(aNow, aSpec);
  m_state.Enqueue(index);
  ClaimFound(aNow, index);
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

#undef LACEWING_SCHED
#undef LACEWING_SCHED_TEMPLATE

} // namespace lacewing::sched
