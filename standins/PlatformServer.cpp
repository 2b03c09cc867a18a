// Simulates the users' platform in one process: the row store, the policy
// service and a few workers listen on consecutive ports.
#include "PlatformStore.h"
#include "PlatformWorker.h"
#include "Servers.h"
#include "net/HttpServer.h"

#include <chrono>
#include <memory>

namespace lacewing::standin {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr Duration kPollInterval = milliseconds(5);

std::int64_t
QueryNumber(const Json& aBody, const char* aField)
{
  return aBody.value(aField, std::int64_t{ 0 });
}

class Platform
{
public:
  Platform(net::Loop& aLoop, const net::Address& aListen, int aWorkers);
  Result<void> Listen();

private:
  struct WorkerProcess
  {
    PlatformWorker m_model;
    net::Address m_address;
    Time m_start;
    Time m_answersCutUntil; ///< commands are executed and not answered
    std::unique_ptr<net::HttpServer> m_server;
  };

  void HandleStore(const net::HttpRequest& aRequest,
                   const net::HttpReply& aReply);
  void WaitForChange(const net::HttpRequest& aRequest,
                     const net::HttpReply& aReply,
                     Time aUntil);
  void HandleWorker(WorkerProcess& aWorker,
                    const net::HttpRequest& aRequest,
                    const net::HttpReply& aReply);
  void WaitForEnd(WorkerProcess& aWorker,
                  const net::HttpRequest& aRequest,
                  const net::HttpReply& aReply,
                  Time aUntil);
  void Control(const net::HttpRequest& aRequest);
  /// The worker starts again under its id; for that time nothing tells so.
  void RestartUnheard(const std::string& aId, Duration aTime);
  /// Counts a start of a task that another worker runs.
  void CountOverlap(const WorkerProcess& aWorker,
                    const net::HttpRequest& aRequest);
  std::string Starts() const;
  static std::int64_t ClockOf(const WorkerProcess& aWorker);

  net::Loop& m_loop;
  net::Address m_listen;
  PlatformStore m_store;
  net::HttpServer m_storeServer;
  net::HttpServer m_policyServer;
  std::vector<std::unique_ptr<WorkerProcess>> m_workers;
  int m_overlaps = 0; ///< starts of tasks that ran elsewhere
};

Platform::Platform(net::Loop& aLoop, const net::Address& aListen, int aWorkers)
  : m_loop(aLoop)
  , m_listen(aListen)
  , m_storeServer(aLoop,
                  {},
                  [this](const auto& aRequest, const auto& aReply) {
                    HandleStore(aRequest, aReply);
                  })
  , m_policyServer(aLoop, {}, [](const auto& aRequest, const auto& aReply) {
    // Permits the step on every worker in the request.
    const Json body = Json::parse(aRequest.m_body);
    Json good = Json::array();
    for (const Json& worker : body.at("workers")) {
      good.push_back({ worker, "ticket" });
    }
    aReply(net::JsonResponse(kOk, Json{ { "good", good } }.dump()));
  })
{
  constexpr std::int64_t kIncarnation = 1'000;
  for (int number = 0; number < aWorkers; ++number) {
    const std::string id = "i-" + std::to_string(number);
    auto worker = std::make_unique<WorkerProcess>(
      WorkerProcess{ PlatformWorker(id, kIncarnation),
                     aListen,
                     net::Loop::Now(),
                     {},
                     nullptr });
    worker->m_address.m_port =
      static_cast<std::uint16_t>(aListen.m_port + 2 + number);
    WorkerProcess* raw = worker.get();
    worker->m_server = std::make_unique<net::HttpServer>(
      aLoop,
      net::HttpServerLimits(),
      [this, raw](const auto& aRequest, const auto& aReply) {
        HandleWorker(*raw, aRequest, aReply);
      });
    m_store.Put(
      "servers", id, raw->m_model.Entry(raw->m_address.ToString(), 1).dump());
    m_workers.push_back(std::move(worker));
  }
}

Result<void>
Platform::Listen()
{
  net::Address policy = m_listen;
  ++policy.m_port;
  BOOST_LEAF_CHECK(m_storeServer.Listen(m_listen));
  BOOST_LEAF_CHECK(m_policyServer.Listen(policy));
  for (const auto& worker : m_workers) {
    BOOST_LEAF_CHECK(worker->m_server->Listen(worker->m_address));
  }
  return {};
}

std::int64_t
Platform::ClockOf(const WorkerProcess& aWorker)
{
  return ToMilliseconds(net::Loop::Now() - aWorker.m_start) + 1;
}

void
Platform::HandleStore(const net::HttpRequest& aRequest,
                      const net::HttpReply& aReply)
{
  if (aRequest.m_path == "/control") {
    Control(aRequest);
    aReply(net::JsonResponse(kOk, "{}"));
    return;
  }
  if (aRequest.m_path == "/starts") {
    aReply(net::JsonResponse(kOk, Starts()));
    return;
  }
  if (aRequest.m_path == "/rows") {
    const Json rows = { { "jobs", m_store.RowsOf("jobs") },
                        { "progress", m_store.RowsOf("progress") } };
    aReply(net::JsonResponse(kOk, rows.dump()));
    return;
  }
  const std::string wait = aRequest.Query("wait_ms");
  WaitForChange(aRequest,
                aReply,
                net::Loop::Now() +
                  milliseconds(wait.empty() ? 0 : std::stoll(wait)));
}

void
Platform::WaitForChange(const net::HttpRequest& aRequest,
                        const net::HttpReply& aReply,
                        Time aUntil)
{
  const auto answer = m_store.Handle(aRequest);
  if (!answer) {
    return; // no response: the client's timeout expires
  }
  const Json body = Json::parse(answer->m_body, nullptr, false);
  const bool empty = aRequest.m_path == "/api/rows-feed" &&
                     answer->m_status == kOk && body.at("rows").empty();
  if (!empty || net::Loop::Now() >= aUntil) {
    aReply(*answer);
    return;
  }
  m_loop.After(kPollInterval, [this, aRequest, aReply, aUntil] {
    WaitForChange(aRequest, aReply, aUntil);
  });
}

void
Platform::HandleWorker(WorkerProcess& aWorker,
                       const net::HttpRequest& aRequest,
                       const net::HttpReply& aReply)
{
  const Json body = Json::parse(aRequest.m_body);
  WaitForEnd(aWorker,
             aRequest,
             aReply,
             net::Loop::Now() + milliseconds(QueryNumber(body, "wait_ms")));
}

void
Platform::WaitForEnd(WorkerProcess& aWorker,
                     const net::HttpRequest& aRequest,
                     const net::HttpReply& aReply,
                     Time aUntil)
{
  const net::HttpResponse answer =
    aWorker.m_model.Handle(ClockOf(aWorker), aRequest);
  if (answer.m_status == kOk && aRequest.m_path == "/api/run-start") {
    CountOverlap(aWorker, aRequest);
  }
  if (net::Loop::Now() < aWorker.m_answersCutUntil) {
    return;
  }
  if (aWorker.m_model.HasEnds() || net::Loop::Now() >= aUntil ||
      answer.m_status != kOk) {
    aReply(answer);
    return;
  }
  const std::int64_t incarnation = aWorker.m_model.Incarnation();
  m_loop.After(kPollInterval,
               [this, &aWorker, aRequest, aReply, aUntil, incarnation] {
                 // A request ends with the process that has taken it.
                 if (aWorker.m_model.Incarnation() == incarnation) {
                   WaitForEnd(aWorker, aRequest, aReply, aUntil);
                 }
               });
}

void
Platform::RestartUnheard(const std::string& aId, Duration aTime)
{
  for (const auto& worker : m_workers) {
    if (worker->m_model.Id() != aId) {
      continue;
    }
    const std::int64_t next = worker->m_model.Incarnation() + 1;
    worker->m_model = PlatformWorker(aId, next);
    worker->m_start = net::Loop::Now();
    worker->m_answersCutUntil = net::Loop::Now() + aTime;
    m_loop.After(aTime, [this, raw = worker.get(), next] {
      if (raw->m_model.Incarnation() == next) {
        m_store.Put("servers",
                    raw->m_model.Id(),
                    raw->m_model.Entry(raw->m_address.ToString(), 1).dump());
      }
    });
  }
}

void
Platform::CountOverlap(const WorkerProcess& aWorker,
                       const net::HttpRequest& aRequest)
{
  const Json body = Json::parse(aRequest.m_body);
  const auto task = body.at("task").get<std::string>();
  for (const auto& other : m_workers) {
    other->m_model.Advance(ClockOf(*other));
    if (other.get() != &aWorker && other->m_model.IsRunning(task)) {
      ++m_overlaps;
    }
  }
}

void
Platform::Control(const net::HttpRequest& aRequest)
{
  if (aRequest.m_method == "POST" && !aRequest.m_body.empty()) {
    m_store.Put("op", "config", aRequest.m_body);
  }
  if (const std::string id = aRequest.Query("restart_unheard"); !id.empty()) {
    RestartUnheard(id, milliseconds(std::stoll(aRequest.Query("for_ms"))));
  }
  const std::string mode = aRequest.Query("store");
  if (mode == "works") {
    m_store.SetMode(StoreMode::Works);
  } else if (mode == "busy") {
    m_store.SetMode(StoreMode::Busy);
  } else if (mode == "loses-answers") {
    m_store.SetMode(StoreMode::DropsResponses);
  } else if (mode == "compact") {
    m_store.Compact();
  }
}

std::string
Platform::Starts() const
{
  std::map<std::string, int> sum;
  Json byWorker = Json::object();
  for (const auto& worker : m_workers) {
    byWorker[worker->m_model.Id()] = worker->m_model.Starts().size();
    for (const auto& [task, count] : worker->m_model.Starts()) {
      sum[task] += count;
    }
  }
  int most = 0;
  for (const auto& [task, count] : sum) {
    most = std::max(most, count);
  }
  return Json{
    { "tasks", sum.size() },
    { "most_of_one", most },
    { "by_worker", byWorker },
    { "overlaps", m_overlaps }
  }.dump();
}

} // namespace

int
RunPlatform(net::Loop& aLoop, const net::Address& aListen, int aWorkers)
{
  Platform platform(aLoop, aListen, aWorkers);
  return leaf::try_handle_all(
    [&]() -> Result<int> {
      BOOST_LEAF_CHECK(platform.Listen());
      aLoop.Run();
      return 0;
    },
    [] { return 2; });
}

} // namespace lacewing::standin
