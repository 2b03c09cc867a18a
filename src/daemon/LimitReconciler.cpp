#include "daemon/LimitReconciler.h"

#include "ownership/RendezvousHash.h"
#include "settings/SettingsRows.h"

namespace lacewing::daemon {

namespace {

/// The limit that a row gets when the settings have none any more. Owners do
/// not look at the row then; it keeps the allotments for a later limit.
constexpr std::int64_t kNoLimit = 1'000'000'000'000;

} // namespace

LimitReconciler::LimitReconciler(CellState aCell)
  : m_cell(aCell)
{
}

void
LimitReconciler::Tick()
{
  const bool active = m_cell.m_membership.Machine().IsActive();
  if (active && !m_wasActive) {
    // Changes before this process was active may not have been written.
    for (const TeamId& team : m_cell.m_settings.Tree().Teams()) {
      m_toCheck.insert(team);
    }
  }
  m_wasActive = active;
  if (!active) {
    return;
  }
  for (const TeamId& team : m_toCheck) {
    if (IsResponsible(team)) {
      Check(team);
    }
  }
}

bool
LimitReconciler::IsResponsible(const TeamId& aTeam) const
{
  std::vector<VmId> members;
  for (const MemberInfo& member : m_cell.m_membership.Members()) {
    if (member.m_state == ownership::MemberState::Active) {
      members.push_back(member.m_vm);
    }
  }
  const SliceId name("limit/" + aTeam.Value());
  return ownership::ChooseOwner(name, members) == m_cell.m_runtime.Self();
}

void
LimitReconciler::Check(const TeamId& aTeam)
{
  const std::string subtree =
    settings::SubtreeKey(std::string(settings::kTeamPrefix) + aTeam.Value());
  table::Read read;
  read.m_keys = {
    subtree,
    ownership::LimitKey({ aTeam, ownership::LimitUnit::Millicores }),
    ownership::LimitKey({ aTeam, ownership::LimitUnit::Requests })
  };
  m_cell.m_runtime.Table().Fetch(
    "limits", read, [this, aTeam, subtree](const table::ReadResult& aResult) {
      if (aResult.m_ok) {
        OnRows(aTeam, subtree, aResult.m_rows);
      }
    });
}

void
LimitReconciler::OnRows(const TeamId& aTeam,
                        const std::string& aSubtreeKey,
                        const table::Rows& aRows)
{
  const auto team = m_cell.m_settings.Tree().Team(aTeam);
  const auto subtree = aRows.find(aSubtreeKey);
  const settings::Subtree* inForce = m_cell.m_settings.Tree().Find(
    std::string(settings::kTeamPrefix) + aTeam.Value());
  if (!team || subtree == aRows.end() || inForce == nullptr ||
      inForce->m_rowVersion != subtree->second.m_version) {
    return;
  }
  table::Commit commit;
  // The check keeps a process with older settings from writing its limit.
  commit.m_checks.push_back({ aSubtreeKey, subtree->second.m_version });
  const bool cores = AddChange(commit,
                               aRows,
                               { aTeam, ownership::LimitUnit::Millicores },
                               team->m_limitMillicores);
  const bool requests = AddChange(commit,
                                  aRows,
                                  { aTeam, ownership::LimitUnit::Requests },
                                  team->m_limitRequests);
  if (!cores && !requests) {
    m_toCheck.erase(aTeam);
    return;
  }
  m_cell.m_runtime.Table().Submit(
    "limits", commit, [this, aTeam](const table::CommitResult& aResult) {
      if (aResult.m_state != table::CommitState::Committed) {
        return;
      }
      m_toCheck.erase(aTeam);
      observe::Event event;
      event.m_kind = observe::EventKind::LimitChanged;
      event.m_team = aTeam;
      m_cell.m_runtime.Record(event);
    });
}

bool
LimitReconciler::AddChange(table::Commit& aCommit,
                           const table::Rows& aRows,
                           const ownership::LimitId& aLimit,
                           const std::optional<std::int64_t>& aWanted) const
{
  const std::string key = ownership::LimitKey(aLimit);
  const auto found = aRows.find(key);
  if (found == aRows.end() && !aWanted) {
    return false;
  }
  ownership::LimitRow row;
  RowVersion version = 0;
  if (found != aRows.end()) {
    const auto decoded = ownership::DecodeLimit(found->second.m_value);
    if (!decoded) {
      return false;
    }
    row = *decoded;
    version = found->second.m_version;
  }
  const std::int64_t wanted = aWanted.value_or(kNoLimit);
  if (version != 0 && row.m_limit == wanted) {
    return false;
  }
  aCommit.m_checks.push_back({ key, version });
  aCommit.m_puts.push_back(
    { key, ownership::EncodeLimit(ownership::WithLimit(row, wanted)) });
  return true;
}

} // namespace lacewing::daemon
