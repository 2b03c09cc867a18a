#include "daemon/HeartbeatPlan.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace lacewing::daemon {

namespace {

/// Smallest change of a load, as a part of the capacity, that counts.
constexpr double kLoadStep = 1.0 / 32;

bool
HasRoom(const peer::SliceLoad& aLoad)
{
  return aLoad.m_load < 1.0;
}

/// Whether the time has come, or is nearer to this tick than to the next:
/// ticks are not exact.
bool
IsDue(Time aNow, Time aLast, Duration aPeriod)
{
  return aLast == Time::min() || aNow + kHeartbeatTick / 2 >= aLast + aPeriod;
}

/// Receivers get their full heartbeats at different times.
Duration
FullOffset(const VmId& aReceiver)
{
  const std::string& name = aReceiver.Value();
  const auto hash = XXH3_64bits(name.data(), name.size());
  const auto period = static_cast<std::uint64_t>(kFullHeartbeatPeriod.count());
  return Duration(static_cast<Duration::rep>(hash % period));
}

const SliceId&
KeyOf(const peer::SliceLoad& aLoad)
{
  return aLoad.m_slice;
}

const TeamId&
KeyOf(const peer::TeamUsage& aUsage)
{
  return aUsage.m_team;
}

/// Takes the values that `aTake` selects as told in the heartbeat
/// `aSequence`. `aTake` gets what was told before, if anything, and the value
/// now, if there is one.
template<typename ToldMap, typename Value, typename Take>
void
TakeChanges(ToldMap& aTold,
            const std::vector<Value>& aNow,
            std::uint64_t aSequence,
            Take aTake)
{
  std::set<typename ToldMap::key_type> present;
  for (const Value& value : aNow) {
    present.insert(KeyOf(value));
    auto& told = aTold[KeyOf(value)];
    const std::optional<Value> now = value;
    if (told.m_value != now && aTake(told.m_value, now)) {
      told = { now, aSequence };
    }
  }
  for (auto& [key, told] : aTold) {
    if (told.m_value && !present.contains(key) &&
        aTake(told.m_value, std::optional<Value>())) {
      told = { std::nullopt, aSequence };
    }
  }
}

/// Adds what was told first after the base, again: an earlier heartbeat that
/// contained it may be lost.
template<typename ToldMap, typename Value, typename Key>
void
AddChanges(const ToldMap& aTold,
           std::uint64_t aBase,
           std::vector<Value>& aValues,
           std::vector<Key>& aRemoved)
{
  for (const auto& [key, told] : aTold) {
    if (told.m_sequence <= aBase) {
      continue;
    }
    if (told.m_value) {
      aValues.push_back(*told.m_value);
    } else if (aBase > 0) {
      // A full heartbeat removes what it does not contain.
      aRemoved.push_back(key);
    }
  }
}

template<typename ToldMap>
void
ForgetRemoved(ToldMap& aTold, std::uint64_t aBase)
{
  std::erase_if(aTold, [&](const auto& aEntry) {
    return !aEntry.second.m_value && aEntry.second.m_sequence <= aBase;
  });
}

} // namespace

bool
CountsAsChanged(const peer::SliceLoad& aTold, const peer::SliceLoad& aNow)
{
  return std::abs(aNow.m_load - aTold.m_load) > kLoadStep ||
         HasRoom(aNow) != HasRoom(aTold) ||
         (aNow.m_queueLength == 0) != (aTold.m_queueLength == 0);
}

bool
HeartbeatPlan::HasUrgentChange(const Receiver& aReceiver,
                               const peer::Heartbeat& aState)
{
  std::size_t known = 0;
  for (const peer::SliceLoad& slice : aState.m_slices) {
    const auto told = aReceiver.m_slices.find(slice.m_slice);
    if (told == aReceiver.m_slices.end() || !told->second.m_value ||
        CountsAsChanged(*told->second.m_value, slice)) {
      return true;
    }
    ++known;
  }
  const auto present =
    std::ranges::count_if(aReceiver.m_slices, [](const auto& aEntry) {
      return aEntry.second.m_value.has_value();
    });
  return known != static_cast<std::size_t>(present);
}

/// A release stays pending while the state contains it, acknowledged or not:
/// the next owner may claim the slice only after its process has acknowledged
/// the release.
void
HeartbeatPlan::TakeReleases(Time aNow,
                            Receiver& aReceiver,
                            const peer::Heartbeat& aState) const
{
  for (PendingRelease& pending : aReceiver.m_releases) {
    pending.m_current = false;
  }
  for (const peer::ReleasedSlice& released : aState.m_released) {
    const auto known = std::ranges::find(
      aReceiver.m_releases, released, &PendingRelease::m_release);
    if (known != aReceiver.m_releases.end()) {
      known->m_current = true;
    } else {
      aReceiver.m_releases.push_back({ released, aNow, m_sequence + 1, true });
    }
  }
  std::erase_if(aReceiver.m_releases, [&](const PendingRelease& aPending) {
    return !aPending.m_current && (aPending.m_sequence <= aReceiver.m_base ||
                                   aNow - aPending.m_since > kReleaseMaxAge);
  });
}

std::optional<peer::Heartbeat>
HeartbeatPlan::Next(Time aNow,
                    const VmId& aReceiver,
                    bool aSameRegion,
                    const peer::Heartbeat& aState)
{
  const auto [entry, isNew] = m_receivers.try_emplace(aReceiver);
  Receiver& receiver = entry->second;
  if (isNew) {
    receiver.m_nextFull = aNow + FullOffset(aReceiver);
    receiver.m_firstValid = m_sequence + 1;
  }
  TakeReleases(aNow, receiver, aState);
  const bool changed = aSameRegion && HasUrgentChange(receiver, aState);
  const bool urgent = changed || !receiver.m_releases.empty();
  const bool detail = IsDue(aNow, receiver.m_lastDetail, kFullDetailPeriod);
  const Duration period =
    aSameRegion ? kRegionHeartbeatPeriod : kFullDetailPeriod;
  const bool unacknowledged = receiver.m_urgent > receiver.m_base;
  if (!urgent && !unacknowledged && !detail &&
      !IsDue(aNow, receiver.m_lastSent, period)) {
    return std::nullopt;
  }
  const std::uint64_t sequence = ++m_sequence;
  receiver.m_sequence = sequence;
  receiver.m_lastSent = aNow;
  if (urgent) {
    receiver.m_urgent = sequence;
  }
  if (detail) {
    receiver.m_lastDetail = aNow;
  }
  TakeChanges(receiver.m_slices,
              aState.m_slices,
              sequence,
              [&](const auto& aTold, const auto& aSlice) {
                return detail || !aTold || !aSlice ||
                       CountsAsChanged(*aTold, *aSlice);
              });
  if (detail) {
    TakeChanges(receiver.m_teams,
                aState.m_teams,
                sequence,
                [](const auto&, const auto&) { return true; });
  }
  peer::Heartbeat beat;
  beat.m_vm = aState.m_vm;
  beat.m_incarnation = aState.m_incarnation;
  beat.m_settingsVersion = aState.m_settingsVersion;
  beat.m_confirmationAge = aState.m_confirmationAge;
  beat.m_sequence = sequence;
  beat.m_base = receiver.m_base;
  if (aNow >= receiver.m_nextFull) {
    receiver.m_nextFull = aNow + kFullHeartbeatPeriod;
    beat.m_base = 0;
  }
  AddChanges(
    receiver.m_slices, beat.m_base, beat.m_slices, beat.m_removedSlices);
  AddChanges(receiver.m_teams, beat.m_base, beat.m_teams, beat.m_removedTeams);
  for (const PendingRelease& pending : receiver.m_releases) {
    beat.m_released.push_back(pending.m_release);
  }
  return beat;
}

/// The next heartbeat is full, and is due at the next tick.
void
HeartbeatPlan::Reset(Receiver& aReceiver)
{
  aReceiver.m_base = 0;
  aReceiver.m_firstValid = aReceiver.m_sequence + 1;
  aReceiver.m_urgent = aReceiver.m_sequence;
}

void
HeartbeatPlan::OnReply(const peer::PeerIdentity& aFrom,
                       const peer::HeartbeatReply& aReply)
{
  const auto found = m_receivers.find(aFrom.m_vm);
  if (found == m_receivers.end()) {
    return;
  }
  Receiver& receiver = found->second;
  if (receiver.m_process && *receiver.m_process != aFrom.m_incarnation) {
    // Another process holds nothing of what the earlier one acknowledged.
    receiver.m_process = aFrom.m_incarnation;
    Reset(receiver);
    return;
  }
  receiver.m_process = aFrom.m_incarnation;
  if (aReply.m_sequence < std::max(receiver.m_base, receiver.m_firstValid) ||
      aReply.m_sequence > receiver.m_sequence) {
    return;
  }
  if (aReply.m_needsFull) {
    Reset(receiver);
    return;
  }
  receiver.m_base = aReply.m_sequence;
  ForgetRemoved(receiver.m_slices, receiver.m_base);
  ForgetRemoved(receiver.m_teams, receiver.m_base);
}

void
HeartbeatPlan::Retain(const std::set<VmId>& aReceivers)
{
  std::erase_if(m_receivers, [&](const auto& aEntry) {
    return !aReceivers.contains(aEntry.first);
  });
}

} // namespace lacewing::daemon
