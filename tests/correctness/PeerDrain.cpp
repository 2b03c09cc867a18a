/// Guards against a planned stop that cuts running requests or that leaves the
/// verdict of refused ones open.
#include "fakes/PeerSupport.h"

#include <gtest/gtest.h>

namespace lacewing::peer {

using fakes::PeerPair;
using fakes::RunUntil;
using fakes::TextMessage;
using fakes::TextOf;

TEST(PeerDrain, RunningRequestsOfADrainingServerFinish)
{
  constexpr std::size_t kCalls = 20;
  std::vector<std::pair<PeerMessage, PeerReply>> waiting;
  PeerPair pair(
    [&](const PeerIdentity&, PeerMessage aMessage, PeerReply aReply) {
      waiting.emplace_back(std::move(aMessage), std::move(aReply));
    });
  std::vector<std::string> replies;
  for (std::size_t call = 0; call < kCalls; ++call) {
    pair.Call(TextMessage("same"), [&](const PeerOutcome& aOutcome) {
      replies.push_back(TextOf(aOutcome));
    });
  }
  ASSERT_TRUE(RunUntil(pair.m_loop, [&] { return waiting.size() == kCalls; }));
  pair.m_server.Drain();
  // The next call sees the GOAWAY, or a closed port, and must say "not run".
  const PeerOutcome refused = pair.CallAndWait(TextMessage("late"));
  EXPECT_FALSE(refused.m_reply.has_value());
  EXPECT_EQ(refused.m_error.m_verdict, Verdict::NotRun);
  EXPECT_EQ(waiting.size(), kCalls);
  EXPECT_EQ(pair.m_server.Connections(), 1U);
  for (const auto& [message, reply] : waiting) {
    reply(message);
  }
  ASSERT_TRUE(RunUntil(pair.m_loop, [&] { return replies.size() == kCalls; }));
  EXPECT_EQ(std::count(replies.begin(), replies.end(), "same"),
            static_cast<std::ptrdiff_t>(kCalls));
  EXPECT_TRUE(RunUntil(pair.m_loop, [&] {
    return pair.m_server.Connections() == 0 && pair.m_client.Connections() == 0;
  }));
  EXPECT_EQ(pair.m_server.Faults().Total(), 0U);
  EXPECT_EQ(pair.m_client.Faults().Total(), 0U);
}

TEST(PeerDrain, CallsInFlightWhenTheServerDrainsAreNeverLost)
{
  // Calls are sent in the same turn as the drain, so that some are on their way
  // when the GOAWAY leaves. Each must be answered, or be refused as "not run"
  // and unknown to the handler.
  constexpr int kRounds = 30;
  for (int round = 0; round < kRounds; ++round) {
    std::size_t handled = 0;
    PeerPair pair([&](const PeerIdentity&,
                      const PeerMessage& aMessage,
                      const PeerReply& aReply) {
      ++handled;
      aReply(aMessage);
    });
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t other = 0;
    const auto count = [&](const PeerOutcome& aOutcome) {
      if (aOutcome.m_reply) {
        ++answered;
      } else if (aOutcome.m_error.m_verdict == Verdict::NotRun) {
        ++refused;
      } else {
        ++other;
      }
    };
    constexpr std::size_t kBatch = 10;
    for (std::size_t call = 0; call < kBatch; ++call) {
      pair.Call(TextMessage("x"), count);
    }
    for (int turn = 0; turn < round; ++turn) {
      pair.m_loop.Poll();
    }
    for (std::size_t call = 0; call < kBatch; ++call) {
      pair.Call(TextMessage("y"), count);
    }
    pair.m_server.Drain();
    ASSERT_TRUE(RunUntil(
      pair.m_loop, [&] { return answered + refused + other == 2 * kBatch; }));
    EXPECT_EQ(handled, answered) << "round " << round;
    EXPECT_EQ(other, 0U) << "round " << round;
  }
}

TEST(PeerDrain, StreamThatArrivesBeforeTheGoAwayLeavesIsNotServed)
{
  Http2Session client(SessionSide::Client, {});
  Http2Session server(SessionSide::Server, {});
  const auto move = [](Http2Session& aFrom, Http2Session& aTo) {
    for (auto bytes = aFrom.NextOutput(); !bytes.empty();
         bytes = aFrom.NextOutput()) {
      aTo.Feed(bytes);
    }
  };
  move(client, server);
  move(server, client);
  client.SubmitRequest("request");
  server.Shutdown();
  move(client, server);
  EXPECT_TRUE(server.TakeEvents().empty());
  move(server, client);
  bool refused = false;
  for (const SessionEvent& event : client.TakeEvents()) {
    refused = refused || (event.m_kind == SessionEventKind::StreamClosed &&
                          event.m_refused);
  }
  EXPECT_TRUE(refused);
  EXPECT_TRUE(server.Finished());
}

TEST(PeerDrain, DrainingClientFinishesItsCalls)
{
  PeerReply waiting;
  PeerPair pair([&](const PeerIdentity&, const PeerMessage&, PeerReply aReply) {
    waiting = std::move(aReply);
  });
  std::optional<PeerOutcome> first;
  pair.Call(TextMessage("x"),
            [&](const PeerOutcome& aOutcome) { first = aOutcome; });
  ASSERT_TRUE(RunUntil(pair.m_loop, [&] { return waiting != nullptr; }));
  pair.m_client.Drain();
  const PeerOutcome refused = pair.CallAndWait(TextMessage("late"));
  EXPECT_EQ(refused.m_error.m_verdict, Verdict::NotRun);
  EXPECT_EQ(refused.m_error.m_code, ErrorCode::Draining);
  waiting(Acknowledgement{});
  ASSERT_TRUE(RunUntil(pair.m_loop, [&] { return first.has_value(); }));
  EXPECT_TRUE(first->m_reply.has_value()) << first->m_error.m_message;
  EXPECT_TRUE(
    RunUntil(pair.m_loop, [&] { return pair.m_client.Connections() == 0; }));
}

} // namespace lacewing::peer
