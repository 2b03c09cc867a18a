/// Guards against ends of jobs that callers see only with their next request,
/// and against requests for a state that are never answered.
#include "fakes/LeaderCell.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

const JobId kJob{ "00000000000000a1" };
constexpr Duration kLongWait = seconds(20);

/// A leader with a job that it has taken over, and requests for its state.
class EdgeEndWaits : public testing::Test
{
protected:
  EdgeEndWaits() { m_cell.SetDelay(milliseconds(2)); }

  bool Lead(std::uint32_t aTasks = 1)
  {
    m_cell.PutJob(PoolJob(kJob.Value(), kPatientQueue, { PoolStep(aTasks) }));
    m_cell.Lead();
    return m_cell.RunUntil([&] { return m_cell.Leader().IsLoaded(); });
  }

  /// A worker reports the only task as running, or as done.
  void Report(bool aDone)
  {
    pool::PoolScheduler& scheduler = m_cell.Leader().Scheduler();
    const Time now = net::Loop::Now();
    scheduler.SetWorkers(now, { PoolWorker("w1") });
    pool::Inventory inventory;
    inventory.m_incarnation = 1;
    inventory.m_clockMs = 5;
    if (aDone) {
      inventory.m_ended = { { 1, { kJob, 0, 0 }, 1, pool::RunEnd::Done, {} } };
    } else {
      inventory.m_running = { { { kJob, 0, 0 }, 1, {}, 10 } };
    }
    scheduler.OnInventory(now, pool::WorkerId("w1"), inventory);
  }

  void Ask(Duration aWait)
  {
    m_cell.Leader().AwaitView(
      kJob, aWait, [this](const std::optional<edge::JobView>& aView) {
        m_answers.push_back(aView ? std::optional(aView->m_state)
                                  : std::nullopt);
      });
  }

  /// Stores what the leader has to store.
  void Store()
  {
    for (const auto& write :
         m_cell.Leader().Scheduler().TakeUnsaved(std::size_t{ 10 })) {
      m_cell.Leader().OnStored(net::Loop::Now(), write);
    }
  }

  LeaderCell m_cell;
  std::vector<std::optional<pool::JobState>> m_answers;
};

/// The caller asked shortly before the end was stored, was told that the job
/// runs, and saw the end only with its next request.
TEST_F(EdgeEndWaits, RequestShortlyBeforeTheEndIsAnsweredWithIt)
{
  ASSERT_TRUE(Lead());
  Report(false);
  Ask(kLongWait);
  EXPECT_TRUE(m_answers.empty());
  Report(true);
  EXPECT_TRUE(m_answers.empty()); // not stored yet
  Store();
  ASSERT_EQ(m_answers.size(), 1U);
  EXPECT_EQ(m_answers[0], pool::JobState::Completed);
}

TEST_F(EdgeEndWaits, JobThatGoesOnIsShownAfterTheWait)
{
  ASSERT_TRUE(Lead());
  Report(false);
  Ask(milliseconds(30));
  ASSERT_TRUE(m_cell.RunUntil([&] { return !m_answers.empty(); }));
  EXPECT_EQ(m_answers[0], pool::JobState::Running);
  Report(true);
  Store();
  EXPECT_EQ(m_answers.size(), 1U);
}

/// A job with tasks that wait does not end soon, and neither does one that is
/// unknown: nothing is worth a wait.
TEST_F(EdgeEndWaits, OtherJobsAreShownAtOnce)
{
  ASSERT_TRUE(Lead(2));
  Report(false);
  Ask(kLongWait);
  ASSERT_EQ(m_answers.size(), 1U);
  EXPECT_EQ(m_answers[0], pool::JobState::Running);
  m_cell.Leader().AwaitView(
    JobId("other"), kLongWait, [this](const auto& aView) {
      m_answers.push_back(aView ? std::optional(aView->m_state) : std::nullopt);
    });
  ASSERT_EQ(m_answers.size(), 2U);
  EXPECT_FALSE(m_answers[1].has_value());
}

TEST_F(EdgeEndWaits, EndedJobIsShownAtOnce)
{
  ASSERT_TRUE(Lead());
  Report(false);
  Report(true);
  Store();
  Ask(kLongWait);
  ASSERT_EQ(m_answers.size(), 1U);
  EXPECT_EQ(m_answers[0], pool::JobState::Completed);
}

/// The successor knows the state; the front reads the store or asks it.
TEST_F(EdgeEndWaits, RequestsAreAnsweredAsTheLeadershipEnds)
{
  ASSERT_TRUE(Lead());
  Report(false);
  Ask(kLongWait);
  Ask(kLongWait);
  m_cell.Leader().Close();
  ASSERT_EQ(m_answers.size(), 2U);
  EXPECT_FALSE(m_answers[0].has_value());
  EXPECT_FALSE(m_answers[1].has_value());
}

} // namespace

} // namespace lacewing::fakes
