#include "daemon/EntryDaemon.h"

#include "daemon/BusyRows.h"

#include <algorithm>

namespace lacewing::daemon {

namespace {

constexpr Duration kOwnershipPeriod = milliseconds(50);
constexpr Duration kAllotmentPeriod = milliseconds(200);
constexpr Duration kSuspectPeriod = milliseconds(250);
constexpr Duration kSlowPeriod = seconds(1);
/// How often the sweep of old rows looks whether its next step is due.
constexpr Duration kExpiryPeriod = milliseconds(100);
/// From the loss of a member to the next reading of job rows; by then its last
/// writes have taken effect or never will.
constexpr Duration kRereadDelay = seconds(3);
/// After the last slice is given away, the answers of non-idempotent requests
/// are stored until this time has passed.
constexpr Duration kSettleBound = seconds(5);
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

peer::ByteCounter
CountBytes(Runtime& aRuntime, peer::WireBytes& aMessages)
{
  return [&metrics = aRuntime.Metrics(),
          &aMessages](std::string_view aKind,
                      peer::ByteDirection aDirection,
                      std::size_t aBytes) {
    (aDirection == peer::ByteDirection::Sent ? aMessages.m_sent
                                             : aMessages.m_received) += aBytes;
    metrics.Add(
      observe::Metric::PeerBytes,
      { aKind, aDirection == peer::ByteDirection::Sent ? "sent" : "received" },
      static_cast<double>(aBytes));
  };
}

peer::PeerClientOptions
ClientOptions(Runtime& aRuntime,
              const std::string& aSecret,
              peer::WireBytes& aMessages)
{
  peer::PeerClientOptions options;
  options.m_handshake = HandshakeOf(aRuntime, aRuntime.Config(), aSecret);
  options.m_jitterSeed = aRuntime.Random();
  options.m_countBytes = CountBytes(aRuntime, aMessages);
  return options;
}

peer::PeerServerOptions
ServerOptions(Runtime& aRuntime,
              const settings::Bootstrap& aConfig,
              const std::string& aSecret,
              peer::WireBytes& aMessages)
{
  peer::PeerServerOptions options;
  options.m_handshake = HandshakeOf(aRuntime, aConfig, aSecret);
  options.m_countBytes = CountBytes(aRuntime, aMessages);
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
  , m_peerClient(aLoop,
                 ClientOptions(m_runtime, aClusterSecret, m_messageBytes))
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
  , m_peerServer(
      aLoop,
      ServerOptions(m_runtime, aBootstrap, aClusterSecret, m_messageBytes),
      [this](const peer::PeerIdentity& aFrom,
             const peer::PeerMessage& aMessage,
             const peer::PeerReply& aReply) {
        HandlePeer(aFrom, aMessage, aReply);
      })
  , m_loopLag(aLoop, [this](Duration aLag) {
    m_runtime.Metrics().Observe(observe::Metric::LoopLagSeconds,
                                std::chrono::duration<double>(aLag).count());
  })
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
  loop.Every(kHeartbeatTick, [this] { SendHeartbeats(); });
  loop.Every(kSuspectPeriod, [this] { m_requests.LeaveSuspectOwners(); });
  loop.Every(kExpiryPeriod, [this] { TickExpiry(); });
  loop.Every(kSlowPeriod, [this] {
    PollVmList();
    m_jobs.Tick();
    MoveWaitingJobs();
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
EntryDaemon::BeginClose()
{
  const Time now = net::Loop::Now();
  m_stopped = true;
  m_settleEnd = now + kSettleBound;
  m_callerServer.BeginClose(now);
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

/// Slices of workers other than the given one, as far as a fresh heartbeat
/// tells their load.
std::vector<sched::MoveTarget>
EntryDaemon::MoveTargets(const SliceId& aFrom) const
{
  const Time now = net::Loop::Now();
  std::vector<sched::MoveTarget> targets;
  for (const auto& [id, slice] : m_slices) {
    if (slice.m_kind != vmlist::SliceKind::Workers || id == aFrom) {
      continue;
    }
    const VmId owner = m_membership.Machine().OwnerOf(id);
    const auto load = m_loads.Find(now, owner, id);
    if (!load) {
      continue;
    }
    sched::MoveTarget target;
    target.m_slice = id;
    target.m_region = slice.m_region;
    target.m_freeMillicores = m_loads.FreeMillicores(now, owner, id);
    target.m_queueLength = load->m_queueLength;
    for (const vmlist::Vm& vm : slice.m_vms) {
      if (vm.m_state != vmlist::VmState::Leaving) {
        target.m_workers.push_back(vm.m_capacity);
      }
    }
    targets.push_back(std::move(target));
  }
  return targets;
}

void
EntryDaemon::MoveWaitingJobs()
{
  if (m_stopping) {
    return;
  }
  for (const auto& [id, owner] : m_workerOwners) {
    const auto slice = m_slices.find(id);
    if (slice != m_slices.end()) {
      owner->MoveWaitingJobs(
        slice->second.m_region,
        [this, from = id] { return MoveTargets(from); },
        [this](const SliceId& aTo, std::int64_t aMillicores) {
          m_loads.OnJobSent(net::Loop::Now(), aTo, aMillicores);
        });
    }
  }
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
  const Time now = net::Loop::Now();
  if (m_stopped && m_requests.OpenCalls() == 0 &&
      m_callerServer.TickClose(now) &&
      (m_requests.UnsettledCalls() == 0 || now >= m_settleEnd)) {
    m_runtime.Loop().Stop();
  }
}

} // namespace lacewing::daemon
