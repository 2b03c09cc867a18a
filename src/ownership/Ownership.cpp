#include "ownership/Ownership.h"

#include <algorithm>

namespace lacewing::ownership {

namespace {

constexpr std::size_t kReleasesInFlight = 8;
/// Allotments are changed on the basis of rows that arrived this lately.
constexpr Duration kFreshView = milliseconds(100);
/// A row to renew is relayed through this many peers in one round.
constexpr std::size_t kRelays = 2;

table::Rows
RowsOf(const std::vector<table::Put>& aPuts, RowVersion aVersion)
{
  table::Rows rows;
  for (const table::Put& put : aPuts) {
    rows[put.m_key] = { put.m_value, aVersion };
  }
  return rows;
}

bool
IsVoid(table::CommitState aState)
{
  return aState == table::CommitState::Conflict ||
         aState == table::CommitState::NotApplied;
}

} // namespace

Ownership::Ownership(OwnershipOptions aOptions, const Identity& aIdentity)
  : m_options(aOptions)
  , m_identity(aIdentity)
  , m_lease(aOptions, aIdentity)
  , m_view(aOptions)
  , m_join(aOptions)
  , m_promises(aOptions, aIdentity.m_vm, aIdentity.m_region)
  , m_slices(aOptions, aIdentity.m_vm, aIdentity.m_region)
  , m_allotments(aOptions)
  , m_draining(aOptions)
{
}

Effects
Ownership::OnTick(Time aNow)
{
  Effects effects;
  Advance(aNow, effects);
  return effects;
}

Effects
Ownership::OnCommitResult(Time aNow,
                          OpId aOp,
                          const table::CommitResult& aResult)
{
  Effects effects;
  auto node = m_operations.extract(aOp);
  if (node.empty() || m_stopped) {
    return effects;
  }
  const Operation& operation = node.mapped();
  if (aResult.m_state == table::CommitState::Committed ||
      aResult.m_state == table::CommitState::Conflict) {
    m_lastTableSuccess = aNow;
  }
  switch (operation.m_kind) {
    case OpKind::Member:
      OnMemberResult(aNow, operation, aResult, effects);
      break;
    case OpKind::Release:
      OnReleaseResult(aNow, operation, aResult, effects);
      break;
    case OpKind::Allotment:
      m_allotmentInFlight = false;
      m_allotments.OnResult(operation.m_slice, aResult.m_state);
      if (aResult.m_state == table::CommitState::Committed) {
        TakeRows(aNow, RowsOf(operation.m_puts, aResult.m_version), effects);
      } else {
        ReadView(aNow, effects);
      }
      break;
    case OpKind::Relay:
      OnRelayResult(aNow, operation, aResult, effects);
      break;
    case OpKind::View:
    case OpKind::RelayRead:
      break;
  }
  Advance(aNow, effects);
  return effects;
}

Effects
Ownership::OnReadResult(Time aNow, OpId aOp, const table::ReadResult& aResult)
{
  Effects effects;
  auto node = m_operations.extract(aOp);
  if (node.empty() || m_stopped) {
    return effects;
  }
  const Operation& operation = node.mapped();
  if (aResult.m_ok) {
    m_lastTableSuccess = aNow;
  }
  if (operation.m_kind == OpKind::RelayRead) {
    const auto row = aResult.m_rows.find(MemberKey(operation.m_peer));
    if (row != aResult.m_rows.end()) {
      effects.m_sends.push_back(
        { operation.m_peer,
          Step::RelayAnswerSend,
          RelayAnswer{ row->second.m_version, row->second.m_value } });
    }
    return effects;
  }
  m_viewInFlight = false;
  if (aResult.m_ok) {
    m_viewSeen = true;
    m_viewTaken = aNow;
    m_renewalOnly = false;
    TakeRows(aNow, aResult.m_rows, effects);
    for (const auto& [slice, held] : m_slices.Held()) {
      const auto row = aResult.m_rows.find(SliceKey(slice));
      // No former owner changes allotments after the claim, so that a snapshot
      // that contains the claim also contains the allotments inherited.
      if (operation.m_allLimits && row != aResult.m_rows.end() &&
          (row->second.m_version == held.m_version ||
           !m_options.m_mechanisms.m_allotmentFence)) {
        m_allotments.Confirm(slice);
      }
    }
    const auto own = aResult.m_rows.find(MemberKey(m_identity.m_vm));
    if (!m_join.HasBegun() && m_lease.IsPlaced() &&
        own != aResult.m_rows.end() && own->second.m_version >= m_joinVersion) {
      m_join.Begin(m_view, m_identity.m_vm);
    }
  }
  Advance(aNow, effects);
  return effects;
}

Effects
Ownership::OnPeerMessage(Time aNow,
                         const VmId& aFrom,
                         const PeerMessage& aMessage)
{
  Effects effects;
  if (!m_stopped) {
    std::visit([&](const auto& aOne) { On(aNow, aFrom, aOne, effects); },
               aMessage);
    CheckAuthority(aNow, effects);
  }
  return effects;
}

Effects
Ownership::OnWorkerReply(Time aNow,
                         const SliceId& aSlice,
                         const VmId& aWorker,
                         const worker::ControlReply& aReply)
{
  Effects effects;
  const auto found = m_adoptions.find(aSlice);
  if (found == m_adoptions.end()) {
    return effects;
  }
  if (found->second.OnReply(aNow, aWorker, aReply)) {
    OwnershipEvent event;
    event.m_kind = EventKind::WorkerAdopted;
    event.m_slice = aSlice;
    event.m_epoch = found->second.OwnEpoch();
    event.m_worker = aWorker;
    event.m_reply = aReply;
    effects.m_events.push_back(std::move(event));
  }
  TickAdoption(aNow, effects);
  return effects;
}

Effects
Ownership::OnVmList(Time aNow, const VmListView& aView)
{
  Effects effects;
  if (aView.m_asked < m_listAsked) {
    return effects;
  }
  m_listAsked = aView.m_asked;
  m_view.OnVmList(aView.m_entryVms);
  m_slices.SetSlices(aView.m_slices);
  for (auto& [slice, tracker] : m_adoptions) {
    const SliceInfo* info = m_slices.Info(slice);
    if (info != nullptr) {
      tracker.SetWorkers(m_listAsked, info->m_workers);
    }
  }
  Advance(aNow, effects);
  return effects;
}

Effects
Ownership::OnShutdownRequested(Time aNow)
{
  Effects effects;
  if (!m_draining.IsStarted()) {
    m_draining.Start(aNow);
    m_nextMemberWrite = aNow;
    effects.m_steps.push_back(Step::DrainStarted);
  }
  Advance(aNow, effects);
  return effects;
}

Time
Ownership::Authority(Time /*aNow*/) const
{
  const Time lease = m_lease.LeaseEnd();
  if (lease == Time::min() || m_stopped) {
    return Time::min();
  }
  return std::max(lease, m_promises.ExtendedUntil());
}

std::map<SliceId, OwnedSlice>
Ownership::OwnedSlices(Time aNow) const
{
  std::map<SliceId, OwnedSlice> owned;
  if (!MayOwn(aNow)) {
    return owned;
  }
  for (const auto& [slice, held] : m_slices.Held()) {
    if (!held.m_releasing) {
      const auto tracker = m_adoptions.find(slice);
      const bool open =
        tracker != m_adoptions.end() && tracker->second.IsOpen();
      owned[slice] = { held.m_epoch, open };
    }
  }
  return owned;
}

VmId
Ownership::OwnerOf(const SliceId& aSlice) const
{
  const SeenSlice* seen = m_view.Slice(aSlice);
  return seen == nullptr ? VmId() : seen->m_row.m_owner;
}

bool
Ownership::MayAct(Time aNow, const SliceId& aSlice) const
{
  const auto held = m_slices.Held().find(aSlice);
  return MayOwn(aNow) && held != m_slices.Held().end() &&
         !held->second.m_releasing;
}

bool
Ownership::MayAcceptSettings(Time aNow) const
{
  return MayTakeOver(aNow) && m_promises.MayAcceptSettings(aNow);
}

bool
Ownership::FreshnessConfirmed(Time aNow) const
{
  return m_promises.IsFresh(aNow);
}

bool
Ownership::IsTableDown(Time aNow) const
{
  return m_lastTableSuccess == Time::min() ||
         aNow - m_lastTableSuccess >= m_options.m_tableDownAfter;
}

bool
Ownership::IsActive() const
{
  return m_lease.IsPlaced() && !m_lease.IsDeposed() &&
         m_lease.State() == MemberState::Active;
}

std::uint64_t
Ownership::WorkerToken(const SliceId& aSlice, const VmId& aWorker) const
{
  const auto found = m_adoptions.find(aSlice);
  return found == m_adoptions.end() ? 0 : found->second.Token(aWorker);
}

void
Ownership::SetDemands(Time aNow,
                      const SliceId& aSlice,
                      const std::map<LimitId, Demand>& aDemands)
{
  // Before the slice opens, the inventories are incomplete, and allotments that
  // cover running work would be given back.
  const auto tracker = m_adoptions.find(aSlice);
  if (tracker != m_adoptions.end() && tracker->second.IsOpen()) {
    m_allotments.SetDemands(aNow, aSlice, aDemands);
  }
}

std::int64_t
Ownership::Allotment(const SliceId& aSlice, const LimitId& aLimit) const
{
  return m_allotments.Allotment(aSlice, aLimit);
}

std::vector<StopDemand>
Ownership::StopDemands(Time aNow, const SliceId& aSlice) const
{
  return m_allotments.StopDemands(aNow, aSlice);
}

void
Ownership::SetBusy(const SliceId& aSlice,
                   std::map<std::string, std::int64_t> aBusy)
{
  m_slices.SetBusy(aSlice, std::move(aBusy));
}

std::map<std::string, std::int64_t>
Ownership::InheritedBusy(const SliceId& aSlice) const
{
  const auto held = m_slices.Held().find(aSlice);
  return held == m_slices.Held().end() ? std::map<std::string, std::int64_t>()
                                       : held->second.m_inheritedBusy;
}

void
Ownership::SetOpenRequests(std::size_t aCount)
{
  m_draining.SetOpenRequests(aCount);
}

void
Ownership::OnSettingsConfirmed(Time aConfirmed, std::uint64_t aVersion)
{
  m_promises.OnSettingsConfirmed(aConfirmed, aVersion, m_view);
}

void
Ownership::SetSettingsWriteUnresolved(bool aUnresolved)
{
  m_settingsUnresolved = aUnresolved;
}

bool
Ownership::MayOwn(Time aNow) const
{
  return aNow < Authority(aNow);
}

bool
Ownership::MayTakeOver(Time aNow) const
{
  if (!IsActive() || !MayOwn(aNow) || m_draining.IsStarted()) {
    return false;
  }
  // An authority that was prolonged by promises before this member was
  // acknowledged has ended after this time.
  return !m_options.m_mechanisms.m_joinGrace ||
         aNow - m_activeSince >= m_options.DeposeAfter();
}

std::vector<VmId>
Ownership::ActiveMembers() const
{
  auto active = m_view.ActiveMembers(m_identity.m_region);
  std::erase(active, m_identity.m_vm);
  if (IsActive() && !m_draining.IsStarted()) {
    active.push_back(m_identity.m_vm);
  }
  return active;
}

void
Ownership::Advance(Time aNow, Effects& aEffects)
{
  if (m_stopped) {
    return;
  }
  CheckAuthority(aNow, aEffects);
  TickJoin(aNow, aEffects);
  TickMember(aNow, aEffects);
  TickView(aNow, aEffects);
  TickOutage(aNow, aEffects);
  TickReleases(aNow, aEffects);
  TickAdoption(aNow, aEffects);
  TickAllotments(aNow, aEffects);
  TickDraining(aNow, aEffects);
}

void
Ownership::TickView(Time aNow, Effects& aEffects)
{
  if (aNow >= m_nextView) {
    ReadView(aNow, aEffects);
  }
}

void
Ownership::TickMember(Time aNow, Effects& aEffects)
{
  // The first write needs the version of a predecessor's row.
  if (m_memberInFlight || !m_viewSeen) {
    return;
  }
  const MemberState wanted = WantedState(aNow);
  table::Commit commit;
  std::vector<VmId> targets;
  const bool mayAdd = m_lease.IsPlaced() && wanted == MemberState::Active &&
                      IsActive() && MayOwn(aNow) && !m_renewalOnly &&
                      !m_lease.HasOutstanding();
  if (mayAdd) {
    AddDeposes(aNow, commit, targets);
  }
  const bool deposes = !commit.m_puts.empty();
  if (mayAdd) {
    AddClaims(aNow, commit, targets);
  }
  const bool claims = commit.m_puts.size() > (deposes ? 1U : 0U);
  const bool changes =
    !commit.m_puts.empty() || (m_lease.IsPlaced() && wanted != m_lease.State());
  if (aNow < m_nextMemberWrite && !(changes && !m_lease.HasOutstanding())) {
    return;
  }
  const MemberRow row = m_lease.Prepare(aNow, wanted, targets);
  const std::string key = MemberKey(m_identity.m_vm);
  commit.m_checks.push_back({ key, m_lease.Version() });
  for (table::Put& put : commit.m_puts) {
    put.m_value.replace(put.m_value.find("\"nonce\":\"\""),
                        10,
                        "\"nonce\":\"" + row.m_nonce + "\"");
  }
  commit.m_puts.push_back({ key, EncodeMember(row) });
  m_memberInFlight = true;
  m_nextMemberWrite = aNow + m_options.m_renewInterval;
  Operation operation;
  operation.m_kind = OpKind::Member;
  operation.m_nonce = row.m_nonce;
  Write(aNow,
        StepOf(wanted, claims, deposes),
        std::move(operation),
        std::move(commit),
        aEffects);
}

MemberState
Ownership::WantedState(Time aNow) const
{
  if (m_draining.IsStarted()) {
    return m_draining.MayLeave(aNow, m_slices.Held().size())
             ? MemberState::Deposed
             : MemberState::Draining;
  }
  const bool joined =
    m_lease.IsPlaced() &&
    (m_lease.State() == MemberState::Active || m_join.IsComplete(m_view));
  return joined ? MemberState::Active : MemberState::Joining;
}

Step
Ownership::StepOf(MemberState aWanted, bool aClaims, bool aDeposes) const
{
  if (aClaims) {
    return Step::ClaimWrite;
  }
  if (aDeposes) {
    return Step::DeposeWrite;
  }
  if (!m_lease.IsPlaced()) {
    return Step::JoinRowWrite;
  }
  if (aWanted == m_lease.State()) {
    return Step::MemberWrite;
  }
  switch (aWanted) {
    case MemberState::Active:
      return Step::ActiveWrite;
    case MemberState::Draining:
      return Step::DrainWrite;
    case MemberState::Deposed:
      return Step::LeaveWrite;
    case MemberState::Joining:
      return Step::JoinRowWrite;
  }
  return Step::MemberWrite;
}

void
Ownership::AddDeposes(Time aNow,
                      table::Commit& aCommit,
                      std::vector<VmId>& aTargets) const
{
  const Time since =
    m_options.m_mechanisms.m_joinGrace ? m_activeSince : Time::min();
  for (const auto& [vm, seen] : m_view.Members()) {
    if (vm == m_identity.m_vm || seen.m_row.m_state == MemberState::Deposed) {
      continue;
    }
    const bool lapsed = seen.m_row.m_region == m_identity.m_region &&
                        MayTakeOver(aNow) && m_view.IsLapsed(aNow, vm, since) &&
                        !m_promises.IsBoundTo(aNow, vm);
    if (!lapsed && !m_view.IsGone(vm)) {
      continue;
    }
    MemberRow row = seen.m_row;
    row.m_state = MemberState::Deposed;
    row.m_nonce.clear();
    if (m_options.m_mechanisms.m_deposeOnVersion) {
      aCommit.m_checks.push_back({ MemberKey(vm), seen.m_version });
    }
    aCommit.m_puts.push_back({ MemberKey(vm), EncodeMember(row) });
    aTargets.push_back(vm);
    // One at a time: a conflict on one row voids the whole transaction.
    return;
  }
}

void
Ownership::AddClaims(Time aNow,
                     table::Commit& aCommit,
                     std::vector<VmId>& aTargets) const
{
  const auto mayTake = [&](const VmId& aOwner) {
    return MayTakeOver(aNow) && !m_promises.IsBoundTo(aNow, aOwner);
  };
  const auto claims =
    m_slices.Claims(m_view, m_lease.OwnIncarnation(), ActiveMembers(), mayTake);
  for (const SliceWrite& claim : claims) {
    SliceRow row = claim.m_row;
    row.m_nonce.clear();
    aCommit.m_checks.push_back({ SliceKey(claim.m_slice), claim.m_version });
    aCommit.m_puts.push_back({ SliceKey(claim.m_slice), EncodeSlice(row) });
    if (!claim.m_previous.empty()) {
      aTargets.push_back(claim.m_previous);
    }
  }
}

void
Ownership::TickJoin(Time aNow, Effects& aEffects)
{
  if (m_lease.IsPlaced() && m_lease.State() == MemberState::Joining) {
    for (const VmId& vm : m_join.Due(aNow, m_view)) {
      aEffects.m_sends.push_back(
        { vm,
          Step::HelloSend,
          Hello{ m_lease.OwnIncarnation(), m_identity.m_region } });
    }
  }
}

void
Ownership::TickOutage(Time aNow, Effects& aEffects)
{
  const bool owner = m_lease.LeaseEnd() != Time::min();
  if (!owner || aNow < m_nextProbe ||
      aNow - m_lease.RenewedAt() < m_options.m_probeAfter) {
    return;
  }
  m_nextProbe = aNow + m_options.m_probeInterval;
  const OutageProbe probe = m_promises.Ask(aNow, m_lease.OwnIncarnation());
  const auto peers = m_promises.Peers(m_view);
  for (const VmId& vm : peers) {
    aEffects.m_sends.push_back({ vm, Step::ProbeSend, probe });
  }
  if (peers.empty()) {
    // A member without peers needs nobody's promise.
    m_promises.OnPromise(aNow,
                         m_identity.m_vm,
                         Promise{ probe.m_round, 0, true, true, 0 },
                         m_view,
                         Authority(aNow));
    return;
  }
  const MemberRow row = m_lease.Prepare(aNow, m_lease.State(), {});
  const RelayRenewal relay{ m_lease.Version(), EncodeMember(row) };
  for (std::size_t i = 0; i < std::min(kRelays, peers.size()); ++i) {
    const VmId& vm = peers[(probe.m_round + i) % peers.size()];
    aEffects.m_sends.push_back({ vm, Step::RelaySend, relay });
  }
}

void
Ownership::TickReleases(Time aNow, Effects& aEffects)
{
  if (!MayOwn(aNow)) {
    return;
  }
  std::size_t inFlight = 0;
  for (const auto& [slice, held] : m_slices.Held()) {
    inFlight += held.m_releaseInFlight ? 1 : 0;
  }
  const std::size_t bound = m_draining.IsStarted() ? 1 : kReleasesInFlight;
  for (const SliceId& slice : m_slices.Misplaced(ActiveMembers())) {
    if (inFlight >= bound) {
      return;
    }
    auto release = m_slices.Release(slice);
    if (!release) {
      continue;
    }
    ++inFlight;
    // The write is conditional on the slice's version, which no one else can
    // have used; the nonce only has to differ from earlier ones.
    release->m_row.m_nonce =
      m_identity.m_nonceSeed + "-r" + std::to_string(m_nextOp);
    table::Commit commit;
    commit.m_checks.push_back({ SliceKey(slice), release->m_version });
    commit.m_puts.push_back({ SliceKey(slice), EncodeSlice(release->m_row) });
    Operation operation;
    operation.m_kind = OpKind::Release;
    operation.m_slice = slice;
    Write(aNow,
          Step::ReleaseWrite,
          std::move(operation),
          std::move(commit),
          aEffects);
  }
}

void
Ownership::TickAdoption(Time aNow, Effects& aEffects)
{
  for (auto& [slice, tracker] : m_adoptions) {
    for (const VmId& vm : tracker.TakeLost(aNow)) {
      OwnershipEvent event;
      event.m_kind = EventKind::WorkerLost;
      event.m_slice = slice;
      event.m_epoch = tracker.OwnEpoch();
      event.m_worker = vm;
      aEffects.m_events.push_back(std::move(event));
    }
    if (!MayAct(aNow, slice)) {
      continue;
    }
    for (WorkerSend& send : tracker.Due(aNow)) {
      aEffects.m_workerSends.push_back(std::move(send));
    }
    if (tracker.TryOpen(aNow)) {
      aEffects.m_steps.push_back(Step::SliceOpened);
      aEffects.Event(EventKind::SliceOpened, slice, tracker.OwnEpoch());
    }
  }
}

void
Ownership::TickAllotments(Time aNow, Effects& aEffects)
{
  for (const auto& [slice, held] : m_slices.Held()) {
    // The slices of a team share a row, so that two transactions at once would
    // conflict, and one of them always with the same loser.
    if (m_allotmentInFlight || IsTableDown(aNow)) {
      return;
    }
    if (!MayAct(aNow, slice) || !m_allotments.IsDue(aNow, slice)) {
      continue;
    }
    // Rows that are a second old have often been changed by another slice.
    if (m_viewTaken == Time::min() || aNow - m_viewTaken > kFreshView) {
      if (!m_viewInFlight) {
        ReadView(aNow, aEffects);
      }
      return;
    }
    const std::string nonce =
      m_identity.m_nonceSeed + "-a" + std::to_string(m_nextOp);
    auto commit = m_allotments.Due(aNow, slice, held.m_version, nonce);
    if (commit.empty()) {
      continue;
    }
    Operation operation;
    operation.m_kind = OpKind::Allotment;
    operation.m_slice = slice;
    m_allotmentInFlight = true;
    Write(aNow,
          Step::AllotmentWrite,
          std::move(operation),
          std::move(commit),
          aEffects);
  }
}

void
Ownership::TickDraining(Time aNow, Effects& aEffects)
{
  const bool left = m_draining.IsStarted() &&
                    (!m_lease.IsPlaced() || m_draining.IsOverdue(aNow) ||
                     m_lease.State() == MemberState::Deposed);
  if (left && !m_stopped) {
    for (const SliceId& slice : m_slices.DropAll()) {
      Lose(slice, aEffects);
    }
    m_stopped = true;
    m_acting = false;
    aEffects.Event(EventKind::Stopped);
  }
}

void
Ownership::CheckAuthority(Time aNow, Effects& aEffects)
{
  const bool acting = MayOwn(aNow);
  if (m_acting && !acting) {
    aEffects.m_steps.push_back(Step::AuthorityEnded);
    aEffects.Event(EventKind::AuthorityEnded);
  }
  m_acting = acting;
}

void
Ownership::Write(Time aNow,
                 Step aStep,
                 Operation aOperation,
                 table::Commit aCommit,
                 Effects& aEffects)
{
  aOperation.m_sent = aNow;
  aOperation.m_puts = aCommit.m_puts;
  m_operations[++m_nextOp] = std::move(aOperation);
  aEffects.m_writes.push_back({ m_nextOp, aStep, std::move(aCommit) });
}

void
Ownership::ReadView(Time aNow, Effects& aEffects)
{
  if (m_viewInFlight) {
    // The answer under way may be older than what made this read necessary.
    m_nextView = aNow;
    return;
  }
  m_viewInFlight = true;
  m_nextView = aNow + m_options.m_viewInterval;
  Operation operation;
  operation.m_kind = OpKind::View;
  operation.m_sent = aNow;
  table::Read read;
  read.m_prefixes = { kMemberPrefix, kSlicePrefix };
  for (const auto& [slice, held] : m_slices.Held()) {
    operation.m_allLimits =
      operation.m_allLimits || !m_allotments.IsConfirmed(slice);
  }
  if (operation.m_allLimits) {
    read.m_prefixes.emplace_back(kLimitPrefix);
  } else {
    read.m_keys = m_allotments.Keys();
  }
  m_operations[++m_nextOp] = std::move(operation);
  aEffects.m_reads.push_back({ m_nextOp, Step::ViewRead, std::move(read) });
}

void
Ownership::TakeRows(Time aNow, const table::Rows& aRows, Effects& aEffects)
{
  m_view.OnRows(aNow, aRows);
  const auto own = aRows.find(MemberKey(m_identity.m_vm));
  if (own != aRows.end()) {
    TakeOwnRow(aNow, own->second, aEffects);
  }
  if (m_lease.LeaseEnd() != Time::min()) {
    const auto changes = m_slices.OnView(m_view, m_lease.OwnIncarnation());
    for (const SliceId& slice : changes.m_lost) {
      Lose(slice, aEffects);
    }
    for (const SliceId& slice : changes.m_gained) {
      Gain(aNow, slice, aEffects);
    }
  }
  m_allotments.OnRows(aRows);
}

void
Ownership::TakeOwnRow(Time aNow, const table::Row& aRow, Effects& aEffects)
{
  const auto row = DecodeMember(aRow.m_value);
  if (!row) {
    return;
  }
  const bool wasPlaced = m_lease.IsPlaced();
  const bool wasActive = IsActive();
  m_lease.OnObserved(*row, aRow.m_version);
  if (m_lease.IsDeposed()) {
    OnDeposed(aEffects);
    return;
  }
  if (!wasPlaced && m_lease.IsPlaced()) {
    m_joinVersion = m_lease.Version();
    ReadView(aNow, aEffects);
  }
  if (!wasActive && IsActive()) {
    m_activeSince = aNow;
    aEffects.Event(EventKind::BecameActive);
  }
}

void
Ownership::OnDeposed(Effects& aEffects)
{
  for (const SliceId& slice : m_slices.DropAll()) {
    Lose(slice, aEffects);
  }
  aEffects.Event(EventKind::Deposed);
  m_lease.Rejoin();
  m_join.Reset();
  m_promises.EndExtension();
  m_activeSince = Time::max();
}

void
Ownership::Gain(Time aNow, const SliceId& aSlice, Effects& aEffects)
{
  const Epoch epoch = m_slices.Held().at(aSlice).m_epoch;
  m_allotments.Hold(aSlice);
  AdoptionTracker tracker(m_options, aSlice, epoch, aNow);
  const SliceInfo* info = m_slices.Info(aSlice);
  if (info != nullptr) {
    tracker.SetWorkers(m_listAsked, info->m_workers);
  }
  m_adoptions.insert_or_assign(aSlice, std::move(tracker));
  m_nextView = aNow;
  aEffects.Event(EventKind::SliceClaimed, aSlice, epoch);
  aEffects.Event(EventKind::VmListWanted);
}

void
Ownership::Lose(const SliceId& aSlice, Effects& aEffects)
{
  m_adoptions.erase(aSlice);
  m_allotments.Drop(aSlice);
  aEffects.Event(EventKind::SliceLost, aSlice);
}

void
Ownership::OnMemberResult(Time aNow,
                          const Operation& aOperation,
                          const table::CommitResult& aResult,
                          Effects& aEffects)
{
  m_memberInFlight = false;
  if (aResult.m_state == table::CommitState::Committed) {
    TakeRows(aNow, RowsOf(aOperation.m_puts, aResult.m_version), aEffects);
    return;
  }
  if (IsVoid(aResult.m_state)) {
    m_lease.OnVoid(aOperation.m_nonce);
  }
  if (aResult.m_state == table::CommitState::Conflict) {
    m_renewalOnly = true;
    m_nextMemberWrite = aNow;
  }
  ReadView(aNow, aEffects);
}

void
Ownership::OnReleaseResult(Time aNow,
                           const Operation& aOperation,
                           const table::CommitResult& aResult,
                           Effects& aEffects)
{
  m_slices.OnReleaseAnswered(aOperation.m_slice);
  if (aResult.m_state != table::CommitState::Committed) {
    ReadView(aNow, aEffects);
    return;
  }
  const VmId next = m_slices.Chosen(aOperation.m_slice, ActiveMembers());
  TakeRows(aNow, RowsOf(aOperation.m_puts, aResult.m_version), aEffects);
  if (!next.empty() && next != m_identity.m_vm) {
    aEffects.m_sends.push_back(
      { next, Step::ReleasedSend, SliceReleased{ aOperation.m_slice } });
  }
}

void
Ownership::OnRelayResult(Time aNow,
                         const Operation& aOperation,
                         const table::CommitResult& aResult,
                         Effects& aEffects)
{
  if (aResult.m_state == table::CommitState::Committed) {
    aEffects.m_sends.push_back(
      { aOperation.m_peer,
        Step::RelayAnswerSend,
        RelayAnswer{ aResult.m_version, aOperation.m_puts.front().m_value } });
    return;
  }
  Operation operation;
  operation.m_kind = OpKind::RelayRead;
  operation.m_sent = aNow;
  operation.m_peer = aOperation.m_peer;
  m_operations[++m_nextOp] = operation;
  table::Read read;
  read.m_keys = { MemberKey(aOperation.m_peer) };
  aEffects.m_reads.push_back({ m_nextOp, Step::RelayRead, std::move(read) });
}

void
Ownership::On(Time /*aNow*/,
              const VmId& aFrom,
              const Hello& aMessage,
              Effects& aOut)
{
  m_promises.OnHello(aFrom, aMessage);
  aOut.m_sends.push_back(
    { aFrom,
      Step::HelloAnswerSend,
      HelloAnswer{ aMessage.m_incarnation, m_promises.SettingsVersion() } });
}

void
Ownership::On(Time aNow,
              const VmId& aFrom,
              const HelloAnswer& aMessage,
              Effects& aOut)
{
  m_peerSettingsVersion =
    std::max(m_peerSettingsVersion, aMessage.m_settingsVersion);
  if (aMessage.m_incarnation == m_lease.OwnIncarnation()) {
    m_join.OnAnswer(aFrom);
    Advance(aNow, aOut);
  }
}

void
Ownership::On(Time aNow,
              const VmId& aFrom,
              const OutageProbe& aMessage,
              Effects& aOut)
{
  const bool mayTakeOver = m_lease.HasUnresolved(aFrom) ||
                           m_view.IsEnded(aFrom, aMessage.m_incarnation);
  const bool maySetSettings = !IsTableDown(aNow) || m_settingsUnresolved;
  Promise promise =
    m_promises.Give(aNow, aFrom, aMessage, mayTakeOver, maySetSettings);
  promise.m_incarnation = m_lease.OwnIncarnation();
  aOut.m_sends.push_back({ aFrom, Step::PromiseSend, promise });
}

void
Ownership::On(Time aNow,
              const VmId& aFrom,
              const Promise& aMessage,
              Effects& /*aOut*/)
{
  m_peerSettingsVersion =
    std::max(m_peerSettingsVersion, aMessage.m_settingsVersion);
  m_promises.OnPromise(aNow, aFrom, aMessage, m_view, Authority(aNow));
}

void
Ownership::On(Time aNow,
              const VmId& aFrom,
              const RelayRenewal& aMessage,
              Effects& aOut)
{
  const auto row = DecodeMember(aMessage.m_row);
  if (!row || IsTableDown(aNow)) {
    return;
  }
  table::Commit commit;
  commit.m_checks.push_back({ MemberKey(aFrom), aMessage.m_version });
  commit.m_puts.push_back({ MemberKey(aFrom), aMessage.m_row });
  Operation operation;
  operation.m_kind = OpKind::Relay;
  operation.m_peer = aFrom;
  Write(aNow, Step::RelayWrite, std::move(operation), std::move(commit), aOut);
}

void
Ownership::On(Time aNow,
              const VmId& /*aFrom*/,
              const RelayAnswer& aMessage,
              Effects& aOut)
{
  const table::Rows rows = { { MemberKey(m_identity.m_vm),
                               { aMessage.m_row, aMessage.m_version } } };
  TakeRows(aNow, rows, aOut);
}

void
Ownership::On(Time aNow,
              const VmId& /*aFrom*/,
              const SliceReleased& /*aMessage*/,
              Effects& aOut)
{
  ReadView(aNow, aOut);
}

} // namespace lacewing::ownership
