/// The owner's side of service requests: admission, queue, dispatch, retries,
/// drain and takeover of one service slice.
///
/// A pure state machine: each function takes the present time and returns the
/// actions that the daemon carries out in their order. Requests are known by
/// the id of their forward; bodies stay with the daemon.
#pragma once

#include "routing/EndpointPool.h"
#include "routing/RequestQueue.h"
#include "routing/RetryBudget.h"
#include "routing/SeenRequests.h"
#include "routing/Step.h"

#include <concepts>
#include <deque>
#include <map>
#include <unordered_map>
#include <variant>
#include <vector>

namespace lacewing::routing {

/// Send the request to the endpoint, with the attempt in X-Request-Id. Right
/// before it, the daemon compares the time with `AuthorityEnd` and reports a
/// failure with the verdict `NotRun` instead if the end has passed. The
/// connection stays open past the deadline, so that a late answer frees the
/// slot; `kMaxDeadline` after it the attempt is given up.
struct Dispatch
{
  static constexpr Step kStep = Step::OwnerDispatch;
  RequestId m_request;
  AttemptId m_attempt = 0;
  VmId m_endpoint;
  Time m_deadline{};
};

/// Pass the whole answer on to the front.
struct Answer
{
  static constexpr Step kStep = Step::OwnerRelay;
  RequestId m_request;
  EndpointAnswer m_answer;
};

/// Refuse the request with a truthful verdict.
struct Refuse
{
  static constexpr Step kStep = Step::OwnerRefuse;
  RequestId m_request;
  Error m_error;
  /// When a new try has a chance; zero when that is not known.
  Duration m_retryAfter{};
};

/// Read GET /status of the endpoint and call `OnEndpointStatus` exactly once.
struct Probe
{
  static constexpr Step kStep = Step::OwnerProbe;
  StatusQuery m_query;
};

using Action = std::variant<Dispatch, Answer, Refuse, Probe>;
using Actions = std::vector<Action>;

/// Why an attempt ended without an answer.
struct EndpointFailure
{
  /// `NotRun` only if no byte can have left.
  Verdict m_verdict = Verdict::MayHaveRun;
  std::string m_message;
};

/// What a planned release leaves for the next owner: slots that are still taken
/// by endpoint and by team.
struct BusyCounts
{
  std::map<VmId, int> m_byEndpoint;
  std::map<TeamId, int> m_byTeam;
};

struct RouterOptions
{
  QueueOptions m_queue;
  PoolOptions m_pool;
  BackoffOptions m_backoff;
  int m_maxRetries = 3;
  double m_retryRatio = 0.1; ///< retries as a fraction of requests
  double m_retryBurst = 10.0;
  /// Requests of a team without an allotment that may run here.
  int m_defaultAllotment = 0;
  /// Refuses a request whose deadline the present drain rate cannot meet.
  bool m_refuseHopeless = true;
  Safeguards m_safeguards;
};

/// The options that may change while the router runs.
struct RouterTuning
{
  QueueOptions m_queue;
  BackoffOptions m_backoff; ///< of retries
  double m_retryRatio = 0.1;
  int m_missesToGone = 3; ///< polls of the VM list
};

struct RouterCounters
{
  std::uint64_t m_admitted = 0;
  std::uint64_t m_dispatched = 0;
  std::uint64_t m_answered = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_shed = 0;
  std::uint64_t m_retried = 0;
  std::uint64_t m_retriesDenied = 0;  ///< by the retry budget
  std::uint64_t m_lateAnswers = 0;    ///< dropped: the request had ended
  std::uint64_t m_unknownAnswers = 0; ///< dropped: no such attempt
  std::uint64_t m_shortAnswers = 0;   ///< body and Content-Length differ
  std::uint64_t m_duplicates = 0;     ///< forwards that had arrived before
};

/// Rates that admission uses, as moving averages.
struct RouterRates
{
  double m_drainPerSecond = 0.0; ///< dispatches; 0 before the first estimate
  double m_serviceSeconds = 0.0; ///< time of an attempt; 0 before the first
};

/// What the router needs of a queue.
template<typename Queue>
concept RouterQueue = requires(Queue aQueue,
                               const Queue aConst,
                               QueuedRequest aRequest,
                               const RequestQueue::MayStart& aMayStart,
                               Time aTime)
{
  {
    aQueue.Push(aRequest)
    } -> std::same_as<std::vector<QueuedRequest>>;
  aQueue.PushBack(aRequest);
  {
    aQueue.Pop(aMayStart)
    } -> std::same_as<std::optional<QueuedRequest>>;
  {
    aQueue.PopExpired(aTime)
    } -> std::same_as<std::vector<QueuedRequest>>;
  {
    aQueue.Clear()
    } -> std::same_as<std::vector<QueuedRequest>>;
  {
    aConst.CountAhead(aRequest.m_request)
    } -> std::same_as<std::size_t>;
  {
    aConst.EarliestDeadline()
    } -> std::same_as<std::optional<Time>>;
  {
    aConst.size()
    } -> std::same_as<std::size_t>;
};

template<RouterQueue Queue, EndpointChoice Choice>
class BasicRequestRouter
{
public:
  /// The router starts as a new owner: no endpoint gets work before its status
  /// was read, and slots found busy count as taken by an earlier owner.
  BasicRequestRouter(Time aNow, RouterOptions aOptions, std::uint64_t aSeed);

  /// Takes over the counts that an earlier owner left on a planned release, or
  /// no counts for the first owner of a slice. Called before anything else;
  /// without it the first `kMaxMessageDelay` passes without a dispatch.
  void Adopt(Time aNow, const BusyCounts& aCounts);
  /// Lowers the counts to what the earlier owner reports as still taken.
  Actions OnEarlierOwner(Time aNow, const BusyCounts& aCounts);
  /// Slots that this owner's attempts take, for the row of the slice.
  BusyCounts CountBusy() const;

  /// Takes effect for the next request, retry and poll; queued requests stay.
  void SetTuning(const RouterTuning& aTuning);

  Actions Admit(Time aNow, const Request& aRequest);
  Actions OnEndpointAnswer(Time aNow,
                           AttemptId aAttempt,
                           const VmId& aEndpoint,
                           EndpointAnswer aAnswer);
  Actions OnEndpointFailure(Time aNow,
                            AttemptId aAttempt,
                            const EndpointFailure& aFailure);
  /// The status, or nothing when it could not be read.
  Actions OnEndpointStatus(Time aNow,
                           const StatusQuery& aQuery,
                           const std::optional<EndpointStatus>& aStatus);
  /// Must be called at `NextWakeup` at the latest.
  Actions OnTick(Time aNow);
  /// One poll of the VM list, restricted to the endpoints of this slice.
  Actions UpdateEndpoints(Time aNow, const std::vector<EndpointInfo>& aList);

  /// Most requests of the team that may run in this slice.
  Actions SetAllotment(Time aNow, const TeamId& aTeam, int aRequests);
  void SetTeamWeight(const TeamId& aTeam, double aWeight);
  /// End of the owner's authority; nothing is dispatched at or after it, and
  /// the queue is refused with "not run".
  Actions SetAuthorityEnd(Time aNow, Time aEnd);
  Time AuthorityEnd() const { return m_authorityEnd; }

  /// Refuses the queue and all new requests; dispatched ones finish.
  Actions BeginDrain(Time aNow);
  bool IsDraining() const { return m_draining; }
  /// True when no dispatched request waits for its answer.
  bool IsDrained() const { return m_draining && m_waiting == 0; }

  /// When `OnTick` is due; nothing while there is nothing to wait for.
  std::optional<Time> NextWakeup(Time aNow) const;
  /// Slots of the endpoints that take work.
  int TotalSlots() const { return m_pool.TotalSlots(); }
  std::size_t QueuedCount() const { return m_queue.size() + m_delayed.size(); }
  std::size_t RunningCount() const { return m_waiting; }
  /// Requests of the team that run or may still run.
  int RunningOf(const TeamId& aTeam) const;
  const RouterCounters& Counters() const { return m_counters; }
  const RouterRates& Rates() const { return m_rates; }
  const EndpointPool<Choice>& Pool() const { return m_pool; }

private:
  /// An attempt that is not known to have ended. An abandoned one keeps its
  /// slot and its team's allotment, although its request was answered.
  struct Flight
  {
    QueuedRequest m_queued;
    VmId m_endpoint;
    Time m_sent{};
    std::optional<Time> m_abandoned;
  };
  using Flights = std::unordered_map<AttemptId, Flight>;

  Actions Run(Time aNow, Actions aActions = {});
  void ExpireQueue(Time aNow, Actions& aActions);
  void ExpireFlights(Time aNow, Actions& aActions);
  void ExpireAbandoned(Time aNow);
  void ReleaseDelayed(Time aNow);
  void DispatchAll(Time aNow, Actions& aActions);
  void DispatchOne(Time aNow,
                   QueuedRequest aRequest,
                   const VmId& aEndpoint,
                   Actions& aActions);
  void CollectProbes(Time aNow, Actions& aActions);
  void RefuseQueue(ErrorCode aCode,
                   const std::string& aMessage,
                   Actions& aActions);
  void RefuseOne(const QueuedRequest& aRequest,
                 ErrorCode aCode,
                 std::string aMessage,
                 Actions& aActions);
  void RetryOrRefuse(Time aNow,
                     QueuedRequest aRequest,
                     Verdict aVerdict,
                     const std::string& aMessage,
                     Actions& aActions);
  bool MayRetry(const QueuedRequest& aRequest, Verdict aVerdict) const;
  void EndFlight(typename Flights::iterator aFlight);
  void AbandonFlight(Time aNow, Flight& aFlight);
  void EndAbandoned(const VmId& aEndpoint, Time aAbandonedUntil);
  void FailFlightsOf(Time aNow, const VmId& aEndpoint, Actions& aActions);
  typename Flights::iterator MatchFlight(AttemptId aAttempt,
                                         const VmId& aEndpoint);
  void FinishAnswer(Time aNow,
                    Flight aFlight,
                    EndpointAnswer aAnswer,
                    Actions& aActions);
  bool TeamMayStart(const TeamId& aTeam) const;
  bool IsHopeless(Time aNow, const Request& aRequest) const;
  Duration RetryAfter() const;
  Duration ServiceEstimate() const;
  void CountDispatch(Time aNow);
  void LimitForeign();

  RouterOptions m_options;
  Queue m_queue;
  EndpointPool<Choice> m_pool;
  RetryBudget m_budget;
  Backoff m_backoff;
  SeenRequests m_seen;
  Flights m_flights;
  std::multimap<Time, QueuedRequest> m_delayed; ///< retries by their time
  std::set<std::pair<Time, AttemptId>> m_deadlines;
  std::set<std::pair<Time, AttemptId>> m_holds; ///< ends of abandoned flights
  std::unordered_map<TeamId, int> m_allotments;
  std::unordered_map<TeamId, int> m_running;
  std::map<TeamId, int> m_foreignByTeam;
  int m_foreignAnyTeam = 0; ///< slots taken by earlier owners for any team
  AttemptId m_nextAttempt = 1;
  std::size_t m_waiting = 0; ///< flights whose request has no answer yet
  Time m_adopted;
  Time m_authorityEnd = Time::max();
  bool m_draining = false;
  RouterCounters m_counters;
  RouterRates m_rates;
  Time m_rateStart;
  std::uint64_t m_rateCount = 0;
};

using RequestRouter = BasicRequestRouter<RequestQueue, LeastBusy>;

extern template class BasicRequestRouter<RequestQueue, LeastBusy>;

} // namespace lacewing::routing
