#include "sched/JobReport.h"

#include <algorithm>

namespace lacewing::sched {

namespace {

/// What to add to a wait for room; empty if no worker leaves.
std::string
DescribeCordoned(const SliceState& aState)
{
  const std::size_t count = aState.CordonedCount();
  return count == 0 ? std::string()
                    : "; workers that are leaving and take no new tasks: " +
                        std::to_string(count);
}

std::string
DescribeWait(const SliceState& aState, Time aNow, const Job& aJob)
{
  const Team& team = aState.TeamAt(aJob.m_team);
  const Resources need = aState.NeedOf(aJob);
  const std::string size = std::to_string(need.m_millicores) +
                           " millicores and " +
                           std::to_string(need.m_memoryMib) + " MiB";
  switch (aJob.m_wait) {
    case WaitReason::None:
      return "nothing is waiting";
    case WaitReason::NotYetConsidered:
      return "earlier work of the team or teams further below their share "
             "come first";
    case WaitReason::NoRoom:
      return "no worker has " + size + " free" + DescribeCordoned(aState);
    case WaitReason::RoomBeingCleared:
      return "room for " + size + " is being cleared";
    case WaitReason::TeamAllotment:
      return "team " + team.m_id.Value() + " runs " +
             std::to_string(team.m_running) + " of its allotment of " +
             std::to_string(team.m_allotment) + " millicores";
    case WaitReason::GangRoom:
      return "no room for all " + std::to_string(aJob.m_pending.size()) +
             " tasks of the gang at once" + DescribeCordoned(aState);
    case WaitReason::GangReservation:
      return "workers are being kept free for the gang";
    case WaitReason::RetryWait:
      return "next attempt in " +
             std::to_string(ToMilliseconds(aJob.m_notBefore - aNow)) + " ms";
  }
  return "unknown";
}

} // namespace

JobState
StateOf(const Job& aJob)
{
  if (aJob.m_cancelled) {
    return JobState::Cancelled;
  }
  if (aJob.m_gaveUp && aJob.m_mayHaveRun == 0) {
    return JobState::Failed;
  }
  if (aJob.m_holding > 0) {
    return JobState::Running;
  }
  if (!IsOver(aJob)) {
    return JobState::Queued;
  }
  if (aJob.m_mayHaveRun > 0) {
    return JobState::MayHaveRun;
  }
  return aJob.m_failed > 0 ? JobState::Failed : JobState::Succeeded;
}

bool
IsOver(const Job& aJob)
{
  return aJob.m_pending.empty() && aJob.m_holding == 0 && !aJob.m_tearDown;
}

JobSummary
Summarise(const Job& aJob)
{
  JobSummary summary;
  summary.m_state = StateOf(aJob);
  summary.m_tasks = aJob.m_spec.m_tasks;
  summary.m_pending = static_cast<std::uint32_t>(aJob.m_pending.size());
  summary.m_placed = aJob.m_holding;
  summary.m_running = static_cast<std::uint32_t>(std::count_if(
    aJob.m_tasks.begin(), aJob.m_tasks.end(), [](const Task& aTask) {
      return aTask.m_state == TaskState::Running;
    }));
  summary.m_succeeded = aJob.m_succeeded;
  summary.m_failed = aJob.m_failed;
  summary.m_mayHaveRun = aJob.m_mayHaveRun;
  return summary;
}

Explanation
ExplainJob(const SliceState& aState, Time aNow, const Job& aJob, bool aOpen)
{
  Explanation explanation;
  explanation.m_state = StateOf(aJob);
  if (aJob.m_pending.empty()) {
    explanation.m_message = std::string(NameOf(explanation.m_state));
    return explanation;
  }
  explanation.m_wait = aJob.m_wait;
  if (!aOpen) {
    explanation.m_message = "the slice is being taken over";
    return explanation;
  }
  if (const auto never = CheckRunnable(aJob.m_spec,
                                       aState.PresentWorkers(),
                                       aState.TeamAt(aJob.m_team).m_limit)) {
    explanation.m_never = never->m_reason;
    explanation.m_message = never->m_message;
    return explanation;
  }
  explanation.m_message = DescribeWait(aState, aNow, aJob);
  return explanation;
}

TeamUsage
UsageOf(const SliceState& aState, const Team& aTeam)
{
  TeamUsage usage;
  usage.m_team = aTeam.m_id;
  usage.m_weight = aTeam.m_weight;
  usage.m_runningMillicores = aTeam.m_running;
  usage.m_waitingMillicores = aTeam.m_waiting;
  usage.m_allotmentMillicores = aTeam.m_allotment;
  usage.m_held = aTeam.m_used;
  usage.m_dominantShare = DominantShare(aTeam.m_used, aState.Capacity());
  return usage;
}

} // namespace lacewing::sched
