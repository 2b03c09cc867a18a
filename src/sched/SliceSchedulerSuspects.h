/// Suspect workers of `SliceScheduler`: scores of failures, and probe tasks.
#pragma once

#include "sched/SliceScheduler.h"

#include <algorithm>

namespace lacewing::sched {

// Shortens the heads of the member functions below; undefined at the end.
#define LACEWING_SCHED_TEMPLATE                                                \
  template<TeamOrder Order, PlacementPolicy Placement, typename Checks>
#define LACEWING_SCHED SliceScheduler<Order, Placement, Checks>

inline bool
Contains(const std::vector<std::uint32_t>& aWorkers, std::uint32_t aWorker)
{
  return std::find(aWorkers.begin(), aWorkers.end(), aWorker) != aWorkers.end();
}

inline void
AddAvoided(Job& aJob, std::uint32_t aWorker)
{
  // Every placement of the job looks at all of them.
  constexpr std::size_t kMaxAvoided = 16;
  if (Contains(aJob.m_avoided, aWorker)) {
    return;
  }
  if (aJob.m_avoided.size() == kMaxAvoided) {
    aJob.m_avoided.erase(aJob.m_avoided.begin());
  }
  aJob.m_avoided.push_back(aWorker);
}

/// The wait, doubled so many times, up to the bound.
inline Duration
Doubled(Duration aWait, std::uint32_t aTimes, Duration aMax)
{
  constexpr std::uint32_t kMaxShift = 20;
  return std::min<Duration>(aMax, aWait * (1LL << std::min(aTimes, kMaxShift)));
}

LACEWING_SCHED_TEMPLATE
Duration
LACEWING_SCHED::RetryWait(const Job& aJob) const
{
  return aJob.m_spec.m_kind == JobKind::Urgent
           ? Doubled(m_options.m_urgentRetryWait,
                     aJob.m_failuresInRow,
                     m_options.m_retryWait)
           : m_options.m_retryWait;
}

/// Takes back workers whose score has decayed and lists those that may get a
/// probe task.
LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::ReviewSuspects(Time aNow)
{
  m_probeReady.clear();
  std::erase_if(m_suspects, [&](std::uint32_t aWorker) {
    Worker& worker = m_state.WorkerAt(aWorker);
    if (worker.m_health.IsSuspect(aNow, m_options.m_health)) {
      return false;
    }
    worker.m_suspect = false;
    worker.m_failedProbes = 0;
    worker.m_nextProbe = Time::min();
    m_probes.erase(aWorker);
    m_state.Touch(aWorker);
    return true;
  });
  for (const std::uint32_t index : m_suspects) {
    const Worker& worker = m_state.WorkerAt(index);
    if (!m_probes.contains(index) && aNow >= worker.m_nextProbe) {
      m_probeReady.push_back({ index, aNow >= worker.m_nextRepeatedProbe });
    }
  }
}

/// A suspect worker for a task that can be repeated and has no place to prefer.
LACEWING_SCHED_TEMPLATE
std::uint32_t
LACEWING_SCHED::TakeProbe(std::uint32_t aJob, const Request& aRequest)
{
  const Job& job = m_state.JobAt(aJob);
  const JobSpec& spec = job.m_spec;
  if (m_probeReady.empty() || spec.m_kind != JobKind::Batch ||
      spec.m_atMostOnce || aRequest.m_restricted) {
    return kNone;
  }
  const auto fits = [&](const ReadyForProbe& aReady) {
    const Worker& worker = m_state.WorkerAt(aReady.m_worker);
    return !worker.m_heldForGang && !worker.m_cordoned &&
           (aReady.m_mayRepeat || !aRequest.Avoids(aReady.m_worker)) &&
           aRequest.m_need.FitsIn(m_state.Free(aReady.m_worker)) &&
           (aRequest.m_need.m_accelerators == 0 ||
            worker.m_spec.m_accelerator == spec.m_accelerator);
  };
  const auto found =
    std::find_if(m_probeReady.begin(), m_probeReady.end(), fits);
  if (found == m_probeReady.end()) {
    return kNone;
  }
  const std::uint32_t worker = found->m_worker;
  m_probeReady.erase(found);
  m_probes[worker] = { aJob, job.m_pending.back() };
  return worker;
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::NoteSuccess(Time aNow, TaskRef aRef, std::uint32_t aWorker)
{
  Worker& worker = m_state.WorkerAt(aWorker);
  worker.m_health.OnSuccess(aNow, m_options.m_health);
  worker.m_failedProbes = 0;
  worker.m_nextProbe = Time::min();
  Job& job = m_state.JobAt(aRef.m_job);
  job.m_failedOn.clear();
  job.m_failuresInRow = 0;
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::NoteFailure(Time aNow, TaskRef aRef, std::uint32_t aWorker)
{
  Worker& worker = m_state.WorkerAt(aWorker);
  Job& job = m_state.JobAt(aRef.m_job);
  AddAvoided(job, aWorker);
  // The other tasks of the job need not wait because a probe has failed.
  if (!worker.m_suspect) {
    job.m_notBefore = aNow + RetryWait(job);
    ++job.m_failuresInRow;
  } else if (const auto probe = m_probes.find(aWorker);
             probe != m_probes.end() && probe->second == aRef) {
    // A worker that fails every task at once would otherwise use up a task of
    // each job as its probe.
    worker.m_nextProbe = aNow + Doubled(m_options.m_probeWait,
                                        worker.m_failedProbes,
                                        m_options.m_maxProbeWait);
    ++worker.m_failedProbes;
    // Without repeats, a worker that has recovered would stay unused while only
    // jobs that have failed on it are waiting.
    worker.m_nextRepeatedProbe = aNow + m_options.m_maxProbeWait;
  }
  // A job that has failed elsewhere too says little about this worker, and a
  // failure on a suspect worker says little about the job.
  const bool failedElsewhere =
    std::any_of(job.m_failedOn.begin(),
                job.m_failedOn.end(),
                [&](std::uint32_t aOther) { return aOther != aWorker; });
  if (!failedElsewhere) {
    worker.m_health.OnFailure(aNow, m_options.m_health, job.m_sequence);
  }
  if (worker.m_suspect) {
    return;
  }
  if (worker.m_health.IsSuspect(aNow, m_options.m_health)) {
    worker.m_suspect = true;
    worker.m_nextRepeatedProbe = aNow + m_options.m_maxProbeWait;
    m_suspects.push_back(aWorker);
    m_state.Touch(aWorker);
    if (worker.m_heldForGang) {
      DropReservation();
    }
    return;
  }
  ++m_state.TaskAt(aRef).m_failures;
  if (!Contains(job.m_failedOn, aWorker)) {
    job.m_failedOn.push_back(aWorker);
  }
  if (job.m_failedOn.size() >= m_options.m_jobFailureWorkers) {
    GiveUp(aRef.m_job);
  }
}

#undef LACEWING_SCHED
#undef LACEWING_SCHED_TEMPLATE

} // namespace lacewing::sched
