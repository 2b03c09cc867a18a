#include "daemon/LoadView.h"

#include <algorithm>

namespace lacewing::daemon {

namespace {

/// A heartbeat period of 500 ms, and as long for the job's record to be written
/// and for the owner to take it.
constexpr Duration kSentJobAge = seconds(1);

} // namespace

std::vector<peer::TeamUsage>
UsagesToTell(const std::map<TeamId, peer::TeamUsage>& aUsages)
{
  std::vector<peer::TeamUsage> told;
  for (const auto& [team, usage] : aUsages) {
    if (usage.m_millicores != 0 || usage.m_waitingMillicores != 0 ||
        usage.m_requests != 0) {
      told.push_back(usage);
      told.back().m_team = team;
    }
  }
  return told;
}

void
LoadView::OnHeartbeat(Time aNow, const peer::Heartbeat& aHeartbeat)
{
  m_members[aHeartbeat.m_vm] = { aNow, aHeartbeat };
}

bool
LoadView::IsFresh(Time aNow, const Seen& aSeen) const
{
  return aNow - aSeen.m_at <= kLoadMaxAge;
}

std::optional<peer::SliceLoad>
LoadView::Find(Time aNow, const VmId& aOwner, const SliceId& aSlice) const
{
  const auto member = m_members.find(aOwner);
  if (member == m_members.end() || !IsFresh(aNow, member->second)) {
    return std::nullopt;
  }
  for (const peer::SliceLoad& load : member->second.m_heartbeat.m_slices) {
    if (load.m_slice == aSlice) {
      return load;
    }
  }
  return std::nullopt;
}

double
LoadView::FreeShare(Time aNow,
                    const VmId& aOwner,
                    const SliceId& aSlice,
                    std::int64_t aCapacityMillicores,
                    std::size_t aWorkers) const
{
  const auto load = Find(aNow, aOwner, aSlice);
  if (!load) {
    return -1.0;
  }
  const std::int64_t free =
    load->m_freeMillicores - SentMillicores(aNow, aSlice);
  const auto capacity = std::max<std::int64_t>(aCapacityMillicores, 1);
  const auto workers = std::max<std::size_t>(aWorkers, 1);
  return static_cast<double>(free) / static_cast<double>(capacity) -
         static_cast<double>(load->m_queueLength) /
           static_cast<double>(workers);
}

std::int64_t
LoadView::SentMillicores(Time aNow, const SliceId& aSlice) const
{
  std::int64_t sum = 0;
  const auto sent = m_sentJobs.find(aSlice);
  if (sent != m_sentJobs.end()) {
    for (const SentJob& job : sent->second) {
      sum += aNow - job.m_at <= kSentJobAge ? job.m_millicores : 0;
    }
  }
  return sum;
}

void
LoadView::OnJobSent(Time aNow, const SliceId& aSlice, std::int64_t aMillicores)
{
  auto& jobs = m_sentJobs[aSlice];
  while (!jobs.empty() && aNow - jobs.front().m_at > kSentJobAge) {
    jobs.pop_front();
  }
  jobs.push_back({ aNow, aMillicores });
}

peer::TeamUsage
LoadView::UsageOf(Time aNow, const TeamId& aTeam) const
{
  peer::TeamUsage sum;
  sum.m_team = aTeam;
  for (const auto& [vm, seen] : m_members) {
    if (!IsFresh(aNow, seen)) {
      continue;
    }
    for (const peer::TeamUsage& usage : seen.m_heartbeat.m_teams) {
      if (usage.m_team == aTeam) {
        sum.m_millicores += usage.m_millicores;
        sum.m_waitingMillicores += usage.m_waitingMillicores;
        sum.m_requests += usage.m_requests;
      }
    }
  }
  return sum;
}

std::uint64_t
LoadView::SettingsVersionOf(const VmId& aVm) const
{
  const auto member = m_members.find(aVm);
  return member == m_members.end()
           ? 0
           : member->second.m_heartbeat.m_settingsVersion;
}

} // namespace lacewing::daemon
