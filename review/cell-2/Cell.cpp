#include "Cell.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fcntl.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <sstream>
#include <thread>

namespace cell {

namespace {

constexpr int kPorts = 120;
constexpr int kFirstPort = 20'000;
constexpr int kLastPort = 32'000;
constexpr int kFrontPorts = 60;
constexpr int kReadyPorts = 70;
constexpr int kControlPorts = 80;
constexpr int kRelayPorts = 90;
constexpr std::int64_t kDeadlineMs = 3000;
constexpr std::int64_t kReadyMs = 25'000;

std::int64_t
SteadyMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

sockaddr_in
Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool
IsFree(int aPort)
{
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  const sockaddr_in address = Loopback(aPort);
  const bool free =
    bind(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address) ==
    0;
  close(handle);
  return free;
}

int
FreePorts()
{
  std::random_device device;
  for (int attempt = 0; attempt < 200; ++attempt) {
    const int base =
      kFirstPort + static_cast<int>(device() % (kLastPort - kFirstPort));
    bool free = true;
    for (int port = base; free && port < base + kPorts; ++port) {
      free = IsFree(port);
    }
    if (free) {
      return base;
    }
  }
  throw Unusable{ "no free ports" };
}

} // namespace

Json
Answer::Field(const char* aName) const
{
  const Json body = Json::parse(m_body, nullptr, false);
  return body.is_object() && body.contains(aName) ? body.at(aName) : Json();
}

Cell::Cell(int aRunners, int aDaemons, std::string aRecord, const Json& aConfig)
  : m_base(FreePorts())
  , m_start(SteadyMs())
  , m_record(std::move(aRecord))
  , m_out(m_record)
  , m_daemons(static_cast<std::size_t>(aDaemons), 0)
{
  std::string folder =
    (std::filesystem::temp_directory_path() / "cell-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) {
    throw Unusable{ "no temporary folder" };
  }
  m_folder = folder;
  const std::string own = std::filesystem::read_symlink("/proc/self/exe");
  m_platform = Spawn({ std::filesystem::path(own).parent_path() / "platform",
                       std::to_string(m_base),
                       std::to_string(aRunners),
                       m_folder + "/runs.txt" },
                     "",
                     m_folder + "/platform.txt");
  const std::int64_t until = SteadyMs() + kReadyMs;
  while (Send(m_base, "GET", "/test", "", 500).m_status != 200) {
    if (SteadyMs() > until) {
      StopAll();
      throw Unusable{ "the stand-in does not answer" };
    }
    Sleep(20);
  }
  SetConfig(aConfig);
  for (int daemon = 0; daemon < aDaemons; ++daemon) {
    WriteSettings(daemon);
    Start(daemon);
  }
}

Cell::~Cell()
{
  StopAll();
  m_out << "\nwhat the runners and the store saw (ms, what):\n";
  std::ifstream runs(m_folder + "/runs.txt");
  std::string line;
  while (std::getline(runs, line)) {
    m_out << line << "\n";
  }
  if (const char* keep = std::getenv("KEEP_LOGS")) {
    std::filesystem::copy(
      m_folder, keep, std::filesystem::copy_options::recursive);
  }
  std::filesystem::remove_all(m_folder);
}

void
Cell::StopAll()
{
  std::vector<int> all = m_daemons;
  all.push_back(m_platform);
  for (const int pid : all) {
    if (pid > 0) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }
  std::ranges::fill(m_daemons, 0);
  m_platform = 0;
}

int
Cell::Spawn(const std::vector<std::string>& aCommand,
            const std::string& aSettings,
            const std::string& aOutput)
{
  const int parent = getpid();
  const int pid = fork();
  if (pid != 0) {
    return pid;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(2);
  }
  const int output = open(aOutput.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(output, 1);
  dup2(output, 2);
  if (!aSettings.empty()) {
    setenv("LACEWINGVALE_SETTINGS", aSettings.c_str(), 1);
  }
  std::vector<char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (const std::string& word : aCommand) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  execv(arguments[0], arguments.data());
  _exit(127);
}

void
Cell::WriteSettings(int aDaemon)
{
  const auto address = [&](int aPorts) {
    return "\"127.0.0.1:" + std::to_string(m_base + aPorts + aDaemon) + "\"";
  };
  std::ofstream out(m_folder + "/settings-" + std::to_string(aDaemon) +
                    ".yaml");
  out << "node: \"edge-zone-a-" << aDaemon + 1 << "\"\n"
      << "role: \"entry\"\nmachine_class: \"edge\"\n"
      << "serves:\n  - \"edge\"\n  - \"control\"\n"
      << "ip: \"127.0.0.1\"\nzone: \"zone-a\"\nregion: \"region-a\"\n"
      << "zones:\n  zone-a: \"region-a\"\n"
      << "listen:\n  front: " << address(kFrontPorts)
      << "\n  ready: " << address(kReadyPorts)
      << "\n  control: " << address(kControlPorts) << "\n"
      << "port_range:\n  - " << m_base + kRelayPorts + aDaemon << "\n  - "
      << m_base + kRelayPorts + aDaemon << "\n"
      << "seeds:\n";
  for (int seed = 0; seed < std::min(3, Daemons()); ++seed) {
    out << "  - \"127.0.0.1:" << m_base + kControlPorts + seed << "\"\n";
  }
  out << "bootstrap: true\n"
      << "limits:\n  cpu_quota: 1.0\n  cores: 1\n  memory_mb: 260\n"
      << "  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n"
      << "heartbeat_ms: 1500\n"
      << "bounds:\n  stable_window_ms: 4000\n  ack_ms: 5000\n"
      << "  drain_ms: 2500\n  grace_s: 6\n  config_apply_ms: 2500\n"
      << "  hold_max_ms: 6000\n  stop_ms: 900\n  gang_ms: 3000\n"
      << "  cancel_ms: 3000\n  visible_ms: 3000\n  finish_s: 14\n"
      << "  status_s: 120\n  save_s: 2\n  restore_ms: 600\n"
      << "  lease_ms: 3000\n"
      << "control_mode: \"request\"\n"
      << "advice: \"127.0.0.1:" << m_base + 1 << "\"\n"
      << "platform:\n  address: \"127.0.0.1:" << m_base << "\"\n"
      << "  form: \"table\"\n  writes_per_s: 600\n  reads_per_s: 2000\n"
      << "  tx_ms: 5.0\n  part_writes_s: 200\n  row_bytes: 65536\n"
      << "  across: false\n  history_s: 20\n";
}

void
Cell::Start(int aDaemon)
{
  // The run command of deploy/system.toml.
  m_daemons[aDaemon] =
    Spawn({ "target/lacewing-edge" },
          m_folder + "/settings-" + std::to_string(aDaemon) + ".yaml",
          m_folder + "/edge-" + std::to_string(aDaemon) + ".txt");
  Note("daemon " + std::to_string(aDaemon) + " started");
}

void
Cell::Kill(int aDaemon)
{
  kill(m_daemons[aDaemon], SIGKILL);
  waitpid(m_daemons[aDaemon], nullptr, 0);
  m_daemons[aDaemon] = 0;
  Note("daemon " + std::to_string(aDaemon) + " killed");
}

void
Cell::AwaitReady()
{
  const std::int64_t until = SteadyMs() + kReadyMs;
  for (int daemon = 0; daemon < Daemons(); ++daemon) {
    while (Send(m_base + kReadyPorts + daemon, "GET", "/api/readyz", "", 500)
             .m_status != 200) {
      if (SteadyMs() > until) {
        throw Unusable{ "a daemon does not become ready" };
      }
      Sleep(50);
    }
  }
  while (Leader() < 0) {
    if (SteadyMs() > until) {
      throw Unusable{ "no daemon leads" };
    }
    Sleep(50);
  }
  Note("all daemons are ready");
}

std::int64_t
Cell::Now() const
{
  return SteadyMs() - m_start;
}

void
Cell::Sleep(std::int64_t aMs)
{
  std::this_thread::sleep_for(
    std::chrono::milliseconds(std::max<std::int64_t>(0, aMs)));
}

void
Cell::Note(const std::string& aText)
{
  m_out << Now() << " " << aText << std::endl;
}

Answer
Cell::Call(int aDaemon,
           const std::string& aMethod,
           const std::string& aPath,
           const std::string& aBody,
           bool aNoted)
{
  Answer answer =
    Send(m_base + kFrontPorts + aDaemon, aMethod, aPath, aBody, kDeadlineMs);
  if (aNoted) {
    Note(aMethod + " " + aPath + " at daemon " + std::to_string(aDaemon) +
         " -> " + std::to_string(answer.m_status) + " " + answer.m_body);
  }
  return answer;
}

bool
Cell::Submit(const std::string& aPath, const Json& aBody, std::int64_t aForMs)
{
  const std::int64_t until = SteadyMs() + aForMs;
  for (int attempt = 0; SteadyMs() < until; ++attempt) {
    const Answer answer =
      Call(attempt % Daemons(), "POST", aPath, aBody.dump());
    if (answer.m_status == 200) {
      return true;
    }
    if (answer.m_status == 400 || answer.m_status == 401) {
      return false;
    }
    Sleep(100);
  }
  return false;
}

std::string
Cell::StateOf(const std::string& aPath)
{
  for (int daemon = 0; daemon < Daemons(); ++daemon) {
    const Answer answer = Call(daemon, "GET", aPath, "");
    if (answer.m_status == 200) {
      return answer.Field("state").get<std::string>();
    }
  }
  return {};
}

Json
Cell::Runs(const std::string& aJob)
{
  const Answer answer = Send(m_base, "GET", "/test?job=" + aJob, "", 5000);
  if (answer.m_status != 200) {
    throw Unusable{ "the stand-in does not answer" };
  }
  return Json::parse(answer.m_body);
}

void
Cell::SetConfig(const Json& aConfig)
{
  if (Send(m_base, "POST", "/test", aConfig.dump(), 5000).m_status != 200) {
    throw Unusable{ "the stand-in does not answer" };
  }
  Note("desired state confirmed: " + aConfig.dump());
}

void
Cell::Fault(const std::string& aQuery)
{
  Send(m_base, "GET", "/test?" + aQuery, "", 5000);
  Note("disruption: " + aQuery);
}

int
Cell::Leader()
{
  for (int daemon = 0; daemon < Daemons(); ++daemon) {
    const Answer answer =
      Send(m_base + kControlPorts + daemon, "GET", "/v1/pool/status", "", 500);
    if (answer.Field("leads") == true) {
      return daemon;
    }
  }
  return -1;
}

Answer
Cell::Send(int aPort,
           const std::string& aMethod,
           const std::string& aPath,
           const std::string& aBody,
           std::int64_t aTimeoutMs)
{
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  const sockaddr_in address = Loopback(aPort);
  Answer answer;
  if (connect(handle,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    close(handle);
    return answer;
  }
  const std::string text =
    aMethod + " " + aPath +
    " HTTP/1.1\r\nHost: vpi.example\r\nAuthorization: Bearer key-1\r\n"
    "Content-Type: application/json\r\nX-Lacewingvale-Deadline-Ms: " +
    std::to_string(aTimeoutMs) +
    "\r\nConnection: close\r\nContent-Length: " + std::to_string(aBody.size()) +
    "\r\n\r\n" + aBody;
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count =
      send(handle, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      break;
    }
    sent += static_cast<std::size_t>(count);
  }
  std::string received;
  const std::int64_t until = SteadyMs() + aTimeoutMs;
  bool ended = false;
  while (!ended && SteadyMs() < until) {
    pollfd one{ handle, POLLIN, 0 };
    if (poll(&one, 1, static_cast<int>(until - SteadyMs())) <= 0) {
      break;
    }
    char buffer[65536];
    const ssize_t count = recv(handle, buffer, sizeof buffer, 0);
    ended = count <= 0;
    if (!ended) {
      received.append(buffer, static_cast<std::size_t>(count));
    }
  }
  close(handle);
  const std::size_t head = received.find("\r\n\r\n");
  if (!ended || head == std::string::npos || received.size() < 12) {
    return answer;
  }
  answer.m_status = std::atoi(received.c_str() + 9);
  answer.m_body = received.substr(head + 4);
  return answer;
}

Json
Config(std::uint64_t aVersion, const Json& aRoutes, const Json& aTenants)
{
  return { { "version", aVersion },
           { "routes", aRoutes },
           { "services",
             Json::array({ { { "name", "lot-ledger" },
                             { "admission_check", false } } }) },
           { "limits", { { "max_body_bytes", 262'144 } } },
           { "tenants", aTenants } };
}

Json
Route(const std::string& aName, int aPriority, double aSlackFactor)
{
  return { { "name", aName },
           { "host", "vpi.example" },
           { "prefix", "/" + aName + "/" },
           { "type", "non_idempotent" },
           { "timeout_ms", 3000 },
           { "target_runtime_ms", 1200 },
           { "priority", aPriority },
           { "service", "lot-ledger" },
           { "attempts", 3 },
           { "slack_factor", aSlackFactor },
           { "public", false } };
}

Json
Tenant(const std::string& aName, int aMaxCpu)
{
  return { { "name", aName },
           { "api_keys", Json::array({ "key-1" }) },
           { "weight", 1000 },
           { "max_count",
             { { "cpu", aMaxCpu }, { "mem_mb", 0 }, { "gpu", 0 } } } };
}

std::string
JobId(std::uint64_t aNumber)
{
  char text[17];
  std::snprintf(
    text, sizeof text, "%016llx", static_cast<unsigned long long>(aNumber));
  return text;
}

} // namespace cell
