#include "edge/Leadership.h"

#include "core/TryDecode.h"
#include "pool/JobRows.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace lacewing::edge {

namespace {

constexpr Duration kTickPeriod = milliseconds(25);
constexpr Duration kReadTimeout = milliseconds(700);
constexpr Duration kWriteTimeout = milliseconds(1200);
/// Minimum time between the sending of two transactions; rows that become
/// pending in between are written together.
constexpr Duration kWritePause = milliseconds(25);
constexpr Duration kFailedWritePause = milliseconds(120);
constexpr std::size_t kExpiredPerWrite = 30;
constexpr Duration kProbePeriod = milliseconds(250);
constexpr Duration kProbeTimeout = milliseconds(400);
/// The measured lag of the event loop falls by this fraction in each tick.
constexpr int kLagDecayTicks = 20;
/// The leader counts its waiting jobs at most this often. Every daemon of the
/// pool asks for the counts several times a second.
constexpr Duration kWaitingCountPeriod = milliseconds(200);
/// A daemon asks the leader for the counts at most this often; callers are
/// shown counts of up to 1.8 s of age.
constexpr Duration kRemoteCountPeriod = milliseconds(900);
/// The leader lists the workers to record at most this often.
constexpr Duration kRecordPeriod = milliseconds(100);
/// A connection that fails within this time was refused: no process listens on
/// the address.
constexpr Duration kRefusedWithin = milliseconds(100);
/// The learned run times are written this often; what is lost with a leader is
/// soon learned again.
constexpr Duration kRuntimesPeriod = seconds(10);
/// A leader whose last renewal is older than this reports a store failure.
constexpr Duration kStoreFailedAfter = milliseconds(1300);

/// Empty if there was no response or it cannot be decoded.
std::optional<LeaderStatus>
StatusOf(const net::HttpOutcome& aOutcome)
{
  if (!aOutcome.m_response) {
    return std::nullopt;
  }
  return TryDecode<LeaderStatus>(
    [&] { return DecodeStatus(aOutcome.m_response->m_body); });
}

/// Path of a status request that also names the new leader to the previous one.
std::string
SuccessorPath(const pool::LeaderRow& aLeader)
{
  return std::string(kStatusPath) + "?term=" + std::to_string(aLeader.m_term) +
         "&leader=" + aLeader.m_vm + "&leader_address=" + aLeader.m_address +
         "&incarnation=" + std::to_string(aLeader.m_incarnation);
}

} // namespace

Leadership::Leadership(const LeaderContext& aContext,
                       std::uint64_t aIncarnation)
  : m_context(aContext)
  , m_incarnation(aIncarnation)
  , m_election(pool::LeaderRow{ aContext.m_settings.m_vm.Value(),
                                aContext.m_settings.m_peers.ToString(),
                                aIncarnation,
                                0,
                                {} },
               {})
  , m_timer(aContext.m_loop, kTickPeriod, [this] { Advance(); })
  , m_heard(net::Loop::Now())
  , m_lagProbe(aContext.m_loop, [this](Duration aLag) { OnLoopLag(aLag); })
  , m_processorProbe(aContext.m_loop, [this](Duration aTaken) {
    m_speed.OnProbe(net::Loop::Now(), aTaken);
  })
{
}

void
Leadership::Start()
{
  m_timer.CallSoon();
  m_context.m_loop.Every(kProbePeriod, [this] {
    ProbeLeader();
    AskSeed();
    LogAdmission();
  });
}

void
Leadership::SetConfig(const pool::PoolConfig& aConfig)
{
  m_config = aConfig;
  if (m_leader) {
    m_leader->SetConfig(aConfig);
  }
}

void
Leadership::SetEvacuations(const std::set<DomainId>& aDomains)
{
  m_evacuations = aDomains;
  if (m_leader) {
    m_leader->SetEvacuations(aDomains);
  }
}

void
Leadership::SetStoreDelay(Duration aReadTime)
{
  m_election.SetClaimDelay(pool::ClaimDelay(
    aReadTime, m_context.m_settings.m_cores, m_context.m_settings.m_linkMbps));
}

std::shared_ptr<PoolLeader>
Leadership::Local() const
{
  return m_leader && m_leader->IsLoaded() ? m_leader : nullptr;
}

std::optional<net::Address>
Leadership::LeaderAddress() const
{
  if (m_election.Leader().m_address.empty() ||
      m_election.Leader().m_vm.empty()) {
    return std::nullopt;
  }
  return TryDecode<net::Address>(
    [&] { return net::ParseAddress(m_election.Leader().m_address); });
}

LeaderStatus
Leadership::OwnStatus(bool aWithCounts)
{
  LeaderStatus status;
  status.m_leads = m_election.CurrentRole() == pool::Role::Leader;
  status.m_term = m_election.Term();
  status.m_incarnation = m_incarnation;
  status.m_storeWorks =
    net::Loop::Now() < m_election.LastRenewal() + kStoreFailedAfter;
  status.m_loopLag = m_loopLag;
  // A leader that loads the jobs starts nothing yet.
  status.m_admittedShare = AdmittedShare();
  if (aWithCounts && Local()) {
    status.m_waitingJobs = WaitingJobs().m_jobs;
  }
  const pool::LeaderRow& leader = m_election.Leader();
  status.m_leader = {
    leader.m_vm, leader.m_address, leader.m_incarnation, leader.m_term, {}
  };
  return status;
}

void
Leadership::OnRelaySeen(const relay::RelayPeer& aPeer)
{
  if (m_leader) {
    m_leader->OnRelaySeen(aPeer);
  }
}

Leadership::WaitingCount
Leadership::WaitingJobs()
{
  const Time now = net::Loop::Now();
  const auto leader = Local();
  if (leader && now >= m_lastWaiting.m_at + kWaitingCountPeriod) {
    m_lastWaiting = { leader->WaitingJobs(), now };
  }
  return m_lastWaiting;
}

void
Leadership::OnLaterLeader(const pool::LeaderRow& aLeader)
{
  if (aLeader.m_term > m_election.Term()) {
    m_election.OnFenced(net::Loop::Now());
    UpdateRole();
  }
  OnLeaderReported(aLeader, "successor");
}

void
Leadership::OnLeaderReported(const pool::LeaderRow& aLeader,
                             const char* aSource)
{
  if (!m_election.OnLeaderReported(net::Loop::Now(), aLeader)) {
    return;
  }
  m_context.m_log.Write(settings::LogLevel::Info,
                        "leader_heard_of",
                        { { "leader", aLeader.m_vm },
                          { "term", static_cast<std::int64_t>(aLeader.m_term) },
                          { "source", aSource } });
  m_timer.CallSoon();
}

void
Leadership::Resign()
{
  m_stopping = true;
  if (m_leader) {
    m_context.m_log.Write(
      settings::LogLevel::Info,
      "leader_resigns",
      { { "term", static_cast<std::int64_t>(m_election.Term()) } });
    pool::RecordedWorkers workers = m_leader->WorkersToRecord();
    m_election.SetWorkers(std::move(workers.m_workers),
                          std::move(workers.m_cordoned));
    m_election.SetSettled(m_leader->IsSettled());
  }
  m_election.Resign();
  UpdateRole();
  m_timer.CallSoon();
}

void
Leadership::MeasureLoopLag()
{
  const Time now = net::Loop::Now();
  const Duration lag = std::max(Duration::zero(), now - m_tickDue);
  m_tickDue = now + kTickPeriod;
  // Falls slowly, so that one early tick does not hide that the loop is busy.
  m_loopLag = std::max(lag, m_loopLag - m_loopLag / kLagDecayTicks);
  m_election.SetLoopLag(m_loopLag);
  m_election.SetLoading(m_leader && !m_leader->IsLoaded());
}

void
Leadership::OnLoopLag(Duration aLag)
{
  const auto leader = Local();
  if (!leader) {
    m_admission = {};
    return;
  }
  const Time now = net::Loop::Now();
  m_admission.OnLag(now, aLag);
  // What holds from the moment on in which it no longer leads.
  m_heard.OnAnswer(now, m_admission.AdmittedShare());
  leader->SetLoad(
    m_admission.StandingLag(), m_admission.AdmittedShare(), m_speed.Slowdown());
}

double
Leadership::AdmittedShare() const
{
  if (Local()) {
    return m_admission.AdmittedShare();
  }
  return m_heard.AdmittedShare(net::Loop::Now());
}

void
Leadership::LogAdmission() const
{
  // Tenths, so that few lines show the course of the share.
  constexpr double kTenths = 10;
  constexpr std::int64_t kPercentsOfTenth = 10;
  const auto tenths =
    static_cast<std::int64_t>(std::ceil(AdmittedShare() * kTenths));
  m_context.m_log.WriteOnChange(
    "admission",
    std::to_string(tenths * kPercentsOfTenth),
    settings::LogLevel::Info,
    "admitted_percent",
    { { "leads", Local() != nullptr },
      { "leader_age_ms", ToMilliseconds(m_heard.Age(net::Loop::Now())) } });
}

void
Leadership::Advance()
{
  MeasureLoopLag();
  m_timer.CallBy(net::Loop::Now() + kTickPeriod);
  UpdateRole();
  // A daemon that has not read the desired state of the pool yet cannot lead.
  if (m_writing || m_config.m_version == 0) {
    return;
  }
  const Time now = net::Loop::Now();
  if (m_leader && m_leader->IsLoaded() && now >= m_nextRecord) {
    m_nextRecord = now + kRecordPeriod;
    pool::RecordedWorkers workers = m_leader->WorkersToRecord();
    // Both lists are sorted. A recorded worker that is no longer needed can
    // stay until the next regular renewal; a worker that is not recorded gets
    // no tasks, so the row is renewed early.
    if (!std::ranges::includes(m_election.Leader().m_workers,
                               workers.m_workers)) {
      m_election.RenewSoon();
    }
    m_election.SetWorkers(std::move(workers.m_workers),
                          std::move(workers.m_cordoned));
    m_election.SetSettled(m_leader->IsSettled());
    // A write with unknown outcome may still be applied and record other
    // workers.
    if (!m_renewFirst) {
      m_leader->OnRecorded(m_election.Leader().m_workers);
    }
  }
  const pool::ElectionAction action = m_election.OnTick(now);
  switch (action.m_step) {
    case pool::ElectionStep::ReadRow:
      ReadRow();
      return;
    case pool::ElectionStep::Claim:
      m_previousLeader = m_election.Leader();
      m_previousVersion = action.m_expected;
      Write(action);
      return;
    case pool::ElectionStep::Renew:
      Write(action);
      return;
    case pool::ElectionStep::None:
      break;
  }
  const bool unsaved = Local() && (m_leader->Scheduler().HasUnsaved() ||
                                   m_leader->Expiry().HasProgressKeys());
  if (unsaved && !m_renewFirst && m_election.MaySendCommands(now) &&
      now >= m_nextWrite) {
    WriteRows();
  }
}

void
Leadership::OnRowRead(std::uint64_t aEnded, RowVersion aVersion)
{
  if (!m_firstReadVersion) {
    m_firstReadVersion = aVersion;
  }
  if (aEnded != 0 && m_lastSeenByEnded.first != aEnded) {
    m_lastSeenByEnded = { aEnded, aVersion };
  }
}

std::optional<RowVersion>
Leadership::UnseenAfter() const
{
  const bool settled =
    m_previousLeader.m_settled || m_previousLeader.m_term == 0;
  if (!settled) {
    return std::nullopt; // one before it may still go on
  }
  if (m_previousLeader.m_vm.empty()) {
    return m_previousVersion; // it has resigned with this row
  }
  if (m_previousLeader.m_vm == m_context.m_settings.m_vm.Value() &&
      m_previousLeader.m_incarnation != m_incarnation) {
    // It ended before this process began.
    return m_firstReadVersion;
  }
  if (m_lastSeenByEnded.first == m_previousLeader.m_incarnation) {
    return m_lastSeenByEnded.second;
  }
  return std::nullopt;
}

void
Leadership::ReadRow()
{
  const Time sentAt = net::Loop::Now();
  m_context.m_store.ReadRow(
    pool::LeaderKey(),
    kReadTimeout,
    [this, sentAt, ended = m_endedLeader](const platform::PageResult& aPage) {
      const Time now = net::Loop::Now();
      m_election.SetReadTime(now - sentAt);
      if (!aPage.m_read.m_ok) {
        m_election.OnReadFailed(now);
        return;
      }
      OnRowRead(ended, aPage.m_version);
      std::optional<pool::LeaderRow> row;
      RowVersion version = 0;
      for (const auto& item : aPage.m_read.m_rows) {
        version = item.second.m_version;
        row = TryDecode<pool::LeaderRow>(
          [&] { return pool::DecodeLeader(item.second.m_value); });
      }
      if (version != 0 && !row) {
        // A claim over a row that cannot be read could have too low a term.
        m_election.OnReadFailed(now);
        return;
      }
      m_election.OnRow(now, row, version);
      UpdateRole();
      m_timer.CallSoon();
    });
}

void
Leadership::AddRows(table::Commit& aCommit, RowBatch& aRows)
{
  if (!Local()) {
    return;
  }
  aRows.m_saves = m_leader->Scheduler().TakeUnsaved(m_batchLimit.Rows(),
                                                    RowBatchLimit::kMostBytes);
  aRows.m_expired = m_leader->Expiry().TakeProgressKeys(kExpiredPerWrite);
  aCommit.m_deletes = aRows.m_expired;
  const Time now = net::Loop::Now();
  if (now >= m_nextRuntimes && m_leader->Scheduler().Runtimes().Kinds() > 0) {
    m_nextRuntimes = now + kRuntimesPeriod;
    aCommit.m_puts.push_back(
      { pool::RuntimesKey(), m_leader->Scheduler().Runtimes().Encode() });
  }
  for (const auto& row : aRows.m_saves) {
    aCommit.m_puts.push_back({ pool::ProgressKey(row.m_job), row.m_row });
  }
}

void
Leadership::Write(const pool::ElectionAction& aAction)
{
  table::Commit commit;
  commit.m_checks = { { pool::LeaderKey(), aAction.m_expected } };
  commit.m_puts = { { pool::LeaderKey(), pool::EncodeLeader(aAction.m_row) } };
  RowBatch rows;
  if (aAction.m_step == pool::ElectionStep::Renew &&
      m_batchLimit.MayJoinRenewal()) {
    AddRows(commit, rows);
  }
  m_writing = true;
  m_nextWrite = net::Loop::Now() + kWritePause;
  m_context.m_store.Submit(commit,
                           kWriteTimeout,
                           [this, aAction, rows = std::move(rows)](
                             const table::CommitResult& aResult) {
                             OnWritten(aAction, rows, aResult);
                           });
}

void
Leadership::WriteRows()
{
  table::Commit commit;
  commit.m_checks = { { pool::LeaderKey(), m_election.Version() } };
  RowBatch rows;
  AddRows(commit, rows);
  m_writing = true;
  m_nextWrite = net::Loop::Now() + kWritePause;
  m_context.m_store.Submit(
    commit,
    kWriteTimeout,
    [this, rows = std::move(rows)](const table::CommitResult& aResult) {
      OnWritten({}, rows, aResult);
    });
}

void
Leadership::OnWritten(const pool::ElectionAction& aAction,
                      const RowBatch& aRows,
                      const table::CommitResult& aResult)
{
  m_writing = false;
  const Time now = net::Loop::Now();
  const bool committed = aResult.m_state == table::CommitState::Committed;
  if (committed) {
    m_batchLimit.OnStored(aRows.m_saves.size());
  } else {
    m_nextWrite = now + kFailedWritePause;
    m_batchLimit.OnFailed(aRows.m_saves.size(), aResult.m_isRefused);
  }
  if (aResult.m_isRefused) {
    LogRefusedRows(aRows);
  }
  m_context.m_metrics.Add(observe::Metric::TableWrites, { "leader" });
  if (m_leader) {
    if (!committed) {
      m_leader->Expiry().PutBack(aRows.m_expired);
    }
    for (const auto& row : aRows.m_saves) {
      if (!committed) {
        m_leader->Scheduler().OnSaveFailed(row);
        continue;
      }
      m_leader->OnStored(now, row);
      if (pool::IsFinal(row.m_progress.m_state)) {
        m_context.m_log.Write(
          settings::LogLevel::Info,
          "job_ended",
          { { "request", row.m_job.Value() },
            { "state", std::string(NameOf(row.m_progress.m_state)) },
            { "row_version", static_cast<std::int64_t>(aResult.m_version) } });
      }
    }
  }
  const bool wroteLeader = aAction.m_step != pool::ElectionStep::None;
  switch (aResult.m_state) {
    case table::CommitState::Committed:
      if (wroteLeader) {
        m_renewFirst = false;
        m_election.OnWritten(now, aAction.m_row, aResult.m_version);
        UpdateRole();
      }
      break;
    case table::CommitState::Conflict:
      m_election.OnConflict(now);
      break;
    case table::CommitState::NotApplied:
      if (wroteLeader) {
        m_election.OnWriteFailed(now);
      }
      break;
    case table::CommitState::Unknown:
      m_renewFirst = true;
      if (wroteLeader) {
        m_election.OnWriteFailed(now);
      } else {
        m_election.RenewSoon();
      }
      break;
  }
  m_context.m_log.WriteOnChange(
    "leader writes",
    committed ? "stored" : "not stored",
    settings::LogLevel::Info,
    "dependency",
    { { "outcome", std::string(NameOf(aResult.m_state)) } });
  m_timer.CallSoon();
}

void
Leadership::LogRefusedRows(const RowBatch& aRows)
{
  std::size_t bytes = 0;
  for (const auto& row : aRows.m_saves) {
    bytes += row.m_row.size();
  }
  m_context.m_metrics.Add(observe::Metric::TableErrors, { "refused" });
  m_context.m_log.Write(
    settings::LogLevel::Warn,
    "rows_refused",
    { { "rows", static_cast<std::int64_t>(aRows.m_saves.size()) },
      { "bytes", static_cast<std::int64_t>(bytes) },
      { "first",
        aRows.m_saves.empty() ? "" : aRows.m_saves.front().m_job.Value() } });
}

void
Leadership::UpdateRole()
{
  const bool leads = m_election.CurrentRole() == pool::Role::Leader;
  if (leads == (m_leader != nullptr)) {
    return;
  }
  m_context.m_log.Write(
    settings::LogLevel::Info,
    leads ? "leader_begins" : "leader_ends",
    { { "term", static_cast<std::int64_t>(m_election.Term()) },
      { "row_version", static_cast<std::int64_t>(m_election.Version()) } });
  if (!leads) {
    m_leader->Close();
    m_leader.reset();
    return;
  }
  LeaderHooks hooks;
  hooks.m_onFenced = [this] { m_election.OnFenced(net::Loop::Now()); };
  hooks.m_maySendCommands = [this] {
    return m_election.MaySendCommands(net::Loop::Now());
  };
  hooks.m_onUnsaved = [this] { m_timer.CallSoon(); };
  m_leader = std::make_shared<PoolLeader>(m_context,
                                          std::move(hooks),
                                          m_election.Leader(),
                                          m_election.Version(),
                                          m_config,
                                          UnseenAfter());
  m_leader->SetEvacuations(m_evacuations);
  m_leader->Start();
  if (m_previousLeader.m_vm.empty() ||
      m_previousLeader.m_vm == m_context.m_settings.m_vm.Value()) {
    OnPreviousLeaderStopped();
  } else {
    ProbePreviousLeader();
  }
}

void
Leadership::OnPreviousLeaderStopped()
{
  // A leader before the previous one may still go on, unless the previous one
  // had waited for its end.
  const bool settled =
    m_previousLeader.m_settled || m_previousLeader.m_term == 0;
  m_context.m_log.Write(
    settings::LogLevel::Info,
    "previous_leader_stopped",
    { { "leader", m_previousLeader.m_vm },
      { "term", static_cast<std::int64_t>(m_previousLeader.m_term) },
      { "settled", settled } });
  if (settled) {
    m_leader->OnPreviousLeaderStopped();
  }
}

void
Leadership::ProbePreviousLeader()
{
  const auto address = TryDecode<net::Address>(
    [&] { return net::ParseAddress(m_previousLeader.m_address); });
  if (!address || !m_leader) {
    return;
  }
  m_context.m_http.Send(*address,
                        MakeRequest("GET", SuccessorPath(m_election.Leader())),
                        kProbeTimeout,
                        [this, leader = std::weak_ptr<PoolLeader>(m_leader)](
                          const net::HttpOutcome& aOutcome) {
                          const auto present = leader.lock();
                          if (!present || present != m_leader) {
                            return;
                          }
                          if (ShowsNoLeader(aOutcome)) {
                            OnPreviousLeaderStopped();
                            return;
                          }
                          m_context.m_loop.After(kProbePeriod, [this, leader] {
                            if (leader.lock() == m_leader) {
                              ProbePreviousLeader();
                            }
                          });
                        });
}

void
Leadership::ProbeLeader()
{
  const auto address = LeaderAddress();
  if (m_probePending || !address ||
      m_election.CurrentRole() == pool::Role::Leader) {
    return;
  }
  m_probePending = true;
  const Time sentAt = net::Loop::Now();
  std::string path = std::string(kStatusPath) +
                     "?vm=" + m_context.m_settings.m_vm.Value() +
                     "&address=" + m_context.m_settings.m_peers.ToString();
  if (!m_stopping) {
    path += RelayOffer(m_context.m_settings);
  }
  if (sentAt >= m_lastWaiting.m_at + kRemoteCountPeriod) {
    path += std::string("&") + kCountsQuery + "=1";
  }
  const std::uint64_t incarnation = m_election.Leader().m_incarnation;
  m_context.m_http.Send(
    *address,
    MakeRequest("GET", path),
    kProbeTimeout,
    [this, sentAt, incarnation](const net::HttpOutcome& aOutcome) {
      m_probePending = false;
      OnStatus(sentAt, incarnation, aOutcome);
    });
}

void
Leadership::AskSeed()
{
  const auto& seeds = m_context.m_settings.m_seeds;
  const bool leaderUnconfirmed =
    m_election.CurrentRole() != pool::Role::Leader &&
    m_election.Contact() != pool::LeaderProbeResult::Leads;
  if (!leaderUnconfirmed || seeds.empty()) {
    return;
  }
  const net::Address& seed = seeds[m_nextSeed++ % seeds.size()];
  if (seed == m_context.m_settings.m_peers) {
    return;
  }
  m_context.m_http.Send(seed,
                        MakeRequest("GET", kStatusPath),
                        kProbeTimeout,
                        [this](const net::HttpOutcome& aOutcome) {
                          if (const auto status = StatusOf(aOutcome)) {
                            OnLeaderReported(status->m_leader, "seed");
                          }
                        });
}

void
Leadership::OnStatus(Time aSentAt,
                     std::uint64_t aIncarnation,
                     const net::HttpOutcome& aOutcome)
{
  using pool::LeaderProbeResult;
  const Time now = net::Loop::Now();
  if (aIncarnation != m_election.Leader().m_incarnation) {
    return; // the known leader has changed since the probe was sent
  }
  LeaderProbeResult probeResult = LeaderProbeResult::Unreachable;
  const auto status = StatusOf(aOutcome);
  if (aOutcome.m_response) {
    if (status && status->m_incarnation != aIncarnation) {
      probeResult = LeaderProbeResult::Ended;
      m_endedLeader = aIncarnation;
    } else if (!status || !status->m_leads ||
               status->m_term < m_election.Term()) {
      probeResult = LeaderProbeResult::Unsettled;
    } else {
      probeResult = status->m_storeWorks ? LeaderProbeResult::Leads
                                         : LeaderProbeResult::StoreFailed;
      m_leaderLag = status->m_loopLag;
      m_heard.OnAnswer(now, status->m_admittedShare);
      if (status->m_waitingJobs) {
        m_lastWaiting = { *status->m_waitingJobs, now };
      }
    }
  } else if (aOutcome.m_error.m_verdict == Verdict::NotRun &&
             now < aSentAt + kRefusedWithin) {
    probeResult = LeaderProbeResult::Ended;
  }
  m_context.m_log.WriteOnChange(
    "leader",
    std::string(NameOf(probeResult)),
    settings::LogLevel::Info,
    "dependency",
    { { "leader", m_election.Leader().m_vm },
      { "term", static_cast<std::int64_t>(m_election.Term()) } });
  m_election.OnLeaderProbed(now, aIncarnation, probeResult);
  if (status) {
    OnLeaderReported(status->m_leader, "former leader");
  }
  if (probeResult != LeaderProbeResult::Leads) {
    m_timer.CallSoon();
  }
}

} // namespace lacewing::edge
