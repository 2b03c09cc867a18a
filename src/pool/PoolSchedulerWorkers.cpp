// Workers: the list of them, their incarnations, what they report, the leases
// of their runs, and the rows that tell a successor of them.
#include "pool/PoolScheduler.h"

#include <algorithm>

namespace lacewing::pool {

namespace {

/// Runs that a leader's row lists at most, so that it stays far below the 64 kB
/// of a row; further workers are named as ones that may run anything.
constexpr std::size_t kMostRecordedRuns = 800;

/// False if the run has ended with the previous incarnation of its worker.
bool
MayRunAfterRestart(Time aNow,
                   const TaskRef& aTask,
                   const Placement& aPlacement,
                   const Inventory* aInventory)
{
  if (aPlacement.m_earlierCopiesUntil > aNow) {
    return true;
  }
  if (aPlacement.m_wasListed) {
    return false;
  }
  if (aInventory == nullptr || aInventory->m_endsTruncated) {
    return true;
  }
  const bool confirmedBefore =
    aPlacement.m_confirmedAt &&
    *aPlacement.m_confirmedAt < aInventory->m_requestedAt;
  return !confirmedBefore || aInventory->Lists(aTask, aPlacement.m_run);
}

} // namespace

void
PoolScheduler::SetWorkers(Time aNow, const std::vector<WorkerInfo>& aWorkers)
{
  for (auto& [id, worker] : m_workers) {
    worker.m_listed = false;
  }
  for (const WorkerInfo& info : aWorkers) {
    const auto [it, fresh] = m_workers.try_emplace(info.m_id);
    WorkerRecord& worker = it->second;
    if (fresh) {
      worker.m_slot = static_cast<WorkerSlot>(m_bySlot.size());
      m_bySlot.push_back(&worker);
    }
    if (info.m_incarnation > worker.m_info.m_incarnation) {
      BeginIncarnation(aNow, worker, info.m_incarnation, nullptr);
    }
    const std::int64_t incarnation =
      std::max(info.m_incarnation, worker.m_info.m_incarnation);
    worker.m_info = info;
    worker.m_info.m_incarnation = incarnation;
    worker.m_describedIncarnation = info.m_incarnation;
    worker.m_listed = true;
    worker.m_evacuated = m_evacuations.contains(info.m_domain);
  }
  std::erase_if(m_workers, [this, aNow](const auto& aItem) {
    const WorkerRecord& worker = aItem.second;
    // What is under way to it also reaches its next incarnation.
    const bool gone = !worker.m_listed && worker.m_placements.empty() &&
                      aNow >= worker.m_commandsUntil;
    if (gone) {
      m_bySlot[worker.m_slot] = nullptr;
    }
    return gone;
  });
}

bool
PoolScheduler::KeepOverRestart(Time aNow,
                               const WorkerRecord& aWorker,
                               const TaskRef& aTask,
                               Placement& aPlacement,
                               const Inventory* aInventory)
{
  if (!MayRunAfterRestart(aNow, aTask, aPlacement, aInventory)) {
    return false;
  }
  if (aPlacement.m_isHeld && aPlacement.m_earlierCopiesUntil > aNow) {
    // The run has ended, and the other copies of its start are not wanted.
    aPlacement.m_state = PlacementState::Stopping;
    aPlacement.m_since = aNow;
  }
  aPlacement.m_sentBeforeRestart = true;
  aPlacement.m_isHeld = false;
  aPlacement.m_wasListed = false;
  if (aPlacement.m_state == PlacementState::Stopping) {
    // The new incarnation does not know of the stop and may still take the
    // start.
    aPlacement.m_confirmed = false;
    aPlacement.m_missingInventories = 0;
    aPlacement.m_stopConfirmedAt.reset();
    m_stops.push_back(
      { aWorker.m_info.m_id, aTask, aPlacement.m_run, StopReason::InDoubt });
  }
  return true;
}

void
PoolScheduler::BeginIncarnation(Time aNow,
                                WorkerRecord& aWorker,
                                std::int64_t aIncarnation,
                                const Inventory* aInventory)
{
  std::vector<TaskRef> ended;
  for (auto& [task, placement] : aWorker.m_placements) {
    if (!KeepOverRestart(aNow, aWorker, task, placement, aInventory)) {
      ended.push_back(task);
    }
  }
  for (const TaskRef& task : ended) {
    GiveUp(aNow, aWorker, task, GiveUpReason::Restarted);
  }
  WorkerRecord restarted;
  restarted.m_info = std::move(aWorker.m_info);
  restarted.m_restarted = restarted.m_info.m_incarnation != 0;
  restarted.m_info.m_incarnation = aIncarnation;
  restarted.m_incarnationSince = aNow;
  restarted.m_describedIncarnation = aWorker.m_describedIncarnation;
  restarted.m_slot = aWorker.m_slot;
  restarted.m_listed = aWorker.m_listed;
  restarted.m_evacuated = aWorker.m_evacuated;
  restarted.m_recorded = aWorker.m_recorded;
  restarted.m_leaseCheckDue = aWorker.m_leaseCheckDue;
  restarted.m_toRecord = aWorker.m_toRecord;
  restarted.m_placements = std::move(aWorker.m_placements);
  restarted.m_unknownRuns = aWorker.m_unknownRuns;
  restarted.m_used = aWorker.m_used;
  restarted.m_commandsUntil = aWorker.m_commandsUntil;
  if (!restarted.m_placements.empty()) {
    // A start that was sent before the restart names the end of its lease on
    // the clock of the previous incarnation. The new one takes it for a later
    // time and shortens it to the longest lease.
    restarted.m_lastResponse = aNow;
    restarted.m_deadlineMs = LongestLeaseMs(aNow, restarted);
  }
  aWorker = std::move(restarted);
}

std::int64_t
PoolScheduler::LongestLeaseMs(Time aNow, const WorkerRecord& aWorker) const
{
  const Duration underWay =
    std::max(Duration::zero(), aWorker.m_commandsUntil - aNow);
  return ToMilliseconds(m_longestLease + underWay);
}

void
PoolScheduler::OnInventory(Time aNow,
                           const WorkerId& aWorker,
                           const Inventory& aInventory)
{
  const auto it = m_workers.find(aWorker);
  if (it == m_workers.end() ||
      aInventory.m_incarnation < it->second.m_info.m_incarnation) {
    return;
  }
  WorkerRecord& worker = it->second;
  if (aInventory.m_incarnation > worker.m_info.m_incarnation) {
    BeginIncarnation(aNow, worker, aInventory.m_incarnation, &aInventory);
  }
  worker.m_silent = false;
  if (worker.m_laterClockSince < aInventory.m_requestedAt) {
    worker.m_laterClockSince.reset();
  }
  worker.m_lastResponse = aNow;
  worker.m_knownAliveAt =
    std::max(worker.m_knownAliveAt, std::min(aInventory.m_requestedAt, aNow));
  worker.m_clockMs = std::max(worker.m_clockMs, aInventory.m_clockMs);
  if (!worker.m_adopted) {
    worker.m_adopted = true;
    // Its runs may be under a lease of the previous leader, and a restarted
    // worker may have taken a command for its earlier incarnation.
    if (!aInventory.m_running.empty() || worker.m_restarted) {
      worker.m_deadlineMs = std::max(
        worker.m_deadlineMs, worker.m_clockMs + LongestLeaseMs(aNow, worker));
    }
  }
  worker.m_endsTruncated = aInventory.m_endsTruncated;
  if (!aInventory.m_endsTruncated) {
    m_unreportedWorkers.erase(aWorker);
    m_unreportedChanged |= m_unreportedRuns.erase(aWorker) > 0;
  }
  const std::uint64_t known = worker.m_highestEnd;
  for (const ReportedEnd& end : aInventory.m_ended) {
    if (end.m_number > worker.m_highestEnd) {
      OnReportedEnd(aNow, worker, end);
    }
  }
  const bool nothingNew = worker.m_highestEnd == known;
  worker.m_repeatedInventories =
    nothingNew ? worker.m_repeatedInventories + 1 : 0;
  for (const ReportedRun& run : aInventory.m_running) {
    OnReportedRun(aNow, worker, run);
  }
  DropMissingRuns(aNow, worker, aInventory);
}

void
PoolScheduler::OnNoAnswer(const WorkerId& aWorker)
{
  if (const auto it = m_workers.find(aWorker); it != m_workers.end()) {
    it->second.m_silent = true;
  }
}

void
PoolScheduler::OnClockOfLaterIncarnation(Time aNow,
                                         Time aSentAt,
                                         const WorkerId& aWorker)
{
  const auto it = m_workers.find(aWorker);
  if (it != m_workers.end() && aSentAt >= it->second.m_incarnationSince) {
    it->second.m_laterClockSince = aNow;
  }
}

bool
PoolScheduler::IsCordoned(Time aNow, const WorkerRecord& aWorker) const
{
  return !aWorker.m_listed || aWorker.MayHaveRestarted() ||
         aWorker.m_evacuated || aWorker.m_info.m_draining ||
         aWorker.HasTimedOut(aNow) ||
         aNow >=
           aWorker.m_lastResponse + kUnresponsiveAfter + ResponseAllowance();
}

RecordedWorkers
PoolScheduler::ListWorkersToRecord(Time aNow)
{
  RecordedWorkers result;
  std::size_t runs = 0;
  for (auto& [id, worker] : m_workers) {
    const std::size_t present = worker.m_placements.size();
    const bool listsRuns =
      IsCordoned(aNow, worker) && runs + present <= kMostRecordedRuns;
    worker.m_toRecord = !listsRuns;
    if (worker.m_toRecord) {
      result.m_workers.push_back(id);
      continue;
    }
    worker.m_recorded = false;
    if (present == 0) {
      continue;
    }
    CordonedWorker& cordoned = result.m_cordoned.emplace_back();
    cordoned.m_worker = id;
    for (const auto& [task, placement] : worker.m_placements) {
      cordoned.m_runs.push_back(task);
    }
    runs += present;
  }
  for (const WorkerId& id : m_unreportedWorkers) {
    const auto it = m_workers.find(id);
    if (it == m_workers.end() || !it->second.m_toRecord) {
      result.m_workers.push_back(id);
    }
  }
  for (const auto& [id, unreported] : m_unreportedRuns) {
    result.m_cordoned.push_back({ id, unreported });
  }
  return result;
}

void
PoolScheduler::SetRecordedWorkers(const std::vector<WorkerId>& aWorkers)
{
  for (const WorkerId& id : aWorkers) {
    const auto it = m_workers.find(id);
    // A write of a row without this worker may be in flight.
    if (it != m_workers.end() && it->second.m_toRecord) {
      it->second.m_recorded = true;
    }
  }
}

void
PoolScheduler::ExpireLeases(Time aNow)
{
  while (!m_leaseChecks.empty() && m_leaseChecks.top().first < aNow) {
    WorkerRecord* worker = m_bySlot[m_leaseChecks.top().second];
    m_leaseChecks.pop();
    if (worker == nullptr) {
      continue;
    }
    worker->m_leaseCheckDue = false;
    const Time leaseEnd = worker->LeaseEnd() + kLeaseMargin;
    const bool isOver = aNow > leaseEnd;
    if (isOver) {
      GiveUpExpired(aNow, *worker);
    }
    if (!worker->m_placements.empty()) {
      CheckLeaseAfter(isOver ? UnheardLeaseEnd(*worker) : leaseEnd, *worker);
    }
  }
}

void
PoolScheduler::GiveUpExpired(Time aNow, WorkerRecord& aWorker)
{
  const bool isUnheardOver = aNow > UnheardLeaseEnd(aWorker);
  std::vector<TaskRef> expired;
  for (const auto& [task, placement] : aWorker.m_placements) {
    if (isUnheardOver || !aWorker.MayRunUnheard(placement)) {
      expired.push_back(task);
    }
  }
  for (const TaskRef& task : expired) {
    GiveUp(aNow, aWorker, task, GiveUpReason::LeaseEnded);
  }
}

void
PoolScheduler::CheckLeaseAfter(Time aTime, WorkerRecord& aWorker)
{
  if (!std::exchange(aWorker.m_leaseCheckDue, true)) {
    m_leaseChecks.emplace(aTime, aWorker.m_slot);
  }
}

void
PoolScheduler::AddPlacement(WorkerRecord& aWorker,
                            const TaskRef& aTask,
                            const Placement& aPlacement)
{
  aWorker.m_placements[aTask] = aPlacement;
  if (aPlacement.m_unknown) {
    m_unknownRuns.emplace(aTask, aWorker.m_info.m_id);
    ++aWorker.m_unknownRuns;
  }
  aWorker.m_used += aPlacement.m_resources;
  m_teamUse[aPlacement.m_team] += aPlacement.m_resources;
  CheckLeaseAfter(aWorker.LeaseEnd() + kLeaseMargin, aWorker);
}

void
PoolScheduler::DropPlacement(WorkerRecord& aWorker, const TaskRef& aTask)
{
  const auto it = aWorker.m_placements.find(aTask);
  if (it == aWorker.m_placements.end()) {
    return;
  }
  const Placement placement = it->second;
  aWorker.m_placements.erase(it);
  if (placement.m_unknown) {
    m_unknownRuns.erase({ aTask, aWorker.m_info.m_id });
    --aWorker.m_unknownRuns;
  }
  aWorker.m_used -= placement.m_resources;
  m_teamUse[placement.m_team] -= placement.m_resources;
  TrackedJob* job = Find(aTask.m_job);
  if (job == nullptr || !job->HasTask(aTask)) {
    return;
  }
  TaskRecord& task = job->Task(aTask);
  task.m_surplusRuns -= placement.m_surplus ? 1 : 0;
  if (task.m_state == TaskState::Placed && task.m_run == placement.m_run &&
      task.m_worker == aWorker.m_info.m_id) {
    task.m_state = TaskState::Waiting;
    --job->Step(aTask.m_step).m_placed;
  }
}

void
PoolScheduler::GiveUp(Time aNow,
                      WorkerRecord& aWorker,
                      const TaskRef& aTask,
                      GiveUpReason aReason)
{
  const Placement& placement = aWorker.m_placements.at(aTask);
  GivenUpRun& run = m_givenUp.emplace_back();
  run.m_worker = aWorker.m_info.m_id;
  run.m_task = aTask;
  run.m_run = placement.m_run;
  run.m_reason = aReason;
  run.m_incarnation = aWorker.m_info.m_incarnation;
  run.m_answered = placement.m_confirmedAt.has_value();
  run.m_listed = placement.m_wasListed;
  run.m_age = aNow - placement.m_since;
  run.m_silence = aNow - aWorker.m_lastResponse;
  run.m_leaseLeft = aWorker.LeaseEnd() - aNow;
  DropPlacement(aWorker, aTask);
}

} // namespace lacewing::pool
