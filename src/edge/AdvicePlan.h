/// Chooses the daemon that asks the policy service a question. The service
/// answers one question after another for each VM, so that the leader spreads
/// its questions over all daemons.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"
#include "net/Address.h"

#include <map>
#include <optional>

namespace lacewing::edge {

class AdvicePlan
{
public:
  explicit AdvicePlan(VmId aSelf);

  /// A daemon has been heard from.
  void Heard(Time aNow, const VmId& aVm, const net::Address& aAddress);
  /// The daemon that would have the answer first, and its address; the question
  /// counts as its own from then on.
  struct Choice
  {
    VmId m_vm;
    std::optional<net::Address> m_address; ///< nothing for this daemon itself
  };
  Choice Choose(Time aNow, Duration aCost);
  /// A question sent to the daemon did not come back.
  void Failed(Time aNow, const VmId& aVm);

private:
  struct Member
  {
    net::Address m_address;
    Time m_heardAt{};
    Time m_busyUntil{};
    Time m_avoidUntil{};
  };

  VmId m_self;
  std::map<VmId, Member> m_members;
};

} // namespace lacewing::edge
