/// Guards against work for endpoints that are leaving, gone, failing or full,
/// and against slots that are freed while a request may still run.
#include "routing/EndpointPool.h"

#include <gtest/gtest.h>

namespace lacewing::routing {

namespace {

using Pool = EndpointPool<LeastBusy>;

const VmId kA("a");
const VmId kB("b");

Pool
ReadyPool(Time aNow)
{
  Pool pool({}, 1);
  pool.SetCountsGiven();
  pool.Update(aNow, { { kA, 2 }, { kB, 2 } });
  for (const StatusQuery& query : pool.TakeProbes(aNow)) {
    pool.OnStatus(aNow, query, EndpointStatus{ 2, 0, false }, aNow);
  }
  return pool;
}

} // namespace

TEST(EndpointPool, ChoosesTheLeastBusyWithAFreeSlot)
{
  Pool pool = ReadyPool(Time());
  pool.OnDispatch(kA);
  EXPECT_EQ(pool.Choose(true), kB);
  pool.OnDispatch(kB);
  pool.OnDispatch(kB);
  EXPECT_EQ(pool.Choose(true), kA);
  pool.OnDispatch(kA);
  EXPECT_EQ(pool.Choose(true), std::nullopt);
}

TEST(EndpointPool, GivesNoWorkBeforeTheStatusWasRead)
{
  Pool pool({}, 1);
  pool.Update(Time(), { { kA, 2 } });
  EXPECT_EQ(pool.Choose(true), std::nullopt);
  EXPECT_EQ(pool.TotalForeign(), 2);
  // A dispatch of the earlier owner may still be under way.
  const auto early = pool.TakeProbes(Time());
  pool.OnStatus(Time(), early.at(0), EndpointStatus{ 2, 0, false }, Time());
  EXPECT_EQ(pool.Choose(true), std::nullopt);
  const Time settled = Time() + kMaxMessageDelay;
  const auto late = pool.TakeProbes(settled);
  pool.OnStatus(settled, late.at(0), EndpointStatus{ 2, 1, false }, Time());
  EXPECT_EQ(pool.TotalForeign(), 1);
  EXPECT_EQ(pool.Choose(true), kA);
}

TEST(EndpointPool, IgnoresTheStatusOfAnEarlierQuery)
{
  Pool pool({}, 1);
  pool.SetCountsGiven();
  pool.Update(Time(), { { kA, 2 } });
  const StatusQuery first = pool.TakeProbes(Time()).at(0);
  pool.OnStatus(Time(), first, std::nullopt, Time());
  const Time later = Time() + seconds(10);
  pool.TakeProbes(later);
  pool.OnStatus(later, first, EndpointStatus{ 2, 0, false }, Time());
  EXPECT_EQ(pool.Choose(true), std::nullopt);
}

TEST(EndpointPool, GivesNoWorkToLeavingAndUnlistedEndpoints)
{
  Pool pool = ReadyPool(Time());
  pool.Update(Time(), { { kA, 2, 64, true } });
  EXPECT_EQ(pool.Choose(true), std::nullopt);
  EXPECT_TRUE(pool.Update(Time(), {}).empty());
  const auto gone = pool.Update(Time(), {});
  EXPECT_EQ(gone, std::vector<VmId>{ kB });
}

TEST(EndpointPool, EjectsAfterFailuresAndProbes)
{
  Pool pool = ReadyPool(Time());
  pool.OnLeaving(kB);
  for (int failure = 0; failure < PoolOptions().m_failuresToEject; ++failure) {
    EXPECT_EQ(pool.Choose(true), kA);
    pool.OnFailure(Time(), kA);
  }
  EXPECT_EQ(pool.Choose(true), std::nullopt);
  const Time later = Time() + seconds(5);
  for (const StatusQuery& query : pool.TakeProbes(later)) {
    if (query.m_vm == kA) {
      pool.OnStatus(later, query, EndpointStatus{ 2, 0, false }, Time());
    }
  }
  EXPECT_EQ(pool.Choose(true), kA);
}

} // namespace lacewing::routing
