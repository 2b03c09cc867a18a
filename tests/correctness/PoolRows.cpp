/// Guards against fields of jobs, progress and leaders that are lost between
/// writing a row and reading it, and against rows in the wrong part.
#include "core/TryDecode.h"
#include "fakes/PoolSamples.h"
#include "pool/JobRows.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

TEST(PoolRows, JobSurvivesARoundTrip)
{
  pool::StepSpec step = PoolStep(3, 2500);
  step.m_each.m_accelerators = 1;
  step.m_gang = true;
  step.m_sameRack = true;
  step.m_checkpointing = true;
  step.m_requiredLabel = "a";
  step.m_preferredRack = "r1-2";
  step.m_maxPerWorker = 2;
  pool::StepSpec next = PoolStep(1);
  next.m_after = { 0 };
  pool::Job job = PoolJob("5c0e7a21d94b36f8", kPolicyQueue, { step, next });
  job.m_acceptedUnixMs = 1'700'000'000'123;
  const auto decoded = TryDecode<pool::Job>(
    [&] { return pool::DecodeJob(job.m_id, pool::EncodeJob(job)); });
  EXPECT_EQ(decoded, job);
}

TEST(PoolRows, ProgressSurvivesARoundTrip)
{
  pool::JobProgress progress;
  progress.m_state = pool::JobState::Running;
  progress.m_tasks[{ 0, 1 }] = { true, {}, "" };
  progress.m_tasks[{ 1, 0 }] = { false, { 1, 1001 }, "saved" };
  const auto decoded = TryDecode<pool::JobProgress>(
    [&] { return pool::DecodeProgress(pool::EncodeProgress(progress)); });
  EXPECT_EQ(decoded, progress);
}

TEST(PoolRows, LeaderSurvivesARoundTrip)
{
  const pool::LeaderRow row{ "vm",
                             "127.0.0.1:1",
                             3,
                             9,
                             { pool::WorkerId("w1"), pool::WorkerId("w2") },
                             { { pool::WorkerId("w3"),
                                 { { JobId("job"), 1, 2 } } } },
                             true,
                             milliseconds(1500) };
  const auto decoded = TryDecode<pool::LeaderRow>(
    [&] { return pool::DecodeLeader(pool::EncodeLeader(row)); });
  EXPECT_EQ(decoded, row);
}

TEST(PoolRows, MalformedRowsAreErrorsAndNotEmptyJobs)
{
  for (const char* row : { "", "{", "{}", "[]", R"({"queue":1})" }) {
    EXPECT_FALSE(TryDecode<pool::Job>([&] {
                   return pool::DecodeJob(JobId("x"), row);
                 }).has_value())
      << row;
    EXPECT_FALSE(TryDecode<pool::JobProgress>([&] {
                   return pool::DecodeProgress(row);
                 }).has_value())
      << row;
    EXPECT_FALSE(TryDecode<pool::LeaderRow>([&] {
                   return pool::DecodeLeader(row);
                 }).has_value())
      << row;
  }
}

TEST(PoolRows, TwoLocationsOfAJobLieInDifferentParts)
{
  using pool::JobLocation;
  for (int number = 0; number < 16; ++number) {
    const JobId job("job" + std::to_string(number));
    EXPECT_NE(pool::JobPart(job, JobLocation::First),
              pool::JobPart(job, JobLocation::Second));
    const auto key =
      pool::ParseJobRowKey(pool::CancelKey(job, JobLocation::Second));
    EXPECT_EQ(key.m_job, job);
    EXPECT_TRUE(key.m_cancellation);
    EXPECT_FALSE(pool::ParseJobRowKey(pool::JobKey(job, JobLocation::First))
                   .m_cancellation);
  }
}

/// Rows of earlier versions hold no time, and a row that cannot be read must
/// not undo a confirmed cancellation.
TEST(PoolRows, CancellationWithoutATimeIsStillACancellation)
{
  const pool::Cancellation written{ 1'764'900'000'123 };
  EXPECT_EQ(pool::DecodeCancellation(pool::EncodeCancellation(written))
              .m_requestedUnixMs,
            written.m_requestedUnixMs);
  for (const char* row : { "{}", "", "[1]", R"({"requested_ms":"x"})" }) {
    EXPECT_EQ(pool::DecodeCancellation(row).m_requestedUnixMs, 0) << row;
  }
}

} // namespace

} // namespace lacewing::fakes
