/// Short builders of workers and jobs for tests of the slice scheduler.
#pragma once

#include "sched/SliceScheduler.h"

namespace lacewing::fakes {

using DaemonScheduler =
  sched::SliceScheduler<sched::FairOrder, sched::BestFitPlacement>;

inline constexpr std::int64_t kAmpleAllotment = 1'000'000'000;

inline sched::WorkerSpec
MakeWorker(int aNumber, Resources aCapacity = { 8000, 16384, 0 })
{
  constexpr int kWorkersPerRack = 4;
  constexpr int kRacksPerDomain = 4;
  const int rack = aNumber / kWorkersPerRack;
  sched::WorkerSpec spec;
  spec.m_id = VmId("w" + std::to_string(aNumber));
  spec.m_rack = sched::RackId("r" + std::to_string(rack));
  spec.m_domain = DomainId("d" + std::to_string(rack / kRacksPerDomain));
  spec.m_capacity = aCapacity;
  spec.m_accelerator = aCapacity.m_accelerators > 0 ? "a100" : "";
  return spec;
}

inline sched::JobSpec
MakeJob(const std::string& aId,
        const std::string& aTeam,
        std::uint32_t aTasks,
        Resources aPerTask,
        sched::JobKind aKind = sched::JobKind::Batch)
{
  sched::JobSpec spec;
  spec.m_id = JobId(aId);
  spec.m_team = TeamId(aTeam);
  spec.m_tasks = aTasks;
  spec.m_perTask = aPerTask;
  spec.m_kind = aKind;
  spec.m_runMs = 60'000;
  return spec;
}

/// An open slice with equal workers and an ample allotment for the teams.
template<typename Scheduler = DaemonScheduler>
Scheduler
MakeSlice(int aWorkers,
          const std::vector<std::string>& aTeams = { "t" },
          const sched::SchedulerOptions& aOptions = {})
{
  Scheduler scheduler(aOptions);
  for (int number = 0; number < aWorkers; ++number) {
    scheduler.UpsertWorker(Time(), MakeWorker(number));
  }
  for (const std::string& team : aTeams) {
    scheduler.SetTeam(Time(), TeamId(team), 1);
    scheduler.SetAllotment(TeamId(team), kAmpleAllotment);
  }
  scheduler.SetOpen(true);
  return scheduler;
}

inline std::vector<sched::Action>
Only(const std::vector<sched::Action>& aActions, sched::ActionKind aKind)
{
  std::vector<sched::Action> chosen;
  for (const sched::Action& action : aActions) {
    if (action.m_kind == aKind) {
      chosen.push_back(action);
    }
  }
  return chosen;
}

inline std::size_t
CountOf(const std::vector<sched::Action>& aActions, sched::ActionKind aKind)
{
  return Only(aActions, aKind).size();
}

/// Reports the end of a task that an action has started or stopped.
template<typename Scheduler>
bool
End(Scheduler& aScheduler,
    Time aNow,
    const sched::Action& aAction,
    worker::TaskOutcome aOutcome = worker::TaskOutcome::Succeeded)
{
  return aScheduler.OnTaskEnd(
    aNow, aAction.m_worker, aAction.m_task, aAction.m_attempt, aOutcome);
}

} // namespace lacewing::fakes
