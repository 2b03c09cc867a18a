/// Whose fault the failures of runs are: that of a worker on which tasks of
/// sound jobs fail, or that of a step whose tasks fail on every worker.
///
/// Does no I/O and reads no clock.
#pragma once

#include "core/Time.h"
#include "pool/Job.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace lacewing::pool {

/// Failures of one step's tasks; kept by the leader and not stored.
class StepFailures
{
public:
  /// A run has failed on the worker. True if the step is found to be at fault
  /// by this failure: its earlier failures no longer count against workers.
  /// `aWorkers` is the number of workers in the pool.
  bool OnFailure(const WorkerId& aWorker, std::size_t aWorkers);
  /// A task is done, so its workers may be at fault for the failed ones.
  void OnDone();
  bool IsAtFault() const { return m_atFault; }

private:
  std::vector<WorkerId> m_workers; ///< different ones on which runs failed
  bool m_done = false;
  bool m_atFault = false;
};

/// Latest failures on one worker that count against it.
class WorkerFailures
{
public:
  using StepId = std::pair<JobId, std::uint32_t>;

  void OnFailure(Time aNow, const StepId& aStep);
  void OnSuccess();
  /// Forgets the failures of a step that is at fault itself.
  void Discard(const StepId& aStep);
  /// The worker gets no new tasks before that time.
  Time AvoidUntil() const { return m_avoidUntil; }

private:
  std::vector<StepId> m_steps; ///< by run, since the last success
  Time m_avoidUntil{};
};

} // namespace lacewing::pool
