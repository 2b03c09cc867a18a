/// The typed history of a run of the ownership protocol, and checkers that
/// decide from the history alone. Times are those of the event queue.
#pragma once

#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"

#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace lacewing::fakes {

enum class HistoryKind
{
  Belief,       ///< m_who believes to own m_slice until m_until
  BeliefEnd,    ///< m_who stops believing it
  Accepted,     ///< m_worker accepted m_who's command under m_epoch
  Capacity,     ///< m_worker holds m_resources
  TaskStart,    ///< m_task of m_team with m_resources on m_worker
  TaskEnd,      ///< m_task on m_worker
  Limit,        ///< m_team: m_amount in force, m_sum allotted
  DrainStarted, ///< m_who begins a planned stop
  Stopped,      ///< m_who has stopped
  Paused,       ///< m_who does not run until it is woken
  Woken,
};

struct HistoryEvent
{
  HistoryKind m_kind = HistoryKind::Belief;
  Time m_time{};
  std::string m_who{}; ///< VM and incarnation
  SliceId m_slice{};
  Epoch m_epoch = 0;
  Time m_until{};
  VmId m_worker{};
  TaskId m_task{};
  std::string m_team{};
  Resources m_resources{};
  std::int64_t m_amount = 0;
  std::int64_t m_sum = 0;
};

using History = std::vector<HistoryEvent>;
using Violations = std::vector<std::string>;

template<typename... Parts>
std::string
Describe(Time aTime, const Parts&... aParts)
{
  std::ostringstream out;
  out << aTime.time_since_epoch().count() << " us:";
  ((out << " " << aParts), ...);
  return out.str();
}

/// At most one member believes to own a slice, at any time.
inline Violations
CheckOwners(const History& aHistory)
{
  Violations violations;
  std::map<SliceId, std::map<std::string, Time>> beliefs;
  for (const HistoryEvent& event : aHistory) {
    if (event.m_kind == HistoryKind::BeliefEnd) {
      beliefs[event.m_slice].erase(event.m_who);
    }
    if (event.m_kind != HistoryKind::Belief) {
      continue;
    }
    auto& holders = beliefs[event.m_slice];
    for (const auto& [who, until] : holders) {
      if (who != event.m_who && until > event.m_time) {
        violations.push_back(Describe(
          event.m_time, event.m_slice, "owned by", who, "and", event.m_who));
      }
    }
    holders[event.m_who] = event.m_until;
  }
  return violations;
}

/// A worker accepts no command under a lower epoch than an earlier one.
inline Violations
CheckEpochs(const History& aHistory)
{
  Violations violations;
  std::map<VmId, Epoch> highest;
  for (const HistoryEvent& event : aHistory) {
    if (event.m_kind != HistoryKind::Accepted) {
      continue;
    }
    Epoch& epoch = highest[event.m_worker];
    if (event.m_epoch < epoch) {
      violations.push_back(Describe(
        event.m_time, event.m_worker, "accepted old epoch", event.m_epoch));
    }
    epoch = std::max(epoch, event.m_epoch);
  }
  return violations;
}

/// G1: no worker is given more than it holds. G2: no task in two places.
/// G4: no team above the limit in force.
inline Violations
CheckTasks(const History& aHistory)
{
  Violations violations;
  std::map<VmId, Resources> capacity;
  std::map<VmId, Resources> used;
  std::map<TaskId, std::set<VmId>> places;
  std::map<std::pair<VmId, TaskId>, HistoryEvent> running;
  std::map<std::string, std::int64_t> inForce;
  std::map<std::string, std::int64_t> teams;
  const auto checkTeam = [&](const HistoryEvent& aEvent) {
    const auto limit = inForce.find(aEvent.m_team);
    if (limit != inForce.end() && teams[aEvent.m_team] > limit->second) {
      violations.push_back(Describe(aEvent.m_time,
                                    "G4",
                                    aEvent.m_team,
                                    "runs",
                                    teams[aEvent.m_team],
                                    "of",
                                    limit->second));
    }
  };
  for (const HistoryEvent& event : aHistory) {
    const std::pair key{ event.m_worker, event.m_task };
    switch (event.m_kind) {
      case HistoryKind::Capacity:
        capacity[event.m_worker] = event.m_resources;
        break;
      case HistoryKind::Limit:
        inForce[event.m_team] = event.m_amount;
        checkTeam(event);
        if (event.m_sum > event.m_amount) {
          violations.push_back(Describe(
            event.m_time, "G4 allotted", event.m_sum, "of", event.m_amount));
        }
        break;
      case HistoryKind::TaskStart: {
        running[key] = event;
        used[event.m_worker] += event.m_resources;
        if (!used[event.m_worker].FitsIn(capacity[event.m_worker])) {
          violations.push_back(
            Describe(event.m_time, "G1", event.m_worker, "is over capacity"));
        }
        auto& where = places[event.m_task];
        where.insert(event.m_worker);
        if (where.size() > 1) {
          violations.push_back(Describe(event.m_time,
                                        "G2",
                                        event.m_task.m_job,
                                        "runs on",
                                        *where.begin(),
                                        "and",
                                        *where.rbegin()));
        }
        teams[event.m_team] += event.m_resources.m_millicores;
        checkTeam(event);
        break;
      }
      case HistoryKind::TaskEnd: {
        const auto found = running.find(key);
        if (found == running.end()) {
          violations.push_back(
            Describe(event.m_time, event.m_task.m_job, "ends without start"));
          break;
        }
        const HistoryEvent& start = found->second;
        used[event.m_worker] -= start.m_resources;
        teams[start.m_team] -= start.m_resources.m_millicores;
        places[event.m_task].erase(event.m_worker);
        running.erase(found);
        break;
      }
      default:
        break;
    }
  }
  return violations;
}

/// G9: a planned stop ends within the bound, not counting the time in which the
/// process was paused, and the member owns nothing after it. Members in
/// `aKilled` need not stop.
inline Violations
CheckStops(const History& aHistory,
           Duration aBound,
           const std::set<std::string>& aKilled = {})
{
  struct Stop
  {
    Time m_countedFrom{};
    Duration m_ran{};
    bool m_runs = true;
  };
  Violations violations;
  std::map<std::string, Stop> stops;
  std::set<std::string> paused;
  std::set<std::string> stopped;
  Time last{};
  const auto suspend = [](Stop& aStop, Time aNow) {
    aStop.m_ran += aStop.m_runs ? aNow - aStop.m_countedFrom : Duration();
    aStop.m_runs = false;
  };
  for (const HistoryEvent& event : aHistory) {
    last = event.m_time;
    const auto stop = stops.find(event.m_who);
    const bool known = stop != stops.end() && !stopped.contains(event.m_who);
    switch (event.m_kind) {
      case HistoryKind::DrainStarted:
        stops.emplace(event.m_who,
                      Stop{ event.m_time, {}, !paused.contains(event.m_who) });
        break;
      case HistoryKind::Paused:
        paused.insert(event.m_who);
        if (known) {
          suspend(stop->second, event.m_time);
        }
        break;
      case HistoryKind::Woken:
        paused.erase(event.m_who);
        if (known) {
          stop->second.m_countedFrom = event.m_time;
          stop->second.m_runs = true;
        }
        break;
      case HistoryKind::Stopped:
        stopped.insert(event.m_who);
        if (known) {
          suspend(stop->second, event.m_time);
        }
        break;
      case HistoryKind::Belief:
        if (stopped.contains(event.m_who)) {
          violations.push_back(
            Describe(event.m_time, "G9", event.m_who, "owns after its stop"));
        }
        break;
      default:
        break;
    }
  }
  for (auto& [who, stop] : stops) {
    if (aKilled.contains(who)) {
      continue;
    }
    suspend(stop, last);
    if (stop.m_ran > aBound) {
      violations.push_back(Describe(last, "G9", who, "stopped too late"));
    }
  }
  return violations;
}

} // namespace lacewing::fakes
