/// Guards against a table that only grows, against the loss of rows that are
/// still needed, and against a second run of a job through a repeat that meets
/// the deletion of its rows.
#include "daemon/JobExpiry.h"
#include "fakes/RowOwner.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using daemon::JobExpiry;
using daemon::JobStore;
using jobs::JobEnding;
using std::chrono::hours;

const SliceId kSlice("s");

jobs::JobRecord
MakeRecord(int aNumber, JobEnding aEnding, Time aEnded)
{
  jobs::JobRecord record;
  record.m_id = JobId("s." + std::to_string(aNumber));
  record.m_team = TeamId("t");
  record.m_spec.m_name = "job";
  record.m_ending = aEnding;
  record.m_endedMicros = aEnded.time_since_epoch().count();
  record.m_submission = jobs::SubmissionRow(TeamId("t"), record.m_id.Value());
  record.m_nonce = record.m_id.Value();
  return record;
}

struct World
{
  World() { m_table.KeepCopies(false); }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    table::Commit commit;
    commit.m_puts.push_back({ aKey, aValue });
    m_table.ApplyNow(commit);
  }

  void PutJob(const jobs::JobRecord& aRecord)
  {
    Put(jobs::JobRow(aRecord.m_id), jobs::EncodeRecord(aRecord));
    if (aRecord.m_submission && !aRecord.m_submission->empty()) {
      Put(*aRecord.m_submission, jobs::EncodeSubmission(aRecord, 0));
    }
  }

  bool Has(const std::string& aKey) const
  {
    return m_table.Table().AllRows().contains(aKey);
  }

  /// Loads and sweeps every second for the time.
  void Run(Duration aTime)
  {
    if (!m_isLoaded) {
      m_isLoaded = true;
      m_store->Load([](const jobs::JobRecord&) {}, [](bool) {});
    }
    const Time end = m_queue.Now() + aTime;
    while (m_queue.Now() < end) {
      m_queue.RunFor(seconds(1));
      m_expiry->Tick();
    }
  }

  EventQueue m_queue;
  ProcessSet m_processes{ m_queue };
  FaultyTable m_table{ m_queue, m_processes };
  RowOwner m_rows{ m_queue, m_processes, m_table, VmId("a") };
  std::shared_ptr<JobStore> m_store =
    std::make_shared<JobStore>(m_rows.Access(), kSlice, "a/1", 1);
  bool m_mayDelete = true;
  std::shared_ptr<JobExpiry> m_expiry =
    std::make_shared<JobExpiry>(m_rows.Access(), m_store, [this](const JobId&) {
      return m_mayDelete;
    });
  bool m_isLoaded = false;
};

/// A time of day well after 1970.
const Time kStart = Time() + hours(1000);

} // namespace

TEST(JobExpiry, DeletesBothRowsAfterTheRetention)
{
  World world;
  world.m_queue.RunUntil(kStart);
  const auto old = MakeRecord(1, JobEnding::Succeeded, kStart - hours(30));
  const auto recent = MakeRecord(2, JobEnding::Succeeded, kStart - hours(10));
  world.PutJob(old);
  world.PutJob(recent);
  world.Run(hours(1) + seconds(30));
  EXPECT_FALSE(world.Has(jobs::JobRow(old.m_id)));
  EXPECT_FALSE(world.Has(*old.m_submission));
  EXPECT_EQ(world.m_store->Find(old.m_id), nullptr);
  EXPECT_TRUE(world.Has(jobs::JobRow(recent.m_id)));
  EXPECT_TRUE(world.Has(*recent.m_submission));
}

TEST(JobExpiry, KeepsWhatIsStillNeeded)
{
  World world;
  world.m_queue.RunUntil(kStart);
  const Time ended = kStart - hours(100);
  auto open = MakeRecord(1, JobEnding::Open, Time());
  auto undecided = MakeRecord(2, JobEnding::MayHaveRun, ended);
  auto former = MakeRecord(3, JobEnding::Succeeded, ended);
  former.m_submission = std::nullopt;
  for (const auto& record : { open, undecided, former }) {
    world.PutJob(record);
  }
  auto held = MakeRecord(4, JobEnding::Succeeded, ended);
  world.m_mayDelete = false;
  world.PutJob(held);
  world.Run(hours(30));
  for (const auto& record : { open, undecided, former, held }) {
    EXPECT_TRUE(world.Has(jobs::JobRow(record.m_id))) << record.m_id;
  }
}

/// A clock that is days ahead must not shorten the retention to nothing, and
/// one in the past must not prolong it without end.
TEST(JobExpiry, DoesNotRelyOnTheTimeOfDayAlone)
{
  World world;
  world.m_queue.RunUntil(kStart);
  world.m_rows.SetClock(hours(500));
  const auto job = MakeRecord(1, JobEnding::Succeeded, kStart);
  const auto future = MakeRecord(2, JobEnding::Succeeded, kStart + hours(5000));
  world.PutJob(job);
  world.PutJob(future);
  world.Run(hours(1) - seconds(30));
  EXPECT_TRUE(world.Has(jobs::JobRow(job.m_id)));
  world.Run(hours(22));
  EXPECT_TRUE(world.Has(jobs::JobRow(future.m_id)));
  world.Run(hours(2));
  EXPECT_FALSE(world.Has(jobs::JobRow(future.m_id)));
}

TEST(JobExpiry, KeepsTheSubmissionOfALaterJobWithTheSameKey)
{
  World world;
  world.m_queue.RunUntil(kStart);
  const auto old = MakeRecord(1, JobEnding::Failed, kStart - hours(30));
  auto later = MakeRecord(2, JobEnding::Open, Time());
  later.m_submission = old.m_submission;
  world.PutJob(old);
  world.PutJob(later);
  world.Run(hours(1) + seconds(30));
  EXPECT_FALSE(world.Has(jobs::JobRow(old.m_id)));
  EXPECT_TRUE(world.Has(*old.m_submission));
}

/// A repeat writes the job's row when it finds the submission alone. It must
/// never find that state while the rows are deleted, whatever the table does.
TEST(JobExpiry, TheJobsRowOutlivesItsSubmissionUnderEachFault)
{
  for (const RowFault fault : { RowFault::None,
                                RowFault::AnswerLost,
                                RowFault::NotApplied,
                                RowFault::Lost,
                                RowFault::Slow,
                                RowFault::Down }) {
    for (int operation = 2; operation <= 6; ++operation) {
      SCOPED_TRACE(std::to_string(static_cast<int>(fault)) + " at operation " +
                   std::to_string(operation));
      World world;
      world.m_queue.RunUntil(kStart);
      const auto job = MakeRecord(1, JobEnding::Succeeded, kStart - hours(30));
      world.PutJob(job);
      world.m_rows.Inject(fault, operation);
      world.m_table.OnApplied([&](const table::Commit&) {
        EXPECT_TRUE(world.Has(jobs::JobRow(job.m_id)) ||
                    !world.Has(*job.m_submission));
      });
      world.Run(hours(1) + seconds(90));
      EXPECT_FALSE(world.Has(jobs::JobRow(job.m_id)));
      EXPECT_FALSE(world.Has(*job.m_submission));
    }
  }
}

TEST(JobExpiry, DoesNotDeleteARowThatHasChanged)
{
  World world;
  world.m_queue.RunUntil(kStart);
  const auto job = MakeRecord(1, JobEnding::Succeeded, kStart - hours(30));
  world.PutJob(job);
  // Load and the read of the rows come first; the third operation deletes.
  world.m_rows.Inject(RowFault::Overtaken, 3);
  world.m_rows.OnOvertaken([&] {
    world.Put(
      *job.m_submission,
      jobs::EncodeSubmission(MakeRecord(2, JobEnding::Open, Time()), 0));
  });
  world.Run(hours(1) + seconds(6));
  EXPECT_TRUE(world.Has(*job.m_submission));
  EXPECT_TRUE(world.Has(jobs::JobRow(job.m_id)))
    << "deleted before the delete of its submission was known";
}

TEST(JobExpiry, KeepsTheRateOfDeletes)
{
  World world;
  world.m_queue.RunUntil(kStart);
  constexpr int kJobs = 200;
  for (int number = 0; number < kJobs; ++number) {
    world.PutJob(MakeRecord(number, JobEnding::Succeeded, kStart - hours(30)));
  }
  const auto rows = world.m_table.Table().AllRows().size();
  world.Run(hours(1));
  const auto before = world.m_table.Table().Commits();
  world.Run(seconds(20));
  const auto left = world.m_table.Table().AllRows().size();
  constexpr std::size_t kSweeps = 5;
  EXPECT_LT(left, rows);
  EXPECT_GE(left + kSweeps * 2 * daemon::kSweepBatch, rows);
  EXPECT_LE(world.m_table.Table().Commits() - before, kSweeps * 2);
  world.Run(seconds(60));
  EXPECT_TRUE(world.m_table.Table().AllRows().empty());
}

} // namespace lacewing::fakes
