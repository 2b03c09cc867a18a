/// A store behind loopback HTTP, in this process, whose responses can be held
/// back, replaced or outdated, and a client of it.
#pragma once

#include "PlatformStore.h"
#include "fakes/FreeAddress.h"
#include "net/HttpServer.h"
#include "platform/TableStore.h"
#include "pool/JobRows.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lacewing::fakes {

class StoreCell
{
public:
  StoreCell()
    : m_address(FreeAddress())
    , m_server(m_loop,
               {},
               [this](const auto& aRequest, const auto& aReply) {
                 Handle(aRequest, aReply);
               })
    , m_http(m_loop)
    , m_store(m_http, m_address, [](const std::string&, bool) {})
  {
    leaf::try_handle_all(
      [&]() -> Result<void> { return m_server.Listen(m_address); }, [] {});
  }
  StoreCell(const StoreCell&) = delete;
  StoreCell& operator=(const StoreCell&) = delete;

  platform::TableStore& Store() { return m_store; }
  const net::Address& Address() const { return m_address; }

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

  /// Chooses responses in place of the store's; nothing for its own.
  using Override =
    std::function<std::optional<net::HttpResponse>(const net::HttpRequest&)>;
  void OverrideWith(Override aOverride) { m_override = std::move(aOverride); }

  /// Delays each response.
  void SetDelay(Duration aDelay) { m_delay = aDelay; }

  /// Rows of a table that are not deleted.
  std::size_t RowsOf(const std::string& aTable) const
  {
    return m_rows.RowsOf(aTable);
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

protected:
  net::Loop m_loop;

private:
  void Handle(const net::HttpRequest& aRequest, const net::HttpReply& aReply)
  {
    const std::string path = aRequest.m_path +
                             "?table=" + aRequest.Query("table") +
                             "&part=" + aRequest.Query("part") + "&";
    m_paths.push_back(path);
    const auto answer = [this, aRequest, aReply] {
      std::optional<net::HttpResponse> response;
      if (m_override) {
        response = m_override(aRequest);
      }
      if (!response) {
        response = m_rows.Handle(aRequest);
      }
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
    m_loop.After(m_delay, answer);
  }

  standin::PlatformStore m_rows;
  net::Address m_address;
  net::HttpServer m_server;
  Override m_override;
  bool m_servesOldReads = false;
  Duration m_delay{};
  std::string m_held;
  std::vector<std::function<void()>> m_waiting;
  std::vector<std::string> m_paths;

protected:
  net::HttpClient m_http;
  platform::TableStore m_store;
};

} // namespace lacewing::fakes
