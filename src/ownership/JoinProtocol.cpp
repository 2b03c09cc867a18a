#include "ownership/JoinProtocol.h"

#include <algorithm>

namespace lacewing::ownership {

JoinProtocol::JoinProtocol(OwnershipOptions aOptions)
  : m_options(aOptions)
{
}

void
JoinProtocol::Reset()
{
  m_begun = false;
  m_awaited.clear();
  m_nextHello = Time::min();
}

void
JoinProtocol::Begin(const MembershipView& aView, const VmId& aSelf)
{
  m_begun = true;
  for (const auto& [vm, seen] : aView.Members()) {
    if (vm != aSelf && seen.m_row.m_state != MemberState::Deposed) {
      m_awaited.insert(vm);
    }
  }
}

void
JoinProtocol::OnAnswer(const VmId& aFrom)
{
  m_awaited.erase(aFrom);
}

std::vector<VmId>
JoinProtocol::Due(Time aNow, const MembershipView& aView)
{
  std::vector<VmId> due;
  if (!m_begun || aNow < m_nextHello) {
    return due;
  }
  m_nextHello = aNow + m_options.m_helloInterval;
  for (const VmId& vm : m_awaited) {
    if (!IsExcused(aView, vm)) {
      due.push_back(vm);
    }
  }
  return due;
}

bool
JoinProtocol::IsComplete(const MembershipView& aView) const
{
  if (!m_begun || !aView.Malformed().empty()) {
    return false;
  }
  if (!m_options.m_mechanisms.m_joinAcknowledgement) {
    return true;
  }
  return std::all_of(m_awaited.begin(), m_awaited.end(), [&](const VmId& aVm) {
    return IsExcused(aView, aVm);
  });
}

bool
JoinProtocol::IsExcused(const MembershipView& aView, const VmId& aVm) const
{
  const SeenMember* seen = aView.Member(aVm);
  return aView.IsGone(aVm) ||
         (seen != nullptr && seen->m_row.m_state == MemberState::Deposed);
}

} // namespace lacewing::ownership
