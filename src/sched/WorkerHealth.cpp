#include "sched/WorkerHealth.h"

#include <algorithm>
#include <cmath>

namespace lacewing::sched {

double
WorkerHealth::Score(Time aNow, const HealthOptions& aOptions) const
{
  if (m_score <= 0) {
    return 0;
  }
  const double halfLives = std::chrono::duration<double>(aNow - m_scoredAt) /
                           std::chrono::duration<double>(aOptions.m_halfLife);
  return m_score * std::exp2(-std::max(0.0, halfLives));
}

bool
WorkerHealth::IsSuspect(Time aNow, const HealthOptions& aOptions) const
{
  // Failures that follow each other within a few percent of the half-life count
  // as simultaneous.
  constexpr double kTolerance = 0.1;
  return Score(aNow, aOptions) >= aOptions.m_suspectScore - kTolerance;
}

void
WorkerHealth::OnFailure(Time aNow,
                        const HealthOptions& aOptions,
                        std::uint64_t aJobSequence)
{
  if (!m_failedJobs.Add(aJobSequence)) {
    return;
  }
  m_score = static_cast<float>(Score(aNow, aOptions) + 1);
  m_scoredAt = aNow;
}

void
WorkerHealth::OnSuccess(Time aNow, const HealthOptions& aOptions)
{
  m_score = static_cast<float>(Score(aNow, aOptions) / 2);
  m_scoredAt = aNow;
  m_failedJobs.Clear();
}

} // namespace lacewing::sched
