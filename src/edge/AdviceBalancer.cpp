#include "edge/AdviceBalancer.h"

#include <algorithm>

namespace lacewing::edge {

namespace {

/// A daemon that has not contacted the leader for this long gets no requests.
/// Daemons poll the leader's status several times a second.
constexpr Duration kPeerTimeout = milliseconds(1200);
/// Time without new requests for a daemon after one of its requests failed.
constexpr Duration kFailureBackoff = seconds(2);
/// Initial estimate of the round trip to another daemon, used until the first
/// response is measured.
constexpr Duration kInitialPeerDelay = milliseconds(5);
/// Requests with a higher cost go to other daemons if any is available, so that
/// short requests of the leader's own VM do not queue behind them.
constexpr Duration kLocalCostLimit = milliseconds(60);
/// Divisor of the error by which one response corrects a daemon's delay.
constexpr int kDelayErrorDivisor = 4;
/// The delay halves after each such period without a response, so that a daemon
/// that was slow is eventually tried again.
constexpr Duration kDelayHalfLife = seconds(1);
constexpr int kMaxHalvings = 16;

} // namespace

AdviceBalancer::AdviceBalancer(VmId aSelf)
  : m_self(std::move(aSelf))
{
  m_members[m_self] = {};
}

void
AdviceBalancer::OnPeerSeen(Time aNow,
                           const VmId& aVm,
                           const net::Address& aAddress)
{
  const auto [it, fresh] = m_members.try_emplace(aVm);
  Member& member = it->second;
  member.m_address = aAddress;
  member.m_lastSeen = aNow;
  if (fresh) {
    member.m_delay = kInitialPeerDelay;
    member.m_delayAt = aNow;
  }
}

Duration
AdviceBalancer::DecayedDelay(Time aNow, const Member& aMember)
{
  const auto halvings = std::min<std::int64_t>(
    (aNow - aMember.m_delayAt) / kDelayHalfLife, kMaxHalvings);
  return aMember.m_delay / (std::int64_t{ 1 } << halvings);
}

AdviceBalancer::Choice
AdviceBalancer::Choose(Time aNow, Duration aCost)
{
  std::erase_if(m_members, [&](const auto& aItem) {
    return aItem.first != m_self &&
           aNow > aItem.second.m_lastSeen + kPeerTimeout;
  });
  const bool isLong = aCost > kLocalCostLimit;
  Member* best = &m_members.at(m_self);
  const auto endAt = [&](const Member& aMember) {
    return aNow + aMember.m_inFlightCost + aCost + DecayedDelay(aNow, aMember);
  };
  Choice choice{ m_self, std::nullopt, aCost, endAt(*best) };
  Time bestEnd = isLong ? Time::max() : choice.m_expected;
  for (auto& [id, member] : m_members) {
    const Time end = endAt(member);
    if (id != m_self && aNow >= member.m_avoidUntil && end < bestEnd) {
      best = &member;
      bestEnd = end;
      choice = { id, member.m_address, aCost, end };
    }
  }
  best->m_inFlightCost += aCost;
  return choice;
}

void
AdviceBalancer::Ended(Time aNow, const Choice& aChoice, bool aAnswered)
{
  const auto it = m_members.find(aChoice.m_vm);
  if (it == m_members.end()) {
    return;
  }
  Member& member = it->second;
  // The member may have been removed and added again while the request was in
  // flight; its cost then starts at zero and must not become negative.
  member.m_inFlightCost =
    std::max(Duration::zero(), member.m_inFlightCost - aChoice.m_cost);
  if (!aAnswered) {
    member.m_avoidUntil = aNow + kFailureBackoff;
    return;
  }
  const Duration error = aNow - aChoice.m_expected;
  member.m_delay = std::max(
    Duration::zero(), DecayedDelay(aNow, member) + error / kDelayErrorDivisor);
  member.m_delayAt = aNow;
}

} // namespace lacewing::edge
