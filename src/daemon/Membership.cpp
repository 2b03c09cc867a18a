#include "daemon/Membership.h"

#include "daemon/PeerPayloads.h"

namespace lacewing::daemon {

namespace {

constexpr std::size_t kMaxProbeRounds = 32;

ownership::Identity
IdentityOf(const Runtime& aRuntime, const settings::Bootstrap& aConfig)
{
  ownership::Identity identity;
  identity.m_vm = aConfig.m_vm;
  const settings::AdvertisedAddresses& advertised = aConfig.m_advertised;
  identity.m_address = EncodeAddress({ advertised.m_peers,
                                       advertised.m_callers,
                                       advertised.m_peersOfOtherRegions });
  identity.m_region = aConfig.m_region;
  identity.m_domain = aConfig.m_domain;
  identity.m_nonceSeed =
    aConfig.m_vm.Value() + "/" + std::to_string(aRuntime.ProcessIncarnation());
  return identity;
}

std::optional<MemberInfo>
ToInfo(const VmId& aVm, const ownership::MemberRow& aRow)
{
  std::optional<MemberInfo> info;
  leaf::try_handle_all(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(address, DecodeAddress(aRow.m_address));
      info = MemberInfo{ aVm,           aRow.m_incarnation, aRow.m_state,
                         aRow.m_region, aRow.m_domain,      address };
      return {};
    },
    [] {});
  return info;
}

} // namespace

Membership::Membership(Runtime& aRuntime,
                       peer::PeerClient& aPeers,
                       MembershipHandlers aHandlers)
  : m_runtime(aRuntime)
  , m_peers(aPeers)
  , m_handlers(std::move(aHandlers))
  , m_machine({}, IdentityOf(aRuntime, aRuntime.Config()))
{
}

void
Membership::Tick()
{
  Carry(m_machine.OnTick(net::Loop::Now()));
}

void
Membership::OnPeerMessage(const VmId& aFrom,
                          const ownership::PeerMessage& aMessage)
{
  if (const auto* promise = std::get_if<ownership::Promise>(&aMessage)) {
    const auto sent = m_probeTimes.find(promise->m_round);
    if (promise->m_noSettings && sent != m_probeTimes.end()) {
      m_handlers.m_onPromise(sent->second, aFrom, *promise);
    }
  }
  Carry(m_machine.OnPeerMessage(net::Loop::Now(), aFrom, aMessage));
}

void
Membership::OnWorkerReply(const SliceId& aSlice,
                          const VmId& aWorker,
                          const worker::ControlReply& aReply)
{
  Carry(m_machine.OnWorkerReply(net::Loop::Now(), aSlice, aWorker, aReply));
}

void
Membership::OnVmList(const ownership::VmListView& aView)
{
  Carry(m_machine.OnVmList(net::Loop::Now(), aView));
}

void
Membership::RequestShutdown()
{
  Carry(m_machine.OnShutdownRequested(net::Loop::Now()));
}

std::vector<MemberInfo>
Membership::Members() const
{
  std::vector<MemberInfo> members;
  for (const auto& [vm, seen] : m_machine.View().Members()) {
    if (seen.m_row.m_state == ownership::MemberState::Deposed) {
      continue;
    }
    if (auto info = ToInfo(vm, seen.m_row)) {
      members.push_back(std::move(*info));
    }
  }
  return members;
}

std::optional<MemberInfo>
Membership::Find(const VmId& aVm) const
{
  const auto* seen = m_machine.View().Member(aVm);
  return seen == nullptr ? std::nullopt : ToInfo(aVm, seen->m_row);
}

void
Membership::Notify(const VmId& aTo, const peer::PeerMessage& aMessage)
{
  if (const auto member = Find(aTo)) {
    m_peers.Notify(aTo, PeerAddressOf(*member), aMessage);
  }
}

bool
Membership::IsSuspect(const VmId& aVm) const
{
  return aVm != m_runtime.Self() && m_peers.IsSuspect(net::Loop::Now(), aVm);
}

void
Membership::Call(const MemberInfo& aTo,
                 const peer::PeerMessage& aMessage,
                 Duration aTimeout,
                 peer::PeerDone aDone)
{
  m_peers.Call(
    aTo.m_vm, PeerAddressOf(aTo), aMessage, aTimeout, std::move(aDone));
}

const net::Address&
Membership::PeerAddressOf(const MemberInfo& aMember) const
{
  return aMember.m_region == m_runtime.Config().m_region
           ? aMember.m_address.m_peers
           : aMember.m_address.m_peersOfOtherRegions;
}

void
Membership::Carry(const ownership::Effects& aEffects)
{
  for (const auto& write : aEffects.m_writes) {
    m_runtime.Table().Submit(
      "membership",
      write.m_commit,
      [this, op = write.m_op](const table::CommitResult& aResult) {
        Carry(m_machine.OnCommitResult(net::Loop::Now(), op, aResult));
      });
  }
  for (const auto& read : aEffects.m_reads) {
    m_runtime.Table().Fetch(
      "membership",
      read.m_read,
      [this, op = read.m_op](const table::ReadResult& aResult) {
        Carry(m_machine.OnReadResult(net::Loop::Now(), op, aResult));
      });
  }
  for (const auto& send : aEffects.m_sends) {
    Send(send);
  }
  for (const auto& send : aEffects.m_workerSends) {
    m_handlers.m_onWorkerSend(send);
  }
  for (const auto& event : aEffects.m_events) {
    m_handlers.m_onEvent(event);
  }
}

void
Membership::Send(const ownership::PeerSend& aSend)
{
  ownership::PeerMessage message = aSend.m_message;
  if (auto* promise = std::get_if<ownership::Promise>(&message);
      promise != nullptr && promise->m_noSettings) {
    promise->m_settingsVersion = m_handlers.m_onPromiseGiven();
  }
  if (const auto* probe = std::get_if<ownership::OutageProbe>(&message)) {
    m_probeTimes.try_emplace(probe->m_round, net::Loop::Now());
    while (m_probeTimes.size() > kMaxProbeRounds) {
      m_probeTimes.erase(m_probeTimes.begin());
    }
  }
  Notify(aSend.m_to, Pack(message));
}

} // namespace lacewing::daemon
