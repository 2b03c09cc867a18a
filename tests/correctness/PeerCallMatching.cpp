/// Guards against replies that reach another call than their own, and against
/// more than one connection to a peer.
#include "fakes/PeerSamples.h"
#include "fakes/PeerSupport.h"
#include "peer/PeerCodec.h"

#include <gtest/gtest.h>

#include <map>

namespace lacewing::peer {

using fakes::PeerPair;
using fakes::RunUntil;
using fakes::TextMessage;
using fakes::TextOf;

TEST(PeerCallMatching, RepliesInReverseOrderReachTheirCalls)
{
  constexpr int kCalls = 300;
  std::vector<std::pair<PeerMessage, PeerReply>> waiting;
  PeerPair pair(
    [&](const PeerIdentity&, PeerMessage aMessage, PeerReply aReply) {
      waiting.emplace_back(std::move(aMessage), std::move(aReply));
    });
  std::map<int, std::string> replies;
  for (int call = 0; call < kCalls; ++call) {
    pair.Call(TextMessage(std::to_string(call)),
              [&replies, call](const PeerOutcome& aOutcome) {
                replies[call] = TextOf(aOutcome);
              });
  }
  ASSERT_TRUE(RunUntil(pair.m_loop, [&] { return waiting.size() == kCalls; }));
  EXPECT_EQ(pair.m_server.Connections(), 1U);
  EXPECT_EQ(pair.m_client.Connections(), 1U);
  for (auto one = waiting.rbegin(); one != waiting.rend(); ++one) {
    one->second(one->first);
  }
  ASSERT_TRUE(RunUntil(pair.m_loop, [&] { return replies.size() == kCalls; }));
  for (const auto& [call, text] : replies) {
    EXPECT_EQ(text, std::to_string(call));
  }
  EXPECT_EQ(pair.m_client.OpenCalls(), 0U);
  EXPECT_EQ(pair.m_server.RunningRequests(), 0U);
}

TEST(PeerCallMatching, LargeMessagesArriveWholeBesideSmallOnes)
{
  constexpr std::size_t kLargeBytes = kMaxMessageBytes - 64;
  constexpr int kCalls = 8;
  PeerPair pair(fakes::Echo);
  std::map<int, std::string> replies;
  for (int call = 0; call < kCalls; ++call) {
    const std::size_t size = call % 2 == 0 ? kLargeBytes : 10;
    pair.Call(TextMessage(std::string(size, static_cast<char>('a' + call))),
              [&replies, call](const PeerOutcome& aOutcome) {
                replies[call] = TextOf(aOutcome);
              });
  }
  ASSERT_TRUE(RunUntil(pair.m_loop, [&] { return replies.size() == kCalls; }));
  for (const auto& [call, text] : replies) {
    const std::size_t size = call % 2 == 0 ? kLargeBytes : 10;
    EXPECT_TRUE(text == std::string(size, static_cast<char>('a' + call)))
      << "call " << call << " got " << text.size() << " bytes";
  }
}

TEST(PeerCallMatching, EveryKindOfMessageTravelsBothWays)
{
  PeerPair pair(fakes::Echo);
  for (const PeerMessage& message : fakes::SampleMessages()) {
    const PeerOutcome outcome = pair.CallAndWait(message);
    if (const auto* refusal = std::get_if<Refusal>(&message)) {
      EXPECT_FALSE(outcome.m_reply.has_value());
      EXPECT_EQ(outcome.m_error.m_code, refusal->m_error.m_code);
      continue;
    }
    ASSERT_TRUE(outcome.m_reply.has_value()) << outcome.m_error.m_message;
    EXPECT_EQ(EncodeMessage(*outcome.m_reply), EncodeMessage(message));
    EXPECT_EQ(outcome.m_from, (PeerIdentity{ VmId("server"), 7 }));
  }
}

TEST(PeerCallMatching, HandlerLearnsTheProvenIdentity)
{
  PeerIdentity from;
  PeerPair pair([&](const PeerIdentity& aFrom,
                    const PeerMessage&,
                    const PeerReply& aReply) {
    from = aFrom;
    aReply(Acknowledgement{});
  });
  const auto outcome = pair.CallAndWait(TextMessage("x"));
  ASSERT_TRUE(outcome.m_reply.has_value()) << outcome.m_error.m_message;
  EXPECT_TRUE(std::holds_alternative<Acknowledgement>(*outcome.m_reply));
  EXPECT_EQ(from, (PeerIdentity{ VmId("client"), 7 }));
}

TEST(PeerCallMatching, NotificationIsDelivered)
{
  int received = 0;
  PeerPair pair(
    [&](const PeerIdentity&, const PeerMessage&, const PeerReply& aReply) {
      ++received;
      aReply(Acknowledgement{});
    });
  pair.m_client.Notify(
    VmId("server"), pair.m_address, Opaque{ "kind", "text" });
  EXPECT_TRUE(RunUntil(pair.m_loop, [&] {
    return received == 1 && pair.m_client.OpenCalls() == 0;
  }));
}

TEST(PeerCallMatching, CallFromACallbackIsServed)
{
  PeerPair pair(fakes::Echo);
  std::string second;
  pair.Call(TextMessage("first"), [&](const PeerOutcome&) {
    pair.Call(TextMessage("second"),
              [&](const PeerOutcome& aOutcome) { second = TextOf(aOutcome); });
  });
  EXPECT_TRUE(RunUntil(pair.m_loop, [&] { return second == "second"; }));
}

TEST(PeerCallMatching, ReplyAfterTheServerHasGoneIsIgnored)
{
  PeerReply kept;
  std::optional<PeerOutcome> result;
  {
    PeerPair pair([&](const PeerIdentity&,
                      const PeerMessage&,
                      PeerReply aReply) { kept = std::move(aReply); });
    pair.Call(TextMessage("x"),
              [&](const PeerOutcome& aOutcome) { result = aOutcome; });
    ASSERT_TRUE(RunUntil(pair.m_loop, [&] { return kept != nullptr; }));
  }
  kept(Acknowledgement{});
  EXPECT_FALSE(result.has_value());
}

TEST(PeerCallMatching, IdleConnectionIsClosedAndOpenedAgain)
{
  auto options = fakes::ClientOptions();
  options.m_idleTimeout = milliseconds(1);
  options.m_sweepPeriod = milliseconds(1);
  PeerPair pair(fakes::Echo, fakes::ServerOptions(), options);
  EXPECT_EQ(TextOf(pair.CallAndWait(TextMessage("one"))), "one");
  ASSERT_TRUE(RunUntil(pair.m_loop, [&] {
    return pair.m_client.Connections() == 0 && pair.m_server.Connections() == 0;
  }));
  EXPECT_EQ(TextOf(pair.CallAndWait(TextMessage("two"))), "two");
}

} // namespace lacewing::peer
