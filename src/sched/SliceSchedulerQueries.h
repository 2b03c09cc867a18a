/// What `SliceScheduler` answers about jobs, teams and workers.
#pragma once

#include "sched/SliceScheduler.h"

namespace lacewing::sched {

// Shortens the heads of the member functions below; undefined at the end.
#define LACEWING_SCHED_TEMPLATE                                                \
  template<TeamOrder Order, PlacementPolicy Placement, typename Checks>
#define LACEWING_SCHED SliceScheduler<Order, Placement, Checks>

LACEWING_SCHED_TEMPLATE
std::optional<Explanation>
LACEWING_SCHED::Explain(Time aNow, const JobId& aJob) const
{
  const std::uint32_t index = m_state.FindJob(aJob);
  if (index == kNone) {
    return std::nullopt;
  }
  return ExplainJob(m_state, aNow, m_state.JobAt(index), m_open);
}

LACEWING_SCHED_TEMPLATE
std::optional<JobSummary>
LACEWING_SCHED::JobStatus(const JobId& aJob) const
{
  const std::uint32_t index = m_state.FindJob(aJob);
  if (index == kNone) {
    return std::nullopt;
  }
  return Summarise(m_state.JobAt(index));
}

LACEWING_SCHED_TEMPLATE
TeamUsage
LACEWING_SCHED::Usage(const TeamId& aTeam) const
{
  const std::uint32_t index = m_state.FindTeam(aTeam);
  if (index != kNone) {
    return UsageOf(m_state, m_state.TeamAt(index));
  }
  TeamUsage none;
  none.m_team = aTeam;
  return none;
}

LACEWING_SCHED_TEMPLATE
std::vector<TeamUsage>
LACEWING_SCHED::Usages() const
{
  std::vector<TeamUsage> usages;
  for (std::uint32_t team = 0; team < m_state.TeamCount(); ++team) {
    usages.push_back(UsageOf(m_state, m_state.TeamAt(team)));
  }
  return usages;
}

LACEWING_SCHED_TEMPLATE
std::vector<JobId>
LACEWING_SCHED::TakeFinished()
{
  std::vector<JobId> finished;
  finished.swap(m_finished);
  return finished;
}

LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::IsSuspect(const VmId& aWorker) const
{
  const std::uint32_t index = m_state.FindWorker(aWorker);
  return index != kNone && m_state.WorkerAt(index).m_suspect;
}

#undef LACEWING_SCHED
#undef LACEWING_SCHED_TEMPLATE

} // namespace lacewing::sched
