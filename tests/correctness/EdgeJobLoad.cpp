/// Guards against a leader that schedules jobs before it has read what is
/// stored about them.
#include "fakes/LeaderCell.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

pool::JobProgress
Completed()
{
  pool::JobProgress progress;
  progress.m_state = pool::JobState::Completed;
  return progress;
}

/// The workers were read again when the store had dropped its history, and the
/// end of this read was counted as that of the progress. The completed job was
/// added as a new one and ran again.
TEST(EdgeJobLoad, WorkersReadAgainDoNotEndTheLoadBeforeTheProgressIsRead)
{
  LeaderCell cell;
  const pool::Job job = PoolJob("job", kPatientQueue, { PoolStep(2) });
  cell.PutJob(job);
  cell.PutProgress(job.m_id, Completed());
  cell.Hold("rows-get?table=progress");
  cell.Lead();
  ASSERT_TRUE(cell.RunUntil(
    [&] { return cell.Requests("rows-get?table=servers") == 1; }));
  cell.ForgetHistory();
  ASSERT_TRUE(cell.RunUntil(
    [&] { return cell.Requests("rows-get?table=servers") == 2; }));
  // The watch of the workers goes on once they have been read again.
  ASSERT_TRUE(cell.RunUntil(
    [&] { return cell.Requests("rows-feed?table=servers") >= 2; }));
  EXPECT_FALSE(cell.Leader().IsLoaded());
  cell.Release();
  ASSERT_TRUE(cell.RunUntil([&] { return cell.Leader().IsLoaded(); }));
  const auto view = cell.Leader().ViewOf(job.m_id);
  ASSERT_TRUE(view);
  EXPECT_EQ(view->m_state, pool::JobState::Completed);
}

/// A store that answered with an older state than that of the claim would hide
/// progress that the previous leader has stored.
TEST(EdgeJobLoad, ReadsOlderThanTheClaimAreRepeated)
{
  LeaderCell cell;
  const pool::Job job = PoolJob("job", kPatientQueue, { PoolStep(1) });
  cell.PutJob(job);
  cell.PutProgress(job.m_id, Completed());
  cell.ServeOldReads(true);
  cell.Lead();
  ASSERT_TRUE(cell.RunUntil(
    [&] { return cell.Requests("rows-get?table=progress") >= 2; }));
  EXPECT_FALSE(cell.Leader().IsLoaded());
  cell.ServeOldReads(false);
  ASSERT_TRUE(cell.RunUntil([&] { return cell.Leader().IsLoaded(); }));
  const auto view = cell.Leader().ViewOf(job.m_id);
  ASSERT_TRUE(view);
  EXPECT_EQ(view->m_state, pool::JobState::Completed);
}

/// A repeated submission and a read after a truncated history added a job that
/// the leader did not know without its progress: done tasks ran again.
class EdgeJobEntrance : public testing::Test
{
protected:
  EdgeJobEntrance()
  {
    m_cell.Lead();
    m_led = m_cell.RunUntil([this] { return m_cell.Leader().IsLoaded(); });
  }

  bool IsShown(const JobId& aJob)
  {
    return m_cell.RunUntil(
      [&] { return m_cell.Leader().ViewOf(aJob).has_value(); });
  }

  /// The watch would bring the job first, as younger than the claim.
  void HideJobsFromWatch()
  {
    m_cell.OverrideWith(
      [](const net::HttpRequest& aRequest) -> std::optional<net::HttpResponse> {
        if (aRequest.m_path == "/api/rows-feed" &&
            aRequest.Query("table") == "jobs") {
          return net::JsonResponse(200, R"({"rows":[],"ver":1})");
        }
        return std::nullopt;
      });
  }

  LeaderCell m_cell;
  bool m_led = false;
  const pool::Job m_job = PoolJob("job", kPatientQueue, { PoolStep(1) });
};

TEST_F(EdgeJobEntrance, RepeatedSubmissionBringsTheJobWithItsProgress)
{
  ASSERT_TRUE(m_led);
  HideJobsFromWatch();
  m_cell.PutProgress(m_job.m_id, Completed());
  m_cell.PutJob(m_job, pool::JobLocation::Second);
  m_cell.Leader().AddJob(m_job, 0, edge::JobSource::Front);
  EXPECT_FALSE(m_cell.Leader().ViewOf(m_job.m_id));
  ASSERT_TRUE(IsShown(m_job.m_id));
  EXPECT_EQ(m_cell.Leader().ViewOf(m_job.m_id)->m_state,
            pool::JobState::Completed);
}

TEST_F(EdgeJobEntrance, UnansweredReadOfAJobIsRepeated)
{
  ASSERT_TRUE(m_led);
  HideJobsFromWatch();
  m_cell.PutProgress(m_job.m_id, Completed());
  m_cell.PutJob(m_job);
  m_cell.Hold("table=progress");
  m_cell.Leader().AddJob(m_job, 0, edge::JobSource::Front);
  const std::size_t before = m_cell.Requests("rows-get?table=progress");
  ASSERT_TRUE(m_cell.RunUntil(
    [&] { return m_cell.Requests("rows-get?table=progress") >= before + 2; }));
  m_cell.Release();
  ASSERT_TRUE(IsShown(m_job.m_id));
  EXPECT_EQ(m_cell.Leader().ViewOf(m_job.m_id)->m_state,
            pool::JobState::Completed);
}

/// No earlier leader can have stored progress of a job that is younger than the
/// claim, so a new job does not wait for the store.
TEST_F(EdgeJobEntrance, NewJobIsKnownWithoutARead)
{
  ASSERT_TRUE(m_led);
  m_cell.PutJob(m_job);
  const std::size_t before = m_cell.Requests("rows-get?table=progress");
  m_cell.Leader().AddJob(m_job, m_cell.Version(), edge::JobSource::Front);
  EXPECT_EQ(m_cell.Requests("rows-get?table=progress"), before);
  const auto view = m_cell.Leader().ViewOf(m_job.m_id);
  ASSERT_TRUE(view);
  EXPECT_EQ(view->m_state, pool::JobState::Pending);
}

TEST_F(EdgeJobEntrance, ReadAfterATruncatedHistoryBringsJobsWithTheirProgress)
{
  ASSERT_TRUE(m_led);
  m_cell.PutProgress(m_job.m_id, Completed());
  m_cell.PutJob(m_job);
  m_cell.ForgetHistory();
  ASSERT_TRUE(IsShown(m_job.m_id));
  EXPECT_EQ(m_cell.Leader().ViewOf(m_job.m_id)->m_state,
            pool::JobState::Completed);
}

/// A cancellation that came while its job was being read was lost, and the job
/// ran although its caller had been told that it was cancelled.
TEST_F(EdgeJobEntrance, CancellationDuringTheReadOfItsJobIsApplied)
{
  ASSERT_TRUE(m_led);
  m_cell.Hold("rows-");
  m_cell.PutJob(m_job);
  m_cell.Leader().AddJob(m_job, 0, edge::JobSource::Front);
  m_cell.Leader().CancelJob(m_job.m_id, {}, edge::JobSource::Front);
  m_cell.Release();
  ASSERT_TRUE(IsShown(m_job.m_id));
  EXPECT_EQ(m_cell.Leader().ViewOf(m_job.m_id)->m_state,
            pool::JobState::Cancelled);
}

} // namespace

} // namespace lacewing::fakes
