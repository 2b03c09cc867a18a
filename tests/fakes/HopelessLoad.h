/// A small pool under virtual time that runs jobs which can never be done, and
/// then ordinary ones. Run times, the delays of inventories and of the store, a
/// worker's restart and the change of the leader are drawn from a seed.
/// Measures for how long an ordinary job has nothing running beside idle
/// workers, and how many runs the hopeless jobs take.
#pragma once

#include "fakes/PoolSamples.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lacewing::fakes {

struct HopelessLoadOptions
{
  std::uint64_t m_seed = 1;
  int m_workers = 6;
  int m_hopelessJobs = 2;
  std::uint32_t m_width = 48;     ///< tasks of each hopeless job
  std::uint32_t m_soundTasks = 0; ///< of each, that are done
  std::uint32_t m_attempts = 3;
  /// When the ordinary jobs come, at the earliest after the hopeless ones.
  Duration m_ordinaryAfter = milliseconds(500);
  /// Runs of all hopeless jobs end at the same few times.
  bool m_endsTogether = false;
  bool m_changesLeader = false;
  bool m_restartsWorker = false;
};

class HopelessLoad
{
public:
  explicit HopelessLoad(const HopelessLoadOptions& aOptions)
    : m_options(aOptions)
    , m_random(aOptions.m_seed)
  {
    m_config = PoolSample();
    for (pool::QueueRule& queue : m_config.m_queues) {
      queue.m_attempts = aOptions.m_attempts;
      queue.m_slackFactor = 4;
    }
    for (int number = 0; number < aOptions.m_workers; ++number) {
      const std::string name = "w" + std::to_string(number);
      m_infos.push_back(PoolWorker(name, { 32'000, 65'536, 0 }));
      m_workers[m_infos.back().m_id] = {};
    }
    m_scheduler = NewLeader({});
  }

  void Run()
  {
    constexpr Duration kStep = milliseconds(10);
    constexpr Duration kLength = seconds(30);
    const Time hopelessAt = kStart + seconds(1);
    const Time ordinaryAt =
      hopelessAt + m_options.m_ordinaryAfter + Between(0, 6500);
    const Time restartAt = hopelessAt + Between(500, 7000);
    const Time changeAt = hopelessAt + Between(500, 7000);
    while (m_now < kStart + kLength) {
      m_now += kStep;
      if (Passes(hopelessAt, kStep)) {
        AddHopeless();
      }
      if (Passes(ordinaryAt, kStep)) {
        AddOrdinary();
      }
      if (m_options.m_restartsWorker && Passes(restartAt, kStep)) {
        Restart(m_infos[0]);
      }
      if (m_options.m_changesLeader && Passes(changeAt, kStep)) {
        ChangeLeader();
      }
      for (const pool::WorkerInfo& info : m_infos) {
        Advance(info);
      }
      Plan();
      Store();
      NoteStandstill();
    }
  }

  /// Longest time for which an ordinary job had nothing running while less than
  /// half of the capacity was in use.
  Duration LongestStandstill() const { return m_longestStandstill; }
  /// The same whatever was in use.
  Duration LongestWait() const { return m_longestWait; }
  /// Runs of the hopeless jobs that have failed.
  int FailedRuns() const { return m_failedRuns; }
  /// True if all jobs have reached the state that is due.
  bool AllDecided() const
  {
    return std::ranges::all_of(m_jobs, [this](const auto& aItem) {
      const pool::TrackedJob* job = m_scheduler->FindJob(aItem.first);
      const bool hopeless = aItem.first.Value().starts_with("hopeless");
      return job != nullptr &&
             job->State() ==
               (hopeless ? pool::JobState::Failed : pool::JobState::Completed);
    });
  }

private:
  struct SimulatedRun
  {
    pool::StartTask m_start;
    Time m_begins{};
    Time m_ends{};
    pool::RunEnd m_how = pool::RunEnd::Done;
  };
  struct SimulatedWorker
  {
    std::vector<SimulatedRun> m_runs;
    std::vector<pool::ReportedEnd> m_ended;
    std::uint64_t m_lastEnd = 0;
    Time m_nextInventory{};
  };
  struct StoredProgress
  {
    Time m_at{}; ///< when the store has written it
    pool::PoolScheduler::ProgressWrite m_write;
  };

  Duration Between(int aFromMs, int aToMs)
  {
    return milliseconds(
      std::uniform_int_distribution<int>(aFromMs, aToMs)(m_random));
  }
  bool Passes(Time aTime, Duration aStep) const
  {
    return m_now >= aTime && m_now < aTime + aStep;
  }

  std::unique_ptr<pool::PoolScheduler> NewLeader(
    std::set<pool::WorkerId> aPrevious)
  {
    auto scheduler = std::make_unique<pool::PoolScheduler>(
      m_now, ++m_term, std::move(aPrevious), m_now + seconds(7));
    scheduler->SetConfig(m_now, m_config);
    scheduler->SetWorkers(m_now, m_infos);
    return scheduler;
  }

  /// The successor knows what the store has.
  void ChangeLeader()
  {
    std::set<pool::WorkerId> previous;
    for (const pool::WorkerInfo& info : m_infos) {
      previous.insert(info.m_id);
      m_workers[info.m_id].m_nextInventory = m_now;
    }
    m_scheduler = NewLeader(previous);
    m_writes.clear();
    for (const auto& [id, job] : m_jobs) {
      m_scheduler->AddJob(
        m_now, job, {}, m_stored[id], pool::JobOrigin::Loaded);
    }
    m_scheduler->OnLoaded(m_now);
  }

  void Restart(pool::WorkerInfo& aInfo)
  {
    ++aInfo.m_incarnation;
    SimulatedWorker& worker = m_workers[aInfo.m_id];
    worker = {};
    m_scheduler->SetWorkers(m_now, m_infos);
  }

  void AddJob(const std::string& aId,
              const pool::QueueId& aQueue,
              std::uint32_t aTasks,
              std::int64_t aMillicores,
              Duration aEstimate)
  {
    pool::StepSpec step = PoolStep(aTasks, aMillicores);
    step.m_estimate = aEstimate;
    const pool::Job job = PoolJob(aId, aQueue, { step });
    m_jobs.emplace(job.m_id, job);
    m_scheduler->AddJob(m_now, job, {}, {}, pool::JobOrigin::Accepted);
  }

  void AddHopeless()
  {
    for (int number = 0; number < m_options.m_hopelessJobs; ++number) {
      AddJob("hopeless" + std::to_string(number),
             kPatientQueue,
             m_options.m_width,
             2000,
             milliseconds(3400));
    }
  }

  void AddOrdinary()
  {
    for (int number = 0; number < 5; ++number) {
      AddJob("quick" + std::to_string(number),
             kUrgentQueue,
             2,
             2800,
             milliseconds(800));
      AddJob(
        "usual" + std::to_string(number), kPatientQueue, 2, 2000, seconds(2));
    }
  }

  Duration FailsAfter(const pool::TaskRef& aTask)
  {
    constexpr std::uint32_t kTimes = 16;
    return m_options.m_endsTogether
             ? milliseconds(2400) + milliseconds(370) * (aTask.m_index % kTimes)
             : Between(2400, 8000);
  }

  SimulatedRun Begin(const pool::StartTask& aStart)
  {
    const pool::TaskRef& task = aStart.m_task;
    SimulatedRun run{ aStart, m_now };
    if (!task.m_job.Value().starts_with("hopeless")) {
      const bool quick = task.m_job.Value().starts_with("quick");
      run.m_ends = m_now + (quick ? milliseconds(800) : seconds(2));
      return run;
    }
    const bool sound = task.m_index < m_options.m_soundTasks;
    run.m_how = sound ? pool::RunEnd::Done : pool::RunEnd::Failed;
    run.m_ends = m_now + (sound ? milliseconds(2400) : FailsAfter(task));
    return run;
  }

  /// Ends what is over and sends an inventory if it is time.
  void Advance(const pool::WorkerInfo& aInfo)
  {
    SimulatedWorker& worker = m_workers[aInfo.m_id];
    std::erase_if(worker.m_runs, [&](const SimulatedRun& aRun) {
      if (aRun.m_ends > m_now) {
        return false;
      }
      worker.m_ended.push_back(
        EndOf(aRun.m_start, ++worker.m_lastEnd, aRun.m_how));
      m_failedRuns += aRun.m_how == pool::RunEnd::Failed ? 1 : 0;
      return true;
    });
    if (m_now < worker.m_nextInventory) {
      return;
    }
    worker.m_nextInventory = m_now + Between(10, 600);
    pool::Inventory inventory;
    inventory.m_incarnation = aInfo.m_incarnation;
    inventory.m_clockMs = ToMilliseconds(m_now - kStart) + 1;
    inventory.m_requestedAt = m_now;
    inventory.m_ended = worker.m_ended;
    for (const SimulatedRun& run : worker.m_runs) {
      const auto percent =
        100 * (m_now - run.m_begins) / (run.m_ends - run.m_begins);
      inventory.m_running.push_back(
        RunOf(run.m_start, static_cast<int>(percent)));
    }
    m_scheduler->OnInventory(m_now, aInfo.m_id, inventory);
    m_scheduler->NextDeadline(m_now, aInfo.m_id);
    std::erase_if(worker.m_ended, [&](const pool::ReportedEnd& aEnd) {
      return aEnd.m_number <= m_scheduler->Workers().at(aInfo.m_id).SavedEnds();
    });
  }

  void Plan()
  {
    m_scheduler->SetRecordedWorkers(
      m_scheduler->ListWorkersToRecord(m_now).m_workers);
    const pool::Actions actions = m_scheduler->Plan(m_now);
    for (const pool::StartTask& start : actions.m_starts) {
      m_workers[start.m_worker].m_runs.push_back(Begin(start));
      m_scheduler->OnStartOutcome(m_now, start, pool::StartOutcome::Started);
    }
    for (const pool::StopTask& stop : actions.m_stops) {
      for (SimulatedRun& run : m_workers[stop.m_worker].m_runs) {
        if (run.m_start.m_task == stop.m_task &&
            run.m_start.m_run == stop.m_run) {
          run.m_ends = m_now + milliseconds(20);
          run.m_how = pool::RunEnd::Stopped;
        }
      }
      m_scheduler->OnStopConfirmed(m_now, m_now, stop);
    }
  }

  /// Writes progress with a delay.
  void Store()
  {
    for (const auto& write : m_scheduler->TakeUnsaved(60)) {
      m_writes.push_back({ m_now + Between(5, 300), write });
    }
    std::erase_if(m_writes, [&](const StoredProgress& aStored) {
      if (aStored.m_at > m_now) {
        return false;
      }
      m_stored[aStored.m_write.m_job] = aStored.m_write.m_progress;
      m_scheduler->OnSaved(m_now, aStored.m_write);
      return true;
    });
  }

  void NoteStandstill()
  {
    std::int64_t used = 0;
    std::map<JobId, int> running;
    for (const auto& [id, worker] : m_workers) {
      for (const SimulatedRun& run : worker.m_runs) {
        const pool::TaskRef& task = run.m_start.m_task;
        used += m_jobs.at(task.m_job).m_steps[task.m_step].m_each.m_millicores;
        ++running[task.m_job];
      }
    }
    const bool halfIdle = used * 2 < 32'000 * m_options.m_workers;
    for (const auto& [id, job] : m_jobs) {
      const bool waits = !id.Value().starts_with("hopeless") &&
                         !m_scheduler->FindJob(id)->IsOver() &&
                         running[id] == 0;
      Grow(m_idleSince, id, waits && halfIdle, m_longestStandstill);
      Grow(m_waitSince, id, waits, m_longestWait);
    }
  }

  void Grow(std::map<JobId, Time>& aSince,
            const JobId& aJob,
            bool aHolds,
            Duration& aLongest) const
  {
    if (!aHolds) {
      aSince.erase(aJob);
      return;
    }
    const Time since = aSince.try_emplace(aJob, m_now).first->second;
    aLongest = std::max(aLongest, m_now - since);
  }

  HopelessLoadOptions m_options;
  std::mt19937_64 m_random;
  pool::PoolConfig m_config;
  Time m_now = kStart;
  std::uint64_t m_term = 0;
  std::vector<pool::WorkerInfo> m_infos;
  std::map<pool::WorkerId, SimulatedWorker> m_workers;
  std::unique_ptr<pool::PoolScheduler> m_scheduler;
  std::map<JobId, pool::Job> m_jobs;
  std::map<JobId, pool::JobProgress> m_stored;
  std::vector<StoredProgress> m_writes;
  std::map<JobId, Time> m_idleSince;
  std::map<JobId, Time> m_waitSince;
  Duration m_longestStandstill{};
  Duration m_longestWait{};
  int m_failedRuns = 0;
};

} // namespace lacewing::fakes
