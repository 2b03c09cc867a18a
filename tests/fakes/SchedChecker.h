/// A record of what runs where, kept from the actions alone, that checks each
/// action against the guarantees of the scheduler.
#pragma once

#include "sched/Action.h"
#include "sched/JobTypes.h"

#include <map>
#include <set>

namespace lacewing::fakes {

class SchedChecker
{
public:
  struct Run
  {
    VmId m_worker;
    worker::RunningTask m_task;
  };

  void SetWorker(const VmId& aWorker, const Resources& aCapacity)
  {
    m_capacity[aWorker] = aCapacity;
  }

  /// All tasks of the worker end without a report.
  void RemoveWorker(const VmId& aWorker)
  {
    m_capacity.erase(aWorker);
    m_cordoned.erase(aWorker);
    std::erase_if(m_running, [&](const auto& aEntry) {
      return aEntry.second.m_worker == aWorker;
    });
  }

  void SetCordoned(const VmId& aWorker, bool aCordoned)
  {
    if (aCordoned) {
      m_cordoned.insert(aWorker);
    } else {
      m_cordoned.erase(aWorker);
    }
  }
  bool IsCordoned(const VmId& aWorker) const
  {
    return m_cordoned.contains(aWorker);
  }

  void AddJob(const sched::JobSpec& aSpec) { m_jobs[aSpec.m_id] = aSpec; }
  void SetAllotment(const TeamId& aTeam, std::int64_t aMillicores)
  {
    m_allotments[aTeam] = aMillicores;
  }
  void SetOpen(bool aOpen) { m_open = aOpen; }
  void Mark(const TaskId& aTask) { m_marks.insert(aTask); }
  bool IsMarked(const TaskId& aTask) const { return m_marks.contains(aTask); }

  void Measure(const TaskId& aTask, const Resources& aUsed)
  {
    m_running.at(aTask).m_task.m_used = aUsed;
  }

  void End(const TaskId& aTask, worker::TaskOutcome aOutcome)
  {
    m_running.erase(aTask);
    if (aOutcome == worker::TaskOutcome::Succeeded) {
      m_succeeded.insert(aTask);
    }
  }

  void Apply(const std::vector<sched::Action>& aActions)
  {
    std::map<JobId, std::size_t> gangStarts;
    for (const sched::Action& action : aActions) {
      if (action.m_kind == sched::ActionKind::Start) {
        ApplyStart(action);
        if (m_jobs.at(action.m_task.m_job).m_kind == sched::JobKind::Gang) {
          ++gangStarts[action.m_task.m_job];
        }
      } else if (const auto run = m_running.find(action.m_task);
                 run != m_running.end()) {
        ApplyToRunning(action, run->second.m_task);
      }
    }
    CheckGangs(gangStarts);
  }

  const std::map<TaskId, Run>& Running() const { return m_running; }
  const std::set<TaskId>& Stopping() const { return m_stopping; }
  const std::set<TaskId>& Succeeded() const { return m_succeeded; }
  const std::map<JobId, sched::JobSpec>& Jobs() const { return m_jobs; }
  const std::vector<std::string>& Violations() const { return m_violations; }

  std::vector<worker::RunningTask> Inventory(const VmId& aWorker) const
  {
    std::vector<worker::RunningTask> inventory;
    for (const auto& [id, run] : m_running) {
      if (run.m_worker == aWorker) {
        inventory.push_back(run.m_task);
      }
    }
    return inventory;
  }

private:
  void Violated(const std::string& aWhat, const sched::Action& aAction)
  {
    m_violations.push_back(aWhat + ": " + aAction.m_task.m_job.Value() + "/" +
                           std::to_string(aAction.m_task.m_index) + " on " +
                           aAction.m_worker.Value());
  }

  void ApplyToRunning(const sched::Action& aAction, worker::RunningTask& aTask)
  {
    if (aAction.m_kind == sched::ActionKind::Throttle) {
      aTask.m_throttled = true;
    } else if (aAction.m_kind == sched::ActionKind::Unthrottle) {
      aTask.m_throttled = false;
      if (!HeldOn(m_running.at(aAction.m_task).m_worker, true)
             .FitsIn(m_capacity.at(aAction.m_worker))) {
        Violated("no room to unthrottle", aAction);
      }
    } else if (aAction.m_kind != sched::ActionKind::MarkStarted) {
      m_stopping.insert(aAction.m_task);
    }
  }

  void ApplyStart(const sched::Action& aAction)
  {
    const sched::JobSpec& spec = m_jobs.at(aAction.m_task.m_job);
    if (!m_open) {
      Violated("started while the slice is closed", aAction);
    }
    if (m_cordoned.contains(aAction.m_worker)) {
      Violated("started on a leaving worker", aAction);
    }
    if (m_running.contains(aAction.m_task)) {
      Violated("task runs twice", aAction);
    }
    if (spec.m_atMostOnce && !m_marks.contains(aAction.m_task)) {
      Violated("at-most-once task without a mark", aAction);
    }
    if (spec.m_atMostOnce && !m_startedOnce.insert(aAction.m_task).second) {
      Violated("at-most-once task started again", aAction);
    }
    if (!spec.m_perTask.FitsIn(aAction.m_reserved)) {
      Violated("reserved less than declared", aAction);
    }
    Run& run = m_running[aAction.m_task];
    run.m_worker = aAction.m_worker;
    run.m_task = {
      aAction.m_task, aAction.m_attempt, aAction.m_reserved, Resources{}, false
    };
    m_stopping.erase(aAction.m_task);
    if (!m_capacity.contains(aAction.m_worker)) {
      Violated("unknown worker", aAction);
    } else if (!HeldOn(aAction.m_worker, false)
                  .FitsIn(m_capacity.at(aAction.m_worker))) {
      Violated("worker above its capacity", aAction);
    }
    if (RunningOf(spec.m_team) > m_allotments[spec.m_team]) {
      Violated("team above its allotment", aAction);
    }
  }

  /// Sum over the tasks of a worker: the larger of reserved and measured
  /// memory, and processors by throttling.
  Resources HeldOn(const VmId& aWorker, bool aProcessorsOnly) const
  {
    constexpr std::int64_t kThrottledDivisor = 10;
    Resources held;
    for (const auto& [id, run] : m_running) {
      if (run.m_worker != aWorker) {
        continue;
      }
      const worker::RunningTask& task = run.m_task;
      Resources one = task.m_reserved;
      if (task.m_throttled) {
        one.m_millicores /= kThrottledDivisor;
      }
      one.m_memoryMib = std::max(one.m_memoryMib, task.m_used.m_memoryMib);
      held += one;
    }
    if (aProcessorsOnly) {
      held.m_memoryMib = 0;
      held.m_accelerators = 0;
    }
    return held;
  }

  std::int64_t RunningOf(const TeamId& aTeam) const
  {
    std::int64_t sum = 0;
    for (const auto& [id, run] : m_running) {
      const sched::JobSpec& spec = m_jobs.at(id.m_job);
      if (spec.m_team == aTeam) {
        sum += spec.m_perTask.m_millicores;
      }
    }
    return sum;
  }

  /// A gang that starts in a decision has all its unfinished tasks running
  /// after it.
  void CheckGangs(const std::map<JobId, std::size_t>& aStarts)
  {
    for (const auto& [job, started] : aStarts) {
      if (started != m_jobs.at(job).m_tasks) {
        m_violations.push_back(
          "gang " + job.Value() + ": " + std::to_string(started) + " of " +
          std::to_string(m_jobs.at(job).m_tasks) + " tasks started together");
      }
    }
  }

  std::map<VmId, Resources> m_capacity;
  std::set<VmId> m_cordoned;
  std::map<JobId, sched::JobSpec> m_jobs;
  std::map<TeamId, std::int64_t> m_allotments;
  std::map<TaskId, Run> m_running;
  std::set<TaskId> m_stopping;
  std::set<TaskId> m_succeeded;
  std::set<TaskId> m_marks;
  std::set<TaskId> m_startedOnce;
  std::vector<std::string> m_violations;
  bool m_open = false;
};

} // namespace lacewing::fakes
