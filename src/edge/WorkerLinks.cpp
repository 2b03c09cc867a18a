#include "edge/WorkerLinks.h"

#include "relay/OrderGate.h"

#include <algorithm>

namespace lacewing::edge {

namespace {

/// A worker delays its response to a lease extension up to this long until a
/// run ends, so that each worker responds at least about once a second.
constexpr Duration kLeaseExtensionWait = milliseconds(1000);
/// Added to the wait for network latency and a busy worker.
constexpr Duration kLeaseExtensionTimeout = milliseconds(700);
constexpr Duration kCommandTimeout = milliseconds(600);
/// Delay before an unanswered command is sent again.
constexpr Duration kRetryPause = milliseconds(150);
constexpr Duration kLeaseRetryDelay = milliseconds(200);
/// By so much clocks may differ for having been cut to whole milliseconds.
constexpr std::int64_t kClockResolutionMs = 2;

observe::Fields
CommandFields(const pool::WorkerId& aWorker,
              const pool::TaskRef& aTask,
              pool::RunNumber aRun,
              std::string_view aOutcome)
{
  return { { "request", aTask.m_job.Value() },
           { "step", static_cast<std::int64_t>(aTask.m_step) },
           { "task", static_cast<std::int64_t>(aTask.m_index) },
           { "run", static_cast<std::int64_t>(aRun) },
           { "worker", aWorker.Value() },
           { "outcome", std::string(aOutcome) } };
}

/// Time after which a worker can't have a command any more whose call takes up
/// to `aCallTime`, also through a relay.
Duration
LatestArrival(Duration aCallTime)
{
  return std::max(aCallTime + relay::kTransit, relay::kStartDelivery);
}

/// What the leader knows about the job of a reported end.
std::string
KnowledgeOf(const pool::TrackedJob* aJob)
{
  if (aJob == nullptr) {
    return "unknown";
  }
  return aJob->IsOver() ? "over" : "open";
}

} // namespace

WorkerLinks::WorkerLinks(net::Loop& aLoop,
                         const WorkerCalls& aCalls,
                         observe::Log& aLog,
                         observe::Metrics& aMetrics,
                         pool::PoolScheduler& aScheduler,
                         std::uint64_t aTerm,
                         WorkerLinkHooks aHooks)
  : m_loop(aLoop)
  , m_calls(aCalls)
  , m_log(aLog)
  , m_metrics(aMetrics)
  , m_scheduler(aScheduler)
  , m_term(aTerm)
  , m_hooks(std::move(aHooks))
{
}

std::optional<net::Address>
WorkerLinks::AddressOf(const pool::WorkerId& aWorker) const
{
  const auto it = m_scheduler.Workers().find(aWorker);
  if (it == m_scheduler.Workers().end()) {
    return std::nullopt;
  }
  return leaf::try_handle_all(
    [&]() -> Result<std::optional<net::Address>> {
      BOOST_LEAF_AUTO(address, net::ParseAddress(it->second.m_info.m_address));
      return std::optional(address);
    },
    [] { return std::optional<net::Address>(); });
}

DomainId
WorkerLinks::DomainOf(const pool::WorkerId& aWorker) const
{
  const auto it = m_scheduler.Workers().find(aWorker);
  return it == m_scheduler.Workers().end() ? DomainId()
                                           : it->second.m_info.m_domain;
}

void
WorkerLinks::Update()
{
  for (const auto& [id, worker] : m_scheduler.Workers()) {
    if (m_linkedWorkers.insert(id).second) {
      ExtendLease(id);
    }
  }
}

void
WorkerLinks::ExtendLeaseAfter(Duration aDelay, const pool::WorkerId& aWorker)
{
  m_loop.After(aDelay, [weak = weak_from_this(), aWorker] {
    if (const auto self = weak.lock(); self && !self->m_closed) {
      self->ExtendLease(aWorker);
    }
  });
}

void
WorkerLinks::ExtendLease(const pool::WorkerId& aWorker)
{
  const auto it = m_scheduler.Workers().find(aWorker);
  const auto address = AddressOf(aWorker);
  if (it == m_scheduler.Workers().end() || !address) {
    m_linkedWorkers.erase(aWorker);
    return;
  }
  if (!m_hooks.m_maySendCommands()) {
    ExtendLeaseAfter(kLeaseRetryDelay, aWorker);
    return;
  }
  const pool::WorkerRecord& worker = it->second;
  platform::LeaseExtension extension;
  extension.m_worker = aWorker;
  extension.m_address = *address;
  extension.m_term = m_term;
  extension.m_savedEnds = worker.SavedEnds();
  const Time sentAt = net::Loop::Now();
  const Duration wait = kLeaseExtensionWait + m_scheduler.ExtensionPause();
  const Duration answerTime =
    kLeaseExtensionTimeout + m_scheduler.CommandAllowance();
  extension.m_deadlineMs =
    m_scheduler.NextDeadline(sentAt, aWorker, LatestArrival(answerTime));
  // Without a lease the worker has to respond at once, so that the lease can be
  // extended.
  extension.m_wait = extension.m_deadlineMs == 0 ? Duration::zero() : wait;
  m_calls.ExtendLease(worker.m_info.m_domain,
                      extension,
                      extension.m_wait + answerTime,
                      [weak = weak_from_this(), aWorker, sentAt](
                        const platform::LeaseExtensionResult& aResult) {
                        if (const auto self = weak.lock();
                            self && !self->m_closed) {
                          self->OnLeaseExtended(aWorker, sentAt, aResult);
                        }
                      });
}

void
WorkerLinks::OnLeaseExtended(const pool::WorkerId& aWorker,
                             Time aSentAt,
                             const platform::LeaseExtensionResult& aResult)
{
  const auto it = m_scheduler.Workers().find(aWorker);
  if (it == m_scheduler.Workers().end()) {
    m_linkedWorkers.erase(aWorker);
    return;
  }
  if (aResult.m_state == platform::CommandState::Fenced) {
    Fenced(aWorker);
    ExtendLeaseAfter(kLeaseRetryDelay, aWorker);
    return;
  }
  const bool answered = aResult.m_inventory.has_value();
  m_log.WriteOnChange(
    "worker " + aWorker.Value(),
    answered ? "answers" : "silent",
    settings::LogLevel::Info,
    "dependency",
    { { "runs", static_cast<std::int64_t>(it->second.m_placements.size()) },
      { "term", static_cast<std::int64_t>(m_term) } });
  if (!answered) {
    m_scheduler.OnNoAnswer(aWorker);
    ExtendLeaseAfter(kLeaseRetryDelay, aWorker);
    return;
  }
  pool::Inventory inventory = *aResult.m_inventory;
  inventory.m_requestedAt = aSentAt;
  LogRestart(it->second, inventory);
  LogNewEnds(it->second, inventory);
  m_scheduler.OnInventory(net::Loop::Now(), aWorker, inventory);
  ExtendLeaseAfter(it->second.DelayBeforeNextInventory(), aWorker);
  m_hooks.m_onChange();
}

void
WorkerLinks::LogRestart(const pool::WorkerRecord& aWorker,
                        const pool::Inventory& aInventory)
{
  if (aInventory.m_incarnation <= aWorker.m_info.m_incarnation) {
    return;
  }
  m_log.Write(
    settings::LogLevel::Info,
    "worker_restarted",
    { { "worker", aWorker.m_info.m_id.Value() },
      { "source", "inventory" },
      { "incarnation", aInventory.m_incarnation },
      { "runs", static_cast<std::int64_t>(aWorker.m_placements.size()) } });
}

void
WorkerLinks::LogNewEnds(const pool::WorkerRecord& aWorker,
                        const pool::Inventory& aInventory)
{
  for (const pool::ReportedEnd& end : aInventory.m_ended) {
    if (end.m_number > aWorker.m_highestEnd) {
      observe::Fields fields = CommandFields(
        aWorker.m_info.m_id, end.m_task, end.m_run, NameOf(end.m_how));
      fields.emplace_back("job",
                          KnowledgeOf(m_scheduler.FindJob(end.m_task.m_job)));
      m_log.Write(settings::LogLevel::Info, "end", fields);
    }
  }
}

void
WorkerLinks::Fenced(const pool::WorkerId& aWorker)
{
  m_log.Write(settings::LogLevel::Warn,
              "fenced",
              { { "worker", aWorker.Value() },
                { "term", static_cast<std::int64_t>(m_term) } });
  m_hooks.m_onFenced();
}

void
WorkerLinks::Start(const pool::StartTask& aStart)
{
  m_metrics.Add(observe::Metric::TaskStarts, { "pool" });
  SendStart(aStart, false);
}

void
WorkerLinks::SendStart(const pool::StartTask& aStart, bool aInDoubt)
{
  // A start that an inventory has listed needs no answer; a further copy could
  // be executed by the next incarnation of the worker. A copy that reaches the
  // worker before the stop does would run.
  if (!m_scheduler.IsWanted(aStart) || m_scheduler.IsListed(aStart) ||
      m_scheduler.IsBeingStopped(aStart)) {
    return;
  }
  const Time now = net::Loop::Now();
  // An earlier copy may have started it; the stop that follows also makes the
  // worker refuse a copy that is still under way.
  if (m_scheduler.IsForEarlierIncarnation(aStart) ||
      m_scheduler.IsForDrainingWorker(aStart)) {
    m_scheduler.AbandonStart(now, aStart);
    m_hooks.m_onChange();
    return;
  }
  if (!m_scheduler.MayStart(now)) {
    // The job may have been cancelled; the run keeps its place until that is
    // known.
    StartLater(aStart, aInDoubt);
    return;
  }
  const auto address = AddressOf(aStart.m_worker);
  const Duration callTime = kCommandTimeout + m_scheduler.CommandAllowance();
  StartAttempt attempt{ aStart, now, aInDoubt, 0, 0 };
  if (address && m_hooks.m_maySendCommands()) {
    attempt.m_deadlineMs =
      m_scheduler.DeadlineOfStart(now, aStart, LatestArrival(callTime));
    attempt.m_leastClockMs =
      m_scheduler.Workers().at(aStart.m_worker).LeastClockMs(now);
  }
  if (attempt.m_deadlineMs == 0) {
    if (aInDoubt) {
      StartLater(aStart, true);
      return;
    }
    platform::StartResult result;
    result.m_state = platform::CommandState::NotSent;
    result.m_outcome = pool::StartOutcome::NotSent;
    m_loop.After(Duration::zero(), [weak = weak_from_this(), attempt, result] {
      if (const auto self = weak.lock(); self && !self->m_closed) {
        self->OnStarted(attempt, result);
      }
    });
    return;
  }
  m_calls.Start(
    DomainOf(aStart.m_worker),
    *address,
    aStart,
    m_term,
    attempt.m_deadlineMs,
    callTime,
    [weak = weak_from_this(), attempt](const platform::StartResult& aResult) {
      if (const auto self = weak.lock(); self && !self->m_closed) {
        self->OnStarted(attempt, aResult);
      }
    });
}

void
WorkerLinks::OnStarted(const StartAttempt& aAttempt,
                       const platform::StartResult& aResult)
{
  using pool::StartOutcome;
  const pool::StartTask& start = aAttempt.m_start;
  if (aResult.m_state == platform::CommandState::Fenced) {
    Fenced(start.m_worker);
  }
  LogStart(aAttempt, aResult);
  const Time now = net::Loop::Now();
  const StartOutcome outcome = aResult.m_outcome;
  const bool conclusive =
    outcome == StartOutcome::Started || !aAttempt.m_inDoubt;
  if (aResult.m_clockMs != 0 &&
      aResult.m_clockMs + kClockResolutionMs < aAttempt.m_leastClockMs) {
    m_scheduler.OnClockOfLaterIncarnation(
      now, aAttempt.m_sentAt, start.m_worker);
  }
  if (outcome != StartOutcome::Unknown && conclusive) {
    m_scheduler.OnStartOutcome(now, start, outcome);
    m_hooks.m_onChange();
    return;
  }
  if (outcome != StartOutcome::Unknown && outcome != StartOutcome::NotSent) {
    // The earlier command may still be executed. A stop makes the worker refuse
    // it.
    m_scheduler.AbandonStart(now, start);
    m_hooks.m_onChange();
    return;
  }
  StartLater(start, true);
}

void
WorkerLinks::LogStart(const StartAttempt& aAttempt,
                      const platform::StartResult& aResult)
{
  const pool::StartTask& start = aAttempt.m_start;
  observe::Fields fields = CommandFields(
    start.m_worker, start.m_task, start.m_run, NameOf(aResult.m_outcome));
  fields.emplace_back("deadline_ms", aAttempt.m_deadlineMs);
  fields.emplace_back("least_clock_ms", aAttempt.m_leastClockMs);
  fields.emplace_back("clock_ms", aResult.m_clockMs);
  m_log.Write(settings::LogLevel::Info, "start", fields);
}

void
WorkerLinks::StartLater(const pool::StartTask& aStart, bool aInDoubt)
{
  m_loop.After(kRetryPause, [weak = weak_from_this(), aStart, aInDoubt] {
    if (const auto self = weak.lock(); self && !self->m_closed) {
      self->SendStart(aStart, aInDoubt);
    }
  });
}

void
WorkerLinks::Stop(const pool::StopTask& aStop)
{
  if (!m_scheduler.IsWanted(aStop)) {
    return;
  }
  const auto address = AddressOf(aStop.m_worker);
  if (!address || !m_hooks.m_maySendCommands()) {
    StopLater(aStop);
    return;
  }
  m_calls.Stop(
    DomainOf(aStop.m_worker),
    *address,
    aStop,
    m_term,
    kCommandTimeout + m_scheduler.CommandAllowance(),
    [weak = weak_from_this(), aStop, sentAt = net::Loop::Now()](
      platform::CommandState aState) {
      const auto self = weak.lock();
      if (!self || self->m_closed) {
        return;
      }
      observe::Fields fields = CommandFields(
        aStop.m_worker, aStop.m_task, aStop.m_run, NameOf(aState));
      fields.emplace_back("reason", std::string(NameOf(aStop.m_reason)));
      self->m_log.Write(settings::LogLevel::Info, "stop", fields);
      if (aState == platform::CommandState::Fenced) {
        self->Fenced(aStop.m_worker);
      }
      if (aState == platform::CommandState::Done) {
        self->m_scheduler.OnStopConfirmed(net::Loop::Now(), sentAt, aStop);
        return;
      }
      self->StopLater(aStop);
    });
}

void
WorkerLinks::StopLater(const pool::StopTask& aStop)
{
  m_loop.After(kRetryPause, [weak = weak_from_this(), aStop] {
    if (const auto self = weak.lock(); self && !self->m_closed) {
      self->Stop(aStop);
    }
  });
}

} // namespace lacewing::edge
