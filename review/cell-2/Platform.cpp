// Stand-in for the platform of the users: the store of rows, the policy service
// and the runners. Speaks what PROTOCOL.md says, and writes one line for each
// call that matters and for each start and end of a run.
//
// Usage: platform BASE_PORT RUNNERS LOG
// The store listens on BASE_PORT, the policy service on the next port, and the
// runners on those after it. The test drives it through /test on the store's
// port.
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace {

using Json = nlohmann::json;

constexpr std::int64_t kHoldMaxMs = 6000;
constexpr std::int64_t kStopMs = 100;
constexpr std::size_t kNoWrap = 1'000'000;
constexpr std::int64_t kSaveMs = 2000;
constexpr std::size_t kMaxEntries = 100;
constexpr std::size_t kMaxCallBytes = 1024 * 1024;
constexpr std::size_t kMaxRowBytes = 65536;
constexpr std::size_t kMaxKeyBytes = 200;
constexpr std::size_t kMaxPageRows = 500;
constexpr std::size_t kMaxEnds = 500;
constexpr std::int64_t kStoreDelayMs = 4;
constexpr int kCpuOfRunner = 32000;
constexpr int kMemoryOfRunner = 131072;
constexpr int kRunnersOfRack = 2;

event_base* g_base = nullptr;
std::ofstream g_log;

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

const std::int64_t kStart = NowMs();

void
Log(const std::string& aText)
{
  g_log << (NowMs() - kStart) << " " << aText << "\n";
  g_log.flush();
}

struct Timer
{
  std::function<void()> m_function;
  event* m_event = nullptr;
};

void
OnTimer(evutil_socket_t, short, void* aTimer)
{
  const std::unique_ptr<Timer> timer(static_cast<Timer*>(aTimer));
  event_free(timer->m_event);
  timer->m_function();
}

void
After(std::int64_t aMs, std::function<void()> aFunction)
{
  auto* timer = new Timer{ std::move(aFunction), nullptr };
  timer->m_event = evtimer_new(g_base, OnTimer, timer);
  const timeval delay{ aMs / 1000, (aMs % 1000) * 1000 };
  evtimer_add(timer->m_event, &delay);
}

/// A request, its reply, and whether the client is still there.
struct Call
{
  evhttp_request* m_request = nullptr;
  std::string m_path;
  std::map<std::string, std::string> m_query;
  std::string m_body;
  std::string m_expected;
  bool m_done = false;
};
using CallPtr = std::shared_ptr<Call>;

void
Reply(const CallPtr& aCall, int aStatus, const std::string& aBody)
{
  if (aCall->m_done) {
    return;
  }
  aCall->m_done = true;
  evbuffer* output = evbuffer_new();
  evbuffer_add(output, aBody.data(), aBody.size());
  evhttp_add_header(evhttp_request_get_output_headers(aCall->m_request),
                    "Content-Type",
                    "application/json");
  evhttp_send_reply(aCall->m_request, aStatus, nullptr, output);
  evbuffer_free(output);
}

CallPtr
ToCall(evhttp_request* aRequest)
{
  auto call = std::make_shared<Call>();
  call->m_request = aRequest;
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(aRequest);
  const char* path = evhttp_uri_get_path(uri);
  call->m_path = path == nullptr ? "" : path;
  if (const char* query = evhttp_uri_get_query(uri)) {
    evkeyvalq values{};
    evhttp_parse_query_str(query, &values);
    for (evkeyval* item = values.tqh_first; item != nullptr;
         item = item->next.tqe_next) {
      call->m_query[item->key] = item->value;
    }
    evhttp_clear_headers(&values);
  }
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  call->m_body.resize(evbuffer_get_length(input));
  evbuffer_copyout(input, call->m_body.data(), call->m_body.size());
  const char* expected =
    evhttp_find_header(evhttp_request_get_input_headers(aRequest),
                       "X-Lacewingvale-Expect-Instance");
  call->m_expected = expected == nullptr ? "" : expected;
  return call;
}

// ---------------------------------------------------------------------------
// The store

using RowKey = std::tuple<std::string, std::string, std::string>;

struct Row
{
  std::string m_value;
  std::uint64_t m_version = 0;
  bool m_deleted = false;
};

std::size_t
DecodedSize(const std::string& aBase64)
{
  return aBase64.size() / 4 * 3;
}

std::string
Base64(const std::string& aText)
{
  constexpr const char* kLetters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string result;
  for (std::size_t at = 0; at < aText.size(); at += 3) {
    unsigned bits = 0;
    const std::size_t bytes = std::min<std::size_t>(3, aText.size() - at);
    for (std::size_t byte = 0; byte < 3; ++byte) {
      bits = bits << 8U;
      bits |= byte < bytes ? static_cast<unsigned char>(aText[at + byte]) : 0U;
    }
    for (std::size_t letter = 0; letter < 4; ++letter) {
      result +=
        letter <= bytes ? kLetters[(bits >> (18 - 6 * letter)) & 63U] : '=';
    }
  }
  return result;
}

class Store
{
public:
  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue)
  {
    m_rows[{ aTable, "", aKey }] = { Base64(aValue), ++m_version, false };
    Changed();
  }

  void Handle(const CallPtr& aCall)
  {
    if (m_mode == "busy") {
      Reply(aCall, 503, "{}");
      return;
    }
    if (m_mode == "silent") {
      return;
    }
    After(kStoreDelayMs, [this, aCall] { Carry(aCall); });
  }

  std::string m_mode = "works";

private:
  static RowKey KeyOf(const Json& aRow)
  {
    return { aRow.at("table").get<std::string>(),
             aRow.value("part", std::string()),
             aRow.at("key").get<std::string>() };
  }

  static Json RowOf(const RowKey& aKey, const Row& aRow)
  {
    Json row = { { "table", std::get<0>(aKey) },
                 { "part", std::get<1>(aKey) },
                 { "key", std::get<2>(aKey) },
                 { "ver", aRow.m_version } };
    if (aRow.m_deleted) {
      row["deleted"] = true;
    } else {
      row["value"] = aRow.m_value;
    }
    return row;
  }

  void Carry(const CallPtr& aCall)
  {
    if (aCall->m_path == "/api/rows-tx") {
      Transact(aCall);
    } else if (aCall->m_path == "/api/rows-get") {
      Get(aCall);
    } else if (aCall->m_path == "/api/rows-feed") {
      const auto wait = aCall->m_query.find("wait_ms");
      const std::int64_t until =
        NowMs() + (wait == aCall->m_query.end() ? 0 : std::stoll(wait->second));
      Feed(aCall, until);
    } else {
      Reply(aCall, 404, "{}");
    }
  }

  static const char* ProblemOf(const Json& aBody, std::size_t aBytes)
  {
    if (aBytes > kMaxCallBytes) {
      return "the call is larger than 1 MB";
    }
    std::size_t entries = 0;
    std::string part;
    bool first = true;
    for (const char* field : { "expected_rev", "writes", "remove" }) {
      for (const Json& row : aBody.value(field, Json::array())) {
        ++entries;
        const auto [table, itsPart, key] = KeyOf(row);
        if (table.size() > kMaxKeyBytes || key.size() > kMaxKeyBytes) {
          return "a key is too long";
        }
        if (!first && itsPart != part) {
          return "more than one part";
        }
        first = false;
        part = itsPart;
        if (row.contains("value") &&
            DecodedSize(row.at("value").get<std::string>()) > kMaxRowBytes) {
          return "a row is too large";
        }
      }
    }
    return entries > kMaxEntries ? "more than 100 entries" : nullptr;
  }

  void Transact(const CallPtr& aCall)
  {
    const Json body = Json::parse(aCall->m_body);
    if (const char* problem = ProblemOf(body, aCall->m_body.size())) {
      Log("store refuses a transaction of " +
          std::to_string(aCall->m_body.size()) + " bytes, " +
          std::to_string(body.value("writes", Json::array()).size()) +
          " writes: " + problem);
      Reply(aCall, 400, "{}");
      return;
    }
    bool conflict = false;
    Json current = Json::array();
    for (const Json& expected : body.value("expected_rev", Json::array())) {
      const auto it = m_rows.find(KeyOf(expected));
      const bool absent = it == m_rows.end() || it->second.m_deleted;
      const std::uint64_t present = absent ? 0 : it->second.m_version;
      conflict = conflict || present != expected.at("ver").get<std::uint64_t>();
      if (!absent) {
        current.push_back(RowOf(it->first, it->second));
      }
    }
    if (conflict) {
      Reply(
        aCall,
        412,
        Json{ { "rows", current }, { "ver", m_version }, { "now_ms", NowMs() } }
          .dump());
      return;
    }
    ++m_version;
    for (const Json& write : body.value("writes", Json::array())) {
      m_rows[KeyOf(write)] = { write.at("value").get<std::string>(),
                               m_version,
                               false };
    }
    for (const Json& removed : body.value("remove", Json::array())) {
      m_rows[KeyOf(removed)] = { {}, m_version, true };
    }
    Changed();
    Reply(
      aCall, 200, Json{ { "ver", m_version }, { "now_ms", NowMs() } }.dump());
  }

  void Get(const CallPtr& aCall)
  {
    const RowKey from{ aCall->m_query["table"],
                       aCall->m_query["part"],
                       aCall->m_query["from"] };
    const std::string limit = aCall->m_query["limit"];
    const std::size_t most =
      limit.empty() ? kMaxPageRows
                    : std::min<std::size_t>(kMaxPageRows, std::stoul(limit));
    Json rows = Json::array();
    bool more = false;
    std::size_t bytes = 0;
    for (auto it = m_rows.lower_bound(from); it != m_rows.end(); ++it) {
      if (std::get<0>(it->first) != std::get<0>(from) ||
          std::get<1>(it->first) != std::get<1>(from)) {
        break;
      }
      if (it->second.m_deleted) {
        continue;
      }
      bytes += it->second.m_value.size();
      if (rows.size() == most || (bytes > kMaxCallBytes && !rows.empty())) {
        more = true;
        break;
      }
      rows.push_back(RowOf(it->first, it->second));
    }
    Reply(aCall,
          200,
          Json{ { "rows", rows },
                { "has_more", more },
                { "ver", m_version },
                { "now_ms", NowMs() } }
            .dump());
  }

  void Feed(const CallPtr& aCall, std::int64_t aUntil)
  {
    const std::uint64_t after = std::stoull(aCall->m_query["after"]);
    std::vector<std::pair<std::uint64_t, const RowKey*>> changed;
    for (const auto& [key, row] : m_rows) {
      if (std::get<0>(key) == aCall->m_query["table"] &&
          row.m_version > after) {
        changed.emplace_back(row.m_version, &key);
      }
    }
    if (changed.empty() && NowMs() < aUntil) {
      m_waiting.emplace_back(aCall, aUntil);
      After(aUntil - NowMs() + 1, [this, aCall, aUntil] {
        std::erase_if(m_waiting,
                      [&](const auto& aItem) { return aItem.first == aCall; });
        if (!aCall->m_done) {
          Feed(aCall, aUntil);
        }
      });
      return;
    }
    std::ranges::sort(changed);
    Json rows = Json::array();
    for (const auto& [version, key] : changed) {
      rows.push_back(RowOf(*key, m_rows.at(*key)));
    }
    Reply(aCall,
          200,
          Json{ { "rows", rows }, { "ver", m_version }, { "now_ms", NowMs() } }
            .dump());
  }

  void Changed()
  {
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto& [call, until] : waiting) {
      if (!call->m_done) {
        Feed(call, until);
      }
    }
  }

  std::map<RowKey, Row> m_rows;
  std::vector<std::pair<CallPtr, std::int64_t>> m_waiting;
  std::uint64_t m_version = 0;
};

Store g_store;

// ---------------------------------------------------------------------------
// The runners. A submission's spec is a JSON text that says what its tasks do:
//   ms: time of a task, or a list with one time for each step
//   add: for each step, added for each task's index; indices wrap at `mod`
//   save: true if they save their progress
//   fail: number of runs of each task that fail after that time

struct Run
{
  std::uint64_t m_run = 0;
  std::int64_t m_start = 0;
  std::int64_t m_work = 0;
  std::int64_t m_end = 0; ///< when it ends by itself
  bool m_saves = false;
  bool m_fails = false;
  std::int64_t m_stopAt = 0;
  std::string m_checkpoint;
};

struct End
{
  std::string m_task;
  std::uint64_t m_run = 0;
  std::string m_how;
  std::string m_checkpoint;
};

class Runner
{
public:
  Runner(int aNumber, std::string aAddress)
    : m_number(aNumber)
    , m_id("i-" + std::to_string(1000 + aNumber))
    , m_address(std::move(aAddress))
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count())
    , m_began(NowMs() - 1)
  {
  }

  void Register()
  {
    const Json entry = { { "service", "lot-ledger" },
                         { "address", m_address },
                         { "zone", "zone-a" },
                         { "version", "v1" },
                         { "slots", 8 },
                         { "state", "ready" },
                         { "cold_remaining_ms", 0 },
                         { "capacity",
                           { { "cpu", kCpuOfRunner },
                             { "mem_mb", kMemoryOfRunner },
                             { "gpu", 0 } } },
                         { "labels",
                           { m_number == 0 ? "b" : "a",
                             "r1-" +
                               std::to_string(m_number / kRunnersOfRack) } },
                         { "born", m_born },
                         { "seq", 1 } };
    g_store.Put("servers", m_id, entry.dump());
  }

  void Handle(const CallPtr& aCall)
  {
    if (m_cut) {
      return;
    }
    Advance();
    if (!aCall->m_expected.empty() && aCall->m_expected != m_id) {
      Reply(aCall, 421, "{}");
      return;
    }
    const Json body = Json::parse(aCall->m_body);
    const auto token = body.value("fencing_token", std::uint64_t{ 0 });
    if (token < m_token) {
      Refuse(aCall, "fence");
      return;
    }
    m_token = token;
    if (aCall->m_path == "/api/run-start") {
      Start(aCall, body);
    } else if (aCall->m_path == "/api/run-stop") {
      Stop(aCall, body);
    } else if (aCall->m_path == "/api/hold") {
      Hold(aCall, body);
    } else {
      Reply(aCall, 404, "{}");
    }
  }

  void Advance()
  {
    const std::int64_t now = Clock();
    std::vector<std::pair<std::string, const char*>> ended;
    for (auto& [task, run] : m_running) {
      const std::int64_t until = std::min(now, m_lease);
      if (run.m_stopAt != 0 && run.m_stopAt <= now) {
        ended.emplace_back(task, "stopped");
      } else if (run.m_end <= until) {
        ended.emplace_back(task, run.m_fails ? "failed" : "done");
      } else if (m_lease < now) {
        ended.emplace_back(task, "lapsed");
      }
    }
    for (const auto& [task, how] : ended) {
      Finish(task, how);
    }
    if (!ended.empty()) {
      ShowEnds();
    }
  }

  std::size_t Running(const std::string& aJob) const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(m_running, [&](const auto& aItem) {
        return aItem.first.starts_with(aJob);
      }));
  }
  std::size_t DoneOf(const std::string& aJob) const
  {
    const auto it = m_done.find(aJob);
    return it == m_done.end() ? 0 : it->second;
  }
  void SetCut(bool aCut) { m_cut = aCut; }
  void Watch()
  {
    Advance();
    After(5, [this] { Watch(); });
  }

private:
  std::int64_t Clock() const { return NowMs() - m_began; }

  void Refuse(const CallPtr& aCall, const char* aReason)
  {
    Reply(aCall,
          409,
          Json{ { "clock_ms", Clock() }, { "reason", aReason } }.dump());
  }

  void Extend(std::int64_t aDeadline)
  {
    m_lease = std::max(m_lease, std::min(aDeadline, Clock() + kHoldMaxMs));
  }

  void Start(const CallPtr& aCall, const Json& aBody)
  {
    const auto task = aBody.at("task").get<std::string>();
    const auto number = aBody.at("run").get<std::uint64_t>();
    const auto deadline = aBody.at("deadline_ms").get<std::int64_t>();
    const auto it = m_running.find(task);
    if (it != m_running.end() && it->second.m_run == number) {
      Extend(deadline);
      Reply(aCall, 200, Json{ { "clock_ms", Clock() } }.dump());
      return;
    }
    if (deadline <= Clock()) {
      Refuse(aCall, "late");
      return;
    }
    Extend(deadline);
    if (it != m_running.end() || number <= m_highestEnded[task]) {
      Refuse(aCall, "old");
      return;
    }
    const Json spec = Json::parse(aBody.at("spec").get<std::string>());
    const std::size_t index = std::stoul(task.substr(task.rfind('.') + 1));
    const std::string rest = task.substr(0, task.rfind('.'));
    const std::size_t step = std::stoul(rest.substr(rest.rfind('.') + 1));
    const Json& ms = spec.at("ms");
    Run run;
    run.m_run = number;
    run.m_start = Clock();
    run.m_work =
      ms.is_array() ? ms.at(step).get<std::int64_t>() : ms.get<std::int64_t>();
    if (spec.contains("add")) {
      run.m_work +=
        spec.at("add").at(step).get<std::int64_t>() *
        static_cast<std::int64_t>(index % spec.value("mod", kNoWrap));
    }
    run.m_end = run.m_start + run.m_work;
    run.m_saves = spec.value("save", false);
    run.m_fails = ++m_runsOf[task] <= spec.value("fail", 0);
    run.m_checkpoint = aBody.value("checkpoint", std::string());
    m_running[task] = run;
    Log("start " + task + " run " + std::to_string(number) + " on " + m_id +
        " token " + std::to_string(m_token));
    Reply(aCall, 200, Json{ { "clock_ms", Clock() } }.dump());
  }

  void Stop(const CallPtr& aCall, const Json& aBody)
  {
    const auto task = aBody.at("task").get<std::string>();
    const auto number = aBody.at("run").get<std::uint64_t>();
    const auto it = m_running.find(task);
    if (it != m_running.end() && it->second.m_run == number) {
      it->second.m_stopAt = Clock() + kStopMs;
    } else {
      m_highestEnded[task] = std::max(m_highestEnded[task], number);
    }
    Reply(aCall, 200, Json{ { "clock_ms", Clock() } }.dump());
  }

  void Hold(const CallPtr& aCall, const Json& aBody)
  {
    if (aBody.contains("deadline_ms")) {
      Extend(aBody.at("deadline_ms").get<std::int64_t>());
    }
    const auto seen = aBody.value("last_seen", std::uint64_t{ 0 });
    std::erase_if(m_ended,
                  [&](const auto& aItem) { return aItem.first <= seen; });
    const auto wait = aBody.value("wait_ms", std::int64_t{ 0 });
    if (!m_ended.empty() || wait == 0) {
      Reply(aCall, 200, Lists());
      return;
    }
    m_holds.push_back(aCall);
    After(wait, [this, aCall] {
      std::erase(m_holds, aCall);
      if (!aCall->m_done && !m_cut) {
        Advance();
        Reply(aCall, 200, Lists());
      }
    });
  }

  void ShowEnds()
  {
    if (m_cut) {
      return;
    }
    const auto holds = std::exchange(m_holds, {});
    for (const CallPtr& call : holds) {
      Reply(call, 200, Lists());
    }
  }

  std::string Lists()
  {
    const std::int64_t now = Clock();
    std::string running;
    for (auto& [task, run] : m_running) {
      SaveProgress(task, run, now);
      const std::int64_t percent =
        100 * (now - run.m_start) / std::max<std::int64_t>(1, run.m_work);
      running += (running.empty() ? "[\"" : ",[\"") + task + "\"," +
                 std::to_string(run.m_run) + ",\"" + run.m_checkpoint + "\"," +
                 std::to_string(percent) + ",500]";
    }
    Json ended = Json::array();
    for (const auto& [number, end] : m_ended) {
      if (ended.size() == kMaxEnds) {
        break;
      }
      ended.push_back(
        { number, end.m_task, end.m_run, end.m_how, end.m_checkpoint });
    }
    return "{\"clock_ms\":" + std::to_string(now) +
           ",\"born\":" + std::to_string(m_born) + ",\"running\":[" + running +
           "],\"ended\":" + ended.dump() + "}";
  }

  static void SaveProgress(const std::string& aTask,
                           Run& aRun,
                           std::int64_t aNow)
  {
    const std::int64_t saved = (aNow - aRun.m_start) / kSaveMs;
    if (!aRun.m_saves || saved == 0) {
      return;
    }
    char text[17];
    std::snprintf(text,
                  sizeof text,
                  "%05x%011llx",
                  static_cast<unsigned>(saved),
                  static_cast<unsigned long long>(
                    std::hash<std::string>()(aTask) & 0xfffffffffffULL));
    aRun.m_checkpoint = text;
  }

  void Finish(const std::string& aTask, const char* aHow)
  {
    Run run = m_running.at(aTask);
    SaveProgress(aTask, run, Clock());
    m_running.erase(aTask);
    m_highestEnded[aTask] = std::max(m_highestEnded[aTask], run.m_run);
    m_ended[++m_lastEnd] = { aTask, run.m_run, aHow, run.m_checkpoint };
    if (std::string_view(aHow) == "done") {
      ++m_done[aTask.substr(0, aTask.find('.'))];
    }
    Log("end " + aTask + " run " + std::to_string(run.m_run) + " on " + m_id +
        " " + aHow);
  }

  int m_number;
  std::string m_id;
  std::string m_address;
  std::int64_t m_born;
  std::int64_t m_began;
  bool m_cut = false;
  std::uint64_t m_token = 0;
  std::int64_t m_lease = 0;
  std::map<std::string, Run> m_running;
  std::map<std::uint64_t, End> m_ended;
  std::uint64_t m_lastEnd = 0;
  std::map<std::string, std::uint64_t> m_highestEnded;
  std::map<std::string, int> m_runsOf;
  std::map<std::string, std::size_t> m_done;
  std::vector<CallPtr> m_holds;
};

std::vector<std::unique_ptr<Runner>> g_runners;

// ---------------------------------------------------------------------------

/// What the test asks for: a new desired state, a fault, or what runs.
void
HandleTest(const CallPtr& aCall)
{
  if (!aCall->m_body.empty()) {
    g_store.Put("op", "config", aCall->m_body);
    Log("desired state confirmed: version " +
        std::to_string(
          Json::parse(aCall->m_body).at("version").get<std::uint64_t>()));
  }
  if (aCall->m_query.contains("store")) {
    g_store.m_mode = aCall->m_query["store"];
    Log("store " + g_store.m_mode);
  }
  if (aCall->m_query.contains("runner")) {
    const bool cut = aCall->m_query["cut"] == "1";
    g_runners.at(std::stoul(aCall->m_query["runner"]))->SetCut(cut);
    Log("runner " + aCall->m_query["runner"] + (cut ? " cut off" : " back"));
  }
  const std::string job = aCall->m_query["job"];
  std::size_t running = 0;
  std::size_t all = 0;
  std::size_t done = 0;
  for (const auto& runner : g_runners) {
    runner->Advance();
    running += job.empty() ? 0 : runner->Running(job);
    all += runner->Running("");
    done += runner->DoneOf(job);
  }
  Reply(aCall,
        200,
        Json{ { "running", running },
              { "all", all },
              { "done", done },
              { "ms", NowMs() - kStart } }
          .dump());
}

void
OnStore(evhttp_request* aRequest, void*)
{
  const CallPtr call = ToCall(aRequest);
  if (call->m_path == "/test") {
    HandleTest(call);
  } else {
    g_store.Handle(call);
  }
}

/// Permits each step on each runner.
void
OnPolicy(evhttp_request* aRequest, void*)
{
  const CallPtr call = ToCall(aRequest);
  Json good = Json::array();
  for (const Json& worker : Json::parse(call->m_body).at("workers")) {
    good.push_back({ worker, "ticket" });
  }
  After(10, [call, good] {
    Reply(call, 200, Json{ { "good", good } }.dump());
  });
}

void
OnRunner(evhttp_request* aRequest, void* aRunner)
{
  static_cast<Runner*>(aRunner)->Handle(ToCall(aRequest));
}

bool
Listen(int aPort, void (*aHandler)(evhttp_request*, void*), void* aArgument)
{
  evhttp* server = evhttp_new(g_base);
  evhttp_set_gencb(server, aHandler, aArgument);
  evhttp_set_max_body_size(server, 8 * 1024 * 1024);
  return evhttp_bind_socket(server, "127.0.0.1", aPort) == 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const int base = std::stoi(aArguments[1]);
  const int runners = std::stoi(aArguments[2]);
  g_log.open(aArguments[3]);
  g_base = event_base_new();
  if (!Listen(base, OnStore, nullptr) || !Listen(base + 1, OnPolicy, nullptr)) {
    return 2;
  }
  for (int number = 0; number < runners; ++number) {
    const int port = base + 2 + number;
    auto& runner = g_runners.emplace_back(
      std::make_unique<Runner>(number, "127.0.0.1:" + std::to_string(port)));
    if (!Listen(port, OnRunner, runner.get())) {
      return 2;
    }
    runner->Register();
    runner->Watch();
  }
  event_base_dispatch(g_base);
  return 0;
}
