/// Guards against a decoder that lets missing, unknown or oversized values
/// through, or that gives them the wrong error.
#include "fakes/PeerSamples.h"
#include "peer/PeerCodec.h"

#include <gtest/gtest.h>

#include <limits>

namespace lacewing::peer {

namespace {

using namespace std::string_literals;

void
ExpectFault(const std::string& aBytes,
            PeerFault aFault,
            const std::string& aDetail)
{
  const auto decoded = DecodeMessage(aBytes);
  EXPECT_FALSE(decoded.m_value.has_value());
  EXPECT_EQ(NameOf(decoded.m_fault), NameOf(aFault)) << decoded.m_detail;
  EXPECT_NE(decoded.m_detail.find(aDetail), std::string::npos)
    << decoded.m_detail;
}

void
ExpectBadValue(const PeerMessage& aMessage, const std::string& aDetail)
{
  ExpectFault(EncodeMessage(aMessage), PeerFault::BadValue, aDetail);
}

void
Replace(std::string& aText, const std::string& aOld, const std::string& aNew)
{
  const auto at = aText.find(aOld);
  ASSERT_NE(at, std::string::npos);
  aText.replace(at, aOld.size(), aNew);
}

} // namespace

// Bytes by hand: field 1 of the envelope is the version (tag 0x08), field 4 is
// `Heartbeat` (tag 0x22).

TEST(PeerCodecRefusals, BytesThatAreNotProtobuf)
{
  ExpectFault("\xff\xff\xff", PeerFault::Malformed, "not protobuf");
  ExpectFault("", PeerFault::Malformed, "version is missing");
  ExpectFault("\x22\x00"s, PeerFault::Malformed, "version is missing");
}

TEST(PeerCodecRefusals, AnotherVersion)
{
  ExpectFault("\x08\x03\x22\x00"s, PeerFault::UnknownVersion, "version 3");
  ExpectFault("\x08\x01\x22\x00"s, PeerFault::UnknownVersion, "version 1");
  ExpectFault("\x08\x00\x22\x00"s, PeerFault::UnknownVersion, "version 0");
}

TEST(PeerCodecRefusals, UnknownKind)
{
  ExpectFault("\x08\x02"s, PeerFault::UnknownKind, "kind");
  ExpectFault("\x08\x02\xa2\x06\x00"s, PeerFault::UnknownKind, "kind");
}

TEST(PeerCodecRefusals, KindsOfEarlierVersions)
{
  // Tags of the reserved fields 2, 3, 5 to 8, 12 and 15 to 17.
  for (const std::string& tag : { "\x12"s,
                                  "\x1a"s,
                                  "\x2a"s,
                                  "\x32"s,
                                  "\x3a"s,
                                  "\x42"s,
                                  "\x62"s,
                                  "\x7a"s,
                                  "\x82\x01"s,
                                  "\x8a\x01"s }) {
    ExpectFault("\x08\x02"s + tag + "\x00"s, PeerFault::UnknownKind, "kind");
  }
}

TEST(PeerCodecRefusals, MissingFieldsAreNamed)
{
  ExpectFault("\x08\x02\x22\x00"s, PeerFault::Malformed, "heartbeat.vm");
}

TEST(PeerCodecRefusals, UnknownRequestClass)
{
  std::string bytes = EncodeMessage(fakes::SampleRequest());
  // Field 6 (tag 0x30) with the class, then field 7 (tag 0x38).
  Replace(bytes, "\x30\x02\x38"s, "\x30\x07\x38"s);
  ExpectFault(bytes, PeerFault::Malformed, "request_class");
}

TEST(PeerCodecRefusals, UnknownVerdictAndCode)
{
  std::string verdict =
    EncodeMessage(Refusal{ { Verdict::NotRun, ErrorCode::NotOwner, "moved" } });
  Replace(verdict, "not_run", "not_rum");
  ExpectFault(verdict, PeerFault::BadValue, "verdict");
  std::string code =
    EncodeMessage(Refusal{ { Verdict::NotRun, ErrorCode::NotOwner, "moved" } });
  Replace(code, "not_owner", "not_olive");
  ExpectFault(code, PeerFault::BadValue, "code");
}

TEST(PeerCodecRefusals, ShortAnswerIsNotTakenAsWhole)
{
  Answer answer;
  answer.m_status = 200;
  answer.m_body = "part";
  answer.m_bytes = 400;
  ExpectBadValue(answer, "byte_count");
}

TEST(PeerCodecRefusals, StatusOutsideItsRange)
{
  ExpectBadValue(JobReply{ 99, "" }, "status");
  ExpectBadValue(JobReply{ 600, "" }, "status");
}

TEST(PeerCodecRefusals, EmptyAndOverlongNames)
{
  Heartbeat heartbeat = fakes::SampleHeartbeat();
  heartbeat.m_vm = VmId();
  ExpectBadValue(heartbeat, "heartbeat.vm");
  heartbeat.m_vm = VmId(std::string(kMaxNameBytes + 1, 'a'));
  ExpectBadValue(heartbeat, "heartbeat.vm");
  ForwardRequest request = fakes::SampleRequest();
  request.m_idempotencyKey = "";
  ExpectBadValue(request, "idempotency_key");
}

TEST(PeerCodecRefusals, LoadThatIsNotANumber)
{
  Heartbeat heartbeat = fakes::SampleHeartbeat();
  heartbeat.m_slices.front().m_load = std::numeric_limits<double>::quiet_NaN();
  ExpectBadValue(heartbeat, "load");
  heartbeat.m_slices.front().m_load = -0.5;
  ExpectBadValue(heartbeat, "load");
}

TEST(PeerCodecRefusals, NegativeUsage)
{
  Heartbeat heartbeat = fakes::SampleHeartbeat();
  heartbeat.m_teams.front().m_millicores = -1;
  ExpectBadValue(heartbeat, "millicores");
}

TEST(PeerCodecRefusals, DurationAboveADay)
{
  Heartbeat heartbeat = fakes::SampleHeartbeat();
  heartbeat.m_confirmationAge = std::chrono::hours(25);
  ExpectBadValue(heartbeat, "confirmation_age_us");
  // A negative duration has a huge value on the wire.
  heartbeat.m_confirmationAge = seconds(-1);
  ExpectBadValue(heartbeat, "confirmation_age_us");
}

TEST(PeerCodecRefusals, TooManyListEntries)
{
  Heartbeat heartbeat = fakes::SampleHeartbeat();
  heartbeat.m_teams.assign(kMaxListEntries + 1, { TeamId("t"), 1, 1 });
  ExpectBadValue(heartbeat, "heartbeat.teams");
}

TEST(PeerCodecRefusals, RemovedEntriesOfAHeartbeat)
{
  Heartbeat heartbeat = fakes::SampleHeartbeat();
  heartbeat.m_removedSlices = { SliceId() };
  ExpectBadValue(heartbeat, "heartbeat.removed_slices");
  heartbeat.m_removedSlices.assign(kMaxListEntries + 1, SliceId("s"));
  ExpectBadValue(heartbeat, "heartbeat.removed_slices");
  heartbeat = fakes::SampleHeartbeat();
  heartbeat.m_removedTeams = { TeamId(std::string(kMaxNameBytes + 1, 'a')) };
  ExpectBadValue(heartbeat, "heartbeat.removed_teams");
  heartbeat.m_removedTeams.assign(kMaxListEntries + 1, TeamId("t"));
  ExpectBadValue(heartbeat, "heartbeat.removed_teams");
}

TEST(PeerCodecRefusals, BaseThatIsNotEarlier)
{
  Heartbeat heartbeat = fakes::SampleHeartbeat();
  heartbeat.m_base = heartbeat.m_sequence;
  ExpectBadValue(heartbeat, "heartbeat.base");
}

TEST(PeerCodecRefusals, MessageAboveOneMebibyte)
{
  ExpectFault(EncodeMessage(Opaque{ "k", std::string(kMaxMessageBytes, 'a') }),
              PeerFault::OversizedFrame,
              "bytes");
}

TEST(PeerCodecRefusals, HandshakeFrames)
{
  EXPECT_EQ(DecodeFrame("").m_fault, PeerFault::UnknownKind);
  EXPECT_EQ(DecodeFrame("\xff").m_fault, PeerFault::Malformed);
  EXPECT_EQ(DecodeFrame("\x0a\x00"s).m_fault, PeerFault::Malformed);
  EXPECT_EQ(DecodeFrame("\x0a\x02\x08\x09"s).m_fault,
            PeerFault::UnknownVersion);
  EXPECT_EQ(DecodeFrame("\x1a\x02\x0a\x00"s).m_fault, PeerFault::BadValue);
}

} // namespace lacewing::peer
