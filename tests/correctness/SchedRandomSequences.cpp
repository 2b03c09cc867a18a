/// Guards against workers above their capacity, tasks that run twice, teams
/// above their allotment, gangs that start in part and starts on leaving
/// workers, over long random sequences with failures and takeovers. Each check
/// is shown to notice the loss of its mechanism.
#include "fakes/SchedRandomRun.h"

#include <gtest/gtest.h>

#include <random>

namespace lacewing::fakes {

namespace {

using sched::AllChecks;
using sched::BestFitPlacement;
using sched::FairOrder;

struct NoAllotment : AllChecks
{
  static constexpr bool kAllotment = false;
};

struct NoWholeGang : AllChecks
{
  static constexpr bool kWholeGang = false;
};

struct NoMark : AllChecks
{
  static constexpr bool kMarkBeforeStart = false;
};

struct NoWaitForRoom : AllChecks
{
  static constexpr bool kWaitForRoom = false;
};

struct StartWhileClosed : AllChecks
{
  static constexpr bool kStartOnlyOpen = false;
};

/// Looks at free processors only.
class MemoryBlindPlacement : public BestFitPlacement
{
public:
  std::uint32_t Place(const sched::FreeTable& aTable,
                      const sched::Request& aRequest)
  {
    sched::Request request = aRequest;
    request.m_need.m_memoryMib = 0;
    return BestFitPlacement::Place(aTable, request);
  }
};

/// Is not told which workers leave.
class CordonBlindScheduler : public DaemonScheduler
{
public:
  void SetCordoned(const VmId& /*aWorker*/, bool /*aCordoned*/) {}
};

std::vector<Step>
RandomSteps(std::uint32_t aSeed, std::size_t aCount)
{
  std::mt19937 random(aSeed);
  std::vector<Step> steps(aCount);
  for (Step& step : steps) {
    step.m_kind = static_cast<std::uint8_t>(random());
    step.m_choice = static_cast<std::uint8_t>(random());
  }
  return steps;
}

/// The first violation within a few seeds, or an empty text.
template<typename Scheduler>
std::string
FirstViolationOf()
{
  constexpr std::uint32_t kSeeds = 20;
  constexpr std::size_t kSteps = 400;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    SchedRandomRun<Scheduler> run;
    const auto violations = run.Run(RandomSteps(seed, kSteps));
    if (!violations.empty()) {
      return violations.front();
    }
  }
  return "";
}

template<typename Placement, typename Checks>
std::string
FirstViolation()
{
  return FirstViolationOf<
    sched::SliceScheduler<FairOrder, Placement, Checks>>();
}

} // namespace

TEST(SchedRandomSequences, KeepsAllGuarantees)
{
  EXPECT_TRUE(rc::check([] {
    const auto length = *rc::gen::inRange<std::size_t>(50, 300);
    const auto steps = *rc::gen::container<std::vector<Step>>(
      length, rc::gen::arbitrary<Step>());
    SchedRandomRun<DaemonScheduler> run;
    const auto violations = run.Run(steps);
    RC_ASSERT(violations == std::vector<std::string>());
  }));
}

TEST(SchedRandomSequences, KeepsAllGuaranteesOnTheSeedsOfTheMutants)
{
  EXPECT_EQ((FirstViolation<BestFitPlacement, AllChecks>()), "");
}

TEST(SchedRandomSequences, NoticesAMissingAllotmentCheck)
{
  EXPECT_TRUE((FirstViolation<BestFitPlacement, NoAllotment>())
                .starts_with("team above its allotment"));
}

TEST(SchedRandomSequences, NoticesAGangStartedInPart)
{
  EXPECT_TRUE(
    (FirstViolation<BestFitPlacement, NoWholeGang>()).starts_with("gang "));
}

TEST(SchedRandomSequences, NoticesAMissingMark)
{
  EXPECT_TRUE((FirstViolation<BestFitPlacement, NoMark>())
                .starts_with("at-most-once task without a mark"));
}

TEST(SchedRandomSequences, NoticesAStartBeforeRoomIsFree)
{
  EXPECT_TRUE((FirstViolation<BestFitPlacement, NoWaitForRoom>())
                .starts_with("worker above its capacity"));
}

TEST(SchedRandomSequences, NoticesAStartInAClosedSlice)
{
  EXPECT_TRUE((FirstViolation<BestFitPlacement, StartWhileClosed>())
                .starts_with("started while the slice is closed"));
}

TEST(SchedRandomSequences, NoticesAStartOnALeavingWorker)
{
  EXPECT_TRUE((FirstViolationOf<CordonBlindScheduler>())
                .starts_with("started on a leaving worker"));
}

TEST(SchedRandomSequences, NoticesPlacementThatIgnoresMemory)
{
  EXPECT_TRUE((FirstViolation<MemoryBlindPlacement, AllChecks>())
                .starts_with("worker above its capacity"));
}

} // namespace lacewing::fakes
