/// Guards against messages that are not counted, or counted under the wrong
/// kind or direction, in the bytes between daemons.
#include "fakes/PeerSamples.h"
#include "fakes/PeerSupport.h"
#include "peer/PeerCodec.h"

#include <gtest/gtest.h>

#include <map>

namespace lacewing::peer {

namespace {

using Counts = std::map<std::pair<std::string, ByteDirection>, std::size_t>;

ByteCounter
CountInto(Counts& aCounts)
{
  return [&aCounts](std::string_view aKind,
                    ByteDirection aDirection,
                    std::size_t aBytes) {
    aCounts[{ std::string(aKind), aDirection }] += aBytes;
  };
}

} // namespace

TEST(PeerByteCounts, RequestAndReplyAreCountedAtBothEnds)
{
  Counts client;
  Counts server;
  auto serverOptions = fakes::ServerOptions();
  serverOptions.m_countBytes = CountInto(server);
  auto clientOptions = fakes::ClientOptions();
  clientOptions.m_countBytes = CountInto(client);
  const HeartbeatReply reply{ 9, true };
  fakes::PeerPair pair([&](const PeerIdentity&,
                           const PeerMessage&,
                           const PeerReply& aReply) { aReply(reply); },
                       serverOptions,
                       clientOptions);
  const Heartbeat beat = fakes::SampleHeartbeat();
  const Opaque opaque{ "settings", "text" };
  ASSERT_TRUE(pair.CallAndWait(beat).m_reply.has_value());
  ASSERT_TRUE(pair.CallAndWait(opaque).m_reply.has_value());
  const std::size_t beatBytes = EncodeMessage(beat).size();
  const std::size_t opaqueBytes = EncodeMessage(opaque).size();
  const std::size_t replyBytes = 2 * EncodeMessage(reply).size();
  using enum ByteDirection;
  EXPECT_EQ(client,
            (Counts{ { { "heartbeat", Sent }, beatBytes },
                     { { "settings", Sent }, opaqueBytes },
                     { { "heartbeat_reply", Received }, replyBytes } }));
  EXPECT_EQ(server,
            (Counts{ { { "heartbeat", Received }, beatBytes },
                     { { "settings", Received }, opaqueBytes },
                     { { "heartbeat_reply", Sent }, replyBytes } }));
}

} // namespace lacewing::peer
