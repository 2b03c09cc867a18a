/// Guards against a metric of waiting tasks that leaves out a class or still
/// counts jobs that were cancelled.
#include "daemon/WorkerSliceOwner.h"
#include "fakes/DaemonConfig.h"

#include <gtest/gtest.h>

namespace lacewing::daemon {

namespace {

jobs::JobRecord
JobOf(const SliceId& aSlice, std::uint64_t aNumber, std::uint32_t aTasks)
{
  jobs::JobRecord record;
  record.m_id = jobs::MakeJobId(aSlice, aNumber);
  record.m_team = TeamId("desk");
  record.m_spec.m_tasks = aTasks;
  return record;
}

} // namespace

TEST(TaskQueueCount, CountsWaitingTasksByClassUntilTheyAreCancelled)
{
  net::Loop loop;
  Runtime runtime(loop, fakes::DaemonConfig());
  const SliceId slice("workers-a-0");
  SliceAuthority authority;
  authority.m_mayAct = [] { return false; };
  auto owner = std::make_shared<WorkerSliceOwner>(
    runtime, slice, 1, authority, MoveHooks());
  jobs::JobRecord urgent = JobOf(slice, 1, 2);
  urgent.m_spec.m_urgent = true;
  const jobs::JobRecord other = JobOf(slice, 2, 5);
  EXPECT_FALSE(owner->Submit(urgent, 1));
  EXPECT_FALSE(owner->Submit(other, 1));
  EXPECT_EQ(owner->CountWaiting().m_urgent, 2U);
  EXPECT_EQ(owner->CountWaiting().m_other, 5U);
  EXPECT_TRUE(owner->Cancel(other.m_id));
  EXPECT_EQ(owner->CountWaiting().m_urgent, 2U);
  EXPECT_EQ(owner->CountWaiting().m_other, 0U);
}

} // namespace lacewing::daemon
