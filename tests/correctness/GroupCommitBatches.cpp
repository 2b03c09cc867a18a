/// Guards against lost, repeated or misreported records of group commit, and
/// against more writes than the table can take.
#include "table/GroupCommit.h"
#include "table/MemoryTable.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <random>

namespace lacewing::table {

namespace {

RecordWrite
Insert(const std::string& aKey, const std::string& aValue = "nonce")
{
  return { aKey, 0, aValue, Time() + seconds(10) };
}

CommitResult
ResultOf(CommitState aState)
{
  CommitResult result;
  result.m_state = aState;
  return result;
}

} // namespace

TEST(GroupCommit, KeepsThePauseOfAllMembers)
{
  GroupCommit commit;
  EXPECT_EQ(commit.Pause(), milliseconds(5));
  commit.SetMembers(9);
  EXPECT_EQ(commit.Pause(), milliseconds(45));
  commit.Add(Insert("a"));
  const auto first = commit.OnTick(Time());
  ASSERT_TRUE(first.m_commit);
  commit.Add(Insert("b"));
  const auto second = commit.OnCommitResult(
    Time() + milliseconds(1), 1, ResultOf(CommitState::Committed));
  EXPECT_FALSE(second.m_commit);
  EXPECT_EQ(commit.NextWakeup(), Time() + milliseconds(45));
  EXPECT_TRUE(commit.OnTick(Time() + milliseconds(45)).m_commit);
}

TEST(GroupCommit, LimitsABatchAndKeepsOneInFlight)
{
  GroupCommit commit;
  for (int index = 0; index < 300; ++index) {
    commit.Add(Insert(std::to_string(index)));
  }
  const auto first = commit.OnTick(Time());
  EXPECT_EQ(first.m_commit->m_commit.m_puts.size(), 200U);
  EXPECT_FALSE(commit.OnTick(Time() + seconds(1)).m_commit);
}

TEST(GroupCommit, ConflictFailsOnlyTheRecordInConflict)
{
  GroupCommit commit;
  const auto good = commit.Add(Insert("good"));
  const auto bad = commit.Add(Insert("bad"));
  commit.OnTick(Time());
  CommitResult conflict = ResultOf(CommitState::Conflict);
  conflict.m_conflicts = { "bad" };
  const auto effects = commit.OnCommitResult(Time() + seconds(1), 1, conflict);
  ASSERT_EQ(effects.m_results.size(), 1U);
  EXPECT_EQ(effects.m_results[0].m_record, bad);
  EXPECT_EQ(effects.m_results[0].m_state, CommitState::Conflict);
  ASSERT_TRUE(effects.m_commit);
  EXPECT_EQ(effects.m_commit->m_commit.m_puts[0].m_key, "good");
  const auto done = commit.OnCommitResult(
    Time() + seconds(1), 2, ResultOf(CommitState::Committed));
  EXPECT_EQ(done.m_results[0].m_record, good);
}

TEST(GroupCommit, ReadsBackAnUnknownResult)
{
  GroupCommit commit;
  commit.Add(Insert("own", "own nonce"));
  commit.Add(Insert("other", "own nonce"));
  commit.OnTick(Time());
  const auto unknown = commit.OnCommitResult(
    Time() + seconds(1), 1, ResultOf(CommitState::Unknown));
  EXPECT_TRUE(unknown.m_results.empty());
  ASSERT_TRUE(unknown.m_read);
  ReadResult read{
    true, { { "own", { "own nonce", 5 } }, { "other", { "other nonce", 6 } } }
  };
  const auto settled =
    commit.OnReadResult(Time() + seconds(2), unknown.m_read->m_operation, read);
  ASSERT_EQ(settled.m_results.size(), 2U);
  EXPECT_EQ(settled.m_results[0].m_state, CommitState::Committed);
  EXPECT_EQ(settled.m_results[0].m_version, 5U);
  EXPECT_EQ(settled.m_results[1].m_state, CommitState::Conflict);
}

TEST(GroupCommit, WritesOfOneRowGoIntoTransactionsOfTheirOwn)
{
  GroupCommit commit;
  commit.Add(Insert("row", "first"));
  commit.Add(Insert("row", "second"));
  EXPECT_EQ(commit.OnTick(Time()).m_commit->m_commit.m_puts.size(), 1U);
}

/// A job must not be written again when its submission was deleted meanwhile.
TEST(GroupCommit, WritesOnlyWhileTheOtherRowHasItsVersion)
{
  GroupCommit commit;
  RecordWrite write = Insert("job");
  write.m_also = { { "submission", 7 } };
  commit.Add(write);
  const auto first = commit.OnTick(Time());
  ASSERT_EQ(first.m_commit->m_commit.m_checks.size(), 2U);
  CommitResult conflict = ResultOf(CommitState::Conflict);
  conflict.m_conflicts = { "submission" };
  const auto done = commit.OnCommitResult(Time() + seconds(1), 1, conflict);
  ASSERT_EQ(done.m_results.size(), 1U);
  EXPECT_EQ(done.m_results[0].m_state, CommitState::Conflict);
}

TEST(GroupCommit, ReadsTheOtherRowBackToo)
{
  for (const RowVersion version : { 7U, 8U }) {
    GroupCommit commit;
    RecordWrite write = Insert("job");
    write.m_also = { { "submission", 7 } };
    commit.Add(write);
    commit.OnTick(Time());
    const auto unknown = commit.OnCommitResult(
      Time() + seconds(1), 1, ResultOf(CommitState::Unknown));
    ASSERT_TRUE(unknown.m_read);
    const ReadResult read{ true, { { "submission", { "x", version } } } };
    const auto settled = commit.OnReadResult(
      Time() + seconds(2), unknown.m_read->m_operation, read);
    EXPECT_EQ(settled.m_commit.has_value(), version == 7);
    EXPECT_EQ(settled.m_results.size(), version == 7 ? 0U : 1U);
  }
}

TEST(GroupCommit, DoesNotCheckARowThatItWritesInTheSameTransaction)
{
  GroupCommit commit;
  commit.Add({ "submission", 7, std::nullopt, Time() + seconds(10) });
  RecordWrite write = Insert("job");
  write.m_also = { { "submission", 7 } };
  commit.Add(write);
  const auto first = commit.OnTick(Time());
  EXPECT_EQ(first.m_commit->m_commit.m_deletes.size(), 1U);
  EXPECT_TRUE(first.m_commit->m_commit.m_puts.empty());
}

TEST(GroupCommit, ReportsWhatIsKnownAtTheDeadline)
{
  GroupCommit commit;
  commit.Add(Insert("never sent"));
  const auto never = commit.OnTick(Time() + seconds(10));
  ASSERT_EQ(never.m_results.size(), 1U);
  EXPECT_EQ(never.m_results[0].m_state, CommitState::NotApplied);
  commit.Add(Insert("sent"));
  commit.OnTick(Time());
  commit.OnCommitResult(Time(), 1, ResultOf(CommitState::Unknown));
  const auto sent = commit.OnTick(Time() + seconds(10));
  EXPECT_EQ(sent.m_results[0].m_state, CommitState::Unknown);
}

/// Each record gets one result, which is true of the table, whatever the table
/// answers to the transactions.
TEST(GroupCommit, ResultsAgreeWithTheTable)
{
  const bool ok = rc::check("results agree with the table", [] {
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    GroupCommit commit;
    MemoryTable rows;
    std::map<RecordId, std::string> open;
    std::map<std::string, std::string> committed;
    Time now{};
    const auto apply = [&](auto&& aSelf, GroupCommitEffects aEffects) -> void {
      for (const RecordResult& result : aEffects.m_results) {
        RC_ASSERT(open.contains(result.m_record));
        const std::string value = std::to_string(result.m_record);
        if (result.m_state == CommitState::Committed) {
          RC_ASSERT(committed.emplace(open[result.m_record], value).second);
        }
        open.erase(result.m_record);
      }
      if (aEffects.m_read) {
        aSelf(aSelf,
              commit.OnReadResult(now,
                                  aEffects.m_read->m_operation,
                                  rows.Get(aEffects.m_read->m_read)));
      }
      if (aEffects.m_commit) {
        const int outcome = static_cast<int>(random() % 4);
        CommitResult result = ResultOf(CommitState::NotApplied);
        if (outcome != 0) {
          result = rows.Apply(aEffects.m_commit->m_commit);
        }
        if (outcome == 1) {
          result = ResultOf(CommitState::Unknown);
        }
        aSelf(
          aSelf,
          commit.OnCommitResult(now, aEffects.m_commit->m_operation, result));
      }
    };
    for (int step = 0; step < 200; ++step) {
      const std::string key = std::to_string(random() % 20);
      RecordWrite write = Insert(key);
      write.m_deadline = now + seconds(30);
      // Records are numbered from 1, so the value names the record.
      write.m_value = std::to_string(step + 1);
      const auto id = commit.Add(write);
      open[*id] = key;
      now += milliseconds(3);
      apply(apply, commit.OnTick(now));
    }
    for (int tick = 0; tick < 2000 && !open.empty(); ++tick) {
      now += milliseconds(5);
      apply(apply, commit.OnTick(now));
    }
    RC_ASSERT(open.empty());
    for (const auto& [key, value] : committed) {
      RC_ASSERT(rows.AllRows().at(key).m_value == value);
    }
  });
  EXPECT_TRUE(ok);
}

} // namespace lacewing::table
