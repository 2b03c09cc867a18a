#include "sched/RoomPlan.h"

#include <algorithm>

namespace lacewing::sched {

namespace {

bool
TeamAllowed(const RoomRules& aRules, std::uint32_t aTeam)
{
  return aRules.m_teams.empty() || aRules.m_teams[aTeam];
}

std::vector<TaskRef>
Throttleable(const SliceState& aState,
             std::uint32_t aWorker,
             const RoomRules& aRules)
{
  std::vector<TaskRef> tasks;
  for (const TaskRef ref : aState.WorkerAt(aWorker).m_tasks) {
    const Task& task = aState.TaskAt(ref);
    const Job& job = aState.JobAt(ref.m_job);
    if (job.m_spec.m_patient && task.m_state == TaskState::Running &&
        !task.m_stopping && !task.m_throttled &&
        TeamAllowed(aRules, job.m_team)) {
      tasks.push_back(ref);
    }
  }
  // The largest gain first throttles the fewest tasks.
  std::sort(tasks.begin(), tasks.end(), [&](TaskRef aLeft, TaskRef aRight) {
    return aState.TaskAt(aLeft).m_millicores >
           aState.TaskAt(aRight).m_millicores;
  });
  return tasks;
}

std::optional<RoomPlan>
PlanThrottling(const SliceState& aState,
               std::uint32_t aWorker,
               const Resources& aMissing,
               const RoomRules& aRules)
{
  if (!aRules.m_mayThrottle || aMissing.m_memoryMib > 0 ||
      aMissing.m_accelerators > 0) {
    return std::nullopt;
  }
  RoomPlan plan;
  plan.m_worker = aWorker;
  std::int64_t missing = aMissing.m_millicores;
  for (const TaskRef ref : Throttleable(aState, aWorker, aRules)) {
    const std::int64_t held = aState.TaskAt(ref).m_millicores;
    const std::int64_t declared =
      aState.JobAt(ref.m_job).m_spec.m_perTask.m_millicores;
    missing -= held - static_cast<std::int64_t>(static_cast<double>(declared) *
                                                aRules.m_throttledPart);
    plan.m_throttle.push_back(ref);
    if (missing <= 0) {
      return plan;
    }
  }
  return std::nullopt;
}

struct Victim
{
  TaskRef m_ref;
  Resources m_held;
  double m_loss = 0;
};

std::vector<Victim>
VictimsByLoss(const SliceState& aState,
              Time aNow,
              std::uint32_t aWorker,
              const RoomRules& aRules)
{
  std::vector<Victim> victims;
  for (const TaskRef ref : aState.WorkerAt(aWorker).m_tasks) {
    const Task& task = aState.TaskAt(ref);
    if (task.m_patientPlace != kNone && !task.m_stopping &&
        TeamAllowed(aRules, aState.JobAt(ref.m_job).m_team)) {
      victims.push_back({ ref, aState.HeldBy(ref), LossOf(aState, aNow, ref) });
    }
  }
  std::sort(victims.begin(),
            victims.end(),
            [](const Victim& aLeft, const Victim& aRight) {
              return aLeft.m_loss < aRight.m_loss;
            });
  return victims;
}

/// Leaves out victims that turned out not to be needed, dearest first.
void
Prune(std::vector<Victim>& aVictims, Resources aFree, const Resources& aNeed)
{
  for (std::size_t i = aVictims.size(); i-- > 0;) {
    const Resources without = aFree - aVictims[i].m_held;
    if (aNeed.FitsIn(without)) {
      aFree = without;
      aVictims.erase(aVictims.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }
}

std::optional<RoomPlan>
PlanStops(const SliceState& aState,
          Time aNow,
          std::uint32_t aWorker,
          const Request& aRequest,
          const RoomRules& aRules,
          Resources aFree)
{
  std::vector<Victim> chosen;
  for (const Victim& victim : VictimsByLoss(aState, aNow, aWorker, aRules)) {
    chosen.push_back(victim);
    aFree += victim.m_held;
    if (!aRequest.m_need.FitsIn(aFree)) {
      continue;
    }
    Prune(chosen, aFree, aRequest.m_need);
    RoomPlan plan;
    plan.m_worker = aWorker;
    for (const Victim& needed : chosen) {
      plan.m_stop.push_back(needed.m_ref);
      plan.m_loss += needed.m_loss;
    }
    return plan;
  }
  return std::nullopt;
}

} // namespace

bool
CouldTake(const SliceState& aState,
          std::uint32_t aWorker,
          const Request& aRequest)
{
  const Worker& worker = aState.WorkerAt(aWorker);
  if (!worker.m_present || worker.m_suspect || worker.m_heldForGang ||
      worker.m_cordoned || !aRequest.m_need.FitsIn(worker.m_spec.m_capacity)) {
    return false;
  }
  const FreeSlot& slot = aState.Table().Slots()[aWorker];
  if (aRequest.m_need.m_accelerators > 0 &&
      slot.m_acceleratorKind != aRequest.m_acceleratorKind) {
    return false;
  }
  return !aRequest.m_restricted || std::binary_search(aRequest.m_racks.begin(),
                                                      aRequest.m_racks.end(),
                                                      slot.m_rack);
}

double
LossOf(const SliceState& aState, Time aNow, TaskRef aRef)
{
  const JobSpec& spec = aState.JobAt(aRef.m_job).m_spec;
  if (spec.m_checkpointable) {
    return 0;
  }
  const std::chrono::duration<double> ran = aNow - aState.TaskAt(aRef).m_since;
  constexpr double kMillicoresPerCore = 1000;
  return ran.count() * static_cast<double>(spec.m_perTask.m_millicores) /
         kMillicoresPerCore;
}

Resources
FreeAfterStops(const SliceState& aState, std::uint32_t aWorker)
{
  Resources free = aState.Free(aWorker);
  for (const TaskRef ref : aState.WorkerAt(aWorker).m_tasks) {
    if (aState.TaskAt(ref).m_stopping) {
      free += aState.HeldBy(ref);
    }
  }
  return free;
}

std::optional<RoomPlan>
PlanRoom(const SliceState& aState,
         Time aNow,
         std::uint32_t aWorker,
         const Request& aRequest,
         const RoomRules& aRules)
{
  if (!CouldTake(aState, aWorker, aRequest)) {
    return std::nullopt;
  }
  const Resources free = FreeAfterStops(aState, aWorker);
  if (aRequest.m_need.FitsIn(free)) {
    RoomPlan plan;
    plan.m_worker = aWorker;
    return plan;
  }
  if (auto plan = PlanThrottling(
        aState, aWorker, aRequest.m_need - aState.Free(aWorker), aRules)) {
    return plan;
  }
  return PlanStops(aState, aNow, aWorker, aRequest, aRules, free);
}

} // namespace lacewing::sched
