/// The table's part of `Ownership`: the own member row with deposes and claims,
/// the view of the rows, and the results of writes and reads.
#include "ownership/Ownership.h"

namespace lacewing::ownership {

namespace {

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

} // namespace lacewing::ownership
