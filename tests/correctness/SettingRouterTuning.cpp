/// Guards against a running router that keeps the queue bounds, the back-off or
/// the retry budget with which its slice was claimed.
#include "daemon/AppliedSettings.h"
#include "fakes/SystemSettings.h"

#include <gtest/gtest.h>

namespace lacewing::daemon {

namespace {

const VmId kEndpoint("e");

routing::RequestRouter
MakeRouter()
{
  routing::RouterOptions options;
  options.m_defaultAllotment = 100;
  routing::RequestRouter router(Time(), options, 1);
  router.Adopt(Time(), {});
  for (const routing::Action& action :
       router.UpdateEndpoints(Time(), { { kEndpoint, 1 } })) {
    router.OnEndpointStatus(Time(),
                            std::get<routing::Probe>(action).m_query,
                            routing::EndpointStatus{ 1, 0, false });
  }
  return router;
}

routing::Request
Make(std::uint64_t aNumber)
{
  routing::Request request;
  request.m_id = { VmId("front"), 1, aNumber };
  request.m_team = TeamId("team");
  request.m_deadline = Time() + seconds(20);
  request.m_idempotent = true;
  return request;
}

template<typename Kind>
const Kind*
Find(const routing::Actions& aActions)
{
  for (const routing::Action& action : aActions) {
    if (const auto* found = std::get_if<Kind>(&action)) {
      return found;
    }
  }
  return nullptr;
}

} // namespace

TEST(SettingRouterTuning, QueueBoundAppliesToTheNextRequest)
{
  routing::RequestRouter router = MakeRouter();
  router.Admit(Time(), Make(1));
  EXPECT_EQ(Find<routing::Refuse>(router.Admit(Time(), Make(2))), nullptr);
  router.SetTuning(RouterTuningOf(
    fakes::SystemSettings("[requests]\nqueue_interactive = 1\n")));
  const auto actions = router.Admit(Time(), Make(3));
  ASSERT_NE(Find<routing::Refuse>(actions), nullptr);
  EXPECT_EQ(Find<routing::Refuse>(actions)->m_error.m_code,
            ErrorCode::QueueFull);
}

TEST(SettingRouterTuning, BackoffAppliesToTheNextRetry)
{
  routing::RequestRouter router = MakeRouter();
  router.SetTuning(RouterTuningOf(
    fakes::SystemSettings("[requests]\nretry_backoff_ms = 8000\n")));
  const auto admitted = router.Admit(Time(), Make(1));
  const auto* dispatch = Find<routing::Dispatch>(admitted);
  ASSERT_NE(dispatch, nullptr);
  const auto failed = router.OnEndpointFailure(
    Time(), dispatch->m_attempt, { Verdict::NotRun, "refused" });
  EXPECT_EQ(Find<routing::Refuse>(failed), nullptr);
  EXPECT_EQ(Find<routing::Dispatch>(router.OnTick(Time() + milliseconds(3999))),
            nullptr);
  EXPECT_NE(Find<routing::Dispatch>(router.OnTick(Time() + seconds(8))),
            nullptr);
}

TEST(SettingRouterTuning, RetryBudgetAppliesToTheNextRequest)
{
  const auto retries = [](double aRatio) {
    routing::RetryBudget budget(0.1, 1);
    budget.SetRatio(aRatio);
    EXPECT_TRUE(budget.TryRetry());
    budget.OnRequest();
    return budget.TryRetry();
  };
  EXPECT_TRUE(retries(1));
  EXPECT_FALSE(retries(0));
  EXPECT_EQ(
    RouterTuningOf(fakes::SystemSettings("[requests]\nretry_budget = 0.5\n"))
      .m_retryRatio,
    0.5);
}

} // namespace lacewing::daemon
