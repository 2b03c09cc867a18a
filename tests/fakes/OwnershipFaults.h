/// Faults of the ownership protocol, injected at a time or at a protocol step,
/// and runs of a cell under a plan of faults.
#pragma once

#include "OwnershipCell.h"

#include "core/EnumNames.h"

namespace lacewing::fakes {

enum class Fault
{
  Kill,             ///< the process dies and restarts 4 s later
  Remove,           ///< the VM is gone for good
  PauseShort,       ///< 2 s: within the lease
  PauseLong,        ///< 9 s: the lease lapses while its holder is paused
  PauseVeryLong,    ///< 30 s: the worker leases lapse as well
  LoseMessage,      ///< the message of the step is lost
  DelayMessage,     ///< it arrives 6 s later
  DelayMessageLong, ///< it arrives 19.5 s later
  DuplicateMessage,
  Reorder,          ///< messages of 8 s are delayed by up to 3 s each
  Lossy,            ///< a third of the messages of 8 s are lost or duplicated
  CutFrom,          ///< one way for 10 s: nothing leaves the VM for its peers
  CutTo,            ///< one way for 10 s: nothing reaches the VM
  CutBoth,          ///< both ways for 25 s, workers included
  StoreDown,        ///< for 12 s
  StoreSlow,        ///< for 8 s answers come after their deadline
  StoreUnreachable, ///< from this VM for 15 s
  LostAnswers,      ///< for 4 s commits take effect without an answer
  HeldWrite,        ///< the next commit takes effect 7 s later
  StaleReads,       ///< for 10 s reads answer from 3 s ago
  RegionsApart,     ///< for 15 s, one region without the store
  ListLag,          ///< from now on the VM list lags by 8 s
  ClockRates,       ///< clocks at the allowed rate error, in the whole run
  Drain,            ///< a planned stop; the process restarts 4 s later
  LowerLimit,       ///< a team's limit is halved
};

} // namespace lacewing::fakes

template<>
struct lacewing::EnumNames<lacewing::fakes::Fault>
{
  using Fault = lacewing::fakes::Fault;
  static constexpr std::array kTable = {
    std::pair{ Fault::Kill, std::string_view("kill") },
    std::pair{ Fault::Remove, std::string_view("remove") },
    std::pair{ Fault::PauseShort, std::string_view("pause_short") },
    std::pair{ Fault::PauseLong, std::string_view("pause_long") },
    std::pair{ Fault::PauseVeryLong, std::string_view("pause_very_long") },
    std::pair{ Fault::LoseMessage, std::string_view("lose_message") },
    std::pair{ Fault::DelayMessage, std::string_view("delay_message") },
    std::pair{ Fault::DelayMessageLong,
               std::string_view("delay_message_long") },
    std::pair{ Fault::DuplicateMessage, std::string_view("duplicate_message") },
    std::pair{ Fault::Reorder, std::string_view("reorder") },
    std::pair{ Fault::Lossy, std::string_view("lossy") },
    std::pair{ Fault::CutFrom, std::string_view("cut_from") },
    std::pair{ Fault::CutTo, std::string_view("cut_to") },
    std::pair{ Fault::CutBoth, std::string_view("cut_both") },
    std::pair{ Fault::StoreDown, std::string_view("store_down") },
    std::pair{ Fault::StoreSlow, std::string_view("store_slow") },
    std::pair{ Fault::StoreUnreachable, std::string_view("store_unreachable") },
    std::pair{ Fault::LostAnswers, std::string_view("lost_answers") },
    std::pair{ Fault::HeldWrite, std::string_view("held_write") },
    std::pair{ Fault::StaleReads, std::string_view("stale_reads") },
    std::pair{ Fault::RegionsApart, std::string_view("regions_apart") },
    std::pair{ Fault::ListLag, std::string_view("list_lag") },
    std::pair{ Fault::ClockRates, std::string_view("clock_rates") },
    std::pair{ Fault::Drain, std::string_view("drain") },
    std::pair{ Fault::LowerLimit, std::string_view("lower_limit") },
  };
};

namespace lacewing::fakes {

inline constexpr std::size_t kFaults = EnumNames<Fault>::kTable.size();
inline constexpr std::size_t kSteps = EnumNames<ownership::Step>::kTable.size();

/// A fault at a time, or at the n-th time that a step is reached.
struct PlannedFault
{
  Fault m_fault = Fault::Kill;
  Time m_time{};
  std::size_t m_member = 0; ///< index, for a fault at a time
  std::optional<ownership::Step> m_step;
  Phase m_phase = Phase::Before;
  int m_occurrence = 1;

  friend std::ostream& operator<<(std::ostream& aOut,
                                  const PlannedFault& aFault)
  {
    aOut << NameOf(aFault.m_fault);
    if (aFault.m_step) {
      return aOut << " at " << NameOf(*aFault.m_step) << " phase "
                  << static_cast<int>(aFault.m_phase) << " occurrence "
                  << aFault.m_occurrence;
    }
    return aOut << " of member " << aFault.m_member << " at "
                << ToMilliseconds(aFault.m_time - Time()) << " ms";
  }
};

/// Two to four faults; about half of them at steps.
inline std::vector<PlannedFault>
RandomPlan(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  const auto draw = [&](std::size_t aBound) { return random() % aBound; };
  std::vector<PlannedFault> plan(2 + draw(3));
  for (PlannedFault& fault : plan) {
    fault.m_fault = EnumNames<Fault>::kTable[draw(kFaults)].first;
    fault.m_time = Time() + milliseconds(4000 + draw(30000));
    fault.m_member = draw(9);
    if (draw(2) == 0) {
      fault.m_step = EnumNames<ownership::Step>::kTable[draw(kSteps)].first;
      fault.m_phase = static_cast<Phase>(draw(3));
      fault.m_occurrence = 1 + static_cast<int>(draw(12));
    }
  }
  return plan;
}

/// Sizes and clock rates that vary with the seed: 3 to 9 members.
inline CellOptions
RandomOptions(std::uint64_t aSeed)
{
  static const std::vector<std::vector<int>> kMembers = {
    { 3, 2 }, { 2, 2 }, { 4, 3 }, { 2, 1 }, { 5, 4 }
  };
  CellOptions options;
  options.m_seed = aSeed + 1;
  options.m_members = kMembers[aSeed % kMembers.size()];
  options.m_rateSpread = aSeed % 3 == 0 ? kDefaultClockRateError : 0;
  return options;
}

struct Outcome
{
  Violations m_violations;
  std::size_t m_fired = 0; ///< faults that took place
  std::size_t m_starts = 0;
  std::map<ownership::Step, int> m_steps;

  std::string Text() const
  {
    std::string text;
    for (const std::string& violation : m_violations) {
      text += violation + "\n";
    }
    return text;
  }
};

class FaultRun
{
public:
  FaultRun(CellOptions aOptions, std::vector<PlannedFault> aPlan)
    : m_plan(std::move(aPlan))
    , m_cell(WithPlan(std::move(aOptions), m_plan))
  {
    for (std::size_t i = 0; i < m_plan.size(); ++i) {
      if (!m_plan[i].m_step) {
        const auto members = m_cell.Members();
        const VmId& vm = members[m_plan[i].m_member % members.size()];
        m_cell.Queue().At(m_plan[i].m_time,
                          [this, i, vm] { Fire(m_plan[i].m_fault, vm); });
      }
    }
    m_cell.OnStep([this](const VmId& aVm, ownership::Step aStep, Phase aPhase) {
      OnStep(aVm, aStep, aPhase);
    });
  }
  FaultRun(const FaultRun&) = delete;
  FaultRun& operator=(const FaultRun&) = delete;

  OwnershipCell& Cell() { return m_cell; }

  /// Events without which some steps are never reached: a member that cannot
  /// reach the store, a death, a planned stop and a store outage.
  void AddScript()
  {
    const auto at = [&](int aSeconds, Fault aFault, std::size_t aMember) {
      const auto members = m_cell.Members(0);
      const VmId& vm = members[aMember % members.size()];
      m_cell.Queue().At(Time() + seconds(aSeconds),
                        [this, aFault, vm] { Apply(aFault, vm); });
    };
    at(6, Fault::StoreUnreachable, 0);
    at(14, Fault::Kill, 1);
    // The owner of a slice, so that its stop has something to hand over.
    At(seconds(22), [this] {
      const VmId owner = m_cell.OwnerOf(SliceId("r0-slice0"));
      if (!owner.empty()) {
        Apply(Fault::Drain, owner);
      }
    });
    at(30, Fault::StoreDown, 0);
  }

  void At(Duration aTime, std::function<void()> aFunction)
  {
    m_cell.Queue().At(Time() + aTime, std::move(aFunction));
  }
  void Pause(const VmId& aVm, Duration aLength)
  {
    const Incarnation paused = m_cell.Processes().CurrentIncarnation(aVm);
    m_cell.Pause(aVm);
    After(aLength, [this, aVm, paused] {
      if (m_cell.Processes().CurrentIncarnation(aVm) == paused) {
        m_cell.Wake(aVm);
      }
    });
  }
  /// Cuts both ways between two VMs.
  void CutLink(const VmId& aOne, const VmId& aOther, Duration aLength)
  {
    Cut(aOne, aOther, aLength);
    Cut(aOther, aOne, aLength);
  }
  void Unreachable(const VmId& aVm, Duration aLength)
  {
    m_cell.Table().Faults().m_unreachableFrom.insert(aVm);
    After(aLength, [this, aVm] {
      m_cell.Table().Faults().m_unreachableFrom.erase(aVm);
    });
  }

  /// Runs the faults and then a time in which everything must be served again.
  Outcome Run(Duration aFaults, Duration aSettle)
  {
    m_cell.RunFor(aFaults);
    m_cell.OnStep({});
    m_cell.RunFor(aSettle);
    Outcome outcome;
    outcome.m_violations = m_cell.Check();
    for (const SliceId& slice : m_cell.Unserved()) {
      outcome.m_violations.push_back("not served at the end: " + slice.Value());
    }
    outcome.m_fired = m_fired;
    outcome.m_starts = m_cell.Starts();
    outcome.m_steps = m_steps;
    return outcome;
  }

private:
  static CellOptions WithPlan(CellOptions aOptions,
                              const std::vector<PlannedFault>& aPlan)
  {
    for (const PlannedFault& fault : aPlan) {
      aOptions.m_keepCopies =
        aOptions.m_keepCopies || fault.m_fault == Fault::StaleReads;
      if (fault.m_fault == Fault::ClockRates) {
        aOptions.m_rateSpread = kDefaultClockRateError;
      }
    }
    return aOptions;
  }

  void OnStep(const VmId& aVm, ownership::Step aStep, Phase aPhase)
  {
    if (aPhase == Phase::Before) {
      ++m_steps[aStep];
    }
    const int count = ++m_counts[{ aStep, aPhase }];
    for (const PlannedFault& fault : m_plan) {
      if (fault.m_step == aStep && fault.m_phase == aPhase &&
          fault.m_occurrence == count) {
        Fire(fault.m_fault, aVm);
      }
    }
  }

  void Fire(Fault aFault, const VmId& aVm)
  {
    ++m_fired;
    Apply(aFault, aVm);
  }

  void After(Duration aDelay, std::function<void()> aFunction)
  {
    m_cell.Queue().After(aDelay, std::move(aFunction));
  }

  void RestartLater(const VmId& aVm)
  {
    After(seconds(4), [this, aVm] {
      if (m_removed.contains(aVm)) {
        return;
      }
      if (m_cell.Processes().IsAlive(aVm)) {
        RestartLater(aVm);
        return;
      }
      m_cell.Start(aVm);
    });
  }

  /// The last member of a region is not removed: nobody could take over.
  bool IsLast(const VmId& aVm) const
  {
    std::size_t left = 0;
    for (const VmId& vm : m_cell.Members(m_cell.RegionOf(aVm))) {
      left += m_removed.contains(vm) ? 0 : 1;
    }
    return left <= 1;
  }

  std::vector<VmId> Everyone() const
  {
    auto all = m_cell.Members();
    const auto workers = m_cell.Workers();
    all.insert(all.end(), workers.begin(), workers.end());
    return all;
  }

  void Cut(const VmId& aFrom, const VmId& aTo, Duration aLength)
  {
    m_cell.Network().SetCut(aFrom, aTo, true);
    After(aLength,
          [this, aFrom, aTo] { m_cell.Network().SetCut(aFrom, aTo, false); });
  }

  void CutRegions(Duration aLength)
  {
    const auto all = Everyone();
    for (const VmId& from : all) {
      for (const VmId& to : all) {
        if (m_cell.RegionOf(from) != m_cell.RegionOf(to)) {
          Cut(from, to, aLength);
        }
      }
    }
    for (const VmId& vm : m_cell.Members(1)) {
      Unreachable(vm, aLength);
    }
  }

  void Apply(Fault aFault, const VmId& aVm)
  {
    auto& table = m_cell.Table().Faults();
    auto& links = m_cell.Network().Faults();
    switch (aFault) {
      case Fault::Remove:
        if (!IsLast(aVm)) {
          m_removed.insert(aVm);
          m_cell.Remove(aVm);
          return;
        }
        [[fallthrough]];
      case Fault::Kill:
        if (m_cell.Processes().IsAlive(aVm)) {
          m_cell.Kill(aVm);
          RestartLater(aVm);
        }
        return;
      case Fault::PauseShort:
        return Pause(aVm, seconds(2));
      case Fault::PauseLong:
        return Pause(aVm, seconds(9));
      case Fault::PauseVeryLong:
        return Pause(aVm, seconds(30));
      case Fault::LoseMessage:
        m_cell.Network().NextMessage().m_lose = true;
        return;
      case Fault::DelayMessage:
        m_cell.Network().NextMessage().m_delay = seconds(6);
        return;
      case Fault::DelayMessageLong:
        m_cell.Network().NextMessage().m_delay = milliseconds(19500);
        return;
      case Fault::DuplicateMessage:
        m_cell.Network().NextMessage().m_duplicate = true;
        return;
      case Fault::Reorder:
        links.m_jitter = seconds(3);
        After(seconds(8), [&links] { links.m_jitter = milliseconds(5); });
        return;
      case Fault::Lossy:
        links.m_loss = 0.3;
        links.m_duplication = 0.3;
        After(seconds(8), [&links] {
          links.m_loss = 0;
          links.m_duplication = 0;
        });
        return;
      case Fault::CutFrom:
        for (const VmId& vm : m_cell.Members()) {
          Cut(aVm, vm, seconds(10));
        }
        return;
      case Fault::CutTo:
        for (const VmId& vm : Everyone()) {
          Cut(vm, aVm, seconds(10));
        }
        return;
      case Fault::CutBoth:
        for (const VmId& vm : Everyone()) {
          Cut(vm, aVm, seconds(25));
          Cut(aVm, vm, seconds(25));
        }
        return;
      case Fault::StoreDown:
        table.m_down = true;
        After(seconds(12), [&table] { table.m_down = false; });
        return;
      case Fault::StoreSlow:
        table.m_delay = milliseconds(1500);
        After(seconds(8), [&table] { table.m_delay = milliseconds(1); });
        return;
      case Fault::StoreUnreachable:
        return Unreachable(aVm, seconds(15));
      case Fault::LostAnswers:
        table.m_loseAnswers = true;
        After(seconds(4), [&table] { table.m_loseAnswers = false; });
        return;
      case Fault::HeldWrite:
        table.m_holdNextCommit = seconds(7);
        return;
      case Fault::StaleReads:
        table.m_readLag = seconds(3);
        After(seconds(10), [&table] { table.m_readLag = Duration::zero(); });
        return;
      case Fault::RegionsApart:
        return CutRegions(seconds(15));
      case Fault::ListLag:
        m_cell.SetListLag(seconds(8));
        return;
      case Fault::ClockRates:
        return;
      case Fault::Drain:
        if (m_cell.Processes().IsAlive(aVm) && !IsLast(aVm)) {
          m_cell.Stop(aVm);
          RestartLater(aVm);
        }
        return;
      case Fault::LowerLimit:
        m_cell.SetLimit(0, 3000);
        return;
    }
  }

  std::vector<PlannedFault> m_plan;
  OwnershipCell m_cell;
  std::map<std::pair<ownership::Step, Phase>, int> m_counts;
  std::map<ownership::Step, int> m_steps;
  std::set<VmId> m_removed;
  std::size_t m_fired = 0;
};

} // namespace lacewing::fakes
