/// Two VMs under virtual time: one sends its heartbeats to the other over a
/// network that loses and delays them, and both restart.
#pragma once

#include "daemon/HeartbeatPlan.h"
#include "daemon/LoadView.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <random>
#include <string>

namespace lacewing::fakes {

/// A fault in the protocol that the checks must notice.
enum class HeartbeatMutation : std::uint8_t
{
  None,
  HiddenRestart,   ///< replies do not tell the receiver's processes apart; the
                   ///< base check alone must suffice
  NoBaseCheck,     ///< that, and the receiver never lacks the base
  AckOnSend,       ///< the sender takes a sent heartbeat as acknowledged
  NoSequenceCheck, ///< the receiver takes delayed heartbeats as new
  NoProcessCheck,  ///< that, and it does not tell the sender's processes apart
  LateTeams,       ///< the sender holds teams back
  LateLoads,       ///< the sender treats the region as another one
};

class HeartbeatPair
{
public:
  HeartbeatPair(std::uint64_t aSeed,
                bool aSameRegion,
                HeartbeatMutation aMutation)
    : m_random(aSeed)
    , m_sameRegion(aSameRegion)
    , m_mutation(aMutation)
  {
    m_state.m_vm = kSender;
    RestartSender();
  }

  /// What is wrong first, or nothing. Faults end half way; from then on the
  /// view must follow the state within the stated times.
  std::string Run()
  {
    constexpr Time kFaultsEnd{ seconds(20) };
    // 2 s for the last delayed message, 2 s until the next heartbeat, and one
    // tick for a full heartbeat if the receiver asks for it. The checked time
    // is shorter than the 30 s after which a full heartbeat repairs any fault.
    constexpr Time kCheckFrom = kFaultsEnd + milliseconds(4'600);
    constexpr Time kEnd = kFaultsEnd + seconds(12);
    for (m_now = Time(seconds(1)); m_now < kEnd; m_now += kStep) {
      m_faults = m_now < kFaultsEnd;
      Change();
      if ((m_now - Time()) % daemon::kHeartbeatTick == Duration::zero()) {
        Send();
      }
      while (!m_inFlight.empty() && m_inFlight.begin()->first <= m_now) {
        m_inFlight.extract(m_inFlight.begin()).mapped()();
      }
      m_history.push_back({ m_now, m_state });
      std::erase_if(m_history, [&](const Past& aPast) {
        return m_now - aPast.m_at > kDetailTime;
      });
      std::string wrong = CheckOneProcess();
      if (wrong.empty() && m_now >= kCheckFrom) {
        wrong = CheckFollows();
      }
      if (!wrong.empty()) {
        return wrong + " at " + std::to_string((m_now - Time()).count()) +
               " us";
      }
    }
    return {};
  }

private:
  struct Past
  {
    Time m_at{};
    peer::Heartbeat m_state;
  };

  static constexpr Duration kStep = milliseconds(50);
  static constexpr Duration kDelay = milliseconds(50);
  /// The stated times, one delivery and one step.
  static constexpr Duration kChangedTime = milliseconds(500) + kDelay + kStep;
  static constexpr Duration kDetailTime = seconds(2) + kDelay + kStep;
  static constexpr std::int64_t kPerProcess = 1'000'000;
  static constexpr int kSlices = 4;
  static constexpr int kTeams = 5;
  inline static const VmId kSender{ "sender" };
  inline static const VmId kReceiver{ "receiver" };

  static SliceId SliceOf(int aIndex)
  {
    return SliceId("slice-" + std::to_string(aIndex));
  }
  static TeamId TeamOf(int aIndex)
  {
    return TeamId("team-" + std::to_string(aIndex));
  }

  std::uint64_t Below(std::uint64_t aBound)
  {
    return std::uniform_int_distribution<std::uint64_t>(0,
                                                        aBound - 1)(m_random);
  }
  bool OneIn(std::uint64_t aCount) { return Below(aCount) == 0; }

  /// Tells the process that a value comes from, and increases.
  std::int64_t Stamp()
  {
    return static_cast<std::int64_t>(m_state.m_incarnation) * kPerProcess +
           ++m_stamp;
  }

  void RestartSender()
  {
    ++m_state.m_incarnation;
    m_state.m_slices.clear();
    m_state.m_teams.clear();
    m_plan = daemon::HeartbeatPlan();
  }

  void Change()
  {
    if (OneIn(8)) {
      const SliceId id = SliceOf(static_cast<int>(Below(kSlices)));
      auto& slices = m_state.m_slices;
      const auto found =
        std::ranges::find(slices, id, &peer::SliceLoad::m_slice);
      const double load = static_cast<double>(Below(64)) / 60;
      if (found == slices.end()) {
        slices.push_back({ id, load, Stamp(), Below(2) });
      } else if (OneIn(6)) {
        slices.erase(found);
      } else {
        // Every second change is too small to count.
        found->m_load = OneIn(2) ? load : found->m_load;
        found->m_queueLength = OneIn(4) ? Below(2) : found->m_queueLength;
        found->m_freeMillicores = Stamp();
      }
    }
    if (OneIn(8)) {
      const TeamId id = TeamOf(static_cast<int>(Below(kTeams)));
      auto& teams = m_state.m_teams;
      std::erase_if(teams,
                    [&](const auto& aTeam) { return aTeam.m_team == id; });
      if (!OneIn(3)) {
        teams.push_back({ id, Stamp(), 0, 0 });
      }
    }
    if (m_faults && OneIn(80)) {
      RestartSender();
    }
    if (m_faults && OneIn(80)) {
      ++m_receiver;
      m_view = daemon::LoadView();
      m_held = 0;
    }
  }

  /// Some messages arrive after later ones, or never.
  void Deliver(std::function<void()> aMessage)
  {
    const bool late = m_faults && OneIn(4);
    const auto steps = static_cast<int>(late ? 1 + Below(40) : 1);
    if (!m_faults || !OneIn(4)) {
      m_inFlight.emplace(m_now + kDelay * steps, std::move(aMessage));
    }
  }

  void Send()
  {
    peer::Heartbeat state = m_state;
    if (m_mutation == HeartbeatMutation::LateTeams &&
        (m_now - Time()) % seconds(4) != Duration::zero()) {
      state.m_teams = m_lateTeams;
    }
    m_lateTeams = state.m_teams;
    const auto beat =
      m_plan.Next(m_now,
                  kReceiver,
                  m_sameRegion && m_mutation != HeartbeatMutation::LateLoads,
                  state);
    if (!beat) {
      return;
    }
    if (m_mutation == HeartbeatMutation::AckOnSend) {
      m_plan.OnReply({ kReceiver, 1 }, { beat->m_sequence, false });
    }
    Deliver([this, to = m_receiver, beat = *beat] {
      // A connection belongs to one process: messages to one that has ended are
      // lost.
      if (to == m_receiver) {
        Receive(beat);
      }
    });
  }

  void Receive(peer::Heartbeat aBeat)
  {
    const Incarnation sender = aBeat.m_incarnation;
    const std::uint64_t sequence = aBeat.m_sequence;
    if (m_mutation == HeartbeatMutation::NoProcessCheck) {
      aBeat.m_incarnation = 1;
    }
    if (m_mutation == HeartbeatMutation::NoProcessCheck ||
        m_mutation == HeartbeatMutation::NoSequenceCheck) {
      aBeat.m_sequence = ++m_held;
      aBeat.m_base = aBeat.m_base == 0 ? 0 : 1;
    }
    auto reply = m_view.OnHeartbeat(m_now, aBeat);
    reply.m_sequence = sequence;
    const bool noBaseCheck = m_mutation == HeartbeatMutation::NoBaseCheck;
    reply.m_needsFull = reply.m_needsFull && !noBaseCheck;
    const bool isHidden =
      noBaseCheck || m_mutation == HeartbeatMutation::HiddenRestart;
    const Incarnation process = isHidden ? 1 : m_receiver;
    Deliver([this, sender, process, reply] {
      if (sender == m_state.m_incarnation &&
          m_mutation != HeartbeatMutation::AckOnSend) {
        m_plan.OnReply({ kReceiver, process }, reply);
      }
    });
  }

  /// Values of two processes of the sender must never be seen together.
  std::string CheckOneProcess() const
  {
    std::set<std::int64_t> processes;
    for (int i = 0; i < kSlices; ++i) {
      if (const auto load = m_view.Find(m_now, kSender, SliceOf(i))) {
        processes.insert(load->m_freeMillicores / kPerProcess);
      }
    }
    for (int i = 0; i < kTeams; ++i) {
      const auto used = m_view.UsageOf(m_now, TeamOf(i)).m_millicores;
      if (used != 0) {
        processes.insert(used / kPerProcess);
      }
    }
    return processes.size() > 1 ? "two processes in one view" : "";
  }

  /// Each value in the view is one that the sender had within the stated time.
  std::string CheckFollows() const
  {
    for (int i = 0; i < kSlices; ++i) {
      const SliceId id = SliceOf(i);
      const auto seen = m_view.Find(m_now, kSender, id);
      const bool recent =
        std::ranges::any_of(m_history, [&](const Past& aPast) {
          return LoadIn(aPast.m_state, id) == seen;
        });
      if (!recent) {
        return "older than 2 s: " + id.Value();
      }
      const auto counts = [&](const Past& aPast) {
        const auto past = LoadIn(aPast.m_state, id);
        return m_now - aPast.m_at <= kChangedTime &&
               past.has_value() == seen.has_value() &&
               (!past || !daemon::CountsAsChanged(*seen, *past));
      };
      if (m_sameRegion && std::ranges::none_of(m_history, counts)) {
        return "counts as changed for more than 500 ms: " + id.Value();
      }
    }
    for (int i = 0; i < kTeams; ++i) {
      const TeamId id = TeamOf(i);
      const auto seen = m_view.UsageOf(m_now, id).m_millicores;
      const bool recent =
        std::ranges::any_of(m_history, [&](const Past& aPast) {
          return UsageIn(aPast.m_state, id) == seen;
        });
      if (!recent) {
        return "older than 2 s: " + id.Value();
      }
    }
    return {};
  }

  static std::optional<peer::SliceLoad> LoadIn(const peer::Heartbeat& aState,
                                               const SliceId& aSlice)
  {
    const auto found =
      std::ranges::find(aState.m_slices, aSlice, &peer::SliceLoad::m_slice);
    return found == aState.m_slices.end() ? std::nullopt
                                          : std::optional(*found);
  }

  static std::int64_t UsageIn(const peer::Heartbeat& aState,
                              const TeamId& aTeam)
  {
    const auto found =
      std::ranges::find(aState.m_teams, aTeam, &peer::TeamUsage::m_team);
    return found == aState.m_teams.end() ? 0 : found->m_millicores;
  }

  std::mt19937_64 m_random;
  bool m_sameRegion;
  HeartbeatMutation m_mutation;
  Time m_now{};
  bool m_faults = true;
  peer::Heartbeat m_state;
  std::int64_t m_stamp = 0;
  daemon::HeartbeatPlan m_plan;
  std::vector<peer::TeamUsage> m_lateTeams;
  std::uint64_t m_receiver = 1; ///< process
  daemon::LoadView m_view;
  std::uint64_t m_held = 0; ///< sequence number that a mutation makes up
  std::multimap<Time, std::function<void()>> m_inFlight;
  std::deque<Past> m_history;
};

} // namespace lacewing::fakes
