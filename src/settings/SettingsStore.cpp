#include "settings/SettingsStore.h"

#include <algorithm>

namespace lacewing::settings {

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
