/// Sends the leader's commands to the workers and passes their responses to the
/// scheduler: keeps one lease extension in flight per worker, and retries
/// starts and stops until their outcome is known.
#pragma once

#include "edge/WorkerCalls.h"
#include "net/Loop.h"
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "pool/PoolScheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace lacewing::edge {

struct WorkerLinkHooks
{
  /// Something changed; the leader should plan.
  std::function<void()> m_onChange;
  /// A worker has seen a later leader.
  std::function<void()> m_onFenced;
  /// False while no commands may be sent.
  std::function<bool()> m_maySendCommands;
};

class WorkerLinks : public std::enable_shared_from_this<WorkerLinks>
{
public:
  WorkerLinks(net::Loop& aLoop,
              const WorkerCalls& aCalls,
              observe::Log& aLog,
              observe::Metrics& aMetrics,
              pool::PoolScheduler& aScheduler,
              std::uint64_t aTerm,
              WorkerLinkHooks aHooks);

  /// Opens links to workers that have none.
  void Update();
  void Start(const pool::StartTask& aStart);
  void Stop(const pool::StopTask& aStop);
  /// No commands are sent and no callbacks run after this.
  void Close() { m_closed = true; }

private:
  void ExtendLease(const pool::WorkerId& aWorker);
  void ExtendLeaseAfter(Duration aDelay, const pool::WorkerId& aWorker);
  void OnLeaseExtended(const pool::WorkerId& aWorker,
                       Time aSentAt,
                       const platform::LeaseExtensionResult& aResult);
  /// One attempt to start a task.
  struct StartAttempt
  {
    pool::StartTask m_start;
    Time m_sentAt{};
    bool m_inDoubt = false;        ///< an earlier attempt was not answered
    std::int64_t m_deadlineMs = 0; ///< lease end sent, on the worker's clock
    /// The worker's clock as it is at least, unless it has restarted.
    std::int64_t m_leastClockMs = 0;
  };

  void SendStart(const pool::StartTask& aStart, bool aInDoubt);
  void StartLater(const pool::StartTask& aStart, bool aInDoubt);
  void StopLater(const pool::StopTask& aStop);
  void OnStarted(const StartAttempt& aAttempt,
                 const platform::StartResult& aResult);
  void LogStart(const StartAttempt& aAttempt,
                const platform::StartResult& aResult);
  void LogRestart(const pool::WorkerRecord& aWorker,
                  const pool::Inventory& aInventory);
  void LogNewEnds(const pool::WorkerRecord& aWorker,
                  const pool::Inventory& aInventory);
  void Fenced(const pool::WorkerId& aWorker);
  std::optional<net::Address> AddressOf(const pool::WorkerId& aWorker) const;
  /// Failure domain of a worker that is known; empty for another.
  DomainId DomainOf(const pool::WorkerId& aWorker) const;

  net::Loop& m_loop;
  WorkerCalls m_calls;
  observe::Log& m_log;
  observe::Metrics& m_metrics;
  pool::PoolScheduler& m_scheduler;
  std::uint64_t m_term;
  WorkerLinkHooks m_hooks;
  /// Workers with a lease extension in flight or scheduled.
  std::set<pool::WorkerId> m_linkedWorkers;
  bool m_closed = false;
};

} // namespace lacewing::edge
