/// Guards against work that waits while workers are idle in a large pool. Load
/// pattern: the grown deployments at three quarters of their arrivals, some 600
/// starts a second of interactive jobs, batches and wide gangs on 350 workers,
/// with a policy service that permits a third to two thirds of the workers.
#include "fakes/PoolLoad.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

const PoolLoad&
ThreeQuarters()
{
  static const PoolLoad kLoad = [] {
    PoolLoadOptions options;
    options.m_kinds = GrownLoad(0.75);
    PoolLoad load(options);
    load.Run();
    return load;
  }();
  return kLoad;
}

/// Every advice request named the first hundred workers by id, so that only two
/// hundred workers were used and the others stayed idle.
TEST(PoolGrownLoad, AllWorkersAreUsed)
{
  EXPECT_GE(ThreeQuarters().UsedWorkers(), 340U);
}

/// Long advice requests of gangs used up the limit of requests in flight, so
/// that short requests of interactive jobs waited behind them.
TEST(PoolGrownLoad, InteractiveJobsStartAtOnceBesideGangs)
{
  EXPECT_LE(ThreeQuarters().WaitOf(kUrgentQueue, 0.95), milliseconds(100));
}

/// Half of the gangs never fitted on the workers that their advice requests
/// named.
TEST(PoolGrownLoad, WideGangsStartWithinTwoAdviceRequests)
{
  // An advice request for 48 workers takes 0.9 s.
  EXPECT_LE(ThreeQuarters().WaitOf(kPolicyQueue, 0.5), milliseconds(1000));
  EXPECT_LE(ThreeQuarters().WaitOf(kPolicyQueue, 0.9), milliseconds(2400));
}

/// Guards against patient batches that wait behind the gangs' advice requests.
TEST(PoolGrownLoad, PatientJobsStartWithinASecond)
{
  EXPECT_LE(ThreeQuarters().WaitOf(kPatientQueue, 0.95), seconds(1));
}

} // namespace

} // namespace lacewing::fakes
