/// Guards against an index that misses a worker with room, or names one without
/// room, after any sequence of changes.
#include "sched/WorkerIndex.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <array>
#include <random>

namespace lacewing::sched {

namespace {

constexpr std::uint32_t kWorkers = 12;

FreeTable
MakeTable()
{
  FreeTable table;
  for (std::uint32_t number = 0; number < kWorkers; ++number) {
    WorkerSpec spec;
    spec.m_rack = RackId("r");
    spec.m_domain = DomainId("d");
    spec.m_capacity = { 32'000, 65'536, 4 };
    spec.m_accelerator = number % 3 == 0 ? "a" : (number % 3 == 1 ? "b" : "");
    table.Add(number, spec);
  }
  return table;
}

/// A number from the range, without its end.
std::int64_t
Draw(std::mt19937& aRandom, std::int64_t aFrom, std::int64_t aEnd)
{
  return aFrom + static_cast<std::int64_t>(aRandom() % (aEnd - aFrom));
}

Request
DrawRequest(std::mt19937& aRandom, const FreeTable& aTable)
{
  constexpr std::array kKinds = { "a", "b", "unknown" };
  JobSpec spec;
  spec.m_perTask = { Draw(aRandom, 0, 34'000),
                     Draw(aRandom, 0, 70'000),
                     Draw(aRandom, 0, 3) };
  if (spec.m_perTask.m_accelerators > 0) {
    spec.m_accelerator = kKinds.at(aRandom() % kKinds.size());
  }
  return aTable.Resolve(spec);
}

bool
AnyFits(const FreeTable& aTable, const Request& aRequest)
{
  for (std::uint32_t number = 0; number < kWorkers; ++number) {
    if (aTable.Fits(number, aRequest)) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST(SchedWorkerIndex, FindsRoomExactlyWhenAScanDoes)
{
  EXPECT_TRUE(rc::check([](std::uint32_t aSeed) {
    std::mt19937 random(aSeed);
    FreeTable table = MakeTable();
    WorkerIndex index;
    for (int step = 0; step < 300; ++step) {
      const auto worker = static_cast<std::uint32_t>(random() % kWorkers);
      const Resources free{ Draw(random, -500, 33'000),
                            Draw(random, -500, 66'000),
                            Draw(random, 0, 5) };
      table.Set(worker, free, random() % 4 != 0);
      index.Update(table, worker);
      const Request request = DrawRequest(random, table);
      const std::uint32_t found = index.FindTightest(table, request);
      RC_ASSERT((found != kNone) == AnyFits(table, request));
      RC_ASSERT((found == kNone || table.Fits(found, request)));
    }
  }));
}

TEST(SchedWorkerIndex, KeepsAcceleratorsForWorkThatNeedsThem)
{
  FreeTable table = MakeTable();
  WorkerIndex index;
  for (std::uint32_t number = 0; number < kWorkers; ++number) {
    // Workers without accelerators are the loosest.
    const bool plain = number % 3 == 2;
    table.Set(number, { plain ? 32'000 : 4'000, 8'192, plain ? 0 : 4 }, true);
    index.Update(table, number);
  }
  Request request;
  request.m_need = { 1000, 1024, 0 };
  EXPECT_EQ(index.FindTightest(table, request) % 3, 2U);
}

} // namespace lacewing::sched
