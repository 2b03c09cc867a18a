/// Guards against responses of a worker that count as a command that was not
/// executed although it may have been: its task could then run twice.
#include "fakes/PoolSamples.h"
#include "fakes/StoreCell.h"
#include "platform/WorkerClient.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

using pool::StartOutcome;

/// A cell whose server answers as a worker.
class WorkerCell : public StoreCell
{
public:
  StartOutcome OutcomeAfter(int aStatus, const std::string& aBody)
  {
    OverrideWith([&](const net::HttpRequest&) {
      return std::optional(net::JsonResponse(aStatus, aBody));
    });
    platform::WorkerClient client(m_http);
    std::optional<StartOutcome> outcome;
    client.Start(
      Address(),
      { pool::WorkerId("w1"), { JobId("job"), 0, 0 }, 1, "", "", "" },
      1,
      1000,
      seconds(2),
      [&](const platform::StartResult& aResult) {
        outcome = aResult.m_outcome;
      });
    EXPECT_TRUE(RunUntil([&] { return outcome.has_value(); }));
    return outcome.value_or(StartOutcome::NotSent);
  }
};

TEST(WorkerResponses, RefusalsMeanThatTheStartWasNotExecuted)
{
  WorkerCell cell;
  EXPECT_EQ(cell.OutcomeAfter(503, "{}"), StartOutcome::Refused);
  EXPECT_EQ(cell.OutcomeAfter(429, "{}"), StartOutcome::Refused);
  EXPECT_EQ(cell.OutcomeAfter(400, "{}"), StartOutcome::Refused);
  EXPECT_EQ(cell.OutcomeAfter(409, R"({"reason":"room"})"),
            StartOutcome::NoRoom);
}

TEST(WorkerResponses, OtherFailuresLeaveTheStartInDoubt)
{
  WorkerCell cell;
  EXPECT_EQ(cell.OutcomeAfter(500, "{}"), StartOutcome::Unknown);
  EXPECT_EQ(cell.OutcomeAfter(502, "{}"), StartOutcome::Unknown);
  EXPECT_EQ(cell.OutcomeAfter(504, "{}"), StartOutcome::Unknown);
}

} // namespace

} // namespace lacewing::fakes
