#include "pool/PoolScheduler.h"

#include <algorithm>

namespace lacewing::pool {

namespace {

/// Delay before new tasks after a command did not reach its worker; the next
/// response of the worker shows whether it is reachable again.
constexpr Duration kUnreachableDelay = milliseconds(300);
/// Delay before new tasks after a worker has refused a command because it is
/// unhealthy or lacks resources.
constexpr Duration kUnhealthyDelay = seconds(1);
/// After a change of the leader, fronts may report new jobs to the previous
/// leader for this long.
constexpr Duration kPreviousLeaderGrace = seconds(1);
/// A command passes the event loop that often: its connection is opened, it is
/// written, and its response is read.
constexpr int kTurnsOfACommand = 3;
/// Leases are extended before they end, also with both of these.
constexpr Duration kMostAllowance = milliseconds(1500);
constexpr Duration kMostExtensionPause = seconds(1);

/// True if the start was repeated without an answer, or if its worker is
/// silent.
bool
IsInDoubt(const WorkerRecord& aWorker, const Placement& aPlacement)
{
  return !aPlacement.m_confirmed && (aWorker.MayHaveRestarted() ||
                                     aPlacement.m_earlierCopiesUntil > Time());
}

/// True if a task of the job is done, or placed by a start that is not in
/// doubt.
bool
HasBegunForCertain(const PoolScheduler::WorkerMap& aWorkers,
                   const TrackedJob& aJob)
{
  for (std::uint32_t step = 0; step < aJob.Steps(); ++step) {
    const auto& tasks = aJob.Step(step).m_tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
      if (tasks[index].m_state == TaskState::Waiting) {
        continue;
      }
      const auto worker = aWorkers.find(tasks[index].m_worker);
      if (tasks[index].m_state == TaskState::Done || worker == aWorkers.end()) {
        return true;
      }
      const auto& placements = worker->second.m_placements;
      const auto placement = placements.find({ aJob.Spec().m_id, step, index });
      const bool inDoubt = placement != placements.end() &&
                           IsInDoubt(worker->second, placement->second);
      if (!inDoubt) {
        return true;
      }
    }
  }
  return false;
}

} // namespace

PoolScheduler::PoolScheduler(Time aNow,
                             std::uint64_t aTerm,
                             std::set<WorkerId> aPreviousWorkers,
                             Time aBarrier)
  : m_term(aTerm)
  , m_unreportedWorkers(std::move(aPreviousWorkers))
  , m_barrier(aBarrier)
  , m_began(aNow)
{
}

void
PoolScheduler::OnLoaded(Time aNow)
{
  m_loadedAt = aNow;
}

void
PoolScheduler::SetPreviousRuns(const std::vector<CordonedWorker>& aCordoned)
{
  for (const CordonedWorker& worker : aCordoned) {
    m_unreportedRuns[worker.m_worker] = worker.m_runs;
  }
}

bool
PoolScheduler::IsUnreportedRun(const TaskRef& aTask) const
{
  return std::ranges::any_of(m_unreportedRuns, [&](const auto& aItem) {
    return std::ranges::find(aItem.second, aTask) != aItem.second.end();
  });
}

void
PoolScheduler::SetBarrier(Time aBarrier)
{
  m_barrier = std::min(m_barrier, aBarrier);
}

void
PoolScheduler::SetConfig(Time, const PoolConfig& aConfig)
{
  m_config = aConfig;
  m_teams.clear();
  for (const TeamRule& team : m_config.m_teams) {
    m_teams.emplace(team.m_id, &team);
  }
  for (const QueueRule& queue : aConfig.m_queues) {
    m_rules[queue.m_id] = queue;
  }
}

void
PoolScheduler::SetEvacuations(std::set<DomainId> aDomains)
{
  m_evacuations = std::move(aDomains);
  for (auto& [id, worker] : m_workers) {
    worker.m_evacuated = m_evacuations.contains(worker.m_info.m_domain);
  }
}

void
PoolScheduler::AddJob(Time aNow,
                      const Job& aJob,
                      Duration aAge,
                      const JobProgress& aProgress,
                      JobOrigin aOrigin)
{
  if (m_jobs.contains(aJob.m_id)) {
    return;
  }
  const auto rule = m_rules.find(aJob.m_queue);
  const QueueRule& queue =
    rule == m_rules.end() ? m_rules[aJob.m_queue] : rule->second;
  auto job = std::make_unique<TrackedJob>(
    aJob, queue, aNow - aAge, aProgress, ExpectedRuntimes(aJob));
  job->m_rule = &queue;
  if (job->IsOver()) {
    job->m_endedAt = aNow;
    TakeIn(aNow, std::move(job));
    return;
  }
  const bool mayBeKnownToPrevious =
    aOrigin == JobOrigin::Loaded ||
    (aOrigin == JobOrigin::Accepted && !m_previousEnded &&
     aNow < m_began + kPreviousLeaderGrace);
  if (mayBeKnownToPrevious && !m_barrierPassed) {
    for (std::uint32_t step = 0; step < job->Steps(); ++step) {
      auto& tasks = job->Step(step).m_tasks;
      for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        tasks[index].m_mayRunUnreported =
          tasks[index].m_state == TaskState::Waiting &&
          MayRunUnreported({ aJob.m_id, step, index });
      }
    }
  }
  if (const TeamRule* team = FindTeam(aJob.m_team);
      team != nullptr && aOrigin == JobOrigin::Accepted) {
    auto [it, fresh] =
      m_rateBudget.try_emplace(aJob.m_team, std::pair{ team->m_weight, aNow });
    auto& [left, since] = it->second;
    const double elapsed = std::chrono::duration<double>(aNow - since).count();
    left = std::min(team->m_weight, left + elapsed * team->m_weight);
    since = aNow;
    job->m_beyondShare = left < 1;
    left = std::max(0.0, left - 1);
  }
  m_open.emplace(aJob.m_id, job.get());
  TakeIn(aNow, std::move(job));
}

std::vector<ExpectedRuntime>
PoolScheduler::ExpectedRuntimes(const Job& aJob) const
{
  std::vector<ExpectedRuntime> result;
  result.reserve(aJob.m_steps.size());
  for (const StepSpec& step : aJob.m_steps) {
    result.push_back(m_runtimes.Expect(KindOf(aJob, step), step.m_estimate));
  }
  return result;
}

void
PoolScheduler::TakeIn(Time aNow, std::unique_ptr<TrackedJob> aJob)
{
  const JobId id = aJob->Spec().m_id;
  TrackedJob& job = *aJob;
  m_jobs.emplace(id, std::move(aJob));
  RecordHeldEnds(aNow, job);
  IdentifyRuns(aNow, id);
}

bool
PoolScheduler::CancelJob(Time aNow, const JobId& aJob)
{
  TrackedJob* job = Find(aJob);
  if (job == nullptr) {
    return false;
  }
  if (!job->IsOver()) {
    job->SetState(JobState::Cancelled);
    job->m_endedAt = aNow;
    StopJob(aNow, *job, StopReason::Cancelled);
    MarkDirty(*job);
    m_open.erase(aJob);
  }
  return true;
}

void
PoolScheduler::OnStartOutcome(Time aNow,
                              const StartTask& aStart,
                              StartOutcome aOutcome)
{
  if (!IsWanted(aStart)) {
    return;
  }
  WorkerRecord& worker = m_workers.at(aStart.m_worker);
  Placement& placement = worker.m_placements.at(aStart.m_task);
  switch (aOutcome) {
    case StartOutcome::Started:
      placement.m_confirmed = true;
      placement.m_confirmedAt = aNow;
      placement.m_isHeld =
        !placement.m_sentBeforeRestart && !worker.m_laterClockSince;
      if (placement.m_state == PlacementState::Starting) {
        placement.m_state = PlacementState::Running;
        placement.m_progressAt = aNow;
      }
      return;
    case StartOutcome::Unknown:
      return;
    case StartOutcome::NotSent:
      worker.m_avoidUntil = aNow + kUnreachableDelay;
      break;
    case StartOutcome::Refused:
    case StartOutcome::NoRoom:
      worker.m_avoidUntil = aNow + kUnhealthyDelay;
      break;
    case StartOutcome::TicketInvalid:
      if (TrackedJob* job = Find(aStart.m_task.m_job)) {
        StepRecord& step = job->Step(aStart.m_task.m_step);
        if (Ticket* ticket = step.FindTicket(worker.m_slot)) {
          ticket->m_until = aNow;
        }
        step.m_inNextPlan = true;
      }
      break;
    case StartOutcome::TooLate:
    case StartOutcome::OldRun:
      break;
  }
  DropPlacement(worker, aStart.m_task);
  BreakGang(aNow, aStart.m_task);
}

void
PoolScheduler::BreakGang(Time aNow, const TaskRef& aTask)
{
  TrackedJob* job = Find(aTask.m_job);
  if (job != nullptr && !job->IsOver() &&
      job->Spec().m_steps[aTask.m_step].m_gang) {
    StopStep(aNow, *job, aTask.m_step, StopReason::GangBroken);
  }
}

void
PoolScheduler::OnStopConfirmed(Time aNow, Time aSentAt, const StopTask& aStop)
{
  // An earlier incarnation may have confirmed a stop that was sent before.
  if (!IsWanted(aStop) ||
      aSentAt < m_workers.at(aStop.m_worker).m_incarnationSince) {
    return;
  }
  Placement& placement =
    m_workers.at(aStop.m_worker).m_placements.at(aStop.m_task);
  placement.m_confirmed = true;
  placement.m_stopConfirmedAt = aNow;
}

void
PoolScheduler::AbandonStart(Time aNow, const StartTask& aStart)
{
  if (IsWanted(aStart)) {
    Stop(
      aNow, m_workers.at(aStart.m_worker), aStart.m_task, StopReason::InDoubt);
    BreakGang(aNow, aStart.m_task);
  }
}

std::vector<PoolScheduler::ProgressWrite>
PoolScheduler::TakeUnsaved(std::size_t aMost, std::size_t aMostBytes)
{
  std::vector<ProgressWrite> writes;
  std::size_t bytes = 0;
  while (!m_dirty.empty() && writes.size() < aMost) {
    TrackedJob& job = *m_jobs.at(m_dirty.front());
    JobProgress progress = job.Progress();
    std::string row = EncodeProgress(progress);
    bytes += row.size();
    if (bytes > aMostBytes && !writes.empty()) {
      return writes;
    }
    m_dirty.pop_front();
    job.m_dirty = false;
    writes.push_back({ job.Spec().m_id,
                       std::move(progress),
                       std::move(row),
                       std::exchange(job.m_unsavedEnds, {}) });
  }
  return writes;
}

void
PoolScheduler::OnSaved(Time aNow, const ProgressWrite& aWrite)
{
  for (const EndRef& end : aWrite.m_ends) {
    Acknowledge(end);
  }
  TrackedJob* job = Find(aWrite.m_job);
  if (job != nullptr && IsFinal(aWrite.m_progress.m_state)) {
    job->m_finalStateStored = true;
    job->m_endedAt = aNow;
  }
}

void
PoolScheduler::OnSaveFailed(const ProgressWrite& aWrite)
{
  TrackedJob* job = Find(aWrite.m_job);
  if (job == nullptr) {
    // Only a job whose final state is stored is removed from memory.
    for (const EndRef& end : aWrite.m_ends) {
      Acknowledge(end);
    }
    return;
  }
  job->m_unsavedEnds.insert(
    job->m_unsavedEnds.end(), aWrite.m_ends.begin(), aWrite.m_ends.end());
  MarkDirty(*job);
}

void
PoolScheduler::SetStandingLag(Duration aLag)
{
  m_commandAllowance = std::min(aLag * kTurnsOfACommand, kMostAllowance);
  m_extensionPause = std::min(m_commandAllowance, kMostExtensionPause);
}

std::int64_t
PoolScheduler::NextDeadline(Time aNow,
                            const WorkerId& aWorker,
                            Duration aDelivery)
{
  const auto it = m_workers.find(aWorker);
  if (it == m_workers.end() || it->second.m_clockMs == 0) {
    return 0;
  }
  WorkerRecord& worker = it->second;
  const Time silentFrom =
    worker.m_lastResponse + kUnresponsiveAfter + ResponseAllowance();
  if (aNow > silentFrom || !worker.m_listed) {
    // The lease of a worker that does not respond or is not in the store any
    // more must expire, so that its tasks can start elsewhere.
    return 0;
  }
  if (worker.MayHaveRestarted()) {
    // A worker that has restarted would take the time on its former clock for a
    // far one, and a lease never gets shorter.
    return 0;
  }
  const std::int64_t deadline =
    worker.m_clockMs + ToMilliseconds(aNow - worker.m_lastResponse) +
    ToMilliseconds(std::min(kLeaseLength, m_longestLease));
  worker.m_deadlineMs = std::max(worker.m_deadlineMs, deadline);
  worker.m_commandsUntil = std::max(worker.m_commandsUntil, aNow + aDelivery);
  return deadline;
}

std::int64_t
PoolScheduler::DeadlineOfStart(Time aNow,
                               const StartTask& aStart,
                               Duration aDelivery)
{
  const std::int64_t deadline = NextDeadline(aNow, aStart.m_worker, aDelivery);
  if (deadline != 0 && IsWanted(aStart)) {
    Placement& placement =
      m_workers.at(aStart.m_worker).m_placements.at(aStart.m_task);
    placement.m_earlierCopiesUntil = placement.m_lastCopyUntil;
    placement.m_lastCopyUntil = aNow + aDelivery;
  }
  return deadline;
}

const Placement*
PoolScheduler::PlacementOf(const StartTask& aStart) const
{
  const auto worker = m_workers.find(aStart.m_worker);
  if (worker == m_workers.end()) {
    return nullptr;
  }
  const auto placement = worker->second.m_placements.find(aStart.m_task);
  const bool same = placement != worker->second.m_placements.end() &&
                    placement->second.m_run == aStart.m_run;
  return same ? &placement->second : nullptr;
}

bool
PoolScheduler::IsWanted(const StartTask& aStart) const
{
  return PlacementOf(aStart) != nullptr;
}

bool
PoolScheduler::IsBeingStopped(const StartTask& aStart) const
{
  const Placement* placement = PlacementOf(aStart);
  return placement != nullptr && placement->m_state == PlacementState::Stopping;
}

bool
PoolScheduler::IsForDrainingWorker(const StartTask& aStart) const
{
  const auto worker = m_workers.find(aStart.m_worker);
  return worker != m_workers.end() &&
         (worker->second.m_info.m_draining || worker->second.m_evacuated);
}

bool
PoolScheduler::IsListed(const StartTask& aStart) const
{
  const Placement* placement = PlacementOf(aStart);
  return placement != nullptr && placement->m_wasListed;
}

bool
PoolScheduler::IsForEarlierIncarnation(const StartTask& aStart) const
{
  const Placement* placement = PlacementOf(aStart);
  return placement != nullptr && placement->m_sentBeforeRestart;
}

bool
PoolScheduler::IsWanted(const StopTask& aStop) const
{
  return IsWanted(
    StartTask{ aStop.m_worker, aStop.m_task, aStop.m_run, {}, {}, {} });
}

const TrackedJob*
PoolScheduler::FindJob(const JobId& aJob) const
{
  const auto it = m_jobs.find(aJob);
  return it == m_jobs.end() ? nullptr : it->second.get();
}

TrackedJob*
PoolScheduler::Find(const JobId& aJob)
{
  const auto it = m_jobs.find(aJob);
  return it == m_jobs.end() ? nullptr : it->second.get();
}

JobState
PoolScheduler::ShownState(const TrackedJob& aJob) const
{
  if (aJob.IsOver() && aJob.m_finalStateStored) {
    return aJob.State();
  }
  if (aJob.State() == JobState::Cancelled) {
    return JobState::Cancelled;
  }
  return aJob.HasBegun() ? JobState::Running : JobState::Pending;
}

std::map<QueueId, std::size_t>
PoolScheduler::WaitingJobs() const
{
  std::map<QueueId, std::size_t> result;
  for (const auto& [id, open] : m_open) {
    const TrackedJob& job = *open;
    if (!HasBegunForCertain(m_workers, job)) {
      ++result[job.Spec().m_queue];
    }
  }
  return result;
}

PoolCounts
PoolScheduler::Counts(Time aNow) const
{
  PoolCounts counts;
  counts.m_openJobs = m_open.size();
  for (const auto& [id, worker] : m_workers) {
    counts.m_workers +=
      worker.CanAcceptTasks(aNow, ResponseAllowance()) ? 1 : 0;
    counts.m_running += worker.m_placements.size();
    counts.m_usedMillicores += worker.m_used.m_millicores;
  }
  for (const auto& [id, open] : m_open) {
    const TrackedJob& job = *open;
    for (std::uint32_t step = 0; step < job.Steps(); ++step) {
      const StepRecord& record = job.Step(step);
      if (record.Waiting() == 0 || !job.IsReady(step)) {
        continue;
      }
      counts.m_waitingTasks += record.Waiting();
      const Time seen = std::max(record.m_consideredAt, job.Accepted());
      counts.m_oldestWaiting =
        std::max(counts.m_oldestWaiting, aNow - job.Accepted());
      counts.m_longestTurn = std::max(counts.m_longestTurn, aNow - seen);
    }
  }
  return counts;
}

std::vector<JobId>
PoolScheduler::ForgetEnded(Time aBefore)
{
  std::vector<JobId> result;
  std::erase_if(m_jobs, [&](const auto& aItem) {
    const TrackedJob& job = *aItem.second;
    const bool forget = job.IsOver() && job.m_finalStateStored &&
                        !job.m_dirty && job.m_endedAt < aBefore;
    if (forget) {
      result.push_back(aItem.first);
    }
    return forget;
  });
  return result;
}

void
PoolScheduler::Stop(Time aNow,
                    WorkerRecord& aWorker,
                    const TaskRef& aTask,
                    StopReason aReason)
{
  Placement& placement = aWorker.m_placements.at(aTask);
  if (placement.m_state == PlacementState::Stopping) {
    return;
  }
  placement.m_state = PlacementState::Stopping;
  placement.m_since = aNow;
  m_stops.push_back({ aWorker.m_info.m_id, aTask, placement.m_run, aReason });
}

void
PoolScheduler::StopJob(Time aNow, TrackedJob& aJob, StopReason aReason)
{
  for (std::uint32_t step = 0; step < aJob.Steps(); ++step) {
    StopStep(aNow, aJob, step, aReason);
  }
}

void
PoolScheduler::StopStep(Time aNow,
                        TrackedJob& aJob,
                        std::uint32_t aStep,
                        StopReason aReason)
{
  const auto& tasks = aJob.Step(aStep).m_tasks;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    const TaskRef ref{ aJob.Spec().m_id, aStep, index };
    const auto worker = m_workers.find(tasks[index].m_worker);
    if (tasks[index].m_state == TaskState::Placed &&
        worker != m_workers.end() &&
        worker->second.m_placements.contains(ref)) {
      Stop(aNow, worker->second, ref, aReason);
    }
  }
}

void
PoolScheduler::MarkDirty(TrackedJob& aJob)
{
  if (!aJob.m_dirty) {
    aJob.m_dirty = true;
    m_dirty.push_back(aJob.Spec().m_id);
  }
}

} // namespace lacewing::pool
