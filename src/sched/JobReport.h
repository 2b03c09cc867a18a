/// Answers of the scheduler to questions about jobs and teams.
#pragma once

#include "sched/SliceState.h"

namespace lacewing::sched {

struct JobSummary
{
  JobState m_state = JobState::Queued;
  std::uint32_t m_tasks = 0;
  std::uint32_t m_pending = 0;
  std::uint32_t m_placed = 0; ///< hold resources: marking, waiting, running
  std::uint32_t m_running = 0;
  std::uint32_t m_succeeded = 0;
  std::uint32_t m_failed = 0;
  std::uint32_t m_mayHaveRun = 0;
};

struct Explanation
{
  JobState m_state = JobState::Queued;
  WaitReason m_wait = WaitReason::None;
  /// Set if the job can never run on the present workers.
  std::optional<NeverReason> m_never;
  std::string m_message; ///< for people
};

/// A job of which nothing has run or has a place, and which waits for room.
struct RoomWait
{
  JobId m_job;
  Time m_since{}; ///< when the slice got the job
};

struct TeamUsage
{
  TeamId m_team;
  double m_weight = 1;
  /// Declared millicores of placed and of pending tasks, and the allotment.
  std::int64_t m_runningMillicores = 0;
  std::int64_t m_waitingMillicores = 0;
  std::int64_t m_allotmentMillicores = 0;
  Resources m_held;
  double m_dominantShare = 0; ///< part of the slice, from 0 to 1
};

JobState
StateOf(const Job& aJob);
/// Nothing of the job is pending or placed.
bool
IsOver(const Job& aJob);
JobSummary
Summarise(const Job& aJob);
Explanation
ExplainJob(const SliceState& aState, Time aNow, const Job& aJob, bool aOpen);
TeamUsage
UsageOf(const SliceState& aState, const Team& aTeam);

} // namespace lacewing::sched
