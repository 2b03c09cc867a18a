/// The leader's control loop: loads the pool's jobs from the store, watches the
/// tables of jobs and workers, and executes the scheduler's actions.
#pragma once

#include "edge/AdviceBalancer.h"
#include "edge/AdviceClient.h"
#include "edge/EdgeSettings.h"
#include "edge/JobExpiry.h"
#include "edge/JobFinder.h"
#include "edge/JobLoader.h"
#include "edge/PeerProtocol.h"
#include "edge/RelayLinks.h"
#include "edge/StoreHealth.h"
#include "edge/WorkerDirectory.h"
#include "edge/WorkerLinks.h"
#include "net/PacedTimer.h"
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "platform/TableStore.h"
#include "pool/PlanPacer.h"
#include "pool/PoolScheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace lacewing::edge {

/// Dependencies of the leader; they outlive it.
struct LeaderContext
{
  net::Loop& m_loop;
  net::HttpClient& m_http;
  platform::TableStore& m_store;
  const StoreHealth& m_storeHealth;
  platform::WorkerClient& m_workers;
  AdviceClient& m_adviceClient;
  observe::Log& m_log;
  observe::Metrics& m_metrics;
  const EdgeSettings& m_settings;
};

struct LeaderHooks
{
  std::function<void()> m_onFenced;
  std::function<bool()> m_maySendCommands;
  /// Rows are pending for the store, or the workers to record have changed.
  std::function<void()> m_onUnsaved;
};

/// Longest wait for the end of a job whose state is requested: some turns of
/// the event loop and a transaction.
inline constexpr Duration kLongestEndWait = milliseconds(150);

/// How the leader came to know a job or a cancellation.
enum class JobSource : std::uint8_t
{
  Load,   ///< the load at the begin of the leadership
  Reload, ///< a load after the history of changes was truncated
  Watch,  ///< the watch of the job table
  Front,  ///< the message of a daemon that has accepted it
  LookUp, ///< a worker has reported a run or an end of one of its tasks
};

class PoolLeader : public std::enable_shared_from_this<PoolLeader>
{
public:
  /// `aClaim` is the leader's row as this leadership began, and `aClaimVersion`
  /// its version. Jobs whose rows are younger than `aUnseenAfter` are known to
  /// no earlier leader, all of which have ended; nothing if one may go on.
  PoolLeader(const LeaderContext& aContext,
             LeaderHooks aHooks,
             const pool::LeaderRow& aClaim,
             RowVersion aClaimVersion,
             const pool::PoolConfig& aConfig,
             std::optional<RowVersion> aUnseenAfter = std::nullopt);

  void Start();
  /// No commands are sent and no callbacks run after this.
  void Close();
  /// The previous leader no longer sends commands.
  void OnPreviousLeaderStopped();
  /// True once nothing that earlier leaders have commanded can go on unknown.
  bool IsSettled() const { return m_scheduler.IsSettled(); }
  /// True once the stored jobs are loaded.
  bool IsLoaded() const { return m_loaded; }

  void SetConfig(const pool::PoolConfig& aConfig);
  /// Failure domains whose workers get no new tasks.
  void SetEvacuations(const std::set<DomainId>& aDomains);
  /// Adds an accepted job unless it is known. `aRowVersion` is the version of
  /// its row; 0 if that is not known.
  void AddJob(const pool::Job& aJob, RowVersion aRowVersion, JobSource aSource);
  /// Cancels the job, or will as soon as it becomes known.
  void CancelJob(const JobId& aJob,
                 const pool::Cancellation& aCancellation,
                 JobSource aSource);
  /// Empty for an unknown job.
  std::optional<JobView> ViewOf(const JobId& aJob) const;
  using ViewDone = std::function<void(const std::optional<JobView>&)>;
  /// Calls back with the job's state, or with nothing for an unknown job. That
  /// of a job whose tasks have all started comes once its end is stored, at the
  /// latest after the wait: its caller would ask again otherwise.
  void AwaitView(const JobId& aJob, Duration aLongestWait, ViewDone aDone);
  /// The progress is stored.
  void OnStored(Time aNow, const pool::PoolScheduler::ProgressWrite& aWrite);
  std::map<pool::QueueId, std::size_t> WaitingJobs() const
  {
    return m_scheduler.WaitingJobs();
  }
  /// Another daemon requested the leader's status, so it can serve advice
  /// requests.
  void OnPeerStatusRequest(const VmId& aVm, const net::Address& aAddress);
  /// The daemon can call workers in place of this one.
  void OnRelaySeen(const relay::RelayPeer& aPeer);

  /// How late the event loop has been all the time recently, which part of the
  /// new jobs is accepted, and how many times as long as usual the processor
  /// takes for the same work.
  void SetLoad(Duration aStandingLag, double aAdmittedShare, double aSlowdown);

  pool::PoolScheduler& Scheduler() { return m_scheduler; }
  JobExpiry& Expiry() { return *m_expiry; }
  /// What the leader's row has to say about workers; their ids are sorted.
  pool::RecordedWorkers WorkersToRecord();
  void OnRecorded(const std::vector<pool::WorkerId>& aWorkers);
  void LogState();

private:
  /// Runs only while this object exists and is not closed.
  using Guarded = std::function<void()>;

  void LoadJobs();
  /// Reads what earlier leaders have learned about run times. Without it the
  /// estimates of callers are used until enough runs have ended.
  void LoadRuntimes();
  void OnJobsLoaded(const LoadedJobs& aLoaded);
  /// Reads the job table again, since its history of changes was truncated.
  void ReloadJobs();
  void LoadWorkers();
  void OnWorkersRead();
  /// Begins to schedule once the jobs and the workers have been read.
  void BeginIfRead();
  void WatchJobs();
  void SetJobsKnownUntil(Time aUntil);
  /// The store has answered a read of changes that was sent at that time.
  void OnJobsWatched(Time aSentAt);
  void ApplyJobRow(const std::string& aKey,
                   const table::Row& aRow,
                   JobSource aSource);
  void WatchWorkers();
  void ApplyWorkerRow(const platform::ChangedRow& aChange);
  void UpdateWorkers();
  /// Logs if the entry is that of a later incarnation than the known one.
  void LogRestart(const pool::WorkerInfo& aWorker);
  /// Records how long the cancellation took to reach this leader.
  void LogCancellation(const JobId& aJob,
                       const pool::Cancellation& aCancellation,
                       JobSource aSource);
  /// Answers those that wait for the job's end; only `aOnly` if it is not null.
  void EndWaits(const JobId& aJob, const ViewDone* aOnly);
  void ExpireJobs();
  void Plan();
  /// Logs jobs that were found to fail on every worker or to fit on none.
  void LogUnrunnable(const pool::Actions& aActions);
  /// Logs why runs were given up whose end no worker has reported.
  void LogGangs(const pool::Actions& aActions);
  void LogGivenUp(const pool::Actions& aActions);
  void LogSuspects(const pool::Actions& aActions);
  /// Reads an unknown job and its progress, until it is found or is known not
  /// to exist.
  void LookUp(const JobId& aJob, JobSource aSource);
  void ReadJob(const JobId& aJob, JobSource aSource);
  void OnLookedUp(const JobId& aJob,
                  JobSource aSource,
                  const JobLookUp& aResult);
  void Ask(const pool::AdviceRequest& aRequest);
  void OnAdvice(
    const pool::AdviceRequest& aRequest,
    const std::optional<std::vector<pool::Permission>>& aPermissions);
  void Add(const StoredJob& aJob, JobSource aSource);
  pool::JobOrigin OriginOf(RowVersion aVersion, JobSource aSource) const;
  void After(Duration aDelay,
             Guarded aFunction,
             net::Priority aPriority = net::Priority::Normal);

  LeaderContext m_context;
  LeaderHooks m_hooks;
  std::uint64_t m_term;
  RowVersion m_claimVersion;
  std::optional<RowVersion> m_unseenAfter;
  pool::PoolScheduler m_scheduler;
  std::unique_ptr<RelayLinks> m_relays;
  std::shared_ptr<WorkerLinks> m_links;
  AdviceBalancer m_advice;
  std::shared_ptr<JobExpiry> m_expiry;
  net::PacedTimer m_planTimer;
  pool::PlanPacer m_pacer;
  Duration m_longestPlan{};      ///< since the last state was logged
  Duration m_longestLag{};       ///< likewise, standing lag of the event loop
  double m_leastAdmitted = 1;    ///< likewise, part of the new jobs
  double m_slowdown = 1;         ///< of the processor at present
  std::size_t m_previousWorkers; ///< that may run any task

  std::unique_ptr<JobLoader> m_jobLoader;
  std::unique_ptr<JobTableScan> m_jobReload;
  std::shared_ptr<TableScan> m_workerScan;
  bool m_jobsRead = false;    ///< by the load
  bool m_workersRead = false; ///< at least once
  bool m_loaded = false;
  Time m_loadedAt{};
  /// Jobs that are being looked up, with the delay before the next attempt.
  std::map<JobId, Duration> m_lookUps;
  /// Those that wait for the end of a job.
  std::unordered_multimap<JobId, std::shared_ptr<ViewDone>> m_viewWaits;
  /// Jobs that were cancelled before they became known here, and when that was
  /// noticed. Their rows expire like those of ended jobs.
  std::map<JobId, Time> m_unappliedCancellations;
  RowVersion m_jobsAfter = 0;
  /// All that was stored about jobs before this time is known here.
  Time m_jobsKnownUntil{};
  RowVersion m_workersAfter = 0;

  WorkerDirectory m_directory;
  bool m_closed = false;
};

/// Wall-clock time in milliseconds since the Unix epoch.
std::int64_t
UnixMilliseconds();

} // namespace lacewing::edge

template<>
struct lacewing::EnumNames<lacewing::edge::JobSource>
{
  using Source = lacewing::edge::JobSource;
  static constexpr std::array kTable = {
    std::pair{ Source::Load, std::string_view("load") },
    std::pair{ Source::Reload, std::string_view("reload") },
    std::pair{ Source::Watch, std::string_view("watch") },
    std::pair{ Source::Front, std::string_view("front") },
    std::pair{ Source::LookUp, std::string_view("look_up") },
  };
};
