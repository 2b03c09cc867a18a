#include "edge/CallerFront.h"

#include "core/TryDecode.h"
#include "edge/WritePlan.h"
#include "platform/Documents.h"
#include "pool/JobRows.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace lacewing::edge {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kGone = 410;
constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

constexpr std::size_t kJobIdLength = 16;
/// Deadline of a call that does not specify one.
constexpr Duration kDefaultDeadline = seconds(3);
constexpr Duration kMaxDeadline = seconds(30);
/// Subtracted from the caller's deadline for the transfer of the response.
constexpr Duration kResponseMargin = milliseconds(20);
constexpr Duration kRetryDelay = milliseconds(60);
/// Reads of a job's row at both locations, one after the other.
constexpr int kReadsToFindJob = 2;
/// Callers may be shown what any read of the store returns.
constexpr RowVersion kAnyVersion = 0;
/// Stands for the version of a row that is only known to exist.
constexpr RowVersion kUnknownVersion = 0;
constexpr Duration kLeaderTimeout = milliseconds(500);
/// Greatest age of the leader's count of waiting jobs that is still reported.
constexpr Duration kMaxWaitingCountAge = milliseconds(1800);

/// The leader does not keep up with the jobs that are accepted.
constexpr std::string_view kOverloaded = "overloaded";

bool
IsJobId(std::string_view aText)
{
  return aText.size() == kJobIdLength &&
         std::ranges::all_of(aText, [](char aLetter) {
           return (aLetter >= '0' && aLetter <= '9') ||
                  (aLetter >= 'a' && aLetter <= 'f') ||
                  (aLetter >= 'A' && aLetter <= 'F');
         });
}

Duration
DeadlineOf(const net::HttpRequest& aRequest)
{
  const std::string text = aRequest.Header(platform::kDeadlineHeader);
  std::int64_t value = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || value <= 0) {
    return kDefaultDeadline;
  }
  return std::min<Duration>(milliseconds(value), kMaxDeadline);
}

std::string_view
KeyOf(std::string_view aAuthorization)
{
  constexpr std::string_view kScheme = "Bearer ";
  return aAuthorization.starts_with(kScheme)
           ? aAuthorization.substr(kScheme.size())
           : std::string_view();
}

/// How long the leader may wait for the end of a job, of the time that is left
/// for its answer.
Duration
EndWait(Duration aTimeLeft)
{
  return std::min(kLongestEndWait, aTimeLeft / 2);
}

} // namespace

CallerFront::CallerFront(const LeaderContext& aContext,
                         ConfigWatch& aConfig,
                         Leadership& aLeadership)
  : m_context(aContext)
  , m_config(aConfig)
  , m_leadership(aLeadership)
{
}

Duration
CallerFront::TimeLeft(const Call& aCall) const
{
  return aCall.m_deadline - net::Loop::Now();
}

std::optional<Time>
CallerFront::StoreDownSince() const
{
  return m_context.m_storeHealth.DownSince(pool::kJobTable);
}

bool
CallerFront::HasTimeToRetry(const Call& aCall) const
{
  return HasTimeForAttempt(TimeLeft(aCall) - kRetryDelay);
}

void
CallerFront::Finish(const Call& aCall,
                    int aStatus,
                    std::string_view aOutcome,
                    std::string aBody)
{
  const double taken =
    std::chrono::duration<double>(net::Loop::Now() - aCall.m_received).count();
  const bool goneAsAsked = aStatus == kGone && aCall.m_method != "POST";
  const bool failed = aStatus >= kBadRequest && !goneAsAsked;
  m_context.m_metrics.Add(observe::Metric::Requests,
                          { aStatus == kGatewayTimeout ? "may_have_run"
                            : failed                   ? "not_run"
                                                       : "ran",
                            failed ? aOutcome : "none" });
  m_context.m_metrics.Observe(
    observe::Metric::WaitingSeconds, taken, { aCall.m_method });
  m_context.m_log.Write(
    settings::LogLevel::Info,
    "call",
    { { "request", aCall.m_job.Value() },
      { "method", aCall.m_method },
      { "queue", aCall.m_queue.Value() },
      { "team", aCall.m_team.Value() },
      { "status", static_cast<std::int64_t>(aStatus) },
      { "outcome", std::string(aOutcome) },
      { "config", static_cast<std::int64_t>(m_config.Config().m_version) },
      { "ms", ToMilliseconds(net::Loop::Now() - aCall.m_received) } });
  net::HttpResponse response = net::JsonResponse(aStatus, std::move(aBody));
  if (aStatus == kUnavailable) {
    const seconds delay =
      aOutcome == kOverloaded
        ? RetryAfter(
            pool::TimeToAdmission(aCall.m_job, m_leadership.AdmittedShare()),
            aCall.m_job)
        : RetryAfter(net::Loop::Now(), StoreDownSince(), aCall.m_job);
    response.m_headers["Retry-After"] = std::to_string(delay.count());
  }
  aCall.m_reply(response);
}

void
CallerFront::Refuse(const Call& aCall, int aStatus, std::string_view aReason)
{
  const nlohmann::json body = {
    { "verdict", aStatus == kGatewayTimeout ? "may_have_run" : "not_run" },
    { "error", aReason },
  };
  Finish(aCall, aStatus, aReason, body.dump());
}

void
CallerFront::RefuseWrite(const Call& aCall, bool aInDoubt)
{
  Refuse(aCall,
         aInDoubt ? kGatewayTimeout : kUnavailable,
         aInDoubt ? "store_silent" : "store_refuses");
}

void
CallerFront::Handle(const net::HttpRequest& aRequest,
                    const net::HttpReply& aReply)
{
  Call call;
  call.m_received = net::Loop::Now();
  call.m_deadline = call.m_received + DeadlineOf(aRequest) - kResponseMargin;
  call.m_method = aRequest.m_method;
  call.m_reply = aReply;
  if (!m_config.HasConfig()) {
    Refuse(call, kUnavailable, "no_config");
    return;
  }
  const pool::PoolConfig& config = m_config.Config();
  const pool::QueueRule* queue =
    pool::FindQueue(config, aRequest.Header("Host"), aRequest.m_path);
  if (queue == nullptr) {
    Refuse(call, kNotFound, "no_queue");
    return;
  }
  call.m_queue = queue->m_id;
  call.m_public = queue->m_public;
  if (!queue->m_public) {
    const pool::TeamRule* team =
      pool::FindTeamByKey(config, KeyOf(aRequest.Header("Authorization")));
    if (team == nullptr) {
      Refuse(call, kUnauthorized, "unknown_key");
      return;
    }
    call.m_team = team->m_id;
  }
  const std::string rest = aRequest.m_path.substr(queue->m_prefix.size());
  if (rest.empty() && aRequest.m_method == "GET") {
    ShowWaiting(call);
    return;
  }
  if (!IsJobId(rest)) {
    Refuse(call, kNotFound, "no_job_id");
    return;
  }
  call.m_job = JobId(rest);
  if (aRequest.m_method == "POST") {
    if (aRequest.m_body.size() > config.m_maxBodyBytes) {
      Refuse(call, kTooLarge, "body_too_large");
      return;
    }
    Submit(call, aRequest.m_body);
  } else if (aRequest.m_method == "GET") {
    ShowState(call);
  } else if (aRequest.m_method == "DELETE") {
    Cancel(call);
  } else {
    Refuse(call, kMethodNotAllowed, "method");
  }
}

void
CallerFront::Submit(const Call& aCall, const std::string& aBody)
{
  leaf::try_handle_all(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(job, platform::DecodeJobBody(aBody));
      job.m_id = aCall.m_job;
      job.m_queue = aCall.m_queue;
      job.m_team = aCall.m_team;
      job.m_acceptedUnixMs = UnixMilliseconds();
      if (pool::IsAdmitted(job.m_id, m_leadership.AdmittedShare())) {
        Store(aCall, job, pool::JobLocation::First, false);
      } else {
        RefuseIfAbsent(aCall, job);
      }
      return {};
    },
    [&](const Error& aError) {
      m_context.m_log.Write(settings::LogLevel::Warn,
                            "job_refused",
                            { { "request", aCall.m_job.Value() },
                              { "message", aError.m_message } });
      Refuse(aCall, kBadRequest, "bad_job");
    },
    [] {});
}

void
CallerFront::RefuseIfAbsent(const Call& aCall, const pool::Job& aJob)
{
  FindJobRow(m_context.m_store,
             aCall.m_job,
             kAnyVersion,
             AttemptTimeout(TimeLeft(aCall) / kReadsToFindJob),
             [this, aCall, aJob](const FoundJob& aFound) {
               if (aFound.m_job) {
                 Accept(aCall, aJob, kUnknownVersion);
               } else if (aFound.m_known) {
                 Refuse(aCall, kUnavailable, kOverloaded);
               } else {
                 // It may be stored, so that a refusal could be untrue.
                 Store(aCall, aJob, pool::JobLocation::First, false);
               }
             });
}

void
CallerFront::Store(const Call& aCall,
                   const pool::Job& aJob,
                   pool::JobLocation aLocation,
                   bool aInDoubt)
{
  switch (NextWriteStep({ TimeLeft(aCall),
                          StoreDownSince().has_value(),
                          OtherLeader(aCall).has_value(),
                          aInDoubt })) {
    case WriteStep::Forward:
      ForwardToLeader(aCall,
                      kStoreJobPath,
                      pool::EncodeJob(aJob),
                      // A leader that refuses cannot reach the store either.
                      [this, aCall, aInDoubt](bool aForwardInDoubt) {
                        RefuseWrite(aCall, aInDoubt || aForwardInDoubt);
                      });
      return;
    case WriteStep::Refuse:
    case WriteStep::LeaveInDoubt:
      RefuseWrite(aCall, aInDoubt);
      return;
    case WriteStep::TryStore:
      break;
  }
  const std::string key = pool::JobKey(aJob.m_id, aLocation);
  table::Commit commit;
  // A cancellation that was confirmed without the job closes the id: this
  // write may come late, and nobody would cancel the job again.
  commit.m_checks = { { key, 0 },
                      { pool::CancelKey(aJob.m_id, aLocation), 0 } };
  commit.m_puts = { { key, pool::EncodeJob(aJob) } };
  m_context.m_metrics.Add(observe::Metric::TableWrites, { "job" });
  m_context.m_store.Submit(commit,
                           AttemptTimeout(TimeLeft(aCall)),
                           [this, aCall, aJob, aLocation, aInDoubt](
                             const table::CommitResult& aResult) {
                             using table::CommitState;
                             if (aResult.m_state == CommitState::Committed) {
                               Accept(aCall, aJob, aResult.m_version);
                               return;
                             }
                             if (aResult.m_state == CommitState::Conflict) {
                               OnConflict(aCall, aJob, aLocation, aResult);
                               return;
                             }
                             // The part of the store with the other location
                             // may be available.
                             RetryStore(aCall,
                                        aJob,
                                        pool::OtherLocation(aLocation),
                                        aInDoubt || aResult.m_state ==
                                                      CommitState::Unknown);
                           });
}

std::optional<net::Address>
CallerFront::OtherLeader(const Call& aCall) const
{
  const auto address = m_leadership.LeaderAddress();
  const bool isOther =
    address && !aCall.m_isForwarded && *address != m_context.m_settings.m_peers;
  return isOther ? address : std::nullopt;
}

void
CallerFront::ForwardToLeader(const Call& aCall,
                             const char* aPath,
                             std::string aBody,
                             const std::function<void(bool aInDoubt)>& aFailed)
{
  const Duration timeout = AttemptTimeout(TimeLeft(aCall));
  net::HttpRequest request = MakeRequest(
    "POST", std::string(aPath) + "/" + aCall.m_job.Value(), std::move(aBody));
  request.m_headers[platform::kDeadlineHeader] =
    std::to_string(ToMilliseconds(timeout));
  m_context.m_http.Send(
    *OtherLeader(aCall),
    request,
    timeout,
    [this, aCall, aFailed](const net::HttpOutcome& aOutcome) {
      const int status =
        aOutcome.m_response ? aOutcome.m_response->m_status : 0;
      if (status == kOk || status == kGone) {
        Finish(aCall, status, "answered_by_leader");
        return;
      }
      const bool refused =
        status == kUnavailable || status == kNotFound ||
        (status == 0 && aOutcome.m_error.m_verdict == Verdict::NotRun);
      aFailed(!refused);
    });
}

void
CallerFront::StoreForPeer(const net::HttpRequest& aRequest,
                          const net::HttpReply& aReply)
{
  const std::size_t slash = aRequest.m_path.rfind('/');
  Call call;
  call.m_job = JobId(aRequest.m_path.substr(slash + 1));
  call.m_received = net::Loop::Now();
  call.m_deadline = call.m_received + DeadlineOf(aRequest) - kResponseMargin;
  call.m_method = aRequest.m_method;
  call.m_isForwarded = true;
  call.m_reply = aReply;
  if (aRequest.m_path.starts_with(kStoreCancelPath)) {
    Cancel(call);
    return;
  }
  const auto job = TryDecode<pool::Job>(
    [&] { return pool::DecodeJob(call.m_job, aRequest.m_body); });
  if (!job) {
    Refuse(call, kNotFound, "bad_row");
    return;
  }
  call.m_queue = job->m_queue;
  call.m_team = job->m_team;
  Store(call, *job, pool::JobLocation::First, false);
}

void
CallerFront::RetryStore(const Call& aCall,
                        const pool::Job& aJob,
                        pool::JobLocation aLocation,
                        bool aInDoubt)
{
  if (!HasTimeToRetry(aCall)) {
    RefuseWrite(aCall, aInDoubt);
    return;
  }
  m_context.m_loop.After(kRetryDelay, [this, aCall, aJob, aLocation, aInDoubt] {
    Store(aCall, aJob, aLocation, aInDoubt);
  });
}

void
CallerFront::OnConflict(const Call& aCall,
                        const pool::Job& aJob,
                        pool::JobLocation aLocation,
                        const table::CommitResult& aResult)
{
  const std::string key = pool::JobKey(aJob.m_id, aLocation);
  if (std::ranges::find(aResult.m_conflicts, key) !=
      aResult.m_conflicts.end()) {
    Accept(aCall, aJob, kUnknownVersion); // stored by an earlier attempt
    return;
  }
  FindJobRow(m_context.m_store,
             aCall.m_job,
             kAnyVersion,
             AttemptTimeout(TimeLeft(aCall) / kReadsToFindJob),
             [this, aCall, aJob](const FoundJob& aFound) {
               if (aFound.m_job) {
                 Accept(aCall, aJob, kUnknownVersion);
               } else if (aFound.m_known) {
                 Refuse(aCall, kGone, "cancelled_before");
               } else {
                 RetryStore(aCall, aJob, pool::JobLocation::First, true);
               }
             });
}

void
CallerFront::Accept(const Call& aCall,
                    const pool::Job& aJob,
                    RowVersion aVersion)
{
  if (const auto leader = m_leadership.Local()) {
    leader->AddJob(aJob, aVersion, JobSource::Front);
  } else {
    NotifyLeader(
      JobPath(aJob.m_id, aVersion), aJob.m_id, pool::EncodeJob(aJob));
  }
  Finish(aCall, kOk, "accepted");
}

void
CallerFront::NotifyLeader(const std::string& aPath,
                          const JobId& aJob,
                          std::string aBody)
{
  const auto address = m_leadership.LeaderAddress();
  if (!address) {
    return; // the leader finds the row by its watch on the store
  }
  m_context.m_http.Send(
    *address,
    MakeRequest("POST", aPath, std::move(aBody)),
    kLeaderTimeout,
    [this, aPath, aJob](const net::HttpOutcome& aOutcome) {
      const int status =
        aOutcome.m_response ? aOutcome.m_response->m_status : 0;
      if (status != kOk) {
        const bool cancels = aPath.starts_with(kCancelPath);
        m_context.m_log.Write(
          settings::LogLevel::Info,
          "leader_not_told",
          { { "request", aJob.Value() },
            { "about", std::string(cancels ? "cancellation" : "job") },
            { "status", static_cast<std::int64_t>(status) } });
      }
    });
}

void
CallerFront::Cancel(const Call& aCall)
{
  m_views.Erase(aCall.m_job);
  // The row shows whether the job exists and where its cancellation belongs.
  FindJobRow(m_context.m_store,
             aCall.m_job,
             kAnyVersion,
             AttemptTimeout(TimeLeft(aCall) / kReadsToFindJob),
             [this, aCall](const FoundJob& aFound) {
               if (!aFound.m_known) {
                 ForwardCancel(aCall);
                 return;
               }
               // The row of the cancellation is written for an unknown job too:
               // a write of the job may still be under way.
               Call found = aCall;
               found.m_isUnknownJob = !aFound.m_job;
               StoreCancellation(found,
                                 aFound.m_job ? aFound.m_location
                                              : pool::JobLocation::First);
             });
}

void
CallerFront::ForwardCancel(const Call& aCall)
{
  const std::function<void(bool)> failed = [this, aCall](bool aInDoubt) {
    Call retried = aCall;
    retried.m_mayBeStored = aCall.m_mayBeStored || aInDoubt;
    RetryOrRefuse(retried, &CallerFront::Cancel);
  };
  if (HasTimeForAttempt(TimeLeft(aCall)) && OtherLeader(aCall)) {
    ForwardToLeader(aCall, kStoreCancelPath, "{}", failed);
  } else {
    RetryOrRefuse(aCall, &CallerFront::Cancel);
  }
}

void
CallerFront::RetryOrRefuse(const Call& aCall,
                           void (CallerFront::*aRetry)(const Call&))
{
  if (!HasTimeToRetry(aCall)) {
    Refuse(aCall,
           aCall.m_mayBeStored ? kGatewayTimeout : kUnavailable,
           "store_unreachable");
    return;
  }
  m_context.m_loop.After(kRetryDelay,
                         [this, aCall, aRetry] { (this->*aRetry)(aCall); });
}

void
CallerFront::StoreCancellation(const Call& aCall, pool::JobLocation aLocation)
{
  const pool::Cancellation cancellation{ UnixMilliseconds() };
  const std::string row = pool::EncodeCancellation(cancellation);
  table::Commit commit;
  commit.m_puts = { { pool::CancelKey(aCall.m_job, aLocation), row } };
  m_context.m_store.Submit(
    commit,
    AttemptTimeout(TimeLeft(aCall)),
    [this, aCall, aLocation, cancellation, row](
      const table::CommitResult& aResult) {
      if (aResult.m_state == table::CommitState::Committed) {
        if (const auto leader = m_leadership.Local()) {
          leader->CancelJob(aCall.m_job, cancellation, JobSource::Front);
        } else {
          NotifyLeader(std::string(kCancelPath) + "/" + aCall.m_job.Value(),
                       aCall.m_job,
                       row);
        }
        if (aCall.m_isUnknownJob) {
          Finish(aCall, kGone, "no_job");
        } else {
          Finish(aCall, kOk, "cancelled");
        }
        return;
      }
      if (!HasTimeToRetry(aCall)) {
        Refuse(aCall, kGatewayTimeout, "store_silent");
        return;
      }
      const auto other = pool::OtherLocation(aLocation);
      m_context.m_loop.After(
        kRetryDelay, [this, aCall, other] { StoreCancellation(aCall, other); });
    });
}

void
CallerFront::ReplyState(const Call& aCall, pool::JobState aState)
{
  const nlohmann::json body = { { "state", NameOf(aState) } };
  Finish(aCall, kOk, NameOf(aState), body.dump());
}

void
CallerFront::ShowState(const Call& aCall)
{
  const auto show = [this, aCall](const std::optional<JobView>& aView) {
    if (aView && (aCall.m_public || aView->m_team == aCall.m_team)) {
      ReplyState(aCall, aView->m_state);
    } else {
      ShowStoredState(aCall);
    }
  };
  if (const auto leader = m_leadership.Local()) {
    leader->AwaitView(aCall.m_job, EndWait(TimeLeft(aCall)), show);
    return;
  }
  const auto address = m_leadership.LeaderAddress();
  if (!address) {
    ShowStoredState(aCall);
    return;
  }
  if (const auto known = m_views.Find(net::Loop::Now(),
                                      aCall.m_job,
                                      ViewValidity(m_leadership.LeaderLag()))) {
    show(known);
    return;
  }
  const Duration timeout = std::min(kLeaderTimeout, TimeLeft(aCall) / 2);
  m_context.m_http.Send(
    *address,
    MakeRequest("GET", JobStatePath(aCall.m_job, EndWait(timeout))),
    timeout,
    [this, show, job = aCall.m_job](const net::HttpOutcome& aOutcome) {
      if (!aOutcome.m_response || aOutcome.m_response->m_status != kOk) {
        show(std::nullopt);
        return;
      }
      const auto view = TryDecode<JobView>(
        [&] { return DecodeJobView(aOutcome.m_response->m_body); });
      if (view) {
        m_views.Put(net::Loop::Now(), job, *view);
      }
      show(view);
    });
}

void
CallerFront::ShowStoredState(const Call& aCall)
{
  FindJobRow(m_context.m_store,
             aCall.m_job,
             kAnyVersion,
             AttemptTimeout(TimeLeft(aCall) / kReadsToFindJob),
             [this, aCall](const FoundJob& aFound) {
               if (!aFound.m_known) {
                 RetryOrRefuse(aCall, &CallerFront::ShowState);
                 return;
               }
               if (!aFound.m_job ||
                   (!aCall.m_public && aFound.m_job->m_team != aCall.m_team)) {
                 Finish(aCall, kGone, "no_job");
                 return;
               }
               ShowStoredProgress(aCall);
             });
}

void
CallerFront::ShowStoredProgress(const Call& aCall)
{
  m_context.m_store.ReadRow(
    pool::ProgressKey(aCall.m_job),
    AttemptTimeout(TimeLeft(aCall)),
    [this, aCall](const platform::PageResult& aProgress) {
      if (!aProgress.m_read.m_ok) {
        RetryOrRefuse(aCall, &CallerFront::ShowState);
        return;
      }
      pool::JobState state = pool::JobState::Pending;
      for (const auto& item : aProgress.m_read.m_rows) {
        const auto progress = TryDecode<pool::JobProgress>(
          [&] { return pool::DecodeProgress(item.second.m_value); });
        state = progress && pool::IsFinal(progress->m_state)
                  ? progress->m_state
                  : pool::JobState::Running;
      }
      ReplyState(aCall, state);
    });
}

void
CallerFront::ShowWaiting(const Call& aCall)
{
  const Leadership::WaitingCount count = m_leadership.WaitingJobs();
  if (net::Loop::Now() - kMaxWaitingCountAge > count.m_at) {
    Refuse(aCall, kUnavailable, "no_leader");
    return;
  }
  const auto it = count.m_jobs.find(aCall.m_queue);
  const std::size_t waiting = it == count.m_jobs.end() ? 0 : it->second;
  const nlohmann::json body = { { "waiting", waiting } };
  Finish(aCall, kOk, "waiting", body.dump());
}

} // namespace lacewing::edge
