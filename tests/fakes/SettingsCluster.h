/// Processes with a settings store each, two operators and callers with keys,
/// under virtual time. Faults act when a process reaches a step.
#pragma once

#include "fakes/FaultyNetwork.h"
#include "fakes/FaultyTable.h"
#include "fakes/SettingsHistory.h"
#include "settings/Authenticator.h"
#include "settings/SettingsStore.h"

#include <memory>
#include <set>

namespace lacewing::fakes {

enum class FaultKind : std::uint8_t
{
  Kill, ///< and started again after 6 s
  Restart,
  PauseShort,
  PauseLong, ///< longer than the freshness limit
  LoseMessages,
  DelayMessages,
  DuplicateMessages,
  ReorderMessages,
  CutOneWay,
  CutBothWays,
  CutRegions, ///< and from the table for the region without it
  StoreDown,
  StoreSlow,
  LoseAnswers,
  StaleReads,
  StoreUnreachable, ///< from one process
  RaceOperators,    ///< both operators change the same version at once
  KillAndStoreDown, ///< a process is lost just before an outage
};

inline constexpr int kFaultKinds =
  static_cast<int>(FaultKind::KillAndStoreDown) + 1;
inline constexpr int kSteps =
  static_cast<int>(settings::Step::PeerRowsAnswer) + 1;

/// The fault acts when the process reaches the step for the given time after
/// the set-up.
struct PlannedSettingsFault
{
  FaultKind m_kind = FaultKind::Kill;
  settings::Step m_step = settings::Step::ConfirmSend;
  int m_occurrence = 1;
  int m_process = -1; ///< index, or -1 for any
};

struct ClusterOptions
{
  int m_processes = 4;
  settings::Distribution m_distribution = settings::Distribution::Region;
  settings::Mutation m_mutation = settings::Mutation::None;
  std::uint64_t m_seed = 1;
  int m_teams = 2;
  /// The answer to the first commit of a change is lost, so that the read back
  /// is reached.
  bool m_loseFirstAnswer = false;
  bool m_operatorsAct = true;
  bool m_callersAct = true;
};

class SettingsCluster
{
public:
  explicit SettingsCluster(const ClusterOptions& aOptions,
                           std::vector<PlannedSettingsFault> aFaults = {})
    : m_options(aOptions)
    , m_faults(std::move(aFaults))
    , m_random(aOptions.m_seed)
    , m_processes(m_queue)
    , m_network(m_queue, m_processes, aOptions.m_seed)
    , m_table(m_queue, m_processes)
  {
    Seed();
    for (int i = 0; i < m_options.m_processes; ++i) {
      StartProcess(i);
    }
    m_queue.RunFor(kSetUp);
    m_faultsAct = true;
    if (m_options.m_operatorsAct) {
      ScheduleOperator(0, milliseconds(500));
      ScheduleOperator(1, milliseconds(510));
    }
    m_table.Faults().m_loseAnswers = m_options.m_loseFirstAnswer;
    if (m_options.m_loseFirstAnswer) {
      m_queue.After(milliseconds(1200),
                    [this] { m_table.Faults().m_loseAnswers = false; });
    }
  }

  /// Runs the plan, lets all faults end, and returns what was seen.
  const History& Run(Duration aActive = seconds(14),
                     Duration aQuiet = seconds(14))
  {
    m_queue.RunFor(aActive);
    m_operatorsStopped = true;
    m_faultsAct = false;
    m_queue.RunUntil(std::max(m_queue.Now(), m_lastHeal));
    Record(FaultsOver());
    m_queue.RunFor(aQuiet);
    RecordKept();
    return m_history;
  }

  EventQueue& Queue() { return m_queue; }
  FaultyTable& Table() { return m_table; }
  FaultyNetwork& Network() { return m_network; }
  const History& Seen() const { return m_history; }
  int Fired() const { return static_cast<int>(m_fired.size()); }
  const std::set<settings::Step>& StepsSeen() const { return m_stepsSeen; }
  settings::SettingsStore& Store(int aIndex)
  {
    return *m_nodes.at(aIndex).m_store;
  }
  static VmId VmOf(int aIndex) { return VmId("vm-" + std::to_string(aIndex)); }
  /// Bytes of calls and rows over the link between regions, both ways.
  std::uint64_t SettingsBytesAcross() const { return m_bytesAcross; }
  /// Bytes of the settings' part of heartbeats over the same link.
  std::uint64_t HeartbeatBytesAcross() const { return m_heartbeatBytes; }
  std::uint64_t SettingsReads() const { return m_settingsReads; }
  std::uint64_t SettingsWrites() const { return m_settingsWrites; }

  RegionId RegionOf(int aIndex) const
  {
    return RegionId(aIndex * 2 < m_options.m_processes ? "near" : "far");
  }

  /// Asks a process for a change that sets the weight of a team.
  void AskChange(int aOperator,
                 int aProcess,
                 const std::string& aTeam,
                 const std::string& aWithdrawnKey)
  {
    const VmId vm = VmOf(aProcess);
    m_processes.Deliver(vm, m_processes.CurrentIncarnation(vm), [=, this] {
      Ask(aOperator, aProcess, "team." + aTeam, aWithdrawnKey);
    });
  }

  void Apply(const PlannedSettingsFault& aFault, int aProcess)
  {
    StartFault(aFault.m_kind, aProcess);
  }

  static std::string KeyText(const std::string& aTeam, const std::string& aId)
  {
    return "lwk." + aTeam + "." + aId + ".secret-of-" + aTeam + aId;
  }

private:
  struct Node
  {
    std::unique_ptr<settings::SettingsStore> m_store;
    Time m_startedAt{};
    Time m_tableWorked{}; ///< on the local clock
    bool m_serving = false;
  };

  static constexpr Duration kSetUp = seconds(3);
  static constexpr Duration kTick = milliseconds(100);
  static constexpr Duration kTableTimeout = milliseconds(800);
  static constexpr Duration kStoreDownAfter = seconds(2);
  static constexpr Duration kGoneAfter = seconds(4);

  // --- Set-up ---

  /// The digest of a key, made once per test program.
  static const std::string& KeyDigest(const std::string& aTeam,
                                      const std::string& aId)
  {
    static std::map<std::string, std::string> digests;
    std::string& digest = digests[aTeam + "/" + aId];
    if (digest.empty()) {
      digest = leaf::try_handle_all(
        [&] { return settings::DigestOf("secret-of-" + aTeam + aId); },
        [] { return std::string(); });
    }
    return digest;
  }

  static std::string TeamText(const std::string& aTeam)
  {
    return "[team]\nweight = 1\nkey.k1 = " + KeyDigest(aTeam, "k1") +
           "\nkey.k2 = " + KeyDigest(aTeam, "k2") + "\n";
  }

  std::string TeamName(int aIndex) const
  {
    return aIndex < 2 ? std::string(1, static_cast<char>('a' + aIndex))
                      : "t" + std::to_string(aIndex);
  }

  void Seed()
  {
    settings::IndexRow index;
    index.m_fleet = 1;
    table::Commit commit;
    const auto add = [&](const std::string& aSubtree,
                         const std::string& aText) {
      index.m_subtrees[aSubtree] = 1;
      const std::string value = settings::EncodeSubtree({ 1, aText, "seed" });
      commit.m_puts.push_back({ settings::SubtreeKey(aSubtree), value });
      commit.m_puts.push_back({ settings::HistoryKey(aSubtree, 1), value });
    };
    add("system",
        "[queue.lobby]\naccess = open\nteams = b\n[queue.desk]\nteams = a\n");
    for (int i = 0; i < m_options.m_teams; ++i) {
      add("team." + TeamName(i), TeamText(TeamName(i)));
    }
    commit.m_puts.push_back(
      { std::string(settings::kIndexKey), settings::EncodeIndex(index) });
    const VmId seeder("seeder");
    m_processes.Start(seeder);
    m_table.Submit(seeder, commit, seconds(1), [](const auto&) {});
    m_queue.RunFor(milliseconds(10));
  }

  std::vector<settings::Member> MembersFor(int aIndex) const
  {
    std::vector<settings::Member> members;
    for (int i = 0; i < m_options.m_processes; ++i) {
      const VmId vm = VmOf(i);
      const bool listed =
        m_processes.CurrentIncarnation(vm) > 0 && !m_gone.contains(i);
      if (i != aIndex && listed) {
        members.push_back(
          { vm, m_processes.CurrentIncarnation(vm), RegionOf(i) });
      }
    }
    return members;
  }

  void UpdateMembers()
  {
    for (auto& [index, node] : m_nodes) {
      const int process = index;
      const VmId vm = VmOf(process);
      m_processes.Deliver(vm, m_processes.CurrentIncarnation(vm), [=, this] {
        m_nodes[process].m_store->SetMembers(m_processes.LocalNow(vm),
                                             MembersFor(process));
      });
    }
  }

  void StartProcess(int aIndex)
  {
    const VmId vm = VmOf(aIndex);
    const double rate = 1.0 + 0.002 * (aIndex % 5 - 2);
    const Incarnation incarnation =
      m_processes.Start(vm, rate, seconds(100 * (aIndex % 7)));
    m_gone.erase(aIndex);
    settings::StoreOptions options;
    options.m_self = vm;
    options.m_incarnation = incarnation;
    options.m_region = RegionOf(aIndex);
    options.m_distribution = m_options.m_distribution;
    options.m_mutation = m_options.m_mutation;
    Node& node = m_nodes[aIndex];
    node.m_store = std::make_unique<settings::SettingsStore>(options);
    node.m_startedAt = m_queue.Now();
    node.m_serving = false;
    const Time now = m_processes.LocalNow(vm);
    node.m_tableWorked = now;
    Carry(aIndex, incarnation, node.m_store->Start(now, MembersFor(aIndex)));
    m_queue.After(milliseconds(100), [this] { UpdateMembers(); });
    const Duration phase = milliseconds(7 * (aIndex % 13));
    m_queue.After(phase, [=, this] { TickLoop(aIndex, incarnation, 0); });
  }

  void TickLoop(int aIndex, Incarnation aIncarnation, int aCount)
  {
    const VmId vm = VmOf(aIndex);
    m_processes.Deliver(vm, aIncarnation, [=, this] {
      Node& node = m_nodes[aIndex];
      const Time now = m_processes.LocalNow(vm);
      Carry(aIndex, aIncarnation, node.m_store->Tick(now));
      NoteServing(aIndex);
      if (m_options.m_callersAct && aCount % 3 == 0) {
        TryKeys(aIndex);
      }
      if (aCount % 10 == 5) {
        RenewLease(aIndex);
      }
      if (aCount % 10 == 0 && now - node.m_tableWorked > kStoreDownAfter) {
        Probe(aIndex);
      }
      m_queue.After(kTick,
                    [=, this] { TickLoop(aIndex, aIncarnation, aCount + 1); });
    });
  }

  /// Stands for the renewal of the member lease, by which a process notices
  /// that the table is down.
  void RenewLease(int aIndex)
  {
    const VmId vm = VmOf(aIndex);
    table::Commit commit;
    commit.m_puts.push_back({ "member/" + vm.Value(), "" });
    m_table.Submit(
      vm, commit, kTableTimeout, [=, this](const table::CommitResult& aResult) {
        if (aResult.m_state == table::CommitState::Committed) {
          m_nodes[aIndex].m_tableWorked = m_processes.LocalNow(vm);
        }
      });
  }

  // --- Effects ---

  /// Carries out effects one after the other; a fault at a step can end or
  /// pause the process in between.
  void Carry(int aIndex,
             Incarnation aIncarnation,
             settings::Effects aEffects,
             std::size_t aFrom = 0)
  {
    const VmId vm = VmOf(aIndex);
    for (std::size_t i = aFrom; i < aEffects.size(); ++i) {
      if (!m_processes.IsAlive(vm) ||
          m_processes.CurrentIncarnation(vm) != aIncarnation) {
        return;
      }
      if (m_processes.IsPaused(vm)) {
        m_processes.Deliver(
          vm, aIncarnation, [=, this, effects = std::move(aEffects)] {
            Carry(aIndex, aIncarnation, effects, i);
          });
        return;
      }
      std::visit(
        [&](const auto& aEffect) { Do(aIndex, aIncarnation, aEffect); },
        aEffects[i]);
    }
    NoteServing(aIndex);
  }

  void Do(int aIndex,
          Incarnation aIncarnation,
          const settings::CommitEffect& aEffect)
  {
    const VmId vm = VmOf(aIndex);
    ++m_settingsWrites;
    if (RegionOf(aIndex).Value() == "far") {
      m_bytesAcross += kTableOverhead;
    }
    m_table.Submit(
      vm,
      aEffect.m_commit,
      kTableTimeout,
      [=, this, id = aEffect.m_operation](const table::CommitResult& aResult) {
        const Time now = m_processes.LocalNow(vm);
        if (aResult.m_state != table::CommitState::Unknown) {
          m_nodes[aIndex].m_tableWorked = now;
        }
        Carry(aIndex,
              aIncarnation,
              m_nodes[aIndex].m_store->OnCommit(now, id, aResult));
      });
  }

  void Do(int aIndex,
          Incarnation aIncarnation,
          const settings::ReadEffect& aEffect)
  {
    const VmId vm = VmOf(aIndex);
    ++m_settingsReads;
    m_table.Fetch(
      vm,
      aEffect.m_read,
      kTableTimeout,
      [=, this, id = aEffect.m_operation](const table::ReadResult& aResult) {
        const Time now = m_processes.LocalNow(vm);
        if (aResult.m_ok) {
          m_nodes[aIndex].m_tableWorked = now;
          CountTableBytes(aIndex, aResult);
        }
        Carry(aIndex,
              aIncarnation,
              m_nodes[aIndex].m_store->OnRead(now, id, aResult));
      });
  }

  void Do(int aIndex, Incarnation, const settings::SendEffect& aEffect)
  {
    const VmId from = VmOf(aIndex);
    const VmId to = aEffect.m_to;
    const int receiver = IndexOf(to);
    if (RegionOf(aIndex) != RegionOf(receiver)) {
      const bool isHeartbeat =
        std::holds_alternative<settings::Heartbeat>(aEffect.m_message);
      (isHeartbeat ? m_heartbeatBytes : m_bytesAcross) +=
        SizeOf(aEffect.m_message);
    }
    m_network.Send(from, to, [=, this, message = aEffect.m_message] {
      Carry(receiver,
            m_processes.CurrentIncarnation(to),
            m_nodes[receiver].m_store->OnMessage(
              m_processes.LocalNow(to), from, message));
    });
  }

  void Do(int aIndex, Incarnation, const settings::StepEffect& aEffect)
  {
    m_stepsSeen.insert(aEffect.m_step);
    if (!m_faultsAct) {
      return;
    }
    for (std::size_t i = 0; i < m_faults.size(); ++i) {
      const PlannedSettingsFault& fault = m_faults[i];
      const bool here = fault.m_process < 0 || fault.m_process == aIndex;
      if (fault.m_step == aEffect.m_step && here && !m_fired.contains(i) &&
          ++m_counts[i] == fault.m_occurrence) {
        m_fired.insert(i);
        StartFault(fault.m_kind, aIndex);
      }
    }
  }

  void Do(int aIndex, Incarnation, const settings::InForceEffect& aEffect)
  {
    if (m_nodes[aIndex].m_serving) {
      Record(InForce{ VmOf(aIndex), aEffect.m_subtree, aEffect.m_version });
    }
  }

  void Do(int, Incarnation, const settings::ChangeDone& aEffect)
  {
    ChangeAnswered answer;
    answer.m_change = static_cast<int>(aEffect.m_ticket);
    answer.m_accepted = !aEffect.m_error;
    if (aEffect.m_error) {
      answer.m_verdict = aEffect.m_error->m_verdict;
    }
    Record(answer);
  }

  void NoteServing(int aIndex)
  {
    Node& node = m_nodes[aIndex];
    if (node.m_serving || !node.m_store->Ready()) {
      return;
    }
    node.m_serving = true;
    Record(Serving{ VmOf(aIndex), node.m_startedAt });
    for (const auto& [name, subtree] : node.m_store->Tree().All()) {
      Record(InForce{ VmOf(aIndex), name, subtree->m_inForce });
    }
  }

  // --- Operators, callers and outage probes ---

  void ScheduleOperator(int aOperator, Duration aDelay)
  {
    m_queue.After(aDelay, [=, this] {
      if (m_operatorsStopped) {
        return;
      }
      const int process = Pick(m_options.m_processes);
      const bool withdraws = m_nextChange >= 3 && m_withdrawals < 2;
      std::string key;
      if (withdraws) {
        key = m_withdrawals == 0 ? "k1" : "k2";
      }
      AskChange(aOperator, process, Pick(4) == 0 ? "b" : "a", key);
      ScheduleOperator(aOperator, milliseconds(700 + Pick(1800)));
    });
  }

  void Ask(int aOperator,
           int aProcess,
           const std::string& aSubtree,
           const std::string& aWithdrawnKey)
  {
    settings::SettingsStore& store = *m_nodes[aProcess].m_store;
    const settings::Subtree* present = store.Tree().Find(aSubtree);
    // The table keeps 20 versions; with more the checkers couldn't see whether
    // an early change was lost.
    if (present == nullptr ||
        m_nextChange >= static_cast<int>(settings::kKeptVersions) - 1) {
      return;
    }
    const int change = ++m_nextChange;
    settings::CheckedText text = present->m_values;
    const std::string marker = "1." + std::to_string(1000 + change);
    text.Set("team", "weight", marker);
    ChangeAsked asked{ change, aSubtree, present->m_version, marker, "" };
    if (!aWithdrawnKey.empty() && aSubtree == "team.a") {
      text.Set("team", "key_state." + aWithdrawnKey, "withdrawn");
      asked.m_withdrawnKey = "a/" + aWithdrawnKey;
      m_withdrawals += 1;
    }
    Record(asked);
    const VmId vm = VmOf(aProcess);
    settings::ChangeRequest request;
    request.m_ticket = static_cast<settings::Ticket>(change);
    request.m_subtree = aSubtree;
    request.m_expected = present->m_version;
    request.m_text = settings::RenderIni(text);
    request.m_deadline =
      m_processes.LocalNow(vm) + (aOperator == 0 ? seconds(6) : seconds(3));
    Carry(aProcess,
          m_processes.CurrentIncarnation(vm),
          store.Change(m_processes.LocalNow(vm), request));
  }

  void TryKeys(int aIndex)
  {
    const settings::Authenticator gate(*m_nodes[aIndex].m_store);
    const auto attempt = [&](const std::string& aTeam,
                             const std::string& aId,
                             const std::string& aQueue) {
      const std::string key = aId.empty() ? "" : KeyText(aTeam, aId);
      const TeamId taken = leaf::try_handle_all(
        [&] {
          return gate.Authenticate(
            m_processes.LocalNow(VmOf(aIndex)), key, aQueue);
        },
        [] { return TeamId(); });
      if (!taken.empty()) {
        Record(WorkTaken{ VmOf(aIndex),
                          aId.empty() ? "" : aTeam + "/" + aId,
                          TeamId(aTeam),
                          taken });
      }
    };
    attempt("a", "k1", "");
    attempt("a", "k2", "desk");
    attempt("b", "k1", "desk");
    attempt("b", "", "lobby");
  }

  /// Asks all members for promises, as the owner of a slice does in an outage.
  void Probe(int aIndex)
  {
    const VmId from = VmOf(aIndex);
    const Time sentAt = m_processes.LocalNow(from);
    for (const settings::Member& member : MembersFor(aIndex)) {
      const VmId to = member.m_vm;
      const int peer = IndexOf(to);
      m_network.Send(from, to, [=, this] {
        const Time now = m_processes.LocalNow(to);
        if (now - m_nodes[peer].m_tableWorked <= kStoreDownAfter) {
          return;
        }
        const auto known = m_nodes[peer].m_store->GivePromise(now);
        const Incarnation incarnation = m_processes.CurrentIncarnation(to);
        m_network.Send(to, from, [=, this] {
          m_nodes[aIndex].m_store->OnPromise(sentAt, to, incarnation, known);
        });
      });
    }
  }

  // --- Faults ---

  template<typename End>
  void HealAfter(Duration aDelay, End aEnd)
  {
    m_lastHeal = std::max(m_lastHeal, m_queue.Now() + aDelay);
    m_queue.After(aDelay, aEnd);
  }

  void Kill(int aIndex)
  {
    m_processes.Kill(VmOf(aIndex));
    m_nodes[aIndex].m_serving = false;
    Record(Stopped{ VmOf(aIndex) });
    const Incarnation killed = m_processes.CurrentIncarnation(VmOf(aIndex));
    m_queue.After(kGoneAfter, [=, this] {
      const VmId vm = VmOf(aIndex);
      if (!m_processes.IsAlive(vm) &&
          m_processes.CurrentIncarnation(vm) == killed) {
        m_gone.insert(aIndex);
        UpdateMembers();
      }
    });
  }

  void StartLater(int aIndex, Duration aDelay)
  {
    HealAfter(aDelay, [=, this] {
      if (!m_processes.IsAlive(VmOf(aIndex))) {
        StartProcess(aIndex);
      }
    });
  }

  void CutLinks(int aIndex, bool aOut, bool aIn, Duration aLength)
  {
    const VmId vm = VmOf(aIndex);
    for (int i = 0; i < m_options.m_processes; ++i) {
      m_network.SetCut(vm, VmOf(i), aOut && i != aIndex);
      m_network.SetCut(VmOf(i), vm, aIn && i != aIndex);
    }
    if (aOut || aIn) {
      HealAfter(aLength,
                [=, this] { CutLinks(aIndex, false, false, aLength); });
    }
  }

  void CutRegions(bool aCut)
  {
    for (int i = 0; i < m_options.m_processes; ++i) {
      for (int j = 0; j < m_options.m_processes; ++j) {
        if (RegionOf(i) != RegionOf(j)) {
          m_network.SetCut(VmOf(i), VmOf(j), aCut);
        }
      }
      if (RegionOf(i).Value() == "far") {
        Unreach(i, aCut);
      }
    }
  }

  void Unreach(int aIndex, bool aCut)
  {
    if (aCut) {
      m_table.Faults().m_unreachableFrom.insert(VmOf(aIndex));
    } else {
      m_table.Faults().m_unreachableFrom.erase(VmOf(aIndex));
    }
  }

  /// Sets a value that all links or calls share; the last of overlapping
  /// faults puts the usual value back.
  template<typename Value>
  void SetForAWhile(Value& aMember,
                    Value aValue,
                    Value aUsual,
                    Duration aLength)
  {
    aMember = aValue;
    ++m_overlapping[&aMember];
    HealAfter(aLength, [=, this, &aMember] {
      if (--m_overlapping[&aMember] == 0) {
        aMember = aUsual;
      }
    });
  }

  void StartFault(FaultKind aKind, int aIndex)
  {
    const VmId vm = VmOf(aIndex);
    LinkFaults& links = m_network.Faults();
    TableFaults& store = m_table.Faults();
    switch (aKind) {
      case FaultKind::Kill:
        Kill(aIndex);
        StartLater(aIndex, seconds(6));
        return;
      case FaultKind::Restart:
        Kill(aIndex);
        StartLater(aIndex, milliseconds(50));
        return;
      case FaultKind::PauseShort:
      case FaultKind::PauseLong:
        m_processes.Pause(vm);
        HealAfter(aKind == FaultKind::PauseShort ? milliseconds(700)
                                                 : seconds(8),
                  [=, this] { m_processes.Wake(vm); });
        return;
      case FaultKind::LoseMessages:
        SetForAWhile(links.m_loss, 0.9, 0.0, seconds(4));
        return;
      case FaultKind::DelayMessages:
        SetForAWhile<Duration>(
          links.m_baseDelay, seconds(7), milliseconds(1), seconds(4));
        return;
      case FaultKind::DuplicateMessages:
        SetForAWhile(links.m_duplication, 0.7, 0.0, seconds(4));
        return;
      case FaultKind::ReorderMessages:
        SetForAWhile<Duration>(
          links.m_jitter, seconds(3), Duration::zero(), seconds(5));
        return;
      case FaultKind::CutOneWay:
        CutLinks(aIndex, true, false, seconds(7));
        return;
      case FaultKind::CutBothWays:
        CutLinks(aIndex, true, true, seconds(7));
        return;
      case FaultKind::CutRegions:
        CutRegions(true);
        HealAfter(seconds(9), [this] { CutRegions(false); });
        return;
      case FaultKind::StoreDown:
        SetForAWhile(store.m_down, true, false, seconds(11));
        return;
      case FaultKind::StoreSlow:
        SetForAWhile<Duration>(
          store.m_delay, milliseconds(600), milliseconds(1), seconds(5));
        return;
      case FaultKind::LoseAnswers:
        SetForAWhile(store.m_loseAnswers, true, false, seconds(3));
        return;
      case FaultKind::StaleReads:
        SetForAWhile<Duration>(
          store.m_readLag, seconds(12), Duration::zero(), seconds(12));
        return;
      case FaultKind::StoreUnreachable:
        Unreach(aIndex, true);
        HealAfter(seconds(8), [=, this] { Unreach(aIndex, false); });
        return;
      case FaultKind::RaceOperators:
        AskChange(0, aIndex, "a", "");
        AskChange(1, (aIndex + 1) % m_options.m_processes, "a", "");
        return;
      case FaultKind::KillAndStoreDown:
        Kill(aIndex);
        StartLater(aIndex, seconds(10));
        SetForAWhile(store.m_down, true, false, seconds(14));
        return;
    }
  }

  // --- Bookkeeping ---

  int Pick(int aBound)
  {
    return std::uniform_int_distribution<int>(0, aBound - 1)(m_random);
  }

  static int IndexOf(const VmId& aVm)
  {
    return std::stoi(aVm.Value().substr(3));
  }

  void Record(HistoryItem aItem)
  {
    m_history.emplace_back(m_queue.Now(), std::move(aItem));
  }

  void RecordKept()
  {
    for (const auto& [key, row] : m_table.Table().AllRows()) {
      if (!key.starts_with("settings-history/team.")) {
        continue;
      }
      const auto decoded = leaf::try_handle_all(
        [&, &value = row.m_value] { return settings::DecodeSubtree(value); },
        [] { return settings::SubtreeRow(); });
      const auto text =
        settings::ParseIni(settings::Scope::Team, key, decoded.m_text);
      const auto begin = key.find('/') + 1;
      Record(Kept{ key.substr(begin, key.rfind('/') - begin),
                   decoded.m_version,
                   text.m_text.Get("team", "weight") });
    }
  }

  void CountTableBytes(int aIndex, const table::ReadResult& aResult)
  {
    if (RegionOf(aIndex).Value() == "far") {
      m_bytesAcross += kTableOverhead;
      for (const auto& [key, row] : aResult.m_rows) {
        m_bytesAcross += key.size() + row.m_value.size();
      }
    }
  }

  /// Approximate bytes in the protobuf encoding.
  static std::uint64_t SizeOf(const settings::PeerMessage& aMessage)
  {
    constexpr std::uint64_t kHeartbeatBytes = 40;
    constexpr std::uint64_t kEntryBytes = 16;
    std::uint64_t bytes = kHeartbeatBytes;
    if (const auto* rows = std::get_if<settings::RowsAnswer>(&aMessage)) {
      for (const auto& [key, row] : rows->m_rows) {
        bytes += key.size() + row.m_value.size() + kEntryBytes;
      }
    }
    if (const auto* ask = std::get_if<settings::RowsRequest>(&aMessage)) {
      bytes += ask->m_have.size() * kEntryBytes;
    }
    return bytes;
  }

  /// Headers and JSON frame of one call of the table service, both ways.
  static constexpr std::uint64_t kTableOverhead = 400;

  ClusterOptions m_options;
  std::vector<PlannedSettingsFault> m_faults;
  std::map<std::size_t, int> m_counts;
  std::map<const void*, int> m_overlapping;
  std::set<std::size_t> m_fired;
  std::mt19937_64 m_random;
  EventQueue m_queue;
  ProcessSet m_processes;
  FaultyNetwork m_network;
  FaultyTable m_table;
  std::map<int, Node> m_nodes;
  std::set<int> m_gone;
  std::set<settings::Step> m_stepsSeen;
  History m_history;
  Time m_lastHeal{};
  bool m_faultsAct = false;
  bool m_operatorsStopped = false;
  int m_nextChange = 0;
  int m_withdrawals = 0;
  std::uint64_t m_bytesAcross = 0;
  std::uint64_t m_heartbeatBytes = 0;
  std::uint64_t m_settingsReads = 0;
  std::uint64_t m_settingsWrites = 0;
};

} // namespace lacewing::fakes
