/// Guards against a handshake that depends on how TCP splits its bytes, and
/// against identities that are mixed up.
#include "fakes/PeerSupport.h"
#include "peer/Handshake.h"

#include <gtest/gtest.h>

namespace lacewing::peer {

TEST(PeerHandshakeCompletes, WithBytesOneByOne)
{
  ReplayGuard guard;
  ClientHandshake client(
    fakes::ConfigOf("client"), VmId("server"), MakeNonce(), Time());
  ServerHandshake server(fakes::ConfigOf("server"), MakeNonce(), guard, Time());
  std::string toServer = client.Start();
  bool serverDone = false;
  bool clientDone = false;
  for (int round = 0; round < 4 && !clientDone; ++round) {
    std::string toClient;
    for (const char byte : toServer) {
      const auto step = server.OnBytes(Time(), { &byte, 1 });
      ASSERT_FALSE(step.m_fault.has_value());
      toClient += step.m_output;
      serverDone = serverDone || step.m_complete;
    }
    toServer.clear();
    for (const char byte : toClient) {
      const auto step = client.OnBytes(Time(), { &byte, 1 });
      ASSERT_FALSE(step.m_fault.has_value());
      toServer += step.m_output;
      clientDone = clientDone || step.m_complete;
    }
  }
  EXPECT_TRUE(serverDone);
  EXPECT_TRUE(clientDone);
  EXPECT_EQ(server.Peer(), (PeerIdentity{ VmId("client"), 7 }));
  EXPECT_EQ(client.Peer(), (PeerIdentity{ VmId("server"), 7 }));
}

TEST(PeerHandshakeCompletes, BytesAfterTheLastFrameAreHandedOn)
{
  ReplayGuard guard;
  ClientHandshake client(
    fakes::ConfigOf("client"), VmId("server"), MakeNonce(), Time());
  ServerHandshake server(fakes::ConfigOf("server"), MakeNonce(), guard, Time());
  const auto answer = server.OnBytes(Time(), client.Start());
  const auto proof = client.OnBytes(Time(), answer.m_output);
  const auto accepted = server.OnBytes(Time(), proof.m_output);
  ASSERT_TRUE(accepted.m_complete);
  const auto last = client.OnBytes(Time(), accepted.m_output + "rest");
  EXPECT_TRUE(last.m_complete);
  EXPECT_EQ(last.m_rest, "rest");
}

} // namespace lacewing::peer
