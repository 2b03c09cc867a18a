#include "pool/PlanPacer.h"

namespace lacewing::pool {

namespace {

/// Time that a plan should take. The event loop handles nothing else meanwhile.
constexpr Duration kPlanTime = milliseconds(10);
/// While other work waits for the event loop, plans take at most the time
/// divided by this: what they start and stop causes calls, and the calls need
/// most of the processor.
constexpr int kBusyDivisor = 5;
/// The same while no other work waits.
constexpr int kIdleDivisor = 2;
/// Weight of one plan in the mean time for each step and start; a plan may have
/// been interrupted.
constexpr double kPlanWeight = 0.2;

} // namespace

void
PlanPacer::OnPlan(Time aBegin,
                  Time aEnd,
                  std::size_t aConsidered,
                  std::size_t aStarts)
{
  const Duration taken = aEnd - aBegin;
  const bool isBusy = m_standingLag > kPlanTime;
  m_nextPlan = aBegin + taken * (isBusy ? kBusyDivisor : kIdleDivisor);
  if (aConsidered + aStarts < kFewestSteps) {
    return; // mostly the time that a plan takes without any step
  }
  const Duration each = taken / static_cast<int>(aConsidered + aStarts);
  m_each += Scale(each - m_each, kPlanWeight);
  m_affordable = static_cast<std::size_t>(
    kPlanTime / std::max<Duration>(m_each, Duration(1)));
}

} // namespace lacewing::pool
