/// Room that `SliceScheduler` makes for urgent work, for teams below their
/// share and for tasks that have waited long.
#pragma once

#include "sched/SliceScheduler.h"

#include <algorithm>

namespace lacewing::sched {

// Shortens the heads of the member functions below; undefined at the end.
#define LACEWING_SCHED_TEMPLATE                                                \
  template<TeamOrder Order, PlacementPolicy Placement, typename Checks>
#define LACEWING_SCHED SliceScheduler<Order, Placement, Checks>

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
    const Worker& worker = m_state.WorkerAt(task.m_worker);
    if (worker.m_suspect || worker.m_cordoned || aNow > task.m_since ||
        IsAboveAllotment(ref)) {
      Unplace(ref);
    } else if (fits && m_budget > 0) {
      std::erase(m_pledges, ref);
      m_state.Redeem(ref, TaskState::Marked);
      Launch(aNow, ref);
    }
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

#undef LACEWING_SCHED
#undef LACEWING_SCHED_TEMPLATE

} // namespace lacewing::sched
