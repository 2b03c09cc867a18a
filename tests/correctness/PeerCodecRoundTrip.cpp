/// Guards against fields that are lost or swapped between the typed messages
/// and their bytes.
#include "fakes/PeerSamples.h"
#include "peer/PeerCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace lacewing::peer {

namespace {

template<typename Message>
Message
RoundTrip(const Message& aMessage)
{
  const auto decoded = DecodeMessage(EncodeMessage(aMessage));
  EXPECT_TRUE(decoded.m_value.has_value()) << decoded.m_detail;
  return decoded.m_value ? std::get<Message>(*decoded.m_value) : Message{};
}

} // namespace

TEST(PeerCodecRoundTrip, EveryMessageKeepsItsKindAndBytes)
{
  std::vector<bool> seen(std::variant_size_v<PeerMessage>, false);
  for (const PeerMessage& message : fakes::SampleMessages()) {
    const std::string bytes = EncodeMessage(message);
    const auto decoded = DecodeMessage(bytes);
    ASSERT_TRUE(decoded.m_value.has_value())
      << message.index() << ": " << decoded.m_detail;
    EXPECT_EQ(decoded.m_value->index(), message.index());
    EXPECT_EQ(EncodeMessage(*decoded.m_value), bytes);
    seen[message.index()] = true;
  }
  EXPECT_EQ(std::count(seen.begin(), seen.end(), false), 0);
}

TEST(PeerCodecRoundTrip, EveryMessageKeepsItsFields)
{
  for (const PeerMessage& message : fakes::SampleMessages()) {
    std::visit(
      [](const auto& aOne) {
        if constexpr (std::equality_comparable<decltype(aOne)>) {
          EXPECT_TRUE(RoundTrip(aOne) == aOne);
        }
      },
      message);
  }
}

TEST(PeerCodecRoundTrip, AnswerKeepsBodyAndError)
{
  Answer whole;
  whole.m_status = 201;
  whole.m_body = std::string("a\0b", 3);
  whole.m_bytes = 3;
  const Answer read = RoundTrip(whole);
  EXPECT_EQ(read.m_status, 201);
  EXPECT_EQ(read.m_body, whole.m_body);
  EXPECT_EQ(read.m_bytes, 3U);
  EXPECT_FALSE(read.m_error.has_value());

  Answer failed;
  failed.m_status = 503;
  failed.m_error = Error{ Verdict::Ran, ErrorCode::Draining, "message" };
  const Answer readFailed = RoundTrip(failed);
  ASSERT_TRUE(readFailed.m_error.has_value());
  EXPECT_EQ(readFailed.m_error->m_verdict, Verdict::Ran);
  EXPECT_EQ(readFailed.m_error->m_code, ErrorCode::Draining);
  EXPECT_EQ(readFailed.m_error->m_message, "message");
}

TEST(PeerCodecRoundTrip, RefusalKeepsEveryCodeAndVerdict)
{
  for (const auto& [code, codeName] : EnumNames<ErrorCode>::kTable) {
    for (const auto& [verdict, verdictName] : EnumNames<Verdict>::kTable) {
      const Refusal read = RoundTrip(Refusal{ { verdict, code, "why" } });
      EXPECT_EQ(read.m_error.m_verdict, verdict);
      EXPECT_EQ(read.m_error.m_code, code);
      EXPECT_EQ(read.m_error.m_message, "why");
    }
  }
}

TEST(PeerCodecRoundTrip, RandomForwardRequestsAreKept)
{
  const bool held =
    rc::check([](const std::string& aBody, std::uint32_t aHops) {
      ForwardRequest request = fakes::SampleRequest();
      request.m_body = aBody;
      request.m_hops = aHops;
      request.m_class = *rc::gen::element(
        RequestClass::Urgent, RequestClass::Interactive, RequestClass::Patient);
      request.m_remaining = Duration(*rc::gen::inRange(0, 30'000'000));
      const auto decoded = DecodeMessage(EncodeMessage(request));
      RC_ASSERT(decoded.m_value.has_value());
      RC_ASSERT(std::get<ForwardRequest>(*decoded.m_value) == request);
    });
  EXPECT_TRUE(held);
}

TEST(PeerCodecRoundTrip, DeadlineInThePastIsSentAsNoTimeLeft)
{
  ForwardRequest request = fakes::SampleRequest();
  request.m_remaining = milliseconds(-5);
  EXPECT_EQ(RoundTrip(request).m_remaining, Duration::zero());
}

TEST(PeerCodecRoundTrip, HandshakeFramesAreKept)
{
  const std::vector<HandshakeFrame> frames = {
    Challenge{ kProtocolVersion, "cell", { VmId("a"), 1 }, "nonce", VmId("b") },
    ChallengeAnswer{
      kProtocolVersion, "cell", { VmId("b"), 2 }, "nonce", "proof" },
    Proof{ "proof" },
    Accepted{},
    Rejected{ PeerFault::OtherCluster },
  };
  for (const HandshakeFrame& frame : frames) {
    const auto decoded = DecodeFrame(EncodeFrame(frame));
    ASSERT_TRUE(decoded.m_value.has_value()) << decoded.m_detail;
    EXPECT_TRUE(*decoded.m_value == frame);
  }
}

} // namespace lacewing::peer
