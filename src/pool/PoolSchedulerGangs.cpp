// Gangs: where they fit, and the room that is kept for those that do not fit
// yet.
#include "pool/PoolScheduler.h"

#include <algorithm>
#include <tuple>

namespace lacewing::pool {

namespace {

/// Number of gangs at the head of the order for which room is kept.
constexpr int kReservingGangs = 2;
/// A job that finds only room which is kept for a gang may take some of it
/// after this time; users count it as lost after twice as long.
constexpr Duration kLongestStandstill = milliseconds(1500);
/// A run that is over its expected time is expected to take this part of the
/// time that it has taken so far.
constexpr int kOverdueParts = 4;
constexpr Duration kLeastRemaining = milliseconds(200);
/// Reported progress tells more than the expected run time from here on.
constexpr int kTellingPercent = 10;
constexpr int kWholePercent = 100;

} // namespace

std::vector<PoolScheduler::GangOption>
PoolScheduler::GangOptions(Time aNow,
                           const Candidate& aCandidate,
                           const std::vector<WorkerRecord*>& aWorkers)
{
  std::vector<GangOption> options;
  options.reserve(aWorkers.size());
  for (WorkerRecord* worker : aWorkers) {
    options.push_back({ worker, TasksThatFitOn(aNow, *worker, aCandidate) });
  }
  return options;
}

std::optional<std::string>
PoolScheduler::RackForGang(const Candidate& aCandidate,
                           const std::vector<GangOption>& aOptions)
{
  const StepSpec& spec = aCandidate.Spec();
  std::map<std::string, std::uint32_t> members;
  for (const GangOption& option : aOptions) {
    members[spec.m_sameRack ? option.m_worker->m_info.m_rack : std::string()] +=
      option.m_members;
  }
  const auto rack = std::ranges::find_if(
    members, [&](const auto& aItem) { return aItem.second >= spec.m_tasks; });
  return rack == members.end() ? std::nullopt : std::optional(rack->first);
}

bool
PoolScheduler::PlaceGang(Time aNow,
                         const Candidate& aCandidate,
                         Reservation& aReservation,
                         Actions& aActions)
{
  const StepSpec& spec = aCandidate.Spec();
  const auto& tasks = aCandidate.Record().m_tasks;
  if (!std::ranges::all_of(tasks, &TaskRecord::MayStart) ||
      !HasQuotaFor(aCandidate)) {
    return true; // waits for something other than capacity
  }
  std::vector<GangOption> options =
    GangOptions(aNow, aCandidate, Eligible(aNow, aCandidate));
  for (GangOption& option : options) {
    option.m_members = UnkeptRoom(
      aNow, aCandidate, aReservation, *option.m_worker, option.m_members);
  }
  const auto rack = RackForGang(aCandidate, options);
  if (!rack) {
    return false;
  }
  std::erase_if(options, [&](const GangOption& aOption) {
    return spec.m_sameRack && aOption.m_worker->m_info.m_rack != *rack;
  });
  PreferOneSpeed(aCandidate, options);
  // Uses as few workers as possible, since the gang fails if any of them fails.
  std::ranges::sort(options, {}, [&](const GangOption& aOption) {
    return std::tuple(aOption.m_worker->m_onTrial,
                      SpeedFor(aCandidate, *aOption.m_worker),
                      -static_cast<std::int64_t>(aOption.m_members),
                      aOption.m_worker->Free().m_millicores);
  });
  RunNumber run = 0;
  std::string checkpoint;
  for (const TaskRecord& task : tasks) {
    run = std::max(run, NextRun(task));
    checkpoint = std::max(checkpoint, task.m_checkpoint);
  }
  std::uint32_t index = 0;
  for (const GangOption& option : options) {
    std::uint32_t left = option.m_members;
    for (; left > 0 && index < tasks.size(); --left, ++index) {
      aCandidate.Record().m_tasks[index].m_checkpoint = checkpoint;
      Start(aNow, aCandidate, index, run, *option.m_worker, aActions);
      NoteKeptRoom(aNow, aCandidate, aReservation, *option.m_worker);
    }
  }
  return true;
}

void
PoolScheduler::PreferOneSpeed(const Candidate& aCandidate,
                              std::vector<GangOption>& aOptions) const
{
  // A gang is as slow as its slowest member, and its other members hold their
  // workers meanwhile.
  std::vector<GangOption> preferred;
  std::uint32_t members = 0;
  for (const GangOption& option : aOptions) {
    if (SpeedOf(option.m_worker->m_runtimeRatio, m_runtimeRatio) <=
        SpeedClass::Usual) {
      preferred.push_back(option);
      members += option.m_members;
    }
  }
  if (members >= aCandidate.Spec().m_tasks) {
    aOptions = std::move(preferred);
  }
}

bool
PoolScheduler::MayBePermitted(const Candidate& aCandidate,
                              const WorkerRecord& aWorker)
{
  StepRecord& step = aCandidate.Record();
  return !aCandidate.m_queue->m_advice || !step.WasAsked(aWorker.m_slot) ||
         step.FindTicket(aWorker.m_slot) != nullptr;
}

std::uint32_t
PoolScheduler::MostMembersOn(const Candidate& aCandidate,
                             const WorkerRecord& aWorker)
{
  const StepSpec& spec = aCandidate.Spec();
  const std::uint32_t members =
    TasksThatFit(spec.m_each, aWorker.m_info.m_capacity);
  return spec.m_maxPerWorker == 0 ? members
                                  : std::min(members, spec.m_maxPerWorker);
}

bool
PoolScheduler::FitsOnEmptyWorkers(const Candidate& aCandidate) const
{
  const StepSpec& spec = aCandidate.Spec();
  std::map<std::string, std::uint32_t> members;
  for (const WorkerRecord* worker : m_usable) {
    if (!IsSuitable(aCandidate, *worker) ||
        !MayBePermitted(aCandidate, *worker)) {
      continue;
    }
    std::uint32_t& sum =
      members[spec.m_sameRack ? worker->m_info.m_rack : std::string()];
    sum += MostMembersOn(aCandidate, *worker);
    if (sum >= spec.m_tasks) {
      return true;
    }
  }
  return false;
}

void
PoolScheduler::ReserveFor(Time aNow,
                          const Candidate& aCandidate,
                          Reservation& aReservation,
                          Actions& aActions)
{
  if (aCandidate.m_tier != Tier::InTime ||
      aReservation.m_gangs >= kReservingGangs) {
    return;
  }
  StepRecord& step = aCandidate.Record();
  if (!FitsOnEmptyWorkers(aCandidate)) {
    if (!std::exchange(step.m_reportedTooLarge, true)) {
      aActions.m_tooLargeJobs.push_back(aCandidate.m_job->Spec().m_id);
    }
    return;
  }
  ++aReservation.m_gangs;
  const StepSpec& spec = aCandidate.Spec();
  const std::optional<Time> start = aReservation.m_room.Reserve(
    aNow, spec.m_each, spec.m_tasks, RoomsFor(aNow, aCandidate));
  if (!start) {
    return;
  }
  if (!step.m_reservedSince) {
    step.m_reservedSince = aNow;
    aActions.m_waitingGangs.push_back({ aCandidate.m_job->Spec().m_id,
                                        aCandidate.m_step,
                                        spec.m_tasks,
                                        *start - aNow,
                                        aCandidate.m_latestStart - aNow });
  }
  const Time firm = *step.m_reservedSince +
                    (aCandidate.m_latestStart - *step.m_reservedSince) / 2;
  aReservation.m_firmFrom = std::min(aReservation.m_firmFrom, firm);
}

std::vector<WorkerRoom>
PoolScheduler::RoomsFor(Time aNow, const Candidate& aCandidate) const
{
  const StepSpec& spec = aCandidate.Spec();
  StepRecord& step = aCandidate.Record();
  std::vector<WorkerRoom> rooms;
  for (const WorkerRecord* worker : m_usable) {
    const bool permitted = !aCandidate.m_queue->m_advice ||
                           step.FindTicket(worker->m_slot) != nullptr;
    if (!permitted || !IsSuitable(aCandidate, *worker)) {
      continue;
    }
    WorkerRoom& room = rooms.emplace_back();
    room.m_worker = worker->m_slot;
    room.m_rack = spec.m_sameRack ? worker->m_info.m_rack : std::string();
    room.m_free = worker->Free();
    room.m_mostMembers = MostMembersOn(aCandidate, *worker);
    for (const auto& [task, placement] : worker->m_placements) {
      room.m_releases.push_back(
        { ExpectedEnd(aNow, placement), placement.m_resources });
    }
  }
  return rooms;
}

Time
PoolScheduler::ExpectedEnd(Time aNow, const Placement& aPlacement)
{
  Time end = aPlacement.m_expectedEnd;
  const bool tells = aPlacement.m_percent >= kTellingPercent &&
                     !aPlacement.m_adopted && !aPlacement.m_resumed;
  if (tells) {
    end = aPlacement.m_since + (aPlacement.m_progressAt - aPlacement.m_since) *
                                 kWholePercent / aPlacement.m_percent;
  }
  const Duration remaining =
    std::max(kLeastRemaining, (aNow - aPlacement.m_since) / kOverdueParts);
  return end > aNow ? end : aNow + remaining;
}

Time
PoolScheduler::LatestEnd(Time aNow,
                         const Candidate& aCandidate,
                         const WorkerRecord& aWorker) const
{
  const ExpectedRuntime& expected =
    aCandidate.m_job->Expected(aCandidate.m_step);
  return aNow + Scale(expected.m_high, std::max(1.0, SlownessOf(aWorker)));
}

std::uint32_t
PoolScheduler::UnkeptRoom(Time aNow,
                          const Candidate& aCandidate,
                          const Reservation& aReservation,
                          const WorkerRecord& aWorker,
                          std::uint32_t aTasks) const
{
  if (aTasks == 0 || aCandidate.m_interactive ||
      !aReservation.m_room.IsKept(aWorker.m_slot)) {
    return aTasks;
  }
  return aReservation.m_room.MostTasks(aWorker.m_slot,
                                       aCandidate.Spec().m_each,
                                       LatestEnd(aNow, aCandidate, aWorker),
                                       aTasks);
}

void
PoolScheduler::NoteKeptRoom(Time aNow,
                            const Candidate& aCandidate,
                            Reservation& aReservation,
                            const WorkerRecord& aWorker) const
{
  if (aReservation.m_room.IsKept(aWorker.m_slot)) {
    aReservation.m_room.OnStarted(aWorker.m_slot,
                                  aCandidate.Spec().m_each,
                                  LatestEnd(aNow, aCandidate, aWorker));
  }
}

void
PoolScheduler::PassReservation(Time aNow,
                               const Candidate& aCandidate,
                               Reservation& aReservation,
                               Actions& aActions)
{
  StepRecord& step = aCandidate.Record();
  step.m_lacksCapacity = true;
  // In a full pool most steps end here, before all workers are looked at.
  if (aCandidate.m_job->HasRunning() ||
      !aCandidate.Spec().m_each.FitsIn(m_mostFree)) {
    step.m_blockedSince.reset();
    return;
  }
  std::vector<PlacementOption> options =
    PlacementOptions(aNow, aCandidate, aReservation, KeptRoom::Taken);
  if (options.empty()) {
    step.m_blockedSince.reset();
    return;
  }
  if (!step.m_blockedSince) {
    step.m_blockedSince = aNow;
  }
  const Duration blocked = aNow - *step.m_blockedSince;
  if (blocked < kLongestStandstill || aNow >= aReservation.m_firmFrom ||
      !IsHalfIdle(aCandidate)) {
    return;
  }
  // One task is enough for the job not to stand still, and the next one stays
  // in the order.
  const std::vector<std::uint32_t> tasks = step.TasksToPlace();
  if (tasks.empty() || !HasOperationsFor(aCandidate, aActions)) {
    return;
  }
  const TaskRecord& task = step.m_tasks[tasks.front()];
  WorkerRecord& worker = *BestOption(task, options)->m_worker;
  Start(aNow, aCandidate, tasks.front(), NextRun(task), worker, aActions);
  NoteKeptRoom(aNow, aCandidate, aReservation, worker);
  step.m_blockedSince.reset();
  aActions.m_passedGangs.push_back(
    { aCandidate.m_job->Spec().m_id, aCandidate.m_step, blocked });
}

bool
PoolScheduler::IsHalfIdle(const Candidate& aCandidate) const
{
  std::int64_t used = 0;
  std::int64_t capacity = 0;
  for (const WorkerRecord* worker : m_usable) {
    if (worker->m_info.m_service == aCandidate.m_queue->m_service) {
      used += worker->m_used.m_millicores;
      capacity += worker->m_info.m_capacity.m_millicores;
    }
  }
  return used * 2 < capacity;
}

} // namespace lacewing::pool
