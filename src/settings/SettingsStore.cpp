#include "settings/SettingsStore.h"

#include <algorithm>

namespace lacewing::settings {

namespace {

/// Heartbeats whose send times are remembered; older echoes are ignored.
constexpr std::size_t kRememberedHeartbeats = 64;
/// A reader counts as lost after this many heartbeat periods without one.
constexpr double kReaderLostPeriods = 2.5;
/// Bound of the rows in one answer to a peer; the frames of peers hold 1 MiB.
constexpr std::size_t kMaxAnswerBytes = 512 * 1024;

SettingsVersion
VersionIn(const IndexRow& aIndex, const std::string& aSubtree)
{
  const auto found = aIndex.m_subtrees.find(aSubtree);
  return found == aIndex.m_subtrees.end() ? 0 : found->second;
}

const table::Row*
FindRow(const table::Rows& aRows, std::string_view aKey)
{
  const auto found = aRows.find(std::string(aKey));
  return found == aRows.end() ? nullptr : &found->second;
}

/// The value of a result, or nothing for an error.
template<typename T, typename Decode>
std::optional<T>
TryDecode(Decode aDecode)
{
  return leaf::try_handle_all(
    [&]() -> Result<std::optional<T>> {
      BOOST_LEAF_AUTO(value, aDecode());
      return std::optional<T>(std::move(value));
    },
    [] { return std::optional<T>(); });
}

/// The index in a snapshot. An absent row stands for no settings; nothing is
/// returned for a malformed row.
std::optional<IndexRow>
IndexIn(const table::Rows& aRows)
{
  const table::Row* row = FindRow(aRows, kIndexKey);
  if (row == nullptr) {
    return IndexRow();
  }
  return TryDecode<IndexRow>([&] { return DecodeIndex(row->m_value); });
}

RowVersion
RowVersionIn(const table::Rows& aRows, std::string_view aKey)
{
  const table::Row* row = FindRow(aRows, aKey);
  return row == nullptr ? 0 : row->m_version;
}

} // namespace

SettingsStore::SettingsStore(StoreOptions aOptions)
  : m_options(std::move(aOptions))
{
}

Effects
SettingsStore::Start(Time aNow, std::vector<Member> aMembers)
{
  m_started = true;
  m_startedAt = aNow;
  m_members = std::move(aMembers);
  m_nextPoll = aNow;
  m_nextHeartbeat = aNow;
  m_nextFetch = aNow;
  m_fetchWanted = true;
  return Tick(aNow);
}

Effects
SettingsStore::Tick(Time aNow)
{
  Effects effects;
  if (!m_started) {
    return effects;
  }
  if (aNow >= m_nextHeartbeat) {
    m_nextHeartbeat = aNow + m_options.m_heartbeat;
    SendHeartbeats(aNow, false, effects);
  }
  FetchIfWanted(aNow, effects);
  if (aNow >= m_nextPoll && m_haveIndex && MayReadTable(aNow) &&
      !InFlight(Kind::Confirm)) {
    m_nextPoll = aNow + m_options.m_poll;
    SendConfirm(aNow, effects);
  }
  TickChanges(aNow, effects);
  return effects;
}

void
SettingsStore::SetMembers(Time aNow, std::vector<Member> aMembers)
{
  for (const Member& member : m_members) {
    if (std::ranges::find(aMembers, member) == aMembers.end()) {
      m_lost.emplace_back(aNow, member);
    }
  }
  m_members = std::move(aMembers);
}

void
SettingsStore::SetTimings(Duration aPoll, Duration aKeyFreshness)
{
  m_options.m_poll = aPoll;
  m_options.m_keyFreshness = aKeyFreshness;
}

OperationId
SettingsStore::Begin(Time aNow, Kind aKind, Ticket aTicket)
{
  m_operations[++m_lastOperation] = { aKind, aNow, aTicket, {} };
  return m_lastOperation;
}

bool
SettingsStore::InFlight(Kind aKind) const
{
  return std::ranges::any_of(m_operations, [&](const auto& aEntry) {
    return aEntry.second.m_kind == aKind;
  });
}

// --- Reading and confirming ---

void
SettingsStore::SendConfirm(Time aNow, Effects& aEffects)
{
  if (Has(Mutation::ConfirmByRead)) {
    SendIndexRead(aNow, aEffects);
    return;
  }
  // A read may come from a lagging copy of the table; only a transaction
  // proves that the row is still the newest.
  CommitEffect confirm;
  confirm.m_operation = Begin(aNow, Kind::Confirm, 0);
  confirm.m_commit.m_checks.push_back({ std::string(kIndexKey), m_indexRow });
  aEffects.emplace_back(StepEffect{ Step::ConfirmSend });
  aEffects.emplace_back(std::move(confirm));
}

void
SettingsStore::SendIndexRead(Time aNow, Effects& aEffects)
{
  m_nextFetch = aNow + m_options.m_retry;
  ReadEffect read;
  read.m_operation = Begin(aNow, Kind::Index, 0);
  read.m_read.m_keys.emplace_back(kIndexKey);
  aEffects.emplace_back(StepEffect{ Step::IndexReadSend });
  aEffects.emplace_back(std::move(read));
}

void
SettingsStore::FetchIfWanted(Time aNow, Effects& aEffects)
{
  const bool busy = InFlight(Kind::Index) || InFlight(Kind::Rows);
  if (m_fetchWanted && !busy && aNow >= m_nextFetch &&
      (m_readByItself || MayReadTable(aNow))) {
    SendIndexRead(aNow, aEffects);
  }
}

bool
SettingsStore::IsReader(Time aNow) const
{
  const Duration lost = Scale(m_options.m_heartbeat, kReaderLostPeriods);
  return std::ranges::none_of(m_members, [&](const Member& aMember) {
    const auto peer = m_peers.find(aMember.m_vm);
    return aMember.m_region == m_options.m_region &&
           aMember.m_vm < m_options.m_self && peer != m_peers.end() &&
           aNow - peer->second.m_heardAt < lost;
  });
}

bool
SettingsStore::MayReadTable(Time aNow) const
{
  const auto age = ConfirmationAge(aNow);
  return m_options.m_distribution == Distribution::Direct || !age ||
         *age >= m_options.m_ownReadAge || IsReader(aNow);
}

void
SettingsStore::Confirmed(Time aAsOf)
{
  if (!m_confirmedAt || aAsOf > *m_confirmedAt) {
    m_confirmedAt = aAsOf;
    std::erase_if(m_lost,
                  [&](const auto& aLost) { return aLost.first < aAsOf; });
  }
  UpdateReady();
}

void
SettingsStore::UpdateReady()
{
  // A confirmation from before the start could stem from a peer that didn't
  // know what the previous process on this VM had already served.
  const bool confirmed = m_confirmedAt && *m_confirmedAt >= m_startedAt;
  const bool enough =
    confirmed || (Has(Mutation::ServeUnconfirmed) && AllAnswered());
  m_ready = m_ready || (m_haveIndex && enough && m_index.m_fleet >= m_known);
}

bool
SettingsStore::AllAnswered() const
{
  return std::ranges::all_of(m_members, [&](const Member& aMember) {
    const auto peer = m_peers.find(aMember.m_vm);
    return peer != m_peers.end() && peer->second.m_hasAnswered;
  });
}

void
SettingsStore::OnConfirm(Time aNow,
                         const Operation& aOperation,
                         const table::CommitResult& aResult,
                         Effects& aEffects)
{
  aEffects.emplace_back(StepEffect{ Step::ConfirmAnswer });
  if (aResult.m_state == table::CommitState::Committed) {
    Confirmed(aOperation.m_sentAt);
  } else if (aResult.m_state == table::CommitState::Conflict) {
    m_fetchWanted = true;
    FetchIfWanted(aNow, aEffects);
  }
}

std::vector<std::string>
SettingsStore::ChangedSubtrees(const IndexRow& aIndex) const
{
  std::vector<std::string> changed;
  for (const auto& [name, version] : aIndex.m_subtrees) {
    const Subtree* present = m_tree.Find(name);
    const SettingsVersion have = present == nullptr ? 0 : present->m_version;
    if (version > have || (Has(Mutation::NoVersionCheck) && version != have)) {
      changed.push_back(name);
    }
  }
  return changed;
}

void
SettingsStore::OnIndexRead(Time aNow,
                           const Operation& aOperation,
                           const table::ReadResult& aResult,
                           Effects& aEffects)
{
  aEffects.emplace_back(StepEffect{ Step::IndexReadAnswer });
  if (!aResult.m_ok) {
    return;
  }
  const RowVersion row = RowVersionIn(aResult.m_rows, kIndexKey);
  if (m_haveIndex && row == m_indexRow) {
    if (Has(Mutation::ConfirmByRead)) {
      Confirmed(aOperation.m_sentAt);
    }
    m_fetchWanted = m_fetchWanted && m_known > m_index.m_fleet;
    return;
  }
  const auto index = IndexIn(aResult.m_rows);
  const bool older =
    m_haveIndex && row < m_indexRow && !Has(Mutation::NoVersionCheck);
  if (older || !index) {
    return;
  }
  ReadEffect read;
  read.m_operation = Begin(aNow, Kind::Rows, 0);
  auto& subtrees = m_operations[read.m_operation].m_subtrees;
  subtrees = ChangedSubtrees(*index);
  read.m_read.m_keys.emplace_back(kIndexKey);
  for (const std::string& name : subtrees) {
    read.m_read.m_keys.push_back(SubtreeKey(name));
  }
  aEffects.emplace_back(StepEffect{ Step::RowsReadSend });
  aEffects.emplace_back(std::move(read));
}

void
SettingsStore::OnRowsRead(Time aNow,
                          const Operation& aOperation,
                          const table::ReadResult& aResult,
                          Effects& aEffects)
{
  aEffects.emplace_back(StepEffect{ Step::RowsReadAnswer });
  if (!aResult.m_ok) {
    return;
  }
  TakeRows(aNow, aResult.m_rows, aOperation.m_subtrees, aEffects);
  if (Has(Mutation::ConfirmByRead) && m_haveIndex) {
    Confirmed(aOperation.m_sentAt);
  }
}

void
SettingsStore::TakeRows(Time aNow,
                        const table::Rows& aRows,
                        const std::vector<std::string>& aRequested,
                        Effects& aEffects)
{
  const auto index = IndexIn(aRows);
  const RowVersion row = RowVersionIn(aRows, kIndexKey);
  const bool older =
    m_haveIndex && row < m_indexRow && !Has(Mutation::NoVersionCheck);
  if (!index || older) {
    return;
  }
  bool complete = true;
  for (const std::string& name : ChangedSubtrees(*index)) {
    const bool requested =
      std::ranges::find(aRequested, name) != aRequested.end();
    const bool taken =
      TakeSubtree(name, VersionIn(*index, name), aRows, requested, aEffects);
    complete = complete && taken;
  }
  if (!complete) {
    m_fetchWanted = true;
    return;
  }
  const table::Row* indexRow = FindRow(aRows, kIndexKey);
  m_haveIndex = true;
  m_index = *index;
  m_indexRow = row;
  m_indexValue = indexRow == nullptr ? "" : indexRow->m_value;
  m_known = std::max(m_known, m_index.m_fleet);
  m_fetchWanted = m_known > m_index.m_fleet;
  m_readByItself = m_readByItself && m_fetchWanted;
  // The next check confirms what has just been read.
  if (m_options.m_distribution == Distribution::Direct || MayReadTable(aNow)) {
    m_nextPoll = aNow;
  }
  UpdateReady();
  // The region learns of the new version now and not with the next period.
  if (m_options.m_distribution == Distribution::Region && IsReader(aNow)) {
    SendHeartbeats(aNow, true, aEffects);
  }
}

bool
SettingsStore::TakeSubtree(const std::string& aName,
                           SettingsVersion aVersion,
                           const table::Rows& aRows,
                           bool aRequested,
                           Effects& aEffects)
{
  const table::Row* row = FindRow(aRows, SubtreeKey(aName));
  std::optional<SubtreeRow> decoded;
  if (row != nullptr) {
    decoded =
      TryDecode<SubtreeRow>([&] { return DecodeSubtree(row->m_value); });
  }
  const auto found = m_tree.All().find(aName);
  const auto before = found == m_tree.All().end()
                        ? std::make_shared<const Subtree>()
                        : found->second;
  if (decoded && decoded->m_version >= aVersion) {
    Subtree subtree;
    subtree.m_version = decoded->m_version;
    subtree.m_rowVersion = row->m_version;
    subtree.m_text = decoded->m_text;
    subtree.m_nonce = decoded->m_nonce;
    m_tree.Set(aName, subtree);
  } else if (aRequested) {
    m_tree.SetFault(aName, aVersion, "the row is absent or malformed");
  } else {
    return false;
  }
  const Subtree* taken = m_tree.Find(aName);
  aEffects.emplace_back(StepEffect{ Step::TakeInForce });
  aEffects.emplace_back(
    InForceEffect{ aName,
                   taken->m_version,
                   m_index.m_fleet,
                   DiffText(aName, before->m_values, taken->m_values),
                   taken->m_fault });
  return true;
}

// --- Peers ---

void
SettingsStore::SendHeartbeats(Time aNow, bool aOnlyRegion, Effects& aEffects)
{
  Heartbeat heartbeat;
  heartbeat.m_incarnation = m_options.m_incarnation;
  heartbeat.m_number = ++m_heartbeatNumber;
  heartbeat.m_fleet = m_index.m_fleet;
  heartbeat.m_known = m_known;
  if (m_ready) {
    heartbeat.m_age = ConfirmationAge(aNow);
  }
  m_heartbeatTimes[m_heartbeatNumber] = aNow;
  if (m_heartbeatTimes.size() > kRememberedHeartbeats) {
    m_heartbeatTimes.erase(m_heartbeatTimes.begin());
  }
  aEffects.emplace_back(StepEffect{ Step::HeartbeatSend });
  for (const Member& member : m_members) {
    if (aOnlyRegion && member.m_region != m_options.m_region) {
      continue;
    }
    const Peer& peer = m_peers[member.m_vm];
    heartbeat.m_echoIncarnation = peer.m_incarnation;
    heartbeat.m_echoNumber = peer.m_number;
    aEffects.emplace_back(SendEffect{ member.m_vm, heartbeat });
  }
}

Effects
SettingsStore::OnMessage(Time aNow,
                         const VmId& aFrom,
                         const PeerMessage& aMessage)
{
  Effects effects;
  if (const auto* heartbeat = std::get_if<Heartbeat>(&aMessage)) {
    effects.emplace_back(StepEffect{ Step::HeartbeatAnswer });
    OnHeartbeat(aNow, aFrom, *heartbeat, effects);
  } else if (const auto* request = std::get_if<RowsRequest>(&aMessage)) {
    OnRowsRequest(aFrom, *request, effects);
  } else if (const auto* answer = std::get_if<RowsAnswer>(&aMessage)) {
    effects.emplace_back(StepEffect{ Step::PeerRowsAnswer });
    // An answer without an index row says nothing about the settings.
    if (FindRow(answer->m_rows, kIndexKey) != nullptr) {
      TakeRows(aNow, answer->m_rows, {}, effects);
    }
  }
  return effects;
}

void
SettingsStore::OnHeartbeat(Time aNow,
                           const VmId& aFrom,
                           const Heartbeat& aHeartbeat,
                           Effects& aEffects)
{
  Peer& peer = m_peers[aFrom];
  if (aHeartbeat.m_incarnation < peer.m_incarnation) {
    return;
  }
  if (aHeartbeat.m_incarnation > peer.m_incarnation) {
    peer = Peer();
    peer.m_incarnation = aHeartbeat.m_incarnation;
  }
  peer.m_number = std::max(peer.m_number, aHeartbeat.m_number);
  peer.m_heardAt = aNow;
  const bool echoesThis =
    aHeartbeat.m_echoIncarnation == m_options.m_incarnation;
  peer.m_hasAnswered = peer.m_hasAnswered || echoesThis;
  m_known = std::max(m_known, aHeartbeat.m_known);
  Credit(aNow, aFrom, aHeartbeat);
  UpdateReady();
  if (m_known <= m_index.m_fleet) {
    return;
  }
  m_fetchWanted = true;
  if (MayReadTable(aNow)) {
    FetchIfWanted(aNow, aEffects);
    return;
  }
  const auto sender = std::ranges::find(m_members, aFrom, &Member::m_vm);
  if (aHeartbeat.m_fleet > m_index.m_fleet && sender != m_members.end() &&
      sender->m_region == m_options.m_region && aNow >= m_nextFetch) {
    m_nextFetch = aNow + m_options.m_retry;
    RowsRequest request;
    request.m_fleet = m_index.m_fleet;
    for (const auto& [name, subtree] : m_tree.All()) {
      request.m_have[name] = subtree->m_version;
    }
    aEffects.emplace_back(StepEffect{ Step::PeerRowsSend });
    aEffects.emplace_back(SendEffect{ aFrom, std::move(request) });
  }
}

void
SettingsStore::Credit(Time aNow, const VmId& aFrom, const Heartbeat& aHeartbeat)
{
  const bool sameSettings = aHeartbeat.m_fleet <= m_index.m_fleet;
  if (!aHeartbeat.m_age || !m_haveIndex || !sameSettings ||
      aFrom == m_options.m_self) {
    return;
  }
  const Duration age =
    Scale(*aHeartbeat.m_age, 1 + 2 * m_options.m_clockRateError);
  if (Has(Mutation::HeartbeatAtArrival)) {
    Confirmed(aNow - age);
    return;
  }
  const auto sent = m_heartbeatTimes.find(aHeartbeat.m_echoNumber);
  if (aHeartbeat.m_echoIncarnation == m_options.m_incarnation &&
      sent != m_heartbeatTimes.end()) {
    Confirmed(sent->second - age);
  }
}

void
SettingsStore::OnRowsRequest(const VmId& aFrom,
                             const RowsRequest& aRequest,
                             Effects& aEffects)
{
  if (!m_ready || m_indexRow == 0 || aRequest.m_fleet >= m_index.m_fleet) {
    return;
  }
  RowsAnswer answer;
  answer.m_rows[std::string(kIndexKey)] = { m_indexValue, m_indexRow };
  std::size_t bytes = m_indexValue.size();
  for (const auto& [name, subtree] : m_tree.All()) {
    const auto have = aRequest.m_have.find(name);
    const bool isNew =
      have == aRequest.m_have.end() || have->second < subtree->m_version;
    if (!isNew || subtree->m_rowVersion == 0 || bytes > kMaxAnswerBytes) {
      continue;
    }
    table::Row row;
    row.m_value =
      EncodeSubtree({ subtree->m_version, subtree->m_text, subtree->m_nonce });
    row.m_version = subtree->m_rowVersion;
    bytes += row.m_value.size();
    answer.m_rows[SubtreeKey(name)] = std::move(row);
  }
  aEffects.emplace_back(StepEffect{ Step::PeerRowsSend });
  aEffects.emplace_back(SendEffect{ aFrom, std::move(answer) });
}

// --- Freshness of keys ---

std::optional<Duration>
SettingsStore::ConfirmationAge(Time aNow) const
{
  if (!m_confirmedAt) {
    return std::nullopt;
  }
  return aNow - *m_confirmedAt;
}

bool
SettingsStore::KeysUsable(Time aNow) const
{
  if (!m_ready) {
    return false;
  }
  if (Has(Mutation::NoFreshnessLimit)) {
    return true;
  }
  const auto age = ConfirmationAge(aNow);
  return (age && *age < m_options.m_keyFreshness) || IsExtended(aNow);
}

bool
SettingsStore::IsExtended(Time aNow) const
{
  // With a newer version known to exist but not read, promises say nothing
  // about the version in force.
  if (m_known > m_index.m_fleet || !m_confirmedAt) {
    return false;
  }
  const auto promises = [&](const Member& aMember) {
    const auto found = m_promises.find(aMember.m_vm);
    return found != m_promises.end() &&
           found->second.m_incarnation == aMember.m_incarnation &&
           found->second.m_known <= m_index.m_fleet &&
           aNow < found->second.m_until;
  };
  // A member that was lost or restarted since the last confirmation may have
  // accepted a withdrawal just before.
  const bool lostPromise = Has(Mutation::PromisesOfLiveOnly) ||
                           std::ranges::none_of(m_lost, [&](const auto& aLost) {
                             return aLost.first >= *m_confirmedAt;
                           });
  return lostPromise && !m_members.empty() &&
         std::ranges::all_of(m_members, promises);
}

bool
SettingsStore::IsPromising(Time aNow) const
{
  return m_promisedUntil && aNow < *m_promisedUntil;
}

FleetVersion
SettingsStore::GivePromise(Time aNow)
{
  m_promisedUntil = aNow + m_options.m_promise;
  return m_known;
}

void
SettingsStore::OnPromise(Time aProbeSentAt,
                         const VmId& aVm,
                         Incarnation aIncarnation,
                         FleetVersion aKnown)
{
  const double rate = 1 - 2 * m_options.m_clockRateError;
  const Time until = aProbeSentAt + Scale(m_options.m_promise, rate);
  Promised& promised = m_promises[aVm];
  if (aIncarnation < promised.m_incarnation) {
    return;
  }
  m_known = std::max(m_known, aKnown);
  if (aIncarnation > promised.m_incarnation || until > promised.m_until) {
    promised = { aIncarnation, until, aKnown };
  }
}

std::vector<std::string>
SettingsStore::BadSubtrees() const
{
  std::vector<std::string> names;
  for (const auto& [name, subtree] : m_tree.All()) {
    if (subtree->IsBad()) {
      names.push_back(name);
    }
  }
  return names;
}

// --- Changes ---

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

// --- Answers of the table ---

Effects
SettingsStore::OnCommit(Time aNow,
                        OperationId aOperation,
                        const table::CommitResult& aResult)
{
  Effects effects;
  const auto node = m_operations.extract(aOperation);
  if (node.empty()) {
    return effects;
  }
  const Operation& operation = node.mapped();
  if (operation.m_kind == Kind::Confirm) {
    OnConfirm(aNow, operation, aResult, effects);
    return effects;
  }
  effects.emplace_back(StepEffect{ Step::CommitAnswer });
  const auto pending = m_pending.find(operation.m_ticket);
  if (pending != m_pending.end()) {
    OnChangeCommit(aNow, pending->second, aResult, effects);
  }
  return effects;
}

Effects
SettingsStore::OnRead(Time aNow,
                      OperationId aOperation,
                      const table::ReadResult& aResult)
{
  Effects effects;
  const auto node = m_operations.extract(aOperation);
  if (node.empty()) {
    return effects;
  }
  const Operation& operation = node.mapped();
  if (operation.m_kind == Kind::Index) {
    OnIndexRead(aNow, operation, aResult, effects);
    return effects;
  }
  if (operation.m_kind == Kind::Rows) {
    OnRowsRead(aNow, operation, aResult, effects);
    return effects;
  }
  const bool isReadBack = operation.m_kind == Kind::ReadBack;
  effects.emplace_back(
    StepEffect{ isReadBack ? Step::ReadBackAnswer : Step::ChangeReadAnswer });
  const auto pending = m_pending.find(operation.m_ticket);
  if (pending == m_pending.end()) {
    return effects;
  }
  if (isReadBack) {
    OnReadBack(aNow, pending->second, aResult, effects);
  } else {
    OnChangeRead(aNow, pending->second, aResult, effects);
  }
  return effects;
}

} // namespace lacewing::settings
