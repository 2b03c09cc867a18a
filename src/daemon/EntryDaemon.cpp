#include "daemon/EntryDaemon.h"

#include "daemon/BusyRows.h"

#include <algorithm>

namespace lacewing::daemon {

namespace {

constexpr Duration kOwnershipPeriod = milliseconds(50);
constexpr Duration kAllotmentPeriod = milliseconds(200);
constexpr Duration kHeartbeatPeriod = milliseconds(500);
constexpr Duration kSlowPeriod = seconds(1);
/// The sweep of old rows is off until its fault matrix has run.
constexpr bool kSweepsRequests = false;
/// How often the sweep of old rows looks whether its next step is due.
constexpr Duration kExpiryPeriod = milliseconds(100);
/// From the loss of a member to the next reading of job rows; by then its last
/// writes have taken effect or never will.
constexpr Duration kRereadDelay = seconds(3);
/// Requests beyond the present ones for which a team with traffic keeps an
/// allotment, so that the next request need not wait for the table.
constexpr int kRequestHeadroom = 4;

peer::HandshakeConfig
HandshakeOf(const Runtime& aRuntime,
            const settings::Bootstrap& aConfig,
            const std::string& aSecret)
{
  peer::HandshakeConfig config;
  config.m_cluster = aConfig.m_cluster;
  config.m_secret = aSecret;
  config.m_self = { aConfig.m_vm, aRuntime.ProcessIncarnation() };
  return config;
}

peer::PeerClientOptions
ClientOptions(Runtime& aRuntime, const std::string& aSecret)
{
  peer::PeerClientOptions options;
  options.m_handshake = HandshakeOf(aRuntime, aRuntime.Config(), aSecret);
  options.m_jitterSeed = aRuntime.Random();
  return options;
}

peer::PeerServerOptions
ServerOptions(const Runtime& aRuntime,
              const settings::Bootstrap& aConfig,
              const std::string& aSecret)
{
  peer::PeerServerOptions options;
  options.m_handshake = HandshakeOf(aRuntime, aConfig, aSecret);
  return options;
}

RowAccess
ExpiryAccess(Runtime& aRuntime)
{
  RowAccess access;
  access.m_fetch = [&aRuntime](const table::Read& aRead,
                               table::ReadDone aDone) {
    aRuntime.Table().Fetch("expiry", aRead, std::move(aDone));
  };
  access.m_write = [&aRuntime](table::RecordWrite aWrite, RecordDone aDone) {
    aRuntime.Table().WriteRecord(std::move(aWrite), std::move(aDone));
  };
  access.m_now = &net::Loop::Now;
  access.m_wallMicros = &WallMicros;
  return access;
}

} // namespace

EntryDaemon::EntryDaemon(net::Loop& aLoop,
                         const settings::Bootstrap& aBootstrap,
                         const std::string& aClusterSecret)
  : m_runtime(aLoop, aBootstrap)
  , m_peerClient(aLoop, ClientOptions(m_runtime, aClusterSecret))
  , m_membership(
      m_runtime,
      m_peerClient,
      { [this](const auto& aEvent) { OnOwnershipEvent(aEvent); },
        [this](const ownership::WorkerSend& aSend) {
          const auto owner = m_workerOwners.find(aSend.m_request.m_slice);
          if (owner != m_workerOwners.end()) {
            owner->second->SendControl(aSend.m_worker, aSend.m_request);
          }
        },
        [this] { return m_settings.GivePromise(); },
        [this](Time aSentAt, const VmId& aFrom, const auto& aPromise) {
          m_settings.OnPromise(aSentAt, aFrom, aPromise);
        } })
  , m_settings(m_runtime,
               m_membership,
               [this](const auto& aEffect) { OnSettingsInForce(aEffect); })
  , m_requests({ m_runtime, m_membership, m_settings, m_loads, m_slices },
               [this](const SliceId& aSlice) -> ServiceSliceOwner* {
                 const auto owner = m_serviceOwners.find(aSlice);
                 return owner == m_serviceOwners.end() ? nullptr
                                                       : owner->second.get();
               })
  , m_jobs({ m_runtime, m_membership, m_settings, m_loads, m_slices },
           [this](const SliceId& aSlice) {
             const auto owner = m_workerOwners.find(aSlice);
             return owner == m_workerOwners.end() ? nullptr : owner->second;
           })
  , m_operators({ m_runtime, m_membership, m_settings, m_loads, m_slices },
                [this] { BeginDrain(); })
  , m_limits({ m_runtime, m_membership, m_settings, m_loads, m_slices })
  , m_expiry(std::make_shared<RequestExpiry>(
      ExpiryAccess(m_runtime),
      [this](std::string_view aKind) {
        m_runtime.Metrics().Add(observe::Metric::RowsExpired, { aKind });
      }))
  , m_callerServer(
      aLoop,
      {},
      [this](const net::HttpRequest& aRequest, const net::HttpReply& aReply) {
        HandleCaller(aRequest, aReply);
      })
  , m_peerServer(aLoop,
                 ServerOptions(m_runtime, aBootstrap, aClusterSecret),
                 [this](const peer::PeerIdentity& aFrom,
                        const peer::PeerMessage& aMessage,
                        const peer::PeerReply& aReply) {
                   HandlePeer(aFrom, aMessage, aReply);
                 })
  , m_loopLag(aLoop, m_runtime.Metrics())
{
}

Result<void>
EntryDaemon::Start()
{
  BOOST_LEAF_CHECK(m_peerServer.Listen(m_runtime.Config().m_peers));
  BOOST_LEAF_CHECK(m_callerServer.Listen(m_runtime.Config().m_callers));
  net::Loop& loop = m_runtime.Loop();
  PollVmList();
  m_settings.Start();
  loop.Every(kOwnershipPeriod, [this] { TickOwnership(); });
  m_runtime.SetOwnerTick([this] { TickOwners(); });
  loop.Every(kAllotmentPeriod, [this] { TickAllotments(); });
  loop.Every(kHeartbeatPeriod, [this] { SendHeartbeats(); });
  if constexpr (kSweepsRequests) {
    loop.Every(kExpiryPeriod, [this] { TickExpiry(); });
  }
  loop.Every(kSlowPeriod, [this] {
    PollVmList();
    m_jobs.Tick();
    m_limits.Tick();
    UpdateMetrics();
    LogState();
  });
  return {};
}

void
EntryDaemon::BeginDrain()
{
  if (!m_stopping) {
    m_stopping = true;
    m_membership.RequestShutdown();
  }
}

void
EntryDaemon::TickOwnership()
{
  PollVmList();
  auto& machine = m_membership.Machine();
  for (const auto& [id, owner] : m_serviceOwners) {
    machine.SetBusy(id, ToRowCounts(owner->CountBusy()));
  }
  machine.SetOpenRequests(m_requests.OpenCalls() + m_jobs.Unfinished() +
                          RunningRequests());
  m_membership.Tick();
  RereadJobsOfLostFronts();
  const Time now = net::Loop::Now();
  for (const auto& [id, owner] : m_serviceOwners) {
    if (!machine.MayAct(now, id)) {
      owner->SetAuthorityEnd(now);
    } else {
      owner->SetAuthorityEnd(machine.Authority(now));
    }
  }
  m_settings.Tick();
  m_runtime.Table().SetMembers(
    std::max<int>(static_cast<int>(m_membership.Members().size()), 1));
  TickDrain();
}

/// A front that ends between writing a job's row and telling its owner leaves a
/// job that nobody knows. The owners find it in the table.
void
EntryDaemon::RereadJobsOfLostFronts()
{
  std::map<VmId, Incarnation> members;
  for (const MemberInfo& member : m_membership.Members()) {
    members[member.m_vm] = member.m_incarnation;
  }
  const bool lost =
    std::ranges::any_of(m_knownMembers, [&](const auto& aKnown) {
      const auto found = members.find(aKnown.first);
      return found == members.end() || found->second != aKnown.second;
    });
  m_knownMembers = std::move(members);
  if (!lost) {
    return;
  }
  m_runtime.Loop().After(kRereadDelay, [this] {
    for (const auto& [id, owner] : m_workerOwners) {
      owner->RereadJobs();
    }
  });
}

void
EntryDaemon::TickExpiry()
{
  if (m_stopping || !m_expiry->IsDue() ||
      m_membership.Machine().IsTableDown(net::Loop::Now())) {
    return;
  }
  std::vector<VmId> active;
  for (const MemberInfo& member : m_membership.Members()) {
    if (member.m_state == ownership::MemberState::Active) {
      active.push_back(member.m_vm);
    }
  }
  m_expiry->Tick(
    ShareOfSweeps(m_runtime.Self(), active, m_settings.Tree().Teams()));
}

std::size_t
EntryDaemon::RunningRequests() const
{
  std::size_t count = 0;
  for (const auto& [id, owner] : m_serviceOwners) {
    count += owner->RunningCount();
  }
  for (const Draining& draining : m_draining) {
    count += draining.m_owner->RunningCount();
  }
  return count;
}

void
EntryDaemon::TickOwners()
{
  for (const auto& [id, owner] : m_workerOwners) {
    owner->Tick();
  }
  for (const auto& [id, owner] : m_serviceOwners) {
    owner->Tick();
  }
  for (const Draining& draining : m_draining) {
    draining.m_owner->Tick();
  }
  m_requests.Tick();
}

void
EntryDaemon::TickAllotments()
{
  for (const auto& [id, owner] : m_workerOwners) {
    TickWorkerAllotment(*owner);
  }
  for (const auto& [id, owner] : m_serviceOwners) {
    TickServiceAllotment(*owner);
  }
}

void
EntryDaemon::TickWorkerAllotment(WorkerSliceOwner& aOwner)
{
  auto& machine = m_membership.Machine();
  const Time now = net::Loop::Now();
  std::map<ownership::LimitId, ownership::Demand> demands;
  for (const sched::TeamUsage& usage : aOwner.Usages()) {
    const auto settings = m_settings.Tree().Team(usage.m_team);
    if (!settings || !settings->m_limitMillicores) {
      continue;
    }
    const ownership::LimitId limit{ usage.m_team,
                                    ownership::LimitUnit::Millicores };
    demands[limit] = { usage.m_runningMillicores, usage.m_waitingMillicores };
    aOwner.SetAllotment(usage.m_team, machine.Allotment(aOwner.Id(), limit));
  }
  machine.SetDemands(now, aOwner.Id(), demands);
}

void
EntryDaemon::TickServiceAllotment(ServiceSliceOwner& aOwner)
{
  auto& machine = m_membership.Machine();
  const Time now = net::Loop::Now();
  std::map<ownership::LimitId, ownership::Demand> demands;
  for (const TeamId& team : m_settings.Tree().Teams()) {
    const auto settings = m_settings.Tree().Team(team);
    if (!settings || !settings->m_limitRequests) {
      continue;
    }
    const ownership::LimitId limit{ team, ownership::LimitUnit::Requests };
    const int running = aOwner.RunningOf(team);
    const int waiting = aOwner.WaitingOf(team);
    const int headroom = running + waiting > 0 ? kRequestHeadroom : 0;
    demands[limit] = { running, waiting + headroom };
    aOwner.SetAllotment(team, machine.Allotment(aOwner.Id(), limit));
  }
  machine.SetDemands(now, aOwner.Id(), demands);
}

void
EntryDaemon::TickDrain()
{
  std::erase_if(m_draining, [](const Draining& aDraining) {
    return aDraining.m_owner->IsDrained() && aDraining.m_reportsLeft <= 0;
  });
  if (m_stopped && m_requests.OpenCalls() == 0) {
    m_runtime.Loop().Stop();
  }
}

} // namespace lacewing::daemon
