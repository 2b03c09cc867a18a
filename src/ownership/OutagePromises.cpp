#include "ownership/OutagePromises.h"

#include <algorithm>

namespace lacewing::ownership {

namespace {

constexpr std::size_t kKeptRounds = 6;

} // namespace

OutagePromises::OutagePromises(OwnershipOptions aOptions,
                               VmId aSelf,
                               RegionId aRegion)
  : m_options(aOptions)
  , m_self(std::move(aSelf))
  , m_region(std::move(aRegion))
{
}

void
OutagePromises::OnHello(const VmId& aFrom, const Hello& aHello)
{
  m_hellos[aFrom] = aHello;
  m_settingsWriters[aFrom] = aHello.m_incarnation;
}

Promise
OutagePromises::Give(Time aNow,
                     const VmId& aTo,
                     const OutageProbe& aProbe,
                     bool aMayTakeOver,
                     bool aMaySetSettings)
{
  Promise promise;
  promise.m_round = aProbe.m_round;
  promise.m_settingsVersion = m_settingsVersion;
  if (!aMayTakeOver) {
    promise.m_noTakeover = true;
    if (m_options.m_mechanisms.m_promiseObligation) {
      m_boundUntil[aTo] = aNow + m_options.m_promise;
    }
  }
  if (!aMaySetSettings) {
    promise.m_noSettings = true;
    m_noSettingsUntil = aNow + m_options.m_promise;
  }
  return promise;
}

bool
OutagePromises::IsBoundTo(Time aNow, const VmId& aVm) const
{
  const auto found = m_boundUntil.find(aVm);
  return found != m_boundUntil.end() && aNow < found->second;
}

OutageProbe
OutagePromises::Ask(Time aNow, Incarnation aOwn)
{
  m_rounds.push_back({ ++m_round, aNow, {}, {} });
  if (m_rounds.size() > kKeptRounds) {
    m_rounds.erase(m_rounds.begin());
  }
  return { m_round, aOwn };
}

std::vector<VmId>
OutagePromises::Peers(const MembershipView& aView) const
{
  std::set<VmId> peers;
  for (const auto& [vm, seen] : aView.Members()) {
    if (seen.m_row.m_state != MemberState::Deposed) {
      peers.insert(vm);
    }
  }
  for (const auto& [vm, hello] : m_hellos) {
    if (!aView.IsEnded(vm, hello.m_incarnation)) {
      peers.insert(vm);
    }
  }
  peers.erase(m_self);
  std::erase_if(peers, [&](const VmId& aVm) { return aView.IsGone(aVm); });
  return { peers.begin(), peers.end() };
}

void
OutagePromises::OnPromise(Time aNow,
                          const VmId& aFrom,
                          const Promise& aPromise,
                          const MembershipView& aView,
                          Time aAuthority)
{
  const auto round =
    std::find_if(m_rounds.begin(), m_rounds.end(), [&](const Round& aRound) {
      return aRound.m_id == aPromise.m_round;
    });
  if (round == m_rounds.end()) {
    return;
  }
  if (aPromise.m_noTakeover) {
    round->m_noTakeover.insert(aFrom);
  }
  if (aPromise.m_noSettings &&
      aPromise.m_settingsVersion <= m_settingsVersion) {
    round->m_noSettings[aFrom] = aPromise.m_incarnation;
  }
  // An authority that has ended is not revived: meanwhile the member may have
  // been deposed and others may have joined that it does not know.
  const bool continuous =
    aNow < aAuthority || !m_options.m_mechanisms.m_promiseContinuity;
  const Time end = round->m_asked + m_options.PromiseWorth();
  if (continuous && RegionIsBound(*round, aView)) {
    m_extendedUntil = std::max(m_extendedUntil, end);
  }
  if (FleetIsBound(*round) && IsFresh(aNow)) {
    m_freshUntil = std::max(m_freshUntil, end);
  }
}

void
OutagePromises::OnSettingsConfirmed(Time aConfirmed,
                                    std::uint64_t aVersion,
                                    const MembershipView& aView)
{
  if (aConfirmed < m_settingsConfirmed) {
    return;
  }
  m_settingsConfirmed = aConfirmed;
  m_settingsVersion = std::max(m_settingsVersion, aVersion);
  m_settingsWriters.clear();
  for (const VmId& vm : Peers(aView)) {
    const SeenMember* seen = aView.Member(vm);
    const auto hello = m_hellos.find(vm);
    const Incarnation byRow = seen == nullptr ? 0 : seen->m_row.m_incarnation;
    const Incarnation byHello =
      hello == m_hellos.end() ? 0 : hello->second.m_incarnation;
    m_settingsWriters[vm] = std::max(byRow, byHello);
  }
}

bool
OutagePromises::IsFresh(Time aNow) const
{
  const bool confirmed = m_settingsConfirmed != Time::min() &&
                         aNow - m_settingsConfirmed <= m_options.m_freshness;
  return confirmed || aNow < m_freshUntil;
}

bool
OutagePromises::RegionIsBound(const Round& aRound,
                              const MembershipView& aView) const
{
  const auto peers = Peers(aView);
  return std::all_of(peers.begin(), peers.end(), [&](const VmId& aVm) {
    const SeenMember* seen = aView.Member(aVm);
    const auto hello = m_hellos.find(aVm);
    const bool ownRegion =
      (seen != nullptr && seen->m_row.m_region == m_region) ||
      (hello != m_hellos.end() && hello->second.m_region == m_region);
    return !ownRegion || aRound.m_noTakeover.contains(aVm);
  });
}

bool
OutagePromises::FleetIsBound(const Round& aRound) const
{
  // A writer that is gone or has restarted may have accepted a change that
  // nobody else knows, so that its promise is needed from the same process.
  return std::all_of(m_settingsWriters.begin(),
                     m_settingsWriters.end(),
                     [&](const auto& aWriter) {
                       const auto found =
                         aRound.m_noSettings.find(aWriter.first);
                       return found != aRound.m_noSettings.end() &&
                              found->second == aWriter.second;
                     });
}

} // namespace lacewing::ownership
