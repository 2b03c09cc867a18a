/// The part of `Ownership` that other members see: joining, promises during
/// store outages, relayed renewals and answers to messages.
#include "ownership/Ownership.h"

#include <algorithm>

namespace lacewing::ownership {

namespace {

/// A row to renew is relayed through this many peers in one round.
constexpr std::size_t kRelays = 2;

} // namespace

Effects
Ownership::OnPeerMessage(Time aNow,
                         const VmId& aFrom,
                         const PeerMessage& aMessage)
{
  Effects effects;
  if (!m_stopped) {
    std::visit([&](const auto& aOne) { On(aNow, aFrom, aOne, effects); },
               aMessage);
    CheckAuthority(aNow, effects);
  }
  return effects;
}

void
Ownership::TickJoin(Time aNow, Effects& aEffects)
{
  if (m_lease.IsPlaced() && m_lease.State() == MemberState::Joining) {
    for (const VmId& vm : m_join.Due(aNow, m_view)) {
      aEffects.m_sends.push_back(
        { vm,
          Step::HelloSend,
          Hello{ m_lease.OwnIncarnation(), m_identity.m_region } });
    }
  }
}

void
Ownership::TickOutage(Time aNow, Effects& aEffects)
{
  const bool owner = m_lease.LeaseEnd() != Time::min();
  if (!owner || aNow < m_nextProbe ||
      aNow - m_lease.RenewedAt() < m_options.m_probeAfter) {
    return;
  }
  m_nextProbe = aNow + m_options.m_probeInterval;
  const OutageProbe probe = m_promises.Ask(aNow, m_lease.OwnIncarnation());
  const auto peers = m_promises.Peers(m_view);
  for (const VmId& vm : peers) {
    aEffects.m_sends.push_back({ vm, Step::ProbeSend, probe });
  }
  if (peers.empty()) {
    // A member without peers needs nobody's promise.
    m_promises.OnPromise(aNow,
                         m_identity.m_vm,
                         Promise{ probe.m_round, 0, true, true, 0 },
                         m_view,
                         Authority(aNow));
    return;
  }
  const MemberRow row = m_lease.Prepare(aNow, m_lease.State(), {});
  const RelayRenewal relay{ m_lease.Version(), EncodeMember(row) };
  for (std::size_t i = 0; i < std::min(kRelays, peers.size()); ++i) {
    const VmId& vm = peers[(probe.m_round + i) % peers.size()];
    aEffects.m_sends.push_back({ vm, Step::RelaySend, relay });
  }
}

void
Ownership::On(Time /*aNow*/,
              const VmId& aFrom,
              const Hello& aMessage,
              Effects& aOut)
{
  m_promises.OnHello(aFrom, aMessage);
  aOut.m_sends.push_back(
    { aFrom,
      Step::HelloAnswerSend,
      HelloAnswer{ aMessage.m_incarnation, m_promises.SettingsVersion() } });
}

void
Ownership::On(Time aNow,
              const VmId& aFrom,
              const HelloAnswer& aMessage,
              Effects& aOut)
{
  m_peerSettingsVersion =
    std::max(m_peerSettingsVersion, aMessage.m_settingsVersion);
  if (aMessage.m_incarnation == m_lease.OwnIncarnation()) {
    m_join.OnAnswer(aFrom);
    Advance(aNow, aOut);
  }
}

void
Ownership::On(Time aNow,
              const VmId& aFrom,
              const OutageProbe& aMessage,
              Effects& aOut)
{
  const bool mayTakeOver = m_lease.HasUnresolved(aFrom) ||
                           m_view.IsEnded(aFrom, aMessage.m_incarnation);
  const bool maySetSettings = !IsTableDown(aNow) || m_settingsUnresolved;
  Promise promise =
    m_promises.Give(aNow, aFrom, aMessage, mayTakeOver, maySetSettings);
  promise.m_incarnation = m_lease.OwnIncarnation();
  aOut.m_sends.push_back({ aFrom, Step::PromiseSend, promise });
}

void
Ownership::On(Time aNow,
              const VmId& aFrom,
              const Promise& aMessage,
              Effects& /*aOut*/)
{
  m_peerSettingsVersion =
    std::max(m_peerSettingsVersion, aMessage.m_settingsVersion);
  m_promises.OnPromise(aNow, aFrom, aMessage, m_view, Authority(aNow));
}

void
Ownership::On(Time aNow,
              const VmId& aFrom,
              const RelayRenewal& aMessage,
              Effects& aOut)
{
  const auto row = DecodeMember(aMessage.m_row);
  if (!row || IsTableDown(aNow)) {
    return;
  }
  table::Commit commit;
  commit.m_checks.push_back({ MemberKey(aFrom), aMessage.m_version });
  commit.m_puts.push_back({ MemberKey(aFrom), aMessage.m_row });
  Operation operation;
  operation.m_kind = OpKind::Relay;
  operation.m_peer = aFrom;
  Write(aNow, Step::RelayWrite, std::move(operation), std::move(commit), aOut);
}

void
Ownership::On(Time aNow,
              const VmId& /*aFrom*/,
              const RelayAnswer& aMessage,
              Effects& aOut)
{
  const table::Rows rows = { { MemberKey(m_identity.m_vm),
                               { aMessage.m_row, aMessage.m_version } } };
  TakeRows(aNow, rows, aOut);
}

void
Ownership::On(Time aNow,
              const VmId& /*aFrom*/,
              const SliceReleased& /*aMessage*/,
              Effects& aOut)
{
  ReadView(aNow, aOut);
}

} // namespace lacewing::ownership
