/// Guards against a group commit that keeps its first budget of writes or its
/// first size of a batch.
#include "daemon/AppliedSettings.h"
#include "fakes/SystemSettings.h"
#include "table/GroupCommit.h"

#include <gtest/gtest.h>

namespace lacewing::daemon {

TEST(SettingRecordBudget, AppliesToTheNextTransaction)
{
  table::GroupCommit commit;
  commit.SetMembers(9);
  EXPECT_EQ(commit.Pause(), milliseconds(45));
  const RecordBudget budget = RecordBudgetOf(fakes::SystemSettings(
    "[requests]\nrecord_writes_per_second = 100\nrecord_batch_max = 3\n"));
  commit.SetBudget(budget.m_writesPerSecond, budget.m_maxBatch);
  EXPECT_EQ(commit.Pause(), milliseconds(90));
  for (int index = 0; index < 5; ++index) {
    commit.Add({ std::to_string(index), 0, "nonce", Time() + seconds(10) });
  }
  const auto effects = commit.OnTick(Time());
  ASSERT_TRUE(effects.m_commit);
  EXPECT_EQ(effects.m_commit->m_commit.m_puts.size(), 3U);
}

} // namespace lacewing::daemon
