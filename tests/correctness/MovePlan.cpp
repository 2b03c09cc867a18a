/// Guards against moves of jobs that have run, that would not start in the new
/// slice either, or that go round between slices.
#include "sched/MovePlan.h"
#include "fakes/SchedFleet.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using namespace sched;

const RegionId kHere("here");
const Time kNow = Time() + seconds(100);

MovableJob
Waiting(const std::string& aId, Duration aFor)
{
  MovableJob job;
  job.m_job = JobId(aId);
  job.m_since = kNow - aFor;
  job.m_perTask = { 1000, 1024, 0 };
  job.m_allMillicores = 1000;
  return job;
}

MoveTarget
Target(const std::string& aSlice, std::int64_t aFree)
{
  return { SliceId(aSlice), kHere, aFree, 0, { { 8000, 8192, 0 } } };
}

std::string
Moved(const std::vector<MovableJob>& aJobs,
      const std::vector<MoveTarget>& aTargets,
      std::size_t aMax = kMaxMovesPerSecond)
{
  std::string text;
  for (const JobMove& move : PlanMoves(kNow, kHere, aJobs, aTargets, aMax)) {
    text += move.m_job.Value() + ">" + move.m_to.Value() + " ";
  }
  return text;
}

} // namespace

TEST(MovePlan, UrgentJobsThenTheLongestWaitGoWhereMostIsFree)
{
  auto urgent = Waiting("urgent", seconds(3));
  urgent.m_urgent = true;
  const std::vector jobs = { Waiting("young", seconds(4)),
                             Waiting("old", seconds(9)),
                             urgent };
  EXPECT_EQ(Moved(jobs, { Target("a", 1500), Target("b", 1900) }),
            "urgent>b old>a ")
    << "room that a job of the same second takes must not be given twice";
  EXPECT_EQ(Moved(jobs, { Target("a", 9000) }, 1), "urgent>a ");
}

TEST(MovePlan, WaitsBeforeTheFirstMoveAndLongerBeforeTheNext)
{
  EXPECT_EQ(Moved({ Waiting("j", milliseconds(1999)) }, { Target("a", 9000) }),
            "");
  auto job = Waiting("j", seconds(2));
  EXPECT_EQ(Moved({ job }, { Target("a", 9000) }), "j>a ");
  job.m_movedFrom = { SliceId("x") };
  EXPECT_EQ(Moved({ job }, { Target("a", 9000) }), "");
  job.m_since = kNow - seconds(5);
  EXPECT_EQ(Moved({ job }, { Target("a", 9000) }), "j>a ");
  EXPECT_EQ(Moved({ job }, { Target("x", 9000) }), "") << "has a tombstone";
  job.m_movedFrom = { SliceId("x"), SliceId("y"), SliceId("z") };
  EXPECT_EQ(Moved({ job }, { Target("a", 9000) }), "");
}

TEST(MovePlan, StaysInTheRegionUnlessTheJobNamesAnother)
{
  auto far = Target("far", 9000);
  far.m_region = RegionId("there");
  auto job = Waiting("j", seconds(3));
  EXPECT_EQ(Moved({ job }, { far }), "");
  job.m_region = far.m_region;
  EXPECT_EQ(Moved({ job }, { far }), "j>far ");
}

TEST(MovePlan, NeedsAnEmptyQueueAndRoomForAWholeGang)
{
  auto job = Waiting("j", seconds(3));
  auto queued = Target("q", 9000);
  queued.m_queueLength = 1;
  EXPECT_EQ(Moved({ job }, { queued, Target("full", 999) }), "");
  job.m_tasks = 4;
  EXPECT_EQ(Moved({ job }, { Target("a", 3999) }), "");
  EXPECT_EQ(Moved({ job }, { Target("a", 4000) }), "j>a ");
  job.m_perTask.m_memoryMib = 4096;
  EXPECT_EQ(Moved({ job }, { Target("a", 9000) }), "")
    << "only two of the four tasks fit the memory of the slice's worker";
}

TEST(MovePlan, TheSchedulerGivesUpOnlyJobsOfWhichNothingHasRun)
{
  auto scheduler = MakeSlice(1); // 8 processors
  const auto wide = MakeJob("wide", "t", 10, { 1000, 512, 0 });
  const auto waiting = MakeJob("waiting", "t", 1, { 1000, 512, 0 });
  scheduler.Submit(kNow, wide);
  scheduler.Submit(kNow, waiting);
  scheduler.Decide(kNow, 100);
  const auto waits = scheduler.WaitingForRoom();
  ASSERT_EQ(waits.size(), 1U) << "a job with running tasks must stay";
  EXPECT_EQ(waits[0].m_job, waiting.m_id);
  EXPECT_FALSE(scheduler.TakeOut(wide.m_id));
  ASSERT_TRUE(scheduler.TakeOut(waiting.m_id));
  EXPECT_FALSE(scheduler.JobStatus(waiting.m_id));
  EXPECT_EQ(scheduler.Usage(TeamId("t")).m_waitingMillicores, 2000);
  scheduler.PutBack(kNow, waiting);
  EXPECT_EQ(scheduler.Usage(TeamId("t")).m_waitingMillicores, 3000);
  EXPECT_EQ(scheduler.JobStatus(waiting.m_id)->m_pending, 1U);
}

TEST(MovePlan, JobsBehindTheirTeamsAllotmentStay)
{
  auto scheduler = MakeSlice(1);
  scheduler.SetAllotment(TeamId("t"), 1000);
  for (const char* id : { "a", "b", "c" }) {
    scheduler.Submit(kNow, MakeJob(id, "t", 1, { 1000, 512, 0 }));
  }
  scheduler.Decide(kNow, 100);
  EXPECT_TRUE(scheduler.WaitingForRoom().empty());
}

TEST(MovePlan, AGangThatHoldsTheReservationCanBeTakenOut)
{
  auto scheduler = MakeSlice(2);
  scheduler.Submit(kNow, MakeJob("fill", "t", 12, { 1000, 512, 0 }));
  scheduler.Decide(kNow, 100);
  const auto gang = MakeJob("gang", "t", 8, { 1000, 512, 0 }, JobKind::Gang);
  scheduler.Submit(kNow, gang);
  scheduler.Decide(kNow, 100);
  ASSERT_TRUE(scheduler.TakeOut(gang.m_id));
  scheduler.Submit(kNow, MakeJob("next", "t", 4, { 1000, 512, 0 }));
  EXPECT_EQ(CountOf(scheduler.Decide(kNow, 100), ActionKind::Start), 4U)
    << "workers are still held for the gang that has gone";
}

} // namespace lacewing::fakes
