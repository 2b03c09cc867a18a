/// Guards against callers that are held while nothing can be stored for them,
/// that get no answer before their deadline, or that return all at once.
/// Load pattern: the store is silent for seconds while callers keep coming.
#include "edge/WritePlan.h"

#include <gtest/gtest.h>

#include <set>

namespace lacewing::edge {

namespace {

constexpr Time kStart{ seconds(1000) };
constexpr Duration kDeadline = seconds(3);

TEST(EdgeWritePlan, SubmissionIsRefusedAtOnceIfNobodyReachesTheStore)
{
  EXPECT_EQ(NextWriteStep({ kDeadline, true, false, false }),
            WriteStep::Refuse);
}

TEST(EdgeWritePlan, DaemonWithoutTheStoreForwardsToTheLeader)
{
  EXPECT_EQ(NextWriteStep({ kDeadline, true, true, false }),
            WriteStep::Forward);
  EXPECT_EQ(NextWriteStep({ kDeadline, true, true, true }), WriteStep::Forward);
}

/// The caller would be told that its job never runs although an attempt may be
/// stored late.
TEST(EdgeWritePlan, WriteWithAnUnansweredAttemptIsNeverRefusedAsNotRun)
{
  EXPECT_EQ(NextWriteStep({ kDeadline, true, false, true }),
            WriteStep::LeaveInDoubt);
  EXPECT_EQ(NextWriteStep({ milliseconds(10), false, false, true }),
            WriteStep::LeaveInDoubt);
}

TEST(EdgeWritePlan, StoreThatAnswersIsTriedWhileTimeIsLeft)
{
  EXPECT_EQ(NextWriteStep({ kDeadline, false, true, false }),
            WriteStep::TryStore);
  EXPECT_EQ(NextWriteStep({ milliseconds(10), false, true, false }),
            WriteStep::Refuse);
}

/// The last attempt used all the time that was left, and the caller never got
/// the answer.
TEST(EdgeWritePlan, AttemptEndsBeforeTheCallersDeadline)
{
  for (Duration left = milliseconds(1); left < kDeadline;
       left += milliseconds(1)) {
    if (HasTimeForAttempt(left)) {
      EXPECT_LT(AttemptTimeout(left), left);
      EXPECT_GT(AttemptTimeout(left), Duration::zero());
    }
  }
}

TEST(EdgeWritePlan, CallersReturnLaterTheLongerTheStoreIsDown)
{
  const JobId job("00000000000000a1");
  const auto after = [&](Duration aDown) {
    return RetryAfter(kStart + aDown, kStart, job);
  };
  EXPECT_GE(RetryAfter(kStart, std::nullopt, job), seconds(1));
  EXPECT_GT(after(seconds(4)), after(seconds(1)));
  EXPECT_EQ(after(seconds(60)), after(seconds(600)));
}

TEST(EdgeWritePlan, CallersOfOneMomentDoNotReturnTogether)
{
  std::set<seconds> delays;
  for (int number = 0; number < 100; ++number) {
    delays.insert(
      RetryAfter(kStart, std::nullopt, JobId(std::to_string(number))));
  }
  EXPECT_GT(delays.size(), 1U);
}

} // namespace

} // namespace lacewing::edge
