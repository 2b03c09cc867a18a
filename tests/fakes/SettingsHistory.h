/// What was seen from outside during a run of the settings protocol, and
/// checkers that decide from that alone whether the guarantees held.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"
#include "core/Verdict.h"
#include "settings/SettingsTree.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lacewing::fakes {

/// An operator asks for a change. The marker is unique in the run.
struct ChangeAsked
{
  int m_change = 0;
  std::string m_subtree;
  settings::SettingsVersion m_expected = 0;
  std::string m_marker;
  std::string m_withdrawnKey; ///< empty if the change withdraws none
};

struct ChangeAnswered
{
  int m_change = 0;
  bool m_accepted = false;
  Verdict m_verdict = Verdict::NotRun; ///< of a refusal
};

/// A process began to serve; it had been started at the given time.
struct Serving
{
  VmId m_vm;
  Time m_startedAt{};
};

/// The process was killed; it serves nothing until it is started again.
struct Stopped
{
  VmId m_vm;
};

/// The version of a subtree that a serving process uses from now on.
struct InForce
{
  VmId m_vm;
  std::string m_subtree;
  settings::SettingsVersion m_version = 0;
};

struct WorkTaken
{
  VmId m_vm;
  std::string m_key;  ///< empty on an open queue
  TeamId m_keyTeam;   ///< team for which the key was made
  TeamId m_countedAs; ///< team for which the work was taken
};

/// From now on no fault acts.
struct FaultsOver
{};

/// A version that the table holds at the end.
struct Kept
{
  std::string m_subtree;
  settings::SettingsVersion m_version = 0;
  std::string m_marker;
};

using HistoryItem = std::variant<ChangeAsked,
                                 ChangeAnswered,
                                 Serving,
                                 Stopped,
                                 InForce,
                                 WorkTaken,
                                 FaultsOver,
                                 Kept>;

/// In the order of time on a clock outside the processes.
using History = std::vector<std::pair<Time, HistoryItem>>;
/// Empty if the guarantee held.
using Faults = std::vector<std::string>;

namespace detail {

template<typename Item>
std::vector<std::pair<Time, Item>>
ItemsOf(const History& aHistory)
{
  std::vector<std::pair<Time, Item>> items;
  for (const auto& [time, item] : aHistory) {
    if (const auto* found = std::get_if<Item>(&item)) {
      items.emplace_back(time, *found);
    }
  }
  return items;
}

struct Accepted
{
  Time m_at{};
  ChangeAsked m_asked;
};

inline std::vector<Accepted>
AcceptedChanges(const History& aHistory)
{
  std::map<int, ChangeAsked> asked;
  std::vector<Accepted> accepted;
  for (const auto& [time, item] : aHistory) {
    if (const auto* change = std::get_if<ChangeAsked>(&item)) {
      asked[change->m_change] = *change;
    }
    const auto* answer = std::get_if<ChangeAnswered>(&item);
    if (answer != nullptr && answer->m_accepted) {
      accepted.push_back({ time, asked[answer->m_change] });
    }
  }
  return accepted;
}

} // namespace detail

/// G3: no work for another team, and none for a key later than the bound after
/// its withdrawal was accepted.
inline Faults
CheckKeys(const History& aHistory, Duration aBound)
{
  std::map<std::string, Time> withdrawn;
  for (const auto& change : detail::AcceptedChanges(aHistory)) {
    if (!change.m_asked.m_withdrawnKey.empty()) {
      withdrawn.emplace(change.m_asked.m_withdrawnKey, change.m_at);
    }
  }
  Faults faults;
  for (const auto& [time, work] : detail::ItemsOf<WorkTaken>(aHistory)) {
    if (!work.m_key.empty() && work.m_keyTeam != work.m_countedAs) {
      faults.push_back("key " + work.m_key + " took work for team " +
                       work.m_countedAs.Value());
    }
    const auto found = withdrawn.find(work.m_key);
    if (found != withdrawn.end() && time > found->second + aBound) {
      faults.push_back(work.m_vm.Value() + " took work for key " + work.m_key +
                       " " +
                       std::to_string(ToMilliseconds(time - found->second)) +
                       " ms after its withdrawal");
    }
  }
  return faults;
}

/// Part of G10: versions never go down while serving, on one VM and over its
/// restarts, and a process serves nothing older than what had been accepted
/// before it was started.
inline Faults
CheckNeverReverts(const History& aHistory)
{
  Faults faults;
  const auto accepted = detail::AcceptedChanges(aHistory);
  std::map<std::pair<VmId, std::string>, settings::SettingsVersion> highest;
  std::map<VmId, Time> started;
  for (const auto& [time, item] : aHistory) {
    if (const auto* serving = std::get_if<Serving>(&item)) {
      started[serving->m_vm] = serving->m_startedAt;
    }
    const auto* inForce = std::get_if<InForce>(&item);
    if (inForce == nullptr) {
      continue;
    }
    auto& version = highest[{ inForce->m_vm, inForce->m_subtree }];
    if (inForce->m_version < version) {
      faults.push_back(inForce->m_vm.Value() + " went back from version " +
                       std::to_string(version) + " to " +
                       std::to_string(inForce->m_version) + " of " +
                       inForce->m_subtree);
    }
    version = std::max(version, inForce->m_version);
    for (const auto& change : accepted) {
      if (change.m_asked.m_subtree == inForce->m_subtree &&
          change.m_at <= started[inForce->m_vm] &&
          inForce->m_version <= change.m_asked.m_expected) {
        faults.push_back(inForce->m_vm.Value() + " serves version " +
                         std::to_string(inForce->m_version) + " of " +
                         inForce->m_subtree +
                         ", older than one accepted before its start");
      }
    }
  }
  return faults;
}

/// Part of G10: of two changes of one version at most one is accepted, an
/// accepted change is kept, and a refused one ("not run") isn't.
inline Faults
CheckChanges(const History& aHistory)
{
  Faults faults;
  std::map<std::pair<std::string, settings::SettingsVersion>, std::string> kept;
  std::set<std::string> markers;
  for (const auto& [time, row] : detail::ItemsOf<Kept>(aHistory)) {
    kept[{ row.m_subtree, row.m_version }] = row.m_marker;
    markers.insert(row.m_marker);
  }
  std::set<std::pair<std::string, settings::SettingsVersion>> taken;
  for (const auto& change : detail::AcceptedChanges(aHistory)) {
    const ChangeAsked& asked = change.m_asked;
    const std::pair place{ asked.m_subtree, asked.m_expected + 1 };
    if (!taken.insert(place).second) {
      faults.push_back("two changes of version " +
                       std::to_string(asked.m_expected) + " of " +
                       asked.m_subtree + " were accepted");
    }
    if (kept[place] != asked.m_marker) {
      faults.push_back("accepted change " + asked.m_marker + " was lost");
    }
  }
  std::map<int, ChangeAsked> asked;
  for (const auto& [time, change] : detail::ItemsOf<ChangeAsked>(aHistory)) {
    asked[change.m_change] = change;
  }
  for (const auto& [time, answer] : detail::ItemsOf<ChangeAnswered>(aHistory)) {
    const std::string& marker = asked[answer.m_change].m_marker;
    if (!answer.m_accepted && answer.m_verdict == Verdict::NotRun &&
        markers.contains(marker)) {
      faults.push_back("change " + marker +
                       " was refused as not run and is in effect");
    }
  }
  return faults;
}

/// Part of G10: once faults are over, every live process serves and uses each
/// accepted version within the bound. The history must go on for longer.
inline Faults
CheckInForceWithin(const History& aHistory, Duration aBound)
{
  Faults faults;
  const auto over = detail::ItemsOf<FaultsOver>(aHistory);
  if (over.empty()) {
    return { "the history has no end of faults" };
  }
  std::set<VmId> live;
  std::map<std::tuple<VmId, std::string, settings::SettingsVersion>, Time>
    first;
  std::map<std::pair<VmId, std::string>, settings::SettingsVersion> present;
  for (const auto& [time, item] : aHistory) {
    if (const auto* serving = std::get_if<Serving>(&item)) {
      live.insert(serving->m_vm);
    } else if (const auto* stopped = std::get_if<Stopped>(&item)) {
      live.erase(stopped->m_vm);
    } else if (const auto* inForce = std::get_if<InForce>(&item)) {
      auto& version = present[{ inForce->m_vm, inForce->m_subtree }];
      for (auto each = version + 1; each <= inForce->m_version; ++each) {
        first.emplace(std::tuple{ inForce->m_vm, inForce->m_subtree, each },
                      time);
      }
      version = std::max(version, inForce->m_version);
    }
  }
  for (const auto& change : detail::AcceptedChanges(aHistory)) {
    const Time latest = std::max(change.m_at, over.back().first) + aBound;
    for (const VmId& vm : live) {
      const auto found = first.find(
        { vm, change.m_asked.m_subtree, change.m_asked.m_expected + 1 });
      if (found == first.end() || found->second > latest) {
        faults.push_back("accepted change " + change.m_asked.m_marker +
                         " is not in force on " + vm.Value() + " in time");
      }
    }
  }
  return faults;
}

} // namespace lacewing::fakes
