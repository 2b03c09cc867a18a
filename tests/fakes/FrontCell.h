/// The front of an entry daemon in this process, with a store behind loopback
/// HTTP and another daemon that the store names as the leader.
#pragma once

#include "edge/CallerFront.h"
#include "fakes/PoolSamples.h"
#include "fakes/StoreCell.h"
#include "net/HttpServer.h"
#include "platform/Documents.h"

#include <optional>
#include <string>

namespace lacewing::fakes {

class FrontCell : public StoreCell
{
public:
  FrontCell()
    : m_log({})
    , m_workers(m_http)
    , m_adviceClient(m_workers, std::nullopt)
    , m_settings(Settings())
    , m_config(m_loop,
               m_store,
               m_log,
               { [this](const pool::PoolConfig& aConfig) {
                  m_leadership.SetConfig(aConfig);
                },
                 [](const std::set<DomainId>&) {} })
    , m_leadership(Context(), kIncarnation)
    , m_front(Context(), m_config, m_leadership)
    , m_leaderServer(m_loop,
                     {},
                     [this](const auto& aRequest, const auto& aReply) {
                       m_atLeader(aRequest, aReply);
                     })
  {
  }
  FrontCell(const FrontCell&) = delete;
  FrontCell& operator=(const FrontCell&) = delete;

  /// Starts the daemon beside a leader that handles its requests with
  /// `aAtLeader`; false if it does not learn of the leader.
  bool Start(net::HttpHandler aAtLeader)
  {
    m_atLeader = std::move(aAtLeader);
    // The loop does not return while requests and responses are always ready.
    SetDelay(milliseconds(5));
    leaf::try_handle_all(
      [&]() -> Result<void> { return m_leaderServer.Listen(m_leaderAddress); },
      [] {});
    Put({ { platform::kConfigKey, ConfigDocument() } });
    RenewLeader();
    m_config.Start();
    m_leadership.Start();
    return RunUntil(
      [&] { return m_leadership.LeaderAddress() == m_leaderAddress; });
  }

  /// Writes the leader's row again. The daemon claims it if it does not change
  /// and the leader does not answer either.
  void RenewLeader()
  {
    Put({ { pool::LeaderKey(),
            pool::EncodeLeader({ "leader",
                                 m_leaderAddress.ToString(),
                                 kLeaderIncarnation,
                                 1,
                                 {} }) } });
  }

  /// Sends a request of a caller and returns the response.
  std::optional<net::HttpResponse> Call(const std::string& aMethod,
                                        const std::string& aPath,
                                        Duration aDeadline,
                                        std::string aBody = {})
  {
    net::HttpRequest request;
    request.m_method = aMethod;
    request.m_path = aPath;
    request.m_headers["Host"] = "host";
    request.m_headers["Authorization"] = "Bearer key";
    request.m_headers[platform::kDeadlineHeader] =
      std::to_string(ToMilliseconds(aDeadline));
    request.m_body = std::move(aBody);
    std::optional<net::HttpResponse> response;
    m_front.Handle(request, [&](const net::HttpResponse& aResponse) {
      response = aResponse;
    });
    RunUntil([&] { return response.has_value(); });
    return response;
  }

  static constexpr std::uint64_t kLeaderIncarnation = 8;

private:
  static constexpr std::uint64_t kIncarnation = 7;

  static edge::EdgeSettings Settings()
  {
    edge::EdgeSettings settings;
    settings.m_vm = VmId("front");
    settings.m_peers = FreeAddress();
    settings.m_leaseMax = seconds(6);
    settings.m_statusRetention = seconds(100);
    return settings;
  }

  /// The desired state with one queue and one team, as the operator writes it.
  static std::string ConfigDocument()
  {
    return R"({"version":1,"routes":[{"name":"patient","host":"host",
      "prefix":"/patient/","service":"ledger","priority":2,"attempts":3,
      "slack_factor":2,"target_runtime_ms":1000}],
      "services":[{"name":"ledger"}],
      "tenants":[{"name":"assessors","api_keys":["key"],"weight":1000}]})";
  }

  edge::LeaderContext Context()
  {
    return { m_loop,         m_http, m_store,   m_storeHealth, m_workers,
             m_adviceClient, m_log,  m_metrics, m_settings };
  }

  observe::Log m_log;
  observe::Metrics m_metrics;
  edge::StoreHealth m_storeHealth;
  platform::WorkerClient m_workers;
  edge::AdviceClient m_adviceClient;
  edge::EdgeSettings m_settings;
  edge::ConfigWatch m_config;
  edge::Leadership m_leadership;
  edge::CallerFront m_front;
  const net::Address m_leaderAddress = FreeAddress();
  net::HttpHandler m_atLeader;
  net::HttpServer m_leaderServer;
};

} // namespace lacewing::fakes
