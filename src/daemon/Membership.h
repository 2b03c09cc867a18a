/// Drives the ownership state machine: carries out its effects and tells the
/// rest of the daemon about its events.
#pragma once

#include "daemon/MemberAddress.h"
#include "daemon/Runtime.h"
#include "ownership/Ownership.h"
#include "peer/PeerClient.h"

#include <map>
#include <optional>

namespace lacewing::daemon {

/// An active or draining member with its addresses.
struct MemberInfo
{
  VmId m_vm;
  Incarnation m_incarnation = 0;
  ownership::MemberState m_state = ownership::MemberState::Joining;
  RegionId m_region;
  DomainId m_domain;
  MemberAddress m_address;
};

struct MembershipHandlers
{
  std::function<void(const ownership::OwnershipEvent&)> m_onEvent;
  /// An adoption or a renewal of a worker of an owned slice.
  std::function<void(const ownership::WorkerSend&)> m_onWorkerSend;
  /// This process promises to accept no setting change; the version that
  /// belongs into the promise.
  std::function<std::uint64_t()> m_onPromiseGiven;
  /// Such a promise of a member came, for a probe that was sent at the time.
  std::function<void(Time aProbeSentAt,
                     const VmId& aFrom,
                     const ownership::Promise& aPromise)>
    m_onPromise;
};

class Membership
{
public:
  Membership(Runtime& aRuntime,
             peer::PeerClient& aPeers,
             MembershipHandlers aHandlers);

  void Tick();
  void OnPeerMessage(const VmId& aFrom, const ownership::PeerMessage& aMessage);
  void OnWorkerReply(const SliceId& aSlice,
                     const VmId& aWorker,
                     const worker::ControlReply& aReply);
  void OnVmList(const ownership::VmListView& aView);
  void RequestShutdown();

  ownership::Ownership& Machine() { return m_machine; }
  const ownership::Ownership& Machine() const { return m_machine; }
  /// Members that are neither deposed nor without a readable address.
  std::vector<MemberInfo> Members() const;
  std::optional<MemberInfo> Find(const VmId& aVm) const;
  /// Sends a message whose reply does not matter to a member.
  void Notify(const VmId& aTo, const peer::PeerMessage& aMessage);
  /// True if calls to the member get no answer at present.
  bool IsSuspect(const VmId& aVm) const;
  /// Sends a message to a member and calls back exactly once.
  void Call(const MemberInfo& aTo,
            const peer::PeerMessage& aMessage,
            Duration aTimeout,
            peer::PeerDone aDone);

private:
  void Carry(const ownership::Effects& aEffects);
  void Send(const ownership::PeerSend& aSend);
  /// The address at which daemons of this region reach the member.
  const net::Address& PeerAddressOf(const MemberInfo& aMember) const;

  Runtime& m_runtime;
  peer::PeerClient& m_peers;
  MembershipHandlers m_handlers;
  ownership::Ownership m_machine;
  /// When the probes of recent rounds were first sent.
  std::map<std::uint64_t, Time> m_probeTimes;
};

} // namespace lacewing::daemon
