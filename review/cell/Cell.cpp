#include "Cell.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using lacewing::Duration;
using lacewing::milliseconds;
using lacewing::net::Address;
using lacewing::net::HttpOutcome;
using lacewing::net::HttpReply;
using lacewing::net::HttpRequest;
using lacewing::net::JsonResponse;

constexpr const char* kLoopback = "127.0.0.1";
constexpr const char* kKey = "6x73d3zji9n73hh2b9wu";
constexpr Duration kProbePeriod = milliseconds(1000);
constexpr Duration kProbeTimeout = milliseconds(800);
constexpr int kMissesToLeave = 2;
constexpr Duration kClientDeadline = milliseconds(3000);
constexpr Duration kClientRetryPause = milliseconds(200);
constexpr int kClientTries = 40;

/// `max_fds` of the deployment.
constexpr rlim_t kDaemonDescriptors = 4100;

/// Sets the most descriptors of this process, within its hard limit; 0 for
/// that limit.
void
SetDescriptors(rlim_t aMost)
{
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur =
    aMost == 0 ? limit.rlim_max : std::min(aMost, limit.rlim_max);
  setrlimit(RLIMIT_NOFILE, &limit);
}

int g_exitCode = 2; // NOLINT: result of the case

} // namespace

std::vector<Address>
FreeAddresses(std::size_t aCount)
{
  std::vector<int> sockets;
  std::vector<Address> result;
  for (std::size_t number = 0; number < aCount; ++number) {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(name);
    if (bind(socket, reinterpret_cast<sockaddr*>(&name), length) ==
          0 && // NOLINT
        getsockname(
          socket, reinterpret_cast<sockaddr*>(&name), &length) == // NOLINT
          0) {
      result.push_back({ kLoopback, ntohs(name.sin_port) });
    }
    sockets.push_back(socket);
  }
  for (const int socket : sockets) {
    close(socket);
  }
  return result;
}

std::string
JobId(std::uint64_t aNumber)
{
  constexpr int kLength = 17;
  char text[kLength];
  // Spread over the parts of the store, as ids that clients draw are.
  const std::uint64_t spread = (aNumber + 1) * 0x9E3779B97F4A7C15U;
  std::snprintf(
    text, sizeof(text), "%016llx", static_cast<unsigned long long>(spread));
  return text;
}

Json
RouteOf(const std::string& aName, int aPriority, double aSlack, int aTargetMs)
{
  return { { "name", aName },
           { "host", kLoopback },
           { "prefix", "/" + aName + "/" },
           { "type", "non_idempotent" },
           { "timeout_ms", 3000 },
           { "target_runtime_ms", aTargetMs },
           { "priority", aPriority },
           { "service", "die-proof" },
           { "attempts", 3 },
           { "slack_factor", aSlack },
           { "public", false } };
}

Json
ConfigOf(int aVersion, const Json& aRoutes)
{
  return {
    { "version", aVersion },
    { "routes", aRoutes },
    { "services",
      { { { "name", "die-proof" },
          { "health_path", "/healthz" },
          { "max_conns", 64 },
          { "protocol", "h1" },
          { "tls", false },
          { "admission_check", false },
          { "standby", false } } } },
    { "limits",
      { { "max_header_bytes", 16384 },
        { "max_body_bytes", 262144 },
        { "header_timeout_ms", 3000 },
        { "idle_timeout_ms", 15000 } } },
    { "tenants",
      { { { "name", "kaje80" },
          { "api_keys", { kKey } },
          { "priority", 1 },
          { "weight", 31 },
          { "max_count", { { "cpu", 0 }, { "mem_mb", 0 }, { "gpu", 0 } } } } } }
  };
}

Cell::Cell(lacewing::net::Loop& aLoop,
           Record& aRecord,
           const std::string& aFolder,
           CellSize aSize)
  : m_loop(aLoop)
  , m_record(aRecord)
  , m_folder(aFolder)
  , m_size(aSize)
  , m_clients(aLoop)
{
}

Cell::~Cell()
{
  for (int number = 0; number < static_cast<int>(m_daemons.size()); ++number) {
    if (IsRunning(number)) {
      kill(m_daemons[static_cast<std::size_t>(number)].m_process, SIGKILL);
      waitpid(
        m_daemons[static_cast<std::size_t>(number)].m_process, nullptr, 0);
    }
  }
}

bool
Cell::Start(const Json& aConfig)
{
  const auto daemons = static_cast<std::size_t>(m_size.m_daemons);
  const auto workers = static_cast<std::size_t>(m_size.m_workers);
  const std::vector<Address> free = FreeAddresses(2 + workers + 3 * daemons);
  if (free.size() != 2 + workers + 3 * daemons) {
    return false;
  }
  m_store = std::make_unique<Store>(m_loop, m_record, free[0]);
  m_policyAddress = free[1];
  m_policy = std::make_unique<lacewing::net::HttpServer>(
    m_loop,
    lacewing::net::HttpServerLimits(),
    [this](const auto& aRequest, const auto& aReply) {
      HandleAdvice(aRequest, aReply);
    });
  if (!m_store->Listen() || !m_policy->Listen(m_policyAddress)) {
    return false;
  }
  SetConfig(aConfig);
  const std::vector<std::string> zones = { "lowell-a",
                                           "worcester-a",
                                           "lowell-b" };
  for (std::size_t number = 0; number < workers; ++number) {
    constexpr std::size_t kRack = 8;
    WorkerKind kind;
    kind.m_zone = zones[number % zones.size()];
    kind.m_rack = "r1-" + std::to_string(number / kRack);
    kind.m_label = number % 2 == 0 ? "a" : "b";
    m_workers.push_back(
      std::make_unique<Worker>(m_loop,
                               m_record,
                               *m_store,
                               m_fleet,
                               "i-" + std::to_string(1000 + number),
                               free[2 + number],
                               kind));
    if (!m_workers.back()->Start()) {
      return false;
    }
  }
  for (std::size_t number = 0; number < daemons; ++number) {
    const std::size_t first = 2 + workers + 3 * number;
    Daemon daemon;
    daemon.m_front = free[first];
    daemon.m_ready = free[first + 1];
    daemon.m_control = free[first + 2];
    m_daemons.push_back(daemon);
  }
  for (int number = 0; number < m_size.m_daemons; ++number) {
    if (!StartDaemon(number)) {
      return false;
    }
  }
  m_loop.Every(milliseconds(100), [this] { Reap(); });
  m_loop.Every(kProbePeriod, [this] { ProbeReadiness(); });
  return true;
}

std::string
Cell::Settings(int aDaemon) const
{
  const Daemon& daemon = m_daemons[static_cast<std::size_t>(aDaemon)];
  const std::vector<std::string> zones = { "lowell-a",
                                           "worcester-a",
                                           "lowell-b" };
  const std::string& zone =
    zones[static_cast<std::size_t>(aDaemon) % zones.size()];
  std::string seeds;
  for (std::size_t number = 0; number < 3 && number < m_daemons.size();
       ++number) {
    seeds += "  - \"" + m_daemons[number].m_control.ToString() + "\"\n";
  }
  return "node: \"edge-" + zone + "-" + std::to_string(aDaemon / 3 + 1) +
         "\"\nrole: \"entry\"\nmachine_class: \"edge\"\nserves:\n  - "
         "\"edge\"\n  - \"control\"\nip: \"127.0.0.1\"\nzone: \"" +
         zone + "\"\nregion: \"lowell\"\nlisten:\n  front: \"" +
         daemon.m_front.ToString() + "\"\n  ready: \"" +
         daemon.m_ready.ToString() + "\"\n  control: \"" +
         daemon.m_control.ToString() + "\"\nseeds:\n" + seeds +
         "bootstrap: true\nlimits:\n  cpu_quota: 0.25\n  cores: 1\n  "
         "memory_mb: 260\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: "
         "0\ndata_dir: null\ndiscovery: \"platform\"\nentry: "
         "\"vip\"\nheartbeat_ms: 1500\nbounds:\n  stable_window_ms: 4000\n  "
         "ack_ms: 5000\n  drain_ms: 2500\n  grace_s: 6\n  hold_max_ms: 6000\n"
         "  stop_ms: 200\n  gang_ms: 3000\n  cancel_ms: 3000\n  visible_ms: "
         "3000\n  finish_s: 14\n  status_s: 120\n  save_s: 2\n  restore_ms: "
         "600\ncontrol_mode: \"request\"\nadvice: \"" +
         m_policyAddress.ToString() + "\"\nplatform:\n  address: \"" +
         m_store->At().ToString() +
         "\"\n  form: \"table\"\n  writes_per_s: 800\n  reads_per_s: 2000\n  "
         "tx_ms: 5.0\n  part_writes_s: 200\n  row_bytes: 65536\n  across: "
         "false\n  history_s: 20\n";
}

bool
Cell::StartDaemon(int aDaemon)
{
  Daemon& daemon = m_daemons[static_cast<std::size_t>(aDaemon)];
  const std::string base = m_folder + "/edge-" + std::to_string(aDaemon);
  std::ofstream(base + ".yaml") << Settings(aDaemon);
  const std::string variable = "LACEWINGVALE_SETTINGS=" + base + ".yaml";
  const std::string log = base + ".out";
  const pid_t process = fork();
  if (process < 0) {
    return false;
  }
  if (process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    SetDescriptors(kDaemonDescriptors);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    std::vector<char*> arguments = { const_cast<char*>(
                                       "target/lacewing-edge"), // NOLINT
                                     nullptr };
    std::vector<char*> environment = { const_cast<char*>(
                                         variable.c_str()), // NOLINT
                                       nullptr };
    execve("target/lacewing-edge", arguments.data(), environment.data());
    _exit(127);
  }
  daemon.m_process = process;
  daemon.m_misses = kMissesToLeave;
  daemon.m_stopped = false;
  m_record.Write("daemon " + std::to_string(aDaemon) + " starts");
  return true;
}

bool
Cell::IsRunning(int aDaemon) const
{
  return m_daemons[static_cast<std::size_t>(aDaemon)].m_process > 0;
}

void
Cell::Kill(int aDaemon, int aSignal)
{
  Daemon& daemon = m_daemons[static_cast<std::size_t>(aDaemon)];
  if (daemon.m_process <= 0) {
    return;
  }
  m_record.Write("daemon " + std::to_string(aDaemon) + " gets signal " +
                 std::to_string(aSignal));
  if (aSignal == SIGKILL || aSignal == SIGTERM) {
    daemon.m_stopped = true;
  }
  kill(daemon.m_process, aSignal);
}

void
Cell::Reap()
{
  for (std::size_t number = 0; number < m_daemons.size(); ++number) {
    Daemon& daemon = m_daemons[number];
    int status = 0;
    if (daemon.m_process > 0 &&
        waitpid(daemon.m_process, &status, WNOHANG) == daemon.m_process) {
      daemon.m_process = 0;
      daemon.m_misses = kMissesToLeave;
      m_record.Write("daemon " + std::to_string(number) +
                     " has ended, status " + std::to_string(status));
      if (!daemon.m_stopped) {
        ++m_unexpectedEnds;
      }
    }
  }
}

std::size_t
Cell::MemoryMb(pid_t aProcess)
{
  std::ifstream in("/proc/" + std::to_string(aProcess) + "/statm");
  std::size_t all = 0;
  std::size_t resident = 0;
  in >> all >> resident;
  const auto page = static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  return resident * page / 1'000'000;
}

void
Cell::CheckMemory(std::size_t aMostMb)
{
  for (std::size_t number = 0; number < m_daemons.size(); ++number) {
    const Daemon& daemon = m_daemons[number];
    if (daemon.m_process <= 0 || daemon.m_stopped) {
      continue;
    }
    const std::size_t memory = MemoryMb(daemon.m_process);
    m_peakMemoryMb = std::max(m_peakMemoryMb, memory);
    if (memory > aMostMb) {
      const int index = static_cast<int>(number);
      m_record.Write("daemon " + std::to_string(number) + " has " +
                     std::to_string(memory) + " MB, over its limit" +
                     (index == Leader() ? "; it leads" : ""));
      ++m_memoryKills;
      Kill(index, SIGKILL);
      After(1, [this, index] {
        Reap();
        StartDaemon(index);
      });
    }
  }
}

void
Cell::EnforceMemory(std::size_t aMostMb)
{
  m_loop.Every(milliseconds(20), [this, aMostMb] { CheckMemory(aMostMb); });
}

void
Cell::ProbeReadiness()
{
  for (std::size_t number = 0; number < m_daemons.size(); ++number) {
    HttpRequest request;
    request.m_method = "GET";
    request.m_path = "/api/readyz";
    m_clients.Send(m_daemons[number].m_ready,
                   request,
                   kProbeTimeout,
                   [this, number](const HttpOutcome& aOutcome) {
                     Daemon& daemon = m_daemons[number];
                     const bool ready = aOutcome.m_response &&
                                        aOutcome.m_response->m_status == 200;
                     daemon.m_misses = ready ? 0 : daemon.m_misses + 1;
                   });
  }
}

std::optional<Address>
Cell::NextFront()
{
  for (std::size_t turn = 0; turn < m_daemons.size(); ++turn) {
    const Daemon& daemon = m_daemons[m_nextFront++ % m_daemons.size()];
    if (daemon.m_misses < kMissesToLeave) {
      return daemon.m_front;
    }
  }
  return m_daemons[m_nextFront++ % m_daemons.size()].m_front;
}

void
Cell::OnceReady(std::function<void()> aFunction)
{
  bool ready = Leader() >= 0;
  for (const Daemon& daemon : m_daemons) {
    ready = ready && daemon.m_misses == 0;
  }
  if (ready) {
    m_record.Write("all daemons are ready; daemon " + std::to_string(Leader()) +
                   " leads");
    aFunction();
    return;
  }
  m_loop.After(milliseconds(50), [this, function = std::move(aFunction)] {
    OnceReady(function);
  });
}

void
Cell::After(double aSeconds, std::function<void()> aFunction)
{
  m_loop.After(
    milliseconds(static_cast<std::int64_t>(aSeconds * 1000)), // NOLINT
    std::move(aFunction));
}

void
Cell::SetConfig(const Json& aConfig)
{
  m_config = aConfig;
  m_store->Put("op", "config", aConfig.dump());
  m_record.Write("operator: version " +
                 std::to_string(aConfig.at("version").get<int>()) +
                 " is confirmed");
}

int
Cell::Leader() const
{
  const auto value = m_store->Value("leader", "main", "leader");
  const Json row =
    value ? Json::parse(*value, nullptr, false) : Json(Json::object());
  const std::string address =
    row.is_object() && !row.value("vm", std::string()).empty()
      ? row.value("address", std::string())
      : std::string();
  for (std::size_t number = 0; number < m_daemons.size(); ++number) {
    if (m_daemons[number].m_control.ToString() == address) {
      return static_cast<int>(number);
    }
  }
  return -1;
}

void
Cell::Call(const std::string& aMethod,
           const std::string& aPath,
           const std::string& aBody,
           Duration aDeadline,
           std::function<void(const Answer&)> aDone)
{
  HttpRequest request;
  request.m_method = aMethod;
  request.m_path = aPath;
  request.m_headers["Authorization"] = std::string("Bearer ") + kKey;
  request.m_headers["X-Lacewingvale-Deadline-Ms"] =
    std::to_string(lacewing::ToMilliseconds(aDeadline));
  if (!aBody.empty()) {
    request.m_headers["Content-Type"] = "application/json";
    request.m_body = aBody;
  }
  m_clients.Send(
    *NextFront(),
    request,
    aDeadline,
    [this, aMethod, aPath, done = std::move(aDone)](
      const HttpOutcome& aOutcome) {
      Answer answer;
      if (aOutcome.m_response) {
        answer = { aOutcome.m_response->m_status, aOutcome.m_response->m_body };
      }
      m_record.Write("client " + aMethod + " " + aPath + " -> " +
                     std::to_string(answer.m_status) + " " +
                     (aMethod == "GET" ? answer.m_body : std::string()));
      done(answer);
    });
}

void
Cell::Submit(const std::string& aQueue,
             const std::string& aId,
             const Json& aBody,
             std::function<void(const Answer&)> aDone)
{
  const auto tries = std::make_shared<int>(0);
  const auto attempt = std::make_shared<std::function<void()>>();
  *attempt = [this, aQueue, aId, aBody, tries, attempt, aDone] {
    Call("POST",
         "/" + aQueue + "/" + aId,
         aBody.dump(),
         kClientDeadline,
         [this, tries, attempt, aDone](const Answer& aAnswer) {
           const int status = aAnswer.m_status;
           const bool again = status == 0 || status == 429 || status == 502 ||
                              status == 503 || status == 504;
           if (!again || ++*tries >= kClientTries) {
             aDone(aAnswer);
             m_loop.After(Duration::zero(), [attempt] { *attempt = {}; });
             return;
           }
           m_loop.After(kClientRetryPause, [attempt] { (*attempt)(); });
         });
  };
  (*attempt)();
}

void
Cell::State(const std::string& aQueue,
            const std::string& aId,
            std::function<void(const Answer&)> aDone)
{
  Call("GET", "/" + aQueue + "/" + aId, "", kClientDeadline, std::move(aDone));
}

bool
Cell::IsPermitted(const std::string& aStep, const std::string& aWorker) const
{
  constexpr std::size_t kParts = 1000;
  return static_cast<double>(std::hash<std::string>()(aStep + "/" + aWorker) %
                             kParts) < m_permitted * kParts;
}

void
Cell::HandleAdvice(const HttpRequest& aRequest, const HttpReply& aReply)
{
  const Json body = Json::parse(aRequest.m_body);
  const auto step = body.at("step").get<std::string>();
  Json good = Json::array();
  for (const Json& worker : body.at("workers")) {
    if (IsPermitted(step, worker.get<std::string>())) {
      good.push_back(
        { worker, std::to_string(m_record.ElapsedMs()) + "/" + step });
    }
  }
  // decide_ms 9.3 and each_ms 0.13, the least of the deployment's queues.
  const Duration cost =
    milliseconds(10) + Duration(130 * body.at("workers").size());
  m_loop.After(cost, [aReply, good] {
    aReply(
      JsonResponse(200, Json{ { "good", good }, { "valid_ms", 1500 } }.dump()));
  });
}

int
RunCase(int argc,
        char** argv,
        CellSize aSize,
        const Json& aConfig,
        const std::function<void(Cell&, bool aTrouble)>& aCase)
{
  if (argc != 2) {
    std::cerr << "usage: case FOLDER\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  // This process holds the other ends of all the daemons' connections.
  SetDescriptors(0);
  const char* setting = std::getenv("TROUBLE"); // NOLINT
  const bool trouble = setting == nullptr || std::string(setting) != "0";
  const std::string folder = std::filesystem::temp_directory_path().string() +
                             "/review-" + std::to_string(getpid());
  std::filesystem::create_directories(folder);
  {
    lacewing::net::Loop loop;
    Record record(std::string(argv[1]) + "/record.txt");
    record.Write(trouble ? "with the disruption" : "without the disruption");
    Cell cell(loop, record, folder, aSize);
    loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
    loop.OnSignal(SIGINT, [&] { loop.Stop(); });
    if (!cell.Start(aConfig)) {
      std::cerr << "the cell can't start\n";
    } else {
      cell.OnceReady([&] { aCase(cell, trouble); });
      cell.After(118, [&] { Finish(cell, 2, "the case took too long"); });
      loop.Run();
    }
  }
  if (std::getenv("REVIEW_KEEP") == nullptr) { // NOLINT
    std::filesystem::remove_all(folder);
  }
  return g_exitCode;
}

void
Finish(Cell& aCell, int aCode, const std::string& aWhy)
{
  const char* verdict = aCode == 1   ? "the rule is broken: "
                        : aCode == 0 ? "the rule held: "
                                     : "the case couldn't run: ";
  aCell.Log().Write(verdict + aWhy);
  std::cout << verdict << aWhy << "\n";
  g_exitCode = aCode;
  aCell.Loop().Stop();
}

} // namespace review
