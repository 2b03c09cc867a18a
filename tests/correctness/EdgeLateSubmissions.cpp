/// Guards against a job that runs after its cancellation was confirmed, because
/// its submission was stored late.
#include "fakes/FrontCell.h"
#include "fakes/LeaderCell.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

const JobId kJob{ "00000000000000a1" };
constexpr const char* kJobPath = "/patient/00000000000000a1";
constexpr const char* kBody =
  R"({"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":256,)"
  R"("estimate_ms":900}]})";
constexpr Duration kDeadline = seconds(3);

/// A daemon of a cell whose leader confirms all that it is told.
class EdgeLateSubmissions : public testing::Test
{
protected:
  EdgeLateSubmissions()
  {
    m_started = m_cell.Start([](const auto&, const auto& aReply) {
      aReply(net::JsonResponse(200, "{}"));
    });
  }

  int Call(const std::string& aMethod, const std::string& aBody = {})
  {
    const auto response = m_cell.Call(aMethod, kJobPath, kDeadline, aBody);
    return response ? response->m_status : 0;
  }

  std::size_t JobRows() const { return m_cell.RowsOf(pool::kJobTable); }

  FrontCell m_cell;
  bool m_started = false;
};

/// A daemon was frozen with a submission that it had not read. The caller
/// cancelled at another daemon and was told that there was no such job. Then
/// the frozen one stored the job, and it ran.
TEST_F(EdgeLateSubmissions, SubmissionAfterItsCancellationIsNotStored)
{
  ASSERT_TRUE(m_started);
  EXPECT_EQ(Call("DELETE"), 410);
  EXPECT_EQ(JobRows(), 1U);
  EXPECT_EQ(Call("POST", kBody), 410);
  EXPECT_EQ(JobRows(), 1U);
}

/// Some stores do not name the rows that are in the way of a transaction.
TEST_F(EdgeLateSubmissions, ConflictWithoutRowsIsResolvedByARead)
{
  ASSERT_TRUE(m_started);
  EXPECT_EQ(Call("POST", kBody), 200);
  m_cell.OverrideWith(
    [](const net::HttpRequest& aRequest) -> std::optional<net::HttpResponse> {
      return aRequest.m_path == "/api/rows-tx"
               ? std::optional(net::JsonResponse(412, "{}"))
               : std::nullopt;
    });
  EXPECT_EQ(Call("POST", kBody), 200);
}

TEST_F(EdgeLateSubmissions, RepeatedSubmissionIsAccepted)
{
  ASSERT_TRUE(m_started);
  EXPECT_EQ(Call("POST", kBody), 200);
  EXPECT_EQ(Call("POST", kBody), 200);
  EXPECT_EQ(JobRows(), 1U);
}

/// The first location had no answer, and the cancellation lies in the second:
/// a job that is stored in the first all the same is cancelled by the leader.
TEST(EdgeLateSubmissionsAtTheLeader, JobStoredAfterItsCancellationIsCancelled)
{
  LeaderCell cell;
  cell.Put({ { pool::CancelKey(kJob, pool::JobLocation::Second), "{}" } });
  cell.Lead();
  ASSERT_TRUE(cell.RunUntil([&] { return cell.Leader().IsLoaded(); }));
  cell.PutJob(PoolJob(kJob.Value(), kPatientQueue, { PoolStep(1) }));
  ASSERT_TRUE(
    cell.RunUntil([&] { return cell.Leader().ViewOf(kJob).has_value(); }));
  EXPECT_EQ(cell.Leader().ViewOf(kJob)->m_state, pool::JobState::Cancelled);
}

/// Each cancellation of an unknown job leaves a row, which nobody deleted.
TEST(EdgeLateSubmissionsAtTheLeader, CancellationWithoutAJobExpires)
{
  LeaderCell cell;
  cell.SetStatusRetention(milliseconds(100));
  cell.Put({ { pool::CancelKey(kJob, pool::JobLocation::First), "{}" } });
  cell.Lead();
  EXPECT_TRUE(cell.RunUntil([&] { return cell.RowsOf(pool::kJobTable) == 0; }));
}

} // namespace

} // namespace lacewing::fakes
