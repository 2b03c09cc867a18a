/// The daemon's access to the table service: timeouts, counters and the group
/// commit of single records.
#pragma once

#include "net/Loop.h"
#include "net/PacedTimer.h"
#include "observe/Metrics.h"
#include "table/GroupCommit.h"
#include "table/TableClient.h"

#include <unordered_map>

namespace lacewing::daemon {

using RecordDone = std::function<void(const table::RecordResult&)>;

class TableGateway
{
public:
  TableGateway(net::Loop& aLoop,
               net::HttpClient& aHttp,
               const net::Address& aAddress,
               observe::Metrics& aMetrics);

  /// Calls back exactly once. The purpose is a label of the metrics.
  void Submit(std::string_view aPurpose,
              const table::Commit& aCommit,
              table::CommitDone aDone);
  /// Calls back exactly once. The purpose is a label of the metrics.
  void Fetch(std::string_view aPurpose,
             const table::Read& aRead,
             table::ReadDone aDone);

  /// Writes one row through group commit and calls back exactly once; with
  /// `NotApplied` at once when the backlog is full.
  void WriteRecord(table::RecordWrite aWrite, RecordDone aDone);
  /// Members that share the budget of writes.
  void SetMembers(int aMembers) { m_group.SetMembers(aMembers); }
  /// Budget of the group commits of all members, and records of one.
  void SetRecordBudget(int aWritesPerSecond, std::size_t aMaxBatch)
  {
    m_group.SetBudget(aWritesPerSecond, aMaxBatch);
  }
  std::size_t PendingRecords() const { return m_group.size(); }

private:
  void TickGroup();
  /// Arms the timer of the group commit; called after each of its inputs.
  void ArmGroup();
  void Carry(const table::GroupCommitEffects& aEffects);

  net::Loop& m_loop;
  table::TableClient m_client;
  observe::Metrics& m_metrics;
  table::GroupCommit m_group;
  std::unordered_map<table::RecordId, RecordDone> m_records;
  net::PacedTimer m_groupTimer;
};

} // namespace lacewing::daemon
