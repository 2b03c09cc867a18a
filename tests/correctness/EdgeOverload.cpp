/// Guards against jobs that are accepted although the leader does not keep up,
/// and against refusals that are not true. Load pattern: the leader's processor
/// is the bottleneck, so that it admits only a share of the new jobs.
#include "fakes/FrontCell.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace lacewing::fakes {

namespace {

const JobId kJob{ "00000000000000a1" };
constexpr const char* kJobPath = "/patient/00000000000000a1";
constexpr const char* kBody =
  R"({"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":256,)"
  R"("estimate_ms":900}]})";
constexpr Duration kDeadline = seconds(3);

/// A daemon of a cell whose leader admits no new jobs.
class EdgeOverload : public testing::Test
{
protected:
  EdgeOverload()
  {
    m_started = m_cell.Start([this](const auto& aRequest, const auto& aReply) {
      m_statusRequests += aRequest.m_path == edge::kStatusPath ? 1 : 0;
      edge::LeaderStatus status;
      status.m_leads = true;
      status.m_term = 1;
      status.m_incarnation = FrontCell::kLeaderIncarnation;
      status.m_admittedShare = 0;
      aReply(net::JsonResponse(200, edge::EncodeStatus(status)));
    });
    // The response to the first one has been read when the second one comes.
    m_started &= m_cell.RunUntil([this] { return m_statusRequests >= 2; });
  }

  std::optional<net::HttpResponse> Submit()
  {
    return m_cell.Call("POST", kJobPath, kDeadline, kBody);
  }

  FrontCell m_cell;
  int m_statusRequests = 0;
  bool m_started = false;
};

TEST_F(EdgeOverload, NewJobIsRefusedAtOnceAndNotStored)
{
  ASSERT_TRUE(m_started);
  const auto response = Submit();
  ASSERT_TRUE(response.has_value());
  EXPECT_EQ(response->m_status, 503);
  EXPECT_NE(response->m_body.find("not_run"), std::string::npos);
  EXPECT_GE(std::stoi(response->m_headers.at("Retry-After")), 1);
  EXPECT_EQ(m_cell.RowsOf(pool::kJobTable), 0U);
}

/// The answer to an earlier attempt was lost; the job runs.
TEST_F(EdgeOverload, JobThatIsStoredIsNotRefused)
{
  ASSERT_TRUE(m_started);
  for (const auto location :
       { pool::JobLocation::First, pool::JobLocation::Second }) {
    pool::Job job =
      PoolJob(kJob.Value(), pool::QueueId("patient"), { PoolStep(1) });
    m_cell.PutJob(job, location);
    const auto response = Submit();
    ASSERT_TRUE(response.has_value());
    EXPECT_EQ(response->m_status, 200);
  }
}

/// Whether an earlier attempt was stored is not known.
TEST_F(EdgeOverload, JobIsNotRefusedAsNotRunWhileTheStoreCannotBeRead)
{
  ASSERT_TRUE(m_started);
  m_cell.OverrideWith(
    [](const net::HttpRequest& aRequest) -> std::optional<net::HttpResponse> {
      const bool readsJobs =
        aRequest.m_path == "/api/rows-get" &&
        aRequest.Query("table").find(pool::kJobTable) != std::string::npos;
      return readsJobs ? std::optional(net::JsonResponse(503, "{}"))
                       : std::nullopt;
    });
  const auto response = Submit();
  ASSERT_TRUE(response.has_value());
  EXPECT_EQ(response->m_status, 200);
  EXPECT_EQ(m_cell.RowsOf(pool::kJobTable), 1U);
}

/// Guards against daemons that accept everything once they no longer hear from
/// the leader, although nobody starts anything.
TEST(EdgeSilentLeader, DaemonThatHearsNothingRefusesMostNewJobs)
{
  FrontCell cell;
  std::vector<net::HttpReply> held; // requests of the status without a response
  int answered = 0;
  const bool started =
    cell.Start([&](const auto& aRequest, const auto& aReply) {
      if (aRequest.m_path != edge::kStatusPath || answered >= 2) {
        held.push_back(aReply);
        return;
      }
      ++answered;
      edge::LeaderStatus status;
      status.m_leads = true;
      status.m_term = 1;
      status.m_incarnation = FrontCell::kLeaderIncarnation;
      aReply(net::JsonResponse(200, edge::EncodeStatus(status)));
    });
  ASSERT_TRUE(started);
  ASSERT_TRUE(cell.RunUntil([&] { return answered >= 2; }));
  // It renews its row all the while, so that nobody takes over.
  constexpr int kRenewals = 12;
  constexpr Duration kRenewPeriod = milliseconds(400);
  for (int renewal = 0; renewal < kRenewals; ++renewal) {
    cell.RenewLeader();
    cell.RunUntil([] { return false; }, kRenewPeriod);
  }
  constexpr int kJobs = 40;
  int accepted = 0;
  for (int number = 0; number < kJobs; ++number) {
    const std::string path =
      "/patient/00000000000000" + std::to_string(10 + number);
    cell.RenewLeader();
    const auto response = cell.Call("POST", path, kDeadline, kBody);
    ASSERT_TRUE(response.has_value());
    accepted += response->m_status == 200 ? 1 : 0;
  }
  EXPECT_LT(accepted, kJobs / 2);
}

} // namespace

} // namespace lacewing::fakes
