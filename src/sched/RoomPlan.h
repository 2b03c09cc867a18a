/// How room is made on a worker for a task: which patient tasks are throttled
/// or stopped, cheapest loss first.
#pragma once

#include "sched/SliceState.h"

namespace lacewing::sched {

struct RoomPlan
{
  std::uint32_t m_worker = kNone;
  std::vector<TaskRef> m_throttle;
  std::vector<TaskRef> m_stop;
  /// CPU seconds that the stopped tasks lose.
  double m_loss = 0;
};

struct RoomRules
{
  /// By team: whether its patient tasks may be stopped. Empty: all teams.
  std::vector<bool> m_teams;
  bool m_mayThrottle = false;
  double m_throttledPart = 0;
};

/// True if the worker takes new tasks and could hold the request when empty.
bool
CouldTake(const SliceState& aState,
          std::uint32_t aWorker,
          const Request& aRequest);

/// CPU seconds that are lost if the task is stopped now: all since its start,
/// or none if it checkpoints first.
double
LossOf(const SliceState& aState, Time aNow, TaskRef aRef);

/// What is free on the worker once the tasks that are being stopped have ended.
Resources
FreeAfterStops(const SliceState& aState, std::uint32_t aWorker);

/// The cheapest way found to fit the request on the worker; nothing if there is
/// none. A plan without tasks means that room is about to become free.
std::optional<RoomPlan>
PlanRoom(const SliceState& aState,
         Time aNow,
         std::uint32_t aWorker,
         const Request& aRequest,
         const RoomRules& aRules);

} // namespace lacewing::sched
