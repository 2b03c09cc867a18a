/// Guards against a leader that takes its own lateness for the silence of its
/// workers: it gave them neither leases nor tasks, and sent its commands again.
/// Load pattern: the leader's event loop is late by half a second all the time,
/// so that it reads each response some seconds after the command.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

const pool::WorkerId kW1("w1");
constexpr Duration kLag = milliseconds(500);
/// A worker waits for an end for a second; then the response is read late.
constexpr Duration kResponseAge = milliseconds(2600);

/// A worker whose last response is that old, at a leader with that lag.
PoolFixture
WorkerOfALeader(Duration aLag)
{
  PoolFixture fixture({ PoolWorker("w1") });
  fixture.ReportAllIdle();
  fixture.m_scheduler.SetStandingLag(aLag);
  fixture.Add(PoolJob("job", kUrgentQueue, { PoolStep(1) }));
  fixture.m_now += kResponseAge;
  return fixture;
}

TEST(PoolLateLeader, WorkerWhoseResponseIsReadLateGetsLeasesAndTasks)
{
  PoolFixture fixture = WorkerOfALeader(kLag);
  EXPECT_GT(fixture.m_scheduler.NextDeadline(fixture.m_now, kW1), 0);
  EXPECT_EQ(fixture.Plan().m_starts.size(), 1U);
}

TEST(PoolLateLeader, SilentWorkerOfALeaderInTimeGetsNeither)
{
  PoolFixture fixture = WorkerOfALeader(Duration::zero());
  EXPECT_EQ(fixture.m_scheduler.NextDeadline(fixture.m_now, kW1), 0);
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
}

/// Guards against leases that lapse because a leader waits for too long: until
/// the next extension has to be answered, the last lease is still valid.
TEST(PoolLateLeader, LeasesOutlastTheLongestWaitForAResponse)
{
  constexpr Duration kUsualWait = seconds(1);
  PoolFixture fixture = WorkerOfALeader(seconds(60));
  const pool::PoolScheduler& scheduler = fixture.m_scheduler;
  EXPECT_LT(kUsualWait + scheduler.ExtensionPause() +
              scheduler.CommandAllowance(),
            pool::kLeaseLength);
  fixture.m_now += pool::kLeaseLength - kResponseAge;
  EXPECT_EQ(fixture.m_scheduler.NextDeadline(fixture.m_now, kW1), 0);
}

} // namespace

} // namespace lacewing::fakes
