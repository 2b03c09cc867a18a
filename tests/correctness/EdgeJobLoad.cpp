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

} // namespace

} // namespace lacewing::fakes
