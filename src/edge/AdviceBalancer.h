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

class AdviceBalancer
{
public:
  explicit AdviceBalancer(VmId aSelf);

  /// A daemon has been heard from.
  void OnPeerSeen(Time aNow, const VmId& aVm, const net::Address& aAddress);
  /// The daemon that would have the answer first, and its address; the question
  /// counts as its own until `Ended`.
  struct Choice
  {
    VmId m_vm;
    std::optional<net::Address> m_address; ///< nothing for this daemon itself
    Duration m_cost{};                     ///< time of the service for it
    Time m_expected{};                     ///< when the answer is due
  };
  Choice Choose(Time aNow, Duration aCost);
  /// The question has been answered, or did not come back.
  void Ended(Time aNow, const Choice& aChoice, bool aAnswered);

  /// Daemons that can be asked, this one among them.
  int AskingVms() const { return static_cast<int>(m_members.size()); }

private:
  struct Member
  {
    net::Address m_address;
    Time m_heardAt{};
    Time m_avoidUntil{};
    Duration m_openCost{}; ///< of the questions on their way
    Duration m_delay{};    ///< by which answers come later than they cost
    Time m_delayAt{};      ///< when that was measured
  };

  static Duration DelayOf(Time aNow, const Member& aMember);

  VmId m_self;
  std::map<VmId, Member> m_members;
};

} // namespace lacewing::edge
