/// Synthetic fleets and loads, shaped as those of both users and as the size
/// expected in two years. Seeded; no clock.
#pragma once

#include "sched/SliceScheduler.h"

#include <cmath>
#include <random>

namespace lacewing::bench {

using sched::JobKind;
using sched::JobSpec;
using sched::WorkerSpec;

enum class Shape : std::uint8_t
{
  Vanigliera, ///< small assessments, reconciliations, some services
  Guild,      ///< heavy proofs, small edge-bridge checks
  TwoYears,   ///< both, with accelerators and larger gangs
};

inline const char*
NameOfShape(Shape aShape)
{
  switch (aShape) {
    case Shape::Vanigliera:
      return "Vanigliera";
    case Shape::Guild:
      return "Guild";
    case Shape::TwoYears:
      return "two years";
  }
  return "";
}

inline WorkerSpec
FleetWorker(Shape aShape, std::uint32_t aNumber, std::uint32_t aDomains)
{
  constexpr std::uint32_t kWorkersPerRack = 8;
  constexpr std::uint32_t kAcceleratorEvery = 20;
  constexpr std::int64_t kLargeMib = 131'072;
  constexpr std::int64_t kSmallMib = 65'536;
  const std::uint32_t rack = aNumber / kWorkersPerRack;
  WorkerSpec spec;
  spec.m_id = VmId("w" + std::to_string(aNumber));
  spec.m_rack = sched::RackId("r" + std::to_string(rack));
  spec.m_domain = DomainId("d" + std::to_string(rack % aDomains));
  const bool large =
    aShape == Shape::Vanigliera || (aShape == Shape::TwoYears && rack % 2 == 0);
  spec.m_capacity = { 32'000, large ? kLargeMib : kSmallMib, 0 };
  if (aShape == Shape::TwoYears && aNumber % kAcceleratorEvery == 0) {
    spec.m_capacity.m_accelerators = 4;
    spec.m_accelerator = "a100";
  }
  return spec;
}

/// A stream of jobs. Sizes are in half cores and GiB.
class JobStream
{
public:
  JobStream(Shape aShape, std::uint64_t aSeed, std::uint32_t aTeams)
    : m_shape(aShape)
    , m_random(aSeed)
    , m_teams(aTeams)
  {
  }

  std::uint64_t Draw(std::uint64_t aBelow) { return m_random() % aBelow; }

  /// A number between 1/aFactor and aFactor, uniform on a logarithmic scale.
  double OffBy(double aFactor)
  {
    std::uniform_real_distribution<double> exponent(-1, 1);
    return std::pow(aFactor, exponent(m_random));
  }

  /// One task, 2.3 cores in the mean, so that 60,000 of them take 88% of 4,900
  /// workers. A fifth are services.
  JobSpec Single()
  {
    JobSpec spec = Base();
    const std::uint64_t draw = Draw(100);
    if (draw < 20) {
      spec.m_kind = JobKind::Service;
      spec.m_perTask = Size(2 + Draw(5), 2 + Draw(7));
    } else if (draw < 70 || (m_shape == Shape::Vanigliera && draw < 90)) {
      spec.m_perTask = Size(1 + Draw(4), 1 + Draw(4));
      spec.m_patient = draw % 2 == 0;
    } else if (draw < 95) {
      spec.m_perTask = Size(4 + Draw(5), 2 + Draw(14));
      spec.m_patient = true;
    } else {
      spec.m_perTask = Size(16 + Draw(17), 8 + Draw(17));
      spec.m_patient = true;
    }
    return spec;
  }

  JobSpec Gang(std::uint32_t aTasks)
  {
    JobSpec spec = Base();
    spec.m_kind = JobKind::Gang;
    spec.m_tasks = aTasks;
    spec.m_perTask = Size(8, 8);
    return spec;
  }

  /// One in a hundred is a gang of 8 to 32 tasks of 4 or 8 cores.
  JobSpec Next()
  {
    if (Draw(100) != 0) {
      return Single();
    }
    JobSpec spec = Gang(static_cast<std::uint32_t>(8 << Draw(3)));
    spec.m_perTask = Draw(2) == 0 ? Size(8, 8) : Size(16, 16);
    return spec;
  }

  JobSpec Base()
  {
    JobSpec spec;
    spec.m_id = JobId("j" + std::to_string(m_next++));
    spec.m_team = TeamId("t" + std::to_string(Draw(m_teams)));
    spec.m_runMs = 30'000;
    return spec;
  }

  static Resources Size(std::uint64_t aHalfCores, std::uint64_t aGib)
  {
    return { static_cast<std::int64_t>(aHalfCores) * 500,
             static_cast<std::int64_t>(aGib) * 1024,
             0 };
  }

private:
  Shape m_shape;
  std::mt19937_64 m_random;
  std::uint32_t m_teams;
  std::uint64_t m_next = 0;
};

inline constexpr std::int64_t kNoBound = 1'000'000'000'000;

/// A scheduler with a fleet, an ample allotment for each team and a steady
/// number of running tasks.
template<typename Scheduler>
class SteadySlice
{
public:
  SteadySlice(Shape aShape,
              std::uint32_t aWorkers,
              std::uint32_t aTeams,
              std::uint64_t aSeed)
    : m_stream(aShape, aSeed, aTeams)
  {
    constexpr std::uint32_t kDomains = 11;
    for (std::uint32_t number = 0; number < aWorkers; ++number) {
      m_scheduler.UpsertWorker(m_now, FleetWorker(aShape, number, kDomains));
    }
    for (std::uint32_t team = 0; team < aTeams; ++team) {
      const TeamId id("t" + std::to_string(team));
      m_scheduler.SetTeam(m_now, id, 1 + team % 4);
      m_scheduler.SetAllotment(id, kNoBound);
    }
    m_scheduler.SetOpen(true);
  }

  /// Submits and starts single tasks up to the number.
  void Fill(std::size_t aTasks)
  {
    while (m_running.size() < aTasks) {
      constexpr std::size_t kAtOnce = 500;
      for (std::size_t i = 0; i < kAtOnce; ++i) {
        m_scheduler.Submit(m_now, m_stream.Single());
      }
      const std::size_t before = m_running.size();
      Note(m_scheduler.Decide(m_now, kAtOnce));
      m_now += milliseconds(10);
      if (m_running.size() == before) {
        return; // The fleet is full.
      }
    }
  }

  /// Ends a random running task.
  void EndOne()
  {
    const std::size_t index = m_stream.Draw(m_running.size());
    const sched::Action action = m_running[index];
    m_running[index] = m_running.back();
    m_running.pop_back();
    EndTask(action);
  }

  void EndTask(const sched::Action& aAction)
  {
    m_scheduler.OnTaskEnd(m_now,
                          aAction.m_worker,
                          aAction.m_task,
                          aAction.m_attempt,
                          worker::TaskOutcome::Succeeded);
    m_scheduler.Forget(aAction.m_task.m_job);
  }

  /// Keeps the record of running tasks; answers the number of starts.
  std::size_t Note(const std::vector<sched::Action>& aActions)
  {
    std::size_t starts = 0;
    for (const sched::Action& action : aActions) {
      if (action.m_kind == sched::ActionKind::Start) {
        m_running.push_back(action);
        ++starts;
      }
    }
    m_scheduler.TakeFinished();
    return starts;
  }

  Time m_now = Time() + seconds(1);
  Scheduler m_scheduler;
  JobStream m_stream;
  std::vector<sched::Action> m_running;
};

} // namespace lacewing::bench
