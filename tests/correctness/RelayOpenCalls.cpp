/// Guards against calls through a relay that never end, end twice, or whose
/// order may have been carried out although they count as not sent.
#include "relay/OpenCalls.h"

#include <gtest/gtest.h>

#include <limits>

namespace lacewing::relay {

namespace {

using platform::CommandState;

constexpr Time kNow{ seconds(100) };
constexpr CallId kNoneUnsent = std::numeric_limits<CallId>::max();

class Calls : public testing::Test
{
protected:
  CallId Add(Duration aTimeout = seconds(1))
  {
    return m_calls.Add(kNow + aTimeout, [this](const Answer& aAnswer) {
      m_ended.push_back(aAnswer);
    });
  }

  static Answer Done(CallId aCall)
  {
    return { aCall, CommandState::Done, pool::StartOutcome::Started, {} };
  }

  OpenCalls m_calls;
  std::vector<Answer> m_ended;
};

class RelayOpenCalls : public Calls
{};

TEST_F(RelayOpenCalls, AnswerEndsItsCallOnce)
{
  const CallId call = Add();
  m_calls.OnAnswer(Done(call));
  m_calls.OnAnswer(Done(call));
  m_calls.Expire(kNow + seconds(5));
  m_calls.Abandon(kNoneUnsent);
  ASSERT_EQ(m_ended.size(), 1U);
  EXPECT_EQ(m_ended[0].m_state, CommandState::Done);
}

/// Answers come in any order.
TEST_F(RelayOpenCalls, AnswersBelongToTheirCalls)
{
  const CallId first = Add();
  const CallId second = Add();
  m_calls.OnAnswer(Done(second));
  m_calls.OnAnswer(Done(first));
  ASSERT_EQ(m_ended.size(), 2U);
  EXPECT_EQ(m_ended[0].m_call, second);
  EXPECT_EQ(m_ended[1].m_call, first);
}

/// The relay may have made the call: a start that counted as not sent would be
/// sent to another worker.
TEST_F(RelayOpenCalls, CallWithoutAnAnswerInTimeIsInDoubt)
{
  const CallId call = Add(milliseconds(600));
  Add(seconds(2));
  m_calls.Expire(kNow + milliseconds(599));
  EXPECT_TRUE(m_ended.empty());
  m_calls.Expire(kNow + milliseconds(600));
  ASSERT_EQ(m_ended.size(), 1U);
  EXPECT_EQ(m_ended[0].m_call, call);
  EXPECT_EQ(m_ended[0].m_state, CommandState::Unknown);
  EXPECT_EQ(m_ended[0].m_outcome, pool::StartOutcome::Unknown);
  m_calls.OnAnswer(Done(call));
  EXPECT_EQ(m_ended.size(), 1U);
}

TEST_F(RelayOpenCalls, LostRelayLeavesSentCallsInDoubtAndOthersUnsent)
{
  const CallId sent = Add();
  const CallId unsent = Add();
  m_calls.Abandon(unsent);
  ASSERT_EQ(m_ended.size(), 2U);
  for (const Answer& answer : m_ended) {
    const bool wasSent = answer.m_call == sent;
    EXPECT_EQ(answer.m_state,
              wasSent ? CommandState::Unknown : CommandState::NotSent);
    EXPECT_EQ(answer.m_outcome,
              wasSent ? pool::StartOutcome::Unknown
                      : pool::StartOutcome::NotSent);
  }
  EXPECT_EQ(m_calls.Size(), 0U);
}

/// What the end of a call makes its owner do may add calls.
TEST_F(RelayOpenCalls, CallsAddedWhileOthersAreAbandonedStayOpen)
{
  m_calls.Add(kNow + seconds(1), [this](const Answer&) { Add(); });
  m_calls.Abandon(kNoneUnsent);
  EXPECT_EQ(m_calls.Size(), 1U);
  m_calls.Expire(kNow + seconds(1));
  EXPECT_EQ(m_ended.size(), 1U);
}

} // namespace

} // namespace lacewing::relay
