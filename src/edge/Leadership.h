/// Keeps one daemon leading the pool: writes the row of the leader and, with
/// it, the rows of progress; asks the leader whether it still leads; and starts
/// and ends the leader's work in this process.
#pragma once

#include "edge/PoolLeader.h"
#include "net/PacedTimer.h"
#include "pool/LeaderElection.h"

#include <memory>

namespace lacewing::edge {

class Leadership
{
public:
  Leadership(const LeaderContext& aContext, std::uint64_t aIncarnation);

  void Start();
  void SetConfig(const pool::PoolConfig& aConfig);
  /// Time of a read of the store; a daemon that is near claims first.
  void SetStoreDelay(Duration aReadTime);
  /// Another daemon leads with a later term.
  void OnLaterLeader(const pool::LeaderRow& aLeader);
  /// Hands the leadership over; no orders after this.
  void Resign();

  /// The leader in this process, once it is loaded; null otherwise.
  std::shared_ptr<PoolLeader> Local() const;
  /// Address of the leader; nothing if nobody is known to lead.
  std::optional<net::Address> LeaderAddress() const;
  LeaderStatus OwnStatus() const;
  /// Waiting jobs by queue as the leader counted them last.
  struct WaitingCount
  {
    std::map<pool::QueueId, std::size_t> m_jobs;
    Time m_at = Time::min();
  };
  WaitingCount WaitingJobs() const;
  /// True while a row of this process is being written.
  bool IsWriting() const { return m_writing; }

private:
  /// What a transaction of the leader carries besides its own row.
  struct RowBatch
  {
    std::vector<pool::PoolScheduler::ProgressWrite> m_saves;
    std::vector<std::string> m_expired; ///< keys that it deletes
  };

  void Advance();
  void ReadRow();
  void Write(const pool::ElectionAction& aOrder);
  void OnWritten(const pool::ElectionAction& aOrder,
                 const RowBatch& aRows,
                 const table::CommitResult& aResult);
  void WriteRows();
  void UpdateRole();
  void AskLeader();
  /// Asks the previous leader until it is known to have stopped.
  void AskPrevious();
  void OnStatus(Time aAsked,
                std::uint64_t aIncarnation,
                const net::HttpOutcome& aOutcome);
  /// While the leader is in doubt and the store may be out of reach, other
  /// daemons may know a later one.
  void AskSeed();
  void HearOf(const pool::LeaderRow& aLeader, const char* aSource);
  void AddRows(table::Commit& aCommit, RowBatch& aRows);

  LeaderContext m_context;
  std::uint64_t m_incarnation;
  pool::LeaderElection m_election;
  pool::PoolConfig m_config;
  std::shared_ptr<PoolLeader> m_leader;
  net::PacedTimer m_timer;
  pool::LeaderRow m_previous; ///< the row before the own claim
  bool m_writing = false;
  /// A transaction may still be applied; the row of the leader has to change
  /// before progress is written again.
  bool m_renewFirst = false;
  Time m_nextWrite{};
  WaitingCount m_lastWaiting; ///< of another daemon that leads
  bool m_asking = false;
  std::size_t m_nextSeed = 0;
};

} // namespace lacewing::edge
