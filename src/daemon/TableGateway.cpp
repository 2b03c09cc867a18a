#include "daemon/TableGateway.h"

namespace lacewing::daemon {

namespace {

using observe::Metric;

constexpr Duration kTableTimeout = seconds(1);
/// Records that arrive within this time of a tick share the next one.
constexpr Duration kGroupCommitTick = milliseconds(2);

} // namespace

TableGateway::TableGateway(net::Loop& aLoop,
                           net::HttpClient& aHttp,
                           const net::Address& aAddress,
                           observe::Metrics& aMetrics)
  : m_loop(aLoop)
  , m_client(aHttp, aAddress)
  , m_metrics(aMetrics)
  , m_groupTimer(aLoop, kGroupCommitTick, [this] { TickGroup(); })
{
}

void
TableGateway::TickGroup()
{
  const Time now = net::Loop::Now();
  const auto wakeup = m_group.NextWakeup();
  if (wakeup && *wakeup <= now) {
    Carry(m_group.OnTick(now));
  }
  ArmGroup();
}

void
TableGateway::ArmGroup()
{
  if (const auto wakeup = m_group.NextWakeup()) {
    m_groupTimer.CallBy(*wakeup);
  }
}

void
TableGateway::Submit(std::string_view aPurpose,
                     const table::Commit& aCommit,
                     table::CommitDone aDone)
{
  m_metrics.Add(Metric::TableWrites, { aPurpose });
  m_client.Submit(
    aCommit,
    kTableTimeout,
    [this, done = std::move(aDone)](const table::CommitResult& aResult) {
      if (aResult.m_state == table::CommitState::Unknown ||
          aResult.m_state == table::CommitState::NotApplied) {
        m_metrics.Add(Metric::TableErrors, { NameOf(aResult.m_state) });
      }
      done(aResult);
    });
}

void
TableGateway::Fetch(std::string_view aPurpose,
                    const table::Read& aRead,
                    table::ReadDone aDone)
{
  m_metrics.Add(Metric::TableReads, { aPurpose });
  m_client.Fetch(
    aRead,
    kTableTimeout,
    [this, done = std::move(aDone)](const table::ReadResult& aResult) {
      if (!aResult.m_ok) {
        m_metrics.Add(Metric::TableErrors, { "read_failed" });
      }
      done(aResult);
    });
}

void
TableGateway::WriteRecord(table::RecordWrite aWrite, RecordDone aDone)
{
  const auto record = m_group.Add(std::move(aWrite));
  if (!record) {
    m_loop.After(Duration::zero(), [done = std::move(aDone)] {
      done({ 0, table::CommitState::NotApplied, 0 });
    });
    return;
  }
  m_records.emplace(*record, std::move(aDone));
  ArmGroup();
}

void
TableGateway::Carry(const table::GroupCommitEffects& aEffects)
{
  if (aEffects.m_commit) {
    const auto operation = aEffects.m_commit->m_operation;
    Submit("records",
           aEffects.m_commit->m_commit,
           [this, operation](const table::CommitResult& aResult) {
             Carry(
               m_group.OnCommitResult(net::Loop::Now(), operation, aResult));
           });
  }
  if (aEffects.m_read) {
    const auto operation = aEffects.m_read->m_operation;
    Fetch("records",
          aEffects.m_read->m_read,
          [this, operation](const table::ReadResult& aResult) {
            Carry(m_group.OnReadResult(net::Loop::Now(), operation, aResult));
          });
  }
  for (const table::RecordResult& result : aEffects.m_results) {
    auto found = m_records.extract(result.m_record);
    if (!found.empty()) {
      found.mapped()(result);
    }
  }
  ArmGroup();
}

} // namespace lacewing::daemon
