/// Whose fault the failures of runs are: that of a worker on which tasks of
/// sound jobs fail, or that of a step whose tasks fail wherever they run.
///
/// Each worker counts once for a step, by how the latest run of the step ended
/// there. A step is at fault while it fails on more workers than it is done on,
/// and on two at least: then its failures count against no worker. A run that
/// makes no progress counts like a failed one. A step at fault is tried with
/// few tasks: one until it is done or its attempts are used up, and twice as
/// many with each task that is done meanwhile.
///
/// Failures of one job say as much about the job as about the worker. Two in a
/// row keep this job away from the worker, and only failures of different jobs
/// in a row make the worker suspect. A suspect worker gets no tasks for a
/// while, at most for two seconds, and is then on trial: it gets one task at a
/// time until one of them is done. Suspicion against most workers of a service
/// is not believed, since few fail at a time.
///
/// Does no I/O and reads no clock.
#pragma once

#include "core/LatestDistinct.h"
#include "core/Time.h"
#include "pool/Job.h"
#include "pool/SuspectWorker.h"

#include <cstdint>
#include <limits>
#include <vector>

namespace lacewing::pool {

/// Outcomes of one step's runs; kept by the leader and not stored.
class StepFailures
{
public:
  static constexpr std::uint32_t kNoLimit =
    std::numeric_limits<std::uint32_t>::max();

  /// A run has failed on the worker or was stuck there. True if the step is
  /// found to be at fault by this: its earlier failures no longer count against
  /// workers. `aWorkers` is the number of workers in the pool.
  bool OnFailure(Time aNow, WorkerSlot aWorker, std::size_t aWorkers);
  /// A task was done on the worker.
  void OnDone(WorkerSlot aWorker);
  /// What an earlier leader has stored: the number of tasks with failed runs
  /// that are not done, and of those that are. It does not tell the workers.
  void Restore(std::size_t aFailedTasks, std::size_t aDoneTasks);
  bool IsAtFault() const { return m_atFault; }
  /// Number of workers on which the latest run of the step has failed.
  std::size_t FailingWorkers() const { return m_failing.size(); }
  /// Number of workers on which it was done.
  std::size_t SoundWorkers() const { return m_soundCount; }
  /// Number of tasks that may be tried at the same time.
  std::uint32_t MostTried() const { return m_atFault ? m_mostTried : kNoLimit; }
  /// Number of tasks of the step that the worker may run at the same time.
  std::uint32_t MostTasksOn(Time aNow, WorkerSlot aWorker) const;

private:
  struct FailingWorker
  {
    WorkerSlot m_worker = 0;
    std::uint32_t m_inRow = 0;
    Time m_latest{};
  };

  bool IsSound(WorkerSlot aWorker) const
  {
    return aWorker < m_sound.size() && m_sound[aWorker];
  }
  void SetSound(WorkerSlot aWorker, bool aSound);
  bool FailsMostly() const
  {
    return m_failing.size() + m_restoredFailing > m_soundCount;
  }

  std::vector<FailingWorker> m_failing;
  std::vector<bool> m_sound; ///< by slot
  std::size_t m_soundCount = 0;
  std::size_t m_restoredFailing = 0; ///< counts like failing workers
  std::uint32_t m_mostTried = 1;
  bool m_atFault = false;
};

/// Latest failures on one worker that count against it.
class WorkerFailures
{
public:
  /// A run of the job has failed there or was stuck. A single stuck run makes
  /// the worker suspect, since it holds its room until it is stopped. True if a
  /// time without new tasks begins.
  bool OnFailure(Time aNow, const JobId& aJob, Suspicion aKind);
  void OnSuccess();
  /// Forgets the failures of a job that is at fault itself.
  void Discard(const JobId& aJob);
  bool IsSuspect() const;
  /// When the latest failure was reported.
  Time Latest() const { return m_latest; }
  /// The worker gets no new tasks before that time.
  Time AvoidUntil() const { return m_avoidUntil; }

private:
  static constexpr std::size_t kMostJobs = 4;

  LatestDistinct<JobId, kMostJobs> m_failed; ///< since the last success
  LatestDistinct<JobId, kMostJobs> m_stuck;  ///< likewise
  Time m_latest{};
  Time m_avoidUntil{};
};

/// True if so many suspects among the workers of a service are credible.
bool
IsCredible(std::size_t aSuspects, std::size_t aWorkers);

} // namespace lacewing::pool
