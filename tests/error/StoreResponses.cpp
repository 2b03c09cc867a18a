/// Guards against responses of the store that count as a transaction that was
/// not applied although it may have been: a later transaction could then be
/// overwritten by it.
#include "fakes/StoreCell.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using table::CommitState;

table::CommitResult
ResultAfter(int aStatus, const std::string& aBody)
{
  StoreCell cell;
  cell.OverrideWith([&](const net::HttpRequest&) {
    return std::optional(net::JsonResponse(aStatus, aBody));
  });
  std::optional<table::CommitResult> result;
  cell.Store().Submit(
    { {}, { { "jobs/1/key", "value" } }, {} },
    seconds(2),
    [&](const table::CommitResult& aResult) { result = aResult; });
  EXPECT_TRUE(cell.RunUntil([&] { return result.has_value(); }));
  return result.value_or(table::CommitResult{ CommitState::Conflict, 0, {} });
}

CommitState
StateAfter(int aStatus, const std::string& aBody)
{
  return ResultAfter(aStatus, aBody).m_state;
}

TEST(StoreResponses, RejectionsOfTheStoreMeanThatNothingWasApplied)
{
  EXPECT_EQ(StateAfter(503, "{}"), CommitState::NotApplied);
  EXPECT_EQ(StateAfter(429, "{}"), CommitState::NotApplied);
  EXPECT_EQ(StateAfter(403, "{}"), CommitState::NotApplied);
}

/// A transaction that is too large was sent again for ever, like one that the
/// store was too busy for.
TEST(StoreResponses, RefusedContentIsToldFromABusyStore)
{
  EXPECT_TRUE(ResultAfter(400, "{}").m_isRefused);
  EXPECT_TRUE(ResultAfter(413, "{}").m_isRefused);
  EXPECT_FALSE(ResultAfter(503, "{}").m_isRefused);
  EXPECT_FALSE(ResultAfter(429, "{}").m_isRefused);
  EXPECT_FALSE(ResultAfter(412, "{}").m_isRefused);
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
