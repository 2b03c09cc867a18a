/// Guards against patient work before interactive work, unfair teams, late
/// deadlines first, and shedding of the wrong request.
#include "routing/RequestQueue.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace lacewing::routing {

namespace {

QueuedRequest
Make(std::uint64_t aNumber,
     RequestClass aClass = RequestClass::Interactive,
     const char* aTeam = "a",
     int aDeadlineMs = 1000)
{
  QueuedRequest queued;
  queued.m_request.m_id = { VmId("front"), 1, aNumber };
  queued.m_request.m_team = TeamId(aTeam);
  queued.m_request.m_class = aClass;
  queued.m_request.m_deadline = Time() + milliseconds(aDeadlineMs);
  return queued;
}

bool
AnyTeam(const TeamId& /*aTeam*/)
{
  return true;
}

std::uint64_t
PopNumber(RequestQueue& aQueue)
{
  const auto next = aQueue.Pop(AnyTeam);
  return next ? next->m_request.m_id.m_number : 0;
}

} // namespace

TEST(RequestQueue, ServesClassesInStrictOrder)
{
  RequestQueue queue;
  queue.Push(Make(1, RequestClass::Patient));
  queue.Push(Make(2, RequestClass::Interactive));
  queue.Push(Make(3, RequestClass::Urgent));
  EXPECT_EQ(PopNumber(queue), 3U);
  EXPECT_EQ(PopNumber(queue), 2U);
  EXPECT_EQ(PopNumber(queue), 1U);
}

TEST(RequestQueue, ServesTheEarliestDeadlineOfATeamFirst)
{
  RequestQueue queue;
  queue.Push(Make(1, RequestClass::Interactive, "a", 900));
  queue.Push(Make(2, RequestClass::Interactive, "a", 100));
  EXPECT_EQ(PopNumber(queue), 2U);
}

TEST(RequestQueue, SharesByWeightBetweenTeams)
{
  RequestQueue queue;
  queue.SetWeight(TeamId("b"), 3.0);
  for (std::uint64_t number = 1; number <= 400; ++number) {
    queue.Push(Make(number, RequestClass::Interactive, "a"));
    queue.Push(Make(number, RequestClass::Interactive, "b"));
  }
  int ofB = 0;
  for (int pop = 0; pop < 100; ++pop) {
    ofB += queue.Pop(AnyTeam)->m_request.m_team == TeamId("b") ? 1 : 0;
  }
  EXPECT_NEAR(ofB, 75, 1);
}

TEST(RequestQueue, PassesOverATeamAtItsLimit)
{
  RequestQueue queue;
  queue.Push(Make(1, RequestClass::Interactive, "a"));
  queue.Push(Make(2, RequestClass::Interactive, "b"));
  const auto next =
    queue.Pop([](const TeamId& aTeam) { return aTeam == TeamId("b"); });
  ASSERT_TRUE(next);
  EXPECT_EQ(next->m_request.m_id.m_number, 2U);
}

TEST(RequestQueue, ShedsTheNewestPatientRequestWhenFull)
{
  QueueOptions options;
  options.m_maxTotal = 2;
  RequestQueue queue(options);
  queue.Push(Make(1, RequestClass::Patient));
  queue.Push(Make(2, RequestClass::Patient));
  const auto shed = queue.Push(Make(3, RequestClass::Interactive));
  ASSERT_EQ(shed.size(), 1U);
  EXPECT_EQ(shed[0].m_request.m_id.m_number, 2U);
  const auto refused = queue.Push(Make(4, RequestClass::Patient));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].m_request.m_id.m_number, 4U);
}

TEST(RequestQueue, LosesAndRepeatsNothing)
{
  const bool ok = rc::check("each request leaves the queue once", [] {
    QueueOptions options;
    options.m_maxTotal = 20;
    RequestQueue queue(options);
    std::multiset<std::uint64_t> left;
    const auto note = [&left](const std::vector<QueuedRequest>& aRequests) {
      for (const QueuedRequest& queued : aRequests) {
        left.insert(queued.m_request.m_id.m_number);
      }
    };
    const auto count = *rc::gen::inRange<std::uint64_t>(0, 60);
    for (std::uint64_t number = 1; number <= count; ++number) {
      const auto kind = static_cast<RequestClass>(*rc::gen::inRange(0, 3));
      const char* team = *rc::gen::element("a", "b", "c");
      note(queue.Push(Make(number, kind, team, *rc::gen::inRange(1, 100))));
      if (*rc::gen::inRange(0, 3) == 0) {
        left.insert(PopNumber(queue));
      }
      if (*rc::gen::inRange(0, 9) == 0) {
        note(queue.PopExpired(Time() + milliseconds(20)));
      }
    }
    note(queue.Clear());
    left.erase(0);
    RC_ASSERT(queue.empty());
    RC_ASSERT(left.size() == count);
    RC_ASSERT(std::set(left.begin(), left.end()).size() == count);
  });
  EXPECT_TRUE(ok);
}

} // namespace lacewing::routing
