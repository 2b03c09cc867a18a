#include "ownership/Ownership.h"

#include <algorithm>

namespace lacewing::ownership {

namespace {

constexpr std::size_t kReleasesInFlight = 8;
/// Allotments are changed on the basis of rows that arrived this lately.
constexpr Duration kFreshView = milliseconds(100);

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
  AdoptionTracker& tracker = found->second;
  const bool wasAdopted = tracker.IsAdopted(aWorker);
  if (tracker.OnReply(aNow, aWorker, aReply)) {
    OwnershipEvent event;
    event.m_kind = EventKind::WorkerAdopted;
    event.m_slice = aSlice;
    event.m_epoch = tracker.OwnEpoch();
    event.m_worker = aWorker;
    event.m_reply = aReply;
    effects.m_events.push_back(std::move(event));
  }
  // Only a change of adoption makes something due at once. A walk over all
  // workers for each renewal would grow with the square of their number.
  if (tracker.IsAdopted(aWorker) != wasAdopted) {
    TickAdoption(aNow, aSlice, tracker, effects);
  }
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
  TickAdoptions(aNow, aEffects);
  TickAllotments(aNow, aEffects);
  TickDraining(aNow, aEffects);
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
Ownership::TickAdoptions(Time aNow, Effects& aEffects)
{
  for (auto& [slice, tracker] : m_adoptions) {
    TickAdoption(aNow, slice, tracker, aEffects);
  }
}

void
Ownership::TickAdoption(Time aNow,
                        const SliceId& aSlice,
                        AdoptionTracker& aTracker,
                        Effects& aEffects)
{
  for (const VmId& vm : aTracker.TakeLost(aNow)) {
    OwnershipEvent event;
    event.m_kind = EventKind::WorkerLost;
    event.m_slice = aSlice;
    event.m_epoch = aTracker.OwnEpoch();
    event.m_worker = vm;
    aEffects.m_events.push_back(std::move(event));
  }
  if (!MayAct(aNow, aSlice)) {
    return;
  }
  for (WorkerSend& send : aTracker.Due(aNow)) {
    aEffects.m_workerSends.push_back(std::move(send));
  }
  if (aTracker.TryOpen(aNow)) {
    aEffects.m_steps.push_back(Step::SliceOpened);
    aEffects.Event(EventKind::SliceOpened, aSlice, aTracker.OwnEpoch());
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

} // namespace lacewing::ownership
