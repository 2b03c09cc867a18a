/// Drives a scheduler through a long sequence of steps and checks every
/// decision. The sequence is a list of bytes, so that RapidCheck can shrink it.
#pragma once

#include "fakes/SchedChecker.h"
#include "fakes/SchedFleet.h"

#include <memory>

#include <rapidcheck.h>

namespace lacewing::fakes {

struct Step
{
  std::uint8_t m_kind = 0;
  std::uint8_t m_choice = 0;
};

template<typename Scheduler>
class SchedRandomRun
{
public:
  SchedRandomRun()
    : m_scheduler(std::make_unique<Scheduler>())
  {
    for (int number = 0; number < kWorkers; ++number) {
      AddWorker(number);
    }
    for (int team = 0; team < kTeams; ++team) {
      SetAllotment(team, kFullAllotment);
    }
    SetOpen(true);
  }

  /// Violations after all steps, each followed by a decision.
  std::vector<std::string> Run(const std::vector<Step>& aSteps)
  {
    for (const Step& step : aSteps) {
      Carry(step);
      Decide();
      if (!m_checker.Violations().empty()) {
        break;
      }
    }
    return m_checker.Violations();
  }

private:
  static constexpr int kWorkers = 6;
  static constexpr int kTeams = 3;
  static constexpr std::int64_t kFullAllotment = 20'000;

  static TeamId TeamOf(int aNumber)
  {
    return TeamId("t" + std::to_string(aNumber % kTeams));
  }

  void AddWorker(int aNumber)
  {
    const sched::WorkerSpec spec = MakeWorker(aNumber);
    m_scheduler->UpsertWorker(m_now, spec);
    m_checker.SetWorker(spec.m_id, spec.m_capacity);
    m_workers.insert(aNumber);
  }

  void SetAllotment(int aTeam, std::int64_t aMillicores)
  {
    m_scheduler->SetTeam(m_now, TeamOf(aTeam), 1 + aTeam);
    m_scheduler->SetAllotment(TeamOf(aTeam), aMillicores);
    m_checker.SetAllotment(TeamOf(aTeam), aMillicores);
    m_allotments[aTeam] = aMillicores;
  }

  void SetOpen(bool aOpen)
  {
    m_scheduler->SetOpen(aOpen);
    m_checker.SetOpen(aOpen);
    m_open = aOpen;
  }

  void Carry(const Step& aStep)
  {
    const int choice = aStep.m_choice;
    switch (aStep.m_kind % 17) {
      case 0:
      case 1:
      case 2:
      case 3:
        Submit(choice);
        break;
      case 4:
        Cancel(choice);
        break;
      case 5:
        Report(choice);
        break;
      case 6:
      case 7:
        EndOne(choice, worker::TaskOutcome::Succeeded);
        break;
      case 8:
        EndOne(choice, worker::TaskOutcome::Failed);
        break;
      case 9:
      case 10:
        EndStopping();
        break;
      case 11:
        ReplaceWorker(choice % kWorkers);
        break;
      case 12:
        SetAllotment(choice % kTeams, (choice % 8) * kFullAllotment / 8);
        break;
      case 13:
        m_now += milliseconds(100 * choice);
        break;
      case 14:
        AnswerMarks(choice);
        break;
      case 15:
        SetCordoned(choice % kWorkers, choice % 3 != 0);
        break;
      default:
        (choice % 4 == 0) ? TakeOver() : SetOpen(choice % 4 != 1);
        break;
    }
  }

  void Submit(int aChoice)
  {
    const auto kind = static_cast<sched::JobKind>(aChoice % 4);
    const std::int64_t cores = 500 * (1 + aChoice % 7);
    sched::JobSpec spec = MakeJob("j" + std::to_string(m_nextJob++),
                                  TeamOf(aChoice / 4).Value(),
                                  1 + aChoice % 5,
                                  { cores, 1024 * (1 + aChoice % 6), 0 },
                                  kind);
    spec.m_patient = aChoice % 3 != 0;
    spec.m_checkpointable = aChoice % 5 == 0;
    spec.m_atMostOnce = aChoice % 7 == 0;
    m_checker.AddJob(spec);
    m_scheduler->Submit(m_now, spec);
  }

  void Cancel(int aChoice)
  {
    const auto& jobs = m_checker.Jobs();
    if (jobs.empty()) {
      return;
    }
    auto job = jobs.begin();
    std::advance(job, aChoice % static_cast<int>(jobs.size()));
    m_scheduler->Cancel(m_now, job->first);
    m_cancelled.insert(job->first);
  }

  /// Reports measured memory of up to ten times the declared amount.
  void Report(int aChoice)
  {
    const TaskId* task = Choose(aChoice);
    if (task == nullptr) {
      return;
    }
    const SchedChecker::Run run = m_checker.Running().at(*task);
    Resources used = run.m_task.m_reserved;
    used.m_memoryMib = used.m_memoryMib * (aChoice % 100) / 10;
    m_checker.Measure(run.m_task.m_task, used);
    m_scheduler->OnReport(m_now,
                          { run.m_worker, m_checker.Inventory(run.m_worker) });
  }

  const TaskId* Choose(int aChoice) const
  {
    const auto& running = m_checker.Running();
    if (running.empty()) {
      return nullptr;
    }
    auto task = running.begin();
    std::advance(task, aChoice % static_cast<int>(running.size()));
    return &task->first;
  }

  void EndOne(int aChoice, worker::TaskOutcome aOutcome)
  {
    if (const TaskId* task = Choose(aChoice)) {
      EndTask(TaskId(*task), aOutcome);
    }
  }

  void EndTask(const TaskId& aTask, worker::TaskOutcome aOutcome)
  {
    const SchedChecker::Run run = m_checker.Running().at(aTask);
    m_checker.End(aTask, aOutcome);
    m_scheduler->OnTaskEnd(
      m_now, run.m_worker, aTask, run.m_task.m_attempt, aOutcome);
  }

  void EndStopping()
  {
    const std::set<TaskId> stopping = m_checker.Stopping();
    for (const TaskId& task : stopping) {
      if (m_checker.Running().contains(task)) {
        EndTask(task, worker::TaskOutcome::Stopped);
      }
    }
  }

  void ReplaceWorker(int aNumber)
  {
    const VmId id = MakeWorker(aNumber).m_id;
    if (m_workers.erase(aNumber) == 0) {
      AddWorker(aNumber);
      return;
    }
    m_scheduler->RemoveWorker(m_now, id);
    m_checker.RemoveWorker(id);
  }

  void SetCordoned(int aNumber, bool aCordoned)
  {
    if (m_workers.contains(aNumber)) {
      const VmId id = MakeWorker(aNumber).m_id;
      m_scheduler->SetCordoned(id, aCordoned);
      m_checker.SetCordoned(id, aCordoned);
    }
  }

  void AnswerMarks(int aChoice)
  {
    for (const TaskId& task : m_marking) {
      if (aChoice % 4 == 0) {
        m_scheduler->OnMarkFailed(m_now, task);
      } else {
        m_checker.Mark(task);
        m_scheduler->OnMarked(m_now, task);
      }
    }
    m_marking.clear();
  }

  /// The next owner of the slice: knows the durable rows and what it adopts.
  void TakeOver()
  {
    m_scheduler = std::make_unique<Scheduler>();
    m_checker.SetOpen(false);
    m_marking.clear();
    for (const auto& [team, millicores] : m_allotments) {
      m_scheduler->SetTeam(m_now, TeamOf(team), 1 + team);
      m_scheduler->SetAllotment(TeamOf(team), millicores);
    }
    for (const int number : m_workers) {
      const sched::WorkerSpec spec = MakeWorker(number);
      m_scheduler->UpsertWorker(m_now, spec);
      m_scheduler->SetCordoned(spec.m_id, m_checker.IsCordoned(spec.m_id));
    }
    bool later = false;
    for (const auto& [id, spec] : m_checker.Jobs()) {
      // Half of the jobs are read before the inventories, half after them.
      later = !later;
      if (!later) {
        RecoverJob(spec);
      }
    }
    for (const int number : m_workers) {
      const VmId id = MakeWorker(number).m_id;
      m_scheduler->Adopt(m_now, id, m_checker.Inventory(id));
    }
    Decide();
    for (const auto& [id, spec] : m_checker.Jobs()) {
      RecoverJob(spec);
    }
    SetOpen(true);
  }

  void RecoverJob(const sched::JobSpec& aSpec)
  {
    sched::RecoveredTasks tasks;
    tasks.m_cancelled = m_cancelled.contains(aSpec.m_id);
    for (std::uint32_t index = 0; index < aSpec.m_tasks; ++index) {
      const TaskId id{ aSpec.m_id, index };
      if (m_checker.IsMarked(id)) {
        tasks.m_marked.push_back(index);
      }
      if (m_checker.Succeeded().contains(id) &&
          aSpec.m_kind != sched::JobKind::Gang) {
        tasks.m_succeeded.push_back(index);
      }
    }
    m_scheduler->Recover(m_now, aSpec, tasks);
  }

  void Decide()
  {
    m_now += milliseconds(10);
    const auto actions = m_scheduler->Decide(m_now, 16);
    m_checker.Apply(actions);
    for (const sched::Action& action : actions) {
      if (action.m_kind == sched::ActionKind::MarkStarted) {
        m_marking.push_back(action.m_task);
      }
    }
    m_scheduler->TakeFinished();
  }

  Time m_now = Time() + seconds(1000);
  std::unique_ptr<Scheduler> m_scheduler;
  SchedChecker m_checker;
  std::set<int> m_workers;
  std::map<int, std::int64_t> m_allotments;
  std::set<JobId> m_cancelled;
  std::vector<TaskId> m_marking;
  int m_nextJob = 0;
  bool m_open = false;
};

} // namespace lacewing::fakes

template<>
struct rc::Arbitrary<lacewing::fakes::Step>
{
  static Gen<lacewing::fakes::Step> arbitrary() // NOLINT
  {
    using lacewing::fakes::Step;
    return gen::build<Step>(gen::set(&Step::m_kind), gen::set(&Step::m_choice));
  }
};
