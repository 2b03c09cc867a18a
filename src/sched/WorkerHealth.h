/// Suspicion of a worker, raised by failures of different jobs and decaying
/// over time.
#pragma once

#include "core/LatestDistinct.h"
#include "core/Time.h"

#include <cstdint>

namespace lacewing::sched {

struct HealthOptions
{
  double m_suspectScore = 3;
  Duration m_halfLife = std::chrono::minutes(10);
};

class WorkerHealth
{
public:
  /// Counts a failure; further failures of a job that was counted recently
  /// change nothing. `aJobSequence` is unique for each job.
  void OnFailure(Time aNow,
                 const HealthOptions& aOptions,
                 std::uint64_t aJobSequence);
  /// A success halves the score and forgets which jobs failed.
  void OnSuccess(Time aNow, const HealthOptions& aOptions);
  double Score(Time aNow, const HealthOptions& aOptions) const;
  bool IsSuspect(Time aNow, const HealthOptions& aOptions) const;

private:
  LatestDistinct<std::uint64_t, 4> m_failedJobs; ///< since the last success
  float m_score = 0;
  Time m_scoredAt{};
};

} // namespace lacewing::sched
