#include "edge/AdvicePlan.h"

#include <algorithm>

namespace lacewing::edge {

namespace {

/// A daemon that was not heard from for this long gets no questions. Daemons
/// ask the leader for its status several times a second.
constexpr Duration kForgetAfter = milliseconds(1200);
/// Pause of a daemon from which an answer did not come back.
constexpr Duration kFailurePause = seconds(2);
/// The way to another daemon and back, as a cost of asking there.
constexpr Duration kRemoteCost = milliseconds(5);
/// Longer questions are left to other daemons, so that short ones never wait
/// behind them at the leader.
constexpr Duration kLongQuestion = milliseconds(60);

} // namespace

AdvicePlan::AdvicePlan(VmId aSelf)
  : m_self(std::move(aSelf))
{
  m_members[m_self] = {};
}

void
AdvicePlan::Heard(Time aNow, const VmId& aVm, const net::Address& aAddress)
{
  Member& member = m_members[aVm];
  member.m_address = aAddress;
  member.m_heardAt = aNow;
}

AdvicePlan::Choice
AdvicePlan::Choose(Time aNow, Duration aCost)
{
  std::erase_if(m_members, [&](const auto& aItem) {
    return aItem.first != m_self &&
           aNow > aItem.second.m_heardAt + kForgetAfter;
  });
  const bool isLong = aCost > kLongQuestion;
  Member* best = &m_members.at(m_self);
  VmId vm = m_self;
  Time bestEnd = isLong ? Time::max() : std::max(aNow, best->m_busyUntil);
  for (auto& [id, member] : m_members) {
    const Time end = std::max(aNow, member.m_busyUntil) + kRemoteCost;
    if (id != m_self && aNow >= member.m_avoidUntil && end < bestEnd) {
      best = &member;
      vm = id;
      bestEnd = end;
    }
  }
  best->m_busyUntil = std::max(aNow, best->m_busyUntil) + aCost;
  if (vm == m_self) {
    return { vm, std::nullopt };
  }
  return { vm, best->m_address };
}

void
AdvicePlan::Failed(Time aNow, const VmId& aVm)
{
  if (const auto it = m_members.find(aVm); it != m_members.end()) {
    it->second.m_avoidUntil = aNow + kFailurePause;
  }
}

} // namespace lacewing::edge
