#include "pool/WorkerRecord.h"

#include <algorithm>

namespace lacewing::pool {

namespace {

/// Weight of one task in a mean; about ten tasks outweigh the earlier value.
constexpr double kRuntimeRatioWeight = 0.12;
/// One task may not move a mean further than this ratio.
constexpr double kMinRatio = 0.25;
constexpr double kMaxRatio = 6;
/// Bounds of the classes, relative to all workers.
constexpr double kFastBelow = 0.93;
constexpr double kSlowAbove = 1.12;
constexpr double kVerySlowAbove = 1.8;
/// Time in which the store usually writes an end.
constexpr Duration kSaveDelay = milliseconds(40);
/// The delay doubles with each inventory without a new end, up to 320 ms, so
/// that a slow store does not cause thousands of inventories a second.
constexpr int kMaxDelayDoublings = 3;

} // namespace

void
RuntimeRatio::Add(double aRatio)
{
  const double bounded = std::clamp(aRatio, kMinRatio, kMaxRatio);
  m_mean += (bounded - m_mean) * kRuntimeRatioWeight;
}

SpeedClass
SpeedOf(const RuntimeRatio& aWorker, const RuntimeRatio& aAll)
{
  const double relative = aWorker.Mean() / aAll.Mean();
  if (relative > kVerySlowAbove) {
    return SpeedClass::VerySlow;
  }
  if (relative > kSlowAbove) {
    return SpeedClass::Slow;
  }
  return relative < kFastBelow ? SpeedClass::Fast : SpeedClass::Usual;
}

std::uint32_t
TasksThatFit(const Resources& aEach, const Resources& aCapacity)
{
  constexpr std::int64_t kMany = 1'000'000;
  const auto times = [](std::int64_t aPart, std::int64_t aWhole) {
    return aPart <= 0 ? kMany : std::max<std::int64_t>(0, aWhole / aPart);
  };
  return static_cast<std::uint32_t>(
    std::min({ times(aEach.m_millicores, aCapacity.m_millicores),
               times(aEach.m_memoryMib, aCapacity.m_memoryMib),
               times(aEach.m_accelerators, aCapacity.m_accelerators) }));
}

Resources
ForTasks(const Resources& aEach, std::int64_t aCount)
{
  return { aEach.m_millicores * aCount,
           aEach.m_memoryMib * aCount,
           aEach.m_accelerators * aCount };
}

bool
Inventory::Lists(const TaskRef& aTask, RunNumber aRun) const
{
  return std::ranges::any_of(m_running, [&](const ReportedRun& aReported) {
    return aReported.m_task == aTask && aReported.m_run == aRun;
  });
}

bool
WorkerInfo::HasLabel(const std::string& aLabel) const
{
  return std::ranges::find(m_labels, aLabel) != m_labels.end();
}

std::uint64_t
WorkerRecord::SavedEnds() const
{
  if (MayHaveRestarted()) {
    return 0;
  }
  return m_unsavedEnds.empty() ? m_highestEnd : *m_unsavedEnds.begin() - 1;
}

Duration
WorkerRecord::DelayBeforeNextInventory() const
{
  if (m_unsavedEnds.empty()) {
    return Duration::zero();
  }
  return kSaveDelay *
         (1 << std::min(m_repeatedInventories, kMaxDelayDoublings));
}

std::int64_t
WorkerRecord::LeastClockMs(Time aNow) const
{
  return m_clockMs == 0
           ? 0
           : m_clockMs + ToMilliseconds(
                           Scale(aNow - m_lastResponse, 1 - kWorkerClockError));
}

Time
WorkerRecord::LeaseEnd() const
{
  const Duration left =
    milliseconds(std::max<std::int64_t>(0, m_deadlineMs - m_clockMs));
  return m_lastResponse + Scale(left, 1 / (1 - kWorkerClockError));
}

Time
WorkerRecord::UnheardLeaseEnd(Duration aLongestLease) const
{
  // Its clock begins anew, so that it takes the lease end in a command for a
  // far one and shortens it, counted from the arrival.
  return std::max(LeaseEnd() + kLeaseMargin,
                  m_commandsUntil + LongestHold(aLongestLease));
}

bool
WorkerRecord::HasTimedOut(Time aNow) const
{
  return !m_adopted || aNow > m_lastResponse + kWorkerTimeout;
}

bool
WorkerRecord::CanAcceptTasks(Time aNow, Duration aAllowance) const
{
  return aNow >= m_failures.AvoidUntil() && IsAvailable(aNow, aAllowance);
}

bool
WorkerRecord::IsTried() const
{
  return std::ranges::any_of(m_placements, [this](const auto& aItem) {
    return aItem.second.m_since > m_failures.Latest();
  });
}

bool
WorkerRecord::IsAvailable(Time aNow, Duration aAllowance) const
{
  return m_listed && IsDescribed() && m_recorded && m_adopted &&
         !MayHaveRestarted() && !m_info.m_draining && !m_evacuated &&
         aNow < m_lastResponse + kUnresponsiveAfter + aAllowance &&
         aNow >= m_avoidUntil && m_unknownRuns == 0;
}

} // namespace lacewing::pool
