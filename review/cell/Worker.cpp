#include "Worker.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace review {

namespace {

using lacewing::Duration;
using lacewing::milliseconds;
using lacewing::ToMilliseconds;
using lacewing::net::HttpReply;
using lacewing::net::HttpRequest;
using lacewing::net::JsonResponse;
using lacewing::net::Loop;

constexpr std::int64_t kHoldMaxMs = 6000;
constexpr std::int64_t kSaveMs = 2000;
constexpr std::size_t kEndsListed = 500;
constexpr Duration kHeartbeat = milliseconds(1500);
constexpr Duration kLeaseCheck = milliseconds(20);
constexpr int kHeartbeatsToLapse = 3;

/// What a `spec` asks for: "MS", then "save" for a task that saves its work,
/// "spread" for tasks that take half to one and a half times as long, and
/// "fail=N" for tasks whose first N runs fail.
struct Work
{
  std::int64_t m_ms = 0;
  bool m_saves = false;
  bool m_spread = false;
  int m_failures = 0;
};

Work
WorkOf(const std::string& aSpec)
{
  Work work;
  std::istringstream in(aSpec);
  in >> work.m_ms;
  std::string word;
  while (in >> word) {
    if (word == "save") {
      work.m_saves = true;
    } else if (word == "spread") {
      work.m_spread = true;
    } else if (word.starts_with("fail=")) {
      work.m_failures = std::stoi(word.substr(5));
    }
  }
  return work;
}

} // namespace

Worker::Worker(Loop& aLoop,
               Record& aRecord,
               Store& aStore,
               Fleet& aFleet,
               std::string aId,
               lacewing::net::Address aAddress,
               WorkerKind aKind)
  : m_loop(aLoop)
  , m_record(aRecord)
  , m_store(aStore)
  , m_fleet(aFleet)
  , m_id(std::move(aId))
  , m_address(std::move(aAddress))
  , m_kind(std::move(aKind))
{
}

void
Worker::After(Duration aDelay, std::function<void()> aFunction)
{
  m_loop.After(
    aDelay,
    [life = std::weak_ptr<int>(m_life), function = std::move(aFunction)] {
      if (life.lock()) {
        function();
      }
    });
}

std::int64_t
Worker::ClockMs() const
{
  return ToMilliseconds(Loop::Now() - m_start) + 1;
}

bool
Worker::Start()
{
  m_life = std::make_shared<int>(0);
  m_born = UnixMs();
  m_start = Loop::Now();
  m_server = std::make_unique<lacewing::net::HttpServer>(
    m_loop,
    lacewing::net::HttpServerLimits(),
    [this](const auto& aRequest, const auto& aReply) {
      Handle(aRequest, aReply);
    });
  if (!m_server->Listen(m_address)) {
    return false;
  }
  WriteEntry();
  CheckLease();
  return true;
}

void
Worker::Crash()
{
  m_record.Write("runner " + m_id + " crashes with " +
                 std::to_string(m_running.size()) + " runs");
  m_life.reset();
  m_server.reset();
  m_running.clear();
  m_endedRuns.clear();
  m_ended.clear();
  m_holds.clear();
  m_token = 0;
  m_leaseMs = 0;
  m_hasLease = false;
  m_lastEnd = 0;
  m_sequence = 0;
  m_loop.After(kHeartbeat * kHeartbeatsToLapse, [this, born = m_born] {
    if (!IsUp() && m_born == born) {
      m_store.Remove("servers", m_id);
    }
  });
}

bool
Worker::Restart(const WorkerKind& aKind)
{
  m_kind = aKind;
  m_record.Write("runner " + m_id + " starts again, kind " + aKind.m_label);
  return Start();
}

void
Worker::WriteEntry()
{
  const Json entry = { { "service", m_kind.m_service },
                       { "address", m_address.ToString() },
                       { "zone", m_kind.m_zone },
                       { "version", "v1" },
                       { "slots", 8 },
                       { "state", "ready" },
                       { "cold_remaining_ms", 0 },
                       { "capacity",
                         { { "cpu", m_kind.m_millicores },
                           { "mem_mb", m_kind.m_memoryMb },
                           { "gpu", 0 } } },
                       { "labels", { m_kind.m_label, m_kind.m_rack } },
                       { "clock_ms", ClockMs() },
                       { "born", m_born },
                       { "seq", ++m_sequence } };
  m_store.Put("servers", m_id, entry.dump());
  After(kHeartbeat, [this] { WriteEntry(); });
}

void
Worker::Handle(const HttpRequest& aRequest, const HttpReply& aReply)
{
  const std::string expected =
    aRequest.Header("X-Lacewingvale-Expect-Instance");
  if (!expected.empty() && expected != m_id) {
    aReply(JsonResponse(421, "{}"));
    return;
  }
  const Json body = Json::parse(aRequest.m_body);
  const auto token = body.value("fencing_token", std::uint64_t{ 0 });
  if (token < m_token) {
    aReply(JsonResponse(409, Refusal("fence").dump()));
    return;
  }
  m_token = token;
  if (aRequest.m_path == "/api/run-start") {
    StartRun(body, aReply);
  } else if (aRequest.m_path == "/api/run-stop") {
    StopRun(body, aReply);
  } else if (aRequest.m_path == "/api/hold") {
    HoldRuns(body, aReply);
  } else {
    aReply(JsonResponse(404, "{}"));
  }
}

Json
Worker::Refusal(const char* aReason) const
{
  return { { "clock_ms", ClockMs() },
           { "born", m_born },
           { "reason", aReason } };
}

void
Worker::ExtendLease(const Json& aBody)
{
  const auto asked = aBody.value("deadline_ms", std::int64_t{ 0 });
  m_leaseMs = std::max(m_leaseMs, std::min(asked, ClockMs() + kHoldMaxMs));
  m_hasLease = m_leaseMs > ClockMs();
}

void
Worker::StartRun(const Json& aBody, const HttpReply& aReply)
{
  const auto task = aBody.at("task").get<std::string>();
  const auto run = aBody.at("run").get<std::uint64_t>();
  const Json done = { { "clock_ms", ClockMs() }, { "born", m_born } };
  const auto present = m_running.find(task);
  if (present != m_running.end() && present->second.m_run == run) {
    ExtendLease(aBody);
    aReply(JsonResponse(200, done.dump()));
    return;
  }
  const auto ended = m_endedRuns.find(task);
  if (present != m_running.end() ||
      (ended != m_endedRuns.end() && run <= ended->second)) {
    ExtendLease(aBody);
    aReply(JsonResponse(409, Refusal("old").dump()));
    return;
  }
  if (aBody.at("deadline_ms").get<std::int64_t>() <= ClockMs()) {
    aReply(JsonResponse(409, Refusal("late").dump()));
    return;
  }
  const std::string step = task.substr(0, task.rfind('.'));
  if (m_fleet.m_ticketValid &&
      !m_fleet.m_ticketValid(
        step, m_id, aBody.value("ticket", std::string()))) {
    aReply(JsonResponse(409, Refusal("ticket").dump()));
    return;
  }
  ExtendLease(aBody);
  Work work = WorkOf(aBody.at("spec").get<std::string>());
  if (work.m_spread) {
    constexpr std::size_t kParts = 1000;
    const auto part =
      static_cast<std::int64_t>(std::hash<std::string>()(task) % kParts);
    work.m_ms = work.m_ms / 2 + work.m_ms * part / 1000;
  }
  Run& added = m_running[task];
  added.m_run = run;
  added.m_startMs = ClockMs();
  added.m_lengthMs = work.m_ms;
  added.m_saves = work.m_saves;
  added.m_fails = m_fleet.m_failed[task] < work.m_failures;
  const SeenStart seen{ m_id, task, run, m_kind.m_label, m_record.ElapsedMs() };
  m_fleet.m_starts.push_back(seen);
  m_record.Write("start " + task + " run " + std::to_string(run) + " on " +
                 m_id + " (" + m_kind.m_label + ") token " +
                 std::to_string(m_token));
  if (m_fleet.m_onStart) {
    m_fleet.m_onStart(seen);
  }
  After(milliseconds(work.m_ms), [this, task, run] {
    const auto it = m_running.find(task);
    if (it != m_running.end() && it->second.m_run == run) {
      End(task, it->second.m_fails ? "failed" : "done");
    }
  });
  aReply(JsonResponse(200, done.dump()));
}

void
Worker::StopRun(const Json& aBody, const HttpReply& aReply)
{
  const auto task = aBody.at("task").get<std::string>();
  const auto run = aBody.at("run").get<std::uint64_t>();
  const auto it = m_running.find(task);
  if (it != m_running.end() && it->second.m_run == run) {
    End(task, "stopped");
  }
  m_endedRuns[task] = std::max(m_endedRuns[task], run);
  aReply(JsonResponse(
    200, Json{ { "clock_ms", ClockMs() }, { "born", m_born } }.dump()));
}

void
Worker::HoldRuns(const Json& aBody, const HttpReply& aReply)
{
  ExtendLease(aBody);
  const auto seen = aBody.value("last_seen", std::uint64_t{ 0 });
  TakeNote(seen);
  const auto wait = aBody.value("wait_ms", std::int64_t{ 0 });
  if (wait <= 0 || !m_ended.empty()) {
    aReply(JsonResponse(200, Lists().dump()));
    return;
  }
  const std::uint64_t number = m_nextHold++;
  m_holds[number] = { aBody, aReply };
  After(milliseconds(wait), [this, number] {
    const auto hold = m_holds.extract(number);
    if (!hold.empty()) {
      hold.mapped().m_reply(JsonResponse(200, Lists().dump()));
    }
  });
}

void
Worker::TakeNote(std::uint64_t aLastSeen)
{
  while (!m_ended.empty() && m_ended.begin()->first <= aLastSeen) {
    const ListedEnd& end = m_ended.begin()->second;
    m_fleet.m_ends[end.m_seen].m_noted = end.m_lapses == m_lapses;
    m_ended.erase(m_ended.begin());
  }
}

std::string
Worker::CheckpointOf(const Run& aRun) const
{
  const std::int64_t saves = (ClockMs() - aRun.m_startMs) / kSaveMs;
  if (!aRun.m_saves || saves == 0) {
    return {};
  }
  std::ostringstream text;
  text << std::hex << std::setfill('0') << std::setw(8) << saves << std::setw(8)
       << aRun.m_run;
  return text.str();
}

Json
Worker::Lists()
{
  Json running = Json::array();
  for (const auto& [task, run] : m_running) {
    const std::int64_t length = std::max<std::int64_t>(1, run.m_lengthMs);
    running.push_back(
      { task,
        run.m_run,
        CheckpointOf(run),
        std::min<std::int64_t>(99, 100 * (ClockMs() - run.m_startMs) / length),
        1000 });
  }
  Json ended = Json::array();
  for (const auto& [number, end] : m_ended) {
    if (ended.size() == kEndsListed) {
      break;
    }
    ended.push_back(end.m_row);
  }
  return { { "clock_ms", ClockMs() },
           { "born", m_born },
           { "running", std::move(running) },
           { "ended", std::move(ended) } };
}

void
Worker::End(const std::string& aTask, const std::string& aHow)
{
  const Run run = m_running.at(aTask);
  const std::string checkpoint = CheckpointOf(run);
  m_running.erase(aTask);
  m_endedRuns[aTask] = std::max(m_endedRuns[aTask], run.m_run);
  ++m_lastEnd;
  m_fleet.m_ends.push_back(
    { m_id, aTask, run.m_run, aHow, m_record.ElapsedMs() });
  m_ended[m_lastEnd] = { { m_lastEnd, aTask, run.m_run, aHow, checkpoint },
                         m_fleet.m_ends.size() - 1,
                         m_lapses };
  if (aHow == "done") {
    ++m_fleet.m_done[aTask];
  } else if (aHow == "failed") {
    ++m_fleet.m_failed[aTask];
  }
  m_record.Write("end " + aTask + " run " + std::to_string(run.m_run) + " " +
                 aHow + " on " + m_id);
  AnswerHolds();
}

void
Worker::AnswerHolds()
{
  const auto holds = std::exchange(m_holds, {});
  for (const auto& [number, hold] : holds) {
    hold.m_reply(JsonResponse(200, Lists().dump()));
  }
}

void
Worker::CheckLease()
{
  if (m_hasLease && ClockMs() > m_leaseMs) {
    m_hasLease = false;
    ++m_lapses;
    while (!m_running.empty()) {
      // A copy, since the run is erased.
      const std::string task = m_running.begin()->first;
      End(task, "lapsed");
    }
  }
  After(kLeaseCheck, [this] { CheckLease(); });
}

} // namespace review
