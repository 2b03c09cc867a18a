#include "sched/RunCheck.h"

#include "sched/GangPlacement.h"

#include <algorithm>

namespace lacewing::sched {

namespace {

NeverRunnable
Never(NeverReason aReason, std::string aMessage)
{
  return { aReason, std::move(aMessage) };
}

std::string
Describe(const Resources& aNeed)
{
  return std::to_string(aNeed.m_millicores) + " millicores, " +
         std::to_string(aNeed.m_memoryMib) + " MiB, " +
         std::to_string(aNeed.m_accelerators) + " accelerators";
}

template<typename Id>
bool
Allows(const std::vector<Id>& aAllowed, const Id& aId)
{
  return std::find(aAllowed.begin(), aAllowed.end(), aId) != aAllowed.end();
}

bool
AllowsPlaceOf(const JobSpec& aSpec, const WorkerSpec& aWorker)
{
  if (aSpec.m_domains.empty() && aSpec.m_racks.empty()) {
    return true;
  }
  return Allows(aSpec.m_domains, aWorker.m_domain) ||
         Allows(aSpec.m_racks, aWorker.m_rack);
}

/// What the workers can hold when they are empty.
struct Room
{
  bool m_kindKnown = false;
  bool m_placeKnown = false;
  std::uint64_t m_tasks = 0;
};

Room
RoomFor(const JobSpec& aSpec, const std::vector<const WorkerSpec*>& aWorkers)
{
  Room room;
  const bool needsKind = aSpec.m_perTask.m_accelerators > 0;
  for (const WorkerSpec* worker : aWorkers) {
    const bool rightKind =
      !needsKind || worker->m_accelerator == aSpec.m_accelerator;
    const bool allowed = AllowsPlaceOf(aSpec, *worker);
    room.m_kindKnown = room.m_kindKnown || rightKind;
    room.m_placeKnown = room.m_placeKnown || allowed;
    if (rightKind && allowed) {
      room.m_tasks += CountThatFit(worker->m_capacity, aSpec.m_perTask);
    }
  }
  return room;
}

std::optional<NeverRunnable>
CheckForm(const JobSpec& aSpec)
{
  if (aSpec.m_tasks == 0) {
    return Never(NeverReason::NoTasks, "the job has no tasks");
  }
  const Resources& need = aSpec.m_perTask;
  if (!need.IsNonNegative() || need == Resources{}) {
    return Never(NeverReason::BadSize, "size of a task: " + Describe(need));
  }
  if (need.m_accelerators > 0 && aSpec.m_accelerator.empty()) {
    return Never(NeverReason::BadSize, "accelerators without a kind");
  }
  return std::nullopt;
}

std::optional<NeverRunnable>
CheckLimit(const JobSpec& aSpec, std::int64_t aLimitMillicores)
{
  const std::int64_t atOnce = aSpec.m_kind == JobKind::Gang ? aSpec.m_tasks : 1;
  const std::int64_t needed = atOnce * aSpec.m_perTask.m_millicores;
  if (aLimitMillicores == kNoLimit || needed <= aLimitMillicores) {
    return std::nullopt;
  }
  return Never(NeverReason::AboveTeamLimit,
               "needs " + std::to_string(needed) +
                 " millicores at once, limit of the team " +
                 std::to_string(aLimitMillicores));
}

} // namespace

std::optional<NeverRunnable>
CheckFormAndLimit(const JobSpec& aSpec, std::int64_t aLimitMillicores)
{
  if (auto never = CheckForm(aSpec)) {
    return never;
  }
  return CheckLimit(aSpec, aLimitMillicores);
}

std::optional<NeverRunnable>
CheckRunnable(const JobSpec& aSpec,
              const std::vector<const WorkerSpec*>& aWorkers,
              std::int64_t aLimitMillicores)
{
  if (auto never = CheckFormAndLimit(aSpec, aLimitMillicores)) {
    return never;
  }
  const Room room = RoomFor(aSpec, aWorkers);
  if (!room.m_kindKnown) {
    return Never(NeverReason::UnknownAccelerator,
                 "no worker has accelerators of kind '" + aSpec.m_accelerator +
                   "'");
  }
  if (!room.m_placeKnown) {
    return Never(NeverReason::NoAllowedWorker,
                 "no worker in the allowed domains and racks");
  }
  if (room.m_tasks == 0) {
    return Never(NeverReason::LargerThanEveryWorker,
                 "no worker holds " + Describe(aSpec.m_perTask));
  }
  if (aSpec.m_kind == JobKind::Gang && room.m_tasks < aSpec.m_tasks) {
    return Never(NeverReason::GangLargerThanSlice,
                 "gang of " + std::to_string(aSpec.m_tasks) +
                   " tasks, the workers hold " + std::to_string(room.m_tasks) +
                   " of them");
  }
  return std::nullopt;
}

} // namespace lacewing::sched
