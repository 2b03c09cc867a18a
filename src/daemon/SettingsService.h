/// Drives the settings state machine and answers changes by operators.
#pragma once

#include "daemon/Membership.h"
#include "settings/Authenticator.h"
#include "settings/SettingsStore.h"

#include <unordered_map>

namespace lacewing::daemon {

using ChangeHandler = std::function<void(const settings::ChangeDone&)>;

class SettingsService
{
public:
  /// `aOnInForce` is called for each subtree whose version in force changed.
  SettingsService(
    Runtime& aRuntime,
    Membership& aMembership,
    std::function<void(const settings::InForceEffect&)> aOnInForce);

  void Start();
  void Tick();
  void OnPeerMessage(const VmId& aFrom, const settings::PeerMessage& aMessage);
  /// This process promises to accept no change; the version that belongs into
  /// the promise.
  std::uint64_t GivePromise() { return m_store.GivePromise(net::Loop::Now()); }
  void OnPromise(Time aProbeSentAt,
                 const VmId& aFrom,
                 const ownership::Promise& aPromise);

  void Change(const std::string& aSubtree,
              settings::SettingsVersion aExpected,
              std::string aText,
              ChangeHandler aDone);

  /// Uses the timings of the settings in force.
  void ApplyTimings();

  const settings::SettingsStore& Store() const { return m_store; }
  const settings::SettingsTree& Tree() const { return m_store.Tree(); }
  Result<TeamId> Authenticate(const std::string& aKey,
                              const std::string& aQueue) const;

private:
  void Carry(const settings::Effects& aEffects);
  void CarryOne(const settings::CommitEffect& aEffect);
  void CarryOne(const settings::ReadEffect& aEffect);
  void CarryOne(const settings::SendEffect& aEffect);
  void CarryOne(const settings::StepEffect&) {}
  void CarryOne(const settings::InForceEffect& aEffect);
  void CarryOne(const settings::ChangeDone& aEffect);
  std::vector<settings::Member> OtherMembers() const;

  Runtime& m_runtime;
  Membership& m_membership;
  std::function<void(const settings::InForceEffect&)> m_onInForce;
  settings::SettingsStore m_store;
  settings::Authenticator m_authenticator;
  settings::Ticket m_lastTicket = 0;
  std::unordered_map<settings::Ticket, ChangeHandler> m_changes;
};

} // namespace lacewing::daemon
