/// The relay's side: takes orders of the pool's leader, calls the workers, and
/// returns their answers in frames.
///
/// Safety rests on `OrderGate`, on the fencing term and on the end of the lease
/// in each command, which the leader has set on the worker's clock: an order
/// that is passed on late starts nothing that the leader does not expect. A
/// relay keeps nothing that must last.
#pragma once

#include "core/Verdict.h"
#include "net/FrameConnection.h"
#include "net/Loop.h"
#include "net/PacedTimer.h"
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "platform/WorkerClient.h"
#include "relay/OrderGate.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace lacewing::edge {

struct RelayServerHooks
{
  /// Highest term that this daemon has heard of.
  std::function<std::uint64_t()> m_knownTerm;
  /// How late the event loop is.
  std::function<Duration()> m_loopLag;
};

class RelayServer
{
public:
  RelayServer(net::Loop& aLoop,
              platform::WorkerClient& aWorkers,
              observe::Log& aLog,
              observe::Metrics& aMetrics,
              RelayServerHooks aHooks);
  ~RelayServer();
  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

  /// Errors: `Unavailable` if the address cannot be listened on.
  Result<void> Listen(const net::Address& aAddress);
  /// Tells the leader to send no further orders.
  void BeginStop();

private:
  class Session;

  void OnAccepted(int aSocket);
  /// Called for a session whose connection has ended.
  void Remove(Session* aSession);
  void SendBeats();

  net::Loop& m_loop;
  platform::WorkerClient& m_workers;
  observe::Log& m_log;
  observe::Metrics& m_metrics;
  RelayServerHooks m_hooks;
  relay::TermFence m_fence;
  bool m_stopping = false;
  net::FrameListener m_listener;
  std::unordered_map<Session*, std::shared_ptr<Session>> m_sessions;
  net::PacedTimer m_beat;
};

} // namespace lacewing::edge
