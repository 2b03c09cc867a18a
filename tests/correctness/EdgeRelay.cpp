/// Guards against calls that are lost, counted as not sent or made by nobody
/// when the daemon that makes them in place of the leader fails.
#include "edge/RelayLinks.h"
#include "edge/RelayServer.h"
#include "fakes/PoolSamples.h"
#include "fakes/StoreCell.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <thread>

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

/// A relay that takes orders and answers none, in the loop of the leader.
class MuteRelay
{
public:
  explicit MuteRelay(RelayCell& aCell)
    : m_cell(aCell)
    , m_listener(aCell.Loop(), [this](int aSocket) {
      m_connection = std::make_unique<net::FrameConnection>(
        m_cell.Loop(),
        aSocket,
        net::FrameHooks{ [this](std::string_view) { ++m_frames; }, [] {} });
      SendBeat({});
    })
  {
    leaf::try_handle_all(
      [&]() -> Result<void> { return m_listener.Listen(aCell.m_relayAddress); },
      [] { ADD_FAILURE() << "cannot listen"; });
  }

  void SendBeat(Duration aLag)
  {
    relay::AnswerFrame frame;
    frame.m_beat = net::Loop::Now();
    frame.m_loopLag = aLag;
    m_connection->Send(relay::EncodeAnswers(frame));
  }

  int m_frames = 0;

private:
  RelayCell& m_cell;
  net::FrameListener m_listener;
  std::unique_ptr<net::FrameConnection> m_connection;
};

/// A paused relay or a cut link shows nothing but silence.
TEST(EdgeRelay, SilentRelayIsGivenUp)
{
  RelayCell cell;
  MuteRelay silent(cell);
  ASSERT_TRUE(cell.Connects());
  ASSERT_TRUE(cell.Call(RelayCell::Start(), seconds(20)));
  ASSERT_TRUE(cell.RunOffering([&] { return !cell.m_answers.empty(); }));
  EXPECT_EQ(cell.m_answers[0].m_state, CommandState::Unknown);
  EXPECT_FALSE(cell.Call(RelayCell::Start()));
}

/// A relay that is cut from its workers goes on sending frames, and each call
/// through it was in doubt for as long as the cut lasted.
TEST(EdgeRelay, RelayThroughWhichNoWorkerAnswersIsGivenUp)
{
  RelayCell cell;
  MuteRelay mute(cell);
  ASSERT_TRUE(cell.Connects());
  ASSERT_TRUE(cell.Call(RelayCell::Start(), seconds(30)));
  Time next = net::Loop::Now();
  ASSERT_TRUE(cell.RunOffering([&] {
    if (net::Loop::Now() >= next) {
      next = net::Loop::Now() + milliseconds(100);
      mute.SendBeat({});
    }
    return !cell.m_answers.empty();
  }));
  EXPECT_EQ(cell.m_answers[0].m_state, CommandState::Unknown);
  EXPECT_FALSE(cell.Call(RelayCell::Start()));
}

/// A relay whose lag lay about one bound changed the routes of all workers many
/// times a second.
TEST(EdgeRelay, LateRelayIsUsedAgainOnlyOnceItIsWellInTime)
{
  RelayCell cell;
  MuteRelay relay(cell);
  ASSERT_TRUE(cell.Connects());
  const auto usable = [&](Duration aLag) {
    relay.SendBeat(aLag);
    const int ticks = 150; // milliseconds, about three ticks of the links
    cell.RunUntil([] { return false; }, milliseconds(ticks));
    return cell.m_links->UsableCount() == 1;
  };
  EXPECT_TRUE(usable(milliseconds(90)));
  EXPECT_FALSE(usable(milliseconds(130)));
  EXPECT_FALSE(usable(milliseconds(90)));
  EXPECT_TRUE(usable(milliseconds(20)));
}

/// A relay in a thread of its own, which goes on while the leader is held up.
class RelayThread
{
public:
  explicit RelayThread(const net::Address& aAddress)
    : m_log({})
    , m_http(m_loop)
    , m_workers(m_http)
    , m_relay(
        m_loop,
        m_workers,
        m_log,
        m_metrics,
        { [] { return std::uint64_t{ 0 }; }, [] { return Duration::zero(); } })
  {
    leaf::try_handle_all(
      [&]() -> Result<void> { return m_relay.Listen(aAddress); },
      [] { ADD_FAILURE() << "cannot listen"; });
    m_thread = std::thread([this] {
      while (!m_ends) {
        m_loop.Poll();
        std::this_thread::sleep_for(milliseconds(1));
      }
    });
  }
  ~RelayThread()
  {
    m_ends = true;
    m_thread.join();
  }
  RelayThread(const RelayThread&) = delete;
  RelayThread& operator=(const RelayThread&) = delete;

private:
  net::Loop m_loop;
  observe::Log m_log;
  observe::Metrics m_metrics;
  net::HttpClient m_http;
  platform::WorkerClient m_workers;
  edge::RelayServer m_relay;
  std::atomic<bool> m_ends = false;
  std::thread m_thread;
};

/// A frozen or busy leader sent orders on that it had decided on long before,
/// with the clock that it had just heard from the relay: a task of a cancelled
/// job could start.
TEST(EdgeRelay, OrderThatWaitedInAHeldUpLeaderIsDropped)
{
  RelayCell cell;
  const RelayThread thread(cell.m_relayAddress);
  ASSERT_TRUE(cell.Connects());
  ASSERT_TRUE(cell.Call(RelayCell::Start(), seconds(5)));
  std::this_thread::sleep_for(relay::kOrderLifetime + milliseconds(300));
  ASSERT_TRUE(cell.RunOffering([&] { return !cell.m_answers.empty(); }));
  EXPECT_EQ(cell.m_answers[0].m_state, CommandState::NotSent);
  EXPECT_TRUE(cell.m_commands.empty());
}

/// The relay's clock must not run ahead by what the leader adds to it.
TEST(EdgeRelay, OrderOfALeaderThatIsInTimeIsCarriedOut)
{
  RelayCell cell;
  const RelayThread thread(cell.m_relayAddress);
  ASSERT_TRUE(cell.Connects());
  for (std::size_t round = 1; round <= 20; ++round) {
    ASSERT_TRUE(cell.Call(RelayCell::Start()));
    ASSERT_TRUE(
      cell.RunOffering([&] { return cell.m_answers.size() == round; }));
    EXPECT_EQ(cell.m_answers.back().m_state, CommandState::Done);
    std::this_thread::sleep_for(milliseconds(20));
  }
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

/// The starts of one plan filled a frame beyond its longest size. The relay
/// ended the connection, and all calls through it were in doubt.
TEST(EdgeRelay, OrdersBeyondTheLongestFrameAreCarriedOut)
{
  RelayCell cell;
  cell.StartRelay();
  ASSERT_TRUE(cell.Connects());
  constexpr std::size_t kPayload = 64 * 1024;
  constexpr std::size_t kStarts =
    net::FrameConnection::kMaxFrameBytes / kPayload + 1;
  relay::StartCommand start = RelayCell::Start();
  start.m_start.m_payload = std::string(kPayload, 'x');
  for (std::size_t count = 0; count < kStarts; ++count) {
    ASSERT_TRUE(cell.Call(start, seconds(5)));
  }
  ASSERT_TRUE(
    cell.RunOffering([&] { return cell.m_answers.size() == kStarts; }));
  for (const relay::Answer& answer : cell.m_answers) {
    EXPECT_EQ(answer.m_state, CommandState::Done);
  }
}

} // namespace

} // namespace lacewing::fakes
