/// A leader of the pool in this process, and a store behind loopback HTTP whose
/// responses can be held back and whose history can be dropped.
#pragma once

#include "PlatformStore.h"
#include "edge/PoolLeader.h"
#include "fakes/FreeAddress.h"
#include "fakes/PoolSamples.h"
#include "net/HttpServer.h"

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lacewing::fakes {

class LeaderCell
{
public:
  LeaderCell()
    : m_storeAddress(FreeAddress())
    , m_storeServer(m_loop,
                    {},
                    [this](const auto& aRequest, const auto& aReply) {
                      HandleStore(aRequest, aReply);
                    })
    , m_log({})
    , m_http(m_loop)
    , m_store(m_http, m_storeAddress, [](const std::string&, bool) {})
    , m_workers(m_http)
    , m_adviceClient(m_workers, std::nullopt)
  {
    m_settings.m_leaseMax = seconds(6);
    m_settings.m_statusRetention = seconds(100);
    leaf::try_handle_all(
      [&]() -> Result<void> { return m_storeServer.Listen(m_storeAddress); },
      [] {});
  }

  /// Writes rows into the store, in one transaction.
  void Put(std::vector<table::Put> aPuts)
  {
    table::Commit commit;
    commit.m_puts = std::move(aPuts);
    net::HttpRequest request;
    request.m_method = "POST";
    request.m_path = "/api/rows-tx";
    request.m_body = platform::EncodeTransaction(commit);
    m_rows.Handle(request);
  }

  void PutJob(const pool::Job& aJob,
              pool::JobLocation aLocation = pool::JobLocation::First)
  {
    Put({ { pool::JobKey(aJob.m_id, aLocation), pool::EncodeJob(aJob) } });
  }

  void PutProgress(const JobId& aJob, const pool::JobProgress& aProgress)
  {
    Put({ { pool::ProgressKey(aJob), pool::EncodeProgress(aProgress) } });
  }

  /// Drops the history, including a change that no watch has seen.
  void ForgetHistory()
  {
    m_rows.Put("servers", "unread", "{}");
    m_rows.Compact();
  }

  /// While set, the store answers reads as of a version before the claim.
  void ServeOldReads(bool aOld) { m_servesOldReads = aOld; }

  /// Version of the store's last write.
  RowVersion Version() const { return m_rows.Version(); }

  /// Requests whose path contains the text get no response until `Release`.
  void Hold(std::string aText) { m_held = std::move(aText); }
  void Release()
  {
    m_held.clear();
    for (const auto& held : std::exchange(m_waiting, {})) {
      held();
    }
  }

  /// Requests to the store so far whose path contains the text.
  std::size_t Requests(const std::string& aText) const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(m_paths, [&](const std::string& aPath) {
        return aPath.find(aText) != std::string::npos;
      }));
  }

  /// Begins a leadership whose claim has the store's present version.
  void Lead(std::uint64_t aTerm = 2)
  {
    edge::LeaderHooks hooks;
    hooks.m_onFenced = [] {};
    hooks.m_maySendCommands = [] { return true; };
    hooks.m_onUnsaved = [] {};
    pool::LeaderRow claim;
    claim.m_term = aTerm;
    m_leader = std::make_shared<edge::PoolLeader>(
      Context(), std::move(hooks), claim, m_rows.Version(), PoolSample());
    m_leader->Start();
  }
  edge::PoolLeader& Leader() { return *m_leader; }

  /// Runs the loop until the condition holds; false if it does not in time.
  bool RunUntil(const std::function<bool()>& aCondition,
                Duration aLimit = seconds(20))
  {
    const Time end = net::Loop::Now() + aLimit;
    while (!aCondition() && net::Loop::Now() < end) {
      m_loop.Poll();
      std::this_thread::sleep_for(milliseconds(1));
    }
    return aCondition();
  }

  ~LeaderCell()
  {
    if (m_leader) {
      m_leader->Close();
    }
  }
  LeaderCell(const LeaderCell&) = delete;
  LeaderCell& operator=(const LeaderCell&) = delete;

private:
  edge::LeaderContext Context()
  {
    return { m_loop,         m_http, m_store,   m_storeHealth, m_workers,
             m_adviceClient, m_log,  m_metrics, m_settings };
  }

  void HandleStore(const net::HttpRequest& aRequest,
                   const net::HttpReply& aReply)
  {
    const std::string path = aRequest.m_path +
                             "?table=" + aRequest.Query("table") +
                             "&part=" + aRequest.Query("part") + "&";
    m_paths.push_back(path);
    const auto answer = [this, aRequest, aReply] {
      auto response = m_rows.Handle(aRequest);
      if (!response) {
        return;
      }
      if (m_servesOldReads) {
        auto body = nlohmann::json::parse(response->m_body);
        body["ver"] = 1;
        body["rows"] = nlohmann::json::array();
        response->m_body = body.dump();
      }
      aReply(*response);
    };
    if (!m_held.empty() && path.find(m_held) != std::string::npos) {
      m_waiting.emplace_back(answer);
      return;
    }
    answer();
  }

  net::Loop m_loop;
  standin::PlatformStore m_rows;
  net::Address m_storeAddress;
  net::HttpServer m_storeServer;
  bool m_servesOldReads = false;
  std::string m_held;
  std::vector<std::function<void()>> m_waiting;
  std::vector<std::string> m_paths;
  observe::Log m_log;
  observe::Metrics m_metrics;
  net::HttpClient m_http;
  edge::StoreHealth m_storeHealth;
  platform::TableStore m_store;
  platform::WorkerClient m_workers;
  edge::AdviceClient m_adviceClient;
  edge::EdgeSettings m_settings;
  std::shared_ptr<edge::PoolLeader> m_leader;
};

} // namespace lacewing::fakes
