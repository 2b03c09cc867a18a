/// Gangs of `SliceScheduler`: placement, the reservation, and the end of a gang
/// that has lost a task.
#pragma once

#include "sched/SliceScheduler.h"

#include <algorithm>

namespace lacewing::sched {

// Shortens the heads of the member functions below; undefined at the end.
#define LACEWING_SCHED_TEMPLATE                                                \
  template<TeamOrder Order, PlacementPolicy Placement, typename Checks>
#define LACEWING_SCHED SliceScheduler<Order, Placement, Checks>

LACEWING_SCHED_TEMPLATE
typename LACEWING_SCHED::Attempt
LACEWING_SCHED::TryGang(Time aNow, std::uint32_t aJob)
{
  Job& job = m_state.JobAt(aJob);
  const auto tasks = static_cast<std::uint32_t>(job.m_pending.size());
  const bool holdsReservation = m_reservation && m_reservation->m_job == aJob &&
                                m_reservation->m_sequence == job.m_sequence;
  if (holdsReservation || (tasks > m_budget && m_started > 0)) {
    return Attempt::Skipped;
  }
  Flush();
  const Request request = RequestOf(job);
  std::vector<std::uint32_t> places =
    m_placement.PlaceGang(m_state.Table(), request, tasks);
  if (places.empty() && !Checks::kWholeGang) {
    const std::uint32_t worker = m_placement.Place(m_state.Table(), request);
    places.assign(worker == kNone ? 0 : 1, worker);
  }
  if (!places.empty()) {
    PlaceGang(aNow, aJob, places);
    return Attempt::Started;
  }
  job.m_blockedSince = std::min(job.m_blockedSince, aNow);
  job.m_notBefore = aNow + m_options.m_gangRetry;
  job.m_wait = WaitReason::GangRoom;
  if (Checks::kGangReservation && !m_reservation && Reserve(aNow, aJob)) {
    job.m_wait = WaitReason::GangReservation;
  }
  return Attempt::Blocked;
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::PlaceGang(Time aNow,
                          std::uint32_t aJob,
                          const std::vector<std::uint32_t>& aPlaces)
{
  std::vector<TaskRef> tasks;
  for (const std::uint32_t worker : aPlaces) {
    tasks.push_back({ aJob, m_state.TakePending(aJob) });
    m_state.Hold(tasks.back(), worker, TaskState::Marked);
  }
  Job& job = m_state.JobAt(aJob);
  job.m_blockedSince = Time::max();
  if (job.m_pending.empty()) {
    job.m_wait = WaitReason::None;
    m_state.Dequeue(aJob);
  }
  // Tasks that need a mark come first: then none starts before all are marked.
  std::stable_partition(tasks.begin(), tasks.end(), [this](TaskRef aRef) {
    return NeedsMark(aRef);
  });
  for (const TaskRef ref : tasks) {
    Launch(aNow, ref);
  }
}

LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::Reserve(Time aNow, std::uint32_t aJob)
{
  (void)aNow;
  std::vector<std::uint32_t> workers = ChooseHeldWorkers(aJob);
  if (workers.empty()) {
    return false;
  }
  Reservation reservation;
  reservation.m_job = aJob;
  reservation.m_sequence = m_state.JobAt(aJob).m_sequence;
  reservation.m_workers = std::move(workers);
  for (const std::uint32_t worker : reservation.m_workers) {
    m_state.WorkerAt(worker).m_heldForGang = true;
    m_state.Touch(worker);
  }
  m_reservation = std::move(reservation);
  ClearHeldWorkers(aJob);
  return true;
}

/// Workers that can hold the gang once all their tasks but services have ended,
/// those with the most room now first; all in one failure domain if possible.
LACEWING_SCHED_TEMPLATE
std::vector<std::uint32_t>
LACEWING_SCHED::ChooseHeldWorkers(std::uint32_t aJob) const
{
  const Job& job = m_state.JobAt(aJob);
  return ChooseWorkersToHold(
    m_state, RequestOf(job), static_cast<std::uint32_t>(job.m_pending.size()));
}

/// Stops patient tasks of teams above their share on the held workers, if the
/// gang's team stays within its own.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::ClearHeldWorkers(std::uint32_t aJob)
{
  const Job& job = m_state.JobAt(aJob);
  const Team& team = m_state.TeamAt(job.m_team);
  Resources used = team.m_used;
  const Resources need = m_state.NeedOf(job);
  const auto tasks = static_cast<std::int64_t>(job.m_pending.size());
  used.m_millicores += need.m_millicores * tasks;
  used.m_memoryMib += need.m_memoryMib * tasks;
  used.m_accelerators += need.m_accelerators * tasks;
  if (!Order::kReclaims || KeyOf(team, used) > m_level) {
    return;
  }
  for (const std::uint32_t worker : m_reservation->m_workers) {
    const std::vector<TaskRef> placed = m_state.WorkerAt(worker).m_tasks;
    for (const TaskRef ref : placed) {
      if (m_state.TaskAt(ref).m_patientPlace != kNone &&
          IsAboveShare(m_state.JobAt(ref.m_job).m_team)) {
        StopForOthers(ref);
      }
    }
  }
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::DropReservation()
{
  if (!m_reservation) {
    return;
  }
  for (const std::uint32_t worker : m_reservation->m_workers) {
    m_state.WorkerAt(worker).m_heldForGang = false;
    m_state.Touch(worker);
  }
  m_reservation.reset();
}

/// Starts the gang that holds the reservation once the held workers have room
/// for all of it.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::SettleReservation(Time aNow)
{
  if (!m_reservation) {
    return;
  }
  const std::uint32_t index = m_reservation->m_job;
  const Job& job = m_state.JobAt(index);
  const std::size_t tasks = job.m_pending.size();
  if (job.m_sequence != m_reservation->m_sequence || !job.m_queued ||
      !WithinAllotment(job, tasks)) {
    DropReservation();
    return;
  }
  if (tasks > m_budget && m_started > 0) {
    return;
  }
  std::vector<std::uint32_t> places;
  for (const std::uint32_t worker : m_reservation->m_workers) {
    const std::size_t fitting =
      CountThatFit(m_state.Free(worker), m_state.NeedOf(job));
    places.insert(
      places.end(), std::min(fitting, tasks - places.size()), worker);
  }
  if (places.size() == tasks && m_budget > 0) {
    DropReservation();
    PlaceGang(aNow, index, places);
  }
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

#undef LACEWING_SCHED
#undef LACEWING_SCHED_TEMPLATE

} // namespace lacewing::sched
