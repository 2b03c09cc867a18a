#include "load/LoadRunner.h"

#include <nlohmann/json.hpp>

namespace lacewing::load {

namespace {

/// Sends of one request before its last verdict counts.
constexpr int kMaxSends = 4;
constexpr Duration kRepeatDelay = milliseconds(200);
constexpr Duration kJobPollPeriod = milliseconds(250);
/// Time after the last arrival in which jobs must end.
constexpr Duration kJobGrace = seconds(60);
constexpr Duration kReplyMargin = seconds(2);
/// Lines of each list in the report.
constexpr std::size_t kMaxDetails = 100;
constexpr int kOk = 200;
constexpr int kAccepted = 202;

/// The error in a response that is not a success.
Error
ErrorOf(const net::HttpResponse& aResponse)
{
  Error error{ Verdict::MayHaveRun, ErrorCode::Internal, "" };
  const auto body = nlohmann::json::parse(aResponse.m_body, nullptr, false);
  if (!body.is_object()) {
    return error;
  }
  error.m_verdict =
    ParseName<Verdict>(body.value("verdict", "")).value_or(Verdict::MayHaveRun);
  error.m_code =
    ParseName<ErrorCode>(body.value("error", "")).value_or(ErrorCode::Internal);
  error.m_message = body.value("message", "");
  return error;
}

Error
ErrorOf(const net::HttpOutcome& aOutcome)
{
  return aOutcome.m_response ? ErrorOf(*aOutcome.m_response) : aOutcome.m_error;
}

bool
IsStatus(const net::HttpOutcome& aOutcome, int aStatus)
{
  return aOutcome.m_response && aOutcome.m_response->m_status == aStatus;
}

} // namespace

LoadRunner::LoadRunner(net::Loop& aLoop, Mix aMix, LoadOptions aOptions)
  : m_loop(aLoop)
  , m_http(aLoop)
  , m_mix(std::move(aMix))
  , m_options(std::move(aOptions))
  , m_random(m_options.m_seed)
{
  m_report.m_mix = m_mix.m_name;
  m_report.m_seed = m_options.m_seed;
  m_report.m_duration = m_options.m_duration;
}

LoadReport
LoadRunner::Run()
{
  m_start = net::Loop::Now();
  ScheduleArrivals();
  m_loop.Every(kJobPollPeriod, [this] {
    // The loop also runs while the counts are read.
    if (!m_loadOver) {
      PollJobs();
      FinishWhenDone();
    }
  });
  m_loop.Run();
  CheckExecutions();
  CheckTaskStarts();
  return m_report;
}

void
LoadRunner::ScheduleArrivals()
{
  const auto schedule = [this](double aRate, void (LoadRunner::*aStart)()) {
    if (aRate <= 0.0) {
      return;
    }
    std::exponential_distribution<double> gap(aRate);
    const double end =
      std::chrono::duration<double>(m_options.m_duration).count();
    for (double at = gap(m_random); at < end; at += gap(m_random)) {
      const auto delay =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at));
      m_loop.After(delay, [this, aStart] { (this->*aStart)(); });
    }
  };
  schedule(m_options.m_requestsPerSecond, &LoadRunner::StartRequest);
  schedule(m_options.m_jobsPerSecond, &LoadRunner::StartJob);
  m_loop.After(m_options.m_duration, [this] { m_arrivalsOver = true; });
}

void
LoadRunner::StartRequest()
{
  const std::string token = "load-" + std::to_string(m_options.m_seed) + "-" +
                            std::to_string(m_nextToken++);
  RequestState& request = m_requests[token];
  request.m_kind = &PickByShare(m_mix.m_requests, Uniform());
  request.m_sent = net::Loop::Now();
  ++m_openRequests;
  ++m_report.m_kinds[request.m_kind->m_method].m_sent;
  SendRequest(token);
}

void
LoadRunner::SendRequest(const std::string& aToken)
{
  RequestState& state = m_requests.at(aToken);
  ++state.m_sends;
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_body = aToken;
  if (m_options.m_direct) {
    request.m_path = "/" + state.m_kind->m_method;
  } else {
    request.m_path =
      "/v1/services/" + m_mix.m_service + "/" + state.m_kind->m_method;
    request.m_headers["Authorization"] = "Bearer " + m_options.m_key;
    request.m_headers["X-Request-Class"] =
      std::string(NameOf(state.m_kind->m_class));
    request.m_headers["X-Deadline-Ms"] =
      std::to_string(ToMilliseconds(state.m_kind->m_deadline));
    if (!state.m_kind->m_idempotent) {
      request.m_headers["Idempotency-Key"] = aToken;
    }
  }
  m_http.Send(NextTarget(m_options.m_direct),
              request,
              state.m_kind->m_deadline + kReplyMargin,
              [this, aToken](const net::HttpOutcome& aOutcome) {
                OnAnswer(aToken, aOutcome);
              });
}

void
LoadRunner::OnAnswer(const std::string& aToken,
                     const net::HttpOutcome& aOutcome)
{
  if (IsStatus(aOutcome, kOk)) {
    FinishAnswered(aToken, *aOutcome.m_response);
    return;
  }
  RequestState& request = m_requests.at(aToken);
  const Error error = ErrorOf(aOutcome);
  request.m_errors.push_back({ error, aOutcome.m_response.has_value() });
  if (MayRepeat(request, error)) {
    ++m_report.m_kinds[request.m_kind->m_method].m_repeated;
    m_loop.After(kRepeatDelay, [this, aToken] { SendRequest(aToken); });
    return;
  }
  FinishFailed(aToken, error);
}

void
LoadRunner::FinishAnswered(const std::string& aToken,
                           const net::HttpResponse& aResponse)
{
  RequestState& request = m_requests.at(aToken);
  request.m_ending = Ending::Answered;
  --m_openRequests;
  KindReport& kind = m_report.m_kinds[request.m_kind->m_method];
  ++kind.m_answered;
  kind.m_latencies.push_back(net::Loop::Now() - request.m_sent);
  const auto body = nlohmann::json::parse(aResponse.m_body, nullptr, false);
  if (!body.is_object() || body.value("echo", "") != aToken) {
    Violation(m_report.m_violations.m_untrue,
              aToken + " got an answer that is not its own");
  }
}

void
LoadRunner::FinishFailed(const std::string& aToken, const Error& aError)
{
  RequestState& request = m_requests.at(aToken);
  --m_openRequests;
  KindReport& kind = m_report.m_kinds[request.m_kind->m_method];
  if (DidNotRun(request)) {
    request.m_ending = Ending::NotRun;
    ++kind.m_refused[std::string(NameOf(aError.m_code))];
    return;
  }
  request.m_ending = Ending::MayHaveRun;
  ++kind.m_mayHaveRun;
  if (m_report.m_uncertain.size() < kMaxDetails) {
    m_report.m_uncertain.push_back(
      aToken + " (" + request.m_kind->m_method +
      "), errors of its sends: " + ErrorsOf(request));
  }
}

/// A refusal for an idempotency key speaks of every earlier send with that key.
/// Without a key, and for a connection that failed, "not run" speaks only of
/// the one send: an earlier one may have run all the same.
bool
LoadRunner::DidNotRun(const RequestState& aRequest)
{
  const bool hasKey = !aRequest.m_kind->m_idempotent;
  const auto& errors = aRequest.m_errors;
  for (auto send = errors.rbegin(); send != errors.rend(); ++send) {
    if (send->m_error.m_verdict != Verdict::NotRun) {
      return false;
    }
    if (hasKey && send->m_fromEntry) {
      return true;
    }
  }
  return true;
}

std::string
LoadRunner::ErrorsOf(const RequestState& aRequest)
{
  std::string text;
  for (const SendError& send : aRequest.m_errors) {
    const Error& error = send.m_error;
    text += text.empty() ? "" : "; ";
    text += std::string(NameOf(error.m_verdict)) + " " +
            std::string(NameOf(error.m_code)) + " (" + error.m_message + ")";
  }
  return text;
}

bool
LoadRunner::MayRepeat(const RequestState& aRequest, const Error& aError) const
{
  const bool unreachable = aError.m_code == ErrorCode::Unavailable ||
                           aError.m_code == ErrorCode::Draining ||
                           aError.m_code == ErrorCode::NotOwner;
  const Duration age = net::Loop::Now() - aRequest.m_sent;
  return unreachable && !m_options.m_direct && aRequest.m_sends < kMaxSends &&
         age + kRepeatDelay < aRequest.m_kind->m_deadline;
}

void
LoadRunner::StartJob()
{
  const std::string token = "job-" + std::to_string(m_options.m_seed) + "-" +
                            std::to_string(m_nextToken++);
  JobState& job = m_jobs[token];
  job.m_kind = &PickByShare(m_mix.m_jobs, Uniform());
  job.m_sent = net::Loop::Now();
  ++m_openJobs;
  ++m_report.m_kinds["job " + job.m_kind->m_spec.m_name].m_sent;
  SendJob(token);
}

void
LoadRunner::SendJob(const std::string& aToken)
{
  JobState& job = m_jobs.at(aToken);
  ++job.m_sends;
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_path = "/v1/jobs";
  request.m_headers["Authorization"] = "Bearer " + m_options.m_key;
  request.m_headers["Idempotency-Key"] = aToken;
  request.m_body = caller::EncodeJobSpec(job.m_kind->m_spec);
  m_http.Send(NextTarget(false),
              request,
              caller::kMaxDeadline,
              [this, aToken](const net::HttpOutcome& aOutcome) {
                OnJobAnswer(aToken, aOutcome);
              });
}

void
LoadRunner::OnJobAnswer(const std::string& aToken,
                        const net::HttpOutcome& aOutcome)
{
  JobState& job = m_jobs.at(aToken);
  if (IsStatus(aOutcome, kAccepted)) {
    const auto body =
      nlohmann::json::parse(aOutcome.m_response->m_body, nullptr, false);
    job.m_id = body.value("job", "");
    return;
  }
  const Error error = ErrorOf(aOutcome);
  // A submission may always be repeated, thanks to its idempotency key.
  if (job.m_sends < kMaxSends) {
    m_loop.After(kRepeatDelay, [this, aToken] { SendJob(aToken); });
    return;
  }
  job.m_over = true;
  --m_openJobs;
  KindReport& kind = m_report.m_kinds["job " + job.m_kind->m_spec.m_name];
  if (error.m_verdict == Verdict::NotRun) {
    ++kind.m_refused[std::string(NameOf(error.m_code))];
  } else {
    ++kind.m_mayHaveRun;
  }
}

void
LoadRunner::PollJobs()
{
  for (const auto& [token, job] : m_jobs) {
    if (job.m_over || job.m_id.empty()) {
      continue;
    }
    net::HttpRequest request;
    request.m_method = "GET";
    request.m_path = "/v1/jobs/" + job.m_id;
    request.m_headers["Authorization"] = "Bearer " + m_options.m_key;
    m_http.Send(NextTarget(false),
                request,
                kReplyMargin,
                [this, token = token](const net::HttpOutcome& aOutcome) {
                  OnJobStatus(token, aOutcome);
                });
  }
}

void
LoadRunner::OnJobStatus(const std::string& aToken,
                        const net::HttpOutcome& aOutcome)
{
  JobState& job = m_jobs.at(aToken);
  if (job.m_over || !IsStatus(aOutcome, kOk)) {
    return;
  }
  const auto body =
    nlohmann::json::parse(aOutcome.m_response->m_body, nullptr, false);
  const std::string state = body.value("state", "");
  if (state == "queued" || state == "running") {
    return;
  }
  job.m_over = true;
  --m_openJobs;
  KindReport& kind = m_report.m_kinds["job " + job.m_kind->m_spec.m_name];
  if (state == "succeeded") {
    ++kind.m_answered;
    kind.m_latencies.push_back(net::Loop::Now() - job.m_sent);
  } else if (state == "may_have_run") {
    ++kind.m_mayHaveRun;
  } else {
    ++kind.m_refused[state];
  }
}

void
LoadRunner::FinishWhenDone()
{
  const Duration age = net::Loop::Now() - m_start;
  const bool tooLate = age > m_options.m_duration + kJobGrace;
  if (!m_arrivalsOver || (m_openRequests + m_openJobs > 0 && !tooLate)) {
    return;
  }
  for (const auto& [token, request] : m_requests) {
    if (request.m_ending == Ending::Open) {
      Violation(m_report.m_violations.m_lost, token + " never ended");
    }
  }
  for (const auto& [token, job] : m_jobs) {
    if (!job.m_over) {
      Violation(m_report.m_violations.m_lost,
                token + " (" + job.m_id + ") did not end");
    }
  }
  m_loadOver = true;
  m_loop.Stop();
}

LoadRunner::Counts
LoadRunner::ReadCounts(const std::vector<net::Address>& aServers,
                       const std::string& aName)
{
  const auto sum = std::make_shared<CountSum>();
  sum->m_waiting = aServers.size();
  net::HttpRequest request;
  request.m_method = "GET";
  request.m_path = "/" + aName;
  for (const net::Address& server : aServers) {
    m_http.Send(server,
                request,
                kReplyMargin,
                [this, sum, aName](const net::HttpOutcome& aOutcome) {
                  AddCounts(aOutcome, aName, sum->m_counts);
                  if (--sum->m_waiting == 0) {
                    m_loop.Stop();
                  }
                });
  }
  // Every request ends by its timeout, so this ends even if others stop the
  // loop.
  while (sum->m_waiting > 0) {
    m_loop.Run();
  }
  return sum->m_counts;
}

void
LoadRunner::AddCounts(const net::HttpOutcome& aOutcome,
                      const std::string& aName,
                      Counts& aCounts)
{
  if (!IsStatus(aOutcome, kOk)) {
    return;
  }
  const auto body =
    nlohmann::json::parse(aOutcome.m_response->m_body, nullptr, false);
  const auto counts = body.value(aName, nlohmann::json::object());
  for (const auto& [key, count] : counts.items()) {
    aCounts[key] += count.get<int>();
  }
}

void
LoadRunner::CheckExecutions()
{
  if (m_options.m_endpoints.empty()) {
    return;
  }
  Counts executions = ReadCounts(m_options.m_endpoints, "executions");
  for (const auto& [token, state] : m_requests) {
    CheckToken(token, state, executions[token]);
  }
}

void
LoadRunner::CheckToken(const std::string& aToken,
                       const RequestState& aRequest,
                       int aExecutions)
{
  if (aExecutions > 1 && !aRequest.m_kind->m_idempotent) {
    Violation(m_report.m_violations.m_doubled,
              aToken + " (" + aRequest.m_kind->m_method + ") ran " +
                std::to_string(aExecutions) + " times");
  }
  if (aExecutions > 0 && aRequest.m_ending == Ending::NotRun) {
    Violation(m_report.m_violations.m_untrue,
              aToken +
                " was refused as not run but ran; errors of its sends: " +
                ErrorsOf(aRequest));
  }
  if (aExecutions == 0 && aRequest.m_ending == Ending::Answered) {
    Violation(m_report.m_violations.m_untrue,
              aToken + " was answered but did not run");
  }
}

void
LoadRunner::CheckTaskStarts()
{
  if (m_options.m_workers.empty() || m_jobs.empty()) {
    return;
  }
  // By "job/index".
  Counts starts = ReadCounts(m_options.m_workers, "starts");
  for (const auto& [token, job] : m_jobs) {
    if (!job.m_kind->m_spec.m_atMostOnce || job.m_id.empty()) {
      continue;
    }
    for (std::uint32_t i = 0; i < job.m_kind->m_spec.m_tasks; ++i) {
      const int count = starts[job.m_id + "/" + std::to_string(i)];
      if (count > 1) {
        Violation(m_report.m_violations.m_doubled,
                  "task " + std::to_string(i) + " of " + job.m_id +
                    " started " + std::to_string(count) + " times");
      }
    }
  }
}

void
LoadRunner::Violation(std::uint64_t& aCounter, std::string aDetail)
{
  ++aCounter;
  if (m_report.m_details.size() < kMaxDetails) {
    m_report.m_details.push_back(std::move(aDetail));
  }
}

const net::Address&
LoadRunner::NextTarget(bool aDirect)
{
  const auto& targets = aDirect ? m_options.m_endpoints : m_options.m_entries;
  return targets[m_random() % targets.size()];
}

double
LoadRunner::Uniform()
{
  return std::uniform_real_distribution<>(0.0, 1.0)(m_random);
}

} // namespace lacewing::load
