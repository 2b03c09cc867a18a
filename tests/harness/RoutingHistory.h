/// Typed history of a run of the request protocols, and checkers that judge the
/// guarantees from it alone.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"
#include "core/Verdict.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewing::harness {

enum class EventKind : std::uint8_t
{
  SlotsSet,        ///< m_vm holds m_number requests
  AllotmentSet,    ///< m_team may run m_number requests in m_slice
  CallStart,       ///< a caller sends m_body with m_key; m_flag: idempotent
  CallReply,       ///< m_flag: with the answer m_body, else m_verdict
  CallEnded,       ///< the caller has the reply or has given up
  CallTaken,       ///< front m_vm takes the call
  CallDone,        ///< front m_vm has replied to the call
  DispatchSent,    ///< owner m_owner sends m_attempt to endpoint m_vm
  AttemptEnded,    ///< the owner got the end of m_attempt or its deadline
  RunStart,        ///< endpoint m_vm starts m_attempt
  RunEnd,          ///< endpoint m_vm ends m_attempt
  EndpointLeaving, ///< m_vm leaves; no dispatch after m_number microseconds
  Killed,          ///< process m_vm dies without a planned stop
  Woken,           ///< process m_vm was paused until now
  StopBegin,       ///< a planned stop of m_vm begins
  StopExit,        ///< its process exits
};

struct Event
{
  EventKind m_kind{};
  Time m_at{};
  std::uint64_t m_call = 0;
  std::string m_key;
  TeamId m_team;
  SliceId m_slice;
  VmId m_vm;
  VmId m_owner;
  std::string m_attempt;
  std::string m_body;
  std::int64_t m_number = 0;
  Verdict m_verdict = Verdict::NotRun;
  bool m_flag = false;
};

using History = std::vector<Event>;
using Violations = std::vector<std::string>;

/// What an endpoint answers to a body.
inline std::string
ExpectedAnswer(const std::string& aBody)
{
  return "answer to " + aBody;
}

inline std::string
Describe(const std::string& aWhat, const Event& aEvent)
{
  return aWhat + ": call " + std::to_string(aEvent.m_call) + " key " +
         aEvent.m_key + " vm " + aEvent.m_vm.Value() + " attempt " +
         aEvent.m_attempt + " at " +
         std::to_string(aEvent.m_at.time_since_epoch().count()) + " us";
}

/// G5: an answer is the whole answer to the call's own body, and comes once.
inline Violations
CheckAnswers(const History& aHistory)
{
  Violations violations;
  std::map<std::uint64_t, std::string> bodies;
  std::set<std::uint64_t> replied;
  for (const Event& event : aHistory) {
    if (event.m_kind == EventKind::CallStart) {
      bodies[event.m_call] = event.m_body;
    }
    if (event.m_kind != EventKind::CallReply) {
      continue;
    }
    if (!replied.insert(event.m_call).second) {
      violations.push_back(Describe("second reply", event));
    }
    if (event.m_flag && event.m_body != ExpectedAnswer(bodies[event.m_call])) {
      violations.push_back(Describe("answer to another request", event));
    }
  }
  return violations;
}

/// G6: after "not run" the call never runs, nor does a call with its key that
/// had ended at its caller before this one started. Calls that overlap have
/// replies of their own.
inline Violations
CheckNotRun(const History& aHistory)
{
  Violations violations;
  std::map<std::uint64_t, Event> runs; ///< first of each call
  std::map<std::uint64_t, std::size_t> started;
  std::map<std::uint64_t, std::size_t> ended;
  std::multimap<std::string, std::uint64_t> callsOfKey;
  for (std::size_t index = 0; index < aHistory.size(); ++index) {
    const Event& event = aHistory[index];
    if (event.m_kind == EventKind::RunStart) {
      runs.emplace(event.m_call, event);
    } else if (event.m_kind == EventKind::CallStart) {
      started.emplace(event.m_call, index);
      callsOfKey.emplace(event.m_key, event.m_call);
    } else if (event.m_kind == EventKind::CallEnded) {
      ended.emplace(event.m_call, index);
    }
  }
  for (const Event& event : aHistory) {
    if (event.m_kind != EventKind::CallReply || event.m_flag ||
        event.m_verdict != Verdict::NotRun) {
      continue;
    }
    if (runs.contains(event.m_call)) {
      violations.push_back(Describe("\"not run\" of what runs", event));
    }
    if (event.m_key.empty()) {
      continue;
    }
    const auto [first, last] = callsOfKey.equal_range(event.m_key);
    for (auto call = first; call != last; ++call) {
      const auto end = ended.find(call->second);
      const bool before =
        end != ended.end() && end->second < started[event.m_call];
      if (before && runs.contains(call->second)) {
        violations.push_back(Describe("\"not run\" of a key that runs", event));
      }
    }
  }
  return violations;
}

/// G7: a key of a non-idempotent request runs at most once.
inline Violations
CheckAtMostOnce(const History& aHistory)
{
  Violations violations;
  std::set<std::string> ran;
  for (const Event& event : aHistory) {
    if (event.m_kind == EventKind::RunStart && !event.m_key.empty() &&
        !ran.insert(event.m_key).second) {
      violations.push_back(Describe("second run", event));
    }
  }
  return violations;
}

/// G8: no dispatch to a leaving endpoint after the bound. An owner that was
/// paused may use its last list until it has polled again.
inline Violations
CheckLeaving(const History& aHistory)
{
  constexpr Duration kPollAfterWake = milliseconds(1100);
  Violations violations;
  std::map<VmId, Time> bounds;
  std::map<VmId, Time> woken;
  for (const Event& event : aHistory) {
    if (event.m_kind == EventKind::EndpointLeaving) {
      bounds.emplace(event.m_vm, event.m_at + Duration(event.m_number));
    }
    if (event.m_kind == EventKind::Woken) {
      woken[event.m_vm] = event.m_at;
    }
    if (event.m_kind != EventKind::DispatchSent ||
        !bounds.contains(event.m_vm)) {
      continue;
    }
    const auto wake = woken.find(event.m_owner);
    const bool justWoken =
      wake != woken.end() && event.m_at < wake->second + kPollAfterWake;
    if (event.m_at > bounds[event.m_vm] && !justWoken) {
      violations.push_back(Describe("dispatch to a leaving endpoint", event));
    }
  }
  return violations;
}

/// G9: a planned stop ends within the bound, and neither an attempt nor a
/// fronted call of the process is open at its exit.
inline Violations
CheckPlannedStops(const History& aHistory)
{
  constexpr Duration kBound = seconds(32);
  Violations violations;
  std::map<VmId, std::set<std::string>> attempts;
  std::map<VmId, std::set<std::uint64_t>> calls;
  std::map<VmId, Time> begun;
  for (const Event& event : aHistory) {
    switch (event.m_kind) {
      case EventKind::DispatchSent:
        attempts[event.m_owner].insert(event.m_attempt);
        break;
      case EventKind::AttemptEnded:
        attempts[event.m_owner].erase(event.m_attempt);
        break;
      case EventKind::CallTaken:
        calls[event.m_vm].insert(event.m_call);
        break;
      case EventKind::CallDone:
        calls[event.m_vm].erase(event.m_call);
        break;
      case EventKind::Killed:
        attempts.erase(event.m_vm);
        calls.erase(event.m_vm);
        break;
      case EventKind::StopBegin:
        begun[event.m_vm] = event.m_at;
        break;
      case EventKind::StopExit:
        if (!attempts[event.m_vm].empty() || !calls[event.m_vm].empty()) {
          violations.push_back(Describe("planned stop cuts requests", event));
        }
        if (event.m_at > begun[event.m_vm] + kBound) {
          violations.push_back(Describe("planned stop above bound", event));
        }
        break;
      default:
        break;
    }
  }
  return violations;
}

/// Reports each start that takes a count above its limit.
template<typename Key, typename KeyOf>
Violations
CheckCounts(const History& aHistory,
            EventKind aLimitKind,
            const char* aWhat,
            const KeyOf& aKeyOf)
{
  Violations violations;
  std::map<Key, std::int64_t> limits;
  std::map<Key, std::int64_t> running;
  for (const Event& event : aHistory) {
    const Key key = aKeyOf(event);
    if (event.m_kind == aLimitKind) {
      limits[key] = event.m_number;
    } else if (event.m_kind == EventKind::RunEnd) {
      --running[key];
    } else if (event.m_kind == EventKind::RunStart &&
               ++running[key] > limits[key]) {
      violations.push_back(Describe(aWhat, event));
    }
  }
  return violations;
}

/// G1: an endpoint never runs more than its slots.
inline Violations
CheckSlots(const History& aHistory)
{
  return CheckCounts<VmId>(aHistory,
                           EventKind::SlotsSet,
                           "above slots",
                           [](const Event& aEvent) { return aEvent.m_vm; });
}

/// G4: a team never runs more in a slice than its allotment there.
inline Violations
CheckAllotments(const History& aHistory)
{
  using Key = std::pair<SliceId, TeamId>;
  return CheckCounts<Key>(
    aHistory,
    EventKind::AllotmentSet,
    "above allotment",
    [](const Event& aEvent) { return Key(aEvent.m_slice, aEvent.m_team); });
}

/// All checkers.
inline Violations
CheckAll(const History& aHistory)
{
  Violations all;
  for (const auto& check : { CheckAnswers,
                             CheckNotRun,
                             CheckAtMostOnce,
                             CheckLeaving,
                             CheckPlannedStops,
                             CheckSlots,
                             CheckAllotments }) {
    const Violations found = check(aHistory);
    all.insert(all.end(), found.begin(), found.end());
  }
  return all;
}

} // namespace lacewing::harness
