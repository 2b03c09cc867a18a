/// Guards against a checker that accepts a history which breaks its guarantee.
#include "harness/RoutingHistory.h"

#include <gtest/gtest.h>

namespace lacewing::harness {

namespace {

Time
At(int aMilliseconds)
{
  return Time() + milliseconds(aMilliseconds);
}

Event
Make(EventKind aKind, int aMilliseconds, std::uint64_t aCall = 1)
{
  Event event;
  event.m_kind = aKind;
  event.m_at = At(aMilliseconds);
  event.m_call = aCall;
  event.m_key = "key";
  event.m_team = TeamId("team");
  event.m_slice = SliceId("slice");
  event.m_vm = VmId("vm");
  event.m_owner = VmId("vm");
  event.m_attempt = "attempt" + std::to_string(aCall);
  event.m_body = "body" + std::to_string(aCall);
  return event;
}

Event
Number(Event aEvent, std::int64_t aNumber)
{
  aEvent.m_number = aNumber;
  return aEvent;
}

Event
AnswerReply(std::uint64_t aCall, const std::string& aBody)
{
  Event event = Make(EventKind::CallReply, 9, aCall);
  event.m_flag = true;
  event.m_body = aBody;
  return event;
}

} // namespace

TEST(RoutingCheckers, AnswersOfOthersShortOnesAndSecondReplies)
{
  const Event first = Make(EventKind::CallStart, 0, 1);
  const std::string whole = ExpectedAnswer(first.m_body);
  EXPECT_TRUE(CheckAnswers({ first, AnswerReply(1, whole) }).empty());
  EXPECT_FALSE(
    CheckAnswers({ first, AnswerReply(1, ExpectedAnswer("body2")) }).empty());
  EXPECT_FALSE(
    CheckAnswers({ first, AnswerReply(1, whole.substr(1)) }).empty());
  EXPECT_FALSE(
    CheckAnswers({ first, AnswerReply(1, whole), AnswerReply(1, whole) })
      .empty());
}

TEST(RoutingCheckers, FalseNotRun)
{
  const Event start = Make(EventKind::CallStart, 0, 1);
  const Event run = Make(EventKind::RunStart, 1, 1);
  const Event ended = Make(EventKind::CallEnded, 2, 1);
  const Event notRun = Make(EventKind::CallReply, 2, 1);
  EXPECT_FALSE(CheckNotRun({ start, run, notRun }).empty());
  EXPECT_FALSE(CheckNotRun({ start, notRun, run }).empty());
  const Event repeat = Make(EventKind::CallStart, 3, 2);
  const Event repeatNotRun = Make(EventKind::CallReply, 4, 2);
  EXPECT_FALSE(
    CheckNotRun({ start, run, ended, repeat, repeatNotRun }).empty());
  EXPECT_FALSE(
    CheckNotRun({ start, ended, repeat, repeatNotRun, run }).empty());
  EXPECT_TRUE(CheckNotRun({ start, repeat, run, ended, repeatNotRun }).empty());
}

TEST(RoutingCheckers, SecondRunOfAKey)
{
  const Event run = Make(EventKind::RunStart, 1, 1);
  EXPECT_TRUE(CheckAtMostOnce({ run }).empty());
  EXPECT_FALSE(
    CheckAtMostOnce({ run, Make(EventKind::RunStart, 2, 2) }).empty());
}

TEST(RoutingCheckers, DispatchToALeavingEndpoint)
{
  const Event leaving = Number(Make(EventKind::EndpointLeaving, 0), 1000);
  EXPECT_TRUE(
    CheckLeaving({ leaving, Make(EventKind::DispatchSent, 1) }).empty());
  EXPECT_FALSE(
    CheckLeaving({ leaving, Make(EventKind::DispatchSent, 2) }).empty());
}

TEST(RoutingCheckers, PlannedStopThatCuts)
{
  const Event begin = Make(EventKind::StopBegin, 2);
  const Event end = Make(EventKind::StopExit, 5);
  const Event sent = Make(EventKind::DispatchSent, 1);
  const Event taken = Make(EventKind::CallTaken, 1);
  EXPECT_FALSE(CheckPlannedStops({ sent, begin, end }).empty());
  EXPECT_FALSE(CheckPlannedStops({ taken, begin, end }).empty());
  EXPECT_TRUE(
    CheckPlannedStops({ sent, begin, Make(EventKind::AttemptEnded, 3), end })
      .empty());
  EXPECT_FALSE(
    CheckPlannedStops({ begin, Make(EventKind::StopExit, 40'000) }).empty());
}

TEST(RoutingCheckers, RunsAboveSlotsAndAllotment)
{
  const Event first = Make(EventKind::RunStart, 1, 1);
  const Event second = Make(EventKind::RunStart, 2, 2);
  const Event end = Make(EventKind::RunEnd, 2, 1);
  const Event slots = Number(Make(EventKind::SlotsSet, 0), 1);
  EXPECT_FALSE(CheckSlots({ slots, first, second }).empty());
  EXPECT_TRUE(CheckSlots({ slots, first, end, second }).empty());
  const Event allotment = Number(Make(EventKind::AllotmentSet, 0), 1);
  EXPECT_FALSE(CheckAllotments({ allotment, first, second }).empty());
  EXPECT_TRUE(CheckAllotments({ allotment, first, end, second }).empty());
}

} // namespace lacewing::harness
