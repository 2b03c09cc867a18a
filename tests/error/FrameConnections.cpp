/// Guards against frames that are cut, joined or read without an end, and
/// against a lost connection that nobody notices.
#include "fakes/FreeAddress.h"
#include "net/FrameConnection.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lacewing::net {

namespace {

class FrameConnections : public testing::Test
{
protected:
  FrameConnections()
    : m_address(fakes::FreeAddress())
    , m_listener(m_loop, [this](int aSocket) {
      m_accepted = std::make_unique<FrameConnection>(
        m_loop,
        aSocket,
        FrameHooks{
          [this](std::string_view aFrame) { m_atServer.emplace_back(aFrame); },
          [this] { ++m_serverClosed; } });
    })
  {
  }

  void Listen()
  {
    leaf::try_handle_all(
      [&]() -> Result<void> { return m_listener.Listen(m_address); },
      [] { ADD_FAILURE() << "cannot listen"; });
  }

  void Connect()
  {
    m_client = std::make_unique<FrameConnection>(
      m_loop,
      m_address,
      FrameHooks{
        [this](std::string_view aFrame) { m_atClient.emplace_back(aFrame); },
        [this] { ++m_clientClosed; } });
  }

  template<typename Condition>
  bool RunUntil(const Condition& aCondition)
  {
    const Time end = Loop::Now() + seconds(10);
    while (!aCondition() && Loop::Now() < end) {
      m_loop.Poll();
      std::this_thread::sleep_for(milliseconds(1));
    }
    return aCondition();
  }

  Loop m_loop;
  Address m_address;
  FrameListener m_listener;
  std::unique_ptr<FrameConnection> m_accepted;
  std::unique_ptr<FrameConnection> m_client;
  std::vector<std::string> m_atServer;
  std::vector<std::string> m_atClient;
  int m_serverClosed = 0;
  int m_clientClosed = 0;
};

TEST_F(FrameConnections, FramesOfAnySizeArriveWholeAndInOrder)
{
  Listen();
  Connect();
  std::vector<std::string> sent;
  for (const std::size_t size : { 0U, 1U, 5U, 70'000U, 3'000'000U, 2U }) {
    sent.emplace_back(size, static_cast<char>('a' + sent.size()));
    m_client->Send(sent.back());
  }
  ASSERT_TRUE(RunUntil([&] { return m_atServer.size() == sent.size(); }));
  EXPECT_EQ(m_atServer, sent);
  m_accepted->Send("answer");
  ASSERT_TRUE(RunUntil([&] { return !m_atClient.empty(); }));
  EXPECT_EQ(m_atClient, std::vector<std::string>{ "answer" });
  EXPECT_EQ(m_client->UnsentBytes(), 0U);
}

TEST_F(FrameConnections, EndOfThePeerIsToldOnce)
{
  Listen();
  Connect();
  m_client->Send("one");
  ASSERT_TRUE(RunUntil([&] { return !m_atServer.empty(); }));
  m_accepted->Close();
  ASSERT_TRUE(RunUntil([&] { return m_clientClosed > 0; }));
  EXPECT_FALSE(m_client->IsOpen());
  m_client->Send("two");
  for (int turn = 0; turn < 20; ++turn) {
    m_loop.Poll();
  }
  EXPECT_EQ(m_clientClosed, 1);
  EXPECT_EQ(m_serverClosed, 0);
}

TEST_F(FrameConnections, RefusedConnectionIsTold)
{
  Connect();
  EXPECT_TRUE(
    RunUntil([&] { return m_clientClosed == 1 || !m_client->IsOpen(); }));
}

/// Four bytes of noise announce a frame of up to four gigabytes.
TEST_F(FrameConnections, FrameThatIsTooLongEndsTheConnection)
{
  Listen();
  Connect();
  m_client->Send(std::string(FrameConnection::kMaxFrameBytes + 1, 'x'));
  ASSERT_TRUE(RunUntil([&] { return m_serverClosed == 1; }));
  EXPECT_TRUE(m_atServer.empty());
}

TEST_F(FrameConnections, ConnectionMayBeClosedWhileAFrameIsHandled)
{
  Listen();
  m_client = std::make_unique<FrameConnection>(
    m_loop,
    m_address,
    FrameHooks{ [this](std::string_view aFrame) {
                 m_atClient.emplace_back(aFrame);
                 m_client->Close();
               },
                [this] { ++m_clientClosed; } });
  ASSERT_TRUE(RunUntil([&] { return m_accepted != nullptr; }));
  m_accepted->Send("one");
  m_accepted->Send("two");
  ASSERT_TRUE(RunUntil([&] { return m_serverClosed == 1; }));
  EXPECT_EQ(m_atClient, std::vector<std::string>{ "one" });
  EXPECT_EQ(m_clientClosed, 0);
}

} // namespace

} // namespace lacewing::net
