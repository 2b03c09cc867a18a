/// Room that is kept for gangs at the head of the order that do not fit yet.
///
/// A gang is expected to start as soon as workers have room for all members, if
/// the runs on them end as expected. Until then:
///
/// - only the room that the members need on these workers is kept, not the
///   whole workers;
/// - a task that is expected to end before the gang starts may use that room
///   (backfill);
/// - nothing is kept for longer than one plan: the next one chooses anew, by
///   what has ended and started meanwhile.
///
/// Does no I/O and reads no clock.
#pragma once

#include "core/Resources.h"
#include "core/Time.h"
#include "pool/Job.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing::pool {

/// Resources that become free when a run ends.
struct ExpectedRelease
{
  Time m_at{};
  Resources m_resources;
};

/// A worker that may take members of a gang.
struct WorkerRoom
{
  WorkerSlot m_worker = 0;
  std::string m_rack; ///< the same for all if members may be on any rack
  Resources m_free;   ///< now
  std::uint32_t m_mostMembers = 0; ///< at any time
  std::vector<ExpectedRelease> m_releases;
};

class GangReservation
{
public:
  /// Keeps room for so many members of that size, on the workers that have it
  /// first. Returns when the gang is expected to start; nothing, and keeps
  /// nothing, if the workers have no room for it at any time.
  std::optional<Time> Reserve(Time aNow,
                              const Resources& aEach,
                              std::uint32_t aMembers,
                              std::vector<WorkerRoom> aWorkers);
  bool IsEmpty() const { return m_kept.empty(); }
  /// True if room on the worker is kept.
  bool IsKept(WorkerSlot aWorker) const { return m_kept.contains(aWorker); }
  /// True if a task of that size that starts there now does not use kept room,
  /// or is expected to end before it is needed.
  bool MayTake(WorkerSlot aWorker, const Resources& aEach, Time aEnd) const;
  /// The same for several tasks; at most `aMost`.
  std::uint32_t MostTasks(WorkerSlot aWorker,
                          const Resources& aEach,
                          Time aEnd,
                          std::uint32_t aMost) const;
  /// Such a task has started.
  void OnStarted(WorkerSlot aWorker, const Resources& aEach, Time aEnd);

private:
  /// Room kept on one worker for one gang.
  struct KeptRoom
  {
    Time m_from{};     ///< when the gang is expected to start
    Resources m_spare; ///< what will be free then beside its members
  };

  /// Kept rooms of a worker, one for each gang.
  std::unordered_map<WorkerSlot, std::vector<KeptRoom>> m_kept;
};

} // namespace lacewing::pool
