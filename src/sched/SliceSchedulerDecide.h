/// Decisions of `SliceScheduler`: what to start, stop and throttle now.
#pragma once

#include "sched/SliceScheduler.h"

#include <algorithm>
#include <functional>

namespace lacewing::sched {

// Shortens the heads of the member functions below; undefined at the end.
#define LACEWING_SCHED_TEMPLATE                                                \
  template<TeamOrder Order, PlacementPolicy Placement, typename Checks>
#define LACEWING_SCHED SliceScheduler<Order, Placement, Checks>

LACEWING_SCHED_TEMPLATE
std::vector<Action>
LACEWING_SCHED::Decide(Time aNow, std::size_t aMaxStarts)
{
  m_actions.clear();
  m_budget = aMaxStarts;
  m_started = 0;
  m_reclaims = 0;
  m_scannedAll = false;
  StopAbandoned();
  RelieveWorkers(aNow);
  CutToAllotments(aNow);
  if (m_open || !Checks::kStartOnlyOpen) {
    StopUnclaimed();
    ReviewSuspects(aNow);
    ComputeLevel();
    StartMarked(aNow);
    SettlePledges(aNow);
    Flush();
    UrgentPass(aNow);
    SettleReservation(aNow);
    Unthrottle(aNow);
    SharePass(aNow);
  }
  return std::move(m_actions);
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::Flush()
{
  m_state.FlushChanged([this](std::uint32_t aWorker) {
    m_placement.Update(m_state.Table(), aWorker);
  });
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::Emit(ActionKind aKind, TaskRef aRef)
{
  const Job& job = m_state.JobAt(aRef.m_job);
  const Task& task = job.m_tasks[aRef.m_index];
  Action& action = m_actions.emplace_back();
  action.m_kind = aKind;
  action.m_worker = m_state.WorkerAt(task.m_worker).m_spec.m_id;
  action.m_task = { job.m_spec.m_id, aRef.m_index };
  action.m_attempt = task.m_attempt;
  action.m_reserved = m_state.HeldBy(aRef);
  action.m_runMs =
    std::max<std::int64_t>(0, job.m_spec.m_runMs - task.m_doneMs);
}

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

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::CutToAllotments(Time aNow)
{
  for (std::uint32_t index = 0; index < m_state.TeamCount(); ++index) {
    Team& team = m_state.TeamAt(index);
    if (team.m_running <= team.m_allotment) {
      team.m_aboveSince = Time::max();
      continue;
    }
    team.m_aboveSince = std::min(team.m_aboveSince, aNow);
    if (aNow - team.m_aboveSince >= m_options.m_allotmentPatientWait) {
      CutTeam(aNow, index);
    }
  }
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::CutTeam(Time aNow, std::uint32_t aTeam)
{
  const Team& team = m_state.TeamAt(aTeam);
  std::int64_t excess =
    team.m_running - team.m_allotment - team.m_leaving.m_millicores;
  if (excess <= 0) {
    return;
  }
  const bool patientOnly = aNow - team.m_aboveSince < m_options.m_allotmentWait;
  for (const TaskRef ref : StoppableByLoss(aNow, aTeam, patientOnly)) {
    if (excess <= 0) {
      return;
    }
    const JobSpec& spec = m_state.JobAt(ref.m_job).m_spec;
    excess -= spec.m_perTask.m_millicores;
    StopForOthers(ref);
  }
}

/// Running tasks of the team, cheapest loss first, and at-most-once tasks last
/// because stopping one leaves its outcome unknown. Linear in the tasks of the
/// slice unless only patient ones are asked for.
LACEWING_SCHED_TEMPLATE
std::vector<TaskRef>
LACEWING_SCHED::StoppableByLoss(Time aNow,
                                std::uint32_t aTeam,
                                bool aPatientOnly) const
{
  std::vector<TaskRef> tasks;
  if (aPatientOnly) {
    tasks = m_state.TeamAt(aTeam).m_patient;
  } else {
    for (std::uint32_t w = 0; w < m_state.WorkerCount(); ++w) {
      for (const TaskRef ref : m_state.WorkerAt(w).m_tasks) {
        if (m_state.JobAt(ref.m_job).m_team == aTeam &&
            m_state.TaskAt(ref).m_state == TaskState::Running) {
          tasks.push_back(ref);
        }
      }
    }
  }
  std::erase_if(tasks,
                [&](TaskRef aRef) { return m_state.TaskAt(aRef).m_stopping; });
  const auto key = [&](TaskRef aRef) {
    return std::pair{ m_state.JobAt(aRef.m_job).m_spec.m_atMostOnce,
                      LossOf(m_state, aNow, aRef) };
  };
  std::sort(tasks.begin(), tasks.end(), [&](TaskRef aLeft, TaskRef aRight) {
    return key(aLeft) < key(aRight);
  });
  return tasks;
}

/// Takes back workers whose score has decayed and lists those that may get a
/// probe task.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::ReviewSuspects(Time aNow)
{
  m_probeReady.clear();
  std::erase_if(m_suspects, [&](std::uint32_t aWorker) {
    Worker& worker = m_state.WorkerAt(aWorker);
    if (worker.m_health.IsSuspect(aNow, m_options.m_health)) {
      return false;
    }
    worker.m_suspect = false;
    m_probes.erase(aWorker);
    m_state.Touch(aWorker);
    return true;
  });
  for (const std::uint32_t worker : m_suspects) {
    if (!m_probes.contains(worker)) {
      m_probeReady.push_back(worker);
    }
  }
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

/// False if measured sizes of other tasks have grown since the task, or one of
/// its gang, was placed.
LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::HasRoomToStart(TaskRef aRef) const
{
  const auto hasRoom = [this](const Task& aTask) {
    return aTask.m_state != TaskState::Marked ||
           m_state.Unheld(aTask.m_worker).IsNonNegative();
  };
  const Job& job = m_state.JobAt(aRef.m_job);
  if (job.m_spec.m_kind != JobKind::Gang) {
    return hasRoom(job.m_tasks[aRef.m_index]);
  }
  return std::all_of(job.m_tasks.begin(), job.m_tasks.end(), hasRoom);
}

/// Starts tasks whose room has become free, and queues those again whose room
/// has not.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::SettlePledges(Time aNow)
{
  const std::vector<TaskRef> pledges = m_pledges;
  for (const TaskRef ref : pledges) {
    const Task& task = m_state.TaskAt(ref);
    const bool fits = !Checks::kWaitForRoom ||
                      m_state.HeldBy(ref).FitsIn(m_state.Unheld(task.m_worker));
    if (m_state.WorkerAt(task.m_worker).m_suspect || aNow > task.m_since ||
        IsAboveAllotment(ref)) {
      Unplace(ref);
    } else if (fits && m_budget > 0) {
      std::erase(m_pledges, ref);
      m_state.Redeem(ref, TaskState::Marked);
      Launch(aNow, ref);
    }
  }
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::ComputeLevel()
{
  double weights = 0;
  for (std::uint32_t index = 0; index < m_state.TeamCount(); ++index) {
    const Team& team = m_state.TeamAt(index);
    if (team.m_running > 0 || !team.m_queue.empty()) {
      weights += team.m_weight;
    }
  }
  m_level = weights > 0 ? 1 / weights : 0;
}

LACEWING_SCHED_TEMPLATE
double
LACEWING_SCHED::KeyOf(const Team& aTeam, const Resources& aUsed) const
{
  TeamView view;
  view.m_used = aUsed;
  view.m_capacity = m_state.Capacity();
  view.m_weight = aTeam.m_weight;
  if (!aTeam.m_queue.empty()) {
    view.m_firstSequence = aTeam.m_queue.begin()->m_sequence;
  }
  return Order::Key(view);
}

LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::Alive(const QueueEntry& aEntry) const
{
  const Job& job = m_state.JobAt(aEntry.m_job);
  return job.m_sequence == aEntry.m_sequence && job.m_queued;
}

/// Drops entries of cancelled jobs from the head; false if nothing is left.
LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::DropDeadHead(Team& aTeam)
{
  while (!aTeam.m_queue.empty() && !Alive(*aTeam.m_queue.begin())) {
    aTeam.m_queue.erase(aTeam.m_queue.begin());
  }
  return !aTeam.m_queue.empty();
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::UrgentPass(Time aNow)
{
  RunPass(aNow, true);
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::SharePass(Time aNow)
{
  RunPass(aNow, false);
}

/// Starts work of the team with the lowest key until the budget is used up or
/// no team can start anything.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::RunPass(Time aNow, bool aUrgentOnly)
{
  using Entry = std::pair<double, std::uint32_t>;
  std::vector<Entry> heap;
  for (std::uint32_t index = 0; index < m_state.TeamCount(); ++index) {
    Team& team = m_state.TeamAt(index);
    if (DropDeadHead(team) &&
        (!aUrgentOnly || team.m_queue.begin()->m_class == QueueClass::Urgent)) {
      heap.emplace_back(KeyOf(team, team.m_used), index);
    }
  }
  std::make_heap(heap.begin(), heap.end(), std::greater<>());
  while (!heap.empty() && m_budget > 0) {
    std::pop_heap(heap.begin(), heap.end(), std::greater<>());
    const std::uint32_t index = heap.back().second;
    Team& team = m_state.TeamAt(index);
    if (!TryTeam(aNow, index, aUrgentOnly) || !DropDeadHead(team)) {
      heap.pop_back();
      continue;
    }
    heap.back().first = KeyOf(team, team.m_used);
    std::push_heap(heap.begin(), heap.end(), std::greater<>());
  }
}

/// Starts one job's next task, or a gang, of the team; false if none of the
/// first few jobs of its queue can start.
LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::TryTeam(Time aNow, std::uint32_t aTeam, bool aUrgentOnly)
{
  TeamQueue& queue = m_state.TeamAt(aTeam).m_queue;
  constexpr std::size_t kMaxSkipped = 64;
  std::size_t blocked = 0;
  std::size_t skipped = 0;
  for (auto entry = queue.begin(); entry != queue.end();) {
    if (!Alive(*entry)) {
      entry = queue.erase(entry);
      continue;
    }
    if (aUrgentOnly && entry->m_class != QueueClass::Urgent) {
      return false;
    }
    const std::uint32_t job = entry->m_job;
    ++entry;
    const Attempt attempt = TryJob(aNow, job);
    if (attempt == Attempt::Started) {
      return true;
    }
    (attempt == Attempt::Blocked ? blocked : skipped) += 1;
    if (blocked == m_options.m_queueDepth || skipped == kMaxSkipped) {
      return false;
    }
  }
  return false;
}

LACEWING_SCHED_TEMPLATE
typename LACEWING_SCHED::Attempt
LACEWING_SCHED::TryJob(Time aNow, std::uint32_t aJob)
{
  Job& job = m_state.JobAt(aJob);
  if (aNow < job.m_notBefore) {
    job.m_wait = WaitReason::RetryWait;
    return Attempt::Skipped;
  }
  const bool gang = job.m_spec.m_kind == JobKind::Gang;
  if (!WithinAllotment(job, gang ? job.m_pending.size() : 1)) {
    job.m_wait = WaitReason::TeamAllotment;
    return Attempt::Blocked;
  }
  return gang ? TryGang(aNow, aJob) : TrySingle(aNow, aJob);
}

LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::WithinAllotment(const Job& aJob, std::size_t aTasks) const
{
  const Team& team = m_state.TeamAt(aJob.m_team);
  const std::int64_t more =
    aJob.m_spec.m_perTask.m_millicores * static_cast<std::int64_t>(aTasks);
  return !Checks::kAllotment || team.m_running + more <= team.m_allotment;
}

/// True if the allotment was lowered after the task got its place.
LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::IsAboveAllotment(TaskRef aRef) const
{
  const Team& team = m_state.TeamAt(m_state.JobAt(aRef.m_job).m_team);
  return Checks::kAllotment && team.m_running > team.m_allotment;
}

LACEWING_SCHED_TEMPLATE
Request
LACEWING_SCHED::RequestOf(const Job& aJob) const
{
  Request request = m_state.Table().Resolve(aJob.m_spec);
  request.m_need = m_state.NeedOf(aJob);
  return request;
}

LACEWING_SCHED_TEMPLATE
typename LACEWING_SCHED::Attempt
LACEWING_SCHED::TrySingle(Time aNow, std::uint32_t aJob)
{
  Job& job = m_state.JobAt(aJob);
  const Request request = RequestOf(job);
  const std::uint32_t worker = Locate(aJob, request);
  if (worker != kNone) {
    Place(aNow, aJob, worker);
    return Attempt::Started;
  }
  job.m_wait = WaitReason::NoRoom;
  job.m_blockedSince = std::min(job.m_blockedSince, aNow);
  const std::size_t waiting = job.m_pending.size();
  if (m_pledges.size() < m_options.m_maxPledges) {
    if (job.m_spec.m_kind == JobKind::Urgent) {
      MakeRoomForUrgent(aNow, aJob, request);
    } else {
      Reclaim(aNow, aJob, request);
      if (job.m_pending.size() == waiting) {
        GuardFromStarvation(aNow, aJob, request);
      }
    }
  }
  return job.m_pending.size() < waiting ? Attempt::Started : Attempt::Blocked;
}

LACEWING_SCHED_TEMPLATE
std::uint32_t
LACEWING_SCHED::Locate(std::uint32_t aJob, const Request& aRequest)
{
  const std::uint32_t probe = TakeProbe(aJob, aRequest);
  if (probe != kNone) {
    return probe;
  }
  Flush();
  return m_placement.Place(m_state.Table(), aRequest);
}

/// A suspect worker for a task that can be repeated and has no place to prefer.
LACEWING_SCHED_TEMPLATE
std::uint32_t
LACEWING_SCHED::TakeProbe(std::uint32_t aJob, const Request& aRequest)
{
  const JobSpec& spec = m_state.JobAt(aJob).m_spec;
  if (m_probeReady.empty() || spec.m_kind != JobKind::Batch ||
      spec.m_atMostOnce || aRequest.m_restricted) {
    return kNone;
  }
  const auto fits = [&](std::uint32_t aWorker) {
    const Worker& worker = m_state.WorkerAt(aWorker);
    return !worker.m_heldForGang &&
           aRequest.m_need.FitsIn(m_state.Free(aWorker)) &&
           (aRequest.m_need.m_accelerators == 0 ||
            worker.m_spec.m_accelerator == spec.m_accelerator);
  };
  const auto found =
    std::find_if(m_probeReady.begin(), m_probeReady.end(), fits);
  if (found == m_probeReady.end()) {
    return kNone;
  }
  const std::uint32_t worker = *found;
  m_probeReady.erase(found);
  m_probes[worker] = { aJob, m_state.JobAt(aJob).m_pending.back() };
  return worker;
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::Place(Time aNow, std::uint32_t aJob, std::uint32_t aWorker)
{
  Job& job = m_state.JobAt(aJob);
  const TaskRef ref{ aJob, m_state.TakePending(aJob) };
  m_state.Hold(ref, aWorker, TaskState::Marked);
  job.m_blockedSince = Time::max();
  if (job.m_pending.empty()) {
    job.m_wait = WaitReason::None;
    m_state.Dequeue(aJob);
  }
  Launch(aNow, ref);
}

LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::NeedsMark(TaskRef aRef) const
{
  return Checks::kMarkBeforeStart &&
         m_state.JobAt(aRef.m_job).m_spec.m_atMostOnce &&
         !m_state.TaskAt(aRef).m_marked;
}

/// Starts a task that holds its room, or asks for its mark first.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::Launch(Time aNow, TaskRef aRef)
{
  Task& task = m_state.TaskAt(aRef);
  ++task.m_attempt;
  ++m_started;
  m_budget -= m_budget > 0 ? 1 : 0;
  Job& job = m_state.JobAt(aRef.m_job);
  if (NeedsMark(aRef)) {
    task.m_state = TaskState::Marking;
    ++job.m_marksMissing;
    Emit(ActionKind::MarkStarted, aRef);
    return;
  }
  if (job.m_marksMissing > 0 && job.m_spec.m_kind == JobKind::Gang) {
    m_marked.push_back({ job.m_spec.m_id, aRef.m_index });
    return;
  }
  m_state.BeginRunning(aNow, aRef);
  Emit(ActionKind::Start, aRef);
}

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
bool
LACEWING_SCHED::IsAboveShare(std::uint32_t aTeam) const
{
  const Team& team = m_state.TeamAt(aTeam);
  return KeyOf(team, team.m_used - team.m_leaving) >
         m_level * (1 + m_options.m_reclaimMargin);
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

/// Gives throttled tasks their processors back where they are free.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::Unthrottle(Time aNow)
{
  (void)aNow;
  std::erase_if(m_throttledWorkers, [&](std::uint32_t aWorker) {
    const Worker& worker = m_state.WorkerAt(aWorker);
    for (const TaskRef ref : worker.m_tasks) {
      const Task& task = m_state.TaskAt(ref);
      const std::int64_t declared =
        m_state.JobAt(ref.m_job).m_spec.m_perTask.m_millicores;
      if (task.m_throttled && !task.m_stopping &&
          m_state.Free(aWorker).m_millicores >=
            declared - static_cast<std::int64_t>(task.m_millicores)) {
        m_state.SetThrottled(ref, false, m_options.m_throttledPart);
        Emit(ActionKind::Unthrottle, ref);
      }
    }
    return worker.m_throttled == 0;
  });
}

/// Makes room on the worker where the least work is lost, among workers with
/// patient tasks that started recently; if none of them will do, among all.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::MakeRoomForUrgent(Time aNow,
                                  std::uint32_t aJob,
                                  const Request& aNeed)
{
  RoomRules rules;
  rules.m_mayThrottle = true;
  rules.m_throttledPart = m_options.m_throttledPart;
  auto plan = CheapestPlan(aNow, WorkersOfPatientTasks(), aNeed, rules);
  if (!plan && !m_scannedAll) {
    m_scannedAll = true; // Linear in the tasks of the slice: once a decision.
    std::vector<std::uint32_t> all(m_state.WorkerCount());
    for (std::uint32_t worker = 0; worker < all.size(); ++worker) {
      all[worker] = worker;
    }
    plan = CheapestPlan(aNow, all, aNeed, rules);
  }
  if (plan) {
    CarryOut(aNow, aJob, *plan, m_options.m_urgentPledge);
  }
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::Reclaim(Time aNow, std::uint32_t aJob, const Request& aNeed)
{
  constexpr std::size_t kReclaimsPerDecision = 32;
  const Job& job = m_state.JobAt(aJob);
  const Team& team = m_state.TeamAt(job.m_team);
  if (!Order::kReclaims || m_reclaims >= kReclaimsPerDecision ||
      KeyOf(team, team.m_used + aNeed.m_need) > m_level) {
    return;
  }
  ++m_reclaims;
  const RoomRules rules = RulesForReclaim();
  std::uint32_t highest = kNone;
  double highestKey = 0;
  for (std::uint32_t index = 0; index < m_state.TeamCount(); ++index) {
    const Team& other = m_state.TeamAt(index);
    const double key = KeyOf(other, other.m_used - other.m_leaving);
    if (rules.m_teams[index] && !other.m_patient.empty() && key > highestKey) {
      highest = index;
      highestKey = key;
    }
  }
  if (highest == kNone) {
    return;
  }
  const auto plan = CheapestPlan(aNow, WorkersOfTeam(highest), aNeed, rules);
  if (plan) {
    CarryOut(aNow, aJob, *plan, m_options.m_pledge);
  }
}

LACEWING_SCHED_TEMPLATE
RoomRules
LACEWING_SCHED::RulesForReclaim() const
{
  RoomRules rules;
  rules.m_teams.resize(m_state.TeamCount());
  for (std::uint32_t index = 0; index < m_state.TeamCount(); ++index) {
    rules.m_teams[index] = IsAboveShare(index);
  }
  return rules;
}

/// After a long wait, promises the task the room that becomes free on one
/// worker.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::GuardFromStarvation(Time aNow,
                                    std::uint32_t aJob,
                                    const Request& aNeed)
{
  Job& job = m_state.JobAt(aJob);
  if (job.m_blockedSince > aNow - m_options.m_starvation) {
    return;
  }
  job.m_blockedSince = aNow;
  std::uint32_t best = kNone;
  for (std::size_t i = 0;
       i < m_options.m_victimWorkers && m_state.WorkerCount() > 0;
       ++i) {
    const std::uint32_t worker = m_cursor++ % m_state.WorkerCount();
    const bool better = best == kNone || m_state.Free(best).m_millicores <
                                           m_state.Free(worker).m_millicores;
    if (better && CouldTake(m_state, worker, aNeed)) {
      best = worker;
    }
  }
  if (best != kNone) {
    Pledge(aNow, aJob, best, m_options.m_pledge);
  }
}

LACEWING_SCHED_TEMPLATE
std::optional<RoomPlan>
LACEWING_SCHED::CheapestPlan(Time aNow,
                             const std::vector<std::uint32_t>& aWorkers,
                             const Request& aNeed,
                             const RoomRules& aRules) const
{
  std::optional<RoomPlan> best;
  for (const std::uint32_t worker : aWorkers) {
    auto plan = PlanRoom(m_state, aNow, worker, aNeed, aRules);
    if (plan && (!best || plan->m_loss < best->m_loss)) {
      best = std::move(plan);
    }
    if (best && best->m_loss <= 0) {
      break;
    }
  }
  return best;
}

/// Workers of the patient tasks of each team that started last: the least work
/// is lost there.
LACEWING_SCHED_TEMPLATE
std::vector<std::uint32_t>
LACEWING_SCHED::WorkersOfPatientTasks() const
{
  std::size_t teams = 0;
  for (std::uint32_t index = 0; index < m_state.TeamCount(); ++index) {
    teams += m_state.TeamAt(index).m_patient.empty() ? 0 : 1;
  }
  std::vector<std::uint32_t> workers;
  if (teams == 0) {
    return workers;
  }
  const std::size_t each = (m_options.m_victimWorkers + teams - 1) / teams;
  for (std::uint32_t index = 0; index < m_state.TeamCount(); ++index) {
    const auto& patient = m_state.TeamAt(index).m_patient;
    const std::size_t count = std::min(each, patient.size());
    for (std::size_t i = 0; i < count; ++i) {
      const TaskRef ref = patient[patient.size() - 1 - i];
      workers.push_back(m_state.TaskAt(ref).m_worker);
    }
  }
  return workers;
}

LACEWING_SCHED_TEMPLATE
std::vector<std::uint32_t>
LACEWING_SCHED::WorkersOfTeam(std::uint32_t aTeam) const
{
  const auto& patient = m_state.TeamAt(aTeam).m_patient;
  const std::size_t count = std::min(m_options.m_victimWorkers, patient.size());
  std::vector<std::uint32_t> workers;
  for (std::size_t i = 0; i < count; ++i) {
    const TaskRef ref = patient[patient.size() - 1 - i];
    workers.push_back(m_state.TaskAt(ref).m_worker);
  }
  return workers;
}

/// Throttles or stops what the plan names. The task starts at once if there is
/// room after throttling; otherwise it waits for the stopped tasks to end.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::CarryOut(Time aNow,
                         std::uint32_t aJob,
                         const RoomPlan& aPlan,
                         Duration aPatience)
{
  for (const TaskRef ref : aPlan.m_throttle) {
    m_state.SetThrottled(ref, true, m_options.m_throttledPart);
    Emit(ActionKind::Throttle, ref);
  }
  if (!aPlan.m_throttle.empty()) {
    m_throttledWorkers.push_back(aPlan.m_worker);
  }
  for (const TaskRef ref : aPlan.m_stop) {
    StopForOthers(ref);
  }
  const Resources need = m_state.NeedOf(m_state.JobAt(aJob));
  if (need.FitsIn(m_state.Free(aPlan.m_worker))) {
    Place(aNow, aJob, aPlan.m_worker);
  } else {
    Pledge(aNow, aJob, aPlan.m_worker, aPatience);
  }
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::Pledge(Time aNow,
                       std::uint32_t aJob,
                       std::uint32_t aWorker,
                       Duration aPatience)
{
  Job& job = m_state.JobAt(aJob);
  const TaskRef ref{ aJob, m_state.TakePending(aJob) };
  m_state.Hold(ref, aWorker, TaskState::Pledged);
  m_state.TaskAt(ref).m_since = aNow + aPatience;
  m_pledges.push_back(ref);
  job.m_wait = WaitReason::RoomBeingCleared;
  if (job.m_pending.empty()) {
    m_state.Dequeue(aJob);
  }
}

#undef LACEWING_SCHED
#undef LACEWING_SCHED_TEMPLATE

} // namespace lacewing::sched
