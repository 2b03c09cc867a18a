#include "PlatformWorker.h"

#include "net/HttpServer.h"

#include <algorithm>

namespace lacewing::standin {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr std::int64_t kLeaseMaxMs = 6000;
/// Run time of a task whose payload is not a number of milliseconds.
constexpr std::int64_t kDefaultRunMs = 200;

std::int64_t
RunTimeOf(const std::string& aPayload)
{
  const bool number =
    !aPayload.empty() && std::ranges::all_of(aPayload, [](char aLetter) {
      return aLetter >= '0' && aLetter <= '9';
    });
  return number ? std::stoll(aPayload) : kDefaultRunMs;
}

} // namespace

PlatformWorker::PlatformWorker(std::string aId, std::int64_t aIncarnation)
  : m_id(std::move(aId))
  , m_incarnation(aIncarnation)
{
}

net::HttpResponse
PlatformWorker::Refusal(std::int64_t aClockMs, const char* aReason)
{
  return net::JsonResponse(
    kConflict, Json{ { "clock_ms", aClockMs }, { "reason", aReason } }.dump());
}

net::HttpResponse
PlatformWorker::Handle(std::int64_t aClockMs, const net::HttpRequest& aRequest)
{
  Advance(aClockMs);
  const std::string expectedId =
    aRequest.Header("X-Lacewingvale-Expect-Instance");
  if (!expectedId.empty() && expectedId != m_id) {
    return net::JsonResponse(kMisdirected, "{}");
  }
  const Json body = Json::parse(aRequest.m_body);
  const auto token = body.value("fencing_token", std::uint64_t{ 0 });
  if (token < m_fencingToken) {
    return Refusal(aClockMs, "fence");
  }
  m_fencingToken = token;
  if (aRequest.m_path == "/api/run-start") {
    return Start(aClockMs, body);
  }
  if (aRequest.m_path == "/api/run-stop") {
    return Stop(aClockMs, body);
  }
  if (aRequest.m_path == "/api/hold") {
    return HandleLeaseExtension(aClockMs, body);
  }
  return net::JsonResponse(kNotFound, "{}");
}

net::HttpResponse
PlatformWorker::Start(std::int64_t aClockMs, const Json& aBody)
{
  const auto task = aBody.at("task").get<std::string>();
  const auto run = aBody.at("run").get<std::uint64_t>();
  const auto deadline = aBody.at("deadline_ms").get<std::int64_t>();
  const Json done = { { "clock_ms", aClockMs } };
  // Also a start that is refused as old, or that is there already, extends.
  Extend(aClockMs, deadline);
  if (const auto it = m_running.find(task);
      it != m_running.end() && it->second.m_run == run) {
    return net::JsonResponse(kOk, done.dump());
  }
  if (run <= m_lastEndedRuns[task] || m_running.contains(task)) {
    return Refusal(aClockMs, "old");
  }
  if (deadline <= aClockMs) {
    return Refusal(aClockMs, "late");
  }
  m_running[task] = {
    run, aClockMs, aClockMs + RunTimeOf(aBody.at("spec").get<std::string>())
  };
  ++m_starts[task];
  return net::JsonResponse(kOk, done.dump());
}

void
PlatformWorker::Extend(std::int64_t aClockMs, std::int64_t aDeadlineMs)
{
  m_leaseMs =
    std::max(m_leaseMs, std::min(aDeadlineMs, aClockMs + kLeaseMaxMs));
}

net::HttpResponse
PlatformWorker::Stop(std::int64_t aClockMs, const Json& aBody)
{
  const auto task = aBody.at("task").get<std::string>();
  const auto run = aBody.at("run").get<std::uint64_t>();
  if (const auto it = m_running.find(task);
      it != m_running.end() && it->second.m_run == run) {
    Finish(task, "stopped");
  }
  m_lastEndedRuns[task] = std::max(m_lastEndedRuns[task], run);
  return net::JsonResponse(kOk, Json{ { "clock_ms", aClockMs } }.dump());
}

net::HttpResponse
PlatformWorker::HandleLeaseExtension(std::int64_t aClockMs, const Json& aBody)
{
  if (aBody.contains("deadline_ms")) {
    Extend(aClockMs, aBody.at("deadline_ms").get<std::int64_t>());
  }
  const auto seen = aBody.at("last_seen").get<std::uint64_t>();
  std::erase_if(m_ended, [&](const auto& aEnd) { return aEnd.first <= seen; });
  Json running = Json::array();
  for (const auto& [task, run] : m_running) {
    const std::int64_t length =
      std::max<std::int64_t>(1, run.m_endMs - run.m_startMs);
    running.push_back(
      { task, run.m_run, "", 100 * (aClockMs - run.m_startMs) / length });
  }
  Json ended = Json::array();
  for (const auto& [number, end] : m_ended) {
    ended.push_back({ number, end.m_task, end.m_run, end.m_how, "" });
  }
  return net::JsonResponse(kOk,
                           Json{ { "clock_ms", aClockMs },
                                 { "born", m_incarnation },
                                 { "running", std::move(running) },
                                 { "ended", std::move(ended) } }
                             .dump());
}

void
PlatformWorker::Finish(const std::string& aTask, const char* aHow)
{
  const Run run = m_running.at(aTask);
  m_running.erase(aTask);
  m_lastEndedRuns[aTask] = std::max(m_lastEndedRuns[aTask], run.m_run);
  m_ended[++m_lastEnd] = { aTask, run.m_run, aHow };
}

bool
PlatformWorker::Advance(std::int64_t aClockMs)
{
  std::vector<std::pair<std::string, const char*>> finished;
  for (const auto& [task, run] : m_running) {
    if (run.m_endMs <= std::min(aClockMs, m_leaseMs)) {
      finished.emplace_back(task, "done");
    } else if (m_leaseMs < aClockMs) {
      finished.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : finished) {
    Finish(task, how);
  }
  return !finished.empty();
}

PlatformWorker::Json
PlatformWorker::Entry(const std::string& aAddress, std::int64_t aClockMs) const
{
  return { { "service", "ledger" },
           { "address", aAddress },
           { "zone", "domain-a" },
           { "version", "v1" },
           { "slots", 8 },
           { "state", "ready" },
           { "cold_remaining_ms", 0 },
           { "capacity",
             { { "cpu", 8000 }, { "mem_mb", 16'000 }, { "gpu", 0 } } },
           { "labels", { "a", "r1" } },
           { "clock_ms", aClockMs },
           { "born", m_incarnation },
           { "seq", 1 } };
}

} // namespace lacewing::standin
