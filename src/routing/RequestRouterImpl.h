/// Definitions of `BasicRequestRouter`, for code that instantiates it with
/// another queue or choice of endpoint than the product's.
#pragma once

#include "routing/RequestRouter.h"

#include <algorithm>
#include <cmath>

namespace lacewing::routing {

namespace detail {

/// Weight of the newest value in moving averages.
inline constexpr double kNewest = 0.1;
/// The drain rate is measured over windows of this length.
inline constexpr Duration kRateWindow = milliseconds(200);
inline constexpr Duration kMaxRateWindow = seconds(5);
inline constexpr seconds kMinRetryAfter{ 1 };
inline constexpr seconds kMaxRetryAfter{ 30 };

inline double
Average(double aOld, double aNew)
{
  return aOld == 0.0 ? aNew : aOld + kNewest * (aNew - aOld);
}

inline double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

inline Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace detail

template<RouterQueue Queue, EndpointChoice Choice>
BasicRequestRouter<Queue, Choice>::BasicRequestRouter(Time aNow,
                                                      RouterOptions aOptions,
                                                      std::uint64_t aSeed)
  : m_options(aOptions)
  , m_queue(m_options.m_queue)
  , m_pool(m_options.m_pool, aSeed)
  , m_budget(m_options.m_retryRatio, m_options.m_retryBurst)
  , m_backoff(m_options.m_backoff, aSeed + 1)
  , m_adopted(aNow)
  , m_rateStart(aNow)
{
}

template<RouterQueue Queue, EndpointChoice Choice>
void
BasicRequestRouter<Queue, Choice>::SetTuning(const RouterTuning& aTuning)
{
  m_queue.SetOptions(aTuning.m_queue);
  m_backoff.SetOptions(aTuning.m_backoff);
  m_budget.SetRatio(aTuning.m_retryRatio);
  m_pool.SetMissesToGone(aTuning.m_missesToGone);
}

// ---- Takeover ----

template<RouterQueue Queue, EndpointChoice Choice>
void
BasicRequestRouter<Queue, Choice>::Adopt(Time aNow, const BusyCounts& aCounts)
{
  m_adopted = aNow;
  m_pool.SetCountsGiven();
  for (const auto& [endpoint, busy] : aCounts.m_byEndpoint) {
    m_pool.SetForeign(endpoint, busy);
  }
  m_foreignByTeam = aCounts.m_byTeam;
  LimitForeign();
}

template<RouterQueue Queue, EndpointChoice Choice>
Actions
BasicRequestRouter<Queue, Choice>::OnEarlierOwner(Time aNow,
                                                  const BusyCounts& aCounts)
{
  for (const Endpoint& endpoint : m_pool.Endpoints()) {
    const auto found = aCounts.m_byEndpoint.find(endpoint.m_info.m_vm);
    const int busy = found == aCounts.m_byEndpoint.end() ? 0 : found->second;
    m_pool.SetForeign(endpoint.m_info.m_vm, std::min(endpoint.m_foreign, busy));
  }
  for (auto& [team, count] : m_foreignByTeam) {
    const auto found = aCounts.m_byTeam.find(team);
    count =
      std::min(count, found == aCounts.m_byTeam.end() ? 0 : found->second);
  }
  LimitForeign();
  return Run(aNow);
}

template<RouterQueue Queue, EndpointChoice Choice>
BusyCounts
BasicRequestRouter<Queue, Choice>::CountBusy() const
{
  BusyCounts counts;
  for (const auto& [attempt, flight] : m_flights) {
    ++counts.m_byEndpoint[flight.m_endpoint];
    ++counts.m_byTeam[flight.m_queued.m_request.m_team];
  }
  return counts;
}

/// Slots of earlier owners whose team is not known count against every team:
/// the team that they belong to must not exceed its allotment.
template<RouterQueue Queue, EndpointChoice Choice>
void
BasicRequestRouter<Queue, Choice>::LimitForeign()
{
  const int total = m_pool.TotalForeign();
  int known = 0;
  for (auto& [team, count] : m_foreignByTeam) {
    count = std::min(count, total);
    known += count;
  }
  m_foreignAnyTeam = std::max(0, total - known);
}

// ---- Admission ----

template<RouterQueue Queue, EndpointChoice Choice>
Actions
BasicRequestRouter<Queue, Choice>::Admit(Time aNow, const Request& aRequest)
{
  Actions actions;
  if (!m_seen.Insert(aNow, aRequest.m_id)) {
    ++m_counters.m_duplicates;
    return actions;
  }
  QueuedRequest queued;
  queued.m_request = aRequest;
  queued.m_enqueued = aNow;
  if (m_draining) {
    RefuseOne(queued, ErrorCode::Draining, "owner is draining", actions);
    return actions;
  }
  if (aNow >= m_authorityEnd) {
    RefuseOne(queued, ErrorCode::NotOwner, "authority has ended", actions);
    return actions;
  }
  if (IsHopeless(aNow, aRequest)) {
    RefuseOne(queued,
              ErrorCode::DeadlineExceeded,
              "deadline cannot be met by the queue",
              actions);
    return actions;
  }
  ++m_counters.m_admitted;
  m_budget.OnRequest();
  for (const QueuedRequest& shed : m_queue.Push(std::move(queued))) {
    ++m_counters.m_shed;
    RefuseOne(shed, ErrorCode::QueueFull, "queue is full", actions);
  }
  return Run(aNow, std::move(actions));
}

template<RouterQueue Queue, EndpointChoice Choice>
bool
BasicRequestRouter<Queue, Choice>::IsHopeless(Time aNow,
                                              const Request& aRequest) const
{
  const Duration left = aRequest.m_deadline - aNow;
  if (left <= Duration::zero()) {
    return true;
  }
  if (!m_options.m_refuseHopeless || m_rates.m_drainPerSecond <= 0.0 ||
      m_queue.size() == 0) {
    return false;
  }
  const auto ahead = static_cast<double>(m_queue.CountAhead(aRequest));
  const Duration wait = detail::FromSeconds(ahead / m_rates.m_drainPerSecond);
  return wait + ServiceEstimate() > left;
}

template<RouterQueue Queue, EndpointChoice Choice>
Duration
BasicRequestRouter<Queue, Choice>::ServiceEstimate() const
{
  return detail::FromSeconds(m_rates.m_serviceSeconds);
}

/// The time in which the present queue drains, in whole seconds.
template<RouterQueue Queue, EndpointChoice Choice>
Duration
BasicRequestRouter<Queue, Choice>::RetryAfter() const
{
  if (m_rates.m_drainPerSecond <= 0.0) {
    return detail::kMinRetryAfter;
  }
  const double drain =
    std::ceil(static_cast<double>(QueuedCount()) / m_rates.m_drainPerSecond);
  const seconds whole(static_cast<std::int64_t>(
    std::min(drain, static_cast<double>(detail::kMaxRetryAfter.count()))));
  return std::clamp(whole, detail::kMinRetryAfter, detail::kMaxRetryAfter);
}

template<RouterQueue Queue, EndpointChoice Choice>
void
BasicRequestRouter<Queue, Choice>::RefuseOne(const QueuedRequest& aRequest,
                                             ErrorCode aCode,
                                             std::string aMessage,
                                             Actions& aActions)
{
  ++m_counters.m_refused;
  const Verdict verdict =
    aRequest.m_mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
  const Duration retryAfter =
    aCode == ErrorCode::QueueFull ? RetryAfter() : Duration::zero();
  aActions.push_back(Refuse{ aRequest.m_request.m_id,
                             Error{ verdict, aCode, std::move(aMessage) },
                             retryAfter });
}

template<RouterQueue Queue, EndpointChoice Choice>
void
BasicRequestRouter<Queue, Choice>::RefuseQueue(ErrorCode aCode,
                                               const std::string& aMessage,
                                               Actions& aActions)
{
  for (const QueuedRequest& queued : m_queue.Clear()) {
    RefuseOne(queued, aCode, aMessage, aActions);
  }
  for (const auto& [time, queued] : m_delayed) {
    RefuseOne(queued, aCode, aMessage, aActions);
  }
  m_delayed.clear();
}

// ---- Dispatch ----

template<RouterQueue Queue, EndpointChoice Choice>
Actions
BasicRequestRouter<Queue, Choice>::Run(Time aNow, Actions aActions)
{
  ExpireFlights(aNow, aActions);
  ExpireAbandoned(aNow);
  ExpireQueue(aNow, aActions);
  ReleaseDelayed(aNow);
  if (aNow >= m_authorityEnd) {
    RefuseQueue(ErrorCode::NotOwner, "authority has ended", aActions);
    return aActions;
  }
  // The front sends them to another slice; here they would wait for their
  // deadline.
  if (m_pool.HasLeft()) {
    RefuseQueue(ErrorCode::Unavailable,
                "every endpoint of the slice is leaving or gone",
                aActions);
  }
  if (aNow >= m_adopted + kMaxDeadline) {
    m_pool.ClearForeign();
  }
  LimitForeign();
  DispatchAll(aNow, aActions);
  CollectProbes(aNow, aActions);
  return aActions;
}

template<RouterQueue Queue, EndpointChoice Choice>
void
BasicRequestRouter<Queue, Choice>::ExpireQueue(Time aNow, Actions& aActions)
{
  // A request that cannot end before its deadline would only take a slot from
  // one that can. `RefuseOne` keeps the verdict of earlier attempts.
  const Duration margin =
    m_options.m_refuseHopeless ? ServiceEstimate() : Duration::zero();
  for (const QueuedRequest& queued : m_queue.PopExpired(aNow + margin)) {
    RefuseOne(
      queued, ErrorCode::DeadlineExceeded, "deadline exceeded", aActions);
  }
}

template<RouterQueue Queue, EndpointChoice Choice>
void
BasicRequestRouter<Queue, Choice>::ReleaseDelayed(Time aNow)
{
  while (!m_delayed.empty() && m_delayed.begin()->first <= aNow) {
    m_queue.PushBack(std::move(m_delayed.begin()->second));
    m_delayed.erase(m_delayed.begin());
  }
}

template<RouterQueue Queue, EndpointChoice Choice>
bool
BasicRequestRouter<Queue, Choice>::TeamMayStart(const TeamId& aTeam) const
{
  const auto found = m_allotments.find(aTeam);
  const int allotment =
    found == m_allotments.end() ? m_options.m_defaultAllotment : found->second;
  return RunningOf(aTeam) < allotment;
}

template<RouterQueue Queue, EndpointChoice Choice>
int
BasicRequestRouter<Queue, Choice>::RunningOf(const TeamId& aTeam) const
{
  const auto own = m_running.find(aTeam);
  const auto foreign = m_foreignByTeam.find(aTeam);
  return (own == m_running.end() ? 0 : own->second) +
         (foreign == m_foreignByTeam.end() ? 0 : foreign->second) +
         m_foreignAnyTeam;
}

template<RouterQueue Queue, EndpointChoice Choice>
void
BasicRequestRouter<Queue, Choice>::DispatchAll(Time aNow, Actions& aActions)
{
  const auto mayStart = [this](const TeamId& aTeam) {
    return TeamMayStart(aTeam);
  };
  while (m_queue.size() > 0) {
    const auto endpoint = m_pool.Choose(m_options.m_safeguards.m_countSlots);
    if (!endpoint) {
      return;
    }
    auto next = m_queue.Pop(mayStart);
    if (!next) {
      return;
    }
    DispatchOne(aNow, std::move(*next), *endpoint, aActions);
  }
}

template<RouterQueue Queue, EndpointChoice Choice>
void
BasicRequestRouter<Queue, Choice>::DispatchOne(Time aNow,
                                               QueuedRequest aRequest,
                                               const VmId& aEndpoint,
                                               Actions& aActions)
{
  const AttemptId attempt = m_nextAttempt++;
  const Time deadline = aRequest.m_request.m_deadline;
  aActions.push_back(
    Dispatch{ aRequest.m_request.m_id, attempt, aEndpoint, deadline });
  ++m_running[aRequest.m_request.m_team];
  m_pool.OnDispatch(aEndpoint);
  m_deadlines.emplace(deadline, attempt);
  m_flights.emplace(attempt,
                    Flight{ std::move(aRequest), aEndpoint, aNow, {} });
  ++m_waiting;
  ++m_counters.m_dispatched;
  CountDispatch(aNow);
}

template<RouterQueue Queue, EndpointChoice Choice>
void
BasicRequestRouter<Queue, Choice>::CountDispatch(Time aNow)
{
  ++m_rateCount;
  const Duration window = aNow - m_rateStart;
  if (window < detail::kRateWindow) {
    return;
  }
  // Only a window with a queue at its end shows what the slice can drain; a
  // long one contains idle time.
  if (m_queue.size() > 0 && window <= detail::kMaxRateWindow) {
    m_rates.m_drainPerSecond = detail::Average(
      m_rates.m_drainPerSecond,
      static_cast<double>(m_rateCount) / detail::ToSeconds(window));
  }
  m_rateStart = aNow;
  m_rateCount = 0;
}

template<RouterQueue Queue, EndpointChoice Choice>
void
BasicRequestRouter<Queue, Choice>::CollectProbes(Time aNow, Actions& aActions)
{
  for (StatusQuery& query : m_pool.TakeProbes(aNow)) {
    aActions.push_back(Probe{ std::move(query) });
  }
}

// ---- Ends of attempts ----

template<RouterQueue Queue, EndpointChoice Choice>
void
BasicRequestRouter<Queue, Choice>::EndFlight(typename Flights::iterator aFlight)
{
  const AttemptId attempt = aFlight->first;
  const Flight& flight = aFlight->second;
  const Request& request = flight.m_queued.m_request;
  m_pool.OnEnd(flight.m_endpoint, flight.m_abandoned.has_value());
  const auto running = m_running.find(request.m_team);
  if (--running->second == 0) {
    m_running.erase(running);
  }
  if (flight.m_abandoned) {
    m_holds.erase({ *flight.m_abandoned + kMaxDeadline, attempt });
  } else {
    m_deadlines.erase({ request.m_deadline, attempt });
    --m_waiting;
  }
  m_flights.erase(aFlight);
}

template<RouterQueue Queue, EndpointChoice Choice>
typename BasicRequestRouter<Queue, Choice>::Flights::iterator
BasicRequestRouter<Queue, Choice>::MatchFlight(AttemptId aAttempt,
                                               const VmId& aEndpoint)
{
  auto found = m_flights.find(aAttempt);
  if (found != m_flights.end() || m_options.m_safeguards.m_matchAttempts) {
    return found;
  }
  return std::find_if(m_flights.begin(), m_flights.end(), [&](auto& aEntry) {
    return aEntry.second.m_endpoint == aEndpoint;
  });
}

template<RouterQueue Queue, EndpointChoice Choice>
Actions
BasicRequestRouter<Queue, Choice>::OnEndpointAnswer(Time aNow,
                                                    AttemptId aAttempt,
                                                    const VmId& aEndpoint,
                                                    EndpointAnswer aAnswer)
{
  if (aAnswer.m_notRun) {
    m_pool.OnRefusal(aNow, aEndpoint);
  }
  if (aAnswer.m_close) {
    m_pool.OnLeaving(aEndpoint);
  }
  const auto found = MatchFlight(aAttempt, aEndpoint);
  if (found == m_flights.end()) {
    ++m_counters.m_unknownAnswers;
    return Run(aNow);
  }
  Flight flight = found->second;
  EndFlight(found);
  if (flight.m_abandoned) {
    ++m_counters.m_lateAnswers;
    return Run(aNow);
  }
  Actions actions;
  FinishAnswer(aNow, std::move(flight), std::move(aAnswer), actions);
  return Run(aNow, std::move(actions));
}

template<RouterQueue Queue, EndpointChoice Choice>
void
BasicRequestRouter<Queue, Choice>::FinishAnswer(Time aNow,
                                                Flight aFlight,
                                                EndpointAnswer aAnswer,
                                                Actions& aActions)
{
  if (aAnswer.m_notRun) {
    RetryOrRefuse(aNow,
                  std::move(aFlight.m_queued),
                  Verdict::NotRun,
                  "endpoint " + aFlight.m_endpoint.Value() + " refused",
                  aActions);
    return;
  }
  m_rates.m_serviceSeconds = detail::Average(
    m_rates.m_serviceSeconds, detail::ToSeconds(aNow - aFlight.m_sent));
  if (!aAnswer.IsWhole()) {
    ++m_counters.m_shortAnswers;
    m_pool.OnFailure(aNow, aFlight.m_endpoint);
    RetryOrRefuse(aNow,
                  std::move(aFlight.m_queued),
                  Verdict::MayHaveRun,
                  "answer of endpoint " + aFlight.m_endpoint.Value() +
                    " is not whole",
                  aActions);
    return;
  }
  m_pool.OnSuccess(aFlight.m_endpoint);
  ++m_counters.m_answered;
  aActions.push_back(
    Answer{ aFlight.m_queued.m_request.m_id, std::move(aAnswer) });
}

template<RouterQueue Queue, EndpointChoice Choice>
void
BasicRequestRouter<Queue, Choice>::AbandonFlight(Time aNow, Flight& aFlight)
{
  aFlight.m_abandoned = aNow;
  m_pool.OnAbandon(aNow, aFlight.m_endpoint);
  --m_waiting;
}

template<RouterQueue Queue, EndpointChoice Choice>
Actions
BasicRequestRouter<Queue, Choice>::OnEndpointFailure(
  Time aNow,
  AttemptId aAttempt,
  const EndpointFailure& aFailure)
{
  const auto found = m_flights.find(aAttempt);
  if (found == m_flights.end() || found->second.m_abandoned) {
    return Run(aNow);
  }
  QueuedRequest queued = found->second.m_queued;
  m_pool.OnFailure(aNow, found->second.m_endpoint);
  if (aFailure.m_verdict == Verdict::NotRun) {
    EndFlight(found);
  } else {
    // The endpoint may still run it: the slot stays taken.
    m_deadlines.erase({ queued.m_request.m_deadline, aAttempt });
    AbandonFlight(aNow, found->second);
    m_holds.emplace(aNow + kMaxDeadline, aAttempt);
  }
  Actions actions;
  RetryOrRefuse(
    aNow, std::move(queued), aFailure.m_verdict, aFailure.m_message, actions);
  return Run(aNow, std::move(actions));
}

template<RouterQueue Queue, EndpointChoice Choice>
bool
BasicRequestRouter<Queue, Choice>::MayRetry(const QueuedRequest& aRequest,
                                            Verdict aVerdict) const
{
  return aVerdict == Verdict::NotRun || aRequest.m_request.m_idempotent ||
         !m_options.m_safeguards.m_noRetryAfterMayHaveRun;
}

template<RouterQueue Queue, EndpointChoice Choice>
void
BasicRequestRouter<Queue, Choice>::RetryOrRefuse(Time aNow,
                                                 QueuedRequest aRequest,
                                                 Verdict aVerdict,
                                                 const std::string& aMessage,
                                                 Actions& aActions)
{
  if (aVerdict != Verdict::NotRun) {
    aRequest.m_mayHaveRun = true;
  }
  const ErrorCode code = aVerdict == Verdict::NotRun
                           ? ErrorCode::Unavailable
                           : ErrorCode::EndpointFailed;
  const Time ready = aNow + m_backoff.Delay(aRequest.m_retries);
  const bool inTime = ready + ServiceEstimate() < aRequest.m_request.m_deadline;
  if (m_draining || aNow >= m_authorityEnd || !inTime ||
      !MayRetry(aRequest, aVerdict) ||
      aRequest.m_retries >= m_options.m_maxRetries) {
    RefuseOne(aRequest, code, aMessage, aActions);
    return;
  }
  if (!m_budget.TryRetry()) {
    ++m_counters.m_retriesDenied;
    RefuseOne(aRequest, code, aMessage, aActions);
    return;
  }
  ++m_counters.m_retried;
  ++aRequest.m_retries;
  m_delayed.emplace(ready, std::move(aRequest));
}

template<RouterQueue Queue, EndpointChoice Choice>
void
BasicRequestRouter<Queue, Choice>::ExpireFlights(Time aNow, Actions& aActions)
{
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= aNow) {
    const AttemptId attempt = m_deadlines.begin()->second;
    m_deadlines.erase(m_deadlines.begin());
    Flight& flight = m_flights.at(attempt);
    AbandonFlight(aNow, flight);
    m_holds.emplace(aNow + kMaxDeadline, attempt);
    QueuedRequest queued = flight.m_queued;
    queued.m_mayHaveRun = true;
    RefuseOne(queued,
              ErrorCode::DeadlineExceeded,
              "no answer of endpoint " + flight.m_endpoint.Value() +
                " before the deadline",
              aActions);
  }
}

template<RouterQueue Queue, EndpointChoice Choice>
void
BasicRequestRouter<Queue, Choice>::ExpireAbandoned(Time aNow)
{
  while (!m_holds.empty() && m_holds.begin()->first <= aNow) {
    EndFlight(m_flights.find(m_holds.begin()->second));
  }
}

template<RouterQueue Queue, EndpointChoice Choice>
void
BasicRequestRouter<Queue, Choice>::EndAbandoned(const VmId& aEndpoint,
                                                Time aAbandonedUntil)
{
  for (auto flight = m_flights.begin(); flight != m_flights.end();) {
    const auto next = std::next(flight);
    const auto abandoned = flight->second.m_abandoned;
    if (flight->second.m_endpoint == aEndpoint && abandoned &&
        *abandoned <= aAbandonedUntil) {
      EndFlight(flight);
    }
    flight = next;
  }
}

template<RouterQueue Queue, EndpointChoice Choice>
void
BasicRequestRouter<Queue, Choice>::FailFlightsOf(Time aNow,
                                                 const VmId& aEndpoint,
                                                 Actions& aActions)
{
  std::vector<AttemptId> ended;
  for (const auto& [attempt, flight] : m_flights) {
    if (flight.m_endpoint == aEndpoint) {
      ended.push_back(attempt);
    }
  }
  std::sort(ended.begin(), ended.end());
  for (const AttemptId attempt : ended) {
    const auto found = m_flights.find(attempt);
    const Flight flight = found->second;
    EndFlight(found);
    if (!flight.m_abandoned) {
      RetryOrRefuse(aNow,
                    flight.m_queued,
                    Verdict::MayHaveRun,
                    "endpoint " + aEndpoint.Value() + " is gone",
                    aActions);
    }
  }
}

// ---- Endpoints, teams, life cycle ----

template<RouterQueue Queue, EndpointChoice Choice>
Actions
BasicRequestRouter<Queue, Choice>::OnEndpointStatus(
  Time aNow,
  const StatusQuery& aQuery,
  const std::optional<EndpointStatus>& aStatus)
{
  const StatusChange change = m_pool.OnStatus(aNow, aQuery, aStatus, m_adopted);
  if (change.m_idleSince) {
    EndAbandoned(aQuery.m_vm, *change.m_idleSince);
  }
  return Run(aNow);
}

template<RouterQueue Queue, EndpointChoice Choice>
Actions
BasicRequestRouter<Queue, Choice>::OnTick(Time aNow)
{
  return Run(aNow);
}

template<RouterQueue Queue, EndpointChoice Choice>
Actions
BasicRequestRouter<Queue, Choice>::UpdateEndpoints(
  Time aNow,
  const std::vector<EndpointInfo>& aList)
{
  Actions actions;
  for (const VmId& gone : m_pool.Update(aNow, aList)) {
    FailFlightsOf(aNow, gone, actions);
  }
  return Run(aNow, std::move(actions));
}

template<RouterQueue Queue, EndpointChoice Choice>
Actions
BasicRequestRouter<Queue, Choice>::SetAllotment(Time aNow,
                                                const TeamId& aTeam,
                                                int aRequests)
{
  m_allotments[aTeam] = aRequests;
  return Run(aNow);
}

template<RouterQueue Queue, EndpointChoice Choice>
void
BasicRequestRouter<Queue, Choice>::SetTeamWeight(const TeamId& aTeam,
                                                 double aWeight)
{
  m_queue.SetWeight(aTeam, aWeight);
}

template<RouterQueue Queue, EndpointChoice Choice>
Actions
BasicRequestRouter<Queue, Choice>::SetAuthorityEnd(Time aNow, Time aEnd)
{
  m_authorityEnd = aEnd;
  return Run(aNow);
}

template<RouterQueue Queue, EndpointChoice Choice>
Actions
BasicRequestRouter<Queue, Choice>::BeginDrain(Time aNow)
{
  m_draining = true;
  Actions actions;
  RefuseQueue(ErrorCode::Draining, "owner is draining", actions);
  if (!m_options.m_safeguards.m_drainFlights) {
    m_flights.clear();
    m_deadlines.clear();
    m_holds.clear();
    m_waiting = 0;
  }
  return Run(aNow, std::move(actions));
}

template<RouterQueue Queue, EndpointChoice Choice>
std::optional<Time>
BasicRequestRouter<Queue, Choice>::NextWakeup(Time aNow) const
{
  const bool hasAuthority = aNow < m_authorityEnd;
  std::optional<Time> next = m_queue.EarliestDeadline();
  const auto consider = [&next](Time aTime) {
    next = next ? std::min(*next, aTime) : aTime;
  };
  if (!m_delayed.empty()) {
    consider(m_delayed.begin()->first);
  }
  if (!m_deadlines.empty()) {
    consider(m_deadlines.begin()->first);
  }
  if (!m_holds.empty()) {
    consider(m_holds.begin()->first);
  }
  const auto probe = m_pool.NextProbe();
  if (probe && hasAuthority) {
    consider(*probe);
  }
  if (QueuedCount() > 0 && m_authorityEnd != Time::max()) {
    consider(m_authorityEnd);
  }
  if (m_pool.TotalForeign() > 0) {
    consider(m_adopted + kMaxDeadline);
  }
  return next;
}

} // namespace lacewing::routing
