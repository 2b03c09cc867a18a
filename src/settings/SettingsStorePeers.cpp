#include "settings/SettingsStore.h"

#include "settings/RowSnapshot.h"

#include <algorithm>

namespace lacewing::settings {

namespace {

/// Heartbeats whose send times are remembered; older echoes are ignored.
constexpr std::size_t kRememberedHeartbeats = 64;
/// Bound of the rows in one answer to a peer; the frames of peers hold 1 MiB.
constexpr std::size_t kMaxAnswerBytes = 512 * 1024;

} // namespace

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

} // namespace lacewing::settings
