/// Guards against checks without teeth: without any one of the safety
/// mechanisms some checker must fail, and with it the same run must pass.
#include "fakes/OwnershipFaults.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using Mutate = std::function<void(CellOptions&)>;
using Script = std::function<void(FaultRun&)>;

constexpr Duration kFaultTime = seconds(45);
constexpr Duration kSettleTime = seconds(40);

Outcome
RunSeed(std::uint64_t aSeed, const Mutate& aMutate)
{
  CellOptions options = RandomOptions(aSeed);
  aMutate(options);
  FaultRun run(options, RandomPlan(aSeed));
  if (aSeed % 2 == 1) {
    run.AddScript();
  }
  return run.Run(kFaultTime, kSettleTime);
}

/// Some seeded plan fails under the mutation, and passes without it.
void
ExpectCaughtBySchedules(const Mutate& aMutate)
{
  constexpr std::uint64_t kMostSeeds = 400;
  for (std::uint64_t seed = 0; seed < kMostSeeds; ++seed) {
    if (!RunSeed(seed, aMutate).m_violations.empty()) {
      EXPECT_EQ(RunSeed(seed, [](CellOptions&) {}).Text(), "");
      return;
    }
  }
  FAIL() << "no schedule of " << kMostSeeds << " shows the mutation";
}

/// The script fails under the mutation, and passes without it. `aCase` sets up
/// the cell.
void
ExpectCaughtByScript(const Mutate& aMutate,
                     const Mutate& aCase,
                     const Script& aScript)
{
  CellOptions options;
  aCase(options);
  FaultRun sound(options, {});
  aScript(sound);
  EXPECT_EQ(sound.Run(kFaultTime, kSettleTime).Text(), "");
  aMutate(options);
  FaultRun mutated(options, {});
  aScript(mutated);
  EXPECT_NE(mutated.Run(kFaultTime, kSettleTime).Text(), "");
}

VmId
Entry(int aIndex)
{
  return VmId("r0-entry" + std::to_string(aIndex));
}

const SliceId kFirstSlice("r0-slice0");

/// Cuts two members off from the store and the third, which is dead for long
/// enough to be deposed and then joins again.
void
JoinWhileOthersRelyOnPromises(FaultRun& aRun, Duration aCutFor)
{
  aRun.At(seconds(5), [&aRun] { aRun.Cell().Kill(Entry(2)); });
  aRun.At(seconds(12), [&aRun, aCutFor] {
    for (int i = 0; i < 2; ++i) {
      aRun.Unreachable(Entry(i), seconds(25));
      aRun.CutLink(Entry(i), Entry(2), aCutFor);
    }
    aRun.Cell().Start(Entry(2));
  });
}

} // namespace

TEST(OwnershipMutations, EpochCheckAtTheWorker)
{
  ExpectCaughtBySchedules(
    [](CellOptions& aOptions) { aOptions.m_worker.m_checkEpoch = false; });
}

TEST(OwnershipMutations, LeaseMargin)
{
  ExpectCaughtBySchedules([](CellOptions& aOptions) {
    aOptions.m_ownership.m_mechanisms.m_leaseMargin = false;
  });
}

TEST(OwnershipMutations, DeposalOnlyOfTheVersionSeen)
{
  ExpectCaughtBySchedules([](CellOptions& aOptions) {
    aOptions.m_ownership.m_mechanisms.m_deposeOnVersion = false;
  });
}

TEST(OwnershipMutations, WaitBeforeTheSliceOpens)
{
  ExpectCaughtBySchedules([](CellOptions& aOptions) {
    aOptions.m_ownership.m_mechanisms.m_waitBeforeOpen = false;
  });
}

TEST(OwnershipMutations, ObligationOfAPromise)
{
  ExpectCaughtBySchedules([](CellOptions& aOptions) {
    aOptions.m_ownership.m_mechanisms.m_promiseObligation = false;
  });
}

TEST(OwnershipMutations, SumOfAllotments)
{
  ExpectCaughtBySchedules([](CellOptions& aOptions) {
    aOptions.m_ownership.m_mechanisms.m_allotmentSum = false;
  });
}

/// A renewal of a worker's lease arrives when its sender has long been deposed,
/// and the next owner cannot reach the worker.
TEST(OwnershipMutations, TokenRuleOfTheWorkerLease)
{
  ExpectCaughtByScript(
    [](CellOptions& aOptions) { aOptions.m_worker.m_tokenRule = false; },
    [](CellOptions& aOptions) {
      aOptions.m_members = { 3 };
      aOptions.m_slicesPerRegion = 1;
      aOptions.m_tasksPerSlice = 2;
      aOptions.m_minRunMs = 200000;
      aOptions.m_maxRunMs = 200000;
    },
    [](FaultRun& aRun) {
      aRun.At(seconds(10), [&aRun] {
        aRun.Cell().OnStep([&aRun](const VmId&, ownership::Step aStep, Phase) {
          if (aStep == ownership::Step::WorkerRenew) {
            aRun.Cell().Network().NextMessage().m_delay = seconds(12);
          }
        });
      });
      aRun.At(seconds(16), [&aRun] {
        aRun.Cell().OnStep({});
        aRun.Cell().Network().NextMessage() = {};
        const VmId owner = aRun.Cell().OwnerOf(kFirstSlice);
        for (const VmId& vm : aRun.Cell().Members()) {
          if (vm != owner) {
            aRun.CutLink(vm, VmId("r0-slice0-worker0"), seconds(60));
          }
        }
        aRun.Cell().Remove(owner);
      });
    });
}

TEST(OwnershipMutations, AcknowledgementOfAJoin)
{
  ExpectCaughtByScript(
    [](CellOptions& aOptions) {
      aOptions.m_ownership.m_mechanisms.m_joinAcknowledgement = false;
    },
    [](CellOptions& aOptions) {
      aOptions.m_members = { 3 };
      aOptions.m_slicesPerRegion = 6;
    },
    [](FaultRun& aRun) { JoinWhileOthersRelyOnPromises(aRun, seconds(25)); });
}

/// The joining member has seen the row of an owner unchanged for long when that
/// owner, which relies on promises of others, acknowledges it.
TEST(OwnershipMutations, WaitOfANewMemberBeforeTakeovers)
{
  ExpectCaughtByScript(
    [](CellOptions& aOptions) {
      aOptions.m_ownership.m_mechanisms.m_joinGrace = false;
    },
    [](CellOptions& aOptions) {
      aOptions.m_members = { 3 };
      aOptions.m_slicesPerRegion = 6;
    },
    [](FaultRun& aRun) { JoinWhileOthersRelyOnPromises(aRun, seconds(8)); });
}

/// A member wakes after it was deposed; those that know it have restarted
/// during a store outage, and the present owner joined meanwhile.
TEST(OwnershipMutations, PromisesDoNotReviveAnAuthority)
{
  ExpectCaughtByScript(
    [](CellOptions& aOptions) {
      aOptions.m_ownership.m_mechanisms.m_promiseContinuity = false;
    },
    [](CellOptions& aOptions) {
      aOptions.m_members = { 4 };
      aOptions.m_slicesPerRegion = 12;
      aOptions.m_workersPerSlice = 1;
    },
    [](FaultRun& aRun) {
      aRun.At(seconds(2), [&aRun] { aRun.Cell().Kill(Entry(3)); });
      aRun.At(seconds(10), [&aRun] { aRun.Pause(Entry(0), seconds(15)); });
      aRun.At(seconds(15), [&aRun] { aRun.Cell().Start(Entry(3)); });
      aRun.At(seconds(22), [&aRun] {
        aRun.Cell().Table().Faults().m_down = true;
        aRun.Cell().Kill(Entry(1));
        aRun.Cell().Kill(Entry(2));
      });
      aRun.At(seconds(23), [&aRun] {
        aRun.Cell().Start(Entry(1));
        aRun.Cell().Start(Entry(2));
      });
      aRun.At(seconds(30),
              [&aRun] { aRun.Cell().Table().Faults().m_down = false; });
    });
}

/// A former owner's write that gives back an allotment takes effect when the
/// next owner has begun to use it.
TEST(OwnershipMutations, AllotmentsChangeOnlyUnderOwnership)
{
  ExpectCaughtByScript(
    [](CellOptions& aOptions) {
      aOptions.m_ownership.m_mechanisms.m_allotmentFence = false;
    },
    [](CellOptions& aOptions) {
      aOptions.m_members = { 3 };
      aOptions.m_tasksPerSlice = 0;
      aOptions.m_limits = { 3000 };
    },
    [](FaultRun& aRun) {
      OwnershipCell& cell = aRun.Cell();
      aRun.At(seconds(5), [&cell] { cell.AddTasks(kFirstSlice, 3, 2000); });
      aRun.At(seconds(9), [&aRun, &cell] {
        const VmId owner = cell.OwnerOf(kFirstSlice);
        cell.OnStep([&aRun, &cell, owner, done = false](
                      const VmId&, ownership::Step aStep, Phase) mutable {
          if (done || aStep != ownership::Step::AllotmentWrite) {
            return;
          }
          done = true;
          cell.Table().Faults().m_holdNextCommit = seconds(9);
          const auto after = [&cell](int aMs, std::function<void()> aDo) {
            cell.Queue().After(milliseconds(aMs), std::move(aDo));
          };
          after(1, [&cell, owner] { cell.Remove(owner); });
          after(5000, [&cell] { cell.AddTasks(kFirstSlice, 3, 60000); });
          // The next owner must not notice before the other slice asks.
          after(8900, [&aRun, &cell] {
            aRun.Pause(cell.OwnerOf(kFirstSlice), milliseconds(2800));
          });
          after(9100,
                [&cell] { cell.AddTasks(SliceId("r0-slice1"), 3, 60000); });
        });
      });
    });
}

} // namespace lacewing::fakes
