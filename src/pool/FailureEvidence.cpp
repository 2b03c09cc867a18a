#include "pool/FailureEvidence.h"

#include <algorithm>

namespace lacewing::pool {

namespace {

/// A step that has failed on so many different workers, and of which nothing is
/// done, is at fault. Few workers fail at a time, so that tasks of a sound step
/// rarely meet two of them before another task is done.
constexpr std::size_t kWorkersOfFaultyStep = 2;
/// Failures in a row after which a worker gets no tasks for a while. A single
/// failure is mostly the fault of the task itself; two in a row on one worker
/// are rare.
constexpr std::size_t kFailuresToAvoid = 2;
/// First backoff of a worker on which tasks fail; it doubles with each further
/// failure.
constexpr Duration kFirstAvoidance = seconds(2);
/// Limits the backoff, so that a worker that has recovered is used again.
constexpr std::size_t kMaxAvoidanceDoublings = 3;

} // namespace

bool
StepFailures::OnFailure(const WorkerId& aWorker, std::size_t aWorkers)
{
  if (std::ranges::find(m_workers, aWorker) == m_workers.end() &&
      m_workers.size() < kWorkersOfFaultyStep) {
    m_workers.push_back(aWorker);
  }
  const bool wasAtFault = m_atFault;
  m_atFault =
    !m_done && m_workers.size() >= std::min(kWorkersOfFaultyStep, aWorkers);
  return m_atFault && !wasAtFault;
}

void
StepFailures::OnDone()
{
  m_done = true;
  m_atFault = false;
}

void
WorkerFailures::OnFailure(Time aNow, const StepId& aStep)
{
  if (m_steps.size() < kFailuresToAvoid + kMaxAvoidanceDoublings) {
    m_steps.push_back(aStep);
  }
  if (m_steps.size() >= kFailuresToAvoid) {
    const auto doublings = static_cast<int>(m_steps.size() - kFailuresToAvoid);
    m_avoidUntil =
      std::max(m_avoidUntil, aNow + kFirstAvoidance * (1 << doublings));
  }
}

void
WorkerFailures::OnSuccess()
{
  m_steps.clear();
}

void
WorkerFailures::Discard(const StepId& aStep)
{
  if (std::erase(m_steps, aStep) > 0 && m_steps.size() < kFailuresToAvoid) {
    m_avoidUntil = {};
  }
}

} // namespace lacewing::pool
