/// Guards against callers that are told that a request has not run after an
/// answer about it was lost.
#include "fakes/FrontCell.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace lacewing::fakes {

namespace {

constexpr const char* kJobPath = "/patient/00000000000000a1";
constexpr Duration kDeadline = seconds(1);

/// A store that refuses every call about jobs and serves the others.
StoreCell::Override
RefuseJobs()
{
  return
    [](const net::HttpRequest& aRequest) -> std::optional<net::HttpResponse> {
      const bool aboutJobs = aRequest.Query("table") == pool::kJobTable ||
                             aRequest.m_path == "/api/rows-tx";
      return aboutJobs ? std::optional(net::JsonResponse(503, "{}"))
                       : std::nullopt;
    };
}

std::string
VerdictOf(const net::HttpResponse& aResponse)
{
  return nlohmann::json::parse(aResponse.m_body).value("verdict", "");
}

/// The daemon could not reach the store and forwarded the cancellation to the
/// leader, whose answer was lost. The caller was told that the cancellation was
/// not stored, and kept a job that was cancelled.
TEST(EdgeLostAnswers, ForwardedCancellationWithoutAnswerMayHaveRun)
{
  FrontCell cell;
  cell.OverrideWith(RefuseJobs());
  int forwarded = 0;
  ASSERT_TRUE(cell.Start([&](const auto& aRequest, const auto&) {
    forwarded += aRequest.m_path.starts_with(edge::kStoreCancelPath) ? 1 : 0;
  }));
  const auto response = cell.Call("DELETE", kJobPath, kDeadline);
  ASSERT_TRUE(response);
  EXPECT_GT(forwarded, 0);
  EXPECT_EQ(response->m_status, 504);
  EXPECT_EQ(VerdictOf(*response), "may_have_run");
}

/// A leader that refuses the cancellation has not stored it.
TEST(EdgeLostAnswers, CancellationThatTheLeaderRefusesHasNotRun)
{
  FrontCell cell;
  cell.OverrideWith(RefuseJobs());
  ASSERT_TRUE(cell.Start([](const auto&, const auto& aReply) {
    aReply(net::JsonResponse(503, "{}"));
  }));
  const auto response = cell.Call("DELETE", kJobPath, kDeadline);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->m_status, 503);
  EXPECT_EQ(VerdictOf(*response), "not_run");
}

} // namespace

} // namespace lacewing::fakes
