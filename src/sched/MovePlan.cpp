#include "sched/MovePlan.h"

#include <algorithm>
#include <tuple>

namespace lacewing::sched {

namespace {

bool
MayMove(Time aNow, const MovableJob& aJob)
{
  const Duration wait = aJob.m_movedFrom.empty() ? kMoveWait : kMoveAgainWait;
  return aJob.m_movedFrom.size() < kMaxMoves && aNow - aJob.m_since >= wait;
}

/// True if the slice could hold the tasks that need room at once when empty.
bool
CouldHold(const MoveTarget& aTarget, const MovableJob& aJob)
{
  std::uint32_t room = 0;
  for (Resources left : aTarget.m_workers) {
    while (room < aJob.m_tasks && aJob.m_perTask.FitsIn(left)) {
      left -= aJob.m_perTask;
      ++room;
    }
  }
  return room >= aJob.m_tasks;
}

bool
MayTake(const MoveTarget& aTarget,
        const RegionId& aRegion,
        const MovableJob& aJob)
{
  const bool rightRegion =
    aTarget.m_region == aRegion || aTarget.m_region == aJob.m_region;
  const std::int64_t need =
    aJob.m_perTask.m_millicores * static_cast<std::int64_t>(aJob.m_tasks);
  return rightRegion && aTarget.m_queueLength == 0 &&
         aTarget.m_freeMillicores >= std::max<std::int64_t>(need, 1) &&
         std::ranges::count(aJob.m_movedFrom, aTarget.m_slice) == 0 &&
         CouldHold(aTarget, aJob);
}

} // namespace

std::vector<JobMove>
PlanMoves(Time aNow,
          const RegionId& aRegion,
          std::vector<MovableJob> aJobs,
          std::vector<MoveTarget> aTargets,
          std::size_t aMax)
{
  std::erase_if(aJobs,
                [&](const MovableJob& aJob) { return !MayMove(aNow, aJob); });
  std::ranges::sort(aJobs, {}, [](const MovableJob& aJob) {
    return std::tuple(!aJob.m_urgent, aJob.m_since, aJob.m_job);
  });
  std::vector<JobMove> moves;
  for (const MovableJob& job : aJobs) {
    if (moves.size() >= aMax) {
      break;
    }
    MoveTarget* best = nullptr;
    for (MoveTarget& target : aTargets) {
      if (MayTake(target, aRegion, job) &&
          (best == nullptr ||
           target.m_freeMillicores > best->m_freeMillicores)) {
        best = &target;
      }
    }
    if (best != nullptr) {
      best->m_freeMillicores -= job.m_allMillicores;
      moves.push_back({ job.m_job, best->m_slice });
    }
  }
  return moves;
}

} // namespace lacewing::sched
