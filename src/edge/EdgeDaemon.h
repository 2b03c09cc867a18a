/// The edge daemon of a pool: listens for callers, for the load balancer's
/// probe and for other daemons, and connects the components.
#pragma once

#include "edge/AdviceClient.h"
#include "edge/CallerFront.h"
#include "edge/ConfigWatch.h"
#include "edge/EdgeSettings.h"
#include "edge/Leadership.h"
#include "edge/RelayServer.h"
#include "net/HttpServer.h"

#include <map>
#include <memory>
#include <string>

namespace lacewing::edge {

class EdgeDaemon
{
public:
  EdgeDaemon(net::Loop& aLoop, const EdgeSettings& aSettings);

  /// Opens the listening sockets and starts the periodic work. Errors:
  /// `Unavailable` with the address that is already in use.
  Result<void> Start();
  /// Starts a graceful shutdown; stops the loop when the shutdown is complete.
  void BeginDrain();
  /// Logs that the settings file has changed. Addresses take effect only when
  /// the process restarts.
  void OnSettingsChanged();

private:
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
  /// Takes orders of the leader; a daemon that can't is no relay.
  void ListenForOrders();
  void OnStoreCall(const std::string& aTable, bool aAnswered);
  /// Reads from the table of jobs while it is down, to notice its return.
  void ProbeJobTable();
  void OnConfig(const pool::PoolConfig& aConfig);
  void TickDrain();
  /// Counts and logs what the server does about clients that exceed its limits.
  void ReportOverload(net::HttpServer& aServer, const char* aListener);
  void LogState();

  net::Loop& m_loop;
  EdgeSettings m_settings;
  observe::Log m_log;
  observe::Metrics m_metrics;
  net::HttpClient m_http;
  /// What this daemon knows of the store must not wait behind its other work.
  net::HttpClient m_storeHttp;
  StoreHealth m_storeHealth;
  platform::TableStore m_store;
  platform::WorkerClient m_workers;
  AdviceClient m_adviceClient;
  LeaderContext m_context;
  ConfigWatch m_config;
  Leadership m_leadership;
  CallerFront m_front;
  RelayServer m_relayServer;
  net::HttpServer m_callerServer;
  net::HttpServer m_probeServer;
  net::HttpServer m_peerServer;
  std::map<std::string, Time> m_nextOverloadLine; ///< by listener
  bool m_storeProbePending = false;
  int m_probedPart = 0;
  bool m_draining = false;
  Time m_drainStart{};
};

} // namespace lacewing::edge
