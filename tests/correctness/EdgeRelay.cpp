/// Guards against calls that are lost, counted as not sent or made by nobody
/// when the daemon that makes them in place of the leader fails.
#include "edge/RelayLinks.h"
#include "edge/RelayServer.h"
#include "fakes/PoolSamples.h"
#include "fakes/StoreCell.h"

#include <gtest/gtest.h>

#include <memory>

namespace lacewing::fakes {

namespace {

using platform::CommandState;

const DomainId kDomain("domain-a");

/// A leader's links, a relay and one worker behind loopback connections.
class RelayCell : public StoreCell
{
public:
  RelayCell()
    : m_log({})
    , m_workers(m_http)
    , m_relayAddress(FreeAddress())
  {
    OverrideWith([this](const net::HttpRequest& aRequest) {
      m_commands.push_back(aRequest.m_path);
      return std::optional(
        net::JsonResponse(200,
                          R"({"born":1,"clock_ms":5,"running":[],)"
                          R"("ended":[[4,"job.0.0.0",1,"done",""]]})"));
    });
    SetDelay(milliseconds(2));
    m_links =
      std::make_unique<edge::RelayLinks>(m_loop, m_log, VmId("leader"), 5);
    m_links->SetWorkers({ { kDomain, 200 } });
  }

  void StartRelay()
  {
    m_relay = std::make_unique<edge::RelayServer>(
      m_loop,
      m_workers,
      m_log,
      m_metrics,
      edge::RelayServerHooks{ [this] { return m_knownTerm; },
                              [] { return Duration::zero(); } });
    leaf::try_handle_all(
      [&]() -> Result<void> { return m_relay->Listen(m_relayAddress); },
      [] { ADD_FAILURE() << "the relay cannot listen"; });
  }

  /// Lets the leader know of the relay until a condition holds.
  bool RunOffering(const std::function<bool()>& aCondition)
  {
    return RunUntil([&] {
      m_links->OnPeerSeen(net::Loop::Now(),
                          { VmId("relay"), kDomain, m_relayAddress, 1.0 });
      return aCondition();
    });
  }

  bool Connects()
  {
    return RunOffering([this] { return m_links->UsableCount() == 1; });
  }

  bool Call(relay::Command aCommand, Duration aTimeout = milliseconds(600))
  {
    return m_links->Call(
      kDomain,
      Address(),
      std::move(aCommand),
      aTimeout,
      [this](const relay::Answer& aAnswer) { m_answers.push_back(aAnswer); });
  }

  static relay::StartCommand Start()
  {
    return { { pool::WorkerId("w1"), { JobId("job"), 0, 0 }, 1, "x", {}, {} },
             1000 };
  }

  net::Loop& Loop() { return m_loop; }

  platform::LeaseExtension Extension() const
  {
    platform::LeaseExtension extension;
    extension.m_worker = pool::WorkerId("w1");
    extension.m_address = Address();
    extension.m_term = 5;
    return extension;
  }

  std::vector<std::string> m_commands; ///< paths that the worker has received
  std::vector<relay::Answer> m_answers;
  std::uint64_t m_knownTerm = 0;
  observe::Log m_log;
  observe::Metrics m_metrics;
  platform::WorkerClient m_workers;
  net::Address m_relayAddress;
  std::unique_ptr<edge::RelayServer> m_relay;
  std::unique_ptr<edge::RelayLinks> m_links;
};

TEST(EdgeRelay, CommandsReachTheWorkerAndAnswersTheLeader)
{
  RelayCell cell;
  cell.StartRelay();
  ASSERT_TRUE(cell.Connects());
  ASSERT_TRUE(cell.Call(RelayCell::Start()));
  ASSERT_TRUE(cell.Call(cell.Extension()));
  ASSERT_TRUE(
    cell.Call(pool::StopTask{ pool::WorkerId("w1"), { JobId("job"), 0, 0 } }));
  ASSERT_TRUE(cell.RunOffering([&] { return cell.m_answers.size() == 3; }));
  EXPECT_EQ(cell.m_commands.size(), 3U);
  for (const relay::Answer& answer : cell.m_answers) {
    EXPECT_EQ(answer.m_state, CommandState::Done);
    EXPECT_EQ(answer.m_inventory.has_value(), answer.m_call == 2);
    if (answer.m_call == 1) {
      EXPECT_EQ(answer.m_outcome, pool::StartOutcome::Started);
    }
    if (answer.m_inventory) {
      EXPECT_EQ(answer.m_inventory->m_ended.size(), 1U);
    }
  }
}

TEST(EdgeRelay, WorkerWithoutARelayIsLeftToTheLeader)
{
  RelayCell cell;
  EXPECT_FALSE(cell.Call(RelayCell::Start()));
  cell.StartRelay();
  ASSERT_TRUE(cell.Connects());
  EXPECT_FALSE(cell.m_links->Call(DomainId("domain-b"),
                                  cell.Address(),
                                  RelayCell::Start(),
                                  milliseconds(600),
                                  [](const relay::Answer&) {}));
}

/// The relay's process ends with a call under way: the worker may have received
/// it, so that it is in doubt, and the next calls go another way at once.
TEST(EdgeRelay, CallOfALostRelayIsInDoubtAndTheNextIsLeftToTheLeader)
{
  RelayCell cell;
  cell.StartRelay();
  ASSERT_TRUE(cell.Connects());
  cell.SetDelay(seconds(30));
  ASSERT_TRUE(cell.Call(RelayCell::Start(), seconds(20)));
  ASSERT_TRUE(
    cell.RunOffering([&] { return cell.Requests("run-start") == 1; }));
  cell.m_relay.reset();
  ASSERT_TRUE(cell.RunOffering([&] { return !cell.m_answers.empty(); }));
  EXPECT_EQ(cell.m_answers.size(), 1U);
  EXPECT_EQ(cell.m_answers[0].m_state, CommandState::Unknown);
  EXPECT_EQ(cell.m_answers[0].m_outcome, pool::StartOutcome::Unknown);
  EXPECT_FALSE(cell.Call(RelayCell::Start()));
}

/// A paused relay or a cut link shows nothing but silence.
TEST(EdgeRelay, SilentRelayIsGivenUp)
{
  RelayCell cell;
  std::unique_ptr<net::FrameConnection> silent;
  net::FrameListener listener(cell.Loop(), [&](int aSocket) {
    silent = std::make_unique<net::FrameConnection>(
      cell.Loop(), aSocket, net::FrameHooks{ [](std::string_view) {}, [] {} });
    relay::AnswerFrame first;
    first.m_beat = net::Loop::Now();
    silent->Send(relay::EncodeAnswers(first));
  });
  leaf::try_handle_all(
    [&]() -> Result<void> { return listener.Listen(cell.m_relayAddress); },
    [] { ADD_FAILURE() << "cannot listen"; });
  ASSERT_TRUE(cell.Connects());
  ASSERT_TRUE(cell.Call(RelayCell::Start(), seconds(20)));
  ASSERT_TRUE(cell.RunOffering([&] { return !cell.m_answers.empty(); }));
  EXPECT_EQ(cell.m_answers[0].m_state, CommandState::Unknown);
  EXPECT_FALSE(cell.Call(RelayCell::Start()));
}

/// A planned stop lets the calls under way end and takes no others.
TEST(EdgeRelay, StoppingRelayEndsItsCallsAndGetsNoOthers)
{
  RelayCell cell;
  cell.StartRelay();
  ASSERT_TRUE(cell.Connects());
  cell.SetDelay(milliseconds(300));
  ASSERT_TRUE(cell.Call(cell.Extension()));
  cell.m_relay->BeginStop();
  ASSERT_TRUE(
    cell.RunOffering([&] { return cell.m_links->UsableCount() == 0; }));
  EXPECT_FALSE(cell.Call(RelayCell::Start()));
  ASSERT_TRUE(cell.RunOffering([&] { return !cell.m_answers.empty(); }));
  EXPECT_EQ(cell.m_answers[0].m_state, CommandState::Done);
}

/// A replaced leader may go on for some seconds; a relay that has heard of the
/// successor passes on nothing for it.
TEST(EdgeRelay, OrderOfAReplacedLeaderDoesNotReachTheWorker)
{
  RelayCell cell;
  cell.m_knownTerm = 6;
  cell.StartRelay();
  ASSERT_TRUE(cell.Connects());
  ASSERT_TRUE(cell.Call(RelayCell::Start()));
  ASSERT_TRUE(cell.RunOffering([&] { return !cell.m_answers.empty(); }));
  EXPECT_EQ(cell.m_answers[0].m_state, CommandState::NotSent);
  EXPECT_EQ(cell.m_answers[0].m_outcome, pool::StartOutcome::NotSent);
  EXPECT_TRUE(cell.m_commands.empty());
}

/// The leader has closed its links: nothing calls back into what is gone.
TEST(EdgeRelay, NothingCallsBackOnceTheLinksAreClosed)
{
  RelayCell cell;
  cell.StartRelay();
  ASSERT_TRUE(cell.Connects());
  cell.SetDelay(milliseconds(50));
  ASSERT_TRUE(cell.Call(RelayCell::Start()));
  ASSERT_TRUE(
    cell.RunOffering([&] { return cell.Requests("run-start") == 1; }));
  cell.m_links.reset();
  cell.RunUntil([] { return false; }, milliseconds(300));
  EXPECT_TRUE(cell.m_answers.empty());
}

} // namespace

} // namespace lacewing::fakes
