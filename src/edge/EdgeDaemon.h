/// The entry daemon of a pool: listens for callers, for the balancer's probe
/// and for other daemons, and wires everything together.
#pragma once

#include "edge/AdviceClient.h"
#include "edge/CallerFront.h"
#include "edge/ConfigWatch.h"
#include "edge/EdgeSettings.h"
#include "edge/Leadership.h"
#include "net/HttpServer.h"

#include <memory>

namespace lacewing::edge {

class EdgeDaemon
{
public:
  EdgeDaemon(net::Loop& aLoop, const EdgeSettings& aSettings);

  /// Listens and starts the periodic work. Errors: `Unavailable` naming the
  /// address that is taken.
  Result<void> Start();
  /// Starts the planned stop; the loop ends when it is complete.
  void BeginDrain();
  /// Notes that the settings file has changed. Addresses stay as they are until
  /// the process starts again.
  void OnSettingsChanged();

private:
  void HandleCaller(const net::HttpRequest& aRequest,
                    const net::HttpReply& aReply);
  void HandleProbe(const net::HttpRequest& aRequest,
                   const net::HttpReply& aReply);
  void HandlePeer(const net::HttpRequest& aRequest,
                  const net::HttpReply& aReply);
  void HandleStatus(const net::HttpRequest& aRequest,
                    const net::HttpReply& aReply);
  void HandleJob(const net::HttpRequest& aRequest,
                 const net::HttpReply& aReply);
  void HandleAdvice(const net::HttpRequest& aRequest,
                    const net::HttpReply& aReply);
  bool IsReady() const;
  void OnStoreCall(const std::string& aTable, bool aAnswered);
  void OnConfig(const pool::PoolConfig& aConfig);
  void TickDrain();
  void LogState();

  net::Loop& m_loop;
  EdgeSettings m_settings;
  observe::Log m_log;
  observe::Metrics m_metrics;
  net::HttpClient m_http;
  StoreHealth m_storeHealth;
  platform::TableStore m_store;
  platform::WorkerClient m_workers;
  AdviceClient m_adviceClient;
  LeaderContext m_context;
  ConfigWatch m_config;
  Leadership m_leadership;
  CallerFront m_front;
  net::HttpServer m_callerServer;
  net::HttpServer m_probeServer;
  net::HttpServer m_peerServer;
  bool m_draining = false;
  Time m_drainBegan{};
};

} // namespace lacewing::edge
