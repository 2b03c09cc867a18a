/// Guards against workers that are dropped because their entries expire while
/// the store is unavailable, and against malformed entries that change the set
/// of workers.
#include "edge/WorkerDirectory.h"

#include <gtest/gtest.h>

namespace lacewing::edge {

namespace {

constexpr Time kStart{ seconds(1000) };

platform::ChangedRow
Entry(const std::string& aName, const std::string& aState)
{
  return { "servers//" + aName,
           { R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":")" +
               aState +
               R"(","labels":["a","r1"],"born":1,"capacity":{"cpu":1000}})",
             7 },
           false };
}

platform::ChangedRow
Deletion(const std::string& aName)
{
  return { "servers//" + aName, {}, true };
}

TEST(EdgeWorkerDirectory, EntryRestoredWithinTheGracePeriodIsKept)
{
  WorkerDirectory directory;
  EXPECT_EQ(directory.Take(kStart, Entry("w", "ready")), EntryChange::Listed);
  EXPECT_EQ(directory.Take(kStart, Deletion("w")), EntryChange::Vanished);
  EXPECT_EQ(directory.Workers(kStart + seconds(2)).size(), 1U);
  EXPECT_EQ(directory.Take(kStart + seconds(2), Entry("w", "ready")),
            EntryChange::None);
  EXPECT_EQ(directory.Workers(kStart + seconds(9)).size(), 1U);
}

TEST(EdgeWorkerDirectory, EntryDeletedForLongerIsRemoved)
{
  WorkerDirectory directory;
  directory.Take(kStart, Entry("w", "ready"));
  directory.Take(kStart, Deletion("w"));
  EXPECT_TRUE(directory.Workers(kStart + seconds(3)).empty());
}

TEST(EdgeWorkerDirectory, EntryMissingFromARereadIsRemoved)
{
  WorkerDirectory directory;
  directory.Take(kStart, Entry("w1", "ready"));
  directory.Take(kStart, Entry("w2", "ready"));
  directory.BeginReread(kStart);
  directory.Take(kStart, Entry("w2", "ready"));
  const auto workers = directory.Workers(kStart + seconds(3));
  ASSERT_EQ(workers.size(), 1U);
  EXPECT_EQ(workers[0].m_id, pool::WorkerId("w2"));
}

TEST(EdgeWorkerDirectory, DrainingIsAppliedAndMalformedEntriesAreIgnored)
{
  WorkerDirectory directory;
  directory.Take(kStart, Entry("w", "ready"));
  EXPECT_EQ(directory.Take(kStart, Entry("w", "draining")),
            EntryChange::Listed);
  EXPECT_TRUE(directory.Workers(kStart)[0].m_draining);
  platform::ChangedRow malformed = Entry("w", "ready");
  malformed.m_row.m_value = "\xff";
  EXPECT_EQ(directory.Take(kStart, malformed), EntryChange::Unreadable);
  EXPECT_EQ(directory.Workers(kStart).size(), 1U);
}

} // namespace

} // namespace lacewing::edge
