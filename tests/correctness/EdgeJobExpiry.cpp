/// Guards against transactions that span several parts of a table, and against
/// rows that remain when ended jobs are deleted.
#include "edge/JobExpiry.h"

#include <gtest/gtest.h>

#include <set>

namespace lacewing::edge {

namespace {

TEST(EdgeJobExpiry, EachTransactionLiesInOnePartAndAllRowsAreDeleted)
{
  constexpr std::size_t kMaxDeletes = 10;
  std::vector<JobId> jobs;
  std::set<std::string> expected;
  for (int number = 0; number < 500; ++number) {
    jobs.emplace_back("job" + std::to_string(number));
    for (const auto location :
         { pool::JobLocation::First, pool::JobLocation::Second }) {
      expected.insert(pool::JobKey(jobs.back(), location));
      expected.insert(pool::CancelKey(jobs.back(), location));
    }
  }
  std::set<std::string> deleted;
  for (const ExpiryBatch& batch : PlanExpiry(jobs, kMaxDeletes)) {
    EXPECT_LE(batch.m_commit.m_deletes.size(), kMaxDeletes);
    std::set<std::string> parts;
    for (const std::string& key : batch.m_commit.m_deletes) {
      parts.insert(platform::SplitKey(key).m_part);
      deleted.insert(key);
    }
    EXPECT_EQ(parts.size(), 1U);
    EXPECT_EQ(batch.m_jobs.size() * 2, batch.m_commit.m_deletes.size());
  }
  EXPECT_EQ(deleted, expected);
}

} // namespace

} // namespace lacewing::edge
