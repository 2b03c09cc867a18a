/// Runs the leader election of the pool in this daemon: writes the leader's row
/// and, guarded by its version, the progress rows; probes the current leader;
/// and creates and closes the `PoolLeader` of this process.
#pragma once

#include "edge/PoolLeader.h"
#include "edge/RowBatchLimit.h"
#include "net/LoopLagProbe.h"
#include "net/PacedTimer.h"
#include "net/ProcessorProbe.h"
#include "pool/AdmissionControl.h"
#include "pool/LeaderElection.h"
#include "pool/ProcessorSpeed.h"

#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace lacewing::edge {

class Leadership
{
public:
  Leadership(const LeaderContext& aContext, std::uint64_t aIncarnation);

  void Start();
  void SetConfig(const pool::PoolConfig& aConfig);
  /// Failure domains under evacuation, for a leader in this process.
  void SetEvacuations(const std::set<DomainId>& aDomains);
  /// Sets the claim delay from the latency of a store read, so that a daemon
  /// close to the store claims first.
  void SetStoreDelay(Duration aReadTime);
  /// Steps down if another daemon leads with a later term.
  void OnLaterLeader(const pool::LeaderRow& aLeader);
  /// Gives up the leadership; no commands are sent after this.
  void Resign();

  /// The leader in this process, once it is loaded; null otherwise.
  std::shared_ptr<PoolLeader> Local() const;
  /// Address of the leader; empty if no leader is known.
  std::optional<net::Address> LeaderAddress() const;
  /// The counts of waiting jobs are large; they are included on request.
  LeaderStatus OwnStatus(bool aWithCounts);
  /// Waiting jobs by queue, as last counted by the leader.
  struct WaitingCount
  {
    std::map<pool::QueueId, std::size_t> m_jobs;
    Time m_at = Time::min();
  };
  WaitingCount WaitingJobs();
  /// How late the event loop of the remote leader was when it last answered.
  Duration LeaderLag() const { return m_leaderLag; }
  /// The daemon can call workers in place of this one, if this one leads or is
  /// about to.
  void OnRelaySeen(const relay::RelayPeer& aPeer);
  /// How late the event loop of this process is.
  Duration LoopLag() const { return m_loopLag; }
  /// Highest term that this daemon has heard of.
  std::uint64_t KnownTerm() const { return m_election.Term(); }
  /// Part of the new jobs that the leader can take at present.
  double AdmittedShare() const;
  /// True while a row of this process is being written.
  bool IsWriting() const { return m_writing; }

private:
  /// Progress rows written in one transaction, with or without the leader's
  /// row.
  struct RowBatch
  {
    std::vector<pool::PoolScheduler::ProgressWrite> m_saves;
    std::vector<std::string> m_expired; ///< keys to delete
  };

  void Advance();
  void MeasureLoopLag();
  void OnLoopLag(Duration aLag);
  void LogAdmission() const;
  void ReadRow();
  /// The store had that version after the process with the incarnation `aEnded`
  /// had ended; 0 if none is known to have.
  void OnRowRead(std::uint64_t aEnded, RowVersion aVersion);
  /// Rows that are younger than this were stored after all earlier leaders had
  /// ended. Nothing if one of them may go on.
  std::optional<RowVersion> UnseenAfter() const;
  void Write(const pool::ElectionAction& aAction);
  void OnWritten(const pool::ElectionAction& aAction,
                 const RowBatch& aRows,
                 const table::CommitResult& aResult);
  void WriteRows();
  /// The store does not accept the content of a transaction.
  void LogRefusedRows(const RowBatch& aRows);
  void UpdateRole();
  void ProbeLeader();
  /// The process that led before sends no more commands.
  void OnPreviousLeaderStopped();
  /// Probes the previous leader until it is known to have stopped.
  void ProbePreviousLeader();
  void OnStatus(Time aSentAt,
                std::uint64_t aIncarnation,
                const net::HttpOutcome& aOutcome);
  /// Asks a seed daemon for the current leader unless the last probe confirmed
  /// the known one; this also works while the store is unreachable.
  void AskSeed();
  void OnLeaderReported(const pool::LeaderRow& aLeader, const char* aSource);
  void AddRows(table::Commit& aCommit, RowBatch& aRows);

  LeaderContext m_context;
  std::uint64_t m_incarnation;
  pool::LeaderElection m_election;
  pool::PoolConfig m_config;
  std::set<DomainId> m_evacuations;
  std::shared_ptr<PoolLeader> m_leader;
  net::PacedTimer m_timer;
  /// The row that this daemon's claim replaced.
  pool::LeaderRow m_previousLeader;
  RowVersion m_previousVersion = 0; ///< of that row
  /// Version of the store at the first read of this process.
  std::optional<RowVersion> m_firstReadVersion;
  /// Incarnation of the last leader that another process has replaced at its
  /// address; 0 for none.
  std::uint64_t m_endedLeader = 0;
  /// An ended leader, and the version of the store at the first read after its
  /// end was known.
  std::pair<std::uint64_t, RowVersion> m_lastSeenByEnded;
  bool m_writing = false;
  bool m_stopping = false; ///< this process is about to end
  /// Set after a transaction with unknown outcome, which may still be applied:
  /// the leader's row must be rewritten before progress is written again.
  bool m_renewFirst = false;
  RowBatchLimit m_batchLimit;
  Time m_nextWrite{};
  Time m_nextRecord{};
  Time m_nextRuntimes{};
  Time m_tickDue = Time::max();
  Duration m_loopLag{};   ///< of the event loop, as seen by the ticks
  Duration m_leaderLag{}; ///< likewise of a remote leader, as last reported
  pool::AdmissionControl m_admission; ///< of the leader in this process
  pool::HeardAdmission m_heard;       ///< of a remote leader
  WaitingCount m_lastWaiting; ///< own, or of the last probe of the leader
  bool m_probePending = false;
  std::size_t m_nextSeed = 0;
  net::LoopLagProbe m_lagProbe;
  pool::ProcessorSpeed m_speed;
  net::ProcessorProbe m_processorProbe;
};

} // namespace lacewing::edge
