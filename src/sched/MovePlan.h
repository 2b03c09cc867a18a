/// Which waiting jobs of a full slice move to other slices, and where to. A
/// pure decision of the owner of the slice where the jobs wait.
#pragma once

#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"

#include <vector>

namespace lacewing::sched {

/// How long a job waits for room before it moves.
inline constexpr Duration kMoveWait = seconds(2);
/// The same for a job that has moved before, so that wrong loads cannot make it
/// go round.
inline constexpr Duration kMoveAgainWait = seconds(5);
inline constexpr std::size_t kMaxMoves = 3; ///< of one job
/// Jobs that may leave a slice in a second, which bounds the table's writes.
inline constexpr std::size_t kMaxMovesPerSecond = 32;

/// A job that waits for room, and of which nothing has run.
struct MovableJob
{
  JobId m_job;
  Time m_since{};    ///< when its present slice got it
  RegionId m_region; ///< that the job names; empty for any
  bool m_urgent = false;
  std::uint32_t m_tasks = 1; ///< that need room at once: all of a gang, or one
  Resources m_perTask;
  std::int64_t m_allMillicores = 0; ///< of all its tasks
  std::vector<SliceId> m_movedFrom; ///< keep tombstones, so it can't go back
};

/// Another slice, as its fresh load report shows it.
struct MoveTarget
{
  SliceId m_slice;
  RegionId m_region;
  /// Less the jobs that were sent there and are not in the report yet.
  std::int64_t m_freeMillicores = 0;
  std::uint64_t m_queueLength = 0;
  std::vector<Resources> m_workers; ///< capacities
};

struct JobMove
{
  JobId m_job;
  SliceId m_to;
};

/// At most `aMax` moves: urgent jobs first, then those that wait longest, each
/// to the slice with the most free processors. The slices must not contain the
/// present one, which is in `aRegion`.
std::vector<JobMove>
PlanMoves(Time aNow,
          const RegionId& aRegion,
          std::vector<MovableJob> aJobs,
          std::vector<MoveTarget> aTargets,
          std::size_t aMax);

} // namespace lacewing::sched
