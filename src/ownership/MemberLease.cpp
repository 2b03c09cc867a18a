#include "ownership/MemberLease.h"

#include <algorithm>

namespace lacewing::ownership {

namespace {

// Attempts older than the lease cannot renew it; more are sent only in a long
// outage.
constexpr std::size_t kKeptAttempts = 64;

} // namespace

MemberLease::MemberLease(OwnershipOptions aOptions, Identity aIdentity)
  : m_options(aOptions)
  , m_identity(std::move(aIdentity))
{
  m_row.m_incarnation = 1;
}

MemberRow
MemberLease::Prepare(Time aNow, MemberState aState, std::vector<VmId> aTargets)
{
  MemberRow row = m_row;
  row.m_state = aState;
  row.m_address = m_identity.m_address;
  row.m_region = m_identity.m_region;
  row.m_domain = m_identity.m_domain;
  ++row.m_renewals;
  m_lastNonce = m_identity.m_nonceSeed + "-" + std::to_string(++m_sequence);
  row.m_nonce = m_lastNonce;
  m_attempts.push_back({ m_lastNonce, aNow, aState, std::move(aTargets) });
  if (m_attempts.size() > kKeptAttempts) {
    const auto oldest = std::find_if(
      m_attempts.begin(), m_attempts.end(), [](const WriteAttempt& aAttempt) {
        return aAttempt.m_targets.empty();
      });
    m_attempts.erase(oldest);
  }
  return row;
}

void
MemberLease::OnVoid(const std::string& aNonce)
{
  std::erase_if(m_attempts, [&](const WriteAttempt& aAttempt) {
    return aAttempt.m_nonce == aNonce;
  });
}

void
MemberLease::OnObserved(const MemberRow& aRow, RowVersion aVersion)
{
  if (aVersion <= m_version) {
    return;
  }
  m_version = aVersion;
  const auto own = std::find_if(
    m_attempts.begin(), m_attempts.end(), [&](const WriteAttempt& aAttempt) {
      return aAttempt.m_nonce == aRow.m_nonce;
    });
  if (own != m_attempts.end()) {
    m_renewedAt = own->m_sent;
    m_placed = true;
    m_row = aRow;
    // All other attempts checked an older version of the row.
    m_attempts.clear();
    return;
  }
  m_attempts.clear();
  if (!m_placed) {
    m_row.m_incarnation = aRow.m_incarnation + 1;
    return;
  }
  const bool ownRow = aRow.m_incarnation == m_row.m_incarnation &&
                      aRow.m_state != MemberState::Deposed;
  // A very late write of this process, whose time of sending is forgotten, is
  // no renewal, but no deposal either.
  m_deposed = !ownRow;
  m_row = aRow;
}

void
MemberLease::Rejoin()
{
  m_placed = false;
  m_deposed = false;
  ++m_row.m_incarnation;
  m_row.m_state = MemberState::Joining;
  m_attempts.clear();
}

Time
MemberLease::LeaseEnd() const
{
  const bool mayOwn =
    State() == MemberState::Active || State() == MemberState::Draining;
  if (!m_placed || m_deposed || !mayOwn) {
    return Time::min();
  }
  return m_renewedAt + m_options.m_lease;
}

bool
MemberLease::HasUnresolved(const VmId& aTarget) const
{
  return std::any_of(
    m_attempts.begin(), m_attempts.end(), [&](const WriteAttempt& aAttempt) {
      return std::find(aAttempt.m_targets.begin(),
                       aAttempt.m_targets.end(),
                       aTarget) != aAttempt.m_targets.end();
    });
}

} // namespace lacewing::ownership
