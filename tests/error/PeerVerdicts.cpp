/// Guards against a wrong "not run": an outcome may say so only when no byte of
/// the request can have left, or when the peer has refused it.
#include "fakes/PeerSupport.h"
#include "peer/PeerCodec.h"

#include <gtest/gtest.h>

namespace lacewing::peer {

namespace {

using fakes::PeerPair;
using fakes::RawServer;
using fakes::RunUntil;
using fakes::TextMessage;
using fakes::TextOf;

/// A client whose peer is played by hand.
struct HandPlayed
{
  explicit HandPlayed(PeerClientOptions aOptions = fakes::ClientOptions())
    : m_client(m_loop, std::move(aOptions))
    , m_server(m_loop)
  {
  }

  void Call(Duration aTimeout = seconds(60))
  {
    m_client.Call(
      VmId("server"),
      m_server.Address(),
      TextMessage("x"),
      aTimeout,
      [this](const PeerOutcome& aOutcome) { m_outcomes.push_back(aOutcome); });
  }

  bool WaitForOutcomes(std::size_t aCount)
  {
    return RunUntil(m_loop, [&] { return m_outcomes.size() >= aCount; });
  }

  void Expect(Verdict aVerdict, ErrorCode aCode)
  {
    ASSERT_EQ(m_outcomes.size(), 1U);
    const PeerOutcome& outcome = m_outcomes.front();
    EXPECT_FALSE(outcome.m_reply.has_value());
    EXPECT_EQ(outcome.m_error.m_verdict, aVerdict);
    EXPECT_EQ(outcome.m_error.m_code, aCode) << outcome.m_error.m_message;
    EXPECT_EQ(m_client.OpenCalls(), 0U);
  }

  net::Loop m_loop;
  PeerClient m_client;
  RawServer m_server;
  std::vector<PeerOutcome> m_outcomes;
};

} // namespace

TEST(PeerVerdicts, NobodyListens)
{
  net::Loop loop;
  PeerClient client(loop, fakes::ClientOptions());
  net::Address address;
  {
    const fakes::RawListener closed;
    address = fakes::LoopbackAt(closed.Port());
  }
  std::vector<PeerOutcome> outcomes;
  const auto call = [&] {
    client.Call(
      VmId("server"),
      address,
      TextMessage("x"),
      seconds(60),
      [&](const PeerOutcome& aOutcome) { outcomes.push_back(aOutcome); });
  };
  call();
  EXPECT_TRUE(outcomes.empty()) << "called back before Call returned";
  ASSERT_TRUE(RunUntil(loop, [&] { return outcomes.size() == 1; }));
  // The second call falls into the pause before the next attempt, or fails too.
  call();
  ASSERT_TRUE(RunUntil(loop, [&] { return outcomes.size() == 2; }));
  for (const PeerOutcome& outcome : outcomes) {
    EXPECT_FALSE(outcome.m_reply.has_value());
    EXPECT_EQ(outcome.m_error.m_verdict, Verdict::NotRun);
    EXPECT_EQ(outcome.m_error.m_code, ErrorCode::Unavailable);
  }
}

TEST(PeerVerdicts, PeerThatNeverAnswersTheHandshake)
{
  HandPlayed played;
  played.Call(milliseconds(1));
  ASSERT_TRUE(played.WaitForOutcomes(1));
  played.Expect(Verdict::NotRun, ErrorCode::DeadlineExceeded);
}

TEST(PeerVerdicts, PeerThatClosesDuringTheHandshake)
{
  HandPlayed played;
  played.Call();
  ASSERT_TRUE(played.m_server.Accept());
  played.m_server.m_socket.Close();
  ASSERT_TRUE(played.WaitForOutcomes(1));
  played.Expect(Verdict::NotRun, ErrorCode::Unavailable);
}

TEST(PeerVerdicts, PeerWithAnotherSecret)
{
  auto options = fakes::ClientOptions();
  options.m_handshake.m_secret = "guess";
  PeerPair pair(fakes::Echo, fakes::ServerOptions(), options);
  const PeerOutcome outcome = pair.CallAndWait(TextMessage("x"));
  EXPECT_EQ(outcome.m_error.m_verdict, Verdict::NotRun);
  EXPECT_EQ(pair.m_client.Faults().Count(PeerFault::WrongSecret), 1U);
  EXPECT_TRUE(RunUntil(pair.m_loop, [&] {
    return pair.m_server.Faults().Count(PeerFault::WrongSecret) == 1;
  }));
  EXPECT_EQ(pair.m_server.RunningRequests(), 0U);
}

TEST(PeerVerdicts, PeerClosesWithTheRequestOpen)
{
  HandPlayed played;
  played.Call();
  ASSERT_TRUE(played.m_server.Accept());
  ASSERT_TRUE(played.m_server.Authenticate());
  ASSERT_TRUE(played.m_server.WaitForRequests(1));
  played.m_server.m_socket.Close();
  ASSERT_TRUE(played.WaitForOutcomes(1));
  played.Expect(Verdict::MayHaveRun, ErrorCode::Unavailable);
}

TEST(PeerVerdicts, PeerClosesAfterPartOfTheReply)
{
  HandPlayed played;
  played.Call();
  ASSERT_TRUE(played.m_server.Accept());
  ASSERT_TRUE(played.m_server.Authenticate());
  ASSERT_TRUE(played.m_server.WaitForRequests(1));
  Http2Session& session = played.m_server.m_session;
  session.SubmitReply(played.m_server.m_requests.front().m_stream,
                      EncodeMessage(TextMessage(std::string(50'000, 'a'))));
  std::string bytes;
  for (auto piece = session.NextOutput(); !piece.empty();
       piece = session.NextOutput()) {
    bytes.append(piece);
  }
  played.m_server.m_socket.Send(bytes.substr(0, bytes.size() / 2));
  played.m_server.m_socket.Close();
  ASSERT_TRUE(played.WaitForOutcomes(1));
  played.Expect(Verdict::MayHaveRun, ErrorCode::Unavailable);
}

TEST(PeerVerdicts, PeerRefusesTheStream)
{
  HandPlayed played;
  played.Call();
  ASSERT_TRUE(played.m_server.Accept());
  ASSERT_TRUE(played.m_server.Authenticate());
  ASSERT_TRUE(played.m_server.WaitForRequests(1));
  played.m_server.m_session.Refuse(played.m_server.m_requests.front().m_stream);
  played.m_server.Pump();
  ASSERT_TRUE(played.WaitForOutcomes(1));
  played.Expect(Verdict::NotRun, ErrorCode::Unavailable);
}

TEST(PeerVerdicts, PeerResetsTheStreamWithoutRefusingIt)
{
  HandPlayed played;
  played.Call();
  ASSERT_TRUE(played.m_server.Accept());
  ASSERT_TRUE(played.m_server.Authenticate());
  ASSERT_TRUE(played.m_server.WaitForRequests(1));
  played.m_server.m_session.Reset(played.m_server.m_requests.front().m_stream);
  played.m_server.Pump();
  ASSERT_TRUE(played.WaitForOutcomes(1));
  played.Expect(Verdict::MayHaveRun, ErrorCode::Unavailable);
}

TEST(PeerVerdicts, ReplyThatCannotBeDecoded)
{
  HandPlayed played;
  played.Call();
  ASSERT_TRUE(played.m_server.Accept());
  ASSERT_TRUE(played.m_server.Authenticate());
  ASSERT_TRUE(played.m_server.WaitForRequests(1));
  played.m_server.m_session.SubmitReply(
    played.m_server.m_requests.front().m_stream, "\xff\xff\xff");
  played.m_server.Pump();
  ASSERT_TRUE(played.WaitForOutcomes(1));
  played.Expect(Verdict::MayHaveRun, ErrorCode::Internal);
  EXPECT_EQ(played.m_client.Faults().Count(PeerFault::Malformed), 1U);
  EXPECT_TRUE(RunUntil(played.m_loop,
                       [&] { return played.m_client.Connections() == 0; }));
}

TEST(PeerVerdicts, RefusalKeepsThePeersVerdict)
{
  Error refusal;
  PeerPair pair([&](const PeerIdentity&,
                    const PeerMessage&,
                    const PeerReply& aReply) { aReply(Refusal{ refusal }); });
  for (const auto& [verdict, name] : EnumNames<Verdict>::kTable) {
    refusal = { verdict, ErrorCode::NotOwner, "slice has moved" };
    const PeerOutcome outcome = pair.CallAndWait(TextMessage("x"));
    EXPECT_FALSE(outcome.m_reply.has_value());
    EXPECT_EQ(outcome.m_error.m_verdict, verdict);
    EXPECT_EQ(outcome.m_error.m_code, ErrorCode::NotOwner);
    EXPECT_EQ(outcome.m_error.m_message, "slice has moved");
  }
}

TEST(PeerVerdicts, SlowHandlerEndsInATimeoutAndItsReplyIsDropped)
{
  std::vector<PeerReply> waiting;
  PeerPair pair([&](const PeerIdentity&, const PeerMessage&, PeerReply aReply) {
    waiting.push_back(std::move(aReply));
  });
  std::vector<PeerOutcome> outcomes;
  // The first call opens the connection, so that the second one leaves at once.
  pair.Call(TextMessage("kept"),
            [&](const PeerOutcome& aOutcome) { outcomes.push_back(aOutcome); });
  ASSERT_TRUE(RunUntil(pair.m_loop, [&] { return waiting.size() == 1; }));
  pair.Call(
    TextMessage("late"),
    [&](const PeerOutcome& aOutcome) { outcomes.push_back(aOutcome); },
    milliseconds(20));
  ASSERT_TRUE(RunUntil(pair.m_loop, [&] { return outcomes.size() == 1; }));
  EXPECT_EQ(outcomes.front().m_error.m_code, ErrorCode::DeadlineExceeded);
  // On a very slow machine the timeout can come before the request has left.
  if (waiting.size() == 2) {
    EXPECT_EQ(outcomes.front().m_error.m_verdict, Verdict::MayHaveRun);
  }
  for (const PeerReply& reply : waiting) {
    reply(TextMessage("reply"));
  }
  ASSERT_TRUE(RunUntil(pair.m_loop, [&] { return outcomes.size() == 2; }));
  EXPECT_EQ(TextOf(outcomes.back()), "reply");
  EXPECT_EQ(pair.m_server.RunningRequests(), 0U);
}

TEST(PeerVerdicts, HandlerThatDropsARequestLeavesNobodyWaiting)
{
  PeerPair pair(
    [](const PeerIdentity&, const PeerMessage&, const PeerReply&) {});
  const PeerOutcome outcome = pair.CallAndWait(TextMessage("x"));
  EXPECT_FALSE(outcome.m_reply.has_value());
  EXPECT_EQ(outcome.m_error.m_verdict, Verdict::MayHaveRun);
  EXPECT_EQ(outcome.m_error.m_message,
            "the request was dropped without a reply");
  EXPECT_EQ(pair.m_server.RunningRequests(), 0U);
}

TEST(PeerVerdicts, CallThatWaitsForAStreamNeverLeavesAfterItsTimeout)
{
  // The server takes one stream at a time, so the second call waits inside the
  // HTTP/2 session. Its timeout says "not run", and that must stay true.
  auto options = fakes::ServerOptions();
  options.m_limits.m_maxStreams = 1;
  std::vector<PeerReply> waiting;
  PeerPair pair([&](const PeerIdentity&,
                    const PeerMessage&,
                    PeerReply aReply) { waiting.push_back(std::move(aReply)); },
                options);
  std::vector<PeerOutcome> outcomes;
  const auto keep = [&](const PeerOutcome& aOutcome) {
    outcomes.push_back(aOutcome);
  };
  pair.Call(TextMessage("first"), keep);
  ASSERT_TRUE(RunUntil(pair.m_loop, [&] { return waiting.size() == 1; }));
  pair.Call(TextMessage("second"), keep, milliseconds(5));
  ASSERT_TRUE(RunUntil(pair.m_loop, [&] { return outcomes.size() == 1; }));
  EXPECT_EQ(outcomes.front().m_error.m_verdict, Verdict::NotRun);
  EXPECT_EQ(outcomes.front().m_error.m_code, ErrorCode::DeadlineExceeded);
  waiting.front()(TextMessage("reply"));
  ASSERT_TRUE(RunUntil(pair.m_loop, [&] { return outcomes.size() == 2; }));
  // The connection still works, and the handler has not seen the second call.
  pair.Call(TextMessage("third"), keep);
  ASSERT_TRUE(RunUntil(pair.m_loop, [&] { return waiting.size() == 2; }));
  waiting.back()(TextMessage("third"));
  ASSERT_TRUE(RunUntil(pair.m_loop, [&] { return outcomes.size() == 3; }));
  EXPECT_EQ(TextOf(outcomes.back()), "third");
  EXPECT_EQ(waiting.size(), 2U);
}

TEST(PeerVerdicts, FullConnectionRefusesAtOnce)
{
  auto options = fakes::ClientOptions();
  options.m_limits.m_maxStreams = 2;
  HandPlayed played(options);
  played.Call();
  played.Call();
  played.Call();
  ASSERT_TRUE(played.WaitForOutcomes(1));
  EXPECT_EQ(played.m_outcomes.front().m_error.m_verdict, Verdict::NotRun);
  EXPECT_EQ(played.m_outcomes.front().m_error.m_code, ErrorCode::QueueFull);
  EXPECT_EQ(played.m_client.OpenCalls(), 2U);
}

TEST(PeerVerdicts, BytesQueuedForASlowPeerAreBounded)
{
  // The peer reads nothing after the handshake.
  auto options = fakes::ClientOptions();
  options.m_limits.m_maxQueuedBytes = 200'000;
  HandPlayed played(options);
  const PeerMessage large = TextMessage(std::string(90'000, 'a'));
  std::vector<PeerOutcome> outcomes;
  for (int call = 0; call < 4; ++call) {
    played.m_client.Call(
      VmId("server"),
      played.m_server.Address(),
      large,
      seconds(60),
      [&](const PeerOutcome& aOutcome) { outcomes.push_back(aOutcome); });
  }
  ASSERT_TRUE(RunUntil(played.m_loop, [&] { return outcomes.size() == 2; }));
  for (const PeerOutcome& outcome : outcomes) {
    EXPECT_EQ(outcome.m_error.m_verdict, Verdict::NotRun);
    EXPECT_EQ(outcome.m_error.m_code, ErrorCode::QueueFull);
  }
}

TEST(PeerVerdicts, PeerThatReadsNothingIsDisconnected)
{
  // The timeout also covers the connection's set-up, which must not reach it on
  // a slow machine.
  auto options = fakes::ClientOptions();
  options.m_writeTimeout = seconds(1);
  HandPlayed played(options);
  played.Call(seconds(600));
  ASSERT_TRUE(played.m_server.Accept());
  ASSERT_TRUE(played.m_server.Authenticate());
  // Announces large windows, so that only TCP holds the bytes back.
  ASSERT_TRUE(played.m_server.WaitForRequests(1));
  const PeerMessage large = TextMessage(std::string(1'000'000, 'a'));
  constexpr std::size_t kCalls = 12;
  for (std::size_t call = 0; call < kCalls; ++call) {
    played.m_client.Call(VmId("server"),
                         played.m_server.Address(),
                         large,
                         seconds(600),
                         [&](const PeerOutcome& aOutcome) {
                           played.m_outcomes.push_back(aOutcome);
                         });
  }
  ASSERT_TRUE(played.WaitForOutcomes(kCalls + 1));
  for (const PeerOutcome& outcome : played.m_outcomes) {
    EXPECT_FALSE(outcome.m_reply.has_value());
    EXPECT_EQ(outcome.m_error.m_code, ErrorCode::Unavailable);
  }
  EXPECT_EQ(played.m_outcomes.front().m_error.m_verdict, Verdict::MayHaveRun);
}

TEST(PeerVerdicts, SilentPeerIsGivenUpAndTheNextCallConnectsAgain)
{
  // The peer's socket stays open, as after a cut of the network.
  auto options = fakes::ClientOptions();
  options.m_sweepPeriod = milliseconds(1);
  options.m_liveness = { milliseconds(1), milliseconds(1) };
  options.m_backoff = { microseconds(1), microseconds(1) };
  HandPlayed played(options);
  played.Call(seconds(600));
  ASSERT_TRUE(played.m_server.Accept());
  ASSERT_TRUE(played.m_server.Authenticate());
  ASSERT_TRUE(played.WaitForOutcomes(1));
  played.Expect(Verdict::MayHaveRun, ErrorCode::Unavailable);
  EXPECT_EQ(played.m_client.Faults().Count(PeerFault::SilentPeer), 1U);
  EXPECT_EQ(played.m_client.Connections(), 0U);
  const fakes::RawSocket silent = std::move(played.m_server.m_socket);
  played.Call(seconds(600));
  EXPECT_TRUE(played.m_server.Accept());
}

TEST(PeerVerdicts, SlowHandlerOfAnAnsweringPeerIsNotTakenForSilence)
{
  auto options = fakes::ClientOptions();
  options.m_sweepPeriod = milliseconds(1);
  options.m_liveness = { milliseconds(1), seconds(60) };
  PeerReply waiting;
  PeerPair pair([&](const PeerIdentity&,
                    const PeerMessage&,
                    PeerReply aReply) { waiting = std::move(aReply); },
                fakes::ServerOptions(),
                options);
  std::optional<PeerOutcome> result;
  pair.Call(TextMessage("x"),
            [&](const PeerOutcome& aOutcome) { result = aOutcome; });
  ASSERT_TRUE(RunUntil(pair.m_loop, [&] { return waiting != nullptr; }));
  // The server's answers to pings are the only bytes that arrive.
  const auto before = pair.m_client.Bytes().m_received;
  constexpr std::uint64_t kPingBytes = 17;
  constexpr std::uint64_t kPings = 5;
  EXPECT_TRUE(RunUntil(pair.m_loop, [&] {
    return pair.m_client.Bytes().m_received >= before + kPings * kPingBytes;
  }));
  EXPECT_FALSE(result.has_value());
  waiting(Acknowledgement{});
  EXPECT_TRUE(RunUntil(pair.m_loop, [&] { return result.has_value(); }));
  EXPECT_TRUE(result && result->m_reply.has_value());
}

TEST(PeerVerdicts, MessageAboveOneMebibyteDoesNotLeave)
{
  PeerPair pair(fakes::Echo);
  const PeerOutcome outcome =
    pair.CallAndWait(TextMessage(std::string(kMaxMessageBytes, 'a')));
  EXPECT_EQ(outcome.m_error.m_verdict, Verdict::NotRun);
  EXPECT_EQ(outcome.m_error.m_code, ErrorCode::TooLarge);
  EXPECT_EQ(pair.m_client.Connections(), 0U);
}

TEST(PeerVerdicts, ReplyAboveOneMebibyteMayHaveRun)
{
  PeerPair pair(
    [](const PeerIdentity&, const PeerMessage&, const PeerReply& aReply) {
      aReply(TextMessage(std::string(kMaxMessageBytes, 'a')));
    });
  const PeerOutcome outcome = pair.CallAndWait(TextMessage("x"));
  EXPECT_EQ(outcome.m_error.m_verdict, Verdict::MayHaveRun);
  EXPECT_EQ(outcome.m_error.m_code, ErrorCode::TooLarge);
}

TEST(PeerVerdicts, AnotherVmAtTheAddress)
{
  PeerPair pair(fakes::Echo);
  std::optional<PeerOutcome> result;
  pair.m_client.Call(VmId("third"),
                     pair.m_address,
                     TextMessage("x"),
                     seconds(60),
                     [&](const PeerOutcome& aOutcome) { result = aOutcome; });
  ASSERT_TRUE(RunUntil(pair.m_loop, [&] { return result.has_value(); }));
  EXPECT_EQ(result->m_error.m_verdict, Verdict::NotRun);
  EXPECT_EQ(pair.m_client.Faults().Count(PeerFault::WrongPeer), 1U);
}

} // namespace lacewing::peer
