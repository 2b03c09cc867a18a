/// Cost of the decisions of the slice scheduler at several sizes of the fleet.
#include "BaselinePlacement.h"
#include "SchedLoad.h"

#include <benchmark/benchmark.h>

namespace lacewing::bench {

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr std::uint32_t kTeams = 240;

template<typename Placement>
using With = sched::SliceScheduler<sched::FairOrder, Placement>;

/// Tasks that run when the fleet has 4,900 workers and 60,000 tasks.
std::size_t
TasksFor(std::int64_t aWorkers)
{
  return static_cast<std::size_t>(aWorkers) * 60'000 / 4'900;
}

template<typename Placement>
void
SinglePlacement(benchmark::State& aState)
{
  SteadySlice<With<Placement>> slice(
    Shape::TwoYears,
    static_cast<std::uint32_t>(aState.range(0)),
    kTeams,
    kSeed);
  slice.Fill(TasksFor(aState.range(0)));
  for (auto _ : aState) {
    slice.EndOne();
    slice.m_scheduler.Submit(slice.m_now, slice.m_stream.Single());
    slice.Note(slice.m_scheduler.Decide(slice.m_now, 1));
    slice.m_now += microseconds(20);
  }
  aState.SetItemsProcessed(aState.iterations());
}

template<typename Placement>
void
GangOf64(benchmark::State& aState)
{
  SteadySlice<With<Placement>> slice(
    Shape::TwoYears,
    static_cast<std::uint32_t>(aState.range(0)),
    kTeams,
    kSeed);
  slice.Fill(TasksFor(aState.range(0)) * 3 / 4);
  for (auto _ : aState) {
    aState.PauseTiming();
    slice.m_now += seconds(1);
    slice.m_scheduler.Submit(slice.m_now, slice.m_stream.Gang(64));
    aState.ResumeTiming();
    const auto actions = slice.m_scheduler.Decide(slice.m_now, 64);
    aState.PauseTiming();
    for (const sched::Action& action : actions) {
      slice.EndTask(action);
    }
    aState.ResumeTiming();
  }
}

void
CancelWave(benchmark::State& aState)
{
  const auto jobs = static_cast<std::size_t>(aState.range(0));
  for (auto _ : aState) {
    aState.PauseTiming();
    SteadySlice<With<sched::BestFitPlacement>> slice(
      Shape::TwoYears, 490, kTeams, kSeed);
    std::vector<JobId> ids;
    for (std::size_t i = 0; i < jobs; ++i) {
      sched::JobSpec spec = slice.m_stream.Single();
      spec.m_tasks = 100;
      ids.push_back(spec.m_id);
      slice.m_scheduler.Submit(slice.m_now, spec);
    }
    aState.ResumeTiming();
    for (const JobId& id : ids) {
      slice.m_scheduler.Cancel(slice.m_now, id);
    }
  }
  aState.SetItemsProcessed(
    static_cast<std::int64_t>(aState.iterations() * jobs));
}

} // namespace

BENCHMARK(SinglePlacement<sched::BestFitPlacement>)
  ->Arg(490)
  ->Arg(1500)
  ->Arg(4900);
BENCHMARK(SinglePlacement<OrderedSetPlacement>)->Arg(490)->Arg(1500)->Arg(4900);
BENCHMARK(SinglePlacement<LinearBestFitPlacement>)
  ->Arg(490)
  ->Arg(1500)
  ->Arg(4900);
BENCHMARK(SinglePlacement<FirstFitPlacement>)->Arg(490)->Arg(1500)->Arg(4900);
BENCHMARK(SinglePlacement<RandomPlacement>)->Arg(490)->Arg(1500)->Arg(4900);
BENCHMARK(SinglePlacement<BestOfKPlacement>)->Arg(490)->Arg(1500)->Arg(4900);
BENCHMARK(GangOf64<sched::BestFitPlacement>)->Arg(490)->Arg(1500)->Arg(4900);
BENCHMARK(GangOf64<RackBlindPlacement>)->Arg(490)->Arg(1500)->Arg(4900);
BENCHMARK(CancelWave)->Arg(1'000)->Arg(10'000)->Iterations(3);

} // namespace lacewing::bench

BENCHMARK_MAIN();
