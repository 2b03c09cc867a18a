#include "daemon/SweepPlan.h"

#include "ownership/RendezvousHash.h"

#include <algorithm>
#include <set>

namespace lacewing::daemon {

SweepShare
ShareOfSweeps(const VmId& aSelf,
              const std::vector<VmId>& aMembers,
              std::vector<TeamId> aTeams)
{
  SweepShare share;
  std::set<VmId> sweepers;
  for (TeamId& team : aTeams) {
    const VmId sweeper =
      ownership::ChooseOwner(SliceId("sweep/" + team.Value()), aMembers);
    sweepers.insert(sweeper);
    if (sweeper == aSelf) {
      share.m_teams.push_back(std::move(team));
    }
  }
  std::ranges::sort(share.m_teams);
  share.m_pause = kSweepStep * std::max<std::size_t>(sweepers.size(), 1);
  return share;
}

void
VersionNotes::OnVersion(RowVersion aVersion)
{
  m_largest = std::max(m_largest, aVersion);
}

void
VersionNotes::Tick(Time aNow)
{
  if (!m_notes.empty() && aNow - m_notes.back().m_time < kNotePeriod) {
    return;
  }
  NoteNow(aNow);
}

void
VersionNotes::NoteNow(Time aNow)
{
  if (m_largest == 0) {
    return;
  }
  m_notes.push_back({ aNow, m_largest });
  // Of the notes that are old enough only the last one is needed.
  while (m_notes.size() > 1 && aNow - m_notes[1].m_time >= kMinUnchanged) {
    m_notes.pop_front();
  }
}

RowVersion
VersionNotes::Unchanged(Time aNow) const
{
  RowVersion version = 0;
  for (const Note& note : m_notes) {
    if (aNow - note.m_time >= kMinUnchanged) {
      version = note.m_version;
    }
  }
  return version;
}

bool
HasExpired(std::int64_t aWallMicros,
           std::int64_t aWrittenMicros,
           Duration aRetention,
           RowVersion aVersion,
           RowVersion aUnchanged)
{
  return aWrittenMicros > 0 && aVersion <= aUnchanged &&
         aWallMicros - aWrittenMicros >= aRetention.count();
}

} // namespace lacewing::daemon
