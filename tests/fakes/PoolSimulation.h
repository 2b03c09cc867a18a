/// Simulates a pool under virtual time: workers with leases and fencing tokens,
/// a store that fences leaders, arriving jobs, and faults from a seed: lost
/// replies, commands executed late, unresponsive workers, leader changes during
/// which the previous leader still sends commands, delayed reads of the stored
/// jobs, workers that restart under their ids, and a relay that makes the calls
/// of some workers. Checks every start that a worker executes.
#pragma once

#include "fakes/PoolSamples.h"
#include "fakes/RelaySimulation.h"
#include "pool/JobRows.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lacewing::fakes {

struct PoolSimulationOptions
{
  std::uint64_t m_seed = 1;
  int m_workers = 5;
  bool m_leaderChanges = true;
  bool m_unresponsiveWorkers = true;
  bool m_lateCommands = true;
  /// A new leader reads the rows of the jobs and those of their progress at
  /// different times and is loaded once both are read. Jobs that it learns of
  /// otherwise have no progress if their row is younger than its claim; the
  /// others are looked up. If false, it knows all rows at once.
  bool m_delayedReads = false;
  /// How long after its last command leases of a previous leader are valid.
  Duration m_previousLeaseTime =
    pool::LongestHold(pool::kDefaultLongestLease) + pool::kUsualDelivery;
  /// False only to show that the checks detect the fault: the successor does
  /// not wait for the workers of the previous leader.
  bool m_waitForPreviousWorkers = true;
  /// Likewise, if false: the successor does not wait for the runs on workers
  /// that its predecessor had lost contact with.
  bool m_waitForCordonedRuns = true;
  /// Likewise, if false: workers execute commands of deposed leaders.
  bool m_workersCheckTerms = true;
  /// Likewise, if false: a start without a reply counts as not sent.
  bool m_unansweredMayRun = true;
  /// Likewise, if false: the load adds the jobs with empty progress as soon as
  /// their rows are read. Only with delayed reads.
  bool m_loadWaitsForProgress = true;
  /// Likewise, if false: jobs that are looked up are added with empty progress.
  /// Only with delayed reads.
  bool m_lookUpsReadProgress = true;
  /// The load misses a third of the job rows, so that a leader meets unknown
  /// jobs that have progress. Complete loads leave none of these to look up.
  /// The watch, which lists all jobs here, finds the missed ones. Only with
  /// delayed reads.
  bool m_loadsMissJobs = false;
  /// Every second worker is called by a relay while the leader hears it. A
  /// leader has one lease extension under way for each worker.
  bool m_relay = false;
  /// Workers restart under their ids, at the earliest `kReuseAfter` after their
  /// end. Only with the relay.
  bool m_workersRestart = false;
  /// Workers restart while their answers and their entries are cut off, but not
  /// the commands to them. Part of the runs outlast all leases.
  bool m_restartsBehindCuts = false;
  /// False only to show that the checks detect the fault: the relay passes on
  /// orders of any age, also after a change of the leader.
  bool m_relayChecksOrders = true;
};

class PoolSimulation
{
public:
  /// Begin of the violations by starts beyond the limit of a team.
  static constexpr const char* kTeamAboveLimit = "team above its limit";

  explicit PoolSimulation(PoolSimulationOptions aOptions)
    : m_options(aOptions)
    , m_random(aOptions.m_seed)
    , m_relay(
        m_now,
        m_random,
        [this](Time aTime, std::function<void()> aFunction) {
          At(aTime, std::move(aFunction));
        },
        aOptions.m_relayChecksOrders)
  {
    for (int number = 0; number < aOptions.m_workers; ++number) {
      const std::string name = "w" + std::to_string(number);
      m_infos.push_back(PoolWorker(name));
      m_workers[pool::WorkerId(name)] = {};
    }
    BecomeLeader();
  }

  /// Runs 20 s with faults and arrivals, then 50 s without, in which the
  /// remaining jobs can complete.
  void Run()
  {
    constexpr Duration kStep = milliseconds(10);
    while (m_now < kStart + seconds(70)) {
      m_now += kStep;
      Deliver();
      for (auto& [id, worker] : m_workers) {
        AdvanceWorker(worker);
      }
      if (IsFaulty()) {
        Arrive();
        InjectFaults();
      }
      if (m_options.m_relay) {
        m_relay.Step(IsFaulty());
      }
      for (const auto& leader : m_leaders) {
        RunLeader(*leader);
      }
      std::erase_if(m_leaders, [&](const auto& aLeader) {
        return aLeader->m_stopsAt <= m_now;
      });
    }
  }

  /// All starts that workers executed, in order.
  const std::vector<std::string>& Starts() const { return m_starts; }
  const std::vector<std::string>& Violations() const { return m_violations; }
  /// Jobs with stored progress that leaders looked up.
  std::size_t LookUpsWithProgress() const { return m_lookUpsWithProgress; }
  std::size_t Jobs() const { return m_jobs.size(); }
  /// Orders that the relay has dropped.
  std::size_t DroppedOrders() const { return m_relay.Dropped(); }
  std::size_t Restarts() const { return m_restarts; }
  std::size_t Completed() const
  {
    std::size_t count = 0;
    for (const auto& [id, progress] : m_progress) {
      count += progress.m_state == pool::JobState::Completed ? 1 : 0;
    }
    return count;
  }

private:
  using TaskRef = pool::TaskRef;
  using RowVersion = std::uint64_t;
  using JobRows = std::map<JobId, pool::Job>;
  using ProgressRows = std::map<JobId, pool::JobProgress>;

  struct RunState
  {
    pool::RunNumber m_run = 0;
    Time m_endsAt{};
    Resources m_resources;
  };
  struct SimWorker
  {
    std::uint64_t m_fence = 0;
    std::int64_t m_incarnation = 1;
    Time m_bornAt = kStart; ///< zero of its clock
    std::map<TaskRef, RunState> m_running;
    std::map<TaskRef, pool::RunNumber> m_past;
    std::vector<pool::ReportedEnd> m_ended;
    std::uint64_t m_lastEnd = 0;
    Time m_leaseEnd{};
    Time m_lastLapse{};
    std::map<std::uint64_t, Time> m_endTimes;
    Time m_unresponsiveUntil{};
    Time m_answersCutUntil{}; ///< commands reach it, and no answer comes back
  };
  struct SimLeader
  {
    std::uint64_t m_term = 0;
    RowVersion m_claimVersion = 0;
    bool m_loaded = false;
    std::optional<JobRows> m_jobRows;           ///< read by the load
    std::optional<ProgressRows> m_progressRows; ///< likewise
    std::set<JobId> m_lookUps;                  ///< in flight
    std::unique_ptr<pool::PoolScheduler> m_scheduler;
    Time m_stopsAt = Time::max(); ///< of a deposed leader
    bool m_recording = false;     ///< its row is being written
    Time m_nextSave{};
    Time m_nextWatch{};
    std::map<pool::WorkerId, Time> m_nextExtension;
  };
  bool IsFaulty() const { return m_now < kStart + seconds(20); }
  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<>(0, 1)(m_random) < aProbability;
  }
  std::uint32_t Pick(std::uint32_t aMin, std::uint32_t aMax)
  {
    return std::uniform_int_distribution<std::uint32_t>(aMin, aMax)(m_random);
  }
  Duration Between(int aMin, int aMax)
  {
    return milliseconds(std::uniform_int_distribution<>(aMin, aMax)(m_random));
  }
  void At(Time aTime, std::function<void()> aFunction)
  {
    m_events.emplace(aTime, std::move(aFunction));
  }
  void Deliver()
  {
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
      const auto function = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      function();
    }
  }
  std::int64_t Clock() const { return ToMilliseconds(m_now - kStart) + 1; }
  void Violate(const std::string& aWhat, const TaskRef& aTask)
  {
    m_violations.push_back(aWhat + ": " + aTask.m_job.Value() + "." +
                           std::to_string(aTask.m_step) + "." +
                           std::to_string(aTask.m_index) + " at " +
                           std::to_string(Clock()) + " ms");
  }

  void BecomeLeader()
  {
    ++m_term;
    auto leader = std::make_shared<SimLeader>();
    leader->m_term = m_term;
    leader->m_claimVersion = ++m_version;
    std::set<pool::WorkerId> previous;
    if (m_term > 1 && m_options.m_waitForPreviousWorkers) {
      previous = { m_rowWorkers.m_workers.begin(),
                   m_rowWorkers.m_workers.end() };
    }
    leader->m_scheduler = std::make_unique<pool::PoolScheduler>(
      m_now,
      m_term,
      previous,
      m_now + kLongestDeposed + m_options.m_previousLeaseTime);
    if (m_options.m_waitForCordonedRuns) {
      leader->m_scheduler->SetPreviousRuns(m_rowWorkers.m_cordoned);
    }
    leader->m_scheduler->SetConfig(m_now, PoolSample(kTeamLimit));
    leader->m_scheduler->SetWorkers(m_now, m_infos);
    m_leaders.push_back(leader);
    if (m_options.m_delayedReads) {
      Load(leader);
      return;
    }
    for (const auto& [id, job] : m_jobs) {
      leader->m_scheduler->AddJob(
        m_now, job, {}, m_progress[id], pool::JobOrigin::Loaded);
    }
    leader->m_scheduler->OnLoaded(m_now);
    leader->m_loaded = true;
  }

  /// Reads the rows of the jobs and of their progress, each at its own time.
  void Load(const std::shared_ptr<SimLeader>& aLeader)
  {
    At(m_now + Between(0, kLongestReadMs), [this, aLeader] {
      aLeader->m_jobRows = ReadJobRows();
      if (!m_options.m_loadWaitsForProgress) {
        aLeader->m_progressRows = ProgressRows();
      }
      FinishLoad(*aLeader);
    });
    At(m_now + Between(0, kLongestReadMs), [this, aLeader] {
      if (m_options.m_loadWaitsForProgress) {
        aLeader->m_progressRows = m_progress;
      }
      FinishLoad(*aLeader);
    });
  }

  JobRows ReadJobRows()
  {
    JobRows rows = m_jobs;
    if (m_options.m_loadsMissJobs) {
      std::erase_if(rows, [this](const auto&) { return Chance(1.0 / 3); });
    }
    return rows;
  }

  void FinishLoad(SimLeader& aLeader)
  {
    if (aLeader.m_loaded || !aLeader.m_jobRows || !aLeader.m_progressRows) {
      return;
    }
    for (const auto& [id, job] : *aLeader.m_jobRows) {
      const auto it = aLeader.m_progressRows->find(id);
      aLeader.m_scheduler->AddJob(
        m_now,
        job,
        {},
        it == aLeader.m_progressRows->end() ? pool::JobProgress() : it->second,
        OriginOf(id, aLeader));
    }
    aLeader.m_scheduler->OnLoaded(m_now);
    aLeader.m_loaded = true;
  }

  /// A job that was accepted after the leader's claim has no progress.
  pool::JobOrigin OriginOf(const JobId& aJob, const SimLeader& aLeader) const
  {
    return m_jobVersions.at(aJob) > aLeader.m_claimVersion
             ? pool::JobOrigin::Accepted
             : pool::JobOrigin::Loaded;
  }

  /// Adds a job of a message or of the watch by the same rules as the leader of
  /// the edge: a job whose row may be older than the claim is looked up.
  void TakeJob(const std::shared_ptr<SimLeader>& aLeader,
               const pool::Job& aJob,
               RowVersion aVersion)
  {
    if (!aLeader->m_loaded ||
        aLeader->m_scheduler->FindJob(aJob.m_id) != nullptr) {
      return;
    }
    if (aVersion > aLeader->m_claimVersion &&
        !aLeader->m_lookUps.contains(aJob.m_id)) {
      aLeader->m_scheduler->AddJob(
        m_now, aJob, {}, {}, pool::JobOrigin::Accepted);
    } else {
      LookUp(aLeader, aJob.m_id, false);
    }
  }

  /// `aRuns` if the job runs on a worker, or ran there.
  void LookUp(const std::shared_ptr<SimLeader>& aLeader,
              const JobId& aJob,
              bool aRuns)
  {
    if (!aLeader->m_lookUps.insert(aJob).second) {
      return;
    }
    At(m_now + Between(5, 200), [this, aLeader, aJob, aRuns] {
      aLeader->m_lookUps.erase(aJob);
      OnLookedUp(*aLeader, aJob, aRuns);
    });
  }

  void OnLookedUp(SimLeader& aLeader, const JobId& aJob, bool aRuns)
  {
    const auto job = m_jobs.find(aJob);
    if (job == m_jobs.end()) {
      aLeader.m_scheduler->OnJobNotFound(m_now, aJob);
      return;
    }
    pool::JobProgress progress;
    if (const auto it = m_progress.find(aJob); it != m_progress.end()) {
      ++m_lookUpsWithProgress;
      if (m_options.m_lookUpsReadProgress) {
        progress = it->second;
      }
    }
    aLeader.m_scheduler->AddJob(m_now,
                                job->second,
                                {},
                                progress,
                                aRuns ? pool::JobOrigin::Loaded
                                      : OriginOf(aJob, aLeader));
  }

  /// Sends the job to one of the leaders of the time of arrival. Fronts know
  /// the version of the row unless the submission is a repeated one.
  void SendJob(Time aSentAt, const pool::Job& aJob, RowVersion aVersion)
  {
    At(aSentAt + Between(1, kLongestMessageMs),
       [this, aJob, aVersion] { TakeJob(AnyLeader(), aJob, aVersion); });
  }

  std::shared_ptr<SimLeader> AnyLeader()
  {
    return m_leaders[Pick(0, static_cast<std::uint32_t>(m_leaders.size()) - 1)];
  }

  void Arrive()
  {
    if (!Chance(0.06)) {
      return;
    }
    const std::string name = "job" + std::to_string(m_jobs.size());
    std::vector<pool::StepSpec> steps;
    steps.push_back(PoolStep(Pick(1, 4), Pick(500, 2999)));
    steps.back().m_gang = Chance(0.3);
    if (Chance(0.4)) {
      steps.push_back(PoolStep(Pick(1, 3), 1000));
      steps.back().m_after = { 0 };
    }
    const pool::Job job = PoolJob(
      name, Chance(0.5) ? kUrgentQueue : kPatientQueue, std::move(steps));
    m_jobs[job.m_id] = job;
    m_jobVersions[job.m_id] = ++m_version;
    if (m_options.m_delayedReads) {
      AnnounceLate(job);
    } else if (Chance(0.8)) {
      const auto leader = AnyLeader();
      At(m_now + Between(1, 30), [this, leader, job] {
        leader->m_scheduler->AddJob(
          m_now, job, {}, {}, pool::JobOrigin::Accepted);
      });
    }
  }

  /// Sends most new jobs to a leader, and some of them again later.
  void AnnounceLate(const pool::Job& aJob)
  {
    constexpr RowVersion kUnknownVersion = 0;
    if (Chance(0.8)) {
      SendJob(m_now, aJob, m_jobVersions.at(aJob.m_id));
    }
    if (Chance(0.5)) {
      SendJob(m_now + Between(500, 5000), aJob, kUnknownVersion);
    }
  }

  void InjectFaults()
  {
    if (m_options.m_leaderChanges && Chance(0.003)) {
      m_leaders.back()->m_stopsAt =
        m_now + Between(0, static_cast<int>(ToMilliseconds(kLongestDeposed)));
      BecomeLeader();
    }
    if (m_options.m_unresponsiveWorkers && Chance(0.004)) {
      auto it = m_workers.begin();
      std::advance(it,
                   Pick(0, static_cast<std::uint32_t>(m_workers.size()) - 1));
      it->second.m_unresponsiveUntil = m_now + Between(300, 8000);
    }
    // An order that the relay holds can outlive its worker.
    if (m_options.m_workersRestart &&
        Chance(m_relay.IsPaused() ? 0.008 : 0.002)) {
      Restart(PickWorker());
    }
    if (m_options.m_restartsBehindCuts && Chance(0.004)) {
      RestartBehindCut(PickWorker());
    }
  }

  std::size_t PickWorker()
  {
    return Pick(0, static_cast<std::uint32_t>(m_infos.size()) - 1);
  }

  void Restart(std::size_t aIndex)
  {
    SimWorker& worker = m_workers.at(m_infos[aIndex].m_id);
    if (m_now < std::max(worker.m_bornAt, worker.m_answersCutUntil)) {
      return;
    }
    const Time bornAt = m_now + kReuseAfter + Between(0, 2000);
    Replace(aIndex, bornAt, bornAt + Between(50, 500));
  }

  void RestartBehindCut(std::size_t aIndex)
  {
    SimWorker& worker = m_workers.at(m_infos[aIndex].m_id);
    if (m_now < std::max(worker.m_bornAt, worker.m_answersCutUntil)) {
      return;
    }
    const Time bornAt = m_now + Between(20, 400);
    const Time cutUntil = bornAt + Between(500, 9000);
    Replace(aIndex, bornAt, cutUntil + Between(50, 500));
    worker.m_answersCutUntil = cutUntil;
  }

  /// Ends the worker, and all that it holds and knows; its next incarnation
  /// begins at `aBornAt`, and its entry shows that at `aListedAt`.
  void Replace(std::size_t aIndex, Time aBornAt, Time aListedAt)
  {
    pool::WorkerInfo& info = m_infos[aIndex];
    SimWorker& worker = m_workers.at(info.m_id);
    SimWorker next;
    next.m_incarnation = worker.m_incarnation + 1;
    next.m_bornAt = aBornAt;
    worker = next;
    ++m_restarts;
    At(aListedAt, [this, &info, incarnation = next.m_incarnation] {
      info.m_incarnation = incarnation;
      for (const auto& leader : m_leaders) {
        leader->m_scheduler->SetWorkers(m_now, m_infos);
      }
    });
  }

  static std::int64_t ToWorkerClock(const SimWorker& aWorker, Time aTime)
  {
    return ToMilliseconds(aTime - aWorker.m_bornAt) + 1;
  }

  /// A lease never gets shorter, and is not longer than the longest one.
  void Extend(SimWorker& aWorker, std::int64_t aDeadline) const
  {
    const Time end = std::min(aWorker.m_bornAt + milliseconds(aDeadline),
                              m_now + pool::kDefaultLongestLease);
    aWorker.m_leaseEnd = std::max(aWorker.m_leaseEnd, end);
  }

  /// True if the leader passes its calls to the worker on to the relay.
  bool IsRelayed(const SimLeader& aLeader, const pool::WorkerId& aWorker)
  {
    const auto index =
      std::distance(m_workers.begin(), m_workers.find(aWorker));
    return m_options.m_relay && index % 2 == 0 &&
           m_relay.IsUsable(aLeader.m_term);
  }

  void AdvanceWorker(SimWorker& aWorker)
  {
    std::vector<std::pair<TaskRef, pool::RunEnd>> finished;
    if (aWorker.m_leaseEnd < m_now) {
      aWorker.m_lastLapse = m_now;
    }
    for (const auto& [task, run] : aWorker.m_running) {
      if (run.m_endsAt <= std::min(m_now, aWorker.m_leaseEnd)) {
        finished.emplace_back(task, pool::RunEnd::Done);
      } else if (aWorker.m_leaseEnd < m_now) {
        finished.emplace_back(task, pool::RunEnd::Lapsed);
      }
    }
    for (const auto& [task, how] : finished) {
      End(aWorker, task, how);
    }
  }

  void End(SimWorker& aWorker, const TaskRef& aTask, pool::RunEnd aHow)
  {
    const RunState run = aWorker.m_running.at(aTask);
    aWorker.m_running.erase(aTask);
    aWorker.m_past[aTask] = std::max(aWorker.m_past[aTask], run.m_run);
    if (aHow == pool::RunEnd::Done) {
      m_everDone.insert(aTask);
    }
    aWorker.m_endTimes[aWorker.m_lastEnd + 1] = m_now;
    aWorker.m_ended.push_back(
      { ++aWorker.m_lastEnd, aTask, run.m_run, aHow, {} });
  }

  void RunLeader(SimLeader& aLeader)
  {
    if (!aLeader.m_loaded) {
      return;
    }
    pool::PoolScheduler& scheduler = *aLeader.m_scheduler;
    const auto shared = SharedOf(aLeader);
    Record(shared);
    const pool::Actions actions = scheduler.Plan(m_now);
    for (const auto& stop : actions.m_stops) {
      SendStop(shared, stop);
    }
    for (const auto& start : actions.m_starts) {
      SendStart(shared, start, false);
    }
    for (const JobId& id : actions.m_lookups) {
      if (m_options.m_delayedReads) {
        LookUp(shared, id, true);
      } else {
        scheduler.AddJob(m_now, m_jobs.at(id), {}, {}, pool::JobOrigin::Loaded);
      }
    }
    for (auto& [id, worker] : m_workers) {
      if (m_now >= aLeader.m_nextExtension[id]) {
        aLeader.m_nextExtension[id] = m_now + milliseconds(120);
        SendLeaseExtension(shared, id);
      }
    }
    if (m_now >= aLeader.m_nextSave) {
      aLeader.m_nextSave = m_now + milliseconds(40);
      Save(shared);
    }
    if (m_now >= aLeader.m_nextWatch) {
      aLeader.m_nextWatch = m_now + milliseconds(300);
      WatchJobs(shared);
    }
  }

  void WatchJobs(const std::shared_ptr<SimLeader>& aLeader)
  {
    for (const auto& [id, job] : m_jobs) {
      if (m_options.m_delayedReads) {
        TakeJob(aLeader, job, m_jobVersions.at(id));
      } else {
        aLeader->m_scheduler->AddJob(
          m_now, job, {}, {}, pool::JobOrigin::Accepted);
      }
    }
  }

  std::shared_ptr<SimLeader> SharedOf(const SimLeader& aLeader) const
  {
    for (const auto& leader : m_leaders) {
      if (leader.get() == &aLeader) {
        return leader;
      }
    }
    return nullptr;
  }

  bool IsUnresponsive(const pool::WorkerId& aWorker) const
  {
    const SimWorker& worker = m_workers.at(aWorker);
    return m_now < worker.m_unresponsiveUntil || m_now < worker.m_bornAt;
  }

  bool AnswersAreCut(const pool::WorkerId& aWorker) const
  {
    return m_now < m_workers.at(aWorker).m_answersCutUntil;
  }

  /// Writes the leader's row if the workers to record have changed.
  void Record(const std::shared_ptr<SimLeader>& aLeader)
  {
    if (aLeader->m_recording) {
      return;
    }
    const auto workers = aLeader->m_scheduler->ListWorkersToRecord(m_now);
    if (aLeader->m_term == m_term) {
      aLeader->m_scheduler->SetRecordedWorkers(m_rowWorkers.m_workers);
    }
    if (workers == m_rowWorkers) {
      return;
    }
    aLeader->m_recording = true;
    At(m_now + milliseconds(10), [this, aLeader, workers] {
      if (aLeader->m_term != m_term) {
        return; // fenced by the store
      }
      m_rowWorkers = workers;
      At(m_now + milliseconds(5), [aLeader] { aLeader->m_recording = false; });
    });
  }

  void Save(const std::shared_ptr<SimLeader>& aLeader)
  {
    for (const auto& write : aLeader->m_scheduler->TakeUnsaved(60)) {
      At(m_now + milliseconds(10), [this, aLeader, write] {
        if (aLeader->m_term != m_term) {
          aLeader->m_scheduler->OnSaveFailed(write);
          return;
        }
        m_progress[write.m_job] = write.m_progress;
        ++m_version;
        At(m_now + milliseconds(5), [this, aLeader, write] {
          aLeader->m_scheduler->OnSaved(m_now, write);
        });
      });
    }
  }

  /// The call of a lease extension ends once: with its answer, or, with the
  /// relay, without one after a while.
  void SendLeaseExtension(const std::shared_ptr<SimLeader>& aLeader,
                          const pool::WorkerId& aWorker)
  {
    const std::int64_t deadline =
      aLeader->m_scheduler->NextDeadline(m_now, aWorker);
    const std::uint64_t saved =
      aLeader->m_scheduler->Workers().at(aWorker).SavedEnds();
    const Time sentAt = m_now;
    const auto open = std::make_shared<bool>(true);
    if (m_options.m_relay) {
      aLeader->m_nextExtension[aWorker] = Time::max();
      At(m_now + kCallTimeout, [this, aLeader, aWorker, open] {
        if (std::exchange(*open, false)) {
          aLeader->m_scheduler->OnNoAnswer(aWorker);
          aLeader->m_nextExtension[aWorker] = m_now + milliseconds(200);
        }
      });
    }
    const auto execute =
      [this, aLeader, aWorker, deadline, saved, sentAt, open](
        const RelaySimulation::Reply& aReply) {
        auto inventory = ExecuteExtension(*aLeader, aWorker, deadline, saved);
        if (inventory) {
          inventory->m_requestedAt = sentAt;
          aReply([this, aLeader, aWorker, inventory, open] {
            OnExtended(*aLeader, aWorker, *inventory, *open);
          });
        }
      };
    if (IsRelayed(*aLeader, aWorker)) {
      m_relay.Send(aLeader->m_term, execute, [] {});
      return;
    }
    At(m_now + Between(1, 20), [this, execute] {
      execute([this](std::function<void()> aAnswer) {
        At(m_now + Between(1, 20), std::move(aAnswer));
      });
    });
  }

  void OnExtended(SimLeader& aLeader,
                  const pool::WorkerId& aWorker,
                  const pool::Inventory& aInventory,
                  bool& aOpen)
  {
    if (IsUnresponsive(aWorker) || AnswersAreCut(aWorker) ||
        !std::exchange(aOpen, false)) {
      return;
    }
    aLeader.m_scheduler->OnInventory(m_now, aWorker, aInventory);
    if (m_options.m_relay) {
      aLeader.m_nextExtension[aWorker] = m_now + milliseconds(100);
    }
  }

  /// Nothing if the worker does not answer.
  std::optional<pool::Inventory> ExecuteExtension(const SimLeader& aLeader,
                                                  const pool::WorkerId& aWorker,
                                                  std::int64_t aDeadline,
                                                  std::uint64_t aSaved)
  {
    SimWorker& worker = m_workers.at(aWorker);
    if (IsUnresponsive(aWorker) || worker.m_fence > aLeader.m_term) {
      return std::nullopt;
    }
    worker.m_fence = aLeader.m_term;
    Extend(worker, aDeadline);
    Confirm(worker, aSaved);
    pool::Inventory inventory;
    inventory.m_incarnation = worker.m_incarnation;
    inventory.m_clockMs = ToWorkerClock(worker, m_now);
    inventory.m_ended = worker.m_ended;
    for (const auto& [task, run] : worker.m_running) {
      const auto left =
        std::max<std::int64_t>(0, ToMilliseconds(run.m_endsAt - m_now));
      inventory.m_running.push_back(
        { task, run.m_run, {}, 100 - static_cast<int>(left / 100) });
    }
    return inventory;
  }

  void Confirm(SimWorker& aWorker, std::uint64_t aSaved)
  {
    std::erase_if(aWorker.m_ended, [&](const pool::ReportedEnd& aEnd) {
      const bool confirmed = aEnd.m_number <= aSaved;
      // A confirmation counts only if the worker has held its lease since the
      // end: after a lapse the leader had to start the task again.
      const bool held =
        aWorker.m_endTimes.at(aEnd.m_number) > aWorker.m_lastLapse;
      if (confirmed && held && aEnd.m_how == pool::RunEnd::Done) {
        m_done.insert(aEnd.m_task);
      }
      return confirmed;
    });
  }

  void SendStart(const std::shared_ptr<SimLeader>& aLeader,
                 const pool::StartTask& aStart,
                 bool aInDoubt)
  {
    if (!aLeader->m_scheduler->IsWanted(aStart) ||
        aLeader->m_stopsAt <= m_now) {
      return;
    }
    if (m_options.m_workersRestart && !MaySend(aLeader, aStart)) {
      return;
    }
    const std::int64_t deadline =
      aLeader->m_scheduler->DeadlineOfStart(m_now, aStart);
    if (deadline == 0) {
      AnswerStart(aLeader, aStart, aInDoubt, pool::StartOutcome::NotSent);
      return;
    }
    const auto answered = std::make_shared<bool>(false);
    if (IsRelayed(*aLeader, aStart.m_worker)) {
      SendStartByRelay(aLeader, aStart, aInDoubt, deadline, answered);
      return;
    }
    const bool late = m_options.m_lateCommands && IsFaulty() && Chance(0.05);
    const Duration delay = late ? Between(2000, 12'000) : Between(1, 20);
    At(m_now + delay,
       [this, aLeader, aStart, aInDoubt, deadline, late, answered] {
         if (IsUnresponsive(aStart.m_worker) && !late) {
           return;
         }
         const auto outcome = ExecuteStart(*aLeader, aStart, deadline);
         if (!late && !AnswersAreCut(aStart.m_worker)) {
           *answered = true;
           AnswerStart(aLeader, aStart, aInDoubt, outcome);
         }
       });
    At(m_now + milliseconds(600), [this, aLeader, aStart, answered] {
      if (!*answered) {
        AnswerStart(aLeader, aStart, true, pool::StartOutcome::Unknown);
      }
    });
  }

  /// The rules of the links to the workers about starts that are sent again.
  bool MaySend(const std::shared_ptr<SimLeader>& aLeader,
               const pool::StartTask& aStart)
  {
    pool::PoolScheduler& scheduler = *aLeader->m_scheduler;
    if (scheduler.IsListed(aStart) || scheduler.IsBeingStopped(aStart)) {
      return false;
    }
    if (scheduler.IsForEarlierIncarnation(aStart)) {
      scheduler.AbandonStart(m_now, aStart);
      return false;
    }
    return true;
  }

  void SendStartByRelay(const std::shared_ptr<SimLeader>& aLeader,
                        const pool::StartTask& aStart,
                        bool aInDoubt,
                        std::int64_t aDeadline,
                        const std::shared_ptr<bool>& aAnswered)
  {
    const auto end = [this, aLeader, aStart, aInDoubt, aAnswered](
                       pool::StartOutcome aOutcome) {
      if (!std::exchange(*aAnswered, true)) {
        AnswerStart(aLeader, aStart, aInDoubt, aOutcome);
      }
    };
    m_relay.Send(
      aLeader->m_term,
      [this, aLeader, aStart, aDeadline, end](
        const RelaySimulation::Reply& aReply) {
        if (!IsUnresponsive(aStart.m_worker)) {
          const auto outcome = ExecuteStart(*aLeader, aStart, aDeadline);
          if (!AnswersAreCut(aStart.m_worker)) {
            aReply([end, outcome] { end(outcome); });
          }
        }
      },
      [end] { end(pool::StartOutcome::NotSent); });
    At(m_now + kCallTimeout, [end] { end(pool::StartOutcome::Unknown); });
  }

  /// Treats outcomes of starts by the same rules as the links to the workers.
  void AnswerStart(const std::shared_ptr<SimLeader>& aLeader,
                   const pool::StartTask& aStart,
                   bool aInDoubt,
                   pool::StartOutcome aOutcome)
  {
    using pool::StartOutcome;
    if (aOutcome == StartOutcome::Unknown && !m_options.m_unansweredMayRun) {
      aLeader->m_scheduler->OnStartOutcome(
        m_now, aStart, StartOutcome::NotSent);
      return;
    }
    const bool conclusive = aOutcome == StartOutcome::Started || !aInDoubt;
    if (aOutcome != StartOutcome::Unknown && conclusive) {
      aLeader->m_scheduler->OnStartOutcome(m_now, aStart, aOutcome);
      return;
    }
    if (aOutcome != StartOutcome::Unknown &&
        aOutcome != StartOutcome::NotSent) {
      aLeader->m_scheduler->AbandonStart(m_now, aStart);
      return;
    }
    At(m_now + milliseconds(150),
       [this, aLeader, aStart] { SendStart(aLeader, aStart, true); });
  }

  pool::StartOutcome ExecuteStart(const SimLeader& aLeader,
                                  const pool::StartTask& aStart,
                                  std::int64_t aDeadline)
  {
    using pool::StartOutcome;
    SimWorker& worker = m_workers.at(aStart.m_worker);
    if (worker.m_fence > aLeader.m_term && m_options.m_workersCheckTerms) {
      return StartOutcome::Refused;
    }
    worker.m_fence = aLeader.m_term;
    const auto it = worker.m_running.find(aStart.m_task);
    if (it != worker.m_running.end() && it->second.m_run == aStart.m_run) {
      return StartOutcome::Started;
    }
    if (it != worker.m_running.end() ||
        aStart.m_run <= worker.m_past[aStart.m_task]) {
      return StartOutcome::OldRun;
    }
    if (aDeadline <= ToWorkerClock(worker, m_now)) {
      return StartOutcome::TooLate;
    }
    CheckStart(worker, aStart);
    m_starts.push_back(
      aStart.m_worker.Value() + " " + aStart.m_task.m_job.Value() + " " +
      std::to_string(aStart.m_run) + " " + std::to_string(Clock()));
    Extend(worker, aDeadline);
    worker.m_running[aStart.m_task] = { aStart.m_run,
                                        m_now + RunTime(),
                                        ResourcesOf(aStart.m_task) };
    return StartOutcome::Started;
  }

  Duration RunTime()
  {
    const bool isLong = m_options.m_restartsBehindCuts && Chance(0.1);
    return isLong ? Between(5500, 8000) : Between(100, 1500);
  }

  Resources ResourcesOf(const TaskRef& aTask) const
  {
    return m_jobs.at(aTask.m_job).m_steps[aTask.m_step].m_each;
  }

  void CheckStart(const SimWorker& aWorker, const pool::StartTask& aStart)
  {
    const Resources needed = ResourcesOf(aStart.m_task);
    Resources here = needed;
    for (const auto& [task, run] : aWorker.m_running) {
      here += run.m_resources;
    }
    if (!here.FitsIn(kWorkerCapacity)) {
      Violate("worker above its capacity", aStart.m_task);
    }
    Resources team = needed;
    for (const auto& [id, worker] : m_workers) {
      for (const auto& [task, run] : worker.m_running) {
        team += run.m_resources;
      }
      if (worker.m_running.contains(aStart.m_task)) {
        Violate("two runs at a time", aStart.m_task);
      }
    }
    if (team.m_millicores > kTeamLimit.m_millicores) {
      Violate(kTeamAboveLimit, aStart.m_task);
    }
    if (m_done.contains(aStart.m_task)) {
      Violate("start after a confirmed end", aStart.m_task);
    }
    CheckOrder(aStart.m_task);
  }

  /// Each task of the preceding steps must have ended as done; for a gang, one
  /// such end is enough.
  void CheckOrder(const TaskRef& aTask)
  {
    const auto& steps = m_jobs.at(aTask.m_job).m_steps;
    for (const std::uint32_t before : steps[aTask.m_step].m_after) {
      std::uint32_t done = 0;
      for (std::uint32_t index = 0; index < steps[before].m_tasks; ++index) {
        done += m_everDone.contains({ aTask.m_job, before, index }) ? 1 : 0;
      }
      const std::uint32_t needed =
        steps[before].m_gang ? 1 : steps[before].m_tasks;
      if (done < needed) {
        Violate("start before an earlier step has ended", aTask);
      }
    }
  }

  void SendStop(const std::shared_ptr<SimLeader>& aLeader,
                const pool::StopTask& aStop)
  {
    if (!aLeader->m_scheduler->IsWanted(aStop) || aLeader->m_stopsAt <= m_now) {
      return;
    }
    const auto confirmed = std::make_shared<bool>(false);
    const Time sentAt = m_now;
    if (IsRelayed(*aLeader, aStop.m_worker)) {
      m_relay.Send(
        aLeader->m_term,
        [this, aLeader, aStop, confirmed, sentAt](
          const RelaySimulation::Reply& aReply) {
          if (ExecuteStop(*aLeader, aStop, false)) {
            aReply([this, aLeader, aStop, confirmed, sentAt] {
              ConfirmStop(*aLeader, aStop, sentAt, *confirmed);
            });
          }
        },
        [] {});
    } else {
      const bool late = m_options.m_lateCommands && IsFaulty() && Chance(0.05);
      At(m_now + (late ? Between(2000, 12'000) : Between(1, 20)),
         [this, aLeader, aStop, late, confirmed, sentAt] {
           if (ExecuteStop(*aLeader, aStop, late) && !late) {
             ConfirmStop(*aLeader, aStop, sentAt, *confirmed);
           }
         });
    }
    At(m_now + milliseconds(300), [this, aLeader, aStop, confirmed] {
      // The links send no stop again that is confirmed.
      if (!m_options.m_workersRestart || !*confirmed) {
        SendStop(aLeader, aStop);
      }
    });
  }

  void ConfirmStop(SimLeader& aLeader,
                   const pool::StopTask& aStop,
                   Time aSentAt,
                   bool& aConfirmed)
  {
    aConfirmed = true;
    aLeader.m_scheduler->OnStopConfirmed(m_now, aSentAt, aStop);
  }

  /// False if the worker does not answer, or refuses.
  bool ExecuteStop(const SimLeader& aLeader,
                   const pool::StopTask& aStop,
                   bool aLate)
  {
    SimWorker& worker = m_workers.at(aStop.m_worker);
    if ((IsUnresponsive(aStop.m_worker) && !aLate) ||
        worker.m_fence > aLeader.m_term) {
      return false;
    }
    const auto it = worker.m_running.find(aStop.m_task);
    if (it != worker.m_running.end() && it->second.m_run == aStop.m_run) {
      End(worker, aStop.m_task, pool::RunEnd::Stopped);
    }
    worker.m_past[aStop.m_task] =
      std::max(worker.m_past[aStop.m_task], aStop.m_run);
    return !AnswersAreCut(aStop.m_worker);
  }

  static constexpr Resources kTeamLimit{ 30'000, 0, 0 };
  /// A deposed leader sends commands for so long.
  static constexpr Duration kLongestDeposed = milliseconds(800);
  static constexpr int kLongestReadMs = 600;
  static constexpr int kLongestMessageMs = 400;
  /// A call to a worker without an answer is in doubt after this time.
  static constexpr Duration kCallTimeout = milliseconds(750);
  /// A worker's id is not used again before this time after its end.
  static constexpr Duration kReuseAfter = seconds(2);

  PoolSimulationOptions m_options;
  std::mt19937_64 m_random;
  Time m_now = kStart;
  std::multimap<Time, std::function<void()>> m_events;
  RelaySimulation m_relay;
  std::vector<pool::WorkerInfo> m_infos;
  std::map<pool::WorkerId, SimWorker> m_workers;
  std::vector<std::shared_ptr<SimLeader>> m_leaders;
  std::uint64_t m_term = 0; ///< of the leader in the store's row
  RowVersion m_version = 0; ///< of the last row written, claims included
  JobRows m_jobs;
  std::map<JobId, RowVersion> m_jobVersions;
  ProgressRows m_progress;
  std::size_t m_lookUpsWithProgress = 0;
  std::vector<std::string> m_starts;
  std::set<TaskRef> m_everDone;
  std::set<TaskRef> m_done;           ///< ends that a leader has confirmed
  pool::RecordedWorkers m_rowWorkers; ///< in the stored row
  std::vector<std::string> m_violations;
  std::size_t m_restarts = 0;
};

} // namespace lacewing::fakes
