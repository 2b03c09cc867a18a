/// Placement of single tasks by `SliceScheduler`.
#pragma once

#include "sched/SliceScheduler.h"

#include <algorithm>

namespace lacewing::sched {

// Shortens the heads of the member functions below; undefined at the end.
#define LACEWING_SCHED_TEMPLATE                                                \
  template<TeamOrder Order, PlacementPolicy Placement, typename Checks>
#define LACEWING_SCHED SliceScheduler<Order, Placement, Checks>

LACEWING_SCHED_TEMPLATE
typename LACEWING_SCHED::Attempt
LACEWING_SCHED::TrySingle(Time aNow, std::uint32_t aJob)
{
  Job& job = m_state.JobAt(aJob);
  const Request request = RequestOf(job);
  const std::uint32_t worker = Locate(aJob, request);
  if (worker != kNone) {
    Place(aNow, aJob, worker);
    return Attempt::Started;
  }
  job.m_wait = WaitReason::NoRoom;
  job.m_blockedSince = std::min(job.m_blockedSince, aNow);
  const std::size_t waiting = job.m_pending.size();
  if (m_pledges.size() < m_options.m_maxPledges) {
    if (job.m_spec.m_kind == JobKind::Urgent) {
      MakeRoomForUrgent(aNow, aJob, request);
    } else {
      Reclaim(aNow, aJob, request);
      if (job.m_pending.size() == waiting) {
        GuardFromStarvation(aNow, aJob, request);
      }
    }
  }
  return job.m_pending.size() < waiting ? Attempt::Started : Attempt::Blocked;
}

LACEWING_SCHED_TEMPLATE
Request
LACEWING_SCHED::RequestOf(const Job& aJob) const
{
  Request request = m_state.Table().Resolve(aJob.m_spec);
  request.m_need = m_state.NeedOf(aJob);
  request.m_avoided = aJob.m_avoided;
  return request;
}

LACEWING_SCHED_TEMPLATE
std::uint32_t
LACEWING_SCHED::Locate(std::uint32_t aJob, const Request& aRequest)
{
  const std::uint32_t probe = TakeProbe(aJob, aRequest);
  if (probe != kNone) {
    return probe;
  }
  Flush();
  return m_placement.Place(m_state.Table(), aRequest);
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::Place(Time aNow, std::uint32_t aJob, std::uint32_t aWorker)
{
  Job& job = m_state.JobAt(aJob);
  const TaskRef ref{ aJob, m_state.TakePending(aJob) };
  m_state.Hold(ref, aWorker, TaskState::Marked);
  job.m_blockedSince = Time::max();
  if (job.m_pending.empty()) {
    job.m_wait = WaitReason::None;
    m_state.Dequeue(aJob);
  }
  Launch(aNow, ref);
}

/// Starts a task that holds its room, or asks for its mark first.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::Launch(Time aNow, TaskRef aRef)
{
  Task& task = m_state.TaskAt(aRef);
  ++task.m_attempt;
  ++m_started;
  m_budget -= m_budget > 0 ? 1 : 0;
  Job& job = m_state.JobAt(aRef.m_job);
  if (NeedsMark(aRef)) {
    task.m_state = TaskState::Marking;
    ++job.m_marksMissing;
    Emit(ActionKind::MarkStarted, aRef);
    return;
  }
  if (job.m_marksMissing > 0 && job.m_spec.m_kind == JobKind::Gang) {
    m_marked.push_back({ job.m_spec.m_id, aRef.m_index });
    return;
  }
  m_state.BeginRunning(aNow, aRef);
  Emit(ActionKind::Start, aRef);
}

#undef LACEWING_SCHED
#undef LACEWING_SCHED_TEMPLATE

} // namespace lacewing::sched
