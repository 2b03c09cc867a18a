/// Guards against responses of the store that count as a transaction that was
/// not applied although it may have been: a later transaction could then be
/// overwritten by it.
#include "fakes/StoreCell.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using table::CommitState;

CommitState
StateAfter(int aStatus, const std::string& aBody)
{
  StoreCell cell;
  cell.OverrideWith([&](const net::HttpRequest&) {
    return std::optional(net::JsonResponse(aStatus, aBody));
  });
  std::optional<CommitState> state;
  cell.Store().Submit(
    { {}, { { "jobs/1/key", "value" } }, {} },
    seconds(2),
    [&](const table::CommitResult& aResult) { state = aResult.m_state; });
  EXPECT_TRUE(cell.RunUntil([&] { return state.has_value(); }));
  return state.value_or(CommitState::Conflict);
}

TEST(StoreResponses, RejectionsOfTheStoreMeanThatNothingWasApplied)
{
  EXPECT_EQ(StateAfter(503, "{}"), CommitState::NotApplied);
  EXPECT_EQ(StateAfter(429, "{}"), CommitState::NotApplied);
  EXPECT_EQ(StateAfter(403, "{}"), CommitState::NotApplied);
}

TEST(StoreResponses, OtherFailuresOfTheServerLeaveTheTransactionInDoubt)
{
  EXPECT_EQ(StateAfter(500, "{}"), CommitState::Unknown);
  EXPECT_EQ(StateAfter(502, "{}"), CommitState::Unknown);
  EXPECT_EQ(StateAfter(504, "{}"), CommitState::Unknown);
}

/// Version 0 was taken for that of the rows. A leader that believes in it would
/// take every job for younger than its claim.
TEST(StoreResponses, SuccessWithoutAVersionLeavesTheTransactionInDoubt)
{
  EXPECT_EQ(StateAfter(200, R"({"ver":7})"), CommitState::Committed);
  EXPECT_EQ(StateAfter(200, "{}"), CommitState::Unknown);
  EXPECT_EQ(StateAfter(200, R"({"ver":-1})"), CommitState::Unknown);
  EXPECT_EQ(StateAfter(200, "no JSON"), CommitState::Unknown);
}

} // namespace

} // namespace lacewing::fakes
