#include "pool/GangReservation.h"

#include "pool/WorkerRecord.h"

#include <algorithm>
#include <map>

namespace lacewing::pool {

namespace {

/// Follows how many members the workers have room for as runs end.
class RoomForecast
{
public:
  RoomForecast(const Resources& aEach,
               std::uint32_t aMembers,
               std::vector<WorkerRoom> aWorkers)
    : m_each(aEach)
    , m_needed(aMembers)
    , m_workers(std::move(aWorkers))
  {
    for (const WorkerRoom& worker : m_workers) {
      m_perRack[worker.m_rack] += MembersOn(worker);
    }
  }

  /// When a rack has room for all members. The workers are then as they will be
  /// at that time.
  std::optional<Time> Run(Time aNow)
  {
    if (FindRack()) {
      return aNow;
    }
    for (const Release& release : ReleasesByTime()) {
      WorkerRoom& worker = m_workers[release.m_worker];
      std::uint32_t& inRack = m_perRack[worker.m_rack];
      inRack -= MembersOn(worker);
      worker.m_free += release.m_resources;
      inRack += MembersOn(worker);
      if (inRack >= m_needed) {
        return std::max(aNow, release.m_at);
      }
    }
    return std::nullopt;
  }

  /// Workers of the rack with room for all members, those with most first.
  std::vector<const WorkerRoom*> WorkersToUse() const
  {
    const std::string rack = FindRack().value_or(std::string());
    std::vector<const WorkerRoom*> workers;
    for (const WorkerRoom& worker : m_workers) {
      if (worker.m_rack == rack && MembersOn(worker) > 0) {
        workers.push_back(&worker);
      }
    }
    std::ranges::stable_sort(
      workers, std::greater{}, [this](const WorkerRoom* aWorker) {
        return MembersOn(*aWorker);
      });
    return workers;
  }

  std::uint32_t MembersOn(const WorkerRoom& aWorker) const
  {
    return std::min(aWorker.m_mostMembers,
                    TasksThatFit(m_each, aWorker.m_free));
  }

private:
  struct Release
  {
    Time m_at{};
    std::size_t m_worker = 0; ///< index
    Resources m_resources;
  };

  std::optional<std::string> FindRack() const
  {
    const auto found =
      std::ranges::find_if(m_perRack, [this](const auto& aItem) {
        return aItem.second >= m_needed;
      });
    return found == m_perRack.end() ? std::nullopt
                                    : std::optional(found->first);
  }

  std::vector<Release> ReleasesByTime() const
  {
    std::vector<Release> result;
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
      for (const ExpectedRelease& release : m_workers[index].m_releases) {
        result.push_back({ release.m_at, index, release.m_resources });
      }
    }
    std::ranges::sort(result, {}, &Release::m_at);
    return result;
  }

  Resources m_each;
  std::uint32_t m_needed;
  std::vector<WorkerRoom> m_workers;
  std::map<std::string, std::uint32_t> m_perRack; ///< room for members
};

} // namespace

std::optional<Time>
GangReservation::Reserve(Time aNow,
                         const Resources& aEach,
                         std::uint32_t aMembers,
                         std::vector<WorkerRoom> aWorkers)
{
  // What is kept for an earlier gang stays free of this one.
  for (WorkerRoom& worker : aWorkers) {
    if (const auto kept = m_kept.find(worker.m_worker); kept != m_kept.end()) {
      for (const KeptRoom& room : kept->second) {
        worker.m_mostMembers =
          std::min(worker.m_mostMembers, TasksThatFit(aEach, room.m_spare));
      }
    }
  }
  RoomForecast forecast(aEach, aMembers, std::move(aWorkers));
  const std::optional<Time> start = forecast.Run(aNow);
  if (!start) {
    return std::nullopt;
  }
  std::uint32_t left = aMembers;
  for (const WorkerRoom* worker : forecast.WorkersToUse()) {
    const std::uint32_t members = std::min(left, forecast.MembersOn(*worker));
    left -= members;
    const Resources needed = ForTasks(aEach, members);
    std::vector<KeptRoom>& rooms = m_kept[worker->m_worker];
    for (KeptRoom& room : rooms) {
      room.m_spare -= needed;
    }
    rooms.push_back({ *start, worker->m_free - needed });
    if (left == 0) {
      break;
    }
  }
  return start;
}

bool
GangReservation::MayTake(WorkerSlot aWorker,
                         const Resources& aEach,
                         Time aEnd) const
{
  return MostTasks(aWorker, aEach, aEnd, 1) > 0;
}

std::uint32_t
GangReservation::MostTasks(WorkerSlot aWorker,
                           const Resources& aEach,
                           Time aEnd,
                           std::uint32_t aMost) const
{
  const auto kept = m_kept.find(aWorker);
  if (kept == m_kept.end()) {
    return aMost;
  }
  std::uint32_t most = aMost;
  for (const KeptRoom& room : kept->second) {
    if (aEnd > room.m_from) {
      most = std::min(most, TasksThatFit(aEach, room.m_spare));
    }
  }
  return most;
}

void
GangReservation::OnStarted(WorkerSlot aWorker,
                           const Resources& aEach,
                           Time aEnd)
{
  const auto kept = m_kept.find(aWorker);
  if (kept == m_kept.end()) {
    return;
  }
  for (KeptRoom& room : kept->second) {
    if (aEnd > room.m_from) {
      room.m_spare -= aEach;
    }
  }
}

} // namespace lacewing::pool
