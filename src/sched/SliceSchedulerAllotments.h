/// Weights and allotments of teams in `SliceScheduler`, and the tasks that are
/// stopped above a lowered allotment.
#pragma once

#include "sched/SliceScheduler.h"

#include <algorithm>

namespace lacewing::sched {

// Shortens the heads of the member functions below; undefined at the end.
#define LACEWING_SCHED_TEMPLATE                                                \
  template<TeamOrder Order, PlacementPolicy Placement, typename Checks>
#define LACEWING_SCHED SliceScheduler<Order, Placement, Checks>

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::SetTeam(Time aNow,
                        const TeamId& aTeam,
                        double aWeight,
                        std::int64_t aLimitMillicores)
{
  (void)aNow;
  Team& team = m_state.TeamAt(m_state.FindOrAddTeam(aTeam));
  // A weight of zero would divide by zero; such a team comes last.
  constexpr double kSmallestWeight = 1e-6;
  team.m_weight = std::max(aWeight, kSmallestWeight);
  team.m_limit = aLimitMillicores;
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::SetAllotment(const TeamId& aTeam, std::int64_t aMillicores)
{
  m_state.TeamAt(m_state.FindOrAddTeam(aTeam)).m_allotment = aMillicores;
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::SetAllotmentWaits(Duration aPatient, Duration aAny)
{
  m_options.m_allotmentPatientWait = aPatient;
  m_options.m_allotmentWait = aAny;
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

#undef LACEWING_SCHED
#undef LACEWING_SCHED_TEMPLATE

} // namespace lacewing::sched
