/// Guards against room that is kept for a gang without need, and against kept
/// room that others use up.
#include "fakes/PoolSamples.h"
#include "pool/GangReservation.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using pool::GangReservation;
using pool::WorkerRoom;

constexpr Resources kMember{ 4000, 1000, 0 };
constexpr Resources kSmall{ 1000, 100, 0 };
constexpr Time kSoon = kStart + seconds(4);
constexpr Time kLater = kStart + seconds(16);
constexpr Time kMuchLater = kStart + seconds(30);

/// A worker of eight cores with so many free ones; the others become free at
/// that time.
WorkerRoom
Room(pool::WorkerSlot aWorker, std::int64_t aFreeCores, Time aFullAt)
{
  const Resources free{ aFreeCores * 1000, 16'000, 0 };
  WorkerRoom room{ aWorker, {}, free, 2, {} };
  if (aFreeCores < 8) {
    room.m_releases = { { aFullAt, { (8 - aFreeCores) * 1000, 0, 0 } } };
  }
  return room;
}

/// Guards against idle workers on which nothing runs until a gang starts.
TEST(PoolGangReservation, TaskThatEndsBeforeTheGangStartsMayUseItsRoom)
{
  GangReservation reservation;
  const auto start = reservation.Reserve(
    kStart, kMember, 4, { Room(0, 8, kStart), Room(1, 7, kLater) });
  EXPECT_EQ(start, kLater);
  EXPECT_TRUE(reservation.MayTake(0, kMember, kSoon));
  EXPECT_TRUE(reservation.MayTake(1, kMember, kLater));
  EXPECT_FALSE(reservation.MayTake(0, kSmall, kMuchLater));
  EXPECT_FALSE(reservation.MayTake(1, kSmall, kMuchLater));
}

/// Guards against whole workers that are kept for a member that needs a part.
TEST(PoolGangReservation, RoomBesideTheMembersIsFree)
{
  GangReservation reservation;
  ASSERT_EQ(reservation.Reserve(
              kStart, kMember, 3, { Room(0, 3, kSoon), Room(1, 3, kLater) }),
            kLater);
  EXPECT_FALSE(reservation.MayTake(0, kSmall, kMuchLater));
  EXPECT_EQ(reservation.MostTasks(1, kSmall, kMuchLater, 9), 4U);
  reservation.OnStarted(1, kMember, kMuchLater);
  EXPECT_FALSE(reservation.MayTake(1, kSmall, kMuchLater));
  EXPECT_TRUE(reservation.MayTake(1, kSmall, kLater));
}

/// Guards against workers that are kept though the gang does not need them.
TEST(PoolGangReservation, WorkersThatBecomeFreeFirstAreKept)
{
  GangReservation reservation;
  const auto start = reservation.Reserve(
    kStart, kMember, 2, { Room(0, 0, kMuchLater), Room(1, 0, kSoon) });
  EXPECT_EQ(start, kSoon);
  EXPECT_FALSE(reservation.IsKept(0));
  EXPECT_TRUE(reservation.IsKept(1));
}

/// Guards against a second gang that takes the room of the first one.
TEST(PoolGangReservation, TwoGangsKeepDifferentRoom)
{
  GangReservation reservation;
  const std::vector<WorkerRoom> workers{ Room(0, 0, kSoon),
                                         Room(1, 0, kLater) };
  EXPECT_EQ(reservation.Reserve(kStart, kMember, 1, workers), kSoon);
  EXPECT_EQ(reservation.Reserve(kStart, kMember, 2, workers), kLater);
  EXPECT_EQ(reservation.MostTasks(0, kMember, kMuchLater, 2), 1U);
  EXPECT_FALSE(reservation.MayTake(1, kSmall, kMuchLater));
}

/// Guards against room that is kept for a gang that can't start.
TEST(PoolGangReservation, NothingIsKeptForAGangThatNeverFits)
{
  GangReservation reservation;
  EXPECT_EQ(reservation.Reserve(kStart, kMember, 3, { Room(0, 0, kSoon) }),
            std::nullopt);
  std::vector<WorkerRoom> racks{ Room(0, 0, kSoon), Room(1, 0, kSoon) };
  racks[1].m_rack = "other";
  EXPECT_EQ(reservation.Reserve(kStart, kMember, 3, racks), std::nullopt);
  EXPECT_TRUE(reservation.IsEmpty());
}

/// Guards against members that are spread over racks.
TEST(PoolGangReservation, AllMembersFitInOneRack)
{
  GangReservation reservation;
  std::vector<WorkerRoom> racks{ Room(0, 0, kSoon),
                                 Room(1, 0, kLater),
                                 Room(2, 0, kLater) };
  racks[0].m_rack = "other";
  EXPECT_EQ(reservation.Reserve(kStart, kMember, 4, racks), kLater);
  EXPECT_FALSE(reservation.IsKept(0));
}

pool::StepSpec
Step(std::uint32_t aTasks, std::int64_t aMillicores, Duration aEstimate)
{
  pool::StepSpec step = PoolStep(aTasks, aMillicores);
  step.m_estimate = aEstimate;
  return step;
}

/// A pool on which a gang that needs every worker waits for one task, with runs
/// that take as long as estimated.
class PoolWaitingGang : public testing::Test
{
protected:
  PoolWaitingGang()
    : m_fixture({ PoolWorker("w1"), PoolWorker("w2"), PoolWorker("w3") })
  {
    m_fixture.ReportAllIdle();
  }

  /// Adds the task that the gang waits for and the gang.
  void AddGang(Duration aLongTask, Duration aGang)
  {
    Add("long", 1, 2000, aLongTask);
    Advance();
    pool::StepSpec gang = Step(6, 4000, aGang);
    gang.m_gang = true;
    m_estimates[JobId("gang")] = aGang;
    m_fixture.Add(PoolJob("gang", kPatientQueue, { gang }));
    Advance();
    ASSERT_EQ(Running("long"), 1);
    ASSERT_EQ(Running("gang"), 0);
  }

  void Add(const std::string& aJob,
           std::uint32_t aTasks,
           std::int64_t aMillicores,
           Duration aEstimate)
  {
    m_estimates[JobId(aJob)] = aEstimate;
    m_fixture.Add(
      PoolJob(aJob, kPatientQueue, { Step(aTasks, aMillicores, aEstimate) }));
  }

  /// Reports what runs and what has ended, and plans.
  void Advance(Duration aStep = milliseconds(100))
  {
    m_fixture.m_now += aStep;
    for (const pool::WorkerInfo& worker : m_fixture.m_workers) {
      std::vector<pool::ReportedRun> runs;
      std::vector<pool::ReportedEnd> ends;
      for (const auto& [start, at] : m_running) {
        if (start.m_worker != worker.m_id) {
          continue;
        }
        const Duration length = m_estimates.at(start.m_task.m_job);
        if (m_fixture.m_now >= at + length) {
          ends.push_back(
            EndOf(start, ++m_ends[worker.m_id], pool::RunEnd::Done));
        } else {
          const auto percent = 100 * (m_fixture.m_now - at) / length;
          runs.push_back(RunOf(start, static_cast<int>(percent)));
        }
      }
      m_fixture.ReportInventory(worker.m_id, runs, ends);
    }
    std::erase_if(m_running, [this](const auto& aRun) {
      return m_fixture.m_now >=
             aRun.second + m_estimates.at(aRun.first.m_task.m_job);
    });
    const auto starts = m_fixture.Plan().m_starts;
    m_fixture.Confirm(starts);
    for (const pool::StartTask& start : starts) {
      m_running.emplace_back(start, m_fixture.m_now);
      m_started.insert(start.m_task.m_job);
    }
  }

  /// Advances until a task of the job has started, for that time at most.
  Duration TimeToStart(const std::string& aJob, Duration aMost)
  {
    const Time begin = m_fixture.m_now;
    while (!HasStarted(aJob) && m_fixture.m_now < begin + aMost) {
      Advance();
    }
    return m_fixture.m_now - begin;
  }

  std::ptrdiff_t Running(const std::string& aJob) const
  {
    return std::ranges::count_if(m_running, [&](const auto& aRun) {
      return aRun.first.m_task.m_job == JobId(aJob);
    });
  }
  bool HasStarted(const std::string& aJob) const
  {
    return m_started.contains(JobId(aJob));
  }

  PoolFixture m_fixture;

private:
  std::map<JobId, Duration> m_estimates;
  std::vector<std::pair<pool::StartTask, Time>> m_running;
  std::map<pool::WorkerId, std::uint64_t> m_ends;
  std::set<JobId> m_started;
};

/// Load: a gang as wide as the pool waits for one task of 16 s. All workers
/// were reserved for it, and short jobs behind it had nothing running.
TEST_F(PoolWaitingGang, ShortJobsRunWhileItWaits)
{
  AddGang(seconds(16), seconds(3));
  for (int number = 0; number < 10; ++number) {
    Add("short" + std::to_string(number), 1, 2000, seconds(4));
  }
  Advance();
  for (int number = 0; number < 10; ++number) {
    EXPECT_TRUE(HasStarted("short" + std::to_string(number))) << number;
  }
  EXPECT_LE(TimeToStart("gang", seconds(20)), seconds(16));
  EXPECT_TRUE(HasStarted("gang"));
}

/// Load: jobs whose estimates reach past the start of a waiting gang. They
/// stood still beside idle workers until it had started.
TEST_F(PoolWaitingGang, LongJobDoesNotStandStillBesideIdleWorkers)
{
  AddGang(seconds(16), seconds(15));
  Add("longer", 4, 2000, seconds(25));
  EXPECT_LT(TimeToStart("longer", seconds(10)), seconds(3));
  EXPECT_EQ(Running("longer"), 1);
}

/// Load: a steady stream of tasks that reach past the start of a waiting gang.
/// Each of them may delay it, but not without end.
TEST_F(PoolWaitingGang, StreamOfTasksDoesNotStarveIt)
{
  AddGang(seconds(4), seconds(8));
  for (int number = 0; number < 100 && !HasStarted("gang"); ++number) {
    Add("stream" + std::to_string(number), 1, 2000, milliseconds(2500));
    for (int part = 0; part < 4; ++part) {
      Advance();
    }
  }
  EXPECT_TRUE(HasStarted("gang"));
  EXPECT_LE(m_fixture.m_now, kStart + seconds(9)) << "its latest start";
}

/// Load: a gang needs one worker of three. Only that one was to be kept, and
/// long tasks had no place on it though the gang leaves half of it free.
TEST_F(PoolWaitingGang, RoomThatTheGangDoesNotNeedIsUsed)
{
  Add("busy", 3, 6000, seconds(10));
  Advance();
  pool::StepSpec gang = Step(2, 3000, seconds(8));
  gang.m_gang = true;
  gang.m_maxPerWorker = 1;
  m_fixture.Add(PoolJob("gang", kPatientQueue, { gang }));
  Add("long", 3, 2000, seconds(30));
  Advance();
  EXPECT_EQ(Running("long"), 3);
}

} // namespace

} // namespace lacewing::fakes
