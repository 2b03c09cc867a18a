/// A large pool under its daily load and virtual time: hundreds of workers,
/// interactive jobs among wide gangs and patient batches, and a policy service
/// that permits only some workers and answers the advice requests of each VM
/// one after another. Measures how long jobs wait, which workers are used, and
/// the processor time of the decisions.
#pragma once

#include "fakes/PoolSamples.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lacewing::fakes {

/// One kind of job of the load.
struct LoadKind
{
  pool::QueueId m_queue;
  int m_priority = 0;
  double m_perSecond = 1;
  std::uint32_t m_meanTasks = 1;
  bool m_gang = false;
  Resources m_each;
  Duration m_work{};
  pool::AdviceRule m_advice;
  double m_permitted = 1; ///< share of the workers that may run a step
};

/// Interactive jobs beyond the daily load.
struct LoadBurst
{
  double m_factor = 1; ///< of all arrivals
  Duration m_from{};
  Duration m_until{};
};

/// Time that plans take on a slow VM.
struct PlanCost
{
  Duration m_perStep{}; ///< that is considered
  Duration m_perStart{};
};

struct PoolLoadOptions
{
  int m_workers = 350;
  Resources m_resources{ 32'000, 65'536, 0 };
  int m_askingVms = 29; ///< VMs that may ask the policy service
  Duration m_length = seconds(20);
  std::vector<LoadKind> m_kinds;
  LoadBurst m_burst;
  PlanCost m_planCost; ///< none if empty: plans take no time
  /// Of the event loop, for other reasons than plans.
  Duration m_standingLag = Duration::max();
};

/// The daily load of the grown deployments, as a share of their arrivals.
inline std::vector<LoadKind>
GrownLoad(double aShare)
{
  return {
    { kUrgentQueue,
      0,
      125 * aShare,
      3,
      false,
      { 5000, 9100, 0 },
      milliseconds(640),
      { microseconds(7200), microseconds(100), seconds(2) },
      0.7 },
    { kPatientQueue,
      2,
      13.5 * aShare,
      25,
      false,
      { 3500, 5000, 0 },
      milliseconds(2700),
      { milliseconds(100), microseconds(1400), seconds(2) },
      0.45 },
    { kPolicyQueue,
      1,
      4.15 * aShare,
      20,
      true,
      { 9000, 17'000, 0 },
      milliseconds(6200),
      { milliseconds(540), microseconds(7700), seconds(2) },
      0.3 },
  };
}

class PoolLoad
{
public:
  explicit PoolLoad(PoolLoadOptions aOptions)
    : m_options(std::move(aOptions))
    , m_random(1)
    , m_askersFree(static_cast<std::size_t>(m_options.m_askingVms), kStart)
    , m_scheduler(kStart, 1, {}, kStart)
  {
    pool::PoolConfig config = PoolSample();
    config.m_queues.clear();
    for (const LoadKind& kind : m_options.m_kinds) {
      pool::QueueRule queue = PoolQueue(kind.m_queue, kind.m_priority, false);
      queue.m_advice = kind.m_advice;
      config.m_queues.push_back(queue);
    }
    std::vector<pool::WorkerInfo> infos;
    for (int number = 0; number < m_options.m_workers; ++number) {
      // The platform's ids have no order that reflects capacity or location.
      const std::size_t name = std::hash<int>()(number) * 0x9E3779B97F4A7C15U;
      infos.push_back(PoolWorker(std::to_string(name), m_options.m_resources));
      m_workers[infos.back().m_id] = {};
    }
    m_pacer.SetStandingLag(m_options.m_standingLag);
    m_scheduler.SetConfig(kStart, config);
    m_scheduler.SetWorkers(kStart, infos);
    m_scheduler.SetAskingVms(m_options.m_askingVms);
    m_scheduler.OnLoaded(kStart);
    for (const auto& item : m_workers) {
      SendPeriodically(item.first);
    }
  }

  void Run()
  {
    constexpr Duration kStep = milliseconds(8);
    for (const LoadKind& kind : m_options.m_kinds) {
      NextArrival(kind, kStart);
    }
    while (m_now < kStart + m_options.m_length) {
      m_now += kStep;
      while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const auto function = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        function();
      }
      Plan();
    }
  }

  std::size_t Arrived(const pool::QueueId& aQueue) const
  {
    return m_arrived.contains(aQueue) ? m_arrived.at(aQueue).size() : 0;
  }
  /// Time from a job's arrival to its first start below which the share of the
  /// queue's jobs lies; the length of the run for jobs that never started.
  /// Only of jobs that arrived later than `aAfter`.
  Duration WaitOf(const pool::QueueId& aQueue,
                  double aShare,
                  Duration aAfter = {}) const
  {
    std::vector<Duration> waits;
    for (const auto& [job, at] : m_arrived.at(aQueue)) {
      if (at < kStart + aAfter) {
        continue;
      }
      const auto started = m_firstStarts.find(job);
      waits.push_back(started == m_firstStarts.end() ? m_options.m_length
                                                     : started->second - at);
    }
    std::ranges::sort(waits);
    return waits[static_cast<std::size_t>(
      aShare * static_cast<double>(waits.size() - 1))];
  }
  std::size_t UsedWorkers() const { return m_usedWorkers.size(); }
  std::size_t Starts() const { return m_starts; }
  /// Time that the policy service spent, summed over all VMs that ask.
  Duration AdviceTime() const { return m_adviceTime; }
  /// Processor time of the decisions; differs from run to run.
  std::chrono::nanoseconds DecisionTime() const { return m_decisionTime; }

private:
  struct LoadWorker
  {
    std::map<pool::TaskRef, pool::RunNumber> m_running;
    std::vector<pool::ReportedEnd> m_ended;
    std::uint64_t m_lastEnd = 0;
  };

  void At(Time aTime, std::function<void()> aFunction)
  {
    m_events.emplace(aTime, std::move(aFunction));
  }

  void NextArrival(const LoadKind& aKind, Time aAfter)
  {
    const LoadBurst& burst = m_options.m_burst;
    const bool inBurst =
      aAfter >= kStart + burst.m_from && aAfter < kStart + burst.m_until;
    const double perSecond = aKind.m_perSecond * (inBurst ? burst.m_factor : 1);
    const double gap = std::exponential_distribution<>(perSecond)(m_random);
    const Time at = aAfter + std::chrono::duration_cast<Duration>(
                               std::chrono::duration<double>(gap));
    At(at, [this, &aKind, at] {
      Arrive(aKind);
      NextArrival(aKind, at);
    });
  }

  void Arrive(const LoadKind& aKind)
  {
    const std::uint32_t most = 2 * aKind.m_meanTasks - 1;
    pool::StepSpec step =
      PoolStep(std::uniform_int_distribution<std::uint32_t>(1, most)(m_random));
    step.m_each = aKind.m_each;
    step.m_gang = aKind.m_gang;
    step.m_estimate = aKind.m_work;
    const std::string name = std::to_string(
      std::hash<std::size_t>()(++m_jobCount) * 0x9E3779B97F4A7C15U);
    const pool::Job job = PoolJob(name, aKind.m_queue, { step });
    m_arrived[aKind.m_queue][job.m_id] = m_now;
    m_kindOf[job.m_id] = &aKind;
    m_scheduler.AddJob(m_now, job, {}, {}, pool::JobOrigin::Accepted);
  }

  void Plan()
  {
    if (m_now < m_pacer.NextPlan()) {
      return;
    }
    m_scheduler.SetRecordedWorkers(
      m_scheduler.ListWorkersToRecord(m_now).m_workers);
    m_scheduler.SetPlanSteps(m_pacer.Steps());
    m_scheduler.SetPlanOperations(m_pacer.Operations());
    const auto begin = std::chrono::steady_clock::now();
    const pool::Actions actions = m_scheduler.Plan(m_now);
    m_decisionTime += std::chrono::steady_clock::now() - begin;
    const PlanCost& cost = m_options.m_planCost;
    const Time end =
      m_now + cost.m_perStep * static_cast<int>(actions.m_considered) +
      cost.m_perStart * static_cast<int>(actions.m_starts.size());
    m_pacer.OnPlan(m_now, end, actions.m_considered, actions.m_starts.size());
    for (const auto& start : actions.m_starts) {
      At(end + milliseconds(2), [this, start] { Started(start); });
    }
    for (const auto& request : actions.m_adviceRequests) {
      Ask(request);
    }
    for (const auto& write : m_scheduler.TakeUnsaved(60)) {
      At(m_now + milliseconds(10),
         [this, write] { m_scheduler.OnSaved(m_now, write); });
    }
  }

  void Started(const pool::StartTask& aStart)
  {
    ++m_starts;
    m_firstStarts.try_emplace(aStart.m_task.m_job, m_now);
    m_usedWorkers.insert(aStart.m_worker);
    m_workers[aStart.m_worker].m_running[aStart.m_task] = aStart.m_run;
    m_scheduler.OnStartOutcome(m_now, aStart, pool::StartOutcome::Started);
    At(m_now + m_kindOf.at(aStart.m_task.m_job)->m_work,
       [this, aStart] { End(aStart); });
  }

  void End(const pool::StartTask& aStart)
  {
    LoadWorker& worker = m_workers[aStart.m_worker];
    worker.m_running.erase(aStart.m_task);
    worker.m_ended.push_back(
      EndOf(aStart, ++worker.m_lastEnd, pool::RunEnd::Done));
    SendInventory(aStart.m_worker);
  }

  /// Sends the worker's inventory at once and then every second.
  void SendPeriodically(const pool::WorkerId& aWorker)
  {
    SendInventory(aWorker);
    At(m_now + seconds(1), [this, aWorker] { SendPeriodically(aWorker); });
  }

  void SendInventory(const pool::WorkerId& aWorker)
  {
    LoadWorker& worker = m_workers[aWorker];
    pool::Inventory inventory;
    inventory.m_incarnation = 1;
    inventory.m_clockMs = ToMilliseconds(m_now - kStart) + 1;
    inventory.m_ended = worker.m_ended;
    for (const auto& [task, run] : worker.m_running) {
      // Each inventory shows progress, so that no task counts as stuck.
      inventory.m_running.push_back(
        { task, run, {}, static_cast<int>(inventory.m_clockMs) });
    }
    m_scheduler.OnInventory(m_now, aWorker, inventory);
    m_scheduler.NextDeadline(m_now, aWorker);
    std::erase_if(worker.m_ended, [&](const pool::ReportedEnd& aEnd) {
      return aEnd.m_number <= m_scheduler.Workers().at(aWorker).SavedEnds();
    });
  }

  void Ask(const pool::AdviceRequest& aRequest)
  {
    const LoadKind& kind = *m_kindOf.at(aRequest.m_job);
    const auto asker = std::ranges::min_element(m_askersFree);
    const Duration cost =
      kind.m_advice.m_decide +
      kind.m_advice.m_each * static_cast<int>(aRequest.m_workers.size());
    m_adviceTime += cost;
    *asker = std::max(*asker, m_now) + cost;
    At(*asker, [this, aRequest, &kind] {
      std::vector<pool::Permission> good;
      for (const auto& worker : aRequest.m_workers) {
        // Whether a worker may run a step does not change.
        const std::size_t mix = std::hash<std::string>()(
          aRequest.m_job.Value() + "/" + worker.Value());
        constexpr std::size_t kParts = 1000;
        if (static_cast<double>(mix % kParts) < kind.m_permitted * kParts) {
          good.push_back({ worker, "ticket" });
        }
      }
      m_scheduler.OnAdvice(m_now, aRequest, good);
    });
  }

  PoolLoadOptions m_options;
  std::mt19937_64 m_random;
  Time m_now = kStart;
  std::multimap<Time, std::function<void()>> m_events;
  std::vector<Time> m_askersFree;
  pool::PoolScheduler m_scheduler;
  std::map<pool::WorkerId, LoadWorker> m_workers;
  std::map<pool::QueueId, std::map<JobId, Time>> m_arrived;
  std::map<JobId, const LoadKind*> m_kindOf;
  std::map<JobId, Time> m_firstStarts;
  std::set<pool::WorkerId> m_usedWorkers;
  pool::PlanPacer m_pacer;
  std::size_t m_starts = 0;
  std::uint64_t m_jobCount = 0;
  Duration m_adviceTime{};
  std::chrono::nanoseconds m_decisionTime{};
};

} // namespace lacewing::fakes
