/// Guards against a client that keeps to a connection or an address of a
/// process that is gone.
#include "fakes/PeerSupport.h"

#include <gtest/gtest.h>

namespace lacewing::peer {

using fakes::RunUntil;
using fakes::TextMessage;

namespace {

/// Calls until a reply comes; the pause between attempts refuses some calls.
std::optional<PeerIdentity>
CallUntilAnswered(net::Loop& aLoop,
                  PeerClient& aClient,
                  const net::Address& aAddress)
{
  std::optional<PeerIdentity> from;
  constexpr int kAttempts = 2000;
  for (int attempt = 0; attempt < kAttempts && !from; ++attempt) {
    bool ended = false;
    aClient.Call(VmId("server"),
                 aAddress,
                 TextMessage("x"),
                 seconds(60),
                 [&](const PeerOutcome& aOutcome) {
                   ended = true;
                   if (aOutcome.m_reply) {
                     from = aOutcome.m_from;
                   }
                 });
    if (!RunUntil(aLoop, [&] { return ended; })) {
      return std::nullopt;
    }
  }
  return from;
}

PeerServerOptions
OptionsWithIncarnation(Incarnation aIncarnation)
{
  auto options = fakes::ServerOptions();
  options.m_handshake.m_self.m_incarnation = aIncarnation;
  return options;
}

} // namespace

TEST(PeerReconnect, RestartedProcessOnTheSameAddressIsReached)
{
  net::Loop loop;
  PeerClient client(loop, fakes::ClientOptions());
  auto first =
    std::make_unique<PeerServer>(loop, OptionsWithIncarnation(1), fakes::Echo);
  ASSERT_TRUE(fakes::ListenOnLoopback(*first));
  const net::Address address = fakes::LoopbackAt(first->Port());
  EXPECT_EQ(CallUntilAnswered(loop, client, address),
            (PeerIdentity{ VmId("server"), 1 }));
  first.reset();
  PeerServer second(loop, OptionsWithIncarnation(2), fakes::Echo);
  ASSERT_TRUE(second.Listen(address));
  EXPECT_EQ(CallUntilAnswered(loop, client, address),
            (PeerIdentity{ VmId("server"), 2 }));
}

TEST(PeerReconnect, VmAtANewAddressIsReachedAtOnce)
{
  net::Loop loop;
  PeerClient client(loop, fakes::ClientOptions());
  PeerServer first(loop, OptionsWithIncarnation(1), fakes::Echo);
  PeerServer second(loop, OptionsWithIncarnation(2), fakes::Echo);
  ASSERT_TRUE(fakes::ListenOnLoopback(first));
  ASSERT_TRUE(fakes::ListenOnLoopback(second));
  EXPECT_EQ(CallUntilAnswered(loop, client, fakes::LoopbackAt(first.Port())),
            (PeerIdentity{ VmId("server"), 1 }));
  EXPECT_EQ(CallUntilAnswered(loop, client, fakes::LoopbackAt(second.Port())),
            (PeerIdentity{ VmId("server"), 2 }));
  EXPECT_TRUE(RunUntil(loop, [&] { return first.Connections() == 0; }));
  EXPECT_EQ(second.Connections(), 1U);
}

} // namespace lacewing::peer
