// Planning: in which order steps are considered, and on which workers their
// tasks start.
#include "pool/PoolScheduler.h"

#include <algorithm>
#include <tuple>

namespace lacewing::pool {

namespace {

/// Part of the steps of a plan that others than the head of the order have in
/// turn.
constexpr std::size_t kTurnShare = 4;
/// Size of the range of run numbers that one leadership has for a task.
constexpr RunNumber kRunsPerTerm = 1000;
/// Without progress for this long a running task counts as stuck.
constexpr Duration kMinStuckTimeout = milliseconds(3500);
/// Workers report progress in whole percents. A task that takes this multiple
/// of its estimate still makes one percent within the timeout.
constexpr int kSlowestRuntimeFactor = 10;
constexpr int kPercentsOfTask = 100;
/// How long a new leader waits for the workers' first inventories before it
/// places tasks; long enough for all workers that respond at all.
constexpr Duration kFirstInventoryWait = milliseconds(400);
constexpr Duration kStuckCheckPeriod = milliseconds(500);

/// The larger amount of each resource.
Resources
Larger(const Resources& aOne, const Resources& aOther)
{
  return { std::max(aOne.m_millicores, aOther.m_millicores),
           std::max(aOne.m_memoryMib, aOther.m_memoryMib),
           std::max(aOne.m_accelerators, aOther.m_accelerators) };
}

bool
WithinLimit(std::int64_t aUse, std::int64_t aLimit)
{
  return aLimit == 0 || aUse <= aLimit;
}

} // namespace

Actions
PoolScheduler::Plan(Time aNow)
{
  Actions actions;
  ExpireLeases(aNow);
  CheckBarrier(aNow);
  EstimateUnreportedUse();
  StopStuck(aNow);
  ListUsable(aNow);
  actions.m_lookups.assign(m_lookups.begin(), m_lookups.end());
  m_lookups.clear();
  actions.m_failingSteps = std::exchange(m_failingSteps, {});
  actions.m_givenUp = std::exchange(m_givenUp, {});
  actions.m_suspects = std::exchange(m_suspects, {});
  if (AwaitsFirstInventories(aNow) || !MayStart(aNow)) {
    actions.m_stops = std::exchange(m_stops, {});
    return actions;
  }
  std::vector<Candidate> placed;
  Reservation reservation;
  m_placedSteps = 0;
  for (const Candidate& step : ConsideredSteps(aNow)) {
    if (HasOperationsFor(step, actions)) {
      ++m_placedSteps;
      PlanStep(aNow, step, reservation, actions);
      placed.push_back(step);
    }
  }
  actions.m_considered = m_placedSteps;
  RequestAdvice(aNow, placed, actions);
  actions.m_stops = std::exchange(m_stops, {});
  return actions;
}

std::vector<PoolScheduler::Candidate>
PoolScheduler::ConsideredSteps(Time aNow)
{
  std::vector<Candidate> steps = ReadySteps(aNow);
  const std::size_t inTurn = m_planSteps / kTurnShare;
  const std::size_t atHead = m_planSteps - inTurn;
  if (steps.size() <= atHead) {
    std::ranges::sort(steps, GoesBefore);
    for (Candidate& step : steps) {
      step.m_atHead = true;
    }
    return steps;
  }
  std::vector<Candidate*> order;
  order.reserve(steps.size());
  for (Candidate& step : steps) {
    order.push_back(&step);
  }
  const auto before = [](const Candidate* aOne, const Candidate* aOther) {
    return GoesBefore(*aOne, *aOther);
  };
  const auto head = order.begin() + static_cast<std::ptrdiff_t>(atHead);
  std::ranges::nth_element(order, head, before);
  std::ranges::sort(order.begin(), head, before);
  order.erase(head, order.end());
  for (Candidate* step : order) {
    step->m_considered = true;
    step->m_atHead = true;
  }
  AddNextInTurn(steps, inTurn, order);
  AddNext(steps, order);
  std::ranges::sort(
    order.begin() + static_cast<std::ptrdiff_t>(atHead), order.end(), before);
  std::vector<Candidate> result;
  result.reserve(order.size());
  for (const Candidate* step : order) {
    result.push_back(*step);
  }
  return result;
}

void
PoolScheduler::AddNextInTurn(std::vector<Candidate>& aReady,
                             std::size_t aMost,
                             std::vector<Candidate*>& aOrder)
{
  // The turn goes by the jobs' ids, so that no step misses it when others come
  // and go.
  const auto id = [](const Candidate& aStep) {
    return std::tie(aStep.m_job->Spec().m_id, aStep.m_step);
  };
  const auto first = std::ranges::upper_bound(
    aReady, std::tie(m_turn.first, m_turn.second), {}, id);
  const std::size_t begin = first - aReady.begin();
  std::size_t added = 0;
  for (std::size_t index = 0; index < aReady.size() && added < aMost; ++index) {
    Candidate& step = aReady[(begin + index) % aReady.size()];
    if (step.m_considered) {
      continue;
    }
    step.m_considered = true;
    aOrder.push_back(&step);
    m_turn = { step.m_job->Spec().m_id, step.m_step };
    ++added;
  }
}

void
PoolScheduler::AddNext(std::vector<Candidate>& aReady,
                       std::vector<Candidate*>& aOrder)
{
  // Their tickets may have expired by their next turn.
  for (Candidate& step : aReady) {
    if (!step.m_considered && step.m_wasNext) {
      step.m_considered = true;
      aOrder.push_back(&step);
    }
  }
}

bool
PoolScheduler::HasOperationsFor(const Candidate& aCandidate,
                                const Actions& aActions) const
{
  const std::size_t most = aCandidate.m_atHead
                             ? m_planOperations - m_planOperations / kTurnShare
                             : m_planOperations;
  return m_placedSteps + aActions.m_starts.size() < most;
}

void
PoolScheduler::PlanStep(Time aNow,
                        const Candidate& aCandidate,
                        Reservation& aReservation,
                        Actions& aActions)
{
  aCandidate.Record().m_consideredAt = aNow;
  aCandidate.Record().m_inNextPlan = false;
  if (!HasAdvice(aNow, aCandidate)) {
    return;
  }
  if (!aCandidate.Spec().m_gang) {
    PlaceSingles(aNow, aCandidate, aReservation, aActions);
    return;
  }
  const bool placed = PlaceGang(aNow, aCandidate, aReservation, aActions);
  aCandidate.Record().m_lacksCapacity = !placed;
  if (!placed) {
    ReserveFor(aNow, aCandidate, aReservation, aActions);
  }
}

bool
PoolScheduler::AwaitsFirstInventories(Time aNow) const
{
  // The previous leader may have started a job that was accepted during the
  // change; the workers' first inventories show it.
  return !m_unreportedWorkers.empty() &&
         aNow < m_loadedAt + kFirstInventoryWait;
}

void
PoolScheduler::CheckBarrier(Time aNow)
{
  if (m_barrierPassed) {
    return;
  }
  if (aNow >= m_barrier && !AwaitsFurtherEnds(aNow)) {
    m_unreportedWorkers.clear();
    m_unreportedRuns.clear();
  }
  if (!m_unreportedWorkers.empty()) {
    return;
  }
  if (!std::exchange(m_allReported, true) ||
      std::exchange(m_unreportedChanged, false) || m_unreportedRuns.empty()) {
    ClearUnreportedMarks();
  }
  m_barrierPassed = m_unreportedRuns.empty();
}

void
PoolScheduler::ClearUnreportedMarks()
{
  for (const auto& [id, open] : m_open) {
    TrackedJob& job = *open;
    for (std::uint32_t step = 0; step < job.Steps(); ++step) {
      auto& tasks = job.Step(step).m_tasks;
      for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        bool& mark = tasks[index].m_mayRunUnreported;
        mark = mark && IsUnreportedRun({ id, step, index });
      }
    }
  }
}

bool
PoolScheduler::AwaitsFurtherEnds(Time aNow) const
{
  const auto awaits = [&](const WorkerId& aWorker) {
    const auto it = m_workers.find(aWorker);
    return it != m_workers.end() && it->second.m_endsTruncated &&
           aNow < it->second.LeaseEnd() + kLeaseMargin;
  };
  return std::ranges::any_of(m_unreportedWorkers, awaits) ||
         std::ranges::any_of(m_unreportedRuns, [&](const auto& aItem) {
           return awaits(aItem.first);
         });
}

void
PoolScheduler::EstimateUnreportedUse()
{
  m_unreportedUse.clear();
  if (m_barrierPassed) {
    return;
  }
  Resources capacity;
  const auto addCapacity = [&](const WorkerId& aWorker) {
    if (const auto it = m_workers.find(aWorker); it != m_workers.end()) {
      capacity += it->second.m_info.m_capacity;
    }
  };
  std::ranges::for_each(m_unreportedWorkers, addCapacity);
  for (const auto& [id, runs] : m_unreportedRuns) {
    addCapacity(id);
  }
  for (const auto& [id, open] : m_open) {
    const TrackedJob& job = *open;
    for (std::uint32_t step = 0; step < job.Steps(); ++step) {
      const auto count = std::ranges::count_if(
        job.Step(step).m_tasks, [](const TaskRecord& aTask) {
          return aTask.m_mayRunUnreported &&
                 aTask.m_state == TaskState::Waiting;
        });
      m_unreportedUse[job.Spec().m_team] +=
        ForTasks(job.Spec().m_steps[step].m_each, count);
    }
  }
  // Use on these workers is at most their capacity.
  for (auto& [team, use] : m_unreportedUse) {
    use.m_millicores = std::min(use.m_millicores, capacity.m_millicores);
    use.m_memoryMib = std::min(use.m_memoryMib, capacity.m_memoryMib);
    use.m_accelerators = std::min(use.m_accelerators, capacity.m_accelerators);
  }
}

std::vector<PoolScheduler::Candidate>
PoolScheduler::ReadySteps(Time aNow)
{
  std::vector<Candidate> result;
  for (const auto& [id, open] : m_open) {
    TrackedJob& job = *open;
    for (std::uint32_t step = 0; step < job.Steps(); ++step) {
      if (job.Step(step).Waiting() == 0 || !job.IsReady(step)) {
        continue;
      }
      Candidate candidate;
      candidate.m_job = &job;
      candidate.m_step = step;
      candidate.m_queue = job.m_rule;
      candidate.m_interactive = job.m_rule->m_priority == 0;
      candidate.m_latestStart = job.LatestStart(step);
      candidate.m_wasNext = job.Step(step).m_inNextPlan;
      StopBrokenGang(aNow, candidate);
      if (AwaitsAdvice(aNow, candidate)) {
        job.Step(step).m_consideredAt = aNow;
        continue;
      }
      if (job.m_beyondShare || aNow > job.LatestUsefulEnd()) {
        candidate.m_tier = Tier::BestEffort;
      } else if (aNow > candidate.m_latestStart) {
        candidate.m_tier = Tier::Late;
      }
      result.push_back(candidate);
    }
  }
  return result;
}

void
PoolScheduler::StopBrokenGang(Time aNow, const Candidate& aCandidate)
{
  // Some members run and others wait: one was lost with its worker, and the
  // others cannot work without it.
  const bool mayBeWhole = std::ranges::any_of(aCandidate.Record().m_tasks,
                                              &TaskRecord::m_mayRunUnreported);
  if (aCandidate.Spec().m_gang && !mayBeWhole &&
      aCandidate.Record().m_placed > 0) {
    StopStep(
      aNow, *aCandidate.m_job, aCandidate.m_step, StopReason::GangBroken);
  }
}

bool
PoolScheduler::GoesBefore(const Candidate& aOne, const Candidate& aOther)
{
  const auto order = [](const Candidate& aStep) {
    // The job's id makes the order the same in every process.
    return std::tuple<Tier, bool, Time, const JobId&, std::uint32_t>(
      aStep.m_tier,
      !aStep.m_interactive,
      aStep.m_latestStart,
      aStep.m_job->Spec().m_id,
      aStep.m_step);
  };
  return order(aOne) < order(aOther);
}

void
PoolScheduler::ListUsable(Time aNow)
{
  m_usable.clear();
  m_usableBySlot.assign(m_bySlot.size(), nullptr);
  m_mostFree = {};
  m_largest.clear();
  auto largest = m_largest.end();
  const std::map<ServiceId, SuspectCount> suspects = CountSuspects(aNow);
  for (WorkerRecord* worker : m_bySlot) {
    if (worker == nullptr || !worker->IsAvailable(aNow, ResponseAllowance())) {
      continue;
    }
    const auto ofService = suspects.find(worker->m_info.m_service);
    worker->m_onTrial =
      ofService != suspects.end() && worker->m_failures.IsSuspect() &&
      IsCredible(ofService->second.m_suspects, ofService->second.m_workers);
    if (worker->m_onTrial && aNow < worker->m_failures.AvoidUntil()) {
      continue;
    }
    m_usable.push_back(worker);
    m_usableBySlot[worker->m_slot] = worker;
    m_mostFree = Larger(m_mostFree, worker->Free());
    if (largest == m_largest.end() ||
        largest->first != worker->m_info.m_service) {
      largest = m_largest.try_emplace(worker->m_info.m_service).first;
    }
    largest->second = Larger(largest->second, worker->m_info.m_capacity);
  }
}

std::map<ServiceId, PoolScheduler::SuspectCount>
PoolScheduler::CountSuspects(Time aNow) const
{
  std::map<ServiceId, SuspectCount> result;
  for (const WorkerRecord* worker : m_bySlot) {
    if (worker != nullptr && worker->m_failures.IsSuspect() &&
        worker->IsAvailable(aNow, ResponseAllowance())) {
      ++result[worker->m_info.m_service].m_suspects;
    }
  }
  for (const WorkerRecord* worker : m_bySlot) {
    if (result.empty()) {
      break;
    }
    if (worker == nullptr || !worker->IsAvailable(aNow, ResponseAllowance())) {
      continue;
    }
    const auto ofService = result.find(worker->m_info.m_service);
    if (ofService != result.end()) {
      ++ofService->second.m_workers;
    }
  }
  return result;
}

bool
PoolScheduler::IsSuitable(const Candidate& aCandidate,
                          const WorkerRecord& aWorker)
{
  const StepSpec& spec = aCandidate.Spec();
  return spec.m_each.FitsIn(aWorker.m_info.m_capacity) &&
         aWorker.m_info.m_service == aCandidate.m_queue->m_service &&
         (spec.m_requiredLabel.empty() ||
          aWorker.m_info.HasLabel(spec.m_requiredLabel));
}

std::vector<WorkerRecord*>
PoolScheduler::Eligible(Time aNow, const Candidate& aCandidate) const
{
  const StepSpec& spec = aCandidate.Spec();
  std::vector<WorkerRecord*> result;
  if (!aCandidate.m_queue->m_advice) {
    std::ranges::copy_if(
      m_usable, std::back_inserter(result), [&](const WorkerRecord* aWorker) {
        return spec.m_each.FitsIn(aWorker->Free()) &&
               IsSuitable(aCandidate, *aWorker);
      });
    return result;
  }
  // Only suitable workers were asked about.
  for (const Ticket& ticket : aCandidate.Record().m_tickets) {
    WorkerRecord* worker = m_usableBySlot[ticket.m_worker];
    if (worker != nullptr && ticket.m_until > aNow + kTicketMargin &&
        spec.m_each.FitsIn(worker->Free())) {
      result.push_back(worker);
    }
  }
  return result;
}

std::uint32_t
PoolScheduler::TasksThatFitOn(Time aNow,
                              const WorkerRecord& aWorker,
                              const Candidate& aCandidate)
{
  const StepSpec& spec = aCandidate.Spec();
  const std::uint32_t room = std::min(TasksThatFit(spec.m_each, aWorker.Free()),
                                      TasksLeftOn(aNow, aWorker, aCandidate));
  if (!aWorker.m_onTrial) {
    return room;
  }
  // One task, or one gang, shows whether it still fails.
  const std::uint32_t trial = spec.m_gang ? room : std::min(room, 1U);
  return aWorker.IsTried() ? 0 : trial;
}

std::uint32_t
PoolScheduler::TasksLeftOn(Time aNow,
                           const WorkerRecord& aWorker,
                           const Candidate& aCandidate)
{
  const std::uint32_t perWorker = aCandidate.Spec().m_maxPerWorker;
  const std::uint32_t most =
    std::min(perWorker == 0 ? StepFailures::kNoLimit : perWorker,
             aCandidate.Record().m_failures.MostTasksOn(aNow, aWorker.m_slot));
  if (most == StepFailures::kNoLimit) {
    return most;
  }
  std::uint32_t present = 0;
  const TaskRef first{ aCandidate.m_job->Spec().m_id, aCandidate.m_step, 0 };
  for (auto it = aWorker.m_placements.lower_bound(first);
       it != aWorker.m_placements.end() && it->first.m_job == first.m_job &&
       it->first.m_step == first.m_step;
       ++it) {
    ++present;
  }
  return most - std::min(most, present);
}

SpeedClass
PoolScheduler::SpeedFor(const Candidate& aCandidate,
                        const WorkerRecord& aWorker) const
{
  const SpeedClass speed = SpeedOf(aWorker.m_runtimeRatio, m_runtimeRatio);
  if (aCandidate.m_interactive || speed == SpeedClass::VerySlow) {
    return speed;
  }
  return SpeedClass::Usual;
}

bool
PoolScheduler::HasQuotaFor(const Candidate& aCandidate) const
{
  const StepSpec& spec = aCandidate.Spec();
  const std::int64_t least =
    spec.m_gang ? static_cast<std::int64_t>(spec.m_tasks) : 1;
  return HasQuota(aCandidate.m_job->Spec().m_team,
                  ForTasks(spec.m_each, least));
}

const TeamRule*
PoolScheduler::FindTeam(const TeamId& aTeam) const
{
  const auto it = m_teams.find(aTeam);
  return it == m_teams.end() ? nullptr : it->second;
}

bool
PoolScheduler::HasQuota(const TeamId& aTeam, const Resources& aExtra) const
{
  const TeamRule* team = FindTeam(aTeam);
  if (team == nullptr) {
    return true;
  }
  const auto used = m_teamUse.find(aTeam);
  const auto unseen = m_unreportedUse.find(aTeam);
  const Resources sum =
    (used == m_teamUse.end() ? Resources{} : used->second) +
    (unseen == m_unreportedUse.end() ? Resources{} : unseen->second) + aExtra;
  const Resources& limit = team->m_limit;
  return WithinLimit(sum.m_millicores, limit.m_millicores) &&
         WithinLimit(sum.m_memoryMib, limit.m_memoryMib) &&
         WithinLimit(sum.m_accelerators, limit.m_accelerators);
}

void
PoolScheduler::PlaceSingles(Time aNow,
                            const Candidate& aCandidate,
                            Reservation& aReservation,
                            Actions& aActions)
{
  const StepSpec& spec = aCandidate.Spec();
  if (!HasQuotaFor(aCandidate)) {
    return;
  }
  std::vector<PlacementOption> options =
    PlacementOptions(aNow, aCandidate, aReservation, KeptRoom::Left);
  if (options.empty() && !aReservation.m_room.IsEmpty()) {
    PassReservation(aNow, aCandidate, aReservation, aActions);
    return;
  }
  StepRecord& step = aCandidate.Record();
  step.m_blockedSince.reset();
  step.m_lacksCapacity = false;
  for (const std::uint32_t index : step.TasksToPlace()) {
    const TaskRecord& task = step.m_tasks[index];
    if (!HasQuota(aCandidate.m_job->Spec().m_team, spec.m_each)) {
      return;
    }
    if (!HasOperationsFor(aCandidate, aActions)) {
      step.m_inNextPlan = true;
      return;
    }
    const auto best = BestOption(task, options);
    if (best == options.end()) {
      step.m_lacksCapacity = true;
      return;
    }
    WorkerRecord& worker = *best->m_worker;
    Start(aNow, aCandidate, index, NextRun(task), worker, aActions);
    NoteKeptRoom(aNow, aCandidate, aReservation, worker);
    std::get<std::int64_t>(best->m_cost) = worker.Free().m_millicores;
    if (UnkeptRoom(aNow,
                   aCandidate,
                   aReservation,
                   worker,
                   TasksThatFitOn(aNow, worker, aCandidate)) == 0) {
      *best = options.back();
      options.pop_back();
    }
  }
}

std::vector<PoolScheduler::PlacementOption>::iterator
PoolScheduler::BestOption(const TaskRecord& aTask,
                          std::vector<PlacementOption>& aOptions)
{
  return std::ranges::min_element(
    aOptions, {}, [&](const PlacementOption& aOption) {
      const bool failed = !aTask.m_lastFailure.empty() &&
                          aOption.m_worker->m_info.m_id == aTask.m_lastFailure;
      return std::pair(failed, aOption.m_cost);
    });
}

std::vector<PoolScheduler::PlacementOption>
PoolScheduler::PlacementOptions(Time aNow,
                                const Candidate& aCandidate,
                                const Reservation& aReservation,
                                KeptRoom aKept) const
{
  const StepSpec& spec = aCandidate.Spec();
  std::vector<PlacementOption> options;
  for (WorkerRecord* worker : Eligible(aNow, aCandidate)) {
    std::uint32_t room = TasksThatFitOn(aNow, *worker, aCandidate);
    if (aKept == KeptRoom::Left) {
      room = UnkeptRoom(aNow, aCandidate, aReservation, *worker, room);
    }
    if (room == 0) {
      continue;
    }
    const bool wrongRack = !spec.m_preferredRack.empty() &&
                           worker->m_info.m_rack != spec.m_preferredRack;
    options.push_back({ worker,
                        { worker->m_onTrial,
                          wrongRack,
                          aReservation.m_room.IsKept(worker->m_slot),
                          SpeedFor(aCandidate, *worker),
                          worker->Free().m_millicores } });
  }
  return options;
}

RunNumber
PoolScheduler::NextRun(const TaskRecord& aTask) const
{
  return std::max(aTask.m_run + 1, (m_term - 1) * kRunsPerTerm + 1);
}

void
PoolScheduler::Start(Time aNow,
                     const Candidate& aCandidate,
                     std::uint32_t aIndex,
                     RunNumber aRun,
                     WorkerRecord& aWorker,
                     Actions& aActions)
{
  const Job& job = aCandidate.m_job->Spec();
  const TaskRef ref{ job.m_id, aCandidate.m_step, aIndex };
  StepRecord& step = aCandidate.Record();
  TaskRecord& task = step.m_tasks[aIndex];
  task.m_state = TaskState::Placed;
  task.m_worker = aWorker.m_info.m_id;
  task.m_run = aRun;
  ++step.m_placed;
  Placement placement;
  placement.m_run = aRun;
  placement.m_resources = aCandidate.Spec().m_each;
  placement.m_team = job.m_team;
  placement.m_since = aNow;
  placement.m_progressAt = aNow;
  placement.m_expectedEnd =
    aNow + Scale(aCandidate.m_job->Expected(aCandidate.m_step).m_typical,
                 SlownessOf(aWorker));
  placement.m_resumed = !task.m_checkpoint.empty();
  AddPlacement(aWorker, ref, placement);
  StartTask start{ aWorker.m_info.m_id, ref, aRun, job.m_payload,
                   task.m_checkpoint,   {} };
  if (const Ticket* ticket = step.FindTicket(aWorker.m_slot)) {
    start.m_ticket = ticket->m_text;
  }
  aActions.m_starts.push_back(std::move(start));
}

Duration
PoolScheduler::StuckTimeout(const TaskRef& aTask) const
{
  const TrackedJob* job = FindJob(aTask.m_job);
  if (job == nullptr || !job->HasTask(aTask)) {
    return kMinStuckTimeout;
  }
  const Duration onePercent =
    job->Spec().m_steps[aTask.m_step].m_estimate / kPercentsOfTask;
  return std::max(kMinStuckTimeout, onePercent * kSlowestRuntimeFactor);
}

void
PoolScheduler::StopStuck(Time aNow)
{
  if (aNow < m_nextStuckCheck) {
    return;
  }
  m_nextStuckCheck = aNow + kStuckCheckPeriod;
  for (auto& [id, worker] : m_workers) {
    if (aNow >=
        worker.m_lastResponse + kUnresponsiveAfter + ResponseAllowance()) {
      continue;
    }
    std::vector<TaskRef> stuck;
    for (const auto& [task, placement] : worker.m_placements) {
      if (placement.m_state == PlacementState::Running &&
          aNow > placement.m_progressAt + kMinStuckTimeout &&
          aNow > placement.m_progressAt + StuckTimeout(task)) {
        stuck.push_back(task);
      }
    }
    for (const TaskRef& task : stuck) {
      Stop(aNow, worker, task, StopReason::Stuck);
      if (TrackedJob* job = Find(task.m_job)) {
        AttributeFailure(aNow, *job, task, worker, Suspicion::Stuck);
      }
    }
  }
}

} // namespace lacewing::pool
