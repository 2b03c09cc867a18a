#include "daemon/EntryDaemon.h"

#include "daemon/AppliedSettings.h"
#include "daemon/BusyRows.h"

namespace lacewing::daemon {

namespace {

using observe::Metric;

constexpr Duration kVmListTimeout = seconds(1);
/// How long a drained slice is reported as free to its next owner.
constexpr int kDrainReports = 6;

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

} // namespace

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
      BeginClose();
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
  auto owner =
    std::make_shared<WorkerSliceOwner>(m_runtime,
                                       id,
                                       aEpoch,
                                       authority,
                                       MoveHooksOf(id, aEpoch),
                                       SchedulerOptionsOf(m_settings.Tree()));
  m_workerOwners[id] = owner;
  owner->UpdateWorkers(aSlice.m_vms);
  owner->LoadJobs();
}

MoveHooks
EntryDaemon::MoveHooksOf(const SliceId& aSlice, Epoch aEpoch)
{
  MoveHooks hooks;
  hooks.m_ownerCheck = [this, aSlice, aEpoch]() -> std::optional<table::Check> {
    const auto version = m_membership.Machine().HeldVersion(aSlice, aEpoch);
    if (!version) {
      return std::nullopt;
    }
    return table::Check{ ownership::SliceKey(aSlice), *version };
  };
  hooks.m_onMoved = [this](const MovedJob& aJob) {
    m_jobs.AnnounceMoved(aJob);
  };
  hooks.m_onUnderWay = [this](int aChange) { m_jobs.CountMove(aChange); };
  return hooks;
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
  for (const auto& [id, owner] : m_workerOwners) {
    owner->SetLimitStops(SchedulerOptionsOf(tree));
  }
  // The next poll applies the bounds of endpoints, and starts the new period.
  m_nextVmListPoll = Time::min();
}

} // namespace lacewing::daemon
