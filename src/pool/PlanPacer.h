/// How many steps a plan considers, how many tasks it starts, and when the next
/// one begins, so that plans are short and frequent also under a backlog and
/// leave the process time for the workers' responses while these wait for it.
#pragma once

#include "core/Time.h"

#include <algorithm>
#include <cstddef>

namespace lacewing::pool {

class PlanPacer
{
public:
  /// Steps that the next plan may consider.
  std::size_t Steps() const
  {
    return std::clamp(m_affordable, kFewestSteps, kMostSteps);
  }
  /// Steps that the next plan may place and tasks that it may start, together;
  /// a gang that begins below that number starts as a whole.
  std::size_t Operations() const
  {
    return std::clamp(m_affordable, kFewestSteps, kMostOperations);
  }
  /// The next plan begins no earlier.
  Time NextPlan() const { return m_nextPlan; }
  /// How late the event loop has been all the time recently. Until the first
  /// call it counts as busy.
  void SetStandingLag(Duration aLag) { m_standingLag = aLag; }
  /// A plan has considered that many steps and started that many tasks.
  void OnPlan(Time aBegin,
              Time aEnd,
              std::size_t aConsidered,
              std::size_t aStarts);

  static constexpr std::size_t kFewestSteps = 60;
  static constexpr std::size_t kMostSteps = 400;
  static constexpr std::size_t kMostOperations = 2000;

private:
  /// Operations for which the time of a plan is enough.
  std::size_t m_affordable = kMostOperations;
  Duration m_each{}; ///< time of a plan for each of them
  Time m_nextPlan{};
  Duration m_standingLag = Duration::max();
};

} // namespace lacewing::pool
