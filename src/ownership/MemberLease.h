/// The own member row: renewal by conditional writes, the end of the lease, and
/// the resolution of writes whose answer was lost.
#pragma once

#include "ownership/MemberRow.h"
#include "ownership/OwnershipOptions.h"

#include <string>
#include <vector>

namespace lacewing::ownership {

/// What a process knows about itself from its settings.
struct Identity
{
  VmId m_vm;
  std::string m_address;
  RegionId m_region;
  DomainId m_domain;
  /// Differs between processes, also between those of one VM; makes nonces
  /// unique.
  std::string m_nonceSeed;
};

/// A write of the own row that is not yet known to be in effect or void.
struct WriteAttempt
{
  std::string m_nonce;
  Time m_sent{};
  MemberState m_state = MemberState::Joining;
  std::vector<VmId> m_targets; ///< members deposed, or whose slices are claimed
};

class MemberLease
{
public:
  MemberLease(OwnershipOptions aOptions, Identity aIdentity);

  /// The row to write now, on condition that the row has `Version()`.
  MemberRow Prepare(Time aNow, MemberState aState, std::vector<VmId> aTargets);
  /// The write certainly had no effect and never will.
  void OnVoid(const std::string& aNonce);
  /// The row was read, or the commit that wrote it was answered.
  void OnObserved(const MemberRow& aRow, RowVersion aVersion);
  /// Starts over with the next incarnation.
  void Rejoin();

  /// True if the table holds the row of this incarnation.
  bool IsPlaced() const { return m_placed; }
  /// True if another process has ended this incarnation.
  bool IsDeposed() const { return m_deposed; }
  MemberState State() const { return m_row.m_state; }
  Incarnation OwnIncarnation() const { return m_row.m_incarnation; }
  RowVersion Version() const { return m_version; }
  /// End of the lease, counted from when the last successful renewal was sent;
  /// the epoch of the clock while the member may own nothing.
  Time LeaseEnd() const;
  /// When the last successful write was sent.
  Time RenewedAt() const { return m_renewedAt; }
  /// True if a write that deposes this member or claims a slice from it may
  /// still take effect.
  bool HasUnresolved(const VmId& aTarget) const;
  /// True if some write is neither known to be in effect nor void. Targets are
  /// added to a write only if there is none.
  bool HasOutstanding() const { return !m_attempts.empty(); }
  /// The nonce of the latest write prepared.
  const std::string& LastNonce() const { return m_lastNonce; }

private:
  OwnershipOptions m_options;
  Identity m_identity;
  MemberRow m_row;
  RowVersion m_version = 0;
  bool m_placed = false;
  bool m_deposed = false;
  Time m_renewedAt{};
  std::uint64_t m_sequence = 0;
  std::string m_lastNonce;
  std::vector<WriteAttempt> m_attempts;
};

} // namespace lacewing::ownership
