#include "pool/LeaderElection.h"

#include <algorithm>

namespace lacewing::pool {

namespace {

/// Delay after a failed read or write of the row.
constexpr Duration kRetryDelay = milliseconds(150);
/// Time allowed for a renewal on top of the leader timeout, as a multiple of
/// the read time: a renewal waits for the transactions queued before it.
constexpr int kReadsForRenewal = 6;
/// A daemon waits for this multiple of its read time before it claims.
constexpr int kClaimDelayReads = 3;
/// Processor share that leading a pool of some hundred workers needs.
constexpr double kCoresToLead = 0.25;
/// Link of a VM that leads such a pool, in Mbit/s. It reads the rows of some
/// thousand jobs, each about a kilobyte, before it starts anything.
constexpr double kLinkToLead = 50;
/// Extra wait of a VM with half of that share or of that link; long enough for
/// the others to notice that there is no leader and to claim.
constexpr Duration kSmallVmDelay = milliseconds(600);
constexpr double kLeastCores = 0.05;
/// A new leader reads all jobs and asks all workers before its event loop is as
/// fast as usual.
constexpr Duration kLoadingGrace = seconds(3);
/// A renewal passes through the event loop several times.
constexpr int kLagsForGrace = 4;
/// The next renewal can take this multiple of the time of the last one.
constexpr int kRenewalsForGrace = 2;

} // namespace

Duration
ClaimDelay(Duration aReadTime, double aCores, double aLinkMbps)
{
  const double lackOfCores =
    std::max(0.0, kCoresToLead / std::max(aCores, kLeastCores) - 1);
  // Bounded, since in some pools all links are slow.
  const double lackOfLink = std::clamp(kLinkToLead / aLinkMbps - 1, 0.0, 1.0);
  return aReadTime * kClaimDelayReads +
         Scale(kSmallVmDelay, lackOfCores + lackOfLink);
}

LeaderElection::LeaderElection(LeaderRow aSelf, ElectionOptions aOptions)
  : m_self(std::move(aSelf))
  , m_options(aOptions)
{
}

bool
LeaderElection::IsSelf(const LeaderRow& aRow) const
{
  return aRow.m_vm == m_self.m_vm && aRow.m_incarnation == m_self.m_incarnation;
}

bool
LeaderElection::MaySendCommands(Time aNow) const
{
  return m_role == Role::Leader && !m_resigned &&
         aNow < m_leaseStart + m_options.m_leaderLease;
}

bool
LeaderElection::MayClaim(Time aNow) const
{
  const Time unchangedSince = m_changedAt + m_claimDelay;
  if (m_row.m_vm.empty() || m_row.m_vm == m_self.m_vm) {
    // There is no leader, or it was an earlier process of this VM.
    return aNow >= unchangedSince;
  }
  switch (m_probeResult) {
    case LeaderProbeResult::Leads:
      return false;
    case LeaderProbeResult::Ended:
      return aNow >= unchangedSince;
    case LeaderProbeResult::Unsettled:
      return aNow >= unchangedSince + m_options.m_leaderTimeout +
                       m_readTime * kReadsForRenewal;
    case LeaderProbeResult::StoreFailed:
    case LeaderProbeResult::Unreachable:
      // A leader whose processor is busy answers late, like one that is gone.
      return aNow >= unchangedSince + m_options.m_leaderTimeout +
                       m_readTime * kReadsForRenewal + m_row.m_renewalGrace;
  }
  return false;
}

Duration
LeaderElection::RenewalGrace(ElectionStep aStep) const
{
  const Duration busy =
    std::max(m_loopLag * kLagsForGrace, m_renewalTime * kRenewalsForGrace);
  const bool loading = aStep == ElectionStep::Claim || m_loading;
  return std::clamp(
    busy, loading ? kLoadingGrace : Duration::zero(), kMaxRenewalGrace);
}

ElectionAction
LeaderElection::Write(Time aNow, ElectionStep aStep, std::uint64_t aTerm)
{
  ElectionAction action{ aStep, m_version, m_self };
  action.m_row.m_term = aTerm;
  action.m_row.m_workers = m_workers;
  action.m_row.m_cordoned = m_cordoned;
  action.m_row.m_settled = m_settled;
  action.m_row.m_renewalGrace = RenewalGrace(aStep);
  if (m_resigned) {
    action.m_row.m_vm.clear();
  }
  m_busy = true;
  m_requestedAt = aNow;
  return action;
}

ElectionAction
LeaderElection::OnTick(Time aNow)
{
  if (m_busy || aNow < m_retryAt) {
    return {};
  }
  if (m_reread || !m_known) {
    m_busy = true;
    m_requestedAt = aNow;
    m_readAt = aNow;
    return { ElectionStep::ReadRow, 0, {} };
  }
  if (m_resigned) {
    const bool own = !m_row.m_vm.empty() && IsSelf(m_row);
    return own ? Write(aNow, ElectionStep::Renew, m_row.m_term)
               : ElectionAction();
  }
  if (m_role == Role::Leader) {
    if (m_renewSoon || aNow >= m_lastRenewal + m_options.m_renewPeriod) {
      m_renewSoon = false;
      return Write(aNow, ElectionStep::Renew, m_row.m_term);
    }
    return {};
  }
  if (MayClaim(aNow)) {
    // Tasks of the previous leader may run on its workers until they report to
    // this one, so the row must still name them for a successor.
    m_workers = m_row.m_workers;
    m_cordoned = m_row.m_cordoned;
    m_settled = false;
    return Write(aNow, ElectionStep::Claim, m_row.m_term + 1);
  }
  const bool leaderSuspected = m_probeResult != LeaderProbeResult::Leads;
  if (leaderSuspected && aNow >= m_readAt + m_options.m_readPeriod) {
    m_reread = true;
    return OnTick(aNow);
  }
  return {};
}

void
LeaderElection::OnRow(Time aNow,
                      const std::optional<LeaderRow>& aRow,
                      RowVersion aVersion)
{
  m_busy = false;
  m_reread = false;
  const bool changed = !m_known || aVersion != m_version;
  m_known = true;
  m_version = aVersion;
  if (changed) {
    m_changedAt = aNow;
    const LeaderRow row = aRow.value_or(LeaderRow{});
    const bool otherProcess =
      row.m_vm != m_row.m_vm || row.m_incarnation != m_row.m_incarnation;
    m_row = row;
    if (otherProcess) {
      m_probeResult = LeaderProbeResult::Leads;
    }
  }
  const bool own = !m_row.m_vm.empty() && IsSelf(m_row);
  if (!own) {
    m_role = Role::Follower;
  } else if (changed && !m_resigned) {
    // A write whose response was lost has taken effect.
    m_role = Role::Leader;
    m_lastRenewal = aNow;
    m_leaseStart = m_requestedAt;
  }
}

void
LeaderElection::OnReadFailed(Time aNow)
{
  m_busy = false;
  m_retryAt = aNow + kRetryDelay;
}

void
LeaderElection::OnWritten(Time aNow, const LeaderRow& aRow, RowVersion aVersion)
{
  m_busy = false;
  m_row = aRow;
  m_version = aVersion;
  m_changedAt = aNow;
  m_lastRenewal = aNow;
  m_renewalTime = aNow - m_requestedAt;
  // The response may be read long after the store has sent it, if this process
  // was stopped in between. Other daemons see the renewal from its sending on.
  m_leaseStart = m_requestedAt;
  const bool leads = !aRow.m_vm.empty() && !m_resigned;
  m_role = leads ? Role::Leader : Role::Follower;
  m_probeResult = LeaderProbeResult::Leads;
}

void
LeaderElection::OnConflict(Time)
{
  m_busy = false;
  m_reread = true;
}

void
LeaderElection::OnWriteFailed(Time aNow)
{
  m_busy = false;
  m_renewalTime = aNow - m_requestedAt;
  m_reread = true;
  m_retryAt = aNow + kRetryDelay;
}

void
LeaderElection::OnLeaderProbed(Time aNow,
                               std::uint64_t aIncarnation,
                               LeaderProbeResult aResult)
{
  if (m_role == Role::Leader || aIncarnation != m_row.m_incarnation) {
    return;
  }
  if (aResult != LeaderProbeResult::Leads &&
      m_probeResult == LeaderProbeResult::Leads) {
    // The leader timeout starts at the first failed probe; an older read of the
    // row doesn't show whether the leader renews it now.
    m_changedAt = aNow;
    m_reread = true;
  }
  m_probeResult = aResult;
}

bool
LeaderElection::OnLeaderReported(Time aNow, const LeaderRow& aLeader)
{
  if (!m_known || m_role == Role::Leader || aLeader.m_vm.empty() ||
      aLeader.m_term <= m_row.m_term || IsSelf(aLeader)) {
    return false;
  }
  m_row = aLeader;
  m_row.m_workers.clear();
  m_row.m_cordoned.clear();
  m_probeResult = LeaderProbeResult::Leads;
  m_changedAt = aNow;
  // A claim needs the version of the row and the workers that it names.
  m_reread = true;
  return true;
}

void
LeaderElection::OnFenced(Time)
{
  // Only a later leader can have sent the worker a higher token.
  m_role = Role::Follower;
  m_reread = true;
}

void
LeaderElection::Resign()
{
  m_resigned = true;
  m_role = Role::Follower;
}

} // namespace lacewing::pool
