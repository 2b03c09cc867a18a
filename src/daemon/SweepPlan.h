/// Decides which members sweep which teams' rows, how fast, and which rows are
/// old enough to be deleted. No I/O.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"

#include <deque>
#include <vector>

namespace lacewing::daemon {

/// How long a record with an answer, and a submission without a job, is kept.
inline constexpr Duration kRequestRetention = std::chrono::hours(24);
/// How long the record of a request that may have run is kept.
inline constexpr Duration kUnansweredRetention = std::chrono::hours(30 * 24);
/// A row must be unchanged for this long by the monotonic clock of the sweeper,
/// so that a clock that is wrong by days shortens a retention to no less. It is
/// far above the 60 s for which a front works on a record.
inline constexpr Duration kMinUnchanged = std::chrono::hours(1);
/// Time between two notes of the table's largest version.
inline constexpr Duration kNotePeriod = std::chrono::minutes(10);
/// Time between two steps of all sweepers together: with one read and usually
/// one write a step, they stay within 2 reads and 2 writes a second.
inline constexpr Duration kSweepStep = milliseconds(500);
/// Time between two passes over all rows of a sweeper. A pass reads every row:
/// 864,000 rows of 300 bytes every 6 h are 12 kB/s for the whole fleet, part of
/// it over the link between regions.
inline constexpr Duration kSweepPassPause = std::chrono::hours(6);
/// Rows that a step deletes at most.
inline constexpr std::size_t kSweepDeletes = 100;

/// What one member sweeps.
struct SweepShare
{
  std::vector<TeamId> m_teams; ///< in the order of names
  Duration m_pause{};          ///< between two steps
  Duration m_passPause = kSweepPassPause;
};

/// Each team is swept by the member that rendezvous hashing chooses. The pause
/// grows with the number of members that have a team to sweep.
SweepShare
ShareOfSweeps(const VmId& aSelf,
              const std::vector<VmId>& aMembers,
              std::vector<TeamId> aTeams);

/// Tells which rows have not changed for `kMinUnchanged`, from the largest
/// versions of the table that were seen. Versions grow over the whole table, so
/// a row whose version is not above one seen then was last written before.
class VersionNotes
{
public:
  /// A row of the version was read.
  void OnVersion(RowVersion aVersion);
  /// Notes the largest version if the period has passed since the last note.
  void Tick(Time aNow);
  /// Notes the largest version at the end of a pass.
  void NoteNow(Time aNow);
  /// Largest version that is certainly unchanged for long enough; 0 if none.
  RowVersion Unchanged(Time aNow) const;

private:
  struct Note
  {
    Time m_time{};
    RowVersion m_version = 0;
  };

  RowVersion m_largest = 0;
  std::deque<Note> m_notes; ///< by time
};

/// True if a row with the time of day and version may go after the retention.
/// A row without a time of day is kept.
bool
HasExpired(std::int64_t aWallMicros,
           std::int64_t aWrittenMicros,
           Duration aRetention,
           RowVersion aVersion,
           RowVersion aUnchanged);

} // namespace lacewing::daemon
