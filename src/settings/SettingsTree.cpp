#include "settings/SettingsTree.h"

#include <set>

namespace lacewing::settings {

namespace {

/// A removed team's row stays, so that its versions go on growing.
bool
IsRemoved(const CheckedText& aTeam)
{
  return aTeam.Get("team", "removed") == "true";
}

std::string
Shown(const CheckedText& aText,
      const std::string& aSection,
      const std::string& aKey)
{
  if (!aText.Has(aSection, aKey)) {
    return "";
  }
  const SettingDef* setting = FindSetting(aText.GetScope(), aSection, aKey);
  const bool hidden = setting == nullptr ||
                      setting->m_type == ValueType::KeyDigest ||
                      setting->m_type == ValueType::Secret;
  return hidden ? "(hidden)" : aText.Get(aSection, aKey);
}

} // namespace

Result<Scope>
ScopeOf(const std::string& aSubtree)
{
  if (aSubtree == kSystemSubtree) {
    return Scope::System;
  }
  if (aSubtree.starts_with(kTeamPrefix) &&
      IsName(std::string_view(aSubtree).substr(kTeamPrefix.size()))) {
    return Scope::Team;
  }
  return Fail(Verdict::NotRun,
              ErrorCode::BadInput,
              "'" + aSubtree.substr(0, 2 * kMaxNameBytes) +
                "' is not a subtree; expected system or team.NAME");
}

void
SettingsTree::Set(const std::string& aSubtree, const Subtree& aRow)
{
  auto next = std::make_shared<Subtree>(aRow);
  const Subtree* present = Find(aSubtree);
  const Scope scope = aSubtree == kSystemSubtree ? Scope::System : Scope::Team;
  IniResult parsed = ParseIni(scope, aSubtree, aRow.m_text);
  if (parsed.Ok()) {
    next->m_values = std::move(parsed.m_text);
    next->m_inForce = aRow.m_version;
    next->m_fault.clear();
  } else {
    next->m_values =
      present == nullptr ? CheckedText(scope) : present->m_values;
    next->m_inForce = present == nullptr ? 0 : present->m_inForce;
    next->m_fault = parsed.ErrorText();
  }
  if (scope == Scope::Team && !IsRemoved(next->m_values)) {
    next->m_keys = TeamKeys(next->m_values);
  }
  m_subtrees[aSubtree] = std::move(next);
}

void
SettingsTree::SetFault(const std::string& aSubtree,
                       SettingsVersion aVersion,
                       std::string aFault)
{
  const Subtree* present = Find(aSubtree);
  auto next = present == nullptr ? std::make_shared<Subtree>()
                                 : std::make_shared<Subtree>(*present);
  if (present == nullptr) {
    next->m_values =
      CheckedText(aSubtree == kSystemSubtree ? Scope::System : Scope::Team);
  }
  next->m_version = aVersion;
  next->m_fault = std::move(aFault);
  m_subtrees[aSubtree] = std::move(next);
}

const Subtree*
SettingsTree::Find(const std::string& aSubtree) const
{
  const auto found = m_subtrees.find(aSubtree);
  return found == m_subtrees.end() ? nullptr : found->second.get();
}

const CheckedText&
SettingsTree::System() const
{
  static const CheckedText kDefaults(Scope::System);
  const Subtree* system = Find(std::string(kSystemSubtree));
  return system == nullptr ? kDefaults : system->m_values;
}

std::int64_t
SettingsTree::Integer(const std::string& aSection,
                      const std::string& aKey) const
{
  return System().GetInteger(aSection, aKey);
}

double
SettingsTree::Real(const std::string& aSection, const std::string& aKey) const
{
  return System().GetReal(aSection, aKey);
}

Duration
SettingsTree::Milliseconds(const std::string& aSection,
                           const std::string& aKey) const
{
  return milliseconds(Integer(aSection, aKey));
}

std::optional<QueueSettings>
SettingsTree::Queue(const std::string& aName) const
{
  const std::string section = "queue." + aName;
  if (!System().Has(section, "teams")) {
    return std::nullopt;
  }
  QueueSettings queue;
  queue.m_open = System().Get(section, "access") == "open";
  for (std::string& team : System().GetList(section, "teams")) {
    queue.m_teams.emplace_back(std::move(team));
  }
  return queue;
}

std::optional<ServiceSettings>
SettingsTree::Service(const ServiceId& aService) const
{
  const std::string section = "service." + aService.Value();
  bool found = false;
  for (const std::string& each : System().Sections()) {
    found = found || each == section;
  }
  if (!found) {
    return std::nullopt;
  }
  ServiceSettings service;
  service.m_slots = static_cast<int>(System().GetInteger(section, "slots"));
  service.m_connections =
    static_cast<int>(System().GetInteger(section, "connections"));
  service.m_idempotentMethods = System().GetList(section, "idempotent_methods");
  return service;
}

std::optional<TeamSettings>
SettingsTree::Team(const TeamId& aTeam) const
{
  const Subtree* subtree = Find(std::string(kTeamPrefix) + aTeam.Value());
  if (subtree == nullptr || IsRemoved(subtree->m_values)) {
    return std::nullopt;
  }
  const CheckedText& values = subtree->m_values;
  TeamSettings team;
  team.m_weight = values.GetReal("team", "weight");
  if (values.Has("team", "limit.millicores")) {
    team.m_limitMillicores = values.GetInteger("team", "limit.millicores");
  }
  if (values.Has("team", "limit.requests")) {
    team.m_limitRequests = values.GetInteger("team", "limit.requests");
  }
  return team;
}

std::vector<std::string>
SettingsTree::NamesOf(const std::string& aPrefix) const
{
  std::vector<std::string> names;
  for (const std::string& section : System().Sections()) {
    if (section.starts_with(aPrefix)) {
      names.push_back(section.substr(aPrefix.size()));
    }
  }
  return names;
}

std::vector<TeamId>
SettingsTree::Teams() const
{
  std::vector<TeamId> teams;
  for (const auto& [name, subtree] : m_subtrees) {
    if (name.starts_with(kTeamPrefix) && !IsRemoved(subtree->m_values)) {
      teams.emplace_back(name.substr(kTeamPrefix.size()));
    }
  }
  return teams;
}

std::vector<SettingChange>
DiffText(const std::string& aSubtree,
         const CheckedText& aBefore,
         const CheckedText& aAfter)
{
  std::set<std::pair<std::string, std::string>> places;
  for (const auto& [place, value] : aBefore.Values()) {
    places.insert(place);
  }
  for (const auto& [place, value] : aAfter.Values()) {
    places.insert(place);
  }
  std::vector<SettingChange> changes;
  for (const auto& [section, key] : places) {
    const bool had = aBefore.Has(section, key);
    const bool has = aAfter.Has(section, key);
    if (had == has && aBefore.Get(section, key) == aAfter.Get(section, key)) {
      continue;
    }
    changes.push_back({ aSubtree,
                        section,
                        key,
                        Shown(aBefore, section, key),
                        Shown(aAfter, section, key) });
  }
  return changes;
}

std::vector<SettingChange>
Diff(const SettingsTree& aBefore, const SettingsTree& aAfter)
{
  std::set<std::string> names;
  for (const auto& [name, subtree] : aBefore.All()) {
    names.insert(name);
  }
  for (const auto& [name, subtree] : aAfter.All()) {
    names.insert(name);
  }
  std::vector<SettingChange> changes;
  for (const std::string& name : names) {
    const Subtree* before = aBefore.Find(name);
    const Subtree* after = aAfter.Find(name);
    const CheckedText none(name == kSystemSubtree ? Scope::System
                                                  : Scope::Team);
    for (SettingChange& change :
         DiffText(name,
                  before == nullptr ? none : before->m_values,
                  after == nullptr ? none : after->m_values)) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

} // namespace lacewing::settings
