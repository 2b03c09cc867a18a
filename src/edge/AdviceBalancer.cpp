#include "edge/AdviceBalancer.h"

#include <algorithm>

namespace lacewing::edge {

namespace {

/// A daemon that was not heard from for this long gets no questions. Daemons
/// ask the leader for its status several times a second.
constexpr Duration kForgetAfter = milliseconds(1200);
/// Pause of a daemon from which an answer did not come back.
constexpr Duration kFailurePause = seconds(2);
/// The way to another daemon and back, until an answer has shown it.
constexpr Duration kRemoteDelay = milliseconds(5);
/// Longer questions are left to other daemons, so that short ones never wait
/// behind them at the leader.
constexpr Duration kLongQuestion = milliseconds(60);
/// Part by which one answer moves a daemon's delay.
constexpr int kDelayShare = 4;
/// A delay counts half after this time without an answer, so that a daemon
/// that was slow is tried again.
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
  member.m_heardAt = aNow;
  if (fresh) {
    member.m_delay = kRemoteDelay;
    member.m_delayAt = aNow;
  }
}

Duration
AdviceBalancer::DelayOf(Time aNow, const Member& aMember)
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
           aNow > aItem.second.m_heardAt + kForgetAfter;
  });
  const bool isLong = aCost > kLongQuestion;
  Member* best = &m_members.at(m_self);
  const auto endAt = [&](const Member& aMember) {
    return aNow + aMember.m_openCost + aCost + DelayOf(aNow, aMember);
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
  best->m_openCost += aCost;
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
  // A daemon that was forgotten in between starts anew.
  member.m_openCost =
    std::max(Duration::zero(), member.m_openCost - aChoice.m_cost);
  if (!aAnswered) {
    member.m_avoidUntil = aNow + kFailurePause;
    return;
  }
  const Duration error = aNow - aChoice.m_expected;
  member.m_delay =
    std::max(Duration::zero(), DelayOf(aNow, member) + error / kDelayShare);
  member.m_delayAt = aNow;
}

} // namespace lacewing::edge
