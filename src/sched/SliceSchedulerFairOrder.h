/// The order in which `SliceScheduler` serves the queues of teams.
#pragma once

#include "sched/SliceScheduler.h"

#include <algorithm>
#include <functional>

namespace lacewing::sched {

// Shortens the heads of the member functions below; undefined at the end.
#define LACEWING_SCHED_TEMPLATE                                                \
  template<TeamOrder Order, PlacementPolicy Placement, typename Checks>
#define LACEWING_SCHED SliceScheduler<Order, Placement, Checks>

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::ComputeLevel()
{
  double weights = 0;
  for (std::uint32_t index = 0; index < m_state.TeamCount(); ++index) {
    const Team& team = m_state.TeamAt(index);
    if (team.m_running > 0 || !team.m_queue.empty()) {
      weights += team.m_weight;
    }
  }
  m_level = weights > 0 ? 1 / weights : 0;
}

LACEWING_SCHED_TEMPLATE
double
LACEWING_SCHED::KeyOf(const Team& aTeam, const Resources& aUsed) const
{
  TeamView view;
  view.m_used = aUsed;
  view.m_capacity = m_state.Capacity();
  view.m_weight = aTeam.m_weight;
  if (!aTeam.m_queue.empty()) {
    view.m_firstSequence = aTeam.m_queue.begin()->m_sequence;
  }
  return Order::Key(view);
}

LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::IsAboveShare(std::uint32_t aTeam) const
{
  const Team& team = m_state.TeamAt(aTeam);
  return KeyOf(team, team.m_used - team.m_leaving) >
         m_level * (1 + m_options.m_reclaimMargin);
}

LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::Alive(const QueueEntry& aEntry) const
{
  const Job& job = m_state.JobAt(aEntry.m_job);
  return job.m_sequence == aEntry.m_sequence && job.m_queued;
}

/// Drops entries of cancelled jobs from the head; false if nothing is left.
LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::DropDeadHead(Team& aTeam)
{
  while (!aTeam.m_queue.empty() && !Alive(*aTeam.m_queue.begin())) {
    aTeam.m_queue.erase(aTeam.m_queue.begin());
  }
  return !aTeam.m_queue.empty();
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::UrgentPass(Time aNow)
{
  RunPass(aNow, true);
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::SharePass(Time aNow)
{
  RunPass(aNow, false);
}

/// Starts work of the team with the lowest key until the budget is used up or
/// no team can start anything.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::RunPass(Time aNow, bool aUrgentOnly)
{
  using Entry = std::pair<double, std::uint32_t>;
  std::vector<Entry> heap;
  for (std::uint32_t index = 0; index < m_state.TeamCount(); ++index) {
    Team& team = m_state.TeamAt(index);
    if (DropDeadHead(team) &&
        (!aUrgentOnly || team.m_queue.begin()->m_class == QueueClass::Urgent)) {
      heap.emplace_back(KeyOf(team, team.m_used), index);
    }
  }
  std::make_heap(heap.begin(), heap.end(), std::greater<>());
  while (!heap.empty() && m_budget > 0) {
    std::pop_heap(heap.begin(), heap.end(), std::greater<>());
    const std::uint32_t index = heap.back().second;
    Team& team = m_state.TeamAt(index);
    if (!TryTeam(aNow, index, aUrgentOnly) || !DropDeadHead(team)) {
      heap.pop_back();
      continue;
    }
    heap.back().first = KeyOf(team, team.m_used);
    std::push_heap(heap.begin(), heap.end(), std::greater<>());
  }
}

/// Starts one job's next task, or a gang, of the team; false if none of the
/// first few jobs of its queue can start.
LACEWING_SCHED_TEMPLATE
bool
LACEWING_SCHED::TryTeam(Time aNow, std::uint32_t aTeam, bool aUrgentOnly)
{
  TeamQueue& queue = m_state.TeamAt(aTeam).m_queue;
  constexpr std::size_t kMaxSkipped = 64;
  std::size_t blocked = 0;
  std::size_t skipped = 0;
  for (auto entry = queue.begin(); entry != queue.end();) {
    if (!Alive(*entry)) {
      entry = queue.erase(entry);
      continue;
    }
    if (aUrgentOnly && entry->m_class != QueueClass::Urgent) {
      return false;
    }
    const std::uint32_t job = entry->m_job;
    ++entry;
    const Attempt attempt = TryJob(aNow, job);
    if (attempt == Attempt::Started) {
      return true;
    }
    (attempt == Attempt::Blocked ? blocked : skipped) += 1;
    if (blocked == m_options.m_queueDepth || skipped == kMaxSkipped) {
      return false;
    }
  }
  return false;
}

LACEWING_SCHED_TEMPLATE
typename LACEWING_SCHED::Attempt
LACEWING_SCHED::TryJob(Time aNow, std::uint32_t aJob)
{
  Job& job = m_state.JobAt(aJob);
  if (aNow < job.m_notBefore) {
    job.m_wait = WaitReason::RetryWait;
    return Attempt::Skipped;
  }
  const bool gang = job.m_spec.m_kind == JobKind::Gang;
  if (!WithinAllotment(job, gang ? job.m_pending.size() : 1)) {
    job.m_wait = WaitReason::TeamAllotment;
    return Attempt::Blocked;
  }
  return gang ? TryGang(aNow, aJob) : TrySingle(aNow, aJob);
}

#undef LACEWING_SCHED
#undef LACEWING_SCHED_TEMPLATE

} // namespace lacewing::sched
