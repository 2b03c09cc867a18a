/// Guards against untruthful refusals, useless Retry-After values, answers to
/// the wrong request and retries that are not allowed.
#include "routing/RequestRouter.h"

#include <gtest/gtest.h>

namespace lacewing::routing {

namespace {

const VmId kEndpoint("e");
const TeamId kTeam("team");

RequestRouter
MakeRouter(int aSlots = 1, RouterOptions aOptions = {})
{
  aOptions.m_defaultAllotment = 100;
  RequestRouter router(Time(), aOptions, 1);
  router.Adopt(Time(), {});
  for (const Action& action :
       router.UpdateEndpoints(Time(), { { kEndpoint, aSlots } })) {
    router.OnEndpointStatus(Time(),
                            std::get<Probe>(action).m_query,
                            EndpointStatus{ aSlots, 0, false });
  }
  return router;
}

Request
Make(std::uint64_t aNumber, bool aIdempotent = false)
{
  Request request;
  request.m_id = { VmId("front"), 1, aNumber };
  request.m_team = kTeam;
  request.m_deadline = Time() + seconds(10);
  request.m_idempotent = aIdempotent;
  return request;
}

template<typename Kind>
const Kind*
Find(const Actions& aActions)
{
  for (const Action& action : aActions) {
    if (const auto* found = std::get_if<Kind>(&action)) {
      return found;
    }
  }
  return nullptr;
}

EndpointAnswer
Ok(const std::string& aBody)
{
  EndpointAnswer answer;
  answer.m_status = 200;
  answer.m_body = aBody;
  answer.m_contentLength = aBody.size();
  return answer;
}

} // namespace

TEST(RequestRouter, MatchesAnswersByAttemptAndDropsOthers)
{
  RequestRouter router = MakeRouter();
  const Actions admitted = router.Admit(Time(), Make(1));
  const AttemptId attempt = Find<Dispatch>(admitted)->m_attempt;
  EXPECT_TRUE(
    router.OnEndpointAnswer(Time(), attempt + 1, kEndpoint, Ok("x")).empty());
  EXPECT_EQ(router.Counters().m_unknownAnswers, 1U);
  const Actions answered =
    router.OnEndpointAnswer(Time(), attempt, kEndpoint, Ok("y"));
  ASSERT_NE(Find<Answer>(answered), nullptr);
  EXPECT_EQ(Find<Answer>(answered)->m_request, Make(1).m_id);
}

TEST(RequestRouter, LateAnswerFreesTheSlotAndIsDropped)
{
  RequestRouter router = MakeRouter();
  const Actions admitted = router.Admit(Time(), Make(1));
  const AttemptId attempt = Find<Dispatch>(admitted)->m_attempt;
  const Time late = Time() + seconds(11);
  const Actions expired = router.OnTick(late);
  EXPECT_EQ(Find<Refuse>(expired)->m_error.m_verdict, Verdict::MayHaveRun);
  Request next = Make(2);
  next.m_deadline = late + seconds(5);
  EXPECT_EQ(Find<Dispatch>(router.Admit(late, next)), nullptr);
  const Actions freed =
    router.OnEndpointAnswer(late, attempt, kEndpoint, Ok("late"));
  EXPECT_EQ(Find<Answer>(freed), nullptr);
  EXPECT_NE(Find<Dispatch>(freed), nullptr);
  EXPECT_EQ(router.Counters().m_lateAnswers, 1U);
}

TEST(RequestRouter, AbandonedSlotIsFreedAfterTheLargestDeadline)
{
  RequestRouter router = MakeRouter();
  const Actions admitted = router.Admit(Time(), Make(1));
  router.OnEndpointFailure(Time(), Find<Dispatch>(admitted)->m_attempt, {});
  Request next = Make(2);
  next.m_deadline = Time() + 2 * kMaxDeadline;
  EXPECT_EQ(Find<Dispatch>(router.Admit(Time(), next)), nullptr);
  const Time end = Time() + kMaxDeadline;
  EXPECT_EQ(Find<Dispatch>(router.OnTick(end - milliseconds(1))), nullptr);
  ASSERT_TRUE(router.NextWakeup(end - milliseconds(1)));
  EXPECT_LE(*router.NextWakeup(end - milliseconds(1)), end);
  EXPECT_NE(Find<Dispatch>(router.OnTick(end)), nullptr);
}

TEST(RequestRouter, ShortAnswerIsNotPassedOn)
{
  RequestRouter router = MakeRouter();
  const Actions admitted = router.Admit(Time(), Make(1));
  EndpointAnswer answer = Ok("whole");
  answer.m_body = "who";
  const Actions actions = router.OnEndpointAnswer(
    Time(), Find<Dispatch>(admitted)->m_attempt, kEndpoint, answer);
  EXPECT_EQ(Find<Answer>(actions), nullptr);
  EXPECT_EQ(Find<Refuse>(actions)->m_error.m_verdict, Verdict::MayHaveRun);
}

TEST(RequestRouter, RetriesOnlyIdempotentRequestsAfterAFailure)
{
  for (const bool idempotent : { false, true }) {
    RequestRouter router = MakeRouter();
    const Actions admitted = router.Admit(Time(), Make(1, idempotent));
    const Actions failed =
      router.OnEndpointFailure(Time(), Find<Dispatch>(admitted)->m_attempt, {});
    EXPECT_EQ(Find<Refuse>(failed) == nullptr, idempotent);
  }
}

TEST(RequestRouter, ExplicitRefusalIsRetriedAndStaysNotRun)
{
  RequestRouter router = MakeRouter();
  const Actions admitted = router.Admit(Time(), Make(1));
  EndpointAnswer refusal;
  refusal.m_status = 503;
  refusal.m_notRun = true;
  const Actions refused = router.OnEndpointAnswer(
    Time(), Find<Dispatch>(admitted)->m_attempt, kEndpoint, refusal);
  EXPECT_EQ(Find<Refuse>(refused), nullptr);
  const Actions drained = router.BeginDrain(Time());
  EXPECT_EQ(Find<Refuse>(drained)->m_error.m_verdict, Verdict::NotRun);
}

TEST(RequestRouter, FullQueueRefusesWithRetryAfter)
{
  RouterOptions options;
  options.m_queue.m_maxTotal = 1;
  RequestRouter router = MakeRouter(1, options);
  router.Admit(Time(), Make(1));
  router.Admit(Time(), Make(2));
  const Actions refused = router.Admit(Time(), Make(3));
  ASSERT_NE(Find<Refuse>(refused), nullptr);
  EXPECT_EQ(Find<Refuse>(refused)->m_error.m_code, ErrorCode::QueueFull);
  EXPECT_EQ(Find<Refuse>(refused)->m_error.m_verdict, Verdict::NotRun);
  EXPECT_GE(Find<Refuse>(refused)->m_retryAfter, seconds(1));
}

TEST(RequestRouter, KeepsTheAllotmentOfATeam)
{
  RequestRouter router = MakeRouter(8);
  router.SetAllotment(Time(), kTeam, 1);
  EXPECT_NE(Find<Dispatch>(router.Admit(Time(), Make(1))), nullptr);
  EXPECT_EQ(Find<Dispatch>(router.Admit(Time(), Make(2))), nullptr);
  EXPECT_NE(Find<Dispatch>(router.SetAllotment(Time(), kTeam, 2)), nullptr);
}

TEST(RequestRouter, RefusesTheQueueWhenItsAuthorityHasEnded)
{
  RequestRouter router = MakeRouter();
  router.SetAuthorityEnd(Time(), Time() + seconds(3));
  router.Admit(Time(), Make(1));
  router.Admit(Time(), Make(2));
  const Actions ended = router.OnTick(Time() + seconds(3));
  ASSERT_NE(Find<Refuse>(ended), nullptr);
  EXPECT_EQ(Find<Refuse>(ended)->m_error.m_code, ErrorCode::NotOwner);
  EXPECT_EQ(Find<Refuse>(ended)->m_error.m_verdict, Verdict::NotRun);
}

TEST(RequestRouter, RefusesTheQueueWhenEveryEndpointIsLeaving)
{
  // Kept in the queue, these requests would wait for their deadline although
  // other slices have free slots.
  RequestRouter router = MakeRouter();
  router.Admit(Time(), Make(1));
  router.Admit(Time(), Make(2));
  const Actions left =
    router.UpdateEndpoints(Time(), { { kEndpoint, 1, 64, true } });
  ASSERT_NE(Find<Refuse>(left), nullptr);
  EXPECT_EQ(Find<Refuse>(left)->m_request, Make(2).m_id);
  EXPECT_EQ(Find<Refuse>(left)->m_error.m_code, ErrorCode::Unavailable);
  EXPECT_EQ(Find<Refuse>(left)->m_error.m_verdict, Verdict::NotRun);
  const Actions later = router.Admit(Time(), Make(3));
  ASSERT_NE(Find<Refuse>(later), nullptr);
  EXPECT_EQ(Find<Refuse>(later)->m_request, Make(3).m_id);
}

TEST(RequestRouter, KeepsTheQueueUntilTheListOfEndpointsIsThere)
{
  RequestRouter router(Time(), {}, 1);
  router.Adopt(Time(), {});
  EXPECT_EQ(Find<Refuse>(router.Admit(Time(), Make(1))), nullptr);
}

TEST(RequestRouter, DropsADuplicatedForward)
{
  RequestRouter router = MakeRouter(8);
  router.Admit(Time(), Make(1));
  EXPECT_TRUE(router.Admit(Time(), Make(1)).empty());
  EXPECT_EQ(router.Counters().m_duplicates, 1U);
}

TEST(RequestRouter, SlotsOfAnEarlierOwnerCountForEveryTeam)
{
  RouterOptions options;
  options.m_defaultAllotment = 3;
  RequestRouter router(Time(), options, 1);
  router.Adopt(Time(), { { { kEndpoint, 2 } }, { { TeamId("other"), 1 } } });
  for (const Action& action :
       router.UpdateEndpoints(Time(), { { kEndpoint, 8 } })) {
    router.OnEndpointStatus(
      Time(), std::get<Probe>(action).m_query, EndpointStatus{ 8, 2, false });
  }
  EXPECT_EQ(router.RunningOf(TeamId("other")), 2);
  EXPECT_EQ(router.RunningOf(kTeam), 1);
  router.OnEarlierOwner(Time(), {});
  EXPECT_EQ(router.RunningOf(kTeam), 0);
}

} // namespace lacewing::routing
