/// Decides when a daemon reads the stored row of the leader, claims it, renews
/// it or steps down. One daemon leads at a time; the row's term is the fencing
/// token that workers and the store check.
///
/// A pure state machine: each call returns the next step, if there is one, and
/// the caller reports how it ended.
#pragma once

#include "core/EnumNames.h"
#include "core/Time.h"
#include "pool/JobRows.h"

#include <optional>
#include <string>

namespace lacewing::pool {

enum class Role : std::uint8_t
{
  Follower,
  Leader,
};

enum class ElectionStep : std::uint8_t
{
  None,
  ReadRow, ///< read the row of the leader
  Claim,   ///< write `m_row` if the row still has `m_expected`
  Renew,   ///< the same, as the leader
};

struct ElectionAction
{
  ElectionStep m_step = ElectionStep::None;
  RowVersion m_expected = 0;
  LeaderRow m_row;
};

/// A leader that has not renewed its row for this long sends no more commands.
inline constexpr Duration kLeaderLease = seconds(5);

struct ElectionOptions
{
  /// A leader whose row does not change for this long may be replaced, if its
  /// process does not respond either.
  Duration m_leaderTimeout = milliseconds(900);
  Duration m_renewPeriod = milliseconds(500);
  /// Least time between two reads of the row.
  Duration m_readPeriod = milliseconds(250);
  Duration m_leaderLease = kLeaderLease;
};

/// Result of a daemon's probe of the leader.
enum class LeaderProbeResult : std::uint8_t
{
  Leads,       ///< it responds, and its row is fresh
  StoreFailed, ///< it responds, but cannot renew its row
  Unsettled,   ///< its process reports that it does not lead (yet or any more)
  Ended,       ///< its process has ended
  Unreachable,
};

/// How long a daemon waits before it claims, so that those come first that are
/// near the store and have a processor and a link that can lead.
Duration
ClaimDelay(Duration aReadTime, double aCores, double aLinkMbps);

class LeaderElection
{
public:
  LeaderElection(LeaderRow aSelf, ElectionOptions aOptions);

  /// The extra wait before this daemon claims; shorter for one that is near
  /// the store.
  void SetClaimDelay(Duration aDelay) { m_claimDelay = aDelay; }

  ElectionAction OnTick(Time aNow);
  /// The row as read; nothing if there is none.
  void OnRow(Time aNow,
             const std::optional<LeaderRow>& aRow,
             RowVersion aVersion);
  void OnReadFailed(Time aNow);
  /// A claim or renewal took effect.
  void OnWritten(Time aNow, const LeaderRow& aRow, RowVersion aVersion);
  /// The row has changed: another daemon leads, or an own write whose response
  /// was lost has taken effect.
  void OnConflict(Time aNow);
  /// The write may or may not have taken effect, or was refused.
  void OnWriteFailed(Time aNow);
  /// Takes the result of probing the process of that incarnation. The result is
  /// ignored unless that process is still the known leader.
  void OnLeaderProbed(Time aNow,
                      std::uint64_t aIncarnation,
                      LeaderProbeResult aResult);
  /// Another daemon names the leader. True if it replaces the known leader.
  bool OnLeaderReported(Time aNow, const LeaderRow& aLeader);
  /// A worker has refused a command with this leader's token.
  void OnFenced(Time aNow);
  /// Gives up leading; the next steps write a row without a leader.
  void Resign();
  /// How long the last read of the row took. Renewals take longer too while
  /// the store is slow.
  void SetReadTime(Duration aReadTime) { m_readTime = aReadTime; }

  Role CurrentRole() const { return m_role; }
  /// True while this daemon may send commands.
  bool MaySendCommands(Time aNow) const;
  /// The leader, as far as known; empty if nobody leads. A leader reported by
  /// another daemon comes without its workers.
  const LeaderRow& Leader() const { return m_row; }
  LeaderProbeResult Contact() const { return m_probeResult; }
  RowVersion Version() const { return m_version; }
  std::uint64_t Term() const { return m_row.m_term; }
  /// When the last renewal was confirmed.
  Time LastRenewal() const { return m_lastRenewal; }
  /// Workers to be named in the next renewal, and those that the leader has
  /// lost contact with.
  void SetWorkers(std::vector<WorkerId> aWorkers,
                  std::vector<CordonedWorker> aCordoned)
  {
    m_workers = std::move(aWorkers);
    m_cordoned = std::move(aCordoned);
  }
  /// Whether the next renewal marks the leadership as settled.
  void SetSettled(bool aSettled) { m_settled = aSettled; }
  /// How late the calls of this daemon's event loop are. The next renewal asks
  /// the others for a multiple of that time.
  void SetLoopLag(Duration aLag) { m_loopLag = aLag; }
  /// While the leader reads the stored jobs its renewals may be late.
  void SetLoading(bool aLoading) { m_loading = aLoading; }
  /// Renews at the next tick instead of after the period.
  void RenewSoon() { m_renewSoon = true; }

private:
  bool IsSelf(const LeaderRow& aRow) const;
  bool MayClaim(Time aNow) const;
  Duration RenewalGrace(ElectionStep aStep) const;
  ElectionAction Write(Time aNow, ElectionStep aStep, std::uint64_t aTerm);

  LeaderRow m_self;
  ElectionOptions m_options;
  Duration m_claimDelay{};
  Duration m_readTime{};
  Role m_role = Role::Follower;
  LeaderRow m_row;
  RowVersion m_version = 0;
  bool m_known = false; ///< the row has been read
  bool m_busy = false;  ///< a read or write is in flight
  bool m_reread = true; ///< the row has to be read again
  bool m_renewSoon = false;
  bool m_resigned = false;
  Time m_changedAt{}; ///< when the version was first seen
  Time m_readAt = Time::min();
  Time m_requestedAt{}; ///< when the read or write in flight was sent
  Time m_lastRenewal{};
  Duration m_renewalTime{}; ///< how long the last write of the row took
  Time m_leaseStart{};      ///< when the last confirmed renewal was sent
  Time m_retryAt = Time::min();
  LeaderProbeResult m_probeResult = LeaderProbeResult::Leads;
  std::vector<WorkerId> m_workers;
  std::vector<CordonedWorker> m_cordoned;
  bool m_settled = false;
  Duration m_loopLag{};
  bool m_loading = false;
};

} // namespace lacewing::pool

template<>
struct lacewing::EnumNames<lacewing::pool::LeaderProbeResult>
{
  using Contact = lacewing::pool::LeaderProbeResult;
  static constexpr std::array kTable = {
    std::pair{ Contact::Leads, std::string_view("leads") },
    std::pair{ Contact::StoreFailed, std::string_view("store_failed") },
    std::pair{ Contact::Unsettled, std::string_view("unsettled") },
    std::pair{ Contact::Ended, std::string_view("ended") },
    std::pair{ Contact::Unreachable, std::string_view("unreachable") },
  };
};
