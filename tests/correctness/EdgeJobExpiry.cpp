/// Guards against transactions that span several parts of a table, and against
/// rows that remain when ended jobs are deleted.
#include "edge/JobExpiry.h"
#include "fakes/StoreCell.h"

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

/// A job whose two deletions had both failed was retried twice. Two successes
/// at one location then released its progress while a job row was left at the
/// other, and the job would have run again.
TEST(EdgeJobExpiry, ProgressIsKeptUntilTheRowsAtBothLocationsAreDeleted)
{
  fakes::StoreCell cell;
  const JobId job("0123456789abcdef");
  const auto expiry = std::make_shared<JobExpiry>(cell.Store());
  std::size_t writes = 0;
  const auto expire = [&](const std::vector<JobId>& aJobs,
                          const std::string& aRefusedPart) {
    const std::size_t before = writes;
    cell.OverrideWith([&, aRefusedPart](const net::HttpRequest& aRequest)
                        -> std::optional<net::HttpResponse> {
      ++writes;
      const std::string part = "\"part\":\"" + aRefusedPart;
      const bool refused = aRequest.m_body.find(part) != std::string::npos;
      return refused ? std::optional(net::JsonResponse(503, "{}"))
                     : std::nullopt;
    });
    expiry->Expire(aJobs);
    const bool sent = cell.RunUntil([&] { return writes >= before + 2; });
    cell.RunUntil([] { return false; }, milliseconds(50));
    return sent;
  };
  ASSERT_TRUE(expire({ job }, ""));
  ASSERT_TRUE(expire({}, pool::JobPart(job, pool::JobLocation::Second) + "\""));
  EXPECT_FALSE(expiry->HasProgressKeys());
  ASSERT_TRUE(expire({}, "none"));
  EXPECT_EQ(expiry->TakeProgressKeys(10),
            std::vector{ pool::ProgressKey(job) });
}

} // namespace

} // namespace lacewing::edge
