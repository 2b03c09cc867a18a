/// Guards against a fake table that loses the effect together with the answer,
/// which would hide faults of writers.
#include "fakes/FaultyNetwork.h"
#include "fakes/FaultyTable.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

TEST(FaultyTable, LostAnswerLeavesTheWriteInEffect)
{
  EventQueue queue;
  ProcessSet processes(queue);
  const VmId vm("vm");
  processes.Start(vm);
  FaultyTable table(queue, processes);
  table.Faults().m_loseAnswers = true;
  auto state = table::CommitState::Committed;
  table::Commit commit;
  commit.m_puts.push_back({ "key", "value" });
  table.Submit(vm, commit, seconds(1), [&](const table::CommitResult& aResult) {
    state = aResult.m_state;
  });
  queue.RunFor(seconds(2));
  EXPECT_EQ(state, table::CommitState::Unknown);
  EXPECT_EQ(table.Table().AllRows().at("key").m_value, "value");
}

TEST(FaultyNetwork, CutLinkDeliversNothing)
{
  EventQueue queue;
  ProcessSet processes(queue);
  const VmId from("a");
  const VmId to("b");
  processes.Start(from);
  processes.Start(to);
  FaultyNetwork network(queue, processes, 1);
  network.SetCut(from, to, true);
  int arrived = 0;
  network.Send(from, to, [&] { ++arrived; });
  network.Send(to, from, [&] { ++arrived; });
  queue.RunFor(seconds(1));
  EXPECT_EQ(arrived, 1);
}

} // namespace lacewing::fakes
