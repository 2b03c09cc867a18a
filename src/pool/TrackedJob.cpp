#include "pool/TrackedJob.h"

#include <algorithm>

namespace lacewing::pool {

namespace {

/// Multiple of the objective up to which a late job is still of value to its
/// users.
constexpr int kLatestUsefulFactor = 3;

/// True if the step waits for the other one directly.
bool
WaitsFor(const StepSpec& aStep, std::uint32_t aOther)
{
  return std::ranges::find(aStep.m_after, aOther) != aStep.m_after.end();
}

} // namespace

void
StepRecord::SetAsked(WorkerSlot aWorker)
{
  if (aWorker >= m_asked.size()) {
    m_asked.resize(aWorker + 1);
  }
  m_asked[aWorker] = true;
}

Ticket*
StepRecord::FindTicket(WorkerSlot aWorker)
{
  const auto it = std::ranges::find(m_tickets, aWorker, &Ticket::m_worker);
  return it == m_tickets.end() ? nullptr : &*it;
}

std::vector<std::uint32_t>
StepRecord::TasksToPlace() const
{
  std::vector<std::uint32_t> result;
  std::size_t retried = 0;
  for (std::uint32_t index = 0; index < m_tasks.size(); ++index) {
    const TaskRecord& task = m_tasks[index];
    if (task.MayStart()) {
      result.push_back(index);
    }
    const bool isRetry = !task.m_failedRuns.empty();
    retried += task.m_state == TaskState::Placed && isRetry ? 1 : 0;
  }
  const std::uint32_t most = m_failures.MostTried();
  if (most == StepFailures::kNoLimit) {
    return result;
  }
  std::ranges::stable_sort(result, std::greater{}, [this](std::uint32_t aTask) {
    return m_tasks[aTask].m_failedRuns.size();
  });
  std::size_t placed = m_placed;
  std::size_t kept = 0;
  for (const std::uint32_t index : result) {
    // Runs that began before the step was at fault don't keep it from being
    // tried again.
    const bool isRetry = !m_tasks[index].m_failedRuns.empty();
    if ((isRetry ? retried : placed) >= most) {
      break;
    }
    retried += isRetry ? 1 : 0;
    ++placed;
    ++kept;
  }
  result.resize(kept);
  return result;
}

TrackedJob::TrackedJob(Job aJob,
                       const QueueRule& aQueue,
                       Time aAccepted,
                       const JobProgress& aProgress,
                       std::vector<ExpectedRuntime> aRuntimes)
  : m_job(std::move(aJob))
  , m_state(aProgress.m_state)
  , m_runtimes(std::move(aRuntimes))
  , m_accepted(aAccepted)
{
  // Users count from what is usual. A step that starts as late as that allows
  // would end too late half of the time.
  m_chain = Chains(&ExpectedRuntime::m_high);
  const std::vector<Duration> usual = Chains(&ExpectedRuntime::m_typical);
  const Duration longest =
    usual.empty() ? Duration::zero() : *std::ranges::max_element(usual);
  const Duration objective =
    Scale(longest, aQueue.m_slackFactor) + aQueue.m_targetRuntime;
  m_objective = aAccepted + objective;
  m_latestUsefulEnd = aAccepted + objective * kLatestUsefulFactor;

  for (const StepSpec& spec : m_job.m_steps) {
    m_steps.emplace_back().m_tasks.resize(spec.m_tasks);
  }
  for (const auto& [position, stored] : aProgress.m_tasks) {
    const TaskRef ref{ m_job.m_id, position.first, position.second };
    if (!HasTask(ref)) {
      continue;
    }
    TaskRecord& task = Task(ref);
    task.m_failedRuns = stored.m_failedRuns;
    task.m_checkpoint = stored.m_checkpoint;
    if (stored.m_done) {
      task.m_state = TaskState::Done;
      ++m_steps[ref.m_step].m_done;
    }
  }
  for (StepRecord& step : m_steps) {
    const auto failed =
      std::ranges::count_if(step.m_tasks, [](const TaskRecord& aTask) {
        return aTask.m_state != TaskState::Done && !aTask.m_failedRuns.empty();
      });
    step.m_failures.Restore(static_cast<std::size_t>(failed), step.m_done);
  }
  m_finalStateStored = IsOver();
}

std::vector<Duration>
TrackedJob::Chains(Duration ExpectedRuntime::*aPart) const
{
  std::vector<Duration> chains(m_job.m_steps.size());
  for (std::size_t step = chains.size(); step-- > 0;) {
    Duration longestRest{};
    for (std::size_t next = step + 1; next < chains.size(); ++next) {
      if (WaitsFor(m_job.m_steps[next], static_cast<std::uint32_t>(step))) {
        longestRest = std::max(longestRest, chains[next]);
      }
    }
    chains[step] = m_runtimes[step].*aPart + longestRest;
  }
  return chains;
}

bool
TrackedJob::HasTask(const TaskRef& aTask) const
{
  return aTask.m_step < m_steps.size() &&
         aTask.m_index < m_steps[aTask.m_step].m_tasks.size();
}

bool
TrackedJob::IsReady(std::uint32_t aStep) const
{
  const auto isDone = [this](std::uint32_t aOther) {
    return m_steps[aOther].m_done == m_steps[aOther].m_tasks.size();
  };
  return !isDone(aStep) &&
         std::ranges::all_of(m_job.m_steps[aStep].m_after, isDone);
}

bool
TrackedJob::HasBegun() const
{
  return std::ranges::any_of(m_steps, [](const StepRecord& aStep) {
    return aStep.m_done + aStep.m_placed > 0;
  });
}

bool
TrackedJob::HasRunning() const
{
  return std::ranges::any_of(
    m_steps, [](const StepRecord& aStep) { return aStep.m_placed > 0; });
}

bool
TrackedJob::AllDone() const
{
  return std::ranges::all_of(m_steps, [](const StepRecord& aStep) {
    return aStep.m_done == aStep.m_tasks.size();
  });
}

bool
TrackedJob::AllStarted() const
{
  return std::ranges::all_of(
    m_steps, [](const StepRecord& aStep) { return aStep.Waiting() == 0; });
}

Time
TrackedJob::LatestStart(std::uint32_t aStep) const
{
  return m_objective - m_chain[aStep];
}

JobProgress
TrackedJob::Progress() const
{
  JobProgress progress;
  progress.m_state = m_state;
  if (IsOver()) {
    return progress;
  }
  for (std::uint32_t step = 0; step < m_steps.size(); ++step) {
    const auto& tasks = m_steps[step].m_tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
      const TaskRecord& task = tasks[index];
      const bool done = task.m_state == TaskState::Done;
      if (done || !task.m_failedRuns.empty() || !task.m_checkpoint.empty()) {
        progress.m_tasks[{ step, index }] = {
          done, task.m_failedRuns, done ? std::string() : task.m_checkpoint
        };
      }
    }
  }
  return progress;
}

} // namespace lacewing::pool
