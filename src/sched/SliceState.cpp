#include "sched/SliceState.h"

#include <algorithm>

namespace lacewing::sched {

namespace {

/// Moves the last element into the place of the removed one and answers it.
TaskRef
RemoveAt(std::vector<TaskRef>& aList, std::uint32_t aPlace)
{
  const TaskRef moved = aList.back();
  aList[aPlace] = moved;
  aList.pop_back();
  return moved;
}

template<typename Id>
std::uint32_t
Find(const std::unordered_map<Id, std::uint32_t>& aMap, const Id& aId)
{
  const auto found = aMap.find(aId);
  return found == aMap.end() ? kNone : found->second;
}

} // namespace

bool
IsPreemptible(const JobSpec& aSpec)
{
  return aSpec.m_patient && !aSpec.m_atMostOnce &&
         aSpec.m_kind != JobKind::Gang && aSpec.m_kind != JobKind::Urgent;
}

std::uint32_t
SliceState::AddWorker(const WorkerSpec& aSpec)
{
  std::uint32_t index = WorkerCount();
  if (m_freeWorkers.empty()) {
    m_workers.emplace_back();
  } else {
    index = m_freeWorkers.back();
    m_freeWorkers.pop_back();
    m_workers[index] = Worker{};
  }
  Worker& worker = m_workers[index];
  worker.m_spec = aSpec;
  worker.m_present = true;
  m_workerIndex[aSpec.m_id] = index;
  CountShape(aSpec, true);
  m_table.Add(index, aSpec);
  Touch(index);
  return index;
}

void
SliceState::DropWorker(std::uint32_t aWorker)
{
  Worker& worker = m_workers[aWorker];
  worker.m_present = false;
  m_workerIndex.erase(worker.m_spec.m_id);
  m_table.AddCapacity(Resources{} - worker.m_spec.m_capacity);
  CountShape(worker.m_spec, false);
  m_table.Remove(aWorker);
  Touch(aWorker);
  m_freeWorkers.push_back(aWorker);
}

void
SliceState::SetCordoned(std::uint32_t aWorker, bool aCordoned)
{
  m_workers[aWorker].m_cordoned = aCordoned;
  Touch(aWorker);
}

std::size_t
SliceState::CordonedCount() const
{
  return static_cast<std::size_t>(std::count_if(
    m_workers.begin(), m_workers.end(), [](const Worker& aWorker) {
      return aWorker.m_present && aWorker.m_cordoned;
    }));
}

std::uint32_t
SliceState::FindWorker(const VmId& aId) const
{
  return Find(m_workerIndex, aId);
}

std::uint32_t
SliceState::FindTeam(const TeamId& aId) const
{
  return Find(m_teamIndex, aId);
}

std::uint32_t
SliceState::FindJob(const JobId& aId) const
{
  return Find(m_jobIndex, aId);
}

std::uint32_t
SliceState::FindOrAddTeam(const TeamId& aId)
{
  const auto [place, isNew] = m_teamIndex.emplace(aId, TeamCount());
  if (isNew) {
    m_teams.emplace_back();
    m_teams.back().m_id = aId;
  }
  return place->second;
}

std::uint32_t
SliceState::AddJob(const JobSpec& aSpec)
{
  auto index = static_cast<std::uint32_t>(m_jobs.size());
  if (m_freeJobs.empty()) {
    m_jobs.emplace_back();
  } else {
    index = m_freeJobs.back();
    m_freeJobs.pop_back();
    m_jobs[index] = Job{};
  }
  Job& job = m_jobs[index];
  job.m_spec = aSpec;
  job.m_team = FindOrAddTeam(aSpec.m_team);
  job.m_sequence = m_nextSequence++;
  job.m_tasks.resize(aSpec.m_tasks);
  m_jobIndex[aSpec.m_id] = index;
  return index;
}

void
SliceState::DropJob(std::uint32_t aJob)
{
  Job& job = m_jobs[aJob];
  Dequeue(aJob);
  m_jobIndex.erase(job.m_spec.m_id);
  job = Job{};
  m_freeJobs.push_back(aJob);
}

std::vector<const WorkerSpec*>
SliceState::PresentWorkers() const
{
  std::vector<const WorkerSpec*> workers;
  for (const Worker& worker : m_workers) {
    if (worker.m_present) {
      workers.push_back(&worker.m_spec);
    }
  }
  return workers;
}

void
SliceState::SetCapacity(std::uint32_t aWorker, const Resources& aCapacity)
{
  WorkerSpec& spec = m_workers[aWorker].m_spec;
  if (spec.m_capacity == aCapacity) {
    return;
  }
  CountShape(spec, false);
  m_table.AddCapacity(aCapacity - spec.m_capacity);
  spec.m_capacity = aCapacity;
  CountShape(spec, true);
  Touch(aWorker);
}

std::optional<NeverRunnable>
SliceState::WhyNever(const JobSpec& aSpec, bool aWorkersKnown) const
{
  const std::uint32_t team = FindTeam(aSpec.m_team);
  const std::int64_t limit = team == kNone ? kNoLimit : m_teams[team].m_limit;
  if (auto never = CheckFormAndLimit(aSpec, limit)) {
    return never;
  }
  // The common case needs no look at each worker.
  const bool simple = aSpec.m_kind != JobKind::Gang &&
                      aSpec.m_domains.empty() && aSpec.m_racks.empty();
  if (!aWorkersKnown || (simple && FitsSomeShape(aSpec))) {
    return std::nullopt;
  }
  return CheckRunnable(aSpec, PresentWorkers(), limit);
}

bool
SliceState::FitsSomeShape(const JobSpec& aSpec) const
{
  return std::any_of(
    m_shapes.begin(), m_shapes.end(), [&](const Shape& aShape) {
      return aSpec.m_perTask.FitsIn(aShape.m_capacity) &&
             (aSpec.m_perTask.m_accelerators == 0 ||
              aSpec.m_accelerator == aShape.m_accelerator);
    });
}

void
SliceState::CountShape(const WorkerSpec& aSpec, bool aAdded)
{
  const auto found =
    std::find_if(m_shapes.begin(), m_shapes.end(), [&](const Shape& aShape) {
      return aShape.m_capacity == aSpec.m_capacity &&
             aShape.m_accelerator == aSpec.m_accelerator;
    });
  if (found == m_shapes.end()) {
    m_shapes.push_back({ aSpec.m_capacity, aSpec.m_accelerator, 1 });
    return;
  }
  found->m_workers += aAdded ? 1 : -1;
  if (found->m_workers == 0) {
    m_shapes.erase(found);
  }
}

Resources
SliceState::Unheld(std::uint32_t aWorker) const
{
  const Worker& worker = m_workers[aWorker];
  return worker.m_spec.m_capacity - worker.m_held;
}

Resources
SliceState::Free(std::uint32_t aWorker) const
{
  return Unheld(aWorker) - m_workers[aWorker].m_pledged;
}

Resources
SliceState::NeedOf(const Job& aJob) const
{
  Resources need = aJob.m_spec.m_perTask;
  need.m_memoryMib =
    std::max<std::int64_t>(need.m_memoryMib, aJob.m_learnedMemoryMib);
  return need;
}

Resources
SliceState::HeldBy(TaskRef aRef) const
{
  const Job& job = m_jobs[aRef.m_job];
  const Task& task = job.m_tasks[aRef.m_index];
  return { task.m_millicores,
           task.m_memoryMib,
           job.m_spec.m_perTask.m_accelerators };
}

void
SliceState::Touch(std::uint32_t aWorker)
{
  Worker& worker = m_workers[aWorker];
  if (!worker.m_changed) {
    worker.m_changed = true;
    m_changed.push_back(aWorker);
  }
}

void
SliceState::UpdateRow(std::uint32_t aWorker)
{
  Worker& worker = m_workers[aWorker];
  worker.m_changed = false;
  const bool open = worker.m_present && !worker.m_suspect &&
                    !worker.m_heldForGang && !worker.m_cordoned;
  m_table.Set(aWorker, Free(aWorker), open);
}

void
SliceState::AddToSums(TaskRef aRef, const Resources& aHeld)
{
  const Job& job = m_jobs[aRef.m_job];
  const Task& task = job.m_tasks[aRef.m_index];
  Worker& worker = m_workers[task.m_worker];
  if (task.m_state == TaskState::Pledged) {
    worker.m_pledged += aHeld;
  } else {
    worker.m_held += aHeld;
    if (job.m_spec.m_kind == JobKind::Service) {
      worker.m_service += aHeld;
    }
  }
  Team& team = m_teams[job.m_team];
  team.m_used += aHeld;
  if (task.m_stopping) {
    team.m_leaving += aHeld;
  }
  Touch(task.m_worker);
}

void
SliceState::TakeFromSums(TaskRef aRef, const Resources& aHeld)
{
  AddToSums(aRef, Resources{} - aHeld);
}

void
SliceState::Attach(TaskRef aRef, std::uint32_t aWorker)
{
  Job& job = m_jobs[aRef.m_job];
  Task& task = job.m_tasks[aRef.m_index];
  Worker& worker = m_workers[aWorker];
  task.m_worker = aWorker;
  task.m_workerPlace = static_cast<std::uint32_t>(worker.m_tasks.size());
  worker.m_tasks.push_back(aRef);
  ++job.m_holding;
  m_teams[job.m_team].m_running += job.m_spec.m_perTask.m_millicores;
}

void
SliceState::Detach(TaskRef aRef)
{
  Job& job = m_jobs[aRef.m_job];
  Task& task = job.m_tasks[aRef.m_index];
  Worker& worker = m_workers[task.m_worker];
  const TaskRef moved = RemoveAt(worker.m_tasks, task.m_workerPlace);
  TaskAt(moved).m_workerPlace = task.m_workerPlace;
  task.m_worker = kNone;
  task.m_workerPlace = kNone;
  --job.m_holding;
  m_teams[job.m_team].m_running -= job.m_spec.m_perTask.m_millicores;
}

void
SliceState::ListPatient(TaskRef aRef)
{
  const Job& job = m_jobs[aRef.m_job];
  if (!IsPreemptible(job.m_spec)) {
    return;
  }
  auto& patient = m_teams[job.m_team].m_patient;
  TaskAt(aRef).m_patientPlace = static_cast<std::uint32_t>(patient.size());
  patient.push_back(aRef);
}

void
SliceState::UnlistPatient(TaskRef aRef)
{
  Task& task = TaskAt(aRef);
  if (task.m_patientPlace == kNone) {
    return;
  }
  auto& patient = m_teams[m_jobs[aRef.m_job].m_team].m_patient;
  const TaskRef moved = RemoveAt(patient, task.m_patientPlace);
  TaskAt(moved).m_patientPlace = task.m_patientPlace;
  task.m_patientPlace = kNone;
}

void
SliceState::Hold(TaskRef aRef, std::uint32_t aWorker, TaskState aState)
{
  const Resources need = NeedOf(m_jobs[aRef.m_job]);
  Task& task = TaskAt(aRef);
  task.m_state = aState;
  task.m_millicores = static_cast<std::uint32_t>(need.m_millicores);
  task.m_memoryMib = static_cast<std::uint32_t>(need.m_memoryMib);
  Attach(aRef, aWorker);
  AddToSums(aRef, need);
}

void
SliceState::HoldRunning(Time aNow,
                        TaskRef aRef,
                        std::uint32_t aWorker,
                        const worker::RunningTask& aFound)
{
  Hold(aRef, aWorker, TaskState::Marked);
  Task& task = TaskAt(aRef);
  task.m_attempt = aFound.m_attempt;
  BeginRunning(aNow, aRef);
  Resize(aRef,
         task.m_millicores,
         std::max({ static_cast<std::int64_t>(task.m_memoryMib),
                    aFound.m_reserved.m_memoryMib,
                    aFound.m_used.m_memoryMib }));
}

void
SliceState::Redeem(TaskRef aRef, TaskState aState)
{
  const Resources held = HeldBy(aRef);
  TakeFromSums(aRef, held);
  TaskAt(aRef).m_state = aState;
  AddToSums(aRef, held);
}

void
SliceState::BeginRunning(Time aNow, TaskRef aRef)
{
  Task& task = TaskAt(aRef);
  task.m_state = TaskState::Running;
  task.m_since = aNow;
  ListPatient(aRef);
}

void
SliceState::Release(TaskRef aRef, TaskState aState)
{
  Task& task = TaskAt(aRef);
  if (task.m_throttled) {
    --m_workers[task.m_worker].m_throttled;
  }
  UnlistPatient(aRef);
  TakeFromSums(aRef, HeldBy(aRef));
  Detach(aRef);
  task.m_millicores = 0;
  task.m_memoryMib = 0;
  task.m_throttled = false;
  task.m_stopping = false;
  task.m_state = aState;
}

void
SliceState::Resize(TaskRef aRef,
                   std::int64_t aMillicores,
                   std::int64_t aMemoryMib)
{
  Task& task = TaskAt(aRef);
  if (task.m_millicores == aMillicores && task.m_memoryMib == aMemoryMib) {
    return;
  }
  const Resources before = HeldBy(aRef);
  task.m_millicores = static_cast<std::uint32_t>(aMillicores);
  task.m_memoryMib = static_cast<std::uint32_t>(aMemoryMib);
  AddToSums(aRef, HeldBy(aRef) - before);
}

void
SliceState::SetStopping(TaskRef aRef)
{
  TaskAt(aRef).m_stopping = true;
  m_teams[m_jobs[aRef.m_job].m_team].m_leaving += HeldBy(aRef);
}

void
SliceState::SetThrottled(TaskRef aRef, bool aThrottled, double aPart)
{
  Task& task = TaskAt(aRef);
  if (task.m_throttled == aThrottled) {
    return;
  }
  const std::int64_t declared =
    m_jobs[aRef.m_job].m_spec.m_perTask.m_millicores;
  const auto kept =
    static_cast<std::int64_t>(static_cast<double>(declared) * aPart);
  task.m_throttled = aThrottled;
  m_workers[task.m_worker].m_throttled += aThrottled ? 1 : -1;
  Resize(aRef, aThrottled ? kept : declared, task.m_memoryMib);
}

void
SliceState::LearnMemory(std::uint32_t aJob, std::int64_t aMemoryMib)
{
  Job& job = m_jobs[aJob];
  if (aMemoryMib <= job.m_learnedMemoryMib ||
      aMemoryMib <= job.m_spec.m_perTask.m_memoryMib) {
    return;
  }
  JobSpec larger;
  larger.m_perTask = job.m_spec.m_perTask;
  larger.m_perTask.m_memoryMib = aMemoryMib;
  larger.m_accelerator = job.m_spec.m_accelerator;
  if (FitsSomeShape(larger)) {
    job.m_learnedMemoryMib = static_cast<std::uint32_t>(aMemoryMib);
  }
}

void
SliceState::AddUnclaimed(std::uint32_t aWorker,
                         const worker::RunningTask& aTask)
{
  Worker& worker = m_workers[aWorker];
  worker::RunningTask& task = worker.m_unclaimed.emplace_back(aTask);
  task.m_reserved.m_memoryMib =
    std::max(task.m_reserved.m_memoryMib, task.m_used.m_memoryMib);
  worker.m_held += task.m_reserved;
  Touch(aWorker);
}

bool
SliceState::TakeUnclaimed(std::uint32_t aWorker, const TaskId& aTask)
{
  Worker& worker = m_workers[aWorker];
  const auto found = std::find_if(
    worker.m_unclaimed.begin(),
    worker.m_unclaimed.end(),
    [&](const worker::RunningTask& aFound) { return aFound.m_task == aTask; });
  if (found == worker.m_unclaimed.end()) {
    return false;
  }
  worker.m_held -= found->m_reserved;
  worker.m_unclaimed.erase(found);
  Touch(aWorker);
  return true;
}

void
SliceState::AddPending(TaskRef aRef)
{
  Job& job = m_jobs[aRef.m_job];
  job.m_tasks[aRef.m_index].m_state = TaskState::Pending;
  job.m_pending.push_back(aRef.m_index);
  m_teams[job.m_team].m_waiting += job.m_spec.m_perTask.m_millicores;
}

std::uint32_t
SliceState::TakePending(std::uint32_t aJob)
{
  Job& job = m_jobs[aJob];
  const std::uint32_t index = job.m_pending.back();
  job.m_pending.pop_back();
  m_teams[job.m_team].m_waiting -= job.m_spec.m_perTask.m_millicores;
  return index;
}

void
SliceState::ErasePending(TaskRef aRef)
{
  Job& job = m_jobs[aRef.m_job];
  const auto found =
    std::find(job.m_pending.begin(), job.m_pending.end(), aRef.m_index);
  if (found == job.m_pending.end()) {
    return;
  }
  job.m_pending.erase(found);
  m_teams[job.m_team].m_waiting -= job.m_spec.m_perTask.m_millicores;
  if (job.m_pending.empty() && job.m_queued) {
    Dequeue(aRef.m_job);
  }
}

void
SliceState::Enqueue(std::uint32_t aJob)
{
  Job& job = m_jobs[aJob];
  job.m_queued = true;
  m_teams[job.m_team].m_queue.insert(
    MakeQueueEntry(job.m_spec, job.m_sequence, aJob));
}

void
SliceState::Dequeue(std::uint32_t aJob)
{
  Job& job = m_jobs[aJob];
  job.m_queued = false;
  m_teams[job.m_team].m_queue.erase(
    MakeQueueEntry(job.m_spec, job.m_sequence, aJob));
}

void
SliceState::AbandonPending(std::uint32_t aJob)
{
  Job& job = m_jobs[aJob];
  job.m_queued = false;
  m_teams[job.m_team].m_waiting -=
    static_cast<std::int64_t>(job.m_pending.size()) *
    job.m_spec.m_perTask.m_millicores;
  job.m_pending.clear();
}

} // namespace lacewing::sched
