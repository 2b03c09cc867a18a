/// Guards against checkers that let a broken history pass: each is given a
/// hand-written history that breaks its point, and one that does not.
#include "fakes/OwnershipHistory.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

Time
At(int aSeconds)
{
  return Time() + seconds(aSeconds);
}

HistoryEvent
Belief(int aFrom, int aUntil, const std::string& aWho)
{
  HistoryEvent event{ HistoryKind::Belief, At(aFrom), aWho, SliceId("s") };
  event.m_until = At(aUntil);
  return event;
}

HistoryEvent
Task(HistoryKind aKind, int aTime, const std::string& aWorker, int aTask)
{
  HistoryEvent event{ aKind, At(aTime) };
  event.m_worker = VmId(aWorker);
  event.m_task = { JobId("job" + std::to_string(aTask)), 0 };
  event.m_team = "team";
  event.m_resources = { 1000, 1, 0 };
  return event;
}

HistoryEvent
Capacity(const std::string& aWorker, std::int64_t aMillicores)
{
  HistoryEvent event{ HistoryKind::Capacity, At(0) };
  event.m_worker = VmId(aWorker);
  event.m_resources = { aMillicores, 100, 0 };
  return event;
}

HistoryEvent
Limit(int aTime, std::int64_t aInForce, std::int64_t aSum)
{
  HistoryEvent event{ HistoryKind::Limit, At(aTime) };
  event.m_team = "team";
  event.m_amount = aInForce;
  event.m_sum = aSum;
  return event;
}

constexpr auto kStart = HistoryKind::TaskStart;
constexpr auto kEnd = HistoryKind::TaskEnd;

} // namespace

TEST(OwnershipCheckers, TwoOwnersAtOnce)
{
  EXPECT_TRUE(CheckOwners({ Belief(0, 3, "a"), Belief(3, 6, "b") }).empty());
  EXPECT_EQ(CheckOwners({ Belief(0, 3, "a"), Belief(2, 6, "b") }).size(), 1U);
}

TEST(OwnershipCheckers, AnOwnerThatReturns)
{
  EXPECT_EQ(
    CheckOwners({ Belief(0, 3, "a"), Belief(4, 9, "b"), Belief(5, 6, "a") })
      .size(),
    1U);
}

TEST(OwnershipCheckers, AnOldEpochAccepted)
{
  HistoryEvent first{ HistoryKind::Accepted, At(1) };
  first.m_worker = VmId("w");
  first.m_epoch = 2;
  HistoryEvent second = first;
  EXPECT_TRUE(CheckEpochs({ first, second }).empty());
  second.m_epoch = 1;
  EXPECT_EQ(CheckEpochs({ first, second }).size(), 1U);
}

TEST(OwnershipCheckers, AWorkerOverItsCapacity)
{
  const History full = { Capacity("w", 1000), Task(kStart, 1, "w", 1) };
  EXPECT_TRUE(CheckTasks(full).empty());
  History over = full;
  over.push_back(Task(kStart, 2, "w", 2));
  EXPECT_EQ(CheckTasks(over).size(), 1U);
}

TEST(OwnershipCheckers, ATaskInTwoPlaces)
{
  History moved = { Capacity("v", 1000),
                    Capacity("w", 1000),
                    Task(kStart, 1, "v", 1),
                    Task(kEnd, 2, "v", 1),
                    Task(kStart, 2, "w", 1) };
  EXPECT_TRUE(CheckTasks(moved).empty());
  std::swap(moved[3], moved[4]);
  EXPECT_EQ(CheckTasks(moved).size(), 1U);
}

TEST(OwnershipCheckers, ATeamAboveItsLimit)
{
  History run = { Capacity("w", 9000),
                  Limit(0, 1000, 1000),
                  Task(kStart, 1, "w", 1) };
  EXPECT_TRUE(CheckTasks(run).empty());
  run.push_back(Task(kStart, 2, "w", 2));
  EXPECT_EQ(CheckTasks(run).size(), 1U);
}

TEST(OwnershipCheckers, ALimitInForceBelowWhatRuns)
{
  const History run = { Capacity("w", 9000),
                        Limit(0, 1000, 1000),
                        Task(kStart, 1, "w", 1),
                        Limit(2, 500, 500) };
  EXPECT_EQ(CheckTasks(run).size(), 1U);
}

TEST(OwnershipCheckers, MoreAllottedThanTheLimit)
{
  EXPECT_EQ(CheckTasks({ Limit(0, 1000, 1001) }).size(), 1U);
}

TEST(OwnershipCheckers, AStopThatTakesTooLong)
{
  const HistoryEvent start{ HistoryKind::DrainStarted, At(0), "a" };
  const HistoryEvent stop{ HistoryKind::Stopped, At(33), "a" };
  const HistoryEvent late{ HistoryKind::Stopped, At(34), "a" };
  EXPECT_TRUE(CheckStops({ start, stop }, seconds(33)).empty());
  EXPECT_EQ(CheckStops({ start, late }, seconds(33)).size(), 1U);
}

TEST(OwnershipCheckers, AStopThatNeverEnds)
{
  const HistoryEvent start{ HistoryKind::DrainStarted, At(0), "a" };
  const History run = { start, Belief(40, 41, "b") };
  EXPECT_EQ(CheckStops(run, seconds(33)).size(), 1U);
  EXPECT_TRUE(CheckStops(run, seconds(33), { "a" }).empty());
}

TEST(OwnershipCheckers, APauseDoesNotCountForAStop)
{
  const History run = { { HistoryKind::DrainStarted, At(0), "a" },
                        { HistoryKind::Paused, At(1), "a" },
                        { HistoryKind::Woken, At(31), "a" },
                        { HistoryKind::Stopped, At(40), "a" } };
  EXPECT_TRUE(CheckStops(run, seconds(10)).empty());
  EXPECT_EQ(CheckStops(run, seconds(9)).size(), 1U);
}

TEST(OwnershipCheckers, AnOwnerAfterItsStop)
{
  const HistoryEvent start{ HistoryKind::DrainStarted, At(0), "a" };
  const HistoryEvent stop{ HistoryKind::Stopped, At(1), "a" };
  EXPECT_EQ(CheckStops({ start, stop, Belief(2, 3, "a") }, seconds(33)).size(),
            1U);
}

} // namespace lacewing::fakes
