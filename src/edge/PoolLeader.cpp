#include "edge/PoolLeader.h"

#include "core/TryDecode.h"
#include "platform/Documents.h"
#include "pool/JobRows.h"
#include "pool/LeaderElection.h"
#include "relay/OrderGate.h"

#include <algorithm>

namespace lacewing::edge {

namespace {

constexpr Duration kReadTimeout = milliseconds(1000);
constexpr Duration kMinViewAge = milliseconds(500);
/// Delay before a job whose rows could not be read is read again; it doubles
/// with each failure.
constexpr Duration kFirstLookUpDelay = milliseconds(100);
constexpr Duration kLongestLookUpDelay = milliseconds(1600);
/// Daemons send new jobs to the leader at once; the watch of the job table
/// finds jobs whose message was lost.
constexpr Duration kJobWatchPeriod = milliseconds(800);
/// Shorter for a while after a change of leader, since fronts still send new
/// jobs to the previous one, and after a read that failed, since nothing starts
/// once the view is too old.
constexpr Duration kFrequentJobWatchPeriod = milliseconds(150);
constexpr Duration kFrequentWatchTime = seconds(3);
/// Upper bound on the delay before a draining worker is noticed.
constexpr Duration kWorkerWatchPeriod = milliseconds(400);
/// Minimum time between two plans.
constexpr Duration kPlanPeriod = milliseconds(8);
/// Plans are made at least this often, to act on expired leases and tickets.
constexpr Duration kIdlePlanPeriod = milliseconds(100);
constexpr Duration kExpiryPeriod = seconds(2);
/// Ended jobs are kept longer than the status retention by this factor.
constexpr double kRetentionMargin = 1.5;
/// Upper bound for a job's age computed from wall clocks.
constexpr std::int64_t kMaxAgeMs = 600'000;

/// By this time after its last command, no lease of the previous leader is
/// valid any more, also on the slowest clock of a worker, at one that has
/// restarted, and if a relay has passed the command on late.
Duration
PreviousLeaseTime(const EdgeSettings& aSettings)
{
  return pool::LongestHold(aSettings.m_leaseMax) + relay::kStartDelivery;
}

} // namespace

std::int64_t
UnixMilliseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

PoolLeader::PoolLeader(const LeaderContext& aContext,
                       LeaderHooks aHooks,
                       const pool::LeaderRow& aClaim,
                       RowVersion aClaimVersion,
                       const pool::PoolConfig& aConfig,
                       std::optional<RowVersion> aUnseenAfter)
  : m_context(aContext)
  , m_hooks(std::move(aHooks))
  , m_term(aClaim.m_term)
  , m_claimVersion(aClaimVersion)
  , m_unseenAfter(aUnseenAfter)
  , m_scheduler(net::Loop::Now(),
                aClaim.m_term,
                { aClaim.m_workers.begin(), aClaim.m_workers.end() },
                net::Loop::Now() + pool::kLeaderLease +
                  PreviousLeaseTime(aContext.m_settings))
  , m_advice(aContext.m_settings.m_vm)
  , m_expiry(std::make_shared<JobExpiry>(aContext.m_store))
  , m_planTimer(aContext.m_loop, kPlanPeriod, [this] { Plan(); })
  , m_previousWorkers(aClaim.m_workers.size())
{
  m_scheduler.SetPreviousRuns(aClaim.m_cordoned);
  if (m_unseenAfter) {
    m_scheduler.SetPreviousEnded();
  }
  m_scheduler.SetConfig(net::Loop::Now(), aConfig);
  m_scheduler.SetLongestLease(aContext.m_settings.m_leaseMax);
  m_scheduler.SetLongestViewAge(std::max(
    aContext.m_settings.m_cancelBound - relay::kStartDelivery, kMinViewAge));
}

void
PoolLeader::Start()
{
  WorkerLinkHooks hooks;
  hooks.m_onChange = [this] { m_planTimer.CallSoon(); };
  hooks.m_onFenced = m_hooks.m_onFenced;
  hooks.m_maySendCommands = m_hooks.m_maySendCommands;
  m_relays = std::make_unique<RelayLinks>(
    m_context.m_loop, m_context.m_log, m_context.m_settings.m_vm, m_term);
  m_links = std::make_shared<WorkerLinks>(
    m_context.m_loop,
    WorkerCalls(m_context.m_workers, m_relays.get()),
    m_context.m_log,
    m_context.m_metrics,
    m_scheduler,
    m_term,
    std::move(hooks));
  LoadRuntimes();
  LoadJobs();
  LoadWorkers();
}

void
PoolLeader::Close()
{
  m_closed = true;
  m_jobLoader.reset();
  m_jobReload.reset();
  m_workerScan.reset();
  if (m_links) {
    m_links->Close();
  }
  m_relays.reset();
  for (const auto& [job, done] : std::exchange(m_viewWaits, {})) {
    (*done)(std::nullopt);
  }
}

void
PoolLeader::After(Duration aDelay, Guarded aFunction, net::Priority aPriority)
{
  m_context.m_loop.After(
    aDelay,
    [weak = weak_from_this(), function = std::move(aFunction)] {
      if (const auto self = weak.lock(); self && !self->m_closed) {
        function();
      }
    },
    aPriority);
}

void
PoolLeader::LoadRuntimes()
{
  m_context.m_store.ReadRow(
    pool::RuntimesKey(),
    kReadTimeout,
    [weak = weak_from_this()](const platform::PageResult& aPage) {
      const auto self = weak.lock();
      if (!self || self->m_closed) {
        return;
      }
      std::string outcome = aPage.m_read.m_ok ? "absent" : "not read";
      for (const auto& item : aPage.m_read.m_rows) {
        const auto decoded = TryDecode<bool>([&]() -> Result<bool> {
          BOOST_LEAF_CHECK(
            self->m_scheduler.Runtimes().Decode(item.second.m_value));
          return true;
        });
        outcome = decoded ? "read" : "unreadable";
      }
      self->m_context.m_log.Write(
        settings::LogLevel::Info,
        "runtimes_loaded",
        { { "outcome", outcome },
          { "kinds",
            static_cast<std::int64_t>(self->m_scheduler.Runtimes().Kinds()) },
          { "term", static_cast<std::int64_t>(self->m_term) } });
    });
}

void
PoolLeader::LoadJobs()
{
  SetJobsKnownUntil(net::Loop::Now());
  m_jobLoader = std::make_unique<JobLoader>(
    m_context.m_loop,
    m_context.m_store,
    m_context.m_log,
    m_claimVersion,
    [this](const LoadedJobs& aLoaded) { OnJobsLoaded(aLoaded); });
  m_jobLoader->Start();
}

void
PoolLeader::OnJobsLoaded(const LoadedJobs& aLoaded)
{
  for (const StoredJob& job : aLoaded.m_jobs) {
    Add(job, JobSource::Load);
  }
  for (const auto& [id, cancellation] : aLoaded.m_cancelled) {
    CancelJob(id, cancellation, JobSource::Load);
  }
  m_jobsAfter = aLoaded.m_readFrom;
  m_context.m_log.Write(
    settings::LogLevel::Info,
    "jobs_loaded",
    { { "term", static_cast<std::int64_t>(m_term) },
      { "jobs", static_cast<std::int64_t>(aLoaded.m_jobs.size()) },
      { "progress_rows", static_cast<std::int64_t>(aLoaded.m_progressRows) },
      { "claim_version", static_cast<std::int64_t>(m_claimVersion) },
      { "read_from", static_cast<std::int64_t>(aLoaded.m_readFrom) } });
  m_jobsRead = true;
  BeginIfRead();
  // The loader is the caller of this function.
  After(Duration::zero(), [this] { m_jobLoader.reset(); });
}

void
PoolLeader::ReloadJobs()
{
  const Time beganAt = net::Loop::Now();
  m_jobReload = std::make_unique<JobTableScan>(
    m_context.m_loop,
    m_context.m_store,
    m_claimVersion,
    [this](const std::string& aKey, const table::Row& aRow) {
      ApplyJobRow(aKey, aRow, JobSource::Reload);
    },
    [this, beganAt](RowVersion aReadFrom) {
      m_jobsAfter = aReadFrom;
      OnJobsWatched(beganAt);
      WatchJobs();
    });
  m_jobReload->Start();
}

void
PoolLeader::LoadWorkers()
{
  const auto applyPage = [this](const platform::PageResult& aPage,
                                bool aFirst) {
    if (aFirst) {
      m_workersAfter = aPage.m_version;
      m_directory.BeginReread(net::Loop::Now());
    }
    for (const auto& [key, row] : aPage.m_read.m_rows) {
      ApplyWorkerRow({ key, row, false });
    }
  };
  m_workerScan = std::make_shared<TableScan>(m_context.m_loop,
                                             m_context.m_store,
                                             platform::kWorkerPrefix,
                                             m_claimVersion,
                                             applyPage,
                                             [this] { OnWorkersRead(); });
  m_workerScan->Start();
}

void
PoolLeader::OnWorkersRead()
{
  UpdateWorkers();
  WatchWorkers();
  if (!m_workersRead) {
    m_workersRead = true;
    BeginIfRead();
  }
}

void
PoolLeader::BeginIfRead()
{
  if (!m_jobsRead || !m_workersRead) {
    return;
  }
  m_loaded = true;
  m_loadedAt = net::Loop::Now();
  m_scheduler.OnLoaded(m_loadedAt);
  m_context.m_log.Write(
    settings::LogLevel::Info,
    "leader_loaded",
    { { "term", static_cast<std::int64_t>(m_term) },
      { "workers", static_cast<std::int64_t>(m_directory.size()) },
      { "workers_version", static_cast<std::int64_t>(m_workersAfter) },
      { "previous_workers", static_cast<std::int64_t>(m_previousWorkers) },
      { "unseen_after",
        m_unseenAfter ? static_cast<std::int64_t>(*m_unseenAfter) : -1 } });
  m_hooks.m_onUnsaved();
  m_links->Update();
  WatchJobs();
  ExpireJobs();
  m_planTimer.CallSoon();
}

void
PoolLeader::ExpireJobs()
{
  const Duration kept =
    Scale(m_context.m_settings.m_statusRetention, kRetentionMargin);
  const Time before = net::Loop::Now() - kept;
  std::vector<JobId> ended = m_scheduler.ForgetEnded(before);
  std::erase_if(m_unappliedCancellations, [&](const auto& aItem) {
    const bool expired = aItem.second < before;
    if (expired) {
      ended.push_back(aItem.first);
    }
    return expired;
  });
  m_expiry->Expire(ended);
  if (m_expiry->HasProgressKeys()) {
    m_hooks.m_onUnsaved();
  }
  After(kExpiryPeriod, [this] { ExpireJobs(); });
}

void
PoolLeader::Add(const StoredJob& aJob, JobSource aSource)
{
  const JobId& id = aJob.m_job.m_id;
  if (m_scheduler.FindJob(id) != nullptr) {
    return;
  }
  m_context.m_log.Write(
    settings::LogLevel::Info,
    "job_added",
    { { "request", id.Value() },
      { "term", static_cast<std::int64_t>(m_term) },
      { "source", std::string(NameOf(aSource)) },
      { "row_version", static_cast<std::int64_t>(aJob.m_version) },
      { "state", std::string(NameOf(aJob.m_progress.m_state)) },
      { "stored_tasks",
        static_cast<std::int64_t>(aJob.m_progress.m_tasks.size()) } });
  const std::int64_t age = std::clamp<std::int64_t>(
    UnixMilliseconds() - aJob.m_job.m_acceptedUnixMs, 0, kMaxAgeMs);
  m_scheduler.AddJob(net::Loop::Now(),
                     aJob.m_job,
                     milliseconds(age),
                     aJob.m_progress,
                     OriginOf(aJob.m_version, aSource));
  if (m_unappliedCancellations.erase(id) > 0) {
    m_scheduler.CancelJob(net::Loop::Now(), id);
  }
  m_planTimer.CallSoon();
}

pool::JobOrigin
PoolLeader::OriginOf(RowVersion aVersion, JobSource aSource) const
{
  if (aSource == JobSource::LookUp) {
    return pool::JobOrigin::Loaded; // a worker has reported it
  }
  if (aVersion > m_claimVersion) {
    return pool::JobOrigin::Accepted;
  }
  return m_unseenAfter && aVersion > *m_unseenAfter ? pool::JobOrigin::Unseen
                                                    : pool::JobOrigin::Loaded;
}

void
PoolLeader::AddJob(const pool::Job& aJob,
                   RowVersion aRowVersion,
                   JobSource aSource)
{
  if (!m_loaded || m_scheduler.FindJob(aJob.m_id) != nullptr) {
    return; // known, or found by the load or the watch
  }
  // Earlier leaders cannot store progress after the claim, and the load has
  // read all jobs whose rows are older. So only a job with a younger row is
  // known to have no progress.
  // After a truncated history the rows include those of ended jobs whose
  // deletion has failed.
  if (aRowVersion > m_claimVersion && aSource != JobSource::Reload) {
    Add({ aJob, {}, aRowVersion }, aSource);
  } else {
    LookUp(aJob.m_id, aSource);
  }
}

void
PoolLeader::CancelJob(const JobId& aJob,
                      const pool::Cancellation& aCancellation,
                      JobSource aSource)
{
  const pool::TrackedJob* job = m_scheduler.FindJob(aJob);
  if (job == nullptr) {
    if (m_unappliedCancellations.emplace(aJob, net::Loop::Now()).second) {
      LogCancellation(aJob, aCancellation, aSource);
    }
    return;
  }
  if (job->IsOver()) {
    return; // a further report of an applied cancellation, or a late one
  }
  LogCancellation(aJob, aCancellation, aSource);
  m_scheduler.CancelJob(net::Loop::Now(), aJob);
  m_planTimer.CallSoon();
  m_hooks.m_onUnsaved();
}

void
PoolLeader::LogCancellation(const JobId& aJob,
                            const pool::Cancellation& aCancellation,
                            JobSource aSource)
{
  const bool isTimeKnown = aCancellation.m_requestedUnixMs > 0;
  const std::int64_t age = std::clamp<std::int64_t>(
    UnixMilliseconds() - aCancellation.m_requestedUnixMs, 0, kMaxAgeMs);
  if (isTimeKnown) {
    constexpr double kMillisecondsPerSecond = 1000;
    m_context.m_metrics.Observe(observe::Metric::CancellationDelaySeconds,
                                static_cast<double>(age) /
                                  kMillisecondsPerSecond,
                                { NameOf(aSource) });
  }
  m_context.m_log.Write(
    settings::LogLevel::Info,
    "cancellation",
    { { "request", aJob.Value() },
      { "term", static_cast<std::int64_t>(m_term) },
      { "source", std::string(NameOf(aSource)) },
      { "age_ms", isTimeKnown ? age : std::int64_t{ -1 } },
      { "job", m_scheduler.FindJob(aJob) == nullptr ? "unknown" : "open" } });
}

std::optional<JobView>
PoolLeader::ViewOf(const JobId& aJob) const
{
  const pool::TrackedJob* job = m_scheduler.FindJob(aJob);
  if (job == nullptr) {
    return std::nullopt;
  }
  return JobView{ m_scheduler.ShownState(*job), job->Spec().m_team };
}

void
PoolLeader::AwaitView(const JobId& aJob, Duration aLongestWait, ViewDone aDone)
{
  const pool::TrackedJob* job = m_scheduler.FindJob(aJob);
  const bool endsSoon = job != nullptr && job->AllStarted() &&
                        !pool::IsFinal(m_scheduler.ShownState(*job));
  if (m_closed || !endsSoon || aLongestWait <= Duration::zero()) {
    aDone(ViewOf(aJob));
    return;
  }
  const auto wait = std::make_shared<ViewDone>(std::move(aDone));
  m_viewWaits.emplace(aJob, wait);
  After(aLongestWait, [this, aJob, weak = std::weak_ptr(wait)] {
    if (const auto kept = weak.lock()) {
      EndWaits(aJob, kept.get());
    }
  });
}

void
PoolLeader::EndWaits(const JobId& aJob, const ViewDone* aOnly)
{
  std::vector<std::shared_ptr<ViewDone>> ended;
  const auto [begin, end] = m_viewWaits.equal_range(aJob);
  for (auto it = begin; it != end;) {
    if (aOnly == nullptr || it->second.get() == aOnly) {
      ended.push_back(std::move(it->second));
      it = m_viewWaits.erase(it);
    } else {
      ++it;
    }
  }
  for (const auto& done : ended) {
    (*done)(ViewOf(aJob));
  }
}

void
PoolLeader::OnStored(Time aNow,
                     const pool::PoolScheduler::ProgressWrite& aWrite)
{
  m_scheduler.OnSaved(aNow, aWrite);
  if (pool::IsFinal(aWrite.m_progress.m_state)) {
    EndWaits(aWrite.m_job, nullptr);
  }
}

void
PoolLeader::OnJobsWatched(Time aSentAt)
{
  const std::chrono::duration<double> age = net::Loop::Now() - m_jobsKnownUntil;
  m_context.m_metrics.Observe(observe::Metric::JobViewAgeSeconds, age.count());
  SetJobsKnownUntil(aSentAt);
}

void
PoolLeader::SetJobsKnownUntil(Time aUntil)
{
  m_jobsKnownUntil = aUntil;
  m_scheduler.SetJobsKnownUntil(aUntil);
}

void
PoolLeader::WatchJobs()
{
  const Time sentAt = net::Loop::Now();
  m_context.m_store.ReadChanges(
    pool::kJobTable,
    m_jobsAfter,
    Duration::zero(),
    kReadTimeout,
    [weak = weak_from_this(), sentAt](const platform::Changes& aChanges) {
      const auto self = weak.lock();
      if (!self || self->m_closed) {
        return;
      }
      self->m_context.m_log.WriteOnChange(
        "watch of jobs",
        aChanges.m_ok ? "answers" : "silent",
        settings::LogLevel::Info,
        "dependency",
        { { "view_age_ms",
            ToMilliseconds(net::Loop::Now() - self->m_jobsKnownUntil) },
          { "read_ms", ToMilliseconds(net::Loop::Now() - sentAt) } });
      if (aChanges.m_ok) {
        self->OnJobsWatched(sentAt);
      }
      for (const platform::ChangedRow& change : aChanges.m_rows) {
        if (!change.m_deleted) {
          self->ApplyJobRow(change.m_key, change.m_row, JobSource::Watch);
        }
      }
      self->m_jobsAfter = std::max(self->m_jobsAfter, aChanges.m_version);
      if (aChanges.m_historyTruncated) {
        self->ReloadJobs();
        return; // the watch restarts when the reload ends
      }
      const bool frequent =
        !aChanges.m_ok ||
        net::Loop::Now() < self->m_loadedAt + kFrequentWatchTime;
      self->After(
        frequent ? kFrequentJobWatchPeriod : kJobWatchPeriod,
        [self = self.get()] { self->WatchJobs(); },
        net::Priority::Urgent);
    });
}

void
PoolLeader::ApplyJobRow(const std::string& aKey,
                        const table::Row& aRow,
                        JobSource aSource)
{
  const pool::JobRowKey key = pool::ParseJobRowKey(aKey);
  if (key.m_cancellation) {
    CancelJob(key.m_job, pool::DecodeCancellation(aRow.m_value), aSource);
    return;
  }
  if (m_scheduler.FindJob(key.m_job) != nullptr) {
    return;
  }
  if (const auto job = TryDecode<pool::Job>(
        [&] { return pool::DecodeJob(key.m_job, aRow.m_value); })) {
    AddJob(*job, aRow.m_version, aSource);
  }
}

void
PoolLeader::WatchWorkers()
{
  After(kWorkerWatchPeriod, [this] {
    m_context.m_store.ReadChanges(
      platform::kWorkerTable,
      m_workersAfter,
      Duration::zero(),
      kReadTimeout,
      [weak = weak_from_this()](const platform::Changes& aChanges) {
        const auto self = weak.lock();
        if (!self || self->m_closed) {
          return;
        }
        if (aChanges.m_historyTruncated) {
          self->LoadWorkers();
          return;
        }
        for (const platform::ChangedRow& change : aChanges.m_rows) {
          self->ApplyWorkerRow(change);
        }
        self->m_workersAfter =
          std::max(self->m_workersAfter, aChanges.m_version);
        self->UpdateWorkers();
        self->WatchWorkers();
      });
  });
}

void
PoolLeader::ApplyWorkerRow(const platform::ChangedRow& aChange)
{
  const std::string name = WorkerDirectory::NameOf(aChange.m_key);
  switch (m_directory.Take(net::Loop::Now(), aChange)) {
    case EntryChange::None:
      return;
    case EntryChange::Unreadable:
      m_context.m_log.WriteOnChange("entry " + name,
                                    "unreadable",
                                    settings::LogLevel::Warn,
                                    "worker_entry_ignored",
                                    {});
      return;
    case EntryChange::Listed:
    case EntryChange::Vanished:
      m_context.m_log.Write(
        settings::LogLevel::Info,
        aChange.m_deleted ? "worker_vanished" : "worker_listed",
        { { "worker", name },
          { "row_version",
            static_cast<std::int64_t>(aChange.m_row.m_version) } });
      return;
  }
}

void
PoolLeader::LogRestart(const pool::WorkerInfo& aWorker)
{
  const auto known = m_scheduler.Workers().find(aWorker.m_id);
  if (known == m_scheduler.Workers().end() ||
      aWorker.m_incarnation <= known->second.m_info.m_incarnation) {
    return;
  }
  m_context.m_log.Write(
    settings::LogLevel::Info,
    "worker_restarted",
    { { "worker", aWorker.m_id.Value() },
      { "source", "store" },
      { "incarnation", aWorker.m_incarnation },
      { "runs",
        static_cast<std::int64_t>(known->second.m_placements.size()) } });
}

void
PoolLeader::UpdateWorkers()
{
  const Time now = net::Loop::Now();
  const std::vector<pool::WorkerInfo> workers = m_directory.Workers(now);
  for (const pool::WorkerInfo& worker : workers) {
    LogRestart(worker);
  }
  m_scheduler.SetWorkers(now, workers);
  relay::WorkerCounts counts;
  for (const pool::WorkerInfo& worker : workers) {
    ++counts[worker.m_domain];
  }
  m_relays->SetWorkers(std::move(counts));
  if (m_loaded) {
    m_links->Update();
    m_hooks.m_onUnsaved();
  }
}

void
PoolLeader::SetConfig(const pool::PoolConfig& aConfig)
{
  m_scheduler.SetConfig(net::Loop::Now(), aConfig);
  m_planTimer.CallSoon();
}

void
PoolLeader::SetEvacuations(const std::set<DomainId>& aDomains)
{
  m_scheduler.SetEvacuations(aDomains);
  m_planTimer.CallSoon();
}

void
PoolLeader::OnPeerStatusRequest(const VmId& aVm, const net::Address& aAddress)
{
  m_advice.OnPeerSeen(net::Loop::Now(), aVm, aAddress);
}

void
PoolLeader::OnRelaySeen(const relay::RelayPeer& aPeer)
{
  if (m_relays) {
    m_relays->OnPeerSeen(net::Loop::Now(), aPeer);
  }
}

pool::RecordedWorkers
PoolLeader::WorkersToRecord()
{
  pool::RecordedWorkers workers =
    m_scheduler.ListWorkersToRecord(net::Loop::Now());
  std::ranges::sort(workers.m_workers);
  const auto end =
    std::unique(workers.m_workers.begin(), workers.m_workers.end());
  workers.m_workers.erase(end, workers.m_workers.end());
  return workers;
}

void
PoolLeader::OnRecorded(const std::vector<pool::WorkerId>& aWorkers)
{
  m_scheduler.SetRecordedWorkers(aWorkers);
}

void
PoolLeader::Plan()
{
  if (m_closed || !m_loaded) {
    return;
  }
  if (!m_hooks.m_maySendCommands()) {
    m_planTimer.CallBy(net::Loop::Now() + kIdlePlanPeriod);
    return;
  }
  m_scheduler.SetAskingVms(m_advice.AskingVms());
  const Time begin = net::Loop::Now();
  if (begin < m_pacer.NextPlan()) {
    m_planTimer.CallBy(m_pacer.NextPlan());
    return;
  }
  m_scheduler.SetPlanSteps(m_pacer.Steps());
  m_scheduler.SetPlanOperations(m_pacer.Operations());
  const pool::Actions actions = m_scheduler.Plan(begin);
  const Time end = net::Loop::Now();
  m_pacer.OnPlan(begin, end, actions.m_considered, actions.m_starts.size());
  m_longestPlan = std::max(m_longestPlan, end - begin);
  for (const pool::StopTask& stop : actions.m_stops) {
    m_links->Stop(stop);
  }
  for (const pool::StartTask& start : actions.m_starts) {
    m_links->Start(start);
  }
  for (const pool::AdviceRequest& request : actions.m_adviceRequests) {
    Ask(request);
  }
  for (const JobId& job : actions.m_lookups) {
    LookUp(job, JobSource::LookUp);
  }
  LogUnrunnable(actions);
  LogGangs(actions);
  LogGivenUp(actions);
  LogSuspects(actions);
  if (m_scheduler.HasUnsaved()) {
    m_hooks.m_onUnsaved();
  }
  m_planTimer.CallBy(net::Loop::Now() + kIdlePlanPeriod);
}

void
PoolLeader::LogUnrunnable(const pool::Actions& aActions)
{
  for (const pool::FailingStep& failing : aActions.m_failingSteps) {
    m_context.m_metrics.Add(observe::Metric::UnrunnableJobs,
                            { "fails_everywhere" });
    m_context.m_log.Write(
      settings::LogLevel::Info,
      "job_fails_everywhere",
      { { "request", failing.m_job.Value() },
        { "step", static_cast<std::int64_t>(failing.m_step) },
        { "failing_workers", static_cast<std::int64_t>(failing.m_failing) },
        { "sound_workers", static_cast<std::int64_t>(failing.m_sound) } });
  }
  for (const JobId& job : aActions.m_tooLargeJobs) {
    m_context.m_metrics.Add(observe::Metric::UnrunnableJobs, { "too_large" });
    m_context.m_log.Write(
      settings::LogLevel::Info,
      "gang_too_large",
      { { "request", job.Value() },
        { "workers",
          static_cast<std::int64_t>(m_scheduler.Workers().size()) } });
  }
}

void
PoolLeader::LogGangs(const pool::Actions& aActions)
{
  for (const pool::WaitingGang& gang : aActions.m_waitingGangs) {
    m_context.m_metrics.Add(observe::Metric::KeptRooms, { "gang_waits" });
    m_context.m_log.Write(
      settings::LogLevel::Info,
      "gang_waits",
      { { "request", gang.m_job.Value() },
        { "step", static_cast<std::int64_t>(gang.m_step) },
        { "tasks", static_cast<std::int64_t>(gang.m_members) },
        { "starts_in_ms", ToMilliseconds(gang.m_startsIn) },
        { "slack_ms", ToMilliseconds(gang.m_slack) } });
  }
  for (const pool::PassedGang& passed : aActions.m_passedGangs) {
    m_context.m_metrics.Add(observe::Metric::KeptRooms, { "gang_passed" });
    m_context.m_log.Write(
      settings::LogLevel::Info,
      "gang_passed",
      { { "request", passed.m_job.Value() },
        { "step", static_cast<std::int64_t>(passed.m_step) },
        { "blocked_ms", ToMilliseconds(passed.m_blocked) } });
  }
}

void
PoolLeader::LogGivenUp(const pool::Actions& aActions)
{
  for (const pool::GivenUpRun& run : aActions.m_givenUp) {
    m_context.m_log.Write(
      settings::LogLevel::Info,
      "run_given_up",
      { { "request", run.m_task.m_job.Value() },
        { "step", static_cast<std::int64_t>(run.m_task.m_step) },
        { "task", static_cast<std::int64_t>(run.m_task.m_index) },
        { "run", static_cast<std::int64_t>(run.m_run) },
        { "worker", run.m_worker.Value() },
        { "reason", std::string(NameOf(run.m_reason)) },
        { "incarnation", run.m_incarnation },
        { "answered", run.m_answered },
        { "listed", run.m_listed },
        { "age_ms", ToMilliseconds(run.m_age) },
        { "silent_ms", ToMilliseconds(run.m_silence) },
        { "lease_left_ms", ToMilliseconds(run.m_leaseLeft) } });
  }
}

void
PoolLeader::LogSuspects(const pool::Actions& aActions)
{
  for (const pool::SuspectWorker& suspect : aActions.m_suspects) {
    const std::string_view reason = NameOf(suspect.m_reason);
    m_context.m_metrics.Add(observe::Metric::SuspectWorkers, { reason });
    m_context.m_log.Write(
      settings::LogLevel::Info,
      "worker_suspect",
      { { "worker", suspect.m_worker.Value() },
        { "reason", std::string(reason) },
        { "request", suspect.m_job.Value() },
        { "step", static_cast<std::int64_t>(suspect.m_step) },
        { "avoided_ms", ToMilliseconds(suspect.m_avoided) } });
  }
}

void
PoolLeader::LookUp(const JobId& aJob, JobSource aSource)
{
  if (m_lookUps.emplace(aJob, kFirstLookUpDelay).second) {
    ReadJob(aJob, aSource);
  }
}

void
PoolLeader::ReadJob(const JobId& aJob, JobSource aSource)
{
  LookUpJob(m_context.m_store,
            aJob,
            m_claimVersion,
            kReadTimeout,
            [weak = weak_from_this(), aJob, aSource](const JobLookUp& aResult) {
              if (const auto self = weak.lock(); self && !self->m_closed) {
                self->OnLookedUp(aJob, aSource, aResult);
              }
            });
}

void
PoolLeader::OnLookedUp(const JobId& aJob,
                       JobSource aSource,
                       const JobLookUp& aResult)
{
  if (!aResult.m_known) {
    Duration& delay = m_lookUps.at(aJob);
    m_context.m_log.Write(
      settings::LogLevel::Warn,
      "look_up_failed",
      { { "request", aJob.Value() }, { "retry_ms", ToMilliseconds(delay) } });
    After(delay, [this, aJob, aSource] { ReadJob(aJob, aSource); });
    delay = std::min(delay * 2, kLongestLookUpDelay);
    return;
  }
  m_lookUps.erase(aJob);
  if (aResult.m_job) {
    Add(*aResult.m_job, aSource);
  } else {
    m_scheduler.OnJobNotFound(net::Loop::Now(), aJob);
  }
  m_planTimer.CallSoon();
}

void
PoolLeader::OnPreviousLeaderStopped()
{
  m_scheduler.SetBarrier(net::Loop::Now() +
                         PreviousLeaseTime(m_context.m_settings));
}

void
PoolLeader::Ask(const pool::AdviceRequest& aRequest)
{
  const pool::TrackedJob* job = m_scheduler.FindJob(aRequest.m_job);
  const pool::QueueRule* queue =
    job == nullptr ? nullptr
                   : pool::FindQueue(m_scheduler.Config(), job->Spec().m_queue);
  const pool::AdviceRule rule =
    queue != nullptr && queue->m_advice ? *queue->m_advice : pool::AdviceRule{};
  const Duration cost =
    rule.m_decide + rule.m_each * static_cast<int>(aRequest.m_workers.size());
  const AdviceBalancer::Choice choice = m_advice.Choose(net::Loop::Now(), cost);
  auto done = [weak = weak_from_this(), aRequest, choice](
                const AdviceClient::Good& aPermissions) {
    const auto self = weak.lock();
    if (!self || self->m_closed) {
      return;
    }
    self->m_advice.Ended(net::Loop::Now(), choice, aPermissions.has_value());
    self->OnAdvice(aRequest, aPermissions);
  };
  if (!choice.m_address) {
    m_context.m_adviceClient.Ask(aRequest, std::move(done));
    return;
  }
  // The policy service answers the requests of one VM one after another, so a
  // request also waits for those that were sent before it.
  constexpr Duration kPeerSlack = milliseconds(4500);
  m_context.m_http.Send(
    *choice.m_address,
    MakeRequest("POST", kAdvicePath, EncodeAdviceRequest(aRequest)),
    cost + kPeerSlack,
    [done = std::move(done)](const net::HttpOutcome& aOutcome) {
      if (!aOutcome.m_response || aOutcome.m_response->m_status != 200) {
        done(std::nullopt);
        return;
      }
      done(TryDecode<std::vector<pool::Permission>>(
        [&] { return DecodePermissions(aOutcome.m_response->m_body); }));
    });
}

void
PoolLeader::OnAdvice(
  const pool::AdviceRequest& aRequest,
  const std::optional<std::vector<pool::Permission>>& aPermissions)
{
  m_context.m_log.Write(
    settings::LogLevel::Info,
    "advice",
    { { "request", aRequest.m_job.Value() },
      { "step", static_cast<std::int64_t>(aRequest.m_step) },
      { "asked", static_cast<std::int64_t>(aRequest.m_workers.size()) },
      { "good",
        aPermissions ? static_cast<std::int64_t>(aPermissions->size())
                     : -1 } });
  const Time now = net::Loop::Now();
  if (aPermissions) {
    m_scheduler.OnAdvice(now, aRequest, *aPermissions);
  } else {
    m_scheduler.OnAdviceFailed(now, aRequest);
  }
  m_planTimer.CallSoon();
}

void
PoolLeader::SetLoad(Duration aStandingLag,
                    double aAdmittedShare,
                    double aSlowdown)
{
  m_slowdown = aSlowdown;
  m_pacer.SetStandingLag(aStandingLag);
  m_leastAdmitted = std::min(m_leastAdmitted, aAdmittedShare);
  if (aStandingLag != Duration::max()) { // known
    m_longestLag = std::max(m_longestLag, aStandingLag);
    m_scheduler.SetStandingLag(aStandingLag);
    m_relays->SetStandingLag(aStandingLag);
  }
}

void
PoolLeader::LogState()
{
  constexpr double kPercent = 100;
  const Time now = net::Loop::Now();
  const Duration longestPlan = std::exchange(m_longestPlan, {});
  const Duration longestLag = std::exchange(m_longestLag, {});
  const double leastAdmitted = std::exchange(m_leastAdmitted, 1);
  const pool::PoolCounts counts = m_scheduler.Counts(now);
  m_context.m_log.Write(
    settings::LogLevel::Info,
    "pool",
    { { "term", static_cast<std::int64_t>(m_term) },
      { "workers", static_cast<std::int64_t>(counts.m_workers) },
      { "running", static_cast<std::int64_t>(counts.m_running) },
      { "waiting_tasks", static_cast<std::int64_t>(counts.m_waitingTasks) },
      { "open_jobs", static_cast<std::int64_t>(counts.m_openJobs) },
      { "used_cores", counts.m_usedMillicores / 1000 },
      { "oldest_waiting_ms", ToMilliseconds(counts.m_oldestWaiting) },
      { "longest_turn_ms", ToMilliseconds(counts.m_longestTurn) },
      { "longest_plan_ms", ToMilliseconds(longestPlan) },
      { "plan_steps", static_cast<std::int64_t>(m_pacer.Steps()) },
      { "relays", static_cast<std::int64_t>(m_relays->UsableCount()) },
      { "learned_kinds",
        static_cast<std::int64_t>(m_scheduler.Runtimes().Kinds()) },
      { "standing_lag_ms", ToMilliseconds(longestLag) },
      { "slowdown_percent", static_cast<std::int64_t>(m_slowdown * kPercent) },
      { "admitted_percent",
        static_cast<std::int64_t>(leastAdmitted * kPercent) },
      { "job_view_age_ms", ToMilliseconds(now - m_jobsKnownUntil) } });
}

} // namespace lacewing::edge
