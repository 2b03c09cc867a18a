#include "edge/WritePlan.h"

#include <algorithm>
#include <functional>

namespace lacewing::edge {

namespace {

/// Timeout of one attempt to read or store a row.
constexpr Duration kStoreTimeout = milliseconds(900);
/// No further attempt is made if less time than this is left for it.
constexpr Duration kMinAttemptTime = milliseconds(50);
/// Reserved for the answer: its way to the caller and a busy event loop.
constexpr Duration kAnswerReserve = milliseconds(100);
constexpr seconds kMinRetryAfter{ 1 };
constexpr seconds kMaxRetryAfter{ 8 };
/// Callers of one moment return over this many seconds.
constexpr std::size_t kRetrySpreadSeconds = 2;

} // namespace

bool
HasTimeForAttempt(Duration aLeft)
{
  return aLeft >= kMinAttemptTime + kAnswerReserve;
}

Duration
AttemptTimeout(Duration aLeft)
{
  return std::clamp(aLeft - kAnswerReserve, kMinAttemptTime, kStoreTimeout);
}

WriteStep
NextWriteStep(const WriteState& aState)
{
  const WriteStep last =
    aState.m_inDoubt ? WriteStep::LeaveInDoubt : WriteStep::Refuse;
  if (!HasTimeForAttempt(aState.m_left)) {
    return last;
  }
  if (!aState.m_storeDown) {
    return WriteStep::TryStore;
  }
  return aState.m_canForward ? WriteStep::Forward : last;
}

seconds
RetryAfter(Time aNow, std::optional<Time> aDownSince, const JobId& aJob)
{
  return RetryAfter(aDownSince ? aNow - *aDownSince : Duration::zero(), aJob);
}

seconds
RetryAfter(Duration aWait, const JobId& aJob)
{
  const auto spread =
    seconds(std::hash<std::string>()(aJob.Value()) % kRetrySpreadSeconds);
  return std::clamp(
           std::chrono::ceil<seconds>(aWait), kMinRetryAfter, kMaxRetryAfter) +
         spread;
}

} // namespace lacewing::edge
