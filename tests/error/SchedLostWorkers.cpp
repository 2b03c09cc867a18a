/// Guards against work that is lost with its worker, and against late or
/// repeated messages that end the wrong attempt.
#include "fakes/SchedFleet.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

constexpr Time kNow = Time() + seconds(1);

} // namespace

TEST(SchedLostWorkers, TheirTasksAreQueuedAgain)
{
  auto scheduler = MakeSlice(2);
  scheduler.Submit(kNow, MakeJob("j", "t", 4, { 4000, 1024, 0 }));
  ASSERT_EQ(scheduler.Decide(kNow, 10).size(), 4U);
  scheduler.RemoveWorker(kNow, VmId("w0"));
  EXPECT_TRUE(scheduler.Decide(kNow, 10).empty());
  EXPECT_EQ(scheduler.JobStatus(JobId("j"))->m_pending, 2U);
  scheduler.UpsertWorker(kNow, MakeWorker(2));
  EXPECT_EQ(scheduler.Decide(kNow, 10).size(), 2U);
}

TEST(SchedLostWorkers, LateAndRepeatedEndsAreIgnored)
{
  auto scheduler = MakeSlice(1);
  scheduler.Submit(kNow, MakeJob("j", "t", 1, { 4000, 1024, 0 }));
  const auto first = scheduler.Decide(kNow, 10).at(0);
  EXPECT_TRUE(End(scheduler, kNow, first, worker::TaskOutcome::Stopped));
  EXPECT_FALSE(End(scheduler, kNow, first, worker::TaskOutcome::Stopped));
  ASSERT_EQ(scheduler.Decide(kNow, 10).size(), 1U);
  EXPECT_FALSE(End(scheduler, kNow, first)) << "of the first attempt";
  EXPECT_EQ(scheduler.JobStatus(JobId("j"))->m_running, 1U);
}

TEST(SchedLostWorkers, UnknownNamesAreRefused)
{
  auto scheduler = MakeSlice(1);
  EXPECT_FALSE(scheduler.Adopt(kNow, VmId("nobody"), {}));
  EXPECT_FALSE(scheduler.Cancel(kNow, JobId("nothing")));
  EXPECT_FALSE(scheduler.Forget(JobId("nothing")));
  EXPECT_FALSE(scheduler.Explain(kNow, JobId("nothing")).has_value());
  EXPECT_FALSE(scheduler.OnTaskEnd(kNow,
                                   VmId("w0"),
                                   { JobId("nothing"), 7 },
                                   1,
                                   worker::TaskOutcome::Succeeded));
  scheduler.RemoveWorker(kNow, VmId("nobody"));
  scheduler.OnMarked(kNow, { JobId("nothing"), 0 });
}

TEST(SchedLostWorkers, ARepeatedSubmissionChangesNothing)
{
  auto scheduler = MakeSlice(1);
  const auto job = MakeJob("j", "t", 1, { 4000, 1024, 0 });
  scheduler.Submit(kNow, job);
  scheduler.Submit(kNow, job);
  EXPECT_EQ(scheduler.Decide(kNow, 10).size(), 1U);
  EXPECT_EQ(scheduler.JobCount(), 1U);
}

} // namespace lacewing::fakes
