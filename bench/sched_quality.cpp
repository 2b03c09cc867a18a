/// Measures the targets of the slice scheduler beside the baselines, all in one
/// run: cost of decisions, gangs, packing, fairness, urgent work and memory.
/// Only decision functions are called; time is virtual but for the cost.
#include "BaselinePlacement.h"
#include "SchedLoad.h"
#include "VirtualSlice.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

namespace lacewing::bench {

namespace {

constexpr std::uint32_t kWorkers = 4'900;
constexpr std::uint32_t kTasks = 60'000;
constexpr std::uint32_t kTeams = 240;

template<typename Placement>
using With = sched::SliceScheduler<sched::FairOrder, Placement>;
using Daemon = With<sched::BestFitPlacement>;

double
MicrosecondsSince(std::chrono::steady_clock::time_point aStart)
{
  return std::chrono::duration<double, std::micro>(
           std::chrono::steady_clock::now() - aStart)
    .count();
}

double
Percentile(std::vector<double> aValues, double aPart)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(aPart * last)];
}

// Cost of single placements ------------------------------------------------

/// Ends a task, submits one and decides, many times; only `Decide` is timed for
/// the percentiles, all three for the rate.
template<typename Scheduler>
void
MeasureSingles(const char* aName,
               std::uint32_t aWorkers,
               std::uint64_t aSeed,
               std::size_t aRounds,
               std::size_t aTasks = kTasks)
{
  SteadySlice<Scheduler> slice(Shape::TwoYears, aWorkers, kTeams, aSeed);
  slice.Fill(aWorkers * aTasks / kWorkers);
  const std::size_t running = slice.m_running.size();
  std::vector<double> costs;
  double total = 0;
  std::size_t starts = 0;
  for (std::size_t i = 0; i < aRounds; ++i) {
    const sched::JobSpec spec = slice.m_stream.Single();
    const auto begin = std::chrono::steady_clock::now();
    slice.EndOne();
    slice.m_scheduler.Submit(slice.m_now, spec);
    const auto middle = std::chrono::steady_clock::now();
    const auto actions = slice.m_scheduler.Decide(slice.m_now, 1);
    costs.push_back(MicrosecondsSince(middle));
    total += MicrosecondsSince(begin);
    starts += slice.Note(actions);
    slice.m_now += microseconds(20);
  }
  std::printf("| %s | %u | %zu | %.0f | %.1f | %.1f | %.1f |\n",
              aName,
              aWorkers,
              running,
              static_cast<double>(starts) / total * 1e6,
              Percentile(costs, 0.5),
              Percentile(costs, 0.99),
              Percentile(costs, 1));
}

void
Singles(std::uint64_t aSeed)
{
  std::printf("\n## Single placements\n\n"
              "| policy | workers | running | starts/s | p50 us | p99 us | "
              "max us |\n|---|---|---|---|---|---|---|\n");
  for (const std::uint32_t workers : { 490U, 1'500U, kWorkers }) {
    MeasureSingles<Daemon>("index (chosen)", workers, aSeed, 40'000);
  }
  // More than the fleet holds: each team has a backlog.
  MeasureSingles<Daemon>(
    "index (chosen), fleet full", kWorkers, aSeed, 20'000, 2 * kTasks);
  MeasureSingles<With<OrderedSetPlacement>>(
    "ordered set", kWorkers, aSeed, 20'000);
  MeasureSingles<With<LinearBestFitPlacement>>(
    "linear best fit", kWorkers, aSeed, 10'000);
  MeasureSingles<With<FirstFitPlacement>>("first fit", kWorkers, aSeed, 10'000);
  MeasureSingles<With<RandomPlacement>>("random", kWorkers, aSeed, 5'000);
  MeasureSingles<With<BestOfKPlacement>>("best of 16", kWorkers, aSeed, 5'000);
  MeasureSingles<
    sched::SliceScheduler<sched::ArrivalOrder, sched::BestFitPlacement>>(
    "index, arrival order", kWorkers, aSeed, 20'000);
}

// Gangs ----------------------------------------------------------------------

template<typename Scheduler>
void
MeasureGangs(const char* aName,
             std::uint32_t aWorkers,
             std::uint64_t aSeed,
             std::size_t aTasks = kTasks * 3 / 4)
{
  constexpr std::uint32_t kGang = 64;
  constexpr int kRounds = 300;
  constexpr std::uint32_t kDomains = 11;
  SteadySlice<Scheduler> slice(Shape::TwoYears, aWorkers, kTeams, aSeed);
  slice.Fill(aWorkers * aTasks / kWorkers);
  std::map<VmId, sched::WorkerSpec> specs;
  for (std::uint32_t number = 0; number < aWorkers; ++number) {
    const auto spec = FleetWorker(Shape::TwoYears, number, kDomains);
    specs[spec.m_id] = spec;
  }
  std::vector<double> costs;
  double racks = 0;
  double domains = 0;
  int started = 0;
  for (int i = 0; i < kRounds; ++i) {
    slice.m_now += seconds(1);
    slice.EndOne();
    const sched::JobSpec spec = slice.m_stream.Gang(kGang);
    slice.m_scheduler.Submit(slice.m_now, spec);
    const auto begin = std::chrono::steady_clock::now();
    const auto actions = slice.m_scheduler.Decide(slice.m_now, kGang);
    costs.push_back(MicrosecondsSince(begin));
    if (actions.size() != kGang) {
      // Cancelled, so that the next round makes a reservation again.
      slice.m_scheduler.Cancel(slice.m_now, spec.m_id);
      slice.Note(actions);
      continue;
    }
    ++started;
    std::set<sched::RackId> usedRacks;
    std::set<DomainId> usedDomains;
    for (const sched::Action& action : actions) {
      usedRacks.insert(specs.at(action.m_worker).m_rack);
      usedDomains.insert(specs.at(action.m_worker).m_domain);
      slice.EndTask(action);
    }
    racks += static_cast<double>(usedRacks.size());
    domains += static_cast<double>(usedDomains.size());
  }
  std::printf("| %s | %u | %d of %d | %.0f | %.0f | %.1f | %.1f |\n",
              aName,
              aWorkers,
              started,
              kRounds,
              Percentile(costs, 0.5),
              Percentile(costs, 0.99),
              racks / std::max(started, 1),
              domains / std::max(started, 1));
}

void
Gangs(std::uint64_t aSeed)
{
  std::printf("\n## Gangs of 64 tasks of 4 cores\n\n"
              "| policy | workers | started at once | p50 us | p99 us | racks "
              "a gang | domains a gang |\n|---|---|---|---|---|---|---|\n");
  for (const std::uint32_t workers : { 490U, 1'500U, kWorkers }) {
    MeasureGangs<Daemon>("by rack (chosen)", workers, aSeed);
  }
  // The gang does not fit; the decision chooses workers to keep free for it.
  MeasureGangs<Daemon>(
    "by rack (chosen), fleet full", kWorkers, aSeed, 2 * kTasks);
  MeasureGangs<With<RackBlindPlacement>>(
    "best fit, racks ignored", kWorkers, aSeed);
  MeasureGangs<With<FirstFitPlacement>>("first fit", kWorkers, aSeed);
  MeasureGangs<With<RandomPlacement>>("random", kWorkers, aSeed);
}

// Packing --------------------------------------------------------------------

/// A fleet with a placement policy and nothing else.
template<typename Placement>
class PackedFleet
{
public:
  PackedFleet(Shape aShape, std::uint32_t aWorkers)
  {
    for (std::uint32_t number = 0; number < aWorkers; ++number) {
      const auto spec = FleetWorker(aShape, number, 11);
      m_table.Add(number, spec);
      m_table.Set(number, spec.m_capacity, true);
      m_policy.Update(m_table, number);
      m_capacity += spec.m_capacity;
    }
  }

  bool Offer(const sched::JobSpec& aSpec)
  {
    const sched::Request request = m_table.Resolve(aSpec);
    std::vector<std::uint32_t> places;
    if (aSpec.m_kind == JobKind::Gang) {
      places = m_policy.PlaceGang(m_table, request, aSpec.m_tasks);
    } else if (const auto worker = m_policy.Place(m_table, request);
               worker != sched::kNone) {
      places.push_back(worker);
    }
    for (const std::uint32_t worker : places) {
      Change(worker, Resources{} - request.m_need);
    }
    if (!places.empty()) {
      m_items.push_back({ request.m_need, places });
    }
    return !places.empty();
  }

  void RemoveItem(std::size_t aIndex)
  {
    for (const std::uint32_t worker : m_items[aIndex].m_workers) {
      Change(worker, m_items[aIndex].m_need);
    }
    m_items[aIndex] = std::move(m_items.back());
    m_items.pop_back();
  }

  std::size_t Items() const { return m_items.size(); }
  /// Part of the scarcer resource that is used.
  double Used() const { return sched::DominantShare(m_used, m_capacity); }

private:
  struct Item
  {
    Resources m_need;
    std::vector<std::uint32_t> m_workers;
  };

  void Change(std::uint32_t aWorker, const Resources& aFreed)
  {
    m_used -= aFreed;
    m_table.Set(aWorker, m_table.Slots()[aWorker].m_free + aFreed, true);
    m_policy.Update(m_table, aWorker);
  }

  sched::FreeTable m_table;
  Placement m_policy;
  std::vector<Item> m_items;
  Resources m_capacity;
  Resources m_used;
};

/// Part of capacity in use, in percent.
struct FillLevels
{
  double m_atFirst = 0;   ///< at the first refusal
  double m_atPercent = 0; ///< when 1% of the offered processors were refused
};

/// Fills a fleet with churn: one job ends for each four that are offered.
template<typename Placement>
FillLevels
FillUntilRefusals(Shape aShape, std::uint32_t aWorkers, std::uint64_t aSeed)
{
  PackedFleet<Placement> fleet(aShape, aWorkers);
  JobStream stream(aShape, aSeed, 1);
  std::mt19937_64 churn(aSeed);
  FillLevels levels;
  double offered = 0;
  double refused = 0;
  for (std::size_t i = 0; refused <= 0.01 * offered; ++i) {
    const sched::JobSpec spec = stream.Next();
    const auto size =
      static_cast<double>(spec.m_perTask.m_millicores * spec.m_tasks);
    offered += size;
    if (!fleet.Offer(spec)) {
      refused += size;
      levels.m_atPercent = 100 * fleet.Used();
      if (levels.m_atFirst == 0) {
        levels.m_atFirst = levels.m_atPercent;
      }
    }
    if (i % 4 == 0 && fleet.Items() > 0) {
      fleet.RemoveItem(churn() % fleet.Items());
    }
  }
  return levels;
}

void
PackingRow(Shape aShape, std::uint32_t aWorkers, std::uint64_t aSeed)
{
  constexpr std::uint64_t kSeeds = 30;
  std::array<FillLevels, 7> sums{};
  for (std::uint64_t i = 0; i < kSeeds; ++i) {
    const std::uint64_t seed = aSeed + i;
    const std::array<FillLevels, 7> levels = {
      FillUntilRefusals<sched::BestFitPlacement>(aShape, aWorkers, seed),
      FillUntilRefusals<LinearBestFitPlacement>(aShape, aWorkers, seed),
      FillUntilRefusals<OrderedSetPlacement>(aShape, aWorkers, seed),
      FillUntilRefusals<RackBlindPlacement>(aShape, aWorkers, seed),
      FillUntilRefusals<FirstFitPlacement>(aShape, aWorkers, seed),
      FillUntilRefusals<BestOfKPlacement>(aShape, aWorkers, seed),
      FillUntilRefusals<RandomPlacement>(aShape, aWorkers, seed),
    };
    for (std::size_t policy = 0; policy < sums.size(); ++policy) {
      sums[policy].m_atFirst += levels[policy].m_atFirst / kSeeds;
      sums[policy].m_atPercent += levels[policy].m_atPercent / kSeeds;
    }
  }
  std::printf("| %s | %u ", NameOfShape(aShape), aWorkers);
  for (const FillLevels& level : sums) {
    std::printf("| %.1f / %.1f ", level.m_atFirst, level.m_atPercent);
  }
  std::printf("|\n");
}

void
Packing(std::uint64_t aSeed)
{
  std::printf(
    "\n## Packing: %% of capacity in use at the first refusal / when 1%% of "
    "the load is refused\n\n"
    "| load | workers | index (chosen) | linear best fit | ordered set | "
    "index, "
    "racks ignored | first fit | best of 16 | random |\n"
    "|---|---|---|---|---|---|---|---|---|\n");
  PackingRow(Shape::Vanigliera, 50, aSeed);
  PackingRow(Shape::Guild, 50, aSeed);
  PackingRow(Shape::TwoYears, 490, aSeed);
  PackingRow(Shape::TwoYears, 1'500, aSeed);
}

// Fairness -------------------------------------------------------------------

/// Keeps several shapes of work queued for the team.
template<typename Slice>
void
Backlog(Slice& aSlice, const TeamId& aTeam, std::size_t aJobs)
{
  for (std::size_t i = 0; i < aJobs; ++i) {
    JobSpec spec = aSlice.m_stream.Single();
    spec.m_kind = JobKind::Batch;
    spec.m_team = aTeam;
    spec.m_tasks = 64;
    spec.m_patient = true;
    spec.m_perTask =
      JobStream::Size(1 + aSlice.m_stream.Draw(8), 1 + aSlice.m_stream.Draw(6));
    aSlice.Submit(spec);
  }
}

TeamId
TeamName(std::uint32_t aNumber)
{
  return TeamId("t" + std::to_string(aNumber));
}

struct Distances
{
  double m_largest = 0; ///< relative distance from a share, in percent
  double m_least = 1e9; ///< smallest part of a share, in percent
  int m_beyond = 0;     ///< teams more than 2% away from their share
};

/// Distances of the teams from their shares of what is in use.
template<typename Scheduler>
Distances
MeasureFairness(std::uint64_t aSeed, bool aLateHalf)
{
  VirtualSlice<Scheduler> slice(aSeed);
  slice.AddFleet(kWorkers);
  const auto weight = [](std::uint32_t aTeam) { return 1 + aTeam % 4; };
  const auto backlog = [&](std::uint32_t aTeam) {
    return slice.m_scheduler.Usage(TeamName(aTeam)).m_waitingMillicores;
  };
  for (std::uint32_t team = 0; team < kTeams; ++team) {
    slice.AddTeam(TeamName(team), weight(team));
  }
  constexpr Duration kTick = milliseconds(100);
  constexpr std::size_t kStarts = 20'000;
  constexpr std::int64_t kEnoughMillicores = 2'000'000;
  std::vector<double> sums(kTeams, 0);
  int samples = 0;
  constexpr int kTicksPerMinute = 600;
  const auto one = [&](int aTick, bool aAll) {
    for (std::uint32_t team = 0; team < kTeams; ++team) {
      const bool active = aAll || team % 2 == 0;
      // Teams with even numbers submit more than their weight asks for.
      if (active && aTick % 10 == 0 && backlog(team) < kEnoughMillicores) {
        Backlog(slice, TeamName(team), team % 3 == 0 ? 24 : 8);
      }
    }
    slice.Tick(kTick, kStarts);
  };
  for (int tick = 0; tick < kTicksPerMinute; ++tick) {
    one(tick, !aLateHalf);
  }
  if (aLateHalf) {
    // Teams that had lent their share ask for it back.
    for (int tick = 0; tick < kTicksPerMinute / 6; ++tick) {
      one(tick, true);
    }
  }
  for (int tick = 0; tick < kTicksPerMinute; ++tick) {
    one(tick, true);
    ++samples;
    for (std::uint32_t team = 0; team < kTeams; ++team) {
      sums[team] += slice.m_scheduler.Usage(TeamName(team)).m_dominantShare;
    }
  }
  double total = 0;
  double weights = 0;
  for (std::uint32_t team = 0; team < kTeams; ++team) {
    total += sums[team];
    weights += weight(team);
  }
  Distances distances;
  for (std::uint32_t team = 0; team < kTeams; ++team) {
    const double share = total * weight(team) / weights;
    const double part = 100 * sums[team] / share;
    const double distance = std::abs(part - 100);
    distances.m_largest = std::max(distances.m_largest, distance);
    distances.m_least = std::min(distances.m_least, part);
    distances.m_beyond += distance > 2 ? 1 : 0;
  }
  std::fprintf(stderr,
               "fairness: in use %.3f, starts %zu, stops %zu\n",
               total / samples,
               slice.m_starts,
               slice.m_stops);
  return distances;
}

template<typename Scheduler>
void
FairnessRow(const char* aName, std::uint64_t aSeed)
{
  for (const bool late : { false, true }) {
    const Distances distances = MeasureFairness<Scheduler>(aSeed, late);
    std::printf("| %s | %s | %.2f | %.1f | %d |\n",
                aName,
                late ? "half of the teams arrive 10 s before"
                     : "all from the start",
                distances.m_largest,
                distances.m_least,
                distances.m_beyond);
  }
}

void
Fairness(std::uint64_t aSeed)
{
  std::printf("\n## Fairness over a minute, 240 teams, full fleet\n\n"
              "| order | backlog | largest distance from share %% | least part "
              "of a share %% | teams beyond 2%% |\n|---|---|---|---|---|\n");
  FairnessRow<Daemon>("weighted dominant share (chosen)", aSeed);
  FairnessRow<
    sched::SliceScheduler<sched::ArrivalOrder, sched::BestFitPlacement>>(
    "first come first served", aSeed);
}

// Urgent work ----------------------------------------------------------------

/// Waits of urgent tasks while patient work keeps the fleet at a load.
template<typename Scheduler>
void
UrgentRow(const char* aName, double aLoad, bool aAsUrgent, std::uint64_t aSeed)
{
  VirtualSlice<Scheduler> slice(aSeed);
  slice.AddFleet(kWorkers);
  constexpr std::uint32_t kPatientTeams = 20;
  for (std::uint32_t team = 0; team <= kPatientTeams; ++team) {
    slice.AddTeam(TeamName(team), 1);
  }
  const TeamId urgentTeam = TeamName(kPatientTeams);
  const auto capacity = static_cast<double>(kWorkers) * 32'000;
  constexpr Duration kTick = milliseconds(50);
  constexpr int kTicks = 2'400;
  constexpr int kWarmTicks = 600;
  int next = 0;
  for (int tick = 0; tick < kTicks; ++tick) {
    double placed = 0;
    for (const auto& usage : slice.m_scheduler.Usages()) {
      placed += static_cast<double>(usage.m_runningMillicores +
                                    usage.m_waitingMillicores);
    }
    while (placed < aLoad * capacity) {
      JobSpec spec = slice.m_stream.Single();
      spec.m_kind = JobKind::Batch;
      spec.m_patient = true;
      spec.m_team = TeamName(static_cast<std::uint32_t>(next) % kPatientTeams);
      // So long that little room becomes free by itself.
      spec.m_runMs = 3'600'000;
      spec.m_checkpointable = next % 2 == 0;
      placed += static_cast<double>(spec.m_perTask.m_millicores);
      slice.Submit(spec);
      ++next;
    }
    for (int i = 0; tick > kWarmTicks && i < 2; ++i) {
      JobSpec spec = slice.m_stream.Base();
      spec.m_team = urgentTeam;
      spec.m_kind = aAsUrgent ? JobKind::Urgent : JobKind::Batch;
      spec.m_runMs = 5'000;
      spec.m_perTask = JobStream::Size(2 + slice.m_stream.Draw(15),
                                       4 + slice.m_stream.Draw(13));
      slice.m_urgentPending[spec.m_id] = slice.m_now;
      slice.Submit(spec);
    }
    slice.Tick(kTick, 20'000);
  }
  std::vector<double> waits;
  for (const Duration wait : slice.m_urgentWaits) {
    waits.push_back(static_cast<double>(wait.count()) / 1e6);
  }
  for (const auto& [job, submitted] : slice.m_urgentPending) {
    waits.push_back(static_cast<double>((slice.m_now - submitted).count()) /
                    1e6);
  }
  std::printf("| %s | %.0f | %zu | %zu | %.2f | %.2f | %.2f | %zu | %zu |\n",
              aName,
              100 * aLoad,
              waits.size(),
              slice.m_urgentPending.size(),
              Percentile(waits, 0.5),
              Percentile(waits, 0.99),
              Percentile(waits, 1),
              slice.m_throttles,
              slice.m_stops);
}

void
Urgent(std::uint64_t aSeed)
{
  std::printf("\n## Urgent work, 40 tasks a second of 1 to 8 cores\n\n"
              "| order | offered load %% | urgent tasks | not started at the "
              "end | p50 s | p99 s | max s | throttled | stopped |\n"
              "|---|---|---|---|---|---|---|---|---|\n");
  using Arrival =
    sched::SliceScheduler<sched::ArrivalOrder, sched::BestFitPlacement>;
  for (const double load : { 0.95, 1.2 }) {
    UrgentRow<Daemon>("urgent class (chosen)", load, true, aSeed);
    UrgentRow<Daemon>("as ordinary batch, fair order", load, false, aSeed);
    UrgentRow<Arrival>("first come first served", load, false, aSeed);
  }
}

// Memory ---------------------------------------------------------------------

double
AllocatedBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

/// Bytes of a scheduler with the given numbers.
double
BytesWith(std::uint32_t aWorkers,
          std::uint32_t aTeams,
          std::uint32_t aJobs,
          std::uint32_t aTasksPerJob)
{
  const double before = AllocatedBytes();
  Daemon scheduler;
  for (std::uint32_t number = 0; number < aWorkers; ++number) {
    scheduler.UpsertWorker(Time(), FleetWorker(Shape::TwoYears, number, 11));
  }
  for (std::uint32_t team = 0; team < aTeams; ++team) {
    scheduler.SetTeam(Time(), TeamName(team), 1);
    scheduler.SetAllotment(TeamName(team), kNoBound);
  }
  scheduler.SetOpen(true);
  JobStream stream(Shape::TwoYears, 1, std::max(aTeams, 1U));
  for (std::uint32_t job = 0; job < aJobs; ++job) {
    JobSpec spec = stream.Single();
    spec.m_kind = JobKind::Batch;
    spec.m_tasks = aTasksPerJob;
    spec.m_perTask = JobStream::Size(1, 1);
    scheduler.Submit(Time(), spec);
  }
  scheduler.Decide(Time() + seconds(1), 10'000'000);
  return AllocatedBytes() - before;
}

void
Memory()
{
  std::printf("\n## Memory, bytes by the slope between two sizes\n\n"
              "| what | sizes | bytes each, first slope | second slope |\n"
              "|---|---|---|---|\n");
  const auto row =
    [](const char* aName, std::array<std::uint32_t, 3> aSizes, auto aBytes) {
      std::array<double, 3> bytes{};
      for (std::size_t i = 0; i < bytes.size(); ++i) {
        bytes[i] = aBytes(aSizes[i]);
      }
      std::printf("| %s | %u, %u, %u | %.0f | %.0f |\n",
                  aName,
                  aSizes[0],
                  aSizes[1],
                  aSizes[2],
                  (bytes[1] - bytes[0]) / (aSizes[1] - aSizes[0]),
                  (bytes[2] - bytes[1]) / (aSizes[2] - aSizes[1]));
    };
  row("running task, 20 a job", { 15'000, 30'000, 60'000 }, [](auto aSize) {
    return BytesWith(kWorkers, kTeams, aSize / 20, 20);
  });
  row("running task, one a job", { 15'000, 30'000, 60'000 }, [](auto aSize) {
    return BytesWith(kWorkers, kTeams, aSize, 1);
  });
  row("worker", { 490, 1'500, 4'900 }, [](auto aSize) {
    return BytesWith(aSize, kTeams, 0, 1);
  });
  row("team", { 60, 120, 240 }, [](auto aSize) {
    return BytesWith(490, aSize, 0, 1);
  });
  std::printf("\nWhole scheduler with 4,900 workers, 240 teams and 60,000 "
              "running tasks in 3,000 jobs: %.1f MB; 512 workers and 6,270 "
              "tasks: %.1f MB.\n",
              BytesWith(kWorkers, kTeams, 3'000, 20) / 1e6,
              BytesWith(512, kTeams, 314, 20) / 1e6);
}

} // namespace

int
Run(int argc, char** argv)
{
  constexpr std::uint64_t kDefaultSeed = 20261204;
  const std::uint64_t seed =
    argc > 1 ? std::strtoull(argv[1], nullptr, 10) : kDefaultSeed;
  const std::string part = argc > 2 ? argv[2] : "all";
  const auto wanted = [&](const char* aName) {
    return part == "all" || part == aName;
  };
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
  if (wanted("memory")) {
    Memory();
  }
  if (wanted("singles")) {
    Singles(seed);
  }
  if (wanted("gangs")) {
    Gangs(seed);
  }
  if (wanted("packing")) {
    Packing(seed);
  }
  if (wanted("fairness")) {
    Fairness(seed);
  }
  if (wanted("urgent")) {
    Urgent(seed);
  }
  return 0;
}

} // namespace lacewing::bench

int
main(int argc, char** argv)
{
  return lacewing::bench::Run(argc, argv);
}
