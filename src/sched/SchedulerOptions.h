/// Tunable bounds of the scheduler of a slice.
#pragma once

#include "sched/WorkerHealth.h"

#include <cstddef>

namespace lacewing::sched {

struct SchedulerOptions
{
  HealthOptions m_health;
  /// A job whose tasks failed on this many healthy workers has failed.
  std::size_t m_jobFailureWorkers = 3;
  /// A task that failed this often on healthy workers has failed.
  std::uint8_t m_taskFailures = 5;
  /// Wait of a job after a failure of one of its tasks.
  Duration m_retryWait = seconds(5);
  /// The same for an urgent job, which must start within 1.9 s; doubled with
  /// each failure in a row up to `m_retryWait`.
  Duration m_urgentRetryWait = milliseconds(200);
  /// Wait of a suspect worker after a failed probe task; doubled with each
  /// failed probe in a row up to the second value.
  Duration m_probeWait = seconds(1);
  Duration m_maxProbeWait = seconds(60);
  /// Part of its processors that a throttled task keeps.
  double m_throttledPart = 0.1;
  /// An urgent task looks for another worker if the one that clears room for it
  /// has not done so by then; well below the 1.9 s that it may wait.
  Duration m_urgentPledge = milliseconds(800);
  /// The same for other tasks.
  Duration m_pledge = seconds(30);
  /// A task that has not fitted for this long gets the next room that becomes
  /// free on one worker, so that smaller tasks cannot keep it out.
  Duration m_starvation = seconds(20);
  /// Largest number of tasks that wait for room on a chosen worker.
  std::size_t m_maxPledges = 512;
  /// Jobs looked at in the queue of a team that cannot start its first one.
  std::size_t m_queueDepth = 4;
  /// Workers compared before tasks are stopped for another one.
  std::size_t m_victimWorkers = 24;
  /// Pause between two attempts to place a waiting gang.
  Duration m_gangRetry = milliseconds(100);
  /// After a lowered allotment, patient tasks are stopped after the first and
  /// any tasks after the second wait.
  Duration m_allotmentPatientWait = seconds(5);
  Duration m_allotmentWait = seconds(10);
  /// Distance above its share from which patient tasks of a team are stopped
  /// for a team below its share; damps moves to and fro.
  double m_reclaimMargin = 0.01;
};

/// Safety checks of the scheduler. Tests replace them one by one to show that
/// the loss of a check is noticed.
struct AllChecks
{
  static constexpr bool kAllotment = true;
  static constexpr bool kWholeGang = true;
  static constexpr bool kGangReservation = true;
  static constexpr bool kMarkBeforeStart = true;
  static constexpr bool kWaitForRoom = true;
  static constexpr bool kStartOnlyOpen = true;
};

} // namespace lacewing::sched
