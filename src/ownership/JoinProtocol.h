/// A joining member waits until every member that could act has acknowledged
/// it, so that each of them asks it for promises from then on.
#pragma once

#include "ownership/MembershipView.h"

namespace lacewing::ownership {

class JoinProtocol
{
public:
  explicit JoinProtocol(OwnershipOptions aOptions);

  void Reset();
  /// Takes the members of a snapshot that contains the own joining row. Members
  /// that join later see that row in theirs and announce themselves.
  void Begin(const MembershipView& aView, const VmId& aSelf);
  bool HasBegun() const { return m_begun; }
  void OnAnswer(const VmId& aFrom);
  /// Members to which `Hello` is due now.
  std::vector<VmId> Due(Time aNow, const MembershipView& aView);
  /// True if each member has answered, has been deposed, or is gone.
  bool IsComplete(const MembershipView& aView) const;

private:
  bool IsExcused(const MembershipView& aView, const VmId& aVm) const;

  OwnershipOptions m_options;
  bool m_begun = false;
  std::set<VmId> m_awaited;
  Time m_nextHello = Time::min();
};

} // namespace lacewing::ownership
