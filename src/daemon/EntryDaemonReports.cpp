#include "daemon/EntryDaemon.h"

#include <algorithm>

namespace lacewing::daemon {

namespace {

using observe::Metric;

constexpr std::int64_t kMillicoresPerCore = 1000;
/// The reply to a heartbeat that takes longer does not matter any more: later
/// heartbeats contain the same changes.
constexpr Duration kHeartbeatTimeout = seconds(5);

} // namespace

void
EntryDaemon::SendHeartbeats()
{
  const Time now = net::Loop::Now();
  const peer::Heartbeat state = OwnHeartbeat();
  m_loads.OnHeartbeat(now, state);
  std::set<VmId> receivers;
  for (const MemberInfo& member : m_membership.Members()) {
    if (member.m_vm == m_runtime.Self()) {
      continue;
    }
    receivers.insert(member.m_vm);
    const bool sameRegion = member.m_region == m_runtime.Config().m_region;
    const auto beat = m_heartbeats.Next(now, member.m_vm, sameRegion, state);
    if (beat) {
      SendHeartbeat(member, *beat);
    }
  }
  m_heartbeats.Retain(receivers);
  for (Draining& draining : m_draining) {
    if (draining.m_owner->IsDrained()) {
      --draining.m_reportsLeft;
    }
  }
}

void
EntryDaemon::SendHeartbeat(const MemberInfo& aTo, const peer::Heartbeat& aBeat)
{
  m_membership.Call(
    aTo, aBeat, kHeartbeatTimeout, [this](const peer::PeerOutcome& aOutcome) {
      if (!aOutcome.m_reply) {
        return;
      }
      const auto* reply = std::get_if<peer::HeartbeatReply>(&*aOutcome.m_reply);
      if (reply != nullptr) {
        m_heartbeats.OnReply(aOutcome.m_from, *reply);
      }
    });
}

peer::Heartbeat
EntryDaemon::OwnHeartbeat() const
{
  peer::Heartbeat beat;
  beat.m_vm = m_runtime.Self();
  beat.m_incarnation = m_runtime.ProcessIncarnation();
  beat.m_settingsVersion = m_settings.Store().Fleet();
  std::map<TeamId, peer::TeamUsage> teams;
  for (const auto& [id, owner] : m_workerOwners) {
    std::int64_t waiting = 0;
    for (const sched::TeamUsage& usage : owner->Usages()) {
      peer::TeamUsage& team = teams[usage.m_team];
      team.m_millicores += usage.m_runningMillicores;
      team.m_waitingMillicores += usage.m_waitingMillicores;
      waiting += usage.m_waitingMillicores;
    }
    const auto capacity =
      std::max<std::int64_t>(owner->CapacityMillicores(), 1);
    const auto free = owner->FreeMillicores();
    beat.m_slices.push_back(
      { id,
        1.0 - static_cast<double>(free) / static_cast<double>(capacity),
        free,
        static_cast<std::uint64_t>(waiting / kMillicoresPerCore) });
  }
  for (const auto& [id, owner] : m_serviceOwners) {
    beat.m_slices.push_back({ id, owner->Load(), 0, owner->QueuedCount() });
    for (const TeamId& team : m_settings.Tree().Teams()) {
      teams[team].m_requests +=
        static_cast<std::uint64_t>(owner->RunningOf(team));
    }
  }
  beat.m_teams = UsagesToTell(teams);
  for (const Draining& draining : m_draining) {
    // Reported once nothing is left: partial counts would not tell the next
    // owner which teams the remaining requests belong to.
    peer::ReleasedSlice released = draining.m_owner->Remaining();
    if (released.m_busy.empty()) {
      beat.m_released.push_back(std::move(released));
    }
  }
  return beat;
}

void
EntryDaemon::UpdateMetrics()
{
  auto& metrics = m_runtime.Metrics();
  metrics.Set(
    Metric::SlicesOwned,
    static_cast<double>(m_workerOwners.size() + m_serviceOwners.size()));
  std::size_t queued = 0;
  for (const auto& [id, owner] : m_serviceOwners) {
    queued += owner->QueuedCount();
  }
  metrics.Set(
    Metric::RequestQueueLength, static_cast<double>(queued), { "all" });
  WaitingTasks waiting;
  for (const auto& [id, owner] : m_workerOwners) {
    const WaitingTasks here = owner->CountWaiting();
    waiting.m_urgent += here.m_urgent;
    waiting.m_other += here.m_other;
  }
  metrics.Set(Metric::TaskQueueLength,
              static_cast<double>(waiting.m_urgent),
              { "urgent" });
  metrics.Set(
    Metric::TaskQueueLength, static_cast<double>(waiting.m_other), { "other" });
  CountOverhead();
  const std::uint64_t dropped = m_runtime.Timeline().Dropped();
  metrics.Add(Metric::TimelineDropped,
              {},
              static_cast<double>(dropped - m_droppedCounted));
  m_droppedCounted = dropped;
}

void
EntryDaemon::CountOverhead()
{
  const peer::WireBytes client = m_peerClient.Bytes();
  const peer::WireBytes server = m_peerServer.Bytes();
  const auto count = [this](std::string_view aDirection,
                            std::uint64_t aWire,
                            std::uint64_t aMessages,
                            std::uint64_t& aCounted) {
    // Messages that wait for a connection are counted before their bytes.
    if (aWire > aMessages + aCounted) {
      const std::uint64_t added = aWire - aMessages - aCounted;
      m_runtime.Metrics().Add(Metric::PeerBytes,
                              { "overhead", aDirection },
                              static_cast<double>(added));
      aCounted += added;
    }
  };
  count("sent",
        client.m_sent + server.m_sent,
        m_messageBytes.m_sent,
        m_overheadCounted.m_sent);
  count("received",
        client.m_received + server.m_received,
        m_messageBytes.m_received,
        m_overheadCounted.m_received);
}

void
EntryDaemon::LogState()
{
  const bool ready = IsReady();
  m_runtime.Log().WriteOnChange("readiness",
                                ready ? "ready" : "not_ready",
                                settings::LogLevel::Info,
                                "readiness",
                                { { "ready", ready } });
  const bool down = m_membership.Machine().IsTableDown(net::Loop::Now());
  m_runtime.Log().WriteOnChange("table",
                                down ? "down" : "up",
                                down ? settings::LogLevel::Warn
                                     : settings::LogLevel::Info,
                                "table_state",
                                { { "down", down } });
}

} // namespace lacewing::daemon
