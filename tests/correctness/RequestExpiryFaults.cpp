/// Guards against a table that only grows, against records that are deleted
/// while a repeat still needs them, and against a second job through a front
/// that meets the deletion of a submission.
#include "daemon/RequestExpiry.h"
#include "fakes/RowOwner.h"
#include "jobs/JobRecord.h"
#include "routing/AtMostOnce.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using daemon::RequestExpiry;
using std::chrono::hours;

const TeamId kTeam("t");
const JobId kJob("s.1");
constexpr Duration kStart = hours(24 * 40);
constexpr Duration kTickPeriod = seconds(30);
/// Operations after the first hour at which the faults are tried; a sweep has
/// a read for each prefix, one for job rows, and its deletes.
constexpr int kFaultSteps = 12;

std::string
Record(Duration aAge, bool aAnswered)
{
  routing::RequestRecord record;
  record.m_nonce = "front/1";
  record.m_writtenMicros = (kStart - aAge).count();
  if (aAnswered) {
    record.m_answer.emplace();
    record.m_answer->m_status = 200;
    record.m_answer->m_body = "done";
  }
  return routing::EncodeRecord(record);
}

jobs::JobRecord
MakeJobRecord()
{
  jobs::JobRecord record;
  record.m_id = kJob;
  record.m_team = kTeam;
  record.m_nonce = "front/1";
  return record;
}

class World
{
public:
  /// Without its checks, a delete of a submission does not look at the job.
  explicit World(bool aChecksJobRow = true)
  {
    m_table.KeepCopies(false);
    auto access = m_owner.Access();
    if (!aChecksJobRow) {
      access.m_write = [write = access.m_write](table::RecordWrite aWrite,
                                                auto aDone) {
        aWrite.m_also.clear();
        write(std::move(aWrite), std::move(aDone));
      };
    }
    m_queue.RunUntil(Time() + kStart);
    m_expiry = std::make_shared<RequestExpiry>(access, [](std::string_view) {});
  }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    table::Commit commit;
    commit.m_puts.push_back({ aKey, aValue });
    m_table.ApplyNow(commit);
  }
  void PutRecord(const std::string& aKey, Duration aAge, bool aAnswered)
  {
    Put(routing::RecordRow(kTeam, aKey), Record(aAge, aAnswered));
  }
  void PutSubmission(Duration aAge)
  {
    Put(SubmissionRow(),
        jobs::EncodeSubmission(MakeJobRecord(), (kStart - aAge).count()));
  }
  static std::string SubmissionRow()
  {
    return jobs::SubmissionRow(kTeam, "key");
  }
  bool Has(const std::string& aKey) const
  {
    return m_table.Table().AllRows().contains(aKey);
  }
  bool HasRecord(const std::string& aKey) const
  {
    return Has(routing::RecordRow(kTeam, aKey));
  }

  void Run(Duration aTime, Duration aPassPause = {})
  {
    daemon::SweepShare share;
    share.m_teams = { kTeam };
    share.m_pause = seconds(60);
    share.m_passPause = aPassPause;
    for (const Time end = m_queue.Now() + aTime; m_queue.Now() < end;) {
      m_expiry->Tick(share);
      m_queue.RunUntil(m_queue.Now() + kTickPeriod);
    }
  }

  /// A front writes the job's row if the submission is as it has read it.
  void WriteJobAsFront()
  {
    const auto& rows = m_table.Table().AllRows();
    const auto submission = rows.find(SubmissionRow());
    if (submission == rows.end()) {
      return;
    }
    table::Commit commit;
    commit.m_checks = { { submission->first, submission->second.m_version },
                        { jobs::JobRow(kJob), 0 } };
    commit.m_puts = { { jobs::JobRow(kJob),
                        jobs::EncodeRecord(MakeJobRecord()) } };
    m_table.ApplyNow(commit);
  }

  RowOwner& Owner() { return m_owner; }

private:
  EventQueue m_queue;
  ProcessSet m_processes{ m_queue };
  FaultyTable m_table{ m_queue, m_processes };
  RowOwner m_owner{ m_queue, m_processes, m_table, VmId("entry-1") };
  std::shared_ptr<RequestExpiry> m_expiry;
};

void
PutEveryKind(World& aWorld)
{
  aWorld.PutRecord("old", hours(25), true);
  aWorld.PutRecord("fresh", hours(2), true);
  aWorld.PutRecord("unanswered", hours(48), false);
  aWorld.PutRecord("abandoned", hours(31 * 24), false);
  aWorld.Put(routing::RecordRow(kTeam, "former"), R"({"nonce":"front/1"})");
  aWorld.PutSubmission(hours(25));
}

/// A job's row without its submission lets a repeat become a second job.
bool
MayRunTwice(const World& aWorld)
{
  return aWorld.Has(jobs::JobRow(kJob)) && !aWorld.Has(World::SubmissionRow());
}

/// How often a front that writes the job's row at one of the steps leaves a
/// job without its submission.
int
CountSecondJobs(bool aChecksJobRow)
{
  int count = 0;
  for (int step = 1; step <= kFaultSteps; ++step) {
    World world(aChecksJobRow);
    world.PutSubmission(hours(25));
    world.Run(hours(1));
    world.Owner().OnOvertaken([&] { world.WriteJobAsFront(); });
    world.Owner().Inject(RowFault::Overtaken,
                         world.Owner().Operations() + step);
    world.Run(hours(1));
    count += MayRunTwice(world) ? 1 : 0;
  }
  return count;
}

} // namespace

TEST(RequestExpiry, DeletesWhatIsOldAndNothingElse)
{
  World world;
  PutEveryKind(world);
  world.Run(std::chrono::minutes(59));
  EXPECT_TRUE(world.HasRecord("old")) << "seen for less than an hour";
  world.Run(hours(2));
  EXPECT_FALSE(world.HasRecord("old"));
  EXPECT_TRUE(world.HasRecord("fresh"));
  EXPECT_TRUE(world.HasRecord("unanswered"));
  EXPECT_FALSE(world.HasRecord("abandoned"));
  EXPECT_TRUE(world.HasRecord("former"));
  EXPECT_FALSE(world.Has(World::SubmissionRow()));
}

// Guards against a sweep that reads the whole table without a pause, also over
// the paid link between regions.
TEST(RequestExpiry, WaitsBetweenTwoPassesAndDeletesInTheNext)
{
  World world;
  PutEveryKind(world);
  world.Run(hours(1), daemon::kSweepPassPause);
  const int firstPass = world.Owner().Operations();
  world.Run(hours(4), daemon::kSweepPassPause);
  EXPECT_EQ(world.Owner().Operations(), firstPass);
  world.Run(hours(2), daemon::kSweepPassPause);
  EXPECT_FALSE(world.HasRecord("old"));
  EXPECT_FALSE(world.Has(World::SubmissionRow()));
  EXPECT_TRUE(world.HasRecord("fresh"));
}

TEST(RequestExpiry, KeepsTheSubmissionOfAJob)
{
  World world;
  world.PutSubmission(hours(25));
  world.WriteJobAsFront();
  world.Run(hours(3));
  EXPECT_TRUE(world.Has(World::SubmissionRow()));
}

// A clock that is a year ahead may shorten the retention, but not below the
// hour in which a front can still work on the record.
TEST(RequestExpiry, WrongClockDeletesNothingWithinAnHour)
{
  World world;
  world.Owner().SetClock(hours(24 * 365));
  world.Run(hours(2));
  world.PutRecord("new", -hours(2), false);
  world.Run(std::chrono::minutes(59));
  EXPECT_TRUE(world.HasRecord("new"));
  world.Run(hours(2));
  EXPECT_FALSE(world.HasRecord("new")) << "the clock had no effect";
}

TEST(RequestExpiry, EveryFaultAtEveryStep)
{
  for (const RowFault fault : { RowFault::AnswerLost,
                                RowFault::NotApplied,
                                RowFault::Lost,
                                RowFault::Slow,
                                RowFault::Down }) {
    for (int step = 1; step <= kFaultSteps; ++step) {
      SCOPED_TRACE(std::to_string(static_cast<int>(fault)) + " at " +
                   std::to_string(step));
      World world;
      PutEveryKind(world);
      world.Run(hours(1));
      world.Owner().Inject(fault, world.Owner().Operations() + step);
      world.Run(hours(2));
      EXPECT_GE(world.Owner().Operations(), step);
      EXPECT_FALSE(world.HasRecord("old"));
      EXPECT_TRUE(world.HasRecord("fresh"));
      EXPECT_TRUE(world.HasRecord("unanswered"));
      EXPECT_FALSE(world.Has(World::SubmissionRow()));
    }
  }
}

TEST(RequestExpiry, FrontAtEveryStepNeverLosesTheSubmissionOfItsJob)
{
  EXPECT_EQ(CountSecondJobs(true), 0);
}

TEST(RequestExpiry, TheTestNoticesAMissingCheckOfTheJobsRow)
{
  EXPECT_GT(CountSecondJobs(false), 0);
}

} // namespace lacewing::fakes
