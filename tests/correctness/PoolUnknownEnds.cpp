/// Guards against ends that a worker may discard before their effect is
/// stored: the next leader would not know that the task was done.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

const pool::WorkerId kWorker{ "w1" };

pool::Job
SingleTask()
{
  return PoolJob("job", kPatientQueue, { PoolStep(1) });
}

/// Reports an end of the only task of `SingleTask`.
void
ReportEnd(PoolFixture& aFixture, pool::RunEnd aHow)
{
  aFixture.ReportInventory(
    kWorker, {}, { { 1, { JobId("job"), 0, 0 }, 1, aHow, {} } });
}

std::uint64_t
Acknowledged(const PoolFixture& aFixture)
{
  return aFixture.m_scheduler.Workers().at(kWorker).SavedEnds();
}

/// The end of a job that the leader had not read yet was acknowledged and
/// dropped. The job came later, and its task ran again.
TEST(PoolUnknownEnds, EndOfAnUnknownJobCountsOnceTheJobIsKnown)
{
  PoolFixture fixture({ PoolWorker("w1") });
  ReportEnd(fixture, pool::RunEnd::Done);
  EXPECT_EQ(Acknowledged(fixture), 0U);
  EXPECT_EQ(fixture.Plan().m_lookups, std::vector{ JobId("job") });
  fixture.Add(SingleTask());
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  EXPECT_EQ(Acknowledged(fixture), 0U);
  fixture.SaveAll();
  EXPECT_EQ(Acknowledged(fixture), 1U);
}

/// An end that is never acknowledged would keep the worker reporting it and all
/// later ones.
TEST(PoolUnknownEnds, EndOfAJobThatDoesNotExistIsAcknowledged)
{
  PoolFixture fixture({ PoolWorker("w1") });
  ReportEnd(fixture, pool::RunEnd::Done);
  fixture.m_scheduler.OnJobNotFound(fixture.m_now, JobId("job"));
  EXPECT_EQ(Acknowledged(fixture), 1U);
}

TEST(PoolUnknownEnds, EndOfAJobWhoseFinalStateIsStoredIsAcknowledged)
{
  PoolFixture fixture({ PoolWorker("w1") });
  ReportEnd(fixture, pool::RunEnd::Done);
  pool::JobProgress progress;
  progress.m_state = pool::JobState::Completed;
  fixture.m_scheduler.AddJob(
    fixture.m_now, SingleTask(), {}, progress, pool::JobOrigin::Loaded);
  EXPECT_EQ(Acknowledged(fixture), 1U);
}

/// A worker that has restarted numbers its ends from 1 again. An end that its
/// earlier incarnation had reported must not acknowledge one of the new ones.
TEST(PoolUnknownEnds, EndOfAnEarlierIncarnationAcknowledgesNothing)
{
  PoolFixture fixture({ PoolWorker("w1") });
  ReportEnd(fixture, pool::RunEnd::Done);
  pool::Inventory restarted;
  restarted.m_incarnation = 2;
  restarted.m_clockMs = 5;
  restarted.m_ended = {
    { 1, { JobId("other"), 0, 0 }, 1, pool::RunEnd::Done, {} }
  };
  fixture.m_scheduler.OnInventory(fixture.m_now, kWorker, restarted);
  fixture.m_scheduler.OnJobNotFound(fixture.m_now, JobId("job"));
  EXPECT_EQ(Acknowledged(fixture), 0U);
}

/// The ends of the other members of a gang arrive when the job is over already.
/// They were acknowledged at once, although nothing of the job was stored; the
/// end that was not yet acknowledged could be lost with its worker.
TEST(PoolUnknownEnds, EndOfAJobThatIsOverWaitsForTheStoredState)
{
  constexpr Resources kOneTask{ 1500, 1000, 0 };
  const pool::WorkerId second("w2");
  PoolFixture fixture(
    { PoolWorker("w1", kOneTask), PoolWorker("w2", kOneTask) });
  fixture.ReportAllIdle();
  pool::Job gang = PoolJob("job", kPatientQueue, { PoolStep(2) });
  gang.m_steps[0].m_gang = true;
  fixture.Add(gang);
  const auto starts = fixture.Plan().m_starts;
  ASSERT_EQ(starts.size(), 2U);
  fixture.Confirm(starts);
  for (const pool::StartTask& start : starts) {
    fixture.ReportInventory(
      start.m_worker, {}, { EndOf(start, 1, pool::RunEnd::Done) });
  }
  const auto& workers = fixture.m_scheduler.Workers();
  EXPECT_EQ(workers.at(kWorker).SavedEnds(), 0U);
  EXPECT_EQ(workers.at(second).SavedEnds(), 0U);
  fixture.SaveAll();
  EXPECT_EQ(workers.at(kWorker).SavedEnds(), 1U);
  EXPECT_EQ(workers.at(second).SavedEnds(), 1U);
}

} // namespace

} // namespace lacewing::fakes
