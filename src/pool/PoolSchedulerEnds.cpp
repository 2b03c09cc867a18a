// Applies the workers' inventories: ends of runs, and the runs that go on.
#include "pool/PoolScheduler.h"

#include <algorithm>

namespace lacewing::pool {

namespace {

/// A run counts as lost after this many inventories in a row without it. One
/// inventory is not enough, since it may be older than the start of the run.
constexpr int kMissingInventoriesForLost = 3;
/// Progress of a run that is about to end.
constexpr int kWholePercent = 100;

} // namespace

void
PoolScheduler::OnReportedEnd(Time aNow,
                             WorkerRecord& aWorker,
                             const ReportedEnd& aEnd)
{
  aWorker.m_highestEnd = aEnd.m_number;
  TrackedJob* job = Find(aEnd.m_task.m_job);
  const auto placement = aWorker.m_placements.find(aEnd.m_task);
  const bool present = placement != aWorker.m_placements.end() &&
                       placement->second.m_run == aEnd.m_run;
  if (present) {
    if (job != nullptr && aEnd.m_how == RunEnd::Done) {
      LearnRuntime(aNow, *job, aEnd.m_task, placement->second, aWorker);
    }
    DropPlacement(aWorker, aEnd.m_task);
  }
  if (job == nullptr) {
    HoldEnd(aWorker, aEnd);
  } else {
    RecordEnd(aNow, *job, aEnd, aWorker);
  }
}

void
PoolScheduler::RecordEnd(Time aNow,
                         TrackedJob& aJob,
                         const ReportedEnd& aEnd,
                         WorkerRecord& aWorker)
{
  if (aJob.m_finalStateStored || !aJob.HasTask(aEnd.m_task)) {
    aWorker.m_unsavedEnds.erase(aEnd.m_number);
    return; // it has no effect, so the worker may discard it
  }
  if (!aJob.IsOver()) {
    ApplyEnd(aNow, aJob, aEnd, aWorker);
  }
  aWorker.m_unsavedEnds.insert(aEnd.m_number);
  aJob.m_unsavedEnds.push_back(
    { aWorker.m_info.m_id, aWorker.m_info.m_incarnation, aEnd.m_number });
  MarkDirty(aJob);
}

void
PoolScheduler::HoldEnd(WorkerRecord& aWorker, const ReportedEnd& aEnd)
{
  aWorker.m_unsavedEnds.insert(aEnd.m_number);
  m_heldEnds[aEnd.m_task.m_job].push_back(
    { { aWorker.m_info.m_id, aWorker.m_info.m_incarnation, aEnd.m_number },
      aEnd });
  m_lookups.insert(aEnd.m_task.m_job);
}

void
PoolScheduler::RecordHeldEnds(Time aNow, TrackedJob& aJob)
{
  const auto held = m_heldEnds.extract(aJob.Spec().m_id);
  if (held.empty()) {
    return;
  }
  for (const HeldEnd& end : held.mapped()) {
    if (WorkerRecord* worker = FindIncarnation(end.m_ref)) {
      RecordEnd(aNow, aJob, end.m_end, *worker);
    }
  }
}

void
PoolScheduler::DiscardHeldEnds(const JobId& aJob)
{
  const auto held = m_heldEnds.extract(aJob);
  if (held.empty()) {
    return;
  }
  for (const HeldEnd& end : held.mapped()) {
    Acknowledge(end.m_ref);
  }
}

WorkerRecord*
PoolScheduler::FindIncarnation(const EndRef& aEnd)
{
  const auto it = m_workers.find(aEnd.m_worker);
  const bool same = it != m_workers.end() &&
                    it->second.m_info.m_incarnation == aEnd.m_incarnation;
  return same ? &it->second : nullptr;
}

void
PoolScheduler::Acknowledge(const EndRef& aEnd)
{
  if (WorkerRecord* worker = FindIncarnation(aEnd)) {
    worker->m_unsavedEnds.erase(aEnd.m_number);
  }
}

double
PoolScheduler::SlownessOf(const WorkerRecord& aWorker) const
{
  return aWorker.m_runtimeRatio.Mean() / m_runtimeRatio.Mean();
}

double
PoolScheduler::SlownessOfGang(const TrackedJob& aJob, std::uint32_t aStep) const
{
  double slowest = 0;
  for (const TaskRecord& task : aJob.Step(aStep).m_tasks) {
    const auto worker = m_workers.find(task.m_worker);
    if (worker != m_workers.end()) {
      slowest = std::max(slowest, SlownessOf(worker->second));
    }
  }
  return slowest > 0 ? slowest : 1;
}

void
PoolScheduler::LearnRuntime(Time aNow,
                            const TrackedJob& aJob,
                            const TaskRef& aTask,
                            const Placement& aPlacement,
                            WorkerRecord& aWorker)
{
  const StepSpec& spec = aJob.Spec().m_steps[aTask.m_step];
  // The start time of an adopted run is not known: an earlier leader started
  // it. A resumed run has done part of its work before.
  if (spec.m_estimate <= Duration::zero() || aPlacement.m_adopted ||
      aPlacement.m_resumed) {
    return;
  }
  const Duration taken = aNow - aPlacement.m_since;
  const TaskKind kind = KindOf(aJob.Spec(), spec);
  if (spec.m_gang) {
    // Its members end together, with the slowest one.
    if (aJob.Step(aTask.m_step).m_done == 0) {
      m_runtimes.OnDone(kind,
                        spec.m_estimate,
                        Scale(taken, 1 / SlownessOfGang(aJob, aTask.m_step)));
    }
    return;
  }
  const Duration expected = m_runtimes.Expect(kind, spec.m_estimate).m_typical;
  const double ratio = std::chrono::duration<double>(taken) /
                       std::chrono::duration<double>(expected);
  m_runtimes.OnDone(
    kind, spec.m_estimate, Scale(taken, 1 / SlownessOf(aWorker)));
  aWorker.m_runtimeRatio.Add(ratio);
  // Each worker contributes its fraction to the mean of all.
  const double share = 1.0 / static_cast<double>(m_workers.size());
  m_runtimeRatio.Add(m_runtimeRatio.Mean() +
                     (ratio - m_runtimeRatio.Mean()) * share);
}

void
PoolScheduler::ApplyEnd(Time aNow,
                        TrackedJob& aJob,
                        const ReportedEnd& aEnd,
                        WorkerRecord& aWorker)
{
  const StepSpec& spec = aJob.Spec().m_steps[aEnd.m_task.m_step];
  StepRecord& step = aJob.Step(aEnd.m_task.m_step);
  TaskRecord& task = aJob.Task(aEnd.m_task);
  task.m_run = std::max(task.m_run, aEnd.m_run);
  if (spec.m_checkpointing && !aEnd.m_checkpoint.empty()) {
    task.m_checkpoint = aEnd.m_checkpoint;
  }
  if (aEnd.m_how == RunEnd::Done) {
    aWorker.m_failures.OnSuccess();
    step.m_failures.OnDone(aWorker.m_slot);
    if (!spec.m_gang) {
      MarkDone(aNow, aJob, aEnd.m_task);
    } else {
      for (std::uint32_t index = 0; index < step.m_tasks.size(); ++index) {
        MarkDone(aNow, aJob, { aEnd.m_task.m_job, aEnd.m_task.m_step, index });
      }
    }
    return;
  }
  if (aEnd.m_how == RunEnd::Failed) {
    CountFailure(aNow, aJob, aEnd.m_task, aEnd.m_run, aWorker);
  }
  if (!aJob.IsOver() && spec.m_gang) {
    StopStep(aNow, aJob, aEnd.m_task.m_step, StopReason::GangBroken);
  }
}

void
PoolScheduler::MarkDone(Time aNow, TrackedJob& aJob, const TaskRef& aTask)
{
  TaskRecord& task = aJob.Task(aTask);
  StepRecord& step = aJob.Step(aTask.m_step);
  if (task.m_state == TaskState::Done) {
    return;
  }
  if (task.m_state == TaskState::Placed) {
    --step.m_placed;
    const auto worker = m_workers.find(task.m_worker);
    const bool gang = aJob.Spec().m_steps[aTask.m_step].m_gang;
    // A later run of a task whose earlier run was done is not needed. The
    // members of a gang end by themselves.
    if (!gang && worker != m_workers.end() &&
        worker->second.m_placements.contains(aTask)) {
      Stop(aNow, worker->second, aTask, StopReason::NotNeeded);
    }
  }
  task.m_state = TaskState::Done;
  task.m_mayRunUnreported = false;
  ++step.m_done;
  if (aJob.AllDone()) {
    aJob.SetState(JobState::Completed);
    aJob.m_endedAt = aNow;
    m_open.erase(aJob.Spec().m_id);
  }
}

void
PoolScheduler::CountFailure(Time aNow,
                            TrackedJob& aJob,
                            const TaskRef& aTask,
                            RunNumber aRun,
                            WorkerRecord& aWorker)
{
  AttributeFailure(aNow, aJob, aTask, aWorker, Suspicion::Failed);
  const bool gang = aJob.Spec().m_steps[aTask.m_step].m_gang;
  StepRecord& step = aJob.Step(aTask.m_step);
  TaskRecord& counted = gang ? step.m_tasks.front() : aJob.Task(aTask);
  if (std::ranges::find(counted.m_failedRuns, aRun) !=
      counted.m_failedRuns.end()) {
    return;
  }
  aJob.Task(aTask).m_lastFailure = aWorker.m_info.m_id;
  counted.m_failedRuns.push_back(aRun);
  const auto rule = m_rules.find(aJob.Spec().m_queue);
  if (rule != m_rules.end() &&
      counted.m_failedRuns.size() >= rule->second.m_attempts) {
    aJob.SetState(JobState::Failed);
    aJob.m_endedAt = aNow;
    m_open.erase(aJob.Spec().m_id);
    StopJob(aNow, aJob, StopReason::JobFailed);
  }
}

void
PoolScheduler::AttributeFailure(Time aNow,
                                TrackedJob& aJob,
                                const TaskRef& aTask,
                                WorkerRecord& aWorker,
                                Suspicion aKind)
{
  StepFailures& failures = aJob.Step(aTask.m_step).m_failures;
  // A pool's only worker may be stuck itself; the step fails there for sure.
  const std::size_t workers =
    aKind == Suspicion::Stuck ? m_bySlot.size() + 1 : m_workers.size();
  if (failures.OnFailure(aNow, aWorker.m_slot, workers)) {
    m_failingSteps.push_back({ aTask.m_job,
                               aTask.m_step,
                               failures.FailingWorkers(),
                               failures.SoundWorkers() });
    for (auto& [id, worker] : m_workers) {
      worker.m_failures.Discard(aTask.m_job);
    }
  }
  if (failures.IsAtFault()) {
    return;
  }
  if (aWorker.m_failures.OnFailure(aNow, aTask.m_job, aKind)) {
    ReportSuspect(aNow, aWorker, aTask, aKind);
  }
}

void
PoolScheduler::ReportSuspect(Time aNow,
                             const WorkerRecord& aWorker,
                             const TaskRef& aTask,
                             Suspicion aReason)
{
  SuspectWorker& suspect = m_suspects.emplace_back();
  suspect.m_worker = aWorker.m_info.m_id;
  suspect.m_job = aTask.m_job;
  suspect.m_step = aTask.m_step;
  suspect.m_reason = aReason;
  suspect.m_avoided = aWorker.m_failures.AvoidUntil() - aNow;
}

void
PoolScheduler::OnReportedRun(Time aNow,
                             WorkerRecord& aWorker,
                             const ReportedRun& aRun)
{
  auto it = aWorker.m_placements.find(aRun.m_task);
  if (it != aWorker.m_placements.end() && it->second.m_run != aRun.m_run) {
    return; // the inventory is older than the start of the later run
  }
  if (it == aWorker.m_placements.end()) {
    Placement found;
    found.m_run = aRun.m_run;
    found.m_state = PlacementState::Running;
    found.m_since = aNow;
    found.m_progressAt = aNow;
    found.m_unknown = true;
    found.m_adopted = true;
    AddPlacement(aWorker, aRun.m_task, found);
    it = aWorker.m_placements.find(aRun.m_task);
  }
  Placement& placement = it->second;
  placement.m_confirmed = true;
  placement.m_wasListed = true;
  placement.m_isHeld = true;
  placement.m_sentBeforeRestart = false;
  if (placement.m_state == PlacementState::Starting) {
    placement.m_state = PlacementState::Running;
    placement.m_progressAt = aNow;
  }
  if (aRun.m_percent > placement.m_percent) {
    placement.m_percent = aRun.m_percent;
    placement.m_progressAt = aNow;
  }
  placement.m_missingInventories = 0;
  if (placement.m_unknown) {
    Identify(aNow, aWorker, aRun);
    return;
  }
  TrackedJob* job = Find(aRun.m_task.m_job);
  if (job != nullptr && !aRun.m_checkpoint.empty() &&
      job->Spec().m_steps[aRun.m_task.m_step].m_checkpointing) {
    job->Task(aRun.m_task).m_checkpoint = aRun.m_checkpoint;
  }
}

void
PoolScheduler::Identify(Time aNow,
                        WorkerRecord& aWorker,
                        const ReportedRun& aRun)
{
  TrackedJob* job = Find(aRun.m_task.m_job);
  if (job == nullptr || !job->HasTask(aRun.m_task)) {
    // A previous leader may have received the job after this one had read the
    // store.
    m_lookups.insert(aRun.m_task.m_job);
    return;
  }
  const StepSpec& spec = job->Spec().m_steps[aRun.m_task.m_step];
  Placement& placement = aWorker.m_placements.at(aRun.m_task);
  placement.m_unknown = false;
  m_unknownRuns.erase({ aRun.m_task, aWorker.m_info.m_id });
  --aWorker.m_unknownRuns;
  placement.m_resources = spec.m_each;
  placement.m_expectedEnd =
    aNow +
    Scale(job->Expected(aRun.m_task.m_step).m_typical, SlownessOf(aWorker)) *
      (kWholePercent - std::clamp(aRun.m_percent, 0, kWholePercent)) /
      kWholePercent;
  placement.m_team = job->Spec().m_team;
  aWorker.m_used += placement.m_resources;
  m_teamUse[placement.m_team] += placement.m_resources;
  TaskRecord& task = job->Task(aRun.m_task);
  const bool adoptable = !job->IsOver() && task.m_state == TaskState::Waiting &&
                         aRun.m_run >= task.m_run;
  if (!adoptable) {
    placement.m_surplus = true;
    ++task.m_surplusRuns;
    Stop(aNow, aWorker, aRun.m_task, StopReason::Unknown);
    return;
  }
  task.m_state = TaskState::Placed;
  task.m_worker = aWorker.m_info.m_id;
  task.m_run = aRun.m_run;
  task.m_mayRunUnreported = false;
  if (!aRun.m_checkpoint.empty() && spec.m_checkpointing) {
    task.m_checkpoint = aRun.m_checkpoint;
  }
  ++job->Step(aRun.m_task.m_step).m_placed;
}

std::vector<std::pair<TaskRef, WorkerId>>
PoolScheduler::UnknownRunsOf(const JobId& aJob) const
{
  std::vector<std::pair<TaskRef, WorkerId>> result;
  const std::pair first(TaskRef{ aJob, 0, 0 }, WorkerId());
  for (auto it = m_unknownRuns.lower_bound(first);
       it != m_unknownRuns.end() && it->first.m_job == aJob;
       ++it) {
    result.push_back(*it);
  }
  return result;
}

void
PoolScheduler::IdentifyRuns(Time aNow, const JobId& aJob)
{
  for (const auto& [task, id] : UnknownRunsOf(aJob)) {
    WorkerRecord& worker = m_workers.at(id);
    const Placement& placement = worker.m_placements.at(task);
    Identify(aNow, worker, { task, placement.m_run, {}, placement.m_percent });
  }
}

void
PoolScheduler::OnJobNotFound(Time aNow, const JobId& aJob)
{
  if (Find(aJob) != nullptr) {
    return; // it was accepted after the read
  }
  DiscardHeldEnds(aJob);
  for (const auto& [task, id] : UnknownRunsOf(aJob)) {
    Stop(aNow, m_workers.at(id), task, StopReason::Unknown);
  }
}

void
PoolScheduler::DropMissingRuns(Time aNow,
                               WorkerRecord& aWorker,
                               const Inventory& aInventory)
{
  // A missing run may have ended with an end that is not listed yet. Taking it
  // for lost would start a task again that is done.
  if (aInventory.m_endsTruncated) {
    return;
  }
  std::set<TaskRef> listed;
  for (const ReportedRun& run : aInventory.m_running) {
    listed.insert(run.m_task);
  }
  const Time shownAt = std::min(aInventory.m_requestedAt, aNow);
  std::vector<std::pair<TaskRef, GiveUpReason>> lost;
  for (auto& [task, placement] : aWorker.m_placements) {
    if (!placement.m_confirmed || listed.contains(task) ||
        placement.m_earlierCopiesUntil > shownAt) {
      continue;
    }
    ++placement.m_missingInventories;
    const bool endedWithRestart =
      placement.m_sentBeforeRestart && placement.m_confirmedAt &&
      *placement.m_confirmedAt < aInventory.m_requestedAt;
    const bool refusedSince =
      placement.m_stopConfirmedAt &&
      *placement.m_stopConfirmedAt < aInventory.m_requestedAt;
    if (endedWithRestart) {
      lost.emplace_back(task, GiveUpReason::Restarted);
    } else if (refusedSince) {
      lost.emplace_back(task, GiveUpReason::StopConfirmed);
    } else if (placement.m_missingInventories >= kMissingInventoriesForLost) {
      lost.emplace_back(task, GiveUpReason::NotListed);
    }
  }
  for (const auto& [task, reason] : lost) {
    GiveUp(aNow, aWorker, task, reason);
  }
}

} // namespace lacewing::pool
