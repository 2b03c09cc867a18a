/// Guards against second runs of tasks that are done, while their worker lists
/// only some of its ends because the others could not be stored yet.
#include "fakes/PoolSamples.h"
#include "platform/InventoryDecoder.h"
#include "platform/TaskName.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace lacewing::fakes {

namespace {

const pool::WorkerId kWorker{ "w1" };

/// An inventory without runs that lists the ends of some of the starts; a
/// truncated one leaves out further ends.
pool::Inventory
EndsOf(const std::vector<pool::StartTask>& aStarts,
       std::size_t aListed,
       bool aTruncated)
{
  pool::Inventory inventory;
  inventory.m_incarnation = 1;
  inventory.m_clockMs = 1;
  inventory.m_endsTruncated = aTruncated;
  for (std::size_t number = 1; number <= aListed; ++number) {
    inventory.m_ended.push_back(
      EndOf(aStarts[number - 1], number, pool::RunEnd::Done));
  }
  return inventory;
}

/// Four tasks that run on the only worker.
class PoolTruncatedInventories : public testing::Test
{
protected:
  PoolTruncatedInventories()
    : m_fixture({ PoolWorker("w1") })
  {
    m_fixture.ReportAllIdle();
    m_fixture.Add(m_job);
    m_starts = m_fixture.Plan().m_starts;
    m_fixture.Confirm(m_starts);
  }

  void Report(const pool::Inventory& aInventory)
  {
    m_fixture.m_scheduler.OnInventory(m_fixture.m_now, kWorker, aInventory);
  }

  const pool::Job m_job = PoolJob("job", kPatientQueue, { PoolStep(4) });
  PoolFixture m_fixture;
  std::vector<pool::StartTask> m_starts;
};

/// The store was down for some seconds. Runs whose ends were beyond the listed
/// ones counted as lost after three inventories and started again.
TEST_F(PoolTruncatedInventories, RunWhoseEndIsNotListedYetIsNotLost)
{
  ASSERT_EQ(m_starts.size(), 4U);
  for (int inventory = 0; inventory < 5; ++inventory) {
    Report(EndsOf(m_starts, 2, true));
  }
  EXPECT_TRUE(m_fixture.Plan().m_starts.empty());
  Report(EndsOf(m_starts, 4, false));
  m_fixture.SaveAll();
  EXPECT_EQ(m_fixture.m_scheduler.FindJob(m_job.m_id)->State(),
            pool::JobState::Completed);
}

/// A run that is missing beside all ends was never executed, so it has to
/// start again.
TEST_F(PoolTruncatedInventories, RunMissingBesideAllEndsIsLost)
{
  ASSERT_EQ(m_starts.size(), 4U);
  Report(EndsOf(m_starts, 2, true));
  for (int inventory = 0; inventory < 3; ++inventory) {
    Report(EndsOf(m_starts, 2, false));
  }
  EXPECT_EQ(m_fixture.Plan().m_starts.size(), 2U);
}

/// The new incarnation may have executed a start that was sent before the
/// restart, and list its end later.
TEST_F(PoolTruncatedInventories, StartOnANewIncarnationMayEndUnlisted)
{
  ASSERT_EQ(m_starts.size(), 4U);
  m_fixture.m_now += milliseconds(10);
  pool::Inventory restarted = EndsOf(m_starts, 2, true);
  restarted.m_incarnation = 2;
  restarted.m_requestedAt = m_fixture.m_now;
  Report(restarted);
  EXPECT_TRUE(m_fixture.Plan().m_starts.empty());
}

/// A new leader took a worker for known after its first ends. Tasks that had
/// ended beyond these started again, also after the former leader's leases had
/// expired, as the new one extends the worker's lease.
TEST(PoolTruncatedInventoryOfASuccessor, TasksWaitForAllEndsOfAWorker)
{
  PoolFixture fixture({ PoolWorker("w1") }, PoolSample(), 2, { kWorker });
  const pool::Job job = PoolJob("job", kPatientQueue, { PoolStep(4) });
  fixture.m_scheduler.AddJob(
    fixture.m_now, job, {}, {}, pool::JobOrigin::Loaded);
  std::vector<pool::StartTask> ended(4);
  for (std::uint32_t index = 0; index < ended.size(); ++index) {
    ended[index].m_task = { job.m_id, 0, index };
    ended[index].m_run = 1;
  }
  for (int passed = 0; passed < 12; ++passed) {
    fixture.m_now += seconds(1);
    pool::Inventory inventory = EndsOf(ended, 2, true);
    inventory.m_clockMs = ToMilliseconds(fixture.m_now - kStart) + 1;
    fixture.m_scheduler.OnInventory(fixture.m_now, kWorker, inventory);
    fixture.m_scheduler.NextDeadline(fixture.m_now, kWorker);
    EXPECT_TRUE(fixture.Plan().m_starts.empty());
  }
  fixture.m_scheduler.OnInventory(
    fixture.m_now, kWorker, EndsOf(ended, 4, false));
  EXPECT_TRUE(fixture.Plan().m_starts.empty());
  EXPECT_EQ(fixture.m_scheduler.FindJob(job.m_id)->State(),
            pool::JobState::Completed);
}

/// The platform's workers list 500 ends at a time.
TEST(PoolTruncatedInventoryOfThePlatform, FullPageOfEndsMayBeTruncated)
{
  const auto truncated = [](std::size_t aEnds) {
    nlohmann::json ended = nlohmann::json::array();
    for (std::size_t number = 1; number <= aEnds; ++number) {
      ended.push_back(
        { number, platform::TaskName({ JobId("job"), 0, 1 }), 1, "done", "" });
    }
    const nlohmann::json body = { { "clock_ms", 1 },
                                  { "running", nlohmann::json::array() },
                                  { "ended", std::move(ended) } };
    return leaf::try_handle_all(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(inventory, platform::DecodeInventory(body.dump()));
        return inventory.m_endsTruncated;
      },
      [] {
        ADD_FAILURE() << "not decoded";
        return false;
      });
  };
  EXPECT_FALSE(truncated(499));
  EXPECT_TRUE(truncated(500));
}

} // namespace

} // namespace lacewing::fakes
