/// One decision of `SliceScheduler`: the order of its steps, and its actions.
#pragma once

#include "sched/SliceScheduler.h"

#include <algorithm>

namespace lacewing::sched {

// Shortens the heads of the member functions below; undefined at the end.
#define LACEWING_SCHED_TEMPLATE                                                \
  template<TeamOrder Order, PlacementPolicy Placement, typename Checks>
#define LACEWING_SCHED SliceScheduler<Order, Placement, Checks>

LACEWING_SCHED_TEMPLATE
std::vector<Action>
LACEWING_SCHED::Decide(Time aNow, std::size_t aMaxStarts)
{
  m_actions.clear();
  m_budget = aMaxStarts;
  m_started = 0;
  m_reclaims = 0;
  m_scannedAll = false;
  StopAbandoned();
  RelieveWorkers(aNow);
  CutToAllotments(aNow);
  if (m_open || !Checks::kStartOnlyOpen) {
    StopUnclaimed();
    ReviewSuspects(aNow);
    ComputeLevel();
    StartMarked(aNow);
    SettlePledges(aNow);
    Flush();
    UrgentPass(aNow);
    SettleReservation(aNow);
    Unthrottle(aNow);
    SharePass(aNow);
  }
  return std::move(m_actions);
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::Flush()
{
  m_state.FlushChanged([this](std::uint32_t aWorker) {
    m_placement.Update(m_state.Table(), aWorker);
  });
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::Emit(ActionKind aKind, TaskRef aRef)
{
  const Job& job = m_state.JobAt(aRef.m_job);
  const Task& task = job.m_tasks[aRef.m_index];
  Action& action = m_actions.emplace_back();
  action.m_kind = aKind;
  action.m_worker = m_state.WorkerAt(task.m_worker).m_spec.m_id;
  action.m_task = { job.m_spec.m_id, aRef.m_index };
  action.m_attempt = task.m_attempt;
  action.m_reserved = m_state.HeldBy(aRef);
  action.m_runMs =
    std::max<std::int64_t>(0, job.m_spec.m_runMs - task.m_doneMs);
}

#undef LACEWING_SCHED
#undef LACEWING_SCHED_TEMPLATE

} // namespace lacewing::sched
