#include "edge/EdgeDaemon.h"

#include "core/TryDecode.h"
#include "platform/Documents.h"
#include "pool/JobRows.h"

#include <charconv>
#include <random>

namespace lacewing::edge {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

/// The load balancer probes once a second and takes a VM out of rotation after
/// two failed probes; callers that arrive until then are still served.
constexpr Duration kRotationDelay = milliseconds(2600);
/// The shutdown ends this long before the platform kills the process.
constexpr Duration kKillMargin = milliseconds(700);
constexpr Duration kDrainTick = milliseconds(50);
constexpr Duration kStatePeriod = seconds(5);
/// Reads of the table of jobs while it is down.
constexpr Duration kStoreProbePeriod = milliseconds(300);
constexpr Duration kStoreProbeTimeout = milliseconds(900);
/// Least time between two log lines about clients that exceed the limits.
constexpr Duration kOverloadLinePeriod = seconds(1);
/// Limit of log lines per second; lines above the limit are counted and
/// dropped.
constexpr int kLogLinesPerSecond = 400;

observe::LogOptions
LogOptionsOf(const EdgeSettings& aSettings)
{
  observe::LogOptions options;
  options.m_process = aSettings.m_vm.Value();
  options.m_standardOutput = true;
  options.m_linesPerSecond = kLogLinesPerSecond;
  return options;
}

/// Returns a value that differs between successive processes on one VM.
std::uint64_t
NewIncarnation()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(UnixMilliseconds()) << 16U) ^
         (device() & 0xFFFFU);
}

/// Returns the query parameter, or 0 if it is missing or not a number.
std::uint64_t
NumericQuery(const net::HttpRequest& aRequest, const char* aParameter)
{
  const std::string text = aRequest.Query(aParameter);
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

/// Parts of the memory and of the descriptors that this process may use, for
/// one listener.
struct ListenerShare
{
  std::size_t m_memoryDivisor;
  std::size_t m_descriptorDivisor;
};

/// Most of both is for the leader's own state and its calls to workers.
constexpr ListenerShare kCallers{ 4, 3 };
constexpr ListenerShare kPeers{ 8, 8 };
constexpr ListenerShare kProbes{ 64, 16 };
/// Responses to probes are empty, and so are their requests.
constexpr std::size_t kMaxProbeBytes = 4096;

net::HttpServerLimits
LimitsOf(const EdgeSettings& aSettings, const ListenerShare& aShare)
{
  net::HttpServerLimits limits;
  if (aSettings.m_memoryLimitBytes > 0) {
    limits.m_connections.m_maxBytes =
      aSettings.m_memoryLimitBytes / aShare.m_memoryDivisor;
  }
  if (aSettings.m_descriptorLimit > 0) {
    limits.m_connections.m_maxConnections =
      aSettings.m_descriptorLimit / aShare.m_descriptorDivisor;
  }
  return limits;
}

net::HttpServerLimits
CallerLimits(const EdgeSettings& aSettings)
{
  net::HttpServerLimits limits = LimitsOf(aSettings, kCallers);
  limits.m_idleTimeout = seconds(120);
  return limits;
}

net::HttpServerLimits
ProbeLimits(const EdgeSettings& aSettings)
{
  net::HttpServerLimits limits = LimitsOf(aSettings, kProbes);
  limits.m_maxBodyBytes = kMaxProbeBytes;
  limits.m_maxHeaderBytes = kMaxProbeBytes;
  return limits;
}

} // namespace

EdgeDaemon::EdgeDaemon(net::Loop& aLoop, const EdgeSettings& aSettings)
  : m_loop(aLoop)
  , m_settings(aSettings)
  , m_log(LogOptionsOf(aSettings))
  , m_http(aLoop)
  , m_storeHttp(aLoop, net::Priority::Urgent)
  , m_store(m_storeHttp,
            aSettings.m_store,
            [this](const std::string& aTable, bool aAnswered) {
              OnStoreCall(aTable, aAnswered);
            })
  , m_workers(m_http)
  , m_adviceClient(m_workers, aSettings.m_policyService)
  , m_context{ aLoop,          m_http, m_store,   m_storeHealth, m_workers,
               m_adviceClient, m_log,  m_metrics, m_settings }
  , m_config(aLoop,
             m_store,
             m_log,
             { [this](const pool::PoolConfig& aConfig) { OnConfig(aConfig); },
               [this](const std::set<DomainId>& aDomains) {
                 m_leadership.SetEvacuations(aDomains);
               } })
  , m_leadership(m_context, NewIncarnation())
  , m_front(m_context, m_config, m_leadership)
  , m_relayServer(aLoop,
                  m_workers,
                  m_log,
                  m_metrics,
                  { [this] { return m_leadership.KnownTerm(); },
                    [this] { return m_leadership.LoopLag(); } })
  , m_callerServer(aLoop,
                   CallerLimits(aSettings),
                   [this](const auto& aRequest, const auto& aReply) {
                     m_front.Handle(aRequest, aReply);
                   })
  , m_probeServer(aLoop,
                  ProbeLimits(aSettings),
                  [this](const auto& aRequest, const auto& aReply) {
                    HandleProbe(aRequest, aReply);
                  })
  , m_peerServer(aLoop,
                 LimitsOf(aSettings, kPeers),
                 [this](const auto& aRequest, const auto& aReply) {
                   HandlePeer(aRequest, aReply);
                 })
{
  ReportOverload(m_callerServer, "callers");
  ReportOverload(m_probeServer, "probe");
  ReportOverload(m_peerServer, "peers");
}

void
EdgeDaemon::ReportOverload(net::HttpServer& aServer, const char* aListener)
{
  aServer.SetOnOverload([this, aListener](net::OverloadAction aAction) {
    m_metrics.Add(observe::Metric::ClientOverload,
                  { aListener, NameOf(aAction) });
    Time& next = m_nextOverloadLine[aListener];
    const Time now = net::Loop::Now();
    if (now >= next) {
      next = now + kOverloadLinePeriod;
      m_log.Write(settings::LogLevel::Warn,
                  "client_overload",
                  { { "listener", aListener },
                    { "action", std::string(NameOf(aAction)) } });
    }
  });
}

Result<void>
EdgeDaemon::Start()
{
  BOOST_LEAF_CHECK(m_peerServer.Listen(m_settings.m_peers));
  BOOST_LEAF_CHECK(m_probeServer.Listen(m_settings.m_readiness));
  BOOST_LEAF_CHECK(m_callerServer.Listen(m_settings.m_callers));
  ListenForOrders();
  m_config.Start();
  m_leadership.Start();
  m_loop.Every(kStatePeriod, [this] { LogState(); });
  m_loop.Every(kStoreProbePeriod, [this] { ProbeJobTable(); });
  m_log.Write(settings::LogLevel::Info,
              "started",
              { { "callers", m_settings.m_callers.ToString() },
                { "peers", m_settings.m_peers.ToString() },
                { "domain", m_settings.m_domain.Value() } });
  return {};
}

void
EdgeDaemon::ListenForOrders()
{
  if (!m_settings.m_relay) {
    return;
  }
  leaf::try_handle_all(
    [&]() -> Result<void> { return m_relayServer.Listen(*m_settings.m_relay); },
    [&](const Error& aError) {
      m_log.Write(settings::LogLevel::Warn,
                  "no_relay",
                  { { "reason", aError.m_message } });
      m_settings.m_relay.reset();
    },
    [&] { m_settings.m_relay.reset(); });
}

void
EdgeDaemon::OnConfig(const pool::PoolConfig& aConfig)
{
  m_leadership.SetStoreDelay(m_config.ReadTime());
  m_leadership.SetConfig(aConfig);
}

void
EdgeDaemon::OnStoreCall(const std::string& aTable, bool aAnswered)
{
  const Time now = net::Loop::Now();
  if (aAnswered) {
    m_storeHealth.OnAnswer(now, aTable);
  } else {
    m_storeHealth.OnFailure(now, aTable);
  }
  const bool down = m_storeHealth.IsSuspectedDown(now, aTable);
  m_log.WriteOnChange("store table '" + aTable + "'",
                      down ? "down" : "works",
                      down ? settings::LogLevel::Warn
                           : settings::LogLevel::Info,
                      "dependency",
                      {});
}

void
EdgeDaemon::ProbeJobTable()
{
  if (m_storeProbePending || !m_storeHealth.DownSince(pool::kJobTable)) {
    return;
  }
  m_storeProbePending = true;
  // Parts of the table fail independently, so each probe reads another one.
  m_probedPart = (m_probedPart + 1) % pool::kJobParts;
  m_store.ReadRow(
    pool::JobPartPrefix(m_probedPart) + "probe",
    kStoreProbeTimeout,
    [this](const platform::PageResult&) { m_storeProbePending = false; });
}

void
EdgeDaemon::OnSettingsChanged()
{
  m_log.Write(settings::LogLevel::Info, "settings_changed", {});
}

bool
EdgeDaemon::IsReady() const
{
  // A daemon that gets no responses from the store accepts no new callers.
  const Time now = net::Loop::Now();
  return !m_draining && m_config.HasConfig() &&
         !m_storeHealth.IsSuspectedDown(now, platform::kOperatorTable);
}

void
EdgeDaemon::HandleProbe(const net::HttpRequest&, const net::HttpReply& aReply)
{
  aReply(net::JsonResponse(IsReady() ? kOk : kUnavailable, "{}"));
}

void
EdgeDaemon::HandlePeer(const net::HttpRequest& aRequest,
                       const net::HttpReply& aReply)
{
  if (aRequest.m_path == kStatusPath) {
    HandleStatus(aRequest, aReply);
  } else if (aRequest.m_path == kAdvicePath) {
    HandleAdvice(aRequest, aReply);
  } else if (aRequest.m_path.starts_with(kStoreJobPath) ||
             aRequest.m_path.starts_with(kStoreCancelPath)) {
    m_front.StoreForPeer(aRequest, aReply);
  } else if (aRequest.m_path == kMetricsPath) {
    net::HttpResponse response;
    response.m_headers["Content-Type"] = "text/plain; version=0.0.4";
    response.m_body = m_metrics.Text();
    aReply(response);
  } else {
    HandleJob(aRequest, aReply);
  }
}

void
EdgeDaemon::HandleStatus(const net::HttpRequest& aRequest,
                         const net::HttpReply& aReply)
{
  if (const std::string leader = aRequest.Query("leader"); !leader.empty()) {
    m_leadership.OnLaterLeader({ leader,
                                 aRequest.Query("leader_address"),
                                 NumericQuery(aRequest, "incarnation"),
                                 NumericQuery(aRequest, "term"),
                                 {} });
  }
  const LeaderStatus status =
    m_leadership.OwnStatus(NumericQuery(aRequest, kCountsQuery) != 0);
  if (const auto relay = OfferedRelay(aRequest)) {
    m_leadership.OnRelaySeen(*relay);
  }
  const auto leader = m_leadership.Local();
  const auto address = TryDecode<net::Address>(
    [&] { return net::ParseAddress(aRequest.Query("address")); });
  if (leader && address) {
    leader->OnPeerStatusRequest(VmId(aRequest.Query("vm")), *address);
  }
  aReply(net::JsonResponse(kOk, EncodeStatus(status)));
}

void
EdgeDaemon::HandleJob(const net::HttpRequest& aRequest,
                      const net::HttpReply& aReply)
{
  const auto leader = m_leadership.Local();
  if (!leader) {
    aReply(net::JsonResponse(kMisdirected, "{}"));
    return;
  }
  const std::size_t slash = aRequest.m_path.rfind('/');
  const std::string kind = aRequest.m_path.substr(0, slash);
  const JobId id(aRequest.m_path.substr(slash + 1));
  if (kind == kCancelPath) {
    leader->CancelJob(
      id, pool::DecodeCancellation(aRequest.m_body), JobSource::Front);
    aReply(net::JsonResponse(kOk, "{}"));
    return;
  }
  if (kind == kJobsPath && aRequest.m_method == "POST") {
    const auto job = TryDecode<pool::Job>(
      [&] { return pool::DecodeJob(id, aRequest.m_body); });
    if (job) {
      leader->AddJob(
        *job, NumericQuery(aRequest, kRowVersionQuery), JobSource::Front);
    }
    aReply(net::JsonResponse(job ? kOk : kNotFound, "{}"));
    return;
  }
  const auto show = [aReply](const std::optional<JobView>& aView) {
    aReply(aView ? net::JsonResponse(kOk, EncodeJobView(*aView))
                 : net::JsonResponse(kNotFound, "{}"));
  };
  if (kind != kJobsPath) {
    show(std::nullopt);
    return;
  }
  const auto wait = milliseconds(static_cast<std::int64_t>(
    std::min(NumericQuery(aRequest, kWaitQuery),
             static_cast<std::uint64_t>(ToMilliseconds(kLongestEndWait)))));
  leader->AwaitView(id, wait, show);
}

void
EdgeDaemon::HandleAdvice(const net::HttpRequest& aRequest,
                         const net::HttpReply& aReply)
{
  const auto adviceRequest = TryDecode<pool::AdviceRequest>(
    [&] { return DecodeAdviceRequest(aRequest.m_body); });
  if (!adviceRequest || m_draining) {
    aReply(net::JsonResponse(kUnavailable, "{}"));
    return;
  }
  m_adviceClient.Ask(
    *adviceRequest, [aReply](const AdviceClient::Good& aPermissions) {
      aReply(aPermissions
               ? net::JsonResponse(kOk, EncodePermissions(*aPermissions))
               : net::JsonResponse(kUnavailable, "{}"));
    });
}

void
EdgeDaemon::BeginDrain()
{
  if (m_draining) {
    return;
  }
  m_draining = true;
  m_drainStart = net::Loop::Now();
  m_log.Write(settings::LogLevel::Info, "stop_begins", {});
  // The caller's next request reaches another daemon.
  m_callerServer.BeginClose(m_drainStart);
  m_leadership.Resign();
  m_relayServer.BeginStop();
  m_loop.Every(kDrainTick, [this] { TickDrain(); });
}

void
EdgeDaemon::TickDrain()
{
  const Time now = net::Loop::Now();
  const Duration passed = now - m_drainStart;
  const bool idle = passed > kRotationDelay && m_callerServer.TickClose(now) &&
                    m_callerServer.OpenRequests() == 0 &&
                    !m_leadership.IsWriting();
  const bool outOfTime = passed > m_settings.m_stopGrace - kKillMargin;
  if (idle || outOfTime) {
    m_log.Write(
      settings::LogLevel::Info,
      "stopped",
      { { "open_requests",
          static_cast<std::int64_t>(m_callerServer.OpenRequests()) } });
    m_loop.Stop();
  }
}

void
EdgeDaemon::LogState()
{
  if (const auto leader = m_leadership.Local()) {
    leader->LogState();
  }
}

} // namespace lacewing::edge
