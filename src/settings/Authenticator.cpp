#include "settings/Authenticator.h"

#include <algorithm>

namespace lacewing::settings {

Result<TeamId>
Authenticator::TeamOfKey(Time aNow, std::string_view aKey) const
{
  // Without fresh settings even a refusal of the key could be wrong, since the
  // key may just have been created.
  if (!m_store.KeysUsable(aNow)) {
    return Fail(Verdict::NotRun,
                ErrorCode::StaleSettings,
                "this entry VM can't confirm that the key is still valid");
  }
  BOOST_LEAF_AUTO(parts, ParseKey(aKey));
  static const TeamKeys kNoKeys;
  const Subtree* team =
    m_store.Tree().Find(std::string(kTeamPrefix) + parts.m_team.Value());
  const TeamKeys& keys = team == nullptr ? kNoKeys : team->m_keys;
  if (!keys.Matches(parts.m_keyId, parts.m_secret)) {
    return Fail(Verdict::NotRun,
                ErrorCode::Unauthenticated,
                "the key is missing, unknown or withdrawn");
  }
  // The version that can't be read may withdraw the key.
  if (team->IsBad()) {
    return Fail(Verdict::NotRun,
                ErrorCode::StaleSettings,
                "the newest settings of the team can't be read");
  }
  return parts.m_team;
}

Result<TeamId>
Authenticator::Authenticate(Time aNow,
                            std::string_view aKey,
                            const std::string& aQueue) const
{
  if (!m_store.Ready()) {
    return Fail(Verdict::NotRun,
                ErrorCode::StaleSettings,
                "this entry VM has not read the settings yet");
  }
  if (aQueue.empty()) {
    return TeamOfKey(aNow, aKey);
  }
  const auto queue = m_store.Tree().Queue(aQueue);
  if (queue && queue->m_open) {
    return queue->m_teams.front();
  }
  BOOST_LEAF_AUTO(team, TeamOfKey(aNow, aKey));
  if (!queue) {
    return Fail(
      Verdict::NotRun, ErrorCode::NotFound, "there is no queue of that name");
  }
  if (std::ranges::find(queue->m_teams, team) == queue->m_teams.end()) {
    return Fail(Verdict::NotRun,
                ErrorCode::Forbidden,
                "queue " + aQueue + " is not open to team " + team.Value());
  }
  return team;
}

bool
IsAdminKey(const std::string& aDigest, std::string_view aKey)
{
  return SecretMatches(aDigest, aKey);
}

} // namespace lacewing::settings
