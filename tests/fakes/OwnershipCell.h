/// A cell under virtual time: members with the real ownership machines, worker
/// models, the fake table, network and VM list, and a first-fit placement.
/// Everything that matters for the guarantees is written to the history.
#pragma once

#include "FaultyNetwork.h"
#include "FaultyTable.h"
#include "OwnershipHistory.h"

#include "WorkerModel.h"
#include "ownership/Ownership.h"

#include <memory>
#include <optional>

namespace lacewing::fakes {

enum class Phase
{
  Before,  ///< before the message or the call leaves the process
  After,   ///< right after it has left
  Arrival, ///< before the answer or the message is taken by its receiver
};

struct CellOptions
{
  std::vector<int> m_members = { 3, 2 }; ///< by region
  int m_slicesPerRegion = 2;
  int m_workersPerSlice = 2;
  int m_tasksPerSlice = 7;
  /// Tasks run for a random time between these bounds.
  std::int64_t m_minRunMs = 8000;
  std::int64_t m_maxRunMs = 68000;
  std::int64_t m_workerMillicores = 3000;
  std::vector<std::int64_t> m_limits = { 6000, 5000 }; ///< by team
  /// Rates of the clocks differ by up to this fraction.
  double m_rateSpread = 0.0;
  std::uint64_t m_seed = 1;
  bool m_keepCopies = false;
  Duration m_tick = milliseconds(100);
  Duration m_listLag{};
  ownership::OwnershipOptions m_ownership;
  standin::WorkerOptions m_worker;
};

class OwnershipCell
{
public:
  using Hook = std::function<void(const VmId&, ownership::Step, Phase)>;

  explicit OwnershipCell(CellOptions aOptions)
    : m_options(std::move(aOptions))
    , m_processes(m_queue)
    , m_table(m_queue, m_processes)
    , m_network(m_queue, m_processes, m_options.m_seed)
    , m_random(m_options.m_seed)
  {
    m_table.KeepCopies(m_options.m_keepCopies);
    m_table.OnApplied([this](const table::Commit& aCommit) {
      for (const table::Put& put : aCommit.m_puts) {
        RecordLimit(put);
      }
    });
    m_network.Faults().m_jitter = milliseconds(5);
    for (std::size_t team = 0; team < m_options.m_limits.size(); ++team) {
      SetLimit(team, m_options.m_limits[team]);
    }
    for (std::size_t region = 0; region < m_options.m_members.size();
         ++region) {
      AddRegion(static_cast<int>(region));
    }
  }
  OwnershipCell(const OwnershipCell&) = delete;
  OwnershipCell& operator=(const OwnershipCell&) = delete;

  EventQueue& Queue() { return m_queue; }
  ProcessSet& Processes() { return m_processes; }
  FaultyTable& Table() { return m_table; }
  FaultyNetwork& Network() { return m_network; }
  const History& Events() const { return m_history; }
  const std::set<std::string>& Killed() const { return m_killed; }
  void SetListLag(Duration aLag) { m_options.m_listLag = aLag; }
  void OnStep(Hook aHook) { m_hook = std::move(aHook); }
  std::vector<VmId> Members(int aRegion = -1) const
  {
    std::vector<VmId> vms;
    for (const auto& [vm, member] : m_members) {
      if (aRegion < 0 || member.m_region == aRegion) {
        vms.push_back(vm);
      }
    }
    return vms;
  }
  std::vector<VmId> Workers() const
  {
    std::vector<VmId> vms;
    for (const auto& [vm, worker] : m_workers) {
      vms.push_back(vm);
    }
    return vms;
  }
  int RegionOf(const VmId& aVm) const
  {
    const auto member = m_members.find(aVm);
    return member != m_members.end() ? member->second.m_region
                                     : m_workers.at(aVm).m_region;
  }
  ownership::Ownership* Machine(const VmId& aVm)
  {
    return m_members.at(aVm).m_machine.get();
  }

  /// Starts a process on the VM; an earlier one must be dead.
  void Start(const VmId& aVm)
  {
    Member& member = m_members.at(aVm);
    const Duration offset = seconds(Draw(1000));
    const Incarnation incarnation = m_processes.Start(aVm, DrawRate(), offset);
    m_removed.erase(aVm);
    member.m_slices.clear();
    member.m_believed.clear();
    ownership::Identity identity;
    identity.m_vm = aVm;
    identity.m_region = RegionId("region" + std::to_string(member.m_region));
    identity.m_domain = DomainId("domain");
    identity.m_nonceSeed = aVm.Value() + "." + std::to_string(incarnation);
    member.m_machine =
      std::make_unique<ownership::Ownership>(m_options.m_ownership, identity);
    Poll(aVm, incarnation);
    m_queue.After(microseconds(Draw(100000)),
                  [this, aVm, incarnation] { Tick(aVm, incarnation); });
  }

  void Kill(const VmId& aVm)
  {
    if (!m_processes.IsAlive(aVm)) {
      return;
    }
    m_killed.insert(Who(aVm));
    m_processes.Kill(aVm);
    EndBeliefs(aVm);
  }

  /// Kills the process and takes its VM from the list.
  void Remove(const VmId& aVm)
  {
    Kill(aVm);
    m_removed.emplace(aVm, m_queue.Now());
  }

  void RemoveWorker(const VmId& aVm)
  {
    m_processes.Kill(aVm);
    m_removed.emplace(aVm, m_queue.Now());
    Worker& worker = m_workers.at(aVm);
    worker.m_dead = true;
    Compare(aVm, worker, {});
  }

  void Pause(const VmId& aVm)
  {
    if (!m_processes.IsPaused(aVm)) {
      Record({ HistoryKind::Paused, m_queue.Now(), Who(aVm) });
      m_processes.Pause(aVm);
    }
  }

  void Wake(const VmId& aVm)
  {
    if (m_processes.IsPaused(aVm)) {
      Record({ HistoryKind::Woken, m_queue.Now(), Who(aVm) });
      m_processes.Wake(aVm);
    }
  }

  void Stop(const VmId& aVm)
  {
    Record({ HistoryKind::DrainStarted, m_queue.Now(), Who(aVm) });
    Call(aVm, [](ownership::Ownership& aMachine, Time aNow) {
      return aMachine.OnShutdownRequested(aNow);
    });
  }

  void SetLimit(std::size_t aTeam, std::int64_t aLimit)
  {
    const std::string key = ownership::LimitKey(Limit(aTeam));
    ownership::LimitRow row;
    const auto found = m_table.Table().AllRows().find(key);
    if (found != m_table.Table().AllRows().end()) {
      row = ownership::DecodeLimit(found->second.m_value).value();
    }
    table::Commit commit;
    commit.m_puts.push_back(
      { key, ownership::EncodeLimit(ownership::WithLimit(row, aLimit)) });
    m_table.ApplyNow(commit);
  }

  /// Adds tasks of the first team.
  void AddTasks(const SliceId& aSlice, int aCount, std::int64_t aRunMs)
  {
    for (int i = 0; i < aCount; ++i) {
      const TaskId task{ JobId("added" + std::to_string(m_jobs.size())), 0 };
      m_jobs[task] = { 0, aRunMs, false };
      m_tasks[aSlice].push_back(task);
    }
  }

  /// The member that may act for the slice; empty if there is none.
  VmId OwnerOf(const SliceId& aSlice) const
  {
    for (const auto& [vm, member] : m_members) {
      if (m_processes.IsAlive(vm) &&
          member.m_machine->MayAct(m_processes.LocalNow(vm), aSlice)) {
        return vm;
      }
    }
    return {};
  }

  void RunFor(Duration aDuration) { m_queue.RunFor(aDuration); }

  /// Slices that no member may act for now, or that are not open.
  std::vector<SliceId> Unserved()
  {
    std::vector<SliceId> unserved;
    for (const auto& [slice, info] : m_slices) {
      bool served = false;
      for (auto& [vm, member] : m_members) {
        if (!m_processes.IsAlive(vm) || m_processes.IsPaused(vm)) {
          continue;
        }
        const auto owned =
          member.m_machine->OwnedSlices(m_processes.LocalNow(vm));
        const auto found = owned.find(slice);
        served = served || (found != owned.end() && found->second.m_open);
      }
      if (!served) {
        unserved.push_back(slice);
      }
    }
    return unserved;
  }

  Violations Check() const
  {
    Violations violations = CheckOwners(m_history);
    const auto append = [&](const Violations& aMore) {
      violations.insert(violations.end(), aMore.begin(), aMore.end());
    };
    append(CheckEpochs(m_history));
    append(CheckTasks(m_history));
    append(CheckStops(m_history, seconds(33), m_killed));
    return violations;
  }

  static ownership::LimitId Limit(std::size_t aTeam)
  {
    return { TeamId("team" + std::to_string(aTeam)),
             ownership::LimitUnit::Millicores };
  }
  /// What the owners count as running of a team.
  std::int64_t Accounted(std::size_t aTeam) const
  {
    std::int64_t sum = 0;
    for (const auto& [vm, member] : m_members) {
      for (const auto& [slice, state] : member.m_slices) {
        sum += m_processes.IsAlive(vm) ? Running(state, aTeam) : 0;
      }
    }
    return sum;
  }
  /// Starts accepted by workers in the whole run.
  std::size_t Starts() const { return m_starts; }

private:
  struct Placed
  {
    VmId m_worker;
    std::uint32_t m_attempt = 0;
    bool m_confirmed = false;
    Time m_sent{};
    Time m_stopSent = Time::min();
  };

  struct SliceState
  {
    Epoch m_epoch = 0;
    bool m_open = false;
    std::map<TaskId, Placed> m_placed;
    std::map<VmId, std::uint64_t> m_endedSeen;
    std::set<VmId> m_adopted;
    std::uint32_t m_attempts = 0;
  };

  struct Member
  {
    int m_region = 0;
    std::unique_ptr<ownership::Ownership> m_machine;
    std::map<SliceId, SliceState> m_slices;
    std::set<SliceId> m_believed;
    std::uint64_t m_ticks = 0;
  };

  struct Worker
  {
    int m_region = 0;
    SliceId m_slice;
    standin::WorkerModel m_model;
    std::map<TaskId, worker::RunningTask> m_running;
    bool m_dead = false;
    Time m_nextAdvance = Time::max();
  };

  struct Job
  {
    std::size_t m_team = 0;
    std::int64_t m_runMs = 0;
    bool m_done = false;
  };

  static constexpr std::int64_t kTaskMillicores = 1000;

  std::int64_t Draw(std::int64_t aBound)
  {
    return std::uniform_int_distribution<std::int64_t>(0, aBound)(m_random);
  }

  std::int64_t DrawRunMs()
  {
    return m_options.m_minRunMs +
           Draw(m_options.m_maxRunMs - m_options.m_minRunMs);
  }

  double DrawRate()
  {
    const double sign = Draw(1) == 0 ? -1.0 : 1.0;
    return 1.0 + sign * m_options.m_rateSpread / 2;
  }

  void Record(HistoryEvent aEvent) { m_history.push_back(std::move(aEvent)); }

  std::string Who(const VmId& aVm) const
  {
    return aVm.Value() + "." +
           std::to_string(m_processes.CurrentIncarnation(aVm));
  }

  void RecordLimit(const table::Put& aPut)
  {
    if (!aPut.m_key.starts_with(ownership::kLimitPrefix)) {
      return;
    }
    const auto row = ownership::DecodeLimit(aPut.m_value).value();
    HistoryEvent event;
    event.m_kind = HistoryKind::Limit;
    event.m_time = m_queue.Now();
    event.m_team = ownership::ParseLimitKey(aPut.m_key).value().m_team.Value();
    event.m_amount = std::max(row.m_inForce, row.m_limit);
    event.m_sum = row.Sum();
    Record(event);
  }

  void AddRegion(int aRegion)
  {
    const std::string prefix = "r" + std::to_string(aRegion);
    for (int i = 0; i < m_options.m_slicesPerRegion; ++i) {
      AddSlice(aRegion, SliceId(prefix + "-slice" + std::to_string(i)));
    }
    for (int i = 0; i < m_options.m_members[aRegion]; ++i) {
      const VmId vm(prefix + "-entry" + std::to_string(i));
      m_members[vm].m_region = aRegion;
      Start(vm);
    }
  }

  void AddSlice(int aRegion, const SliceId& aSlice)
  {
    ownership::SliceInfo info;
    info.m_slice = aSlice;
    info.m_region = RegionId("region" + std::to_string(aRegion));
    standin::WorkerOptions options = m_options.m_worker;
    options.m_capacity = { m_options.m_workerMillicores, 65536, 0 };
    for (int i = 0; i < m_options.m_workersPerSlice; ++i) {
      const VmId vm(aSlice.Value() + "-worker" + std::to_string(i));
      info.m_workers.insert(vm);
      m_processes.Start(vm, DrawRate(), seconds(Draw(1000)));
      m_workers.emplace(vm,
                        Worker{ aRegion,
                                aSlice,
                                standin::WorkerModel(options),
                                {},
                                false,
                                Time::max() });
      HistoryEvent event{ HistoryKind::Capacity, m_queue.Now() };
      event.m_worker = vm;
      event.m_resources = options.m_capacity;
      Record(event);
    }
    m_slices[aSlice] = info;
    for (int i = 0; i < m_options.m_tasksPerSlice; ++i) {
      const TaskId task{ JobId(aSlice.Value() + "-job" + std::to_string(i)),
                         0 };
      const auto team = static_cast<std::size_t>(i) % m_options.m_limits.size();
      m_jobs[task] = { team, DrawRunMs(), false };
      m_tasks[aSlice].push_back(task);
    }
  }

  // Processes.

  void Tick(const VmId& aVm, Incarnation aIncarnation)
  {
    if (m_processes.CurrentIncarnation(aVm) != aIncarnation ||
        !m_processes.IsAlive(aVm)) {
      return;
    }
    m_processes.Deliver(aVm, aIncarnation, [this, aVm] {
      Call(aVm, [](ownership::Ownership& aMachine, Time aNow) {
        return aMachine.OnTick(aNow);
      });
      Schedule(aVm);
    });
    m_queue.After(m_options.m_tick,
                  [this, aVm, aIncarnation] { Tick(aVm, aIncarnation); });
  }

  void Poll(const VmId& aVm, Incarnation aIncarnation)
  {
    if (m_processes.CurrentIncarnation(aVm) != aIncarnation ||
        !m_processes.IsAlive(aVm)) {
      return;
    }
    m_processes.Deliver(aVm, aIncarnation, [this, aVm] { TakeList(aVm); });
    m_queue.After(seconds(1),
                  [this, aVm, aIncarnation] { Poll(aVm, aIncarnation); });
  }

  void TakeList(const VmId& aVm)
  {
    Call(aVm, [&](ownership::Ownership& aMachine, Time aNow) {
      ownership::VmListView view;
      view.m_asked = aNow;
      for (const auto& [vm, member] : m_members) {
        if (IsListed(vm, Duration::zero())) {
          view.m_entryVms.insert(vm);
        }
      }
      for (auto [slice, info] : m_slices) {
        std::erase_if(info.m_workers, [&](const VmId& aWorker) {
          return !IsListed(aWorker, seconds(3));
        });
        view.m_slices.push_back(info);
      }
      return aMachine.OnVmList(aNow, view);
    });
  }

  bool IsListed(const VmId& aVm, Duration aExtra) const
  {
    const auto removed = m_removed.find(aVm);
    return removed == m_removed.end() ||
           m_queue.Now() < removed->second + m_options.m_listLag + aExtra;
  }

  void Call(
    const VmId& aVm,
    const std::function<ownership::Effects(ownership::Ownership&, Time)>& aCall)
  {
    if (!m_processes.IsAlive(aVm)) {
      return;
    }
    const Incarnation incarnation = m_processes.CurrentIncarnation(aVm);
    Member& member = m_members.at(aVm);
    const auto effects = aCall(*member.m_machine, m_processes.LocalNow(aVm));
    Sample(aVm, member);
    for (const ownership::OwnershipEvent& event : effects.m_events) {
      OnEvent(aVm, member, event);
    }
    for (const ownership::Step step : effects.m_steps) {
      Announce(aVm, step, Phase::Before);
    }
    for (const ownership::TableWrite& write : effects.m_writes) {
      Do(aVm, incarnation, write.m_step, [this, aVm, write] {
        m_table.Submit(
          aVm,
          write.m_commit,
          seconds(1),
          [this, aVm, write](const table::CommitResult& aResult) {
            Answer(aVm, write.m_step, [=](auto& aMachine, Time aNow) {
              return aMachine.OnCommitResult(aNow, write.m_op, aResult);
            });
          });
      });
    }
    for (const ownership::TableRead& read : effects.m_reads) {
      Do(aVm, incarnation, read.m_step, [this, aVm, read] {
        m_table.Fetch(
          aVm,
          read.m_read,
          seconds(1),
          [this, aVm, read](const table::ReadResult& aResult) {
            Answer(aVm, read.m_step, [=](auto& aMachine, Time aNow) {
              return aMachine.OnReadResult(aNow, read.m_op, aResult);
            });
          });
      });
    }
    for (const ownership::PeerSend& send : effects.m_sends) {
      Do(aVm, incarnation, send.m_step, [this, aVm, send] {
        m_network.Send(aVm, send.m_to, [this, aVm, send] {
          Answer(send.m_to, send.m_step, [=](auto& aMachine, Time aNow) {
            return aMachine.OnPeerMessage(aNow, aVm, send.m_message);
          });
        });
      });
    }
    for (const ownership::WorkerSend& send : effects.m_workerSends) {
      SendToWorker(
        aVm, incarnation, send.m_worker, send.m_step, send.m_request);
    }
  }

  /// Announces the step around an action; a pause before it defers it, a kill
  /// drops it.
  void Do(const VmId& aVm,
          Incarnation aIncarnation,
          ownership::Step aStep,
          const std::function<void()>& aAction)
  {
    Announce(aVm, aStep, Phase::Before);
    m_processes.Deliver(aVm, aIncarnation, aAction);
    Announce(aVm, aStep, Phase::After);
  }

  void Answer(
    const VmId& aVm,
    ownership::Step aStep,
    const std::function<ownership::Effects(ownership::Ownership&, Time)>& aCall)
  {
    const Incarnation incarnation = m_processes.CurrentIncarnation(aVm);
    Announce(aVm, aStep, Phase::Arrival);
    m_processes.Deliver(
      aVm, incarnation, [this, aVm, aCall] { Call(aVm, aCall); });
  }

  void Announce(const VmId& aVm, ownership::Step aStep, Phase aPhase)
  {
    if (m_hook) {
      m_hook(aVm, aStep, aPhase);
    }
  }

  void Sample(const VmId& aVm, Member& aMember)
  {
    const Time now = m_processes.LocalNow(aVm);
    const auto owned = aMember.m_machine->OwnedSlices(now);
    const std::string who = Who(aVm);
    for (auto slice = aMember.m_believed.begin();
         slice != aMember.m_believed.end();) {
      if (owned.contains(*slice)) {
        ++slice;
        continue;
      }
      Record({ HistoryKind::BeliefEnd, m_queue.Now(), who, *slice });
      slice = aMember.m_believed.erase(slice);
    }
    if (owned.empty()) {
      return;
    }
    const Time until =
      m_processes.QueueTimeOf(aVm, aMember.m_machine->Authority(now));
    for (const auto& [slice, state] : owned) {
      aMember.m_believed.insert(slice);
      HistoryEvent event{ HistoryKind::Belief, m_queue.Now(), who, slice };
      event.m_epoch = state.m_epoch;
      event.m_until = until;
      Record(event);
    }
  }

  void EndBeliefs(const VmId& aVm)
  {
    Member& member = m_members.at(aVm);
    for (const SliceId& slice : member.m_believed) {
      Record({ HistoryKind::BeliefEnd, m_queue.Now(), Who(aVm), slice });
    }
    member.m_believed.clear();
  }

  void OnEvent(const VmId& aVm,
               Member& aMember,
               const ownership::OwnershipEvent& aEvent)
  {
    using Kind = ownership::EventKind;
    auto& slices = aMember.m_slices;
    switch (aEvent.m_kind) {
      case Kind::SliceClaimed:
        slices[aEvent.m_slice] = SliceState();
        slices[aEvent.m_slice].m_epoch = aEvent.m_epoch;
        break;
      case Kind::SliceOpened:
        slices[aEvent.m_slice].m_open = true;
        break;
      case Kind::SliceLost:
        slices.erase(aEvent.m_slice);
        break;
      case Kind::WorkerAdopted:
        OnInventory(slices[aEvent.m_slice], aEvent.m_worker, *aEvent.m_reply);
        break;
      case Kind::WorkerLost:
        slices[aEvent.m_slice].m_adopted.erase(aEvent.m_worker);
        std::erase_if(slices[aEvent.m_slice].m_placed, [&](const auto& aOne) {
          return aOne.second.m_worker == aEvent.m_worker;
        });
        break;
      case Kind::VmListWanted:
        m_queue.After(milliseconds(1), [this, aVm] {
          m_processes.Deliver(aVm,
                              m_processes.CurrentIncarnation(aVm),
                              [this, aVm] { TakeList(aVm); });
        });
        break;
      case Kind::Stopped:
        Record({ HistoryKind::Stopped, m_queue.Now(), Who(aVm) });
        m_processes.Kill(aVm);
        EndBeliefs(aVm);
        break;
      case Kind::BecameActive:
      case Kind::AuthorityEnded:
      case Kind::Deposed:
        break;
    }
  }

  // Placement.

  void OnInventory(SliceState& aSlice,
                   const VmId& aWorker,
                   const worker::ControlReply& aReply)
  {
    aSlice.m_adopted.insert(aWorker);
    for (const worker::EndedTask& ended : aReply.m_ended) {
      auto& seen = aSlice.m_endedSeen[aWorker];
      seen = std::max(seen, ended.m_sequence);
      if (ended.m_outcome == worker::TaskOutcome::Succeeded) {
        m_jobs.at(ended.m_task).m_done = true;
      }
      const auto placed = aSlice.m_placed.find(ended.m_task);
      if (placed != aSlice.m_placed.end() &&
          placed->second.m_worker == aWorker &&
          placed->second.m_attempt == ended.m_attempt) {
        aSlice.m_placed.erase(placed);
      }
    }
    for (const worker::RunningTask& running : aReply.m_running) {
      const auto [placed, isNew] = aSlice.m_placed.try_emplace(running.m_task);
      if (isNew) {
        placed->second.m_worker = aWorker;
        placed->second.m_attempt = running.m_attempt;
      }
      placed->second.m_confirmed =
        placed->second.m_confirmed || placed->second.m_worker == aWorker;
    }
  }

  void Schedule(const VmId& aVm)
  {
    if (!m_processes.IsAlive(aVm)) {
      return;
    }
    Member& member = m_members.at(aVm);
    if (++member.m_ticks % 2 != 0) {
      return;
    }
    const Time now = m_processes.LocalNow(aVm);
    for (auto& [slice, state] : member.m_slices) {
      if (member.m_machine->MayAct(now, slice)) {
        Demand(member, now, slice, state);
        if (state.m_open) {
          StopExcess(aVm, member, now, slice, state);
          Place(aVm, member, now, slice, state);
        }
      }
    }
  }

  std::int64_t Running(const SliceState& aState, std::size_t aTeam) const
  {
    std::int64_t running = 0;
    for (const auto& [task, placed] : aState.m_placed) {
      running += m_jobs.at(task).m_team == aTeam ? kTaskMillicores : 0;
    }
    return running;
  }

  /// Tasks of the slice that are neither done nor placed.
  std::vector<TaskId> Waiting(const SliceState& aState, const SliceId& aSlice)
  {
    auto& tasks = m_tasks[aSlice];
    std::erase_if(tasks,
                  [&](const TaskId& aTask) { return m_jobs.at(aTask).m_done; });
    std::vector<TaskId> waiting;
    for (const TaskId& task : tasks) {
      if (!aState.m_placed.contains(task)) {
        waiting.push_back(task);
      }
    }
    return waiting;
  }

  void Demand(Member& aMember,
              Time aNow,
              const SliceId& aSlice,
              const SliceState& aState)
  {
    std::vector<std::int64_t> waiting(m_options.m_limits.size());
    std::int64_t room = static_cast<std::int64_t>(aState.m_adopted.size()) *
                          (m_options.m_workerMillicores / kTaskMillicores) -
                        static_cast<std::int64_t>(aState.m_placed.size());
    for (const TaskId& task : Waiting(aState, aSlice)) {
      if (room-- <= 0) {
        break;
      }
      waiting[m_jobs.at(task).m_team] += kTaskMillicores;
    }
    std::map<ownership::LimitId, ownership::Demand> demands;
    for (std::size_t team = 0; team < waiting.size(); ++team) {
      demands[Limit(team)] = { Running(aState, team), waiting[team] };
    }
    aMember.m_machine->SetDemands(aNow, aSlice, demands);
  }

  void StopExcess(const VmId& aVm,
                  Member& aMember,
                  Time aNow,
                  const SliceId& aSlice,
                  SliceState& aState)
  {
    for (const auto& demand : aMember.m_machine->StopDemands(aNow, aSlice)) {
      std::int64_t left = demand.m_amount;
      for (auto& [task, placed] : aState.m_placed) {
        if (left <= 0) {
          break;
        }
        if (Limit(m_jobs.at(task).m_team) != demand.m_limit) {
          continue;
        }
        left -= kTaskMillicores;
        if (placed.m_stopSent == Time::min() ||
            aNow - placed.m_stopSent >= seconds(2)) {
          placed.m_stopSent = aNow;
          SendCommand(
            aVm, aMember, aSlice, aState, worker::CommandKind::Stop, task);
        }
      }
    }
  }

  void Place(const VmId& aVm,
             Member& aMember,
             Time aNow,
             const SliceId& aSlice,
             SliceState& aState)
  {
    for (const TaskId& task : Waiting(aState, aSlice)) {
      const Job& job = m_jobs.at(task);
      if (Running(aState, job.m_team) + kTaskMillicores >
          aMember.m_machine->Allotment(aSlice, Limit(job.m_team))) {
        continue;
      }
      const auto fit = FirstFit(aMember, aSlice, aState);
      if (!fit) {
        return;
      }
      Placed placed;
      placed.m_worker = *fit;
      placed.m_attempt =
        static_cast<std::uint32_t>(aState.m_epoch * 1000 + ++aState.m_attempts);
      placed.m_sent = aNow;
      aState.m_placed[task] = placed;
      SendCommand(
        aVm, aMember, aSlice, aState, worker::CommandKind::Start, task);
    }
    for (auto& [task, placed] : aState.m_placed) {
      if (!placed.m_confirmed && aNow - placed.m_sent >= seconds(2)) {
        placed.m_sent = aNow;
        SendCommand(
          aVm, aMember, aSlice, aState, worker::CommandKind::Start, task);
      }
    }
  }

  std::optional<VmId> FirstFit(const Member& aMember,
                               const SliceId& aSlice,
                               const SliceState& aState) const
  {
    for (const VmId& vm : aState.m_adopted) {
      std::int64_t used = 0;
      for (const auto& [task, placed] : aState.m_placed) {
        used += placed.m_worker == vm ? kTaskMillicores : 0;
      }
      if (aMember.m_machine->WorkerToken(aSlice, vm) != 0 &&
          used + kTaskMillicores <= m_options.m_workerMillicores) {
        return vm;
      }
    }
    return std::nullopt;
  }

  void SendCommand(const VmId& aVm,
                   const Member& aMember,
                   const SliceId& aSlice,
                   SliceState& aState,
                   worker::CommandKind aKind,
                   const TaskId& aTask)
  {
    const Placed& placed = aState.m_placed.at(aTask);
    worker::ControlRequest request;
    request.m_slice = aSlice;
    request.m_epoch = aState.m_epoch;
    request.m_token = aMember.m_machine->WorkerToken(aSlice, placed.m_worker);
    request.m_endedSeen = aState.m_endedSeen[placed.m_worker];
    if (request.m_token == 0) {
      return;
    }
    worker::Command command;
    command.m_kind = aKind;
    command.m_task = aTask;
    command.m_attempt = placed.m_attempt;
    command.m_reserved = { kTaskMillicores, 1, 0 };
    command.m_runMs = m_jobs.at(aTask).m_runMs;
    request.m_commands.push_back(command);
    SendToWorker(aVm,
                 m_processes.CurrentIncarnation(aVm),
                 placed.m_worker,
                 ownership::Step::WorkerCommand,
                 request);
  }

  // Workers.

  void SendToWorker(const VmId& aVm,
                    Incarnation aIncarnation,
                    const VmId& aWorker,
                    ownership::Step aStep,
                    const worker::ControlRequest& aRequest)
  {
    Do(aVm, aIncarnation, aStep, [this, aVm, aWorker, aStep, aRequest] {
      m_network.Send(aVm, aWorker, [this, aVm, aWorker, aStep, aRequest] {
        Serve(aVm, aWorker, aStep, aRequest);
      });
    });
  }

  void Serve(const VmId& aVm,
             const VmId& aWorker,
             ownership::Step aStep,
             const worker::ControlRequest& aRequest)
  {
    Worker& worker = m_workers.at(aWorker);
    if (worker.m_dead) {
      return;
    }
    const auto reply =
      worker.m_model.Control(m_processes.LocalNow(aWorker), aRequest);
    if (reply.m_accepted) {
      HistoryEvent event{ HistoryKind::Accepted, m_queue.Now(), Who(aVm) };
      event.m_worker = aWorker;
      event.m_epoch = aRequest.m_epoch;
      Record(event);
    }
    Compare(aWorker, worker, worker.m_model.Running());
    m_network.Send(aWorker, aVm, [this, aVm, aWorker, aStep, aRequest, reply] {
      Answer(aVm, aStep, [=](auto& aMachine, Time aNow) {
        return aMachine.OnWorkerReply(aNow, aRequest.m_slice, aWorker, reply);
      });
    });
  }

  /// Records what has changed on the worker, and when it next changes.
  void Compare(const VmId& aVm,
               Worker& aWorker,
               const std::vector<worker::RunningTask>& aRunning)
  {
    std::map<TaskId, worker::RunningTask> present;
    for (const worker::RunningTask& task : aRunning) {
      present[task.m_task] = task;
    }
    for (const auto& [id, task] : aWorker.m_running) {
      const auto still = present.find(id);
      if (still == present.end() || still->second.m_attempt != task.m_attempt) {
        RecordTask(HistoryKind::TaskEnd, aVm, task);
      }
    }
    for (const auto& [id, task] : present) {
      const auto before = aWorker.m_running.find(id);
      if (before == aWorker.m_running.end() ||
          before->second.m_attempt != task.m_attempt) {
        RecordTask(HistoryKind::TaskStart, aVm, task);
        ++m_starts;
      }
    }
    aWorker.m_running = std::move(present);
    const Time next = aWorker.m_model.NextChange();
    if (!aWorker.m_dead && next != Time::max() &&
        next != aWorker.m_nextAdvance) {
      aWorker.m_nextAdvance = next;
      m_queue.At(m_processes.QueueTimeOf(aVm, next),
                 [this, aVm] { Advance(aVm); });
    }
  }

  void Advance(const VmId& aVm)
  {
    Worker& worker = m_workers.at(aVm);
    if (!worker.m_dead) {
      worker.m_model.Advance(m_processes.LocalNow(aVm));
      Compare(aVm, worker, worker.m_model.Running());
    }
  }

  void RecordTask(HistoryKind aKind,
                  const VmId& aWorker,
                  const worker::RunningTask& aTask)
  {
    HistoryEvent event{ aKind, m_queue.Now() };
    event.m_worker = aWorker;
    event.m_task = aTask.m_task;
    event.m_team = "team" + std::to_string(m_jobs.at(aTask.m_task).m_team);
    event.m_resources = aTask.m_reserved;
    Record(event);
  }

  CellOptions m_options;
  EventQueue m_queue;
  ProcessSet m_processes;
  FaultyTable m_table;
  FaultyNetwork m_network;
  std::mt19937_64 m_random;
  Hook m_hook;
  std::map<VmId, Member> m_members;
  std::map<VmId, Worker> m_workers;
  std::map<SliceId, ownership::SliceInfo> m_slices;
  std::map<TaskId, Job> m_jobs;
  std::map<SliceId, std::vector<TaskId>> m_tasks;
  std::map<VmId, Time> m_removed;
  std::set<std::string> m_killed;
  History m_history;
  std::size_t m_starts = 0;
};

} // namespace lacewing::fakes
