/// Small pools for tests of the scheduler: one service, a few workers, and
/// helpers for jobs and workers' inventories.
#pragma once

#include "pool/PoolScheduler.h"

#include <string>
#include <vector>

namespace lacewing::fakes {

inline const ServiceId kPoolService{ "ledger" };
inline const pool::QueueId kUrgentQueue{ "urgent" };
inline const pool::QueueId kPatientQueue{ "patient" };
inline const pool::QueueId kPolicyQueue{ "policy" };
inline const TeamId kTeam{ "assessors" };
inline constexpr Resources kWorkerCapacity{ 8000, 16'000, 0 };

/// Time zero of the tests; not the clock's zero, so that times before it exist.
inline constexpr Time kStart{ seconds(1000) };

inline pool::QueueRule
PoolQueue(const pool::QueueId& aId, int aPriority, bool aPolicy)
{
  pool::QueueRule queue;
  queue.m_id = aId;
  queue.m_host = "host";
  queue.m_prefix = "/" + aId.Value() + "/";
  queue.m_service = kPoolService;
  queue.m_priority = aPriority;
  queue.m_attempts = 3;
  queue.m_slackFactor = 2;
  queue.m_targetRuntime = seconds(1);
  if (aPolicy) {
    queue.m_advice = { milliseconds(100), milliseconds(1), seconds(2) };
  }
  return queue;
}

inline pool::PoolConfig
PoolSample(Resources aTeamLimit = {}, double aWeight = 1000)
{
  pool::PoolConfig config;
  config.m_version = 1;
  config.m_queues = { PoolQueue(kUrgentQueue, 0, false),
                      PoolQueue(kPatientQueue, 2, false),
                      PoolQueue(kPolicyQueue, 1, true) };
  config.m_services = { { kPoolService, false } };
  config.m_teams = { { kTeam, { "key" }, aWeight, aTeamLimit } };
  return config;
}

inline pool::WorkerInfo
PoolWorker(const std::string& aName, Resources aCapacity = kWorkerCapacity)
{
  pool::WorkerInfo info;
  info.m_id = pool::WorkerId(aName);
  info.m_incarnation = 1;
  info.m_address = "127.0.0.1:9";
  info.m_service = kPoolService;
  info.m_rack = "r1";
  info.m_labels = { "a", "r1" };
  info.m_capacity = aCapacity;
  return info;
}

inline pool::StepSpec
PoolStep(std::uint32_t aTasks, std::int64_t aMillicores = 1000)
{
  pool::StepSpec step;
  step.m_tasks = aTasks;
  step.m_each = { aMillicores, 100, 0 };
  step.m_estimate = seconds(1);
  return step;
}

inline pool::Job
PoolJob(const std::string& aId,
        const pool::QueueId& aQueue,
        std::vector<pool::StepSpec> aSteps)
{
  pool::Job job;
  job.m_id = JobId(aId);
  job.m_queue = aQueue;
  job.m_team = kTeam;
  job.m_payload = "payload of " + aId;
  job.m_steps = std::move(aSteps);
  return job;
}

/// A leader's scheduler with workers, and helpers to report their inventories.
class PoolFixture
{
public:
  explicit PoolFixture(std::vector<pool::WorkerInfo> aWorkers,
                       const pool::PoolConfig& aConfig = PoolSample(),
                       std::uint64_t aTerm = 1,
                       std::set<pool::WorkerId> aPrevious = {})
    : m_scheduler(kStart, aTerm, std::move(aPrevious), kStart + seconds(10))
    , m_workers(std::move(aWorkers))
  {
    m_scheduler.SetConfig(kStart, aConfig);
    m_scheduler.SetWorkers(kStart, m_workers);
    m_scheduler.OnLoaded(kStart);
  }

  /// Reports an empty inventory for every worker.
  void ReportAllIdle()
  {
    for (const pool::WorkerInfo& worker : m_workers) {
      ReportInventory(worker.m_id, {}, {});
    }
  }

  void ReportInventory(const pool::WorkerId& aWorker,
                       std::vector<pool::ReportedRun> aRunning,
                       std::vector<pool::ReportedEnd> aEnded)
  {
    pool::Inventory inventory;
    inventory.m_incarnation = 1;
    inventory.m_clockMs = ToMilliseconds(m_now - kStart) + 1;
    inventory.m_running = std::move(aRunning);
    inventory.m_ended = std::move(aEnded);
    m_scheduler.OnInventory(m_now, aWorker, inventory);
  }

  void Add(const pool::Job& aJob)
  {
    m_scheduler.AddJob(m_now, aJob, {}, {}, pool::JobOrigin::Accepted);
  }

  pool::Actions Plan()
  {
    Record();
    return m_scheduler.Plan(m_now);
  }

  /// Stores the leader's row, without any delay.
  void Record()
  {
    m_scheduler.SetRecordedWorkers(
      m_scheduler.ListWorkersToRecord(m_now).m_workers);
  }

  void Confirm(const std::vector<pool::StartTask>& aStarts)
  {
    for (const pool::StartTask& start : aStarts) {
      m_scheduler.OnStartOutcome(m_now, start, pool::StartOutcome::Started);
    }
  }

  /// Stores all pending progress.
  void SaveAll()
  {
    for (const auto& write : m_scheduler.TakeUnsaved(1000)) {
      m_scheduler.OnSaved(m_now, write);
    }
  }

  pool::PoolScheduler m_scheduler;
  std::vector<pool::WorkerInfo> m_workers;
  Time m_now = kStart;
};

inline pool::ReportedEnd
EndOf(const pool::StartTask& aStart, std::uint64_t aNumber, pool::RunEnd aHow)
{
  return { aNumber, aStart.m_task, aStart.m_run, aHow, {} };
}

inline pool::ReportedRun
RunOf(const pool::StartTask& aStart, int aPercent = 1)
{
  return { aStart.m_task, aStart.m_run, {}, aPercent };
}

} // namespace lacewing::fakes
