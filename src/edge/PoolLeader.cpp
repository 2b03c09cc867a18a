#include "edge/PoolLeader.h"

#include "core/TryDecode.h"
#include "edge/JobFinder.h"
#include "platform/Documents.h"
#include "pool/JobRows.h"

#include <algorithm>

namespace lacewing::edge {

namespace {

constexpr Duration kReadTimeout = milliseconds(1000);
constexpr Duration kRetryPause = milliseconds(100);
/// Daemons send new jobs to the leader at once; the watch of the job table
/// finds jobs whose message was lost.
constexpr Duration kJobWatchPeriod = milliseconds(1000);
/// Shorter for a while after a change of leader, since fronts still send new
/// jobs to the previous one.
constexpr Duration kFrequentJobWatchPeriod = milliseconds(150);
constexpr Duration kFrequentWatchTime = seconds(3);
/// Upper bound on the delay before a draining worker is noticed.
constexpr Duration kWorkerWatchPeriod = milliseconds(400);
/// Minimum time between two plans.
constexpr Duration kPlanPeriod = milliseconds(8);
/// The next plan starts no earlier than this multiple of the last plan's
/// duration, so that large plans leave processor time for workers' responses.
constexpr int kPlanSpacingFactor = 5;
/// Plans are made at least this often, to act on expired leases and tickets.
constexpr Duration kIdlePlanPeriod = milliseconds(100);
/// Longest time that the previous leader may go on sending commands after it
/// lost its row, and the longest lease as measured by a slow clock.
constexpr Duration kPreviousCommandTime = seconds(5);
constexpr Duration kPreviousLeaseTime = milliseconds(5200);
constexpr Duration kExpiryPeriod = seconds(2);
/// Ended jobs are kept longer than the status retention by this factor.
constexpr double kRetentionMargin = 1.5;
/// Upper bound for a job's age computed from wall clocks.
constexpr std::int64_t kMaxAgeMs = 600'000;

std::set<pool::WorkerId>
ToWorkerIds(const std::vector<std::string>& aNames)
{
  std::set<pool::WorkerId> result;
  for (const std::string& name : aNames) {
    result.insert(pool::WorkerId(name));
  }
  return result;
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
                       std::uint64_t aTerm,
                       const std::vector<std::string>& aPreviousWorkers,
                       const pool::PoolConfig& aConfig)
  : m_context(aContext)
  , m_hooks(std::move(aHooks))
  , m_term(aTerm)
  , m_scheduler(net::Loop::Now(),
                aTerm,
                ToWorkerIds(aPreviousWorkers),
                net::Loop::Now() + kPreviousCommandTime + kPreviousLeaseTime)
  , m_advice(aContext.m_settings.m_vm)
  , m_expiry(std::make_shared<JobExpiry>(aContext.m_store))
  , m_planTimer(aContext.m_loop, kPlanPeriod, [this] { Plan(); })
  , m_previousWorkers(aPreviousWorkers)
{
  m_scheduler.SetConfig(net::Loop::Now(), aConfig);
  m_scheduler.SetLongestLease(aContext.m_settings.m_leaseMax);
}

void
PoolLeader::Start()
{
  WorkerLinkHooks hooks;
  hooks.m_onChange = [this] { m_planTimer.CallSoon(); };
  hooks.m_onFenced = m_hooks.m_onFenced;
  hooks.m_maySendCommands = m_hooks.m_maySendCommands;
  m_links = std::make_shared<WorkerLinks>(m_context.m_loop,
                                          m_context.m_workers,
                                          m_context.m_log,
                                          m_context.m_metrics,
                                          m_scheduler,
                                          m_term,
                                          std::move(hooks));
  constexpr int kOtherReads = 2;
  m_partsToLoad = pool::kJobParts + kOtherReads;
  LoadJobs();
  LoadProgress();
  LoadWorkers();
}

void
PoolLeader::Close()
{
  m_closed = true;
  if (m_links) {
    m_links->Close();
  }
}

void
PoolLeader::After(Duration aDelay, Guarded aFunction)
{
  m_context.m_loop.After(
    aDelay, [weak = weak_from_this(), function = std::move(aFunction)] {
      if (const auto self = weak.lock(); self && !self->m_closed) {
        function();
      }
    });
}

void
PoolLeader::Scan(const std::string& aPrefix,
                 const std::string& aAfter,
                 const OnPage& aOnPage,
                 const Guarded& aOnDone)
{
  m_context.m_store.ReadPage(
    aPrefix,
    aAfter,
    kReadTimeout,
    [weak = weak_from_this(), aPrefix, aAfter, aOnPage, aOnDone](
      const platform::PageResult& aPage) {
      const auto self = weak.lock();
      if (!self || self->m_closed) {
        return;
      }
      if (!aPage.m_read.m_ok) {
        self->After(kRetryPause,
                    [self = self.get(), aPrefix, aAfter, aOnPage, aOnDone] {
                      self->Scan(aPrefix, aAfter, aOnPage, aOnDone);
                    });
        return;
      }
      aOnPage(aPage, aAfter.empty());
      if (aPage.m_read.m_more && !aPage.m_read.m_rows.empty()) {
        self->Scan(
          aPrefix, aPage.m_read.m_rows.rbegin()->first, aOnPage, aOnDone);
      } else {
        aOnDone();
      }
    });
}

void
PoolLeader::LoadJobs()
{
  m_jobsAfter = 0;
  const auto applyPage = [this](const platform::PageResult& aPage, bool) {
    // The watch starts at the oldest page's version and reads later changes
    // again.
    if (m_jobsAfter == 0 || aPage.m_version < m_jobsAfter) {
      m_jobsAfter = aPage.m_version;
    }
    for (const auto& [key, row] : aPage.m_read.m_rows) {
      const pool::JobRowKey parsed = pool::ParseJobRowKey(key);
      if (parsed.m_cancellation) {
        m_loadedCancellations.insert(parsed.m_job);
      } else {
        m_loadedJobs[parsed.m_job] = row.m_value;
      }
    }
  };
  for (int part = 0; part < pool::kJobParts; ++part) {
    ++m_openScans;
    Scan(pool::JobPartPrefix(part), {}, applyPage, [this] {
      --m_openScans;
      OnPartLoaded();
    });
  }
}

void
PoolLeader::LoadProgress()
{
  const auto applyPage = [this](const platform::PageResult& aPage, bool) {
    for (const auto& [key, row] : aPage.m_read.m_rows) {
      m_loadedProgress[pool::ParseJobRowKey(key).m_job] = row.m_value;
    }
  };
  ++m_openScans;
  Scan(pool::ProgressPrefix(), {}, applyPage, [this] {
    --m_openScans;
    OnPartLoaded();
  });
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
  ++m_openScans;
  Scan(platform::kWorkerPrefix, {}, applyPage, [this] {
    --m_openScans;
    UpdateWorkers();
    WatchWorkers();
    if (!m_loaded) {
      OnPartLoaded();
    }
  });
}

void
PoolLeader::OnPartLoaded()
{
  if (--m_partsToLoad > 0) {
    return;
  }
  AddLoadedJobs();
  m_loaded = true;
  m_loadedAt = net::Loop::Now();
  m_scheduler.OnLoaded(m_loadedAt);
  m_context.m_log.Write(
    settings::LogLevel::Info,
    "leader_loaded",
    { { "term", static_cast<std::int64_t>(m_term) },
      { "jobs", static_cast<std::int64_t>(m_loadedJobs.size()) },
      { "progress_rows", static_cast<std::int64_t>(m_loadedProgress.size()) },
      { "jobs_version", static_cast<std::int64_t>(m_jobsAfter) },
      { "workers", static_cast<std::int64_t>(m_directory.size()) },
      { "workers_version", static_cast<std::int64_t>(m_workersAfter) },
      { "open_reads", static_cast<std::int64_t>(m_openScans) },
      { "previous_workers",
        static_cast<std::int64_t>(m_previousWorkers.size()) } });
  m_loadedJobs.clear();
  m_loadedProgress.clear();
  m_loadedCancellations.clear();
  m_hooks.m_onUnsaved();
  m_links->Update();
  WatchJobs();
  if (!m_expiryStarted) {
    m_expiryStarted = true;
    ExpireJobs();
  }
  m_planTimer.CallSoon();
}

void
PoolLeader::ExpireJobs()
{
  const Duration kept =
    Scale(m_context.m_settings.m_statusRetention, kRetentionMargin);
  m_expiry->Expire(m_scheduler.ForgetEnded(net::Loop::Now() - kept));
  if (m_expiry->HasProgressKeys()) {
    m_hooks.m_onUnsaved();
  }
  After(kExpiryPeriod, [this] { ExpireJobs(); });
}

void
PoolLeader::AddLoadedJobs()
{
  for (const auto& item : m_loadedJobs) {
    const JobId& id = item.first;
    const auto job =
      TryDecode<pool::Job>([&] { return pool::DecodeJob(id, item.second); });
    if (!job) {
      m_context.m_log.Write(settings::LogLevel::Error,
                            "job_row_unreadable",
                            { { "request", id.Value() } });
      continue;
    }
    std::optional<pool::JobProgress> progress = pool::JobProgress();
    if (const auto it = m_loadedProgress.find(id);
        it != m_loadedProgress.end()) {
      progress = TryDecode<pool::JobProgress>(
        [&] { return pool::DecodeProgress(it->second); });
    }
    if (!progress) {
      // Without its progress a job could run finished tasks again.
      m_context.m_log.Write(settings::LogLevel::Error,
                            "progress_row_unreadable",
                            { { "request", id.Value() } });
      continue;
    }
    Add(*job, *progress, m_loaded ? JobSource::Reload : JobSource::Load);
  }
  for (const JobId& id : m_loadedCancellations) {
    m_scheduler.CancelJob(net::Loop::Now(), id);
  }
}

void
PoolLeader::Add(const pool::Job& aJob,
                const pool::JobProgress& aProgress,
                JobSource aSource)
{
  if (m_scheduler.FindJob(aJob.m_id) != nullptr) {
    return;
  }
  m_context.m_log.Write(
    settings::LogLevel::Info,
    "job_added",
    { { "request", aJob.m_id.Value() },
      { "term", static_cast<std::int64_t>(m_term) },
      { "source", std::string(NameOf(aSource)) },
      { "state", std::string(NameOf(aProgress.m_state)) },
      { "stored_tasks",
        static_cast<std::int64_t>(aProgress.m_tasks.size()) } });
  const bool loaded = aSource == JobSource::Load ||
                      aSource == JobSource::Reload ||
                      aSource == JobSource::LookUp;
  const std::int64_t age = std::clamp<std::int64_t>(
    UnixMilliseconds() - aJob.m_acceptedUnixMs, 0, kMaxAgeMs);
  m_scheduler.AddJob(
    net::Loop::Now(), aJob, milliseconds(age), aProgress, loaded);
}

void
PoolLeader::AddJob(const pool::Job& aJob, JobSource aSource)
{
  if (!m_loaded || m_scheduler.FindJob(aJob.m_id) != nullptr) {
    return; // known, or found by the load or the watch
  }
  Add(aJob, {}, aSource);
  m_planTimer.CallSoon();
}

void
PoolLeader::CancelJob(const JobId& aJob)
{
  if (m_scheduler.CancelJob(net::Loop::Now(), aJob)) {
    m_planTimer.CallSoon();
    m_hooks.m_onUnsaved();
  }
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
PoolLeader::WatchJobs()
{
  m_context.m_store.ReadChanges(
    pool::kJobTable,
    m_jobsAfter,
    Duration::zero(),
    kReadTimeout,
    [weak = weak_from_this()](const platform::Changes& aChanges) {
      const auto self = weak.lock();
      if (!self || self->m_closed) {
        return;
      }
      for (const platform::ChangedRow& change : aChanges.m_rows) {
        if (!change.m_deleted) {
          self->ApplyJobRow(change.m_key, change.m_row.m_value);
        }
      }
      self->m_jobsAfter = std::max(self->m_jobsAfter, aChanges.m_version);
      if (aChanges.m_historyTruncated) {
        self->m_partsToLoad = pool::kJobParts;
        self->LoadJobs();
        return; // the watch restarts when the load ends
      }
      const bool first =
        net::Loop::Now() < self->m_loadedAt + kFrequentWatchTime;
      self->After(first ? kFrequentJobWatchPeriod : kJobWatchPeriod,
                  [self = self.get()] { self->WatchJobs(); });
    });
}

void
PoolLeader::ApplyJobRow(const std::string& aKey, const std::string& aValue)
{
  const pool::JobRowKey key = pool::ParseJobRowKey(aKey);
  if (key.m_cancellation) {
    CancelJob(key.m_job);
    return;
  }
  if (m_scheduler.FindJob(key.m_job) != nullptr) {
    return;
  }
  if (const auto job = TryDecode<pool::Job>(
        [&] { return pool::DecodeJob(key.m_job, aValue); })) {
    AddJob(*job, JobSource::Watch);
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
PoolLeader::UpdateWorkers()
{
  const Time now = net::Loop::Now();
  m_scheduler.SetWorkers(now, m_directory.Workers(now));
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
PoolLeader::OnPeerStatusRequest(const VmId& aVm, const net::Address& aAddress)
{
  m_advice.OnPeerSeen(net::Loop::Now(), aVm, aAddress);
}

std::vector<std::string>
PoolLeader::WorkersToRecord()
{
  std::set<std::string> names;
  for (const pool::WorkerId& worker :
       m_scheduler.ListWorkersToRecord(net::Loop::Now())) {
    names.insert(worker.Value());
  }
  return { names.begin(), names.end() };
}

void
PoolLeader::OnRecorded(const std::vector<std::string>& aWorkers)
{
  std::vector<pool::WorkerId> workers;
  workers.reserve(aWorkers.size());
  for (const std::string& name : aWorkers) {
    workers.emplace_back(name);
  }
  m_scheduler.SetRecordedWorkers(workers);
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
  if (begin < m_nextPlan) {
    m_planTimer.CallBy(m_nextPlan);
    return;
  }
  const pool::Actions actions = m_scheduler.Plan(begin);
  const Duration taken = net::Loop::Now() - begin;
  m_nextPlan = begin + taken * kPlanSpacingFactor;
  m_longestPlan = std::max(m_longestPlan, taken);
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
    LookUp(job);
  }
  if (m_scheduler.HasUnsaved()) {
    m_hooks.m_onUnsaved();
  }
  m_planTimer.CallBy(net::Loop::Now() + kIdlePlanPeriod);
}

void
PoolLeader::LookUp(const JobId& aJob)
{
  FindJobRow(m_context.m_store,
             aJob,
             kReadTimeout,
             [weak = weak_from_this(), aJob](const FoundJob& aFound) {
               const auto self = weak.lock();
               if (!self || self->m_closed || !aFound.m_known) {
                 return; // looked up again when the worker reports the run
               }
               if (aFound.m_job) {
                 self->Add(*aFound.m_job, {}, JobSource::LookUp);
               } else {
                 self->m_scheduler.OnJobNotFound(net::Loop::Now(), aJob);
               }
               self->m_planTimer.CallSoon();
             });
}

void
PoolLeader::OnPreviousLeaderStopped()
{
  m_scheduler.SetBarrier(net::Loop::Now() + kPreviousLeaseTime);
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
PoolLeader::LogState()
{
  const Duration longestPlan = std::exchange(m_longestPlan, {});
  const pool::PoolCounts counts = m_scheduler.Counts(net::Loop::Now());
  m_context.m_log.Write(
    settings::LogLevel::Info,
    "pool",
    { { "term", static_cast<std::int64_t>(m_term) },
      { "workers", static_cast<std::int64_t>(counts.m_workers) },
      { "running", static_cast<std::int64_t>(counts.m_running) },
      { "waiting_tasks", static_cast<std::int64_t>(counts.m_waitingTasks) },
      { "open_jobs", static_cast<std::int64_t>(counts.m_openJobs) },
      { "used_cores", counts.m_usedMillicores / 1000 },
      { "longest_plan_ms", ToMilliseconds(longestPlan) } });
}

} // namespace lacewing::edge
