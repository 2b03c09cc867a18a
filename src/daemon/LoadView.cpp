#include "daemon/LoadView.h"

#include <algorithm>

namespace lacewing::daemon {

namespace {

/// Time for the job's record to be written and for the owner to take it: a load
/// told before that does not include the job.
constexpr Duration kJobReachesOwner = milliseconds(500);
/// The owner tells every change of a load within 2 s. A load that has not been
/// told by then is the same with the job, since another job has ended.
constexpr Duration kSentJobAge = kJobReachesOwner + seconds(2);

bool
IsFresh(Time aNow, Time aConfirmed, Time aTold)
{
  const Time last = std::max(aConfirmed, aTold);
  return aNow - last <= kLoadMaxAge;
}

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

peer::HeartbeatReply
LoadView::OnHeartbeat(Time aNow, const peer::Heartbeat& aHeartbeat)
{
  peer::HeartbeatReply reply{ aHeartbeat.m_sequence, true };
  const auto [entry, isNew] = m_members.try_emplace(aHeartbeat.m_vm);
  Member& member = entry->second;
  if (!isNew && aHeartbeat.m_incarnation < member.m_incarnation &&
      aNow - member.m_lastHeard <= kLoadMaxAge) {
    return reply; // of an earlier process, delayed
  }
  // Incarnations are times of day. A process that started after the clock was
  // set back has a lower one and is accepted when the other is silent.
  if (isNew || aHeartbeat.m_incarnation != member.m_incarnation) {
    member = Member();
    member.m_incarnation = aHeartbeat.m_incarnation;
  }
  member.m_lastHeard = aNow;
  if (aHeartbeat.m_sequence >= member.m_sequence) {
    Take(aNow, aHeartbeat, member);
  }
  reply.m_needsFull = !member.m_complete;
  return reply;
}

/// Without the base, the values that the heartbeat contains are right, and the
/// others are not known to be.
void
LoadView::Take(Time aNow, const peer::Heartbeat& aHeartbeat, Member& aMember)
{
  const bool isFull = aHeartbeat.m_base == 0;
  aMember.m_complete =
    isFull || (aMember.m_complete && aHeartbeat.m_base <= aMember.m_sequence);
  aMember.m_sequence = aHeartbeat.m_sequence;
  aMember.m_settingsVersion = aHeartbeat.m_settingsVersion;
  if (aMember.m_complete) {
    aMember.m_confirmed = aNow;
  }
  if (isFull) {
    aMember.m_slices.clear();
    aMember.m_teams.clear();
  }
  for (const peer::SliceLoad& load : aHeartbeat.m_slices) {
    aMember.m_slices[load.m_slice] = { load, aNow };
  }
  for (const peer::TeamUsage& usage : aHeartbeat.m_teams) {
    aMember.m_teams[usage.m_team] = { usage, aNow };
  }
  for (const SliceId& slice : aHeartbeat.m_removedSlices) {
    aMember.m_slices.erase(slice);
  }
  for (const TeamId& team : aHeartbeat.m_removedTeams) {
    aMember.m_teams.erase(team);
  }
}

const LoadView::Told<peer::SliceLoad>*
LoadView::FindTold(Time aNow, const VmId& aOwner, const SliceId& aSlice) const
{
  const auto member = m_members.find(aOwner);
  if (member == m_members.end()) {
    return nullptr;
  }
  const auto told = member->second.m_slices.find(aSlice);
  if (told == member->second.m_slices.end() ||
      !IsFresh(aNow, member->second.m_confirmed, told->second.m_at)) {
    return nullptr;
  }
  return &told->second;
}

std::optional<peer::SliceLoad>
LoadView::Find(Time aNow, const VmId& aOwner, const SliceId& aSlice) const
{
  const auto* told = FindTold(aNow, aOwner, aSlice);
  return told == nullptr ? std::nullopt : std::optional(told->m_value);
}

double
LoadView::FreeShare(Time aNow,
                    const VmId& aOwner,
                    const SliceId& aSlice,
                    std::int64_t aCapacityMillicores,
                    std::size_t aWorkers) const
{
  const auto* told = FindTold(aNow, aOwner, aSlice);
  if (told == nullptr) {
    return -1.0;
  }
  const peer::SliceLoad& load = told->m_value;
  const std::int64_t free =
    load.m_freeMillicores - SentSince(aNow, aSlice, told->m_at);
  const auto capacity = std::max<std::int64_t>(aCapacityMillicores, 1);
  const auto workers = std::max<std::size_t>(aWorkers, 1);
  return static_cast<double>(free) / static_cast<double>(capacity) -
         static_cast<double>(load.m_queueLength) / static_cast<double>(workers);
}

std::int64_t
LoadView::FreeMillicores(Time aNow,
                         const VmId& aOwner,
                         const SliceId& aSlice) const
{
  const auto* told = FindTold(aNow, aOwner, aSlice);
  return told == nullptr ? 0
                         : told->m_value.m_freeMillicores -
                             SentSince(aNow, aSlice, told->m_at);
}

std::int64_t
LoadView::SentSince(Time aNow, const SliceId& aSlice, Time aToldAt) const
{
  std::int64_t sum = 0;
  const auto sent = m_sentJobs.find(aSlice);
  if (sent != m_sentJobs.end()) {
    for (const SentJob& job : sent->second) {
      const bool isIncluded =
        aToldAt >= job.m_at + kJobReachesOwner || aNow - job.m_at > kSentJobAge;
      sum += isIncluded ? 0 : job.m_millicores;
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
  for (const auto& [vm, member] : m_members) {
    const auto told = member.m_teams.find(aTeam);
    if (told != member.m_teams.end() &&
        IsFresh(aNow, member.m_confirmed, told->second.m_at)) {
      const peer::TeamUsage& usage = told->second.m_value;
      sum.m_millicores += usage.m_millicores;
      sum.m_waitingMillicores += usage.m_waitingMillicores;
      sum.m_requests += usage.m_requests;
    }
  }
  return sum;
}

std::uint64_t
LoadView::SettingsVersionOf(const VmId& aVm) const
{
  const auto member = m_members.find(aVm);
  return member == m_members.end() ? 0 : member->second.m_settingsVersion;
}

} // namespace lacewing::daemon
