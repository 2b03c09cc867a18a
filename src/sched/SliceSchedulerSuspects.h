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
    m_probes.erase(aWorker);
    m_state.Touch(aWorker);
    return true;
  });
  for (const std::uint32_t worker : m_suspects) {
    if (!m_probes.contains(worker)) {
      m_probeReady.push_back(worker);
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
  const auto fits = [&](std::uint32_t aWorker) {
    const Worker& worker = m_state.WorkerAt(aWorker);
    return !worker.m_heldForGang && !worker.m_cordoned &&
           !Contains(job.m_noProbeOn, aWorker) &&
           aRequest.m_need.FitsIn(m_state.Free(aWorker)) &&
           (aRequest.m_need.m_accelerators == 0 ||
            worker.m_spec.m_accelerator == spec.m_accelerator);
  };
  const auto found =
    std::find_if(m_probeReady.begin(), m_probeReady.end(), fits);
  if (found == m_probeReady.end()) {
    return kNone;
  }
  const std::uint32_t worker = *found;
  m_probeReady.erase(found);
  m_probes[worker] = { aJob, job.m_pending.back() };
  return worker;
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::NoteSuccess(Time aNow, TaskRef aRef, std::uint32_t aWorker)
{
  m_state.WorkerAt(aWorker).m_health.OnSuccess(aNow, m_options.m_health);
  m_state.JobAt(aRef.m_job).m_failedOn.clear();
}

LACEWING_SCHED_TEMPLATE
void
LACEWING_SCHED::NoteFailure(Time aNow, TaskRef aRef, std::uint32_t aWorker)
{
  Worker& worker = m_state.WorkerAt(aWorker);
  Job& job = m_state.JobAt(aRef.m_job);
  if (!Contains(job.m_noProbeOn, aWorker)) {
    job.m_noProbeOn.push_back(aWorker);
  }
  // The other tasks of the job need not wait because a probe has failed.
  if (!worker.m_suspect) {
    job.m_notBefore = aNow + m_options.m_retryWait;
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
