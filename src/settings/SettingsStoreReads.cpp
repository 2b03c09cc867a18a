#include "settings/SettingsStore.h"

#include "settings/RowSnapshot.h"

#include <algorithm>

namespace lacewing::settings {

namespace {

/// A reader counts as lost after this many heartbeat periods without one.
constexpr double kReaderLostPeriods = 2.5;

} // namespace

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

} // namespace lacewing::settings
