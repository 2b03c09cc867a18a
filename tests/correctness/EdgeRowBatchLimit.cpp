/// Guards against progress that the store refuses and that is sent again and
/// again with the leader's own row: nothing was stored any more, and the leader
/// was replaced every few seconds.
#include "edge/RowBatchLimit.h"
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using edge::RowBatchLimit;

TEST(EdgeRowBatchLimit, RefusedBatchIsHalvedUntilTheRowStandsAlone)
{
  RowBatchLimit limit;
  for (int tries = 0; tries < 10; ++tries) {
    limit.OnFailed(limit.Rows(), true);
  }
  EXPECT_EQ(limit.Rows(), 1U);
}

TEST(EdgeRowBatchLimit, SmallBatchThatIsRefusedIsHalvedToo)
{
  RowBatchLimit limit;
  limit.OnFailed(10, true);
  EXPECT_EQ(limit.Rows(), 5U);
}

TEST(EdgeRowBatchLimit, BusyStoreDoesNotMakeBatchesSmaller)
{
  RowBatchLimit limit;
  limit.OnFailed(RowBatchLimit::kMostRows, false);
  EXPECT_EQ(limit.Rows(), RowBatchLimit::kMostRows);
}

TEST(EdgeRowBatchLimit, RenewalIsSentAloneUntilProgressIsStoredAgain)
{
  RowBatchLimit limit;
  EXPECT_TRUE(limit.MayJoinRenewal());
  limit.OnFailed(3, false);
  EXPECT_FALSE(limit.MayJoinRenewal());
  limit.OnStored(0);
  EXPECT_FALSE(limit.MayJoinRenewal());
  limit.OnStored(3);
  EXPECT_TRUE(limit.MayJoinRenewal());
}

TEST(EdgeRowBatchLimit, FailedRenewalWithoutProgressChangesNothing)
{
  RowBatchLimit limit;
  limit.OnFailed(0, true);
  EXPECT_TRUE(limit.MayJoinRenewal());
  EXPECT_EQ(limit.Rows(), RowBatchLimit::kMostRows);
}

/// Rows of many large jobs exceeded the store's limit for one transaction.
TEST(EdgeRowBatchLimit, BatchIsBoundedInBytesAndHasAtLeastOneRow)
{
  PoolFixture fixture({ PoolWorker("w1") });
  fixture.ReportAllIdle();
  for (const char* job : { "a", "b", "c" }) {
    fixture.Add(PoolJob(job, kPatientQueue, { PoolStep(1) }));
    fixture.m_scheduler.CancelJob(fixture.m_now, JobId(job));
  }
  const auto first = fixture.m_scheduler.TakeUnsaved(10, 1);
  ASSERT_EQ(first.size(), 1U);
  const std::size_t each = first[0].m_row.size();
  EXPECT_EQ(fixture.m_scheduler.TakeUnsaved(10, 2 * each).size(), 2U);
  EXPECT_FALSE(fixture.m_scheduler.HasUnsaved());
}

} // namespace

} // namespace lacewing::fakes
