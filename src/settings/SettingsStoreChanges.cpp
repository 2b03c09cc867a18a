#include "settings/SettingsStore.h"

#include "settings/RowSnapshot.h"

#include <algorithm>

namespace lacewing::settings {

Effects
SettingsStore::Change(Time aNow, ChangeRequest aChange)
{
  Effects effects;
  effects.emplace_back(StepEffect{ Step::ChangeCheck });
  const Ticket ticket = aChange.m_ticket;
  const auto scope =
    TryDecode<Scope>([&] { return ScopeOf(aChange.m_subtree); });
  if (!scope) {
    Refuse(ticket,
           Verdict::NotRun,
           ErrorCode::BadInput,
           "unknown subtree; expected system or team.NAME",
           effects);
    return effects;
  }
  IniResult parsed = ParseIni(*scope, aChange.m_subtree, aChange.m_text);
  if (!parsed.Ok()) {
    ChangeDone done{ ticket, 0, 0, std::nullopt, {} };
    done.m_error =
      Error{ Verdict::NotRun, ErrorCode::BadInput, parsed.ErrorText() };
    done.m_faults = std::move(parsed.m_errors);
    effects.emplace_back(StepEffect{ Step::ChangeDone });
    effects.emplace_back(std::move(done));
    return effects;
  }
  if (!m_ready || IsPromising(aNow) || m_pending.contains(ticket)) {
    Refuse(ticket,
           Verdict::NotRun,
           ErrorCode::Unavailable,
           "this process doesn't accept changes of settings at present",
           effects);
    return effects;
  }
  Pending& pending = m_pending[ticket];
  pending.m_request = std::move(aChange);
  pending.m_nonce = m_options.m_self.Value() + "/" +
                    std::to_string(m_options.m_incarnation) + "/" +
                    std::to_string(++m_lastNonce);
  SendChangeRead(aNow, pending, effects);
  return effects;
}

void
SettingsStore::SendChangeRead(Time aNow, Pending& aPending, Effects& aEffects)
{
  aPending.m_phase = Phase::Reading;
  aPending.m_openCommits = 0;
  aPending.m_refuted = false;
  ReadEffect read;
  read.m_operation = Begin(aNow, Kind::ChangeRead, aPending.m_request.m_ticket);
  read.m_read.m_keys = { std::string(kIndexKey),
                         SubtreeKey(aPending.m_request.m_subtree) };
  aEffects.emplace_back(StepEffect{ Step::ChangeReadSend });
  aEffects.emplace_back(std::move(read));
}

void
SettingsStore::Wait(Time aNow, Pending& aPending, Phase aNext)
{
  aPending.m_phase = Phase::Waiting;
  aPending.m_next = aNext;
  aPending.m_nextAt = aNow + m_options.m_retry;
}

void
SettingsStore::OnChangeRead(Time aNow,
                            Pending& aPending,
                            const table::ReadResult& aResult,
                            Effects& aEffects)
{
  const auto index = IndexIn(aResult.m_rows);
  const RowVersion row = RowVersionIn(aResult.m_rows, kIndexKey);
  const std::string& subtree = aPending.m_request.m_subtree;
  if (!aResult.m_ok || !index || row < m_indexRow) {
    Wait(aNow, aPending, Phase::Reading);
    return;
  }
  const SettingsVersion present = VersionIn(*index, subtree);
  if (present > aPending.m_request.m_expected) {
    RefuseConflict(aPending, present, aEffects);
    return;
  }
  if (present < aPending.m_request.m_expected) {
    // The operator has seen a newer version than this read shows.
    Wait(aNow, aPending, Phase::Reading);
    return;
  }
  aPending.m_indexRow = row;
  BuildCommit(
    aPending, *index, RowVersionIn(aResult.m_rows, SubtreeKey(subtree)));
  SendCommit(aNow, aPending, aEffects);
}

void
SettingsStore::BuildCommit(Pending& aPending,
                           const IndexRow& aIndex,
                           RowVersion aSubtreeRow)
{
  const std::string& subtree = aPending.m_request.m_subtree;
  aPending.m_version = aPending.m_request.m_expected + 1;
  aPending.m_fleet = aIndex.m_fleet + 1;
  IndexRow index = aIndex;
  index.m_fleet = aPending.m_fleet;
  index.m_subtrees[subtree] = aPending.m_version;
  const std::string value = EncodeSubtree(
    { aPending.m_version, aPending.m_request.m_text, aPending.m_nonce });
  table::Commit commit;
  if (!Has(Mutation::NoCompareAndSet)) {
    commit.m_checks = { { std::string(kIndexKey), aPending.m_indexRow },
                        { SubtreeKey(subtree), aSubtreeRow } };
  }
  commit.m_puts = { { std::string(kIndexKey), EncodeIndex(index) },
                    { SubtreeKey(subtree), value },
                    { HistoryKey(subtree, aPending.m_version), value } };
  if (aPending.m_version > kKeptVersions) {
    commit.m_deletes.push_back(
      HistoryKey(subtree, aPending.m_version - kKeptVersions));
  }
  aPending.m_commit = std::move(commit);
}

void
SettingsStore::SendCommit(Time aNow, Pending& aPending, Effects& aEffects)
{
  if (IsPromising(aNow)) {
    Wait(aNow, aPending, Phase::Committing);
    return;
  }
  aPending.m_phase = Phase::Committing;
  ++aPending.m_openCommits;
  CommitEffect commit;
  commit.m_operation =
    Begin(aNow, Kind::ChangeCommit, aPending.m_request.m_ticket);
  commit.m_commit = aPending.m_commit;
  aEffects.emplace_back(StepEffect{ Step::CommitSend });
  aEffects.emplace_back(std::move(commit));
}

void
SettingsStore::OnChangeCommit(Time aNow,
                              Pending& aPending,
                              const table::CommitResult& aResult,
                              Effects& aEffects)
{
  switch (aResult.m_state) {
    case table::CommitState::Committed:
      Accept(aNow, aPending, aEffects);
      return;
    case table::CommitState::NotApplied:
      --aPending.m_openCommits;
      Wait(aNow, aPending, Phase::Committing);
      return;
    case table::CommitState::Conflict:
      aPending.m_refuted = true;
      break;
    case table::CommitState::Unknown:
      break;
  }
  if (Has(Mutation::NoReadBack)) {
    Refuse(aPending.m_request.m_ticket,
           Verdict::NotRun,
           ErrorCode::StoreUnavailable,
           "the table did not answer",
           aEffects);
    return;
  }
  SendReadBack(aNow, aPending, aEffects);
}

void
SettingsStore::SendReadBack(Time aNow, Pending& aPending, Effects& aEffects)
{
  aPending.m_phase = Phase::ReadingBack;
  const std::string& subtree = aPending.m_request.m_subtree;
  ReadEffect read;
  read.m_operation = Begin(aNow, Kind::ReadBack, aPending.m_request.m_ticket);
  read.m_read.m_keys = { std::string(kIndexKey),
                         HistoryKey(subtree, aPending.m_version) };
  aEffects.emplace_back(StepEffect{ Step::ReadBackSend });
  aEffects.emplace_back(std::move(read));
}

void
SettingsStore::OnReadBack(Time aNow,
                          Pending& aPending,
                          const table::ReadResult& aResult,
                          Effects& aEffects)
{
  const RowVersion row = RowVersionIn(aResult.m_rows, kIndexKey);
  const bool unchanged = row == aPending.m_indexRow;
  const bool stale =
    row < aPending.m_indexRow || (unchanged && aPending.m_refuted);
  if (!aResult.m_ok || stale) {
    Wait(aNow, aPending, Phase::ReadingBack);
    return;
  }
  if (unchanged) {
    // The first attempt may still be under way. Sending the same checks again
    // is safe: at most one of the attempts can take effect.
    SendCommit(aNow, aPending, aEffects);
    return;
  }
  DecideFromReadBack(aNow, aPending, aResult, aEffects);
}

/// The index row has changed since the read before the commit. No attempt with
/// the old checks can take effect any more, and one that did is in the history.
void
SettingsStore::DecideFromReadBack(Time aNow,
                                  Pending& aPending,
                                  const table::ReadResult& aResult,
                                  Effects& aEffects)
{
  const auto index = IndexIn(aResult.m_rows);
  if (!index) {
    Wait(aNow, aPending, Phase::ReadingBack);
    return;
  }
  const std::string& subtree = aPending.m_request.m_subtree;
  const table::Row* kept =
    FindRow(aResult.m_rows, HistoryKey(subtree, aPending.m_version));
  std::optional<SubtreeRow> written;
  if (kept != nullptr) {
    written =
      TryDecode<SubtreeRow>([&] { return DecodeSubtree(kept->m_value); });
  }
  if (written && written->m_nonce == aPending.m_nonce) {
    Accept(aNow, aPending, aEffects);
    return;
  }
  const SettingsVersion present = VersionIn(*index, subtree);
  if (present >= aPending.m_version + kKeptVersions) {
    Expire(aNow, aPending, aEffects);
    return;
  }
  if (present > aPending.m_request.m_expected) {
    RefuseConflict(aPending, present, aEffects);
    return;
  }
  // Another subtree has changed the index.
  SendChangeRead(aNow, aPending, aEffects);
}

void
SettingsStore::Accept(Time aNow, Pending& aPending, Effects& aEffects)
{
  m_known = std::max(m_known, aPending.m_fleet);
  m_fetchWanted = true;
  m_readByItself = true;
  if (IsPromising(aNow)) {
    aPending.m_phase = Phase::Held;
    FetchIfWanted(aNow, aEffects);
    return;
  }
  ChangeDone done;
  done.m_ticket = aPending.m_request.m_ticket;
  done.m_version = aPending.m_version;
  done.m_fleet = aPending.m_fleet;
  m_pending.erase(done.m_ticket);
  aEffects.emplace_back(StepEffect{ Step::ChangeDone });
  aEffects.emplace_back(std::move(done));
  FetchIfWanted(aNow, aEffects);
  SendHeartbeats(aNow, false, aEffects);
}

void
SettingsStore::Refuse(Ticket aTicket,
                      Verdict aVerdict,
                      ErrorCode aCode,
                      std::string aMessage,
                      Effects& aEffects)
{
  ChangeDone done;
  done.m_ticket = aTicket;
  done.m_error = Error{ aVerdict, aCode, std::move(aMessage) };
  m_pending.erase(aTicket);
  aEffects.emplace_back(StepEffect{ Step::ChangeDone });
  aEffects.emplace_back(std::move(done));
}

void
SettingsStore::RefuseConflict(const Pending& aPending,
                              SettingsVersion aPresent,
                              Effects& aEffects)
{
  const ChangeRequest& request = aPending.m_request;
  Refuse(request.m_ticket,
         Verdict::NotRun,
         ErrorCode::Conflict,
         "subtree " + request.m_subtree + " is at version " +
           std::to_string(aPresent) + ", the change expects " +
           std::to_string(request.m_expected),
         aEffects);
}

void
SettingsStore::Expire(Time aNow, const Pending& aPending, Effects& aEffects)
{
  const bool mayBeInEffect = aPending.m_openCommits > 0;
  const auto late = ToMilliseconds(aNow - aPending.m_request.m_deadline);
  Refuse(aPending.m_request.m_ticket,
         mayBeInEffect ? Verdict::MayHaveRun : Verdict::NotRun,
         late >= 0 ? ErrorCode::DeadlineExceeded : ErrorCode::StoreUnavailable,
         mayBeInEffect ? "the outcome of the change is not known; read the "
                         "subtree's version"
                       : "the table gave no answer in time; nothing changed",
         aEffects);
}

void
SettingsStore::TickChanges(Time aNow, Effects& aEffects)
{
  std::vector<Ticket> tickets;
  for (const auto& [ticket, pending] : m_pending) {
    tickets.push_back(ticket);
  }
  for (const Ticket ticket : tickets) {
    Pending& pending = m_pending.at(ticket);
    if (aNow >= pending.m_request.m_deadline) {
      Expire(aNow, pending, aEffects);
    } else if (pending.m_phase == Phase::Held) {
      if (!IsPromising(aNow)) {
        Accept(aNow, pending, aEffects);
      }
    } else if (pending.m_phase == Phase::Waiting && aNow >= pending.m_nextAt) {
      if (pending.m_next == Phase::Reading) {
        SendChangeRead(aNow, pending, aEffects);
      } else if (pending.m_next == Phase::Committing) {
        SendCommit(aNow, pending, aEffects);
      } else {
        SendReadBack(aNow, pending, aEffects);
      }
    }
  }
}

} // namespace lacewing::settings
