#include "pool/FailureEvidence.h"

#include <algorithm>

namespace lacewing::pool {

namespace {

/// Few workers fail at a time, so that tasks of a sound step rarely meet two of
/// them before another task is done.
constexpr std::size_t kWorkersOfFaultyStep = 2;
/// Beyond it a step at fault has all its width again.
constexpr std::uint32_t kMostTried = 1U << 16U;
/// A single failure is mostly the fault of the task itself; two in a row of one
/// step on one worker are rare.
constexpr std::uint32_t kFailuresToKeepAway = 2;
/// Different jobs that make a worker suspect.
constexpr std::size_t kJobsToSuspect = 2;
/// How long a worker gets no tasks once it is suspect.
constexpr Duration kFirstAvoidance = seconds(1);
/// The same after a further failure, and for a single step that fails there.
/// Work that has no other worker must not stand still for longer.
constexpr Duration kLongestAvoidance = seconds(2);

} // namespace

bool
StepFailures::OnFailure(Time aNow, WorkerSlot aWorker, std::size_t aWorkers)
{
  SetSound(aWorker, false);
  auto found = std::ranges::find(m_failing, aWorker, &FailingWorker::m_worker);
  if (found == m_failing.end()) {
    found = m_failing.insert(found, FailingWorker{ aWorker });
  }
  ++found->m_inRow;
  found->m_latest = aNow;
  const bool wasAtFault = m_atFault;
  const std::size_t failing = m_failing.size() + m_restoredFailing;
  m_atFault =
    failing >= std::min(kWorkersOfFaultyStep, aWorkers) && FailsMostly();
  if (m_atFault && !wasAtFault) {
    m_mostTried = 1;
  }
  return m_atFault && !wasAtFault;
}

void
StepFailures::OnDone(WorkerSlot aWorker)
{
  SetSound(aWorker, true);
  std::erase_if(m_failing, [&](const FailingWorker& aFailing) {
    return aFailing.m_worker == aWorker;
  });
  m_atFault = m_atFault && FailsMostly();
  if (m_atFault) {
    m_mostTried = std::min(m_mostTried * 2, kMostTried);
  }
}

void
StepFailures::Restore(std::size_t aFailedTasks, std::size_t aDoneTasks)
{
  if (aFailedTasks > aDoneTasks && aFailedTasks >= kWorkersOfFaultyStep) {
    m_restoredFailing = kWorkersOfFaultyStep;
    m_atFault = true;
  }
}

void
StepFailures::SetSound(WorkerSlot aWorker, bool aSound)
{
  if (IsSound(aWorker) == aSound) {
    return;
  }
  if (aWorker >= m_sound.size()) {
    m_sound.resize(aWorker + 1);
  }
  m_sound[aWorker] = aSound;
  m_soundCount += aSound ? 1 : -1;
}

std::uint32_t
StepFailures::MostTasksOn(Time aNow, WorkerSlot aWorker) const
{
  // A step that fails wherever it runs must not keep itself from all workers.
  const auto found =
    std::ranges::find(m_failing, aWorker, &FailingWorker::m_worker);
  if (m_atFault || found == m_failing.end() ||
      found->m_inRow < kFailuresToKeepAway) {
    return kNoLimit;
  }
  return aNow < found->m_latest + kLongestAvoidance ? 0 : 1;
}

bool
WorkerFailures::OnFailure(Time aNow, const JobId& aJob, Suspicion aKind)
{
  const bool wasSuspect = IsSuspect();
  const bool wasAvoided = aNow < m_avoidUntil;
  (aKind == Suspicion::Stuck ? m_stuck : m_failed).Add(aJob);
  m_latest = aNow;
  if (!IsSuspect()) {
    return false;
  }
  const Duration avoidance = wasSuspect ? kLongestAvoidance : kFirstAvoidance;
  m_avoidUntil = std::max(m_avoidUntil, aNow + avoidance);
  return !wasAvoided;
}

void
WorkerFailures::OnSuccess()
{
  *this = {};
}

void
WorkerFailures::Discard(const JobId& aJob)
{
  m_failed.Remove(aJob);
  m_stuck.Remove(aJob);
  if (!IsSuspect()) {
    m_avoidUntil = {};
  }
}

bool
WorkerFailures::IsSuspect() const
{
  return m_failed.Size() >= kJobsToSuspect || m_stuck.Size() > 0;
}

bool
IsCredible(std::size_t aSuspects, std::size_t aWorkers)
{
  return aSuspects <= 1 || aSuspects * 2 <= aWorkers;
}

} // namespace lacewing::pool
