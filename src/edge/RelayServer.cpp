#include "edge/RelayServer.h"

#include "core/TryDecode.h"

#include <algorithm>
#include <utility>

#include <unistd.h>

namespace lacewing::edge {

namespace {

/// One leader sends orders at a time, and its connection may be made anew. More
/// connections would only take memory, up to a frame each.
constexpr std::size_t kMostSessions = 4;

/// Answers of this time leave in one frame.
constexpr Duration kFlushPeriod = milliseconds(4);
/// Answers with the longest lists of ends stay below the longest frame.
constexpr std::size_t kAnswersPerFrame = 64;
/// A frame is sent at least this often, so that the leader knows the relay's
/// clock and that it goes on.
constexpr Duration kBeatPeriod = milliseconds(100);
/// A leader extends leases all the time; one that sends nothing for this long
/// has ended or is cut off.
constexpr Duration kIdleSession = seconds(10);

/// Timeout of a call whose order was accepted now: it ends no later than the
/// leader waits for it, so that no two lease extensions are under way.
Duration
CallTimeout(const relay::OrderFrame& aFrame, const relay::Order& aOrder)
{
  const Duration age = net::Loop::Now() - aFrame.m_beat;
  return std::min(aOrder.m_timeout, aOrder.m_timeout + relay::kTransit - age);
}

/// Timeout of the call for a start: the worker has the command within
/// `kStartDelivery` of the decision, or not from this call. The order's own
/// timeout also allows for a late leader, which must not delay the start.
Duration
StartTimeout(const relay::OrderFrame& aFrame, const relay::Order& aOrder)
{
  const Duration age = net::Loop::Now() - aFrame.m_beat;
  return std::min(aOrder.m_timeout, relay::kStartDelivery - age);
}

} // namespace

/// One connection of a leader.
class RelayServer::Session : public std::enable_shared_from_this<Session>
{
public:
  Session(RelayServer& aServer, int aSocket)
    : m_server(aServer)
    , m_gate(aServer.m_fence)
    , m_flush(aServer.m_loop, kFlushPeriod, [this] { Flush(); })
    , m_connection(aServer.m_loop,
                   aSocket,
                   { [this](std::string_view aFrame) { OnFrame(aFrame); },
                     [this] { m_server.Remove(this); } })
  {
  }

  bool IsIdle(Time aNow) const { return aNow > m_lastFrame + kIdleSession; }

  void Flush()
  {
    if (!m_connection.IsOpen()) {
      return;
    }
    relay::AnswerFrame frame;
    frame.m_beat = m_gate.Beat(net::Loop::Now());
    frame.m_loopLag = m_server.m_hooks.m_loopLag();
    frame.m_stopping = m_server.m_stopping;
    for (relay::Answer& answer : std::exchange(m_answers, {})) {
      frame.m_answers.push_back(std::move(answer));
      if (frame.m_answers.size() >= kAnswersPerFrame) {
        m_connection.Send(relay::EncodeAnswers(frame));
        frame.m_answers.clear();
      }
    }
    m_connection.Send(relay::EncodeAnswers(frame));
  }

private:
  void OnFrame(std::string_view aFrame)
  {
    const auto frame =
      TryDecode<relay::OrderFrame>([&] { return relay::DecodeOrders(aFrame); });
    if (!frame) {
      m_server.m_log.Write(
        settings::LogLevel::Warn,
        "relay_frame_refused",
        { { "bytes", static_cast<std::int64_t>(aFrame.size()) } });
      return;
    }
    m_lastFrame = net::Loop::Now();
    m_server.m_log.WriteOnChange(
      "relay of",
      frame->m_leader.Value(),
      settings::LogLevel::Info,
      "dependency",
      { { "term", static_cast<std::int64_t>(frame->m_term) } });
    m_server.m_fence.OnTerm(m_server.m_hooks.m_knownTerm());
    for (const relay::Order& order : frame->m_orders) {
      Take(*frame, order);
    }
  }

  void Take(const relay::OrderFrame& aFrame, const relay::Order& aOrder)
  {
    const auto verdict = m_gate.Check(net::Loop::Now(), aFrame, aOrder.m_call);
    m_server.m_metrics.Add(observe::Metric::RelayOrders, { NameOf(verdict) });
    switch (verdict) {
      case relay::OrderVerdict::Accepted:
        std::visit(
          [&](const auto& aCommand) { Execute(aFrame, aOrder, aCommand); },
          aOrder.m_command);
        return;
      case relay::OrderVerdict::Repeated:
        return; // the first copy is answered
      case relay::OrderVerdict::Late:
      case relay::OrderVerdict::Superseded:
        break;
    }
    m_server.m_log.Write(
      settings::LogLevel::Warn,
      "order_dropped",
      { { "worker", relay::WorkerOf(aOrder.m_command).Value() },
        { "verdict", std::string(NameOf(verdict)) },
        { "term", static_cast<std::int64_t>(aFrame.m_term) },
        { "age_ms", ToMilliseconds(net::Loop::Now() - aFrame.m_beat) } });
    relay::Answer answer;
    answer.m_call = aOrder.m_call;
    answer.m_state = platform::CommandState::NotSent;
    answer.m_outcome = pool::StartOutcome::NotSent;
    Reply(std::move(answer));
  }

  void Execute(const relay::OrderFrame& aFrame,
               const relay::Order& aOrder,
               const platform::LeaseExtension& aExtension)
  {
    m_server.m_workers.ExtendLease(
      aExtension,
      CallTimeout(aFrame, aOrder),
      [weak = weak_from_this(),
       call = aOrder.m_call](const platform::LeaseExtensionResult& aResult) {
        if (const auto self = weak.lock()) {
          self->Reply({ call,
                        aResult.m_state,
                        pool::StartOutcome::Unknown,
                        aResult.m_inventory,
                        0 });
        }
      });
  }

  void Execute(const relay::OrderFrame& aFrame,
               const relay::Order& aOrder,
               const relay::StartCommand& aCommand)
  {
    m_server.m_workers.Start(aOrder.m_address,
                             aCommand.m_start,
                             aFrame.m_term,
                             aCommand.m_deadlineMs,
                             StartTimeout(aFrame, aOrder),
                             [weak = weak_from_this(), call = aOrder.m_call](
                               const platform::StartResult& aResult) {
                               if (const auto self = weak.lock()) {
                                 self->Reply({ call,
                                               aResult.m_state,
                                               aResult.m_outcome,
                                               {},
                                               aResult.m_clockMs });
                               }
                             });
  }

  void Execute(const relay::OrderFrame& aFrame,
               const relay::Order& aOrder,
               const pool::StopTask& aStop)
  {
    m_server.m_workers.Stop(
      aOrder.m_address,
      aStop,
      aFrame.m_term,
      CallTimeout(aFrame, aOrder),
      [weak = weak_from_this(),
       call = aOrder.m_call](platform::CommandState aState) {
        if (const auto self = weak.lock()) {
          self->Reply({ call, aState, pool::StartOutcome::Unknown, {}, 0 });
        }
      });
  }

  void Reply(relay::Answer aAnswer)
  {
    m_answers.push_back(std::move(aAnswer));
    m_flush.CallSoon();
  }

  RelayServer& m_server;
  relay::OrderGate m_gate;
  std::vector<relay::Answer> m_answers; ///< to be sent
  Time m_lastFrame = net::Loop::Now();
  net::PacedTimer m_flush;
  net::FrameConnection m_connection;
};

RelayServer::RelayServer(net::Loop& aLoop,
                         platform::WorkerClient& aWorkers,
                         observe::Log& aLog,
                         observe::Metrics& aMetrics,
                         RelayServerHooks aHooks)
  : m_loop(aLoop)
  , m_workers(aWorkers)
  , m_log(aLog)
  , m_metrics(aMetrics)
  , m_hooks(std::move(aHooks))
  , m_listener(aLoop, [this](int aSocket) { OnAccepted(aSocket); })
  , m_beat(aLoop, kBeatPeriod, [this] { SendBeats(); })
{
}

RelayServer::~RelayServer() = default;

Result<void>
RelayServer::Listen(const net::Address& aAddress)
{
  BOOST_LEAF_CHECK(m_listener.Listen(aAddress));
  m_beat.CallSoon();
  return {};
}

void
RelayServer::BeginStop()
{
  m_stopping = true;
  SendBeats();
}

void
RelayServer::OnAccepted(int aSocket)
{
  if (m_sessions.size() >= kMostSessions) {
    m_metrics.Add(observe::Metric::ClientOverload, { "relay", "closed" });
    close(aSocket);
    return;
  }
  auto session = std::make_shared<Session>(*this, aSocket);
  session->Flush();
  m_sessions.emplace(session.get(), session);
}

void
RelayServer::Remove(Session* aSession)
{
  // The session's connection calls this, so it must outlive the call.
  auto session = m_sessions.extract(aSession);
  m_loop.After(Duration::zero(), [kept = session.mapped()] {});
}

void
RelayServer::SendBeats()
{
  const Time now = net::Loop::Now();
  m_beat.CallBy(now + kBeatPeriod);
  std::erase_if(m_sessions,
                [now](const auto& aItem) { return aItem.second->IsIdle(now); });
  for (const auto& [key, session] : m_sessions) {
    session->Flush();
  }
}

} // namespace lacewing::edge
