/// Guards against polls of workers whose tasks have long to run, each of which
/// carries the whole inventory, and against ends that are noticed late.
#include "daemon/PollPlan.h"

#include <gtest/gtest.h>

namespace lacewing::daemon {

namespace {

constexpr Time kStart{ seconds(1000) };
constexpr Duration kRenewalPeriod = seconds(5);

ExpectedRun
RunOf(Duration aDeclared)
{
  return { kStart, kStart + aDeclared };
}

} // namespace

TEST(WorkerPolls, LeaveLongTasksToTheRenewals)
{
  EXPECT_GT(PollWait(kStart + seconds(60), RunOf(seconds(3600))),
            kRenewalPeriod);
}

TEST(WorkerPolls, LeaveTasksThatWereTakenOverToTheRenewals)
{
  EXPECT_GT(PollWait(kStart + seconds(60), { kStart, Time::max() }),
            kRenewalPeriod);
}

TEST(WorkerPolls, LeaveTasksThatAreLongOverdueToTheRenewals)
{
  EXPECT_GT(PollWait(kStart + seconds(60), RunOf(seconds(1))), kRenewalPeriod);
}

TEST(WorkerPolls, ComeAtTheDeclaredEnd)
{
  EXPECT_EQ(PollWait(kStart + milliseconds(100), RunOf(milliseconds(300))),
            milliseconds(200));
  EXPECT_EQ(PollWait(kStart + seconds(57), RunOf(seconds(60))), seconds(3));
}

TEST(WorkerPolls, NoticeATaskThatFailsAtOnceWithinASecond)
{
  EXPECT_EQ(PollWait(kStart, RunOf(seconds(3600))), seconds(1));
}

TEST(WorkerPolls, AreNotSentInATightLoop)
{
  EXPECT_EQ(PollWait(kStart + seconds(1), RunOf(seconds(1))),
            milliseconds(100));
}

} // namespace lacewing::daemon
