#include "daemon/EntryDaemon.h"

#include "daemon/AppliedSettings.h"
#include "daemon/PeerPayloads.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace lacewing::daemon {

namespace {

using observe::Metric;

constexpr Duration kOwnershipPeriod = milliseconds(50);
constexpr Duration kAllotmentPeriod = milliseconds(200);
constexpr Duration kHeartbeatPeriod = milliseconds(500);
constexpr Duration kSlowPeriod = seconds(1);
constexpr Duration kVmListTimeout = seconds(1);
/// How long a drained slice is reported as free to its next owner.
constexpr int kDrainReports = 6;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
/// Requests beyond the present ones for which a team with traffic keeps an
/// allotment, so that the next request need not wait for the table.
constexpr int kRequestHeadroom = 4;
constexpr std::int64_t kMillicoresPerCore = 1000;

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

std::optional<std::uint64_t>
ParseNumber(const std::string& aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::set<VmId>
WorkersOf(const vmlist::Slice& aSlice)
{
  std::set<VmId> workers;
  if (aSlice.m_kind == vmlist::SliceKind::Workers) {
    for (const vmlist::Vm& vm : aSlice.m_vms) {
      workers.insert(vm.m_vm);
    }
  }
  return workers;
}

ownership::VmListView
ToView(Time aAsked,
       const std::vector<vmlist::Vm>& aVms,
       const std::map<SliceId, vmlist::Slice>& aSlices)
{
  ownership::VmListView view;
  view.m_asked = aAsked;
  for (const vmlist::Vm& vm : aVms) {
    if (vm.m_kind == vmlist::VmKind::Entry) {
      view.m_entryVms.insert(vm.m_vm);
    }
  }
  for (const auto& [id, slice] : aSlices) {
    view.m_slices.push_back({ id, slice.m_region, WorkersOf(slice) });
  }
  return view;
}

/// Begins the names of teams among the busy counts in a slice's row.
constexpr std::string_view kTeamCountPrefix = "team:";

std::map<std::string, std::int64_t>
ToRowCounts(const routing::BusyCounts& aCounts)
{
  std::map<std::string, std::int64_t> busy;
  for (const auto& [vm, count] : aCounts.m_byEndpoint) {
    busy[vm.Value()] = count;
  }
  for (const auto& [team, count] : aCounts.m_byTeam) {
    busy[std::string(kTeamCountPrefix) + team.Value()] = count;
  }
  return busy;
}

routing::BusyCounts
FromRowCounts(const std::map<std::string, std::int64_t>& aRow)
{
  routing::BusyCounts counts;
  for (const auto& [name, count] : aRow) {
    const int slots = static_cast<int>(count);
    if (name.starts_with(kTeamCountPrefix)) {
      counts.m_byTeam[TeamId(name.substr(kTeamCountPrefix.size()))] = slots;
    } else {
      counts.m_byEndpoint[VmId(name)] = slots;
    }
  }
  return counts;
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
EntryDaemon::HandleCaller(const net::HttpRequest& aRequest,
                          const net::HttpReply& aReply)
{
  if (RouteProbe(aRequest, aReply)) {
    return;
  }
  leaf::try_handle_all(
    [&] { return Route(aRequest, aReply); },
    [&](const Error& aError) { aReply(net::ErrorResponse(aError)); },
    [&] { aReply(net::ErrorResponse({})); });
}

bool
EntryDaemon::RouteProbe(const net::HttpRequest& aRequest,
                        const net::HttpReply& aReply)
{
  if (aRequest.m_path == "/healthz") {
    aReply(net::JsonResponse(kOk, "{}"));
    return true;
  }
  if (aRequest.m_path == "/readyz") {
    aReply(net::JsonResponse(IsReady() ? kOk : kUnavailable, "{}"));
    return true;
  }
  if (aRequest.m_path == "/metrics") {
    net::HttpResponse response;
    response.m_headers["Content-Type"] = "text/plain; version=0.0.4";
    response.m_body = m_runtime.Metrics().Text();
    aReply(response);
    return true;
  }
  return false;
}

bool
EntryDaemon::IsReady() const
{
  return !m_stopping && m_membership.Machine().IsActive() &&
         m_settings.Store().Ready() && !m_slices.empty();
}

Result<void>
EntryDaemon::Route(const net::HttpRequest& aRequest,
                   const net::HttpReply& aReply)
{
  if (OperatorApi::Handles(aRequest)) {
    return m_operators.Serve(aRequest, aReply);
  }
  if (!m_settings.Store().Ready()) {
    return Fail(Verdict::NotRun,
                ErrorCode::Unavailable,
                "this entry daemon is starting and has no settings yet");
  }
  const auto parts = aRequest.PathParts();
  const bool isV1 = parts.size() >= 2 && parts[0] == "v1";
  if (isV1 && parts[1] == "services" && parts.size() == 4 &&
      aRequest.m_method == "POST") {
    return m_requests.Serve(aRequest, aReply);
  }
  if (isV1 && parts[1] == "jobs") {
    return RouteJob(aRequest, aReply);
  }
  return Fail(Verdict::NotRun,
              ErrorCode::NotFound,
              "no such path: " + aRequest.m_method + " " + aRequest.m_path);
}

Result<void>
EntryDaemon::RouteJob(const net::HttpRequest& aRequest,
                      const net::HttpReply& aReply)
{
  const auto parts = aRequest.PathParts();
  const std::string& method = aRequest.m_method;
  if (parts.size() == 2 && method == "POST") {
    return m_jobs.Submit(aRequest, aReply);
  }
  if (parts.size() == 3 && method == "GET") {
    return m_jobs.Ask(aRequest, JobQuestion::Status, aReply);
  }
  if (parts.size() == 3 && method == "DELETE") {
    return m_jobs.Ask(aRequest, JobQuestion::Cancel, aReply);
  }
  if (parts.size() == 4 && parts[3] == "explain") {
    return m_jobs.Ask(aRequest, JobQuestion::Explain, aReply);
  }
  if (parts.size() == 4 && parts[3] == "run-again" && method == "POST") {
    return m_jobs.Ask(aRequest, JobQuestion::RunAgain, aReply);
  }
  if (parts.size() == 4 && parts[3] == "give-up" && method == "POST") {
    return m_jobs.Ask(aRequest, JobQuestion::GiveUp, aReply);
  }
  return Fail(Verdict::NotRun,
              ErrorCode::NotFound,
              "no such path: " + method + " " + aRequest.m_path);
}

void
EntryDaemon::HandlePeer(const peer::PeerIdentity& aFrom,
                        const peer::PeerMessage& aMessage,
                        const peer::PeerReply& aReply)
{
  if (const auto* opaque = std::get_if<peer::Opaque>(&aMessage)) {
    HandleOpaque(aFrom.m_vm, *opaque);
    aReply(peer::Acknowledgement());
  } else if (const auto* beat = std::get_if<peer::Heartbeat>(&aMessage)) {
    m_loads.OnHeartbeat(net::Loop::Now(), *beat);
    for (const peer::ReleasedSlice& released : beat->m_released) {
      const auto owner = m_serviceOwners.find(released.m_slice);
      if (owner != m_serviceOwners.end()) {
        owner->second->OnEarlierOwner(released);
      }
    }
    aReply(peer::Acknowledgement());
  } else if (const auto* forward =
               std::get_if<peer::ForwardRequest>(&aMessage)) {
    HandleForward(aFrom, *forward, aReply);
  } else if (const auto* submit = std::get_if<peer::SubmitJob>(&aMessage)) {
    aReply(m_jobs.OnSubmitJob(*submit));
  } else if (const auto* query = std::get_if<peer::QueryJob>(&aMessage)) {
    aReply(m_jobs.OnQuestion(query->m_body));
  } else {
    aReply(peer::Refusal{ { Verdict::NotRun,
                            ErrorCode::BadInput,
                            "no daemon handles messages of this kind" } });
  }
}

void
EntryDaemon::HandleOpaque(const VmId& aFrom, const peer::Opaque& aMessage)
{
  leaf::try_handle_all(
    [&]() -> Result<void> {
      if (aMessage.m_kind == kOwnershipKind) {
        BOOST_LEAF_AUTO(message, UnpackOwnership(aMessage.m_text));
        m_membership.OnPeerMessage(aFrom, message);
      } else if (aMessage.m_kind == kSettingsKind) {
        BOOST_LEAF_AUTO(message, UnpackSettings(aMessage.m_text));
        m_settings.OnPeerMessage(aFrom, message);
      } else {
        m_runtime.Metrics().Add(Metric::PeerRefusals, { "unknown_kind" });
      }
      return {};
    },
    [&] {
      m_runtime.Metrics().Add(Metric::PeerRefusals, { "malformed_payload" });
    });
}

void
EntryDaemon::HandleForward(const peer::PeerIdentity& aFrom,
                           const peer::ForwardRequest& aMessage,
                           const peer::PeerReply& aReply)
{
  const auto owner = m_serviceOwners.find(aMessage.m_slice);
  if (owner == m_serviceOwners.end() ||
      !m_membership.Machine().MayAct(net::Loop::Now(), aMessage.m_slice)) {
    aReply(peer::Refusal{
      { Verdict::NotRun,
        ErrorCode::NotOwner,
        "slice " + aMessage.m_slice.Value() + " is not owned here" } });
    return;
  }
  const auto number = ParseNumber(aMessage.m_requestId);
  if (!number) {
    aReply(peer::Refusal{
      { Verdict::NotRun,
        ErrorCode::BadInput,
        "request id '" + aMessage.m_requestId + "' is not a number" } });
    return;
  }
  OwnedRequest owned;
  owned.m_request.m_id = { aFrom.m_vm, aFrom.m_incarnation, *number };
  owned.m_request.m_team = aMessage.m_team;
  owned.m_request.m_class = aMessage.m_class;
  owned.m_request.m_deadline = net::Loop::Now() + aMessage.m_remaining;
  owned.m_request.m_idempotent = aMessage.m_idempotent;
  owned.m_method = aMessage.m_method;
  owned.m_body = aMessage.m_body;
  owner->second->Admit(owned, [aReply](const routing::OwnerReply& aOwnerReply) {
    aReply(ToPeerAnswer(aOwnerReply));
  });
}

void
EntryDaemon::PollVmList()
{
  if (net::Loop::Now() >= m_nextVmListPoll) {
    PollVmListNow();
  }
}

void
EntryDaemon::PollVmListNow()
{
  const Time asked = net::Loop::Now();
  m_nextVmListPoll =
    asked + m_settings.Tree().Milliseconds("vm_list", "poll_ms");
  m_runtime.VmList().Fetch(
    kVmListTimeout,
    [this, asked](const std::optional<std::vector<vmlist::Vm>>& aVms) {
      if (aVms) {
        TakeVmList(asked, *aVms);
      }
    });
}

void
EntryDaemon::TakeVmList(Time aAsked, const std::vector<vmlist::Vm>& aVms)
{
  auto vms = aVms;
  FillEndpointBounds(m_settings.Tree(), vms);
  m_slices = vmlist::DivideIntoSlices(vms, {});
  m_membership.OnVmList(ToView(aAsked, aVms, m_slices));
  for (const auto& [id, owner] : m_workerOwners) {
    const auto slice = m_slices.find(id);
    if (slice != m_slices.end()) {
      owner->UpdateWorkers(slice->second.m_vms);
    }
  }
  for (const auto& [id, owner] : m_serviceOwners) {
    const auto slice = m_slices.find(id);
    owner->UpdateEndpoints(slice == m_slices.end() ? std::vector<vmlist::Vm>()
                                                   : slice->second.m_vms);
  }
}

void
EntryDaemon::OnOwnershipEvent(const ownership::OwnershipEvent& aEvent)
{
  using ownership::EventKind;
  // One comes with each renewal of each worker; the slice's owner records the
  // first one.
  if (aEvent.m_kind != EventKind::WorkerAdopted) {
    RecordOwnershipEvent(aEvent);
  }
  switch (aEvent.m_kind) {
    case EventKind::SliceClaimed:
      Claim(aEvent.m_slice, aEvent.m_epoch);
      break;
    case EventKind::SliceOpened: {
      const auto owner = m_workerOwners.find(aEvent.m_slice);
      if (owner != m_workerOwners.end()) {
        owner->second->OnOpened();
      }
      break;
    }
    case EventKind::SliceLost:
      DropSlice(aEvent.m_slice);
      break;
    case EventKind::WorkerLost: {
      const auto owner = m_workerOwners.find(aEvent.m_slice);
      if (owner != m_workerOwners.end()) {
        owner->second->OnWorkerLost(aEvent.m_worker);
      }
      break;
    }
    case EventKind::VmListWanted:
      PollVmListNow();
      break;
    case EventKind::Stopped:
      m_stopped = true;
      break;
    case EventKind::BecameActive:
    case EventKind::AuthorityEnded:
    case EventKind::Deposed:
    case EventKind::WorkerAdopted:
      break;
  }
}

void
EntryDaemon::RecordOwnershipEvent(const ownership::OwnershipEvent& aEvent)
{
  observe::Event event;
  event.m_kind = observe::EventKind::MemberState;
  event.m_vm = aEvent.m_worker;
  event.m_detail = std::string(NameOf(aEvent.m_kind)) + " " +
                   aEvent.m_slice.Value() + " epoch " +
                   std::to_string(aEvent.m_epoch);
  m_runtime.Record(std::move(event));
}

void
EntryDaemon::Claim(const SliceId& aSlice, Epoch aEpoch)
{
  const auto slice = m_slices.find(aSlice);
  if (slice == m_slices.end()) {
    return;
  }
  m_runtime.Metrics().Add(Metric::OwnershipChanges, { "claimed" });
  if (slice->second.m_kind == vmlist::SliceKind::Workers) {
    ClaimWorkers(slice->second, aEpoch);
  } else {
    ClaimService(slice->second, aEpoch);
  }
  ApplyTeams();
}

void
EntryDaemon::ClaimWorkers(const vmlist::Slice& aSlice, Epoch aEpoch)
{
  const SliceId id = aSlice.m_id;
  SliceAuthority authority;
  authority.m_mayAct = [this, id] {
    return m_membership.Machine().MayAct(net::Loop::Now(), id);
  };
  authority.m_workerToken = [this, id](const VmId& aWorker) {
    return m_membership.Machine().WorkerToken(id, aWorker);
  };
  authority.m_onReply = [this, id](const VmId& aWorker,
                                   const worker::ControlReply& aReply) {
    m_membership.OnWorkerReply(id, aWorker, aReply);
  };
  auto owner = std::make_shared<WorkerSliceOwner>(
    m_runtime, id, aEpoch, authority, SchedulerOptionsOf(m_settings.Tree()));
  m_workerOwners[id] = owner;
  owner->UpdateWorkers(aSlice.m_vms);
  owner->LoadJobs();
}

void
EntryDaemon::ClaimService(const vmlist::Slice& aSlice, Epoch aEpoch)
{
  auto owner = std::make_shared<ServiceSliceOwner>(
    m_runtime, aSlice.m_id, aEpoch, routing::RouterOptions());
  owner->SetTuning(RouterTuningOf(m_settings.Tree()));
  m_serviceOwners[aSlice.m_id] = owner;
  const auto& machine = m_membership.Machine();
  owner->SetAuthorityEnd(machine.Authority(net::Loop::Now()));
  if (machine.WasPlannedHandover(aSlice.m_id)) {
    owner->Adopt(FromRowCounts(machine.InheritedBusy(aSlice.m_id)));
  }
  owner->UpdateEndpoints(aSlice.m_vms);
}

void
EntryDaemon::DropSlice(const SliceId& aSlice)
{
  m_runtime.Metrics().Add(Metric::OwnershipChanges, { "lost" });
  m_workerOwners.erase(aSlice);
  auto service = m_serviceOwners.extract(aSlice);
  if (!service.empty()) {
    service.mapped()->BeginDrain();
    m_draining.push_back({ service.mapped(), kDrainReports });
  }
}

void
EntryDaemon::ApplyTeams()
{
  const auto& tree = m_settings.Tree();
  for (const TeamId& team : tree.Teams()) {
    const auto settings = tree.Team(team);
    if (!settings) {
      continue;
    }
    for (const auto& [id, owner] : m_workerOwners) {
      owner->SetTeam(team, *settings);
    }
    for (const auto& [id, owner] : m_serviceOwners) {
      owner->SetTeam(team, *settings);
    }
  }
}

void
EntryDaemon::OnSettingsInForce(const settings::InForceEffect& aEffect)
{
  if (aEffect.m_subtree == settings::kSystemSubtree) {
    ApplySystem();
  }
  if (aEffect.m_subtree.starts_with(settings::kTeamPrefix)) {
    m_limits.OnTeamChanged(
      TeamId(aEffect.m_subtree.substr(settings::kTeamPrefix.size())));
    ApplyTeams();
  }
}

void
EntryDaemon::ApplySystem()
{
  const auto& tree = m_settings.Tree();
  m_settings.ApplyTimings();
  const RecordBudget budget = RecordBudgetOf(tree);
  m_runtime.Table().SetRecordBudget(budget.m_writesPerSecond,
                                    budget.m_maxBatch);
  m_runtime.Timeline().SetMaxBytes(TimelineBytes(tree));
  auto& machine = m_membership.Machine();
  machine.SetAllotmentTimings(AllotmentTimingsOf(tree));
  machine.SetGonePolls(GonePolls(tree));
  const routing::RouterTuning tuning = RouterTuningOf(tree);
  for (const auto& [id, owner] : m_serviceOwners) {
    owner->SetTuning(tuning);
  }
  // The next poll applies the bounds of endpoints, and starts the new period.
  m_nextVmListPoll = Time::min();
}

void
EntryDaemon::TickOwnership()
{
  PollVmList();
  auto& machine = m_membership.Machine();
  for (const auto& [id, owner] : m_serviceOwners) {
    machine.SetBusy(id, ToRowCounts(owner->CountBusy()));
  }
  machine.SetOpenRequests(m_requests.OpenCalls() + RunningRequests());
  m_membership.Tick();
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

void
EntryDaemon::SendHeartbeats()
{
  const peer::Heartbeat beat = OwnHeartbeat();
  m_loads.OnHeartbeat(net::Loop::Now(), beat);
  for (const MemberInfo& member : m_membership.Members()) {
    if (member.m_vm != m_runtime.Self()) {
      m_membership.Notify(member.m_vm, beat);
    }
  }
  for (Draining& draining : m_draining) {
    if (draining.m_owner->IsDrained()) {
      --draining.m_reportsLeft;
    }
  }
}

peer::Heartbeat
EntryDaemon::OwnHeartbeat() const
{
  peer::Heartbeat beat;
  beat.m_vm = m_runtime.Self();
  beat.m_incarnation = m_runtime.ProcessIncarnation();
  beat.m_settingsVersion = m_settings.Store().Fleet();
  std::map<TeamId, peer::TeamUsage> teams;
  for (const auto& [id, owner] : m_workerOwners) {
    std::int64_t waiting = 0;
    for (const sched::TeamUsage& usage : owner->Usages()) {
      peer::TeamUsage& team = teams[usage.m_team];
      team.m_millicores += usage.m_runningMillicores;
      team.m_waitingMillicores += usage.m_waitingMillicores;
      waiting += usage.m_waitingMillicores;
    }
    const auto capacity =
      std::max<std::int64_t>(owner->CapacityMillicores(), 1);
    const auto free = owner->FreeMillicores();
    beat.m_slices.push_back(
      { id,
        1.0 - static_cast<double>(free) / static_cast<double>(capacity),
        free,
        static_cast<std::uint64_t>(waiting / kMillicoresPerCore) });
  }
  for (const auto& [id, owner] : m_serviceOwners) {
    beat.m_slices.push_back({ id, owner->Load(), 0, owner->QueuedCount() });
    for (const TeamId& team : m_settings.Tree().Teams()) {
      teams[team].m_requests +=
        static_cast<std::uint64_t>(owner->RunningOf(team));
    }
  }
  beat.m_teams = UsagesToTell(teams);
  for (const Draining& draining : m_draining) {
    // Reported once nothing is left: partial counts would not tell the next
    // owner which teams the remaining requests belong to.
    peer::ReleasedSlice released = draining.m_owner->Remaining();
    if (released.m_busy.empty()) {
      beat.m_released.push_back(std::move(released));
    }
  }
  return beat;
}

void
EntryDaemon::UpdateMetrics()
{
  auto& metrics = m_runtime.Metrics();
  metrics.Set(
    Metric::SlicesOwned,
    static_cast<double>(m_workerOwners.size() + m_serviceOwners.size()));
  std::size_t queued = 0;
  for (const auto& [id, owner] : m_serviceOwners) {
    queued += owner->QueuedCount();
  }
  metrics.Set(
    Metric::RequestQueueLength, static_cast<double>(queued), { "all" });
  WaitingTasks waiting;
  for (const auto& [id, owner] : m_workerOwners) {
    const WaitingTasks here = owner->CountWaiting();
    waiting.m_urgent += here.m_urgent;
    waiting.m_other += here.m_other;
  }
  metrics.Set(Metric::TaskQueueLength,
              static_cast<double>(waiting.m_urgent),
              { "urgent" });
  metrics.Set(
    Metric::TaskQueueLength, static_cast<double>(waiting.m_other), { "other" });
  const std::uint64_t dropped = m_runtime.Timeline().Dropped();
  metrics.Add(Metric::TimelineDropped,
              {},
              static_cast<double>(dropped - m_droppedCounted));
  m_droppedCounted = dropped;
}

void
EntryDaemon::LogState()
{
  const bool ready = IsReady();
  m_runtime.Log().WriteOnChange("readiness",
                                ready ? "ready" : "not_ready",
                                settings::LogLevel::Info,
                                "readiness",
                                { { "ready", ready } });
  const bool down = m_membership.Machine().IsTableDown(net::Loop::Now());
  m_runtime.Log().WriteOnChange("table",
                                down ? "down" : "up",
                                down ? settings::LogLevel::Warn
                                     : settings::LogLevel::Info,
                                "table_state",
                                { { "down", down } });
}

} // namespace lacewing::daemon
