/// Guards against starts in a failure domain that is being evacuated, and
/// against work that is stopped or never placed because of the evacuation.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace lacewing::fakes {

namespace {

const DomainId kNear{ "near" };
const DomainId kFar{ "far" };

pool::WorkerInfo
WorkerIn(const std::string& aName, const DomainId& aDomain)
{
  pool::WorkerInfo worker = PoolWorker(aName);
  worker.m_domain = aDomain;
  return worker;
}

std::size_t
StartsAt(const pool::Actions& aActions, const std::string& aWorker)
{
  return static_cast<std::size_t>(std::ranges::count(
    aActions.m_starts, pool::WorkerId(aWorker), &pool::StartTask::m_worker));
}

TEST(PoolEvacuation, NothingStartsInTheDomainUntilItIsTakenBack)
{
  PoolFixture fixture({ WorkerIn("w1", kNear), WorkerIn("w2", kFar) });
  fixture.ReportAllIdle();
  fixture.m_scheduler.SetEvacuations({ kFar });
  fixture.Add(PoolJob("job", kPatientQueue, { PoolStep(10) }));
  const auto during = fixture.Plan();
  EXPECT_EQ(StartsAt(during, "w1"), 8U);
  EXPECT_EQ(StartsAt(during, "w2"), 0U);
  fixture.m_scheduler.SetEvacuations({});
  EXPECT_EQ(StartsAt(fixture.Plan(), "w2"), 2U);
}

TEST(PoolEvacuation, RunsInTheDomainGoOn)
{
  PoolFixture fixture({ WorkerIn("w1", kNear), WorkerIn("w2", kFar) });
  fixture.ReportAllIdle();
  fixture.Add(PoolJob("job", kPatientQueue, { PoolStep(16) }));
  fixture.Confirm(fixture.Plan().m_starts);
  fixture.m_scheduler.SetEvacuations({ kFar });
  const auto actions = fixture.Plan();
  EXPECT_TRUE(actions.m_stops.empty());
  EXPECT_TRUE(actions.m_starts.empty());
}

TEST(PoolEvacuation, GangThatFitsOnlyOverTheDomainWaitsAsAWhole)
{
  PoolFixture fixture({ WorkerIn("w1", kNear), WorkerIn("w2", kFar) });
  fixture.ReportAllIdle();
  fixture.m_scheduler.SetEvacuations({ kFar });
  pool::StepSpec gang = PoolStep(3, 4000);
  gang.m_gang = true;
  fixture.Add(PoolJob("gang", kPatientQueue, { gang }));
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  fixture.m_scheduler.SetEvacuations({});
  EXPECT_EQ(fixture.Plan().m_starts.size(), 3U);
}

TEST(PoolEvacuation, TwoDomainsAreEvacuatedAtOnce)
{
  PoolFixture fixture({ WorkerIn("w1", kNear), WorkerIn("w2", kFar) });
  fixture.ReportAllIdle();
  fixture.m_scheduler.SetEvacuations({ kNear, kFar });
  fixture.Add(PoolJob("job", kUrgentQueue, { PoolStep(1) }));
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  fixture.m_scheduler.SetEvacuations({ kNear });
  EXPECT_EQ(StartsAt(fixture.Plan(), "w2"), 1U);
}

/// A restarted worker has a new record, which must not lose the evacuation of
/// its domain.
TEST(PoolEvacuation, WorkerThatRestartsInTheDomainGetsNothing)
{
  PoolFixture fixture({ WorkerIn("w1", kFar) });
  fixture.ReportAllIdle();
  fixture.m_scheduler.SetEvacuations({ kFar });
  pool::WorkerInfo restarted = WorkerIn("w1", kFar);
  restarted.m_incarnation = 2;
  pool::Inventory inventory;
  inventory.m_incarnation = 2;
  inventory.m_clockMs = 1;
  fixture.m_scheduler.OnInventory(fixture.m_now, restarted.m_id, inventory);
  fixture.m_scheduler.SetWorkers(fixture.m_now, { restarted });
  fixture.Add(PoolJob("job", kPatientQueue, { PoolStep(1) }));
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
}

/// The policy service needs time for each worker in a request; the tickets of
/// workers that can't be used would also expire unused.
TEST(PoolEvacuation, PolicyServiceIsNotAskedAboutTheDomain)
{
  PoolFixture fixture({ WorkerIn("w1", kNear), WorkerIn("w2", kFar) });
  fixture.ReportAllIdle();
  fixture.m_scheduler.SetEvacuations({ kFar });
  fixture.Add(PoolJob("job", kPolicyQueue, { PoolStep(1) }));
  const auto requests = fixture.Plan().m_adviceRequests;
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].m_workers,
            std::vector<pool::WorkerId>{ pool::WorkerId("w1") });
}

} // namespace

} // namespace lacewing::fakes
