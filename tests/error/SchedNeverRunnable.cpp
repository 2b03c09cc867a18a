/// Guards against jobs that wait for ever because nothing can run them, and
/// against a wrong reason.
#include "fakes/SchedFleet.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using sched::NeverReason;

constexpr Time kNow = Time() + seconds(1);

std::optional<NeverReason>
ReasonFor(const sched::JobSpec& aSpec)
{
  auto scheduler = MakeSlice(4);
  scheduler.UpsertWorker(kNow, MakeWorker(4, { 8000, 16384, 2 }));
  scheduler.SetTeam(kNow, TeamId("t"), 1, 30'000);
  const auto never = scheduler.Submit(kNow, aSpec);
  EXPECT_EQ(never.has_value(), !scheduler.JobStatus(aSpec.m_id).has_value());
  return never ? std::optional(never->m_reason) : std::nullopt;
}

} // namespace

TEST(SchedNeverRunnable, NamesTheReason)
{
  EXPECT_EQ(ReasonFor(MakeJob("j", "t", 1, { 8000, 16384, 0 })), std::nullopt);
  EXPECT_EQ(ReasonFor(MakeJob("j", "t", 0, { 1000, 1024, 0 })),
            NeverReason::NoTasks);
  EXPECT_EQ(ReasonFor(MakeJob("j", "t", 1, { -1, 1024, 0 })),
            NeverReason::BadSize);
  EXPECT_EQ(ReasonFor(MakeJob("j", "t", 1, { 1000, 16385, 0 })),
            NeverReason::LargerThanEveryWorker);
  EXPECT_EQ(ReasonFor(MakeJob("j", "t", 1, { 31'000, 1024, 0 })),
            NeverReason::AboveTeamLimit);
}

TEST(SchedNeverRunnable, LooksAtAcceleratorsAndPlaces)
{
  auto job = MakeJob("j", "t", 1, { 1000, 1024, 1 });
  EXPECT_EQ(ReasonFor(job), NeverReason::BadSize);
  job.m_accelerator = "unheard-of";
  EXPECT_EQ(ReasonFor(job), NeverReason::UnknownAccelerator);
  job.m_accelerator = "a100";
  EXPECT_EQ(ReasonFor(job), std::nullopt);
  job.m_racks = { sched::RackId("nowhere") };
  EXPECT_EQ(ReasonFor(job), NeverReason::NoAllowedWorker);
}

TEST(SchedNeverRunnable, LooksAtWholeGangs)
{
  auto gang = MakeJob("g", "t", 6, { 5000, 1024, 0 }, sched::JobKind::Gang);
  EXPECT_EQ(ReasonFor(gang), NeverReason::GangLargerThanSlice);
  gang.m_tasks = 5;
  EXPECT_EQ(ReasonFor(gang), std::nullopt);
  gang.m_perTask.m_millicores = 7000;
  EXPECT_EQ(ReasonFor(gang), NeverReason::AboveTeamLimit);
}

TEST(SchedNeverRunnable, IsNotDecidedBeforeTheWorkersAreKnown)
{
  DaemonScheduler scheduler;
  EXPECT_FALSE(scheduler.Submit(kNow, MakeJob("j", "t", 1, { 1000, 1024, 0 })));
  EXPECT_TRUE(scheduler.Submit(kNow, MakeJob("k", "t", 0, { 1, 1, 0 })));
}

TEST(SchedNeverRunnable, IsExplainedWhenTheLastFittingWorkerGoes)
{
  auto scheduler = MakeSlice(1);
  scheduler.SetAllotment(TeamId("t"), 0);
  scheduler.Submit(kNow, MakeJob("j", "t", 1, { 8000, 1024, 0 }));
  EXPECT_FALSE(scheduler.Explain(kNow, JobId("j"))->m_never.has_value());
  scheduler.UpsertWorker(kNow, MakeWorker(0, { 4000, 16384, 0 }));
  const auto explanation = scheduler.Explain(kNow, JobId("j"));
  EXPECT_EQ(explanation->m_never, NeverReason::LargerThanEveryWorker);
  EXPECT_NE(explanation->m_message.find("8000"), std::string::npos);
}

} // namespace lacewing::fakes
