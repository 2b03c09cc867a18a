/// Figures of the settings and time line packages: virtual time until changes
/// are in force, load on the table and the link between regions, and the cost
/// of single operations. Prints Markdown for docs/measurements/settings.md.
#include "fakes/SettingsCluster.h"
#include "observe/Timeline.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <cmath>
#include <cstdio>

namespace lacewing::fakes {

namespace {

using settings::Distribution;

constexpr std::uint64_t kSeed = 20261204;
constexpr int kChanges = 40;
constexpr Duration kBetween = milliseconds(2630);
constexpr int kTeams = 240;

struct Figures
{
  std::vector<double> m_newMs;      ///< until in force on the last process
  std::vector<double> m_withdrawMs; ///< until the last work for the key
  double m_reads = 0;               ///< a second, over all processes
  double m_writes = 0;
  double m_bytes = 0; ///< a second, over the link between regions
  double m_heartbeatBytes = 0;
};

double
Percentile(std::vector<double> aValues, double aPart)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const double last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(std::lround(last * aPart))];
}

ClusterOptions
Options(int aProcesses, Distribution aDistribution)
{
  ClusterOptions options;
  options.m_processes = aProcesses;
  options.m_distribution = aDistribution;
  options.m_seed = kSeed;
  options.m_teams = kTeams;
  options.m_operatorsAct = false;
  options.m_callersAct = false;
  return options;
}

/// Every link and the table are as far away as the other region, which is the
/// worst case for each process.
void
SetDelays(SettingsCluster& aCluster)
{
  aCluster.Network().Faults().m_baseDelay = milliseconds(20);
  aCluster.Table().Faults().m_delay = milliseconds(20);
}

/// Changes one team after the other and takes the time until the last process
/// has each.
Figures
MeasureChanges(int aProcesses, Distribution aDistribution)
{
  SettingsCluster cluster(Options(aProcesses, aDistribution));
  SetDelays(cluster);
  cluster.Queue().RunFor(seconds(5));
  const auto reads = cluster.SettingsReads();
  const auto writes = cluster.SettingsWrites();
  const auto bytes = cluster.SettingsBytesAcross();
  const auto heartbeats = cluster.HeartbeatBytesAcross();
  const Time begin = cluster.Queue().Now();
  for (int i = 0; i < kChanges; ++i) {
    cluster.AskChange(0, i * 7 % aProcesses, "t" + std::to_string(10 + i), "");
    cluster.Queue().RunFor(kBetween + milliseconds(37 * (i % 11)));
  }
  const double elapsed =
    static_cast<double>(ToMilliseconds(cluster.Queue().Now() - begin)) / 1000;
  Figures figures;
  figures.m_reads =
    static_cast<double>(cluster.SettingsReads() - reads) / elapsed;
  figures.m_writes =
    static_cast<double>(cluster.SettingsWrites() - writes) / elapsed;
  figures.m_bytes =
    static_cast<double>(cluster.SettingsBytesAcross() - bytes) / elapsed;
  figures.m_heartbeatBytes =
    static_cast<double>(cluster.HeartbeatBytesAcross() - heartbeats) / elapsed;
  for (const auto& change : detail::AcceptedChanges(cluster.Seen())) {
    Time last = change.m_at;
    for (const auto& [time, inForce] :
         detail::ItemsOf<InForce>(cluster.Seen())) {
      if (inForce.m_subtree == change.m_asked.m_subtree &&
          inForce.m_version == change.m_asked.m_expected + 1) {
        last = std::max(last, time);
      }
    }
    figures.m_newMs.push_back(
      static_cast<double>((last - change.m_at).count()) / 1000);
  }
  return figures;
}

/// Withdraws a key while the other region can't reach the table, and takes the
/// time until the last work for it.
double
MeasureWithdrawal(int aProcesses,
                  Distribution aDistribution,
                  bool aCutOff,
                  std::uint64_t aSeed)
{
  ClusterOptions options = Options(aProcesses, aDistribution);
  options.m_callersAct = true;
  options.m_teams = 2;
  options.m_seed = aSeed;
  SettingsCluster cluster(options);
  SetDelays(cluster);
  cluster.Queue().RunFor(seconds(2) + milliseconds(97 * (aSeed % 17)));
  if (aCutOff) {
    cluster.Apply({ FaultKind::CutRegions }, 0);
  }
  cluster.AskChange(0, 0, "a", "k1");
  cluster.Queue().RunFor(seconds(8));
  const auto accepted = detail::AcceptedChanges(cluster.Seen());
  if (accepted.empty()) {
    return -1;
  }
  Time last = accepted.front().m_at;
  for (const auto& [time, work] : detail::ItemsOf<WorkTaken>(cluster.Seen())) {
    if (work.m_key == "a/k1") {
      last = std::max(last, time);
    }
  }
  return static_cast<double>((last - accepted.front().m_at).count()) / 1000;
}

const char*
NameOfMode(Distribution aDistribution)
{
  return aDistribution == Distribution::Direct ? "each by itself"
                                               : "one reader per region";
}

void
PrintChanges()
{
  std::puts(
    "| processes | mode | new setting p50 / p99 (ms) | withdrawn key, "
    "no fault / region cut off (max ms) | reads/s | writes/s | bytes/s "
    "between regions | of heartbeats |\n|---|---|---|---|---|---|---|---|");
  for (const int processes : { 4, 9, 30, 100 }) {
    for (const auto mode : { Distribution::Direct, Distribution::Region }) {
      const Figures figures = MeasureChanges(processes, mode);
      double worst = 0;
      double worstCut = 0;
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        worst =
          std::max(worst, MeasureWithdrawal(processes, mode, false, seed));
        worstCut =
          std::max(worstCut, MeasureWithdrawal(processes, mode, true, seed));
      }
      std::printf(
        "| %d | %s | %.0f / %.0f | %.0f / %.0f | %.1f | %.1f | %.0f | "
        "%.0f |\n",
        processes,
        NameOfMode(mode),
        Percentile(figures.m_newMs, 0.5),
        Percentile(figures.m_newMs, 0.99),
        worst,
        worstCut,
        figures.m_reads,
        figures.m_writes,
        figures.m_bytes,
        figures.m_heartbeatBytes);
    }
  }
}

/// Heap bytes of a tree with many teams of two keys each, per team.
void
PrintMemory()
{
  settings::Subtree row;
  row.m_version = 1;
  const std::string digest = std::string(32, 'a') + ":" + std::string(64, 'b');
  row.m_text =
    "[team]\nweight = 1\nlimit.millicores = 1000\nkey.k1 = " + digest +
    "\nkey.k2 = " + digest + "\n";
  const auto before = mallinfo2().uordblks;
  settings::SettingsTree tree;
  for (int i = 0; i < kTeams; ++i) {
    tree.Set("team.t" + std::to_string(i), row);
  }
  const auto used = mallinfo2().uordblks - before;
  std::printf("\nmemory per team with two keys: %.0f bytes (%d teams)\n",
              static_cast<double>(used) / kTeams,
              kTeams);
}

SettingsCluster&
SharedCluster()
{
  static SettingsCluster cluster(Options(4, Distribution::Direct));
  return cluster;
}

void
Authenticate(benchmark::State& aState, const std::string& aKey)
{
  const settings::SettingsStore& store = SharedCluster().Store(2);
  const settings::Authenticator gate(store);
  // Process 2 runs at the queue's rate from 200 s on.
  const Time now = Time() + seconds(203);
  for (auto each : aState) {
    const bool taken = leaf::try_handle_all(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(gate.Authenticate(now, aKey, ""));
        return true;
      },
      [] { return false; });
    benchmark::DoNotOptimize(taken);
  }
}

void
AddEvent(benchmark::State& aState)
{
  observe::Timeline timeline("vm-17", 4'194'304);
  std::int64_t now = 1'700'000'000'000'000;
  for (auto each : aState) {
    observe::Event event;
    event.m_kind = observe::EventKind::TaskStarted;
    event.m_job = JobId("job-lombardy-1234567");
    event.m_team = TeamId("lot-quality");
    event.m_vm = VmId("worker-0042");
    event.m_detail = "task 17 attempt 1";
    benchmark::DoNotOptimize(timeline.Add(++now, std::move(event)));
  }
  aState.counters["bytes_per_event"] = static_cast<double>(timeline.Bytes()) /
                                       static_cast<double>(timeline.size());
}

void
Register()
{
  const std::pair<const char*, std::string> keys[] = {
    { "authenticate/right key", SettingsCluster::KeyText("a", "k1") },
    { "authenticate/wrong secret", SettingsCluster::KeyText("a", "k1") + "x" },
    { "authenticate/unknown key id", SettingsCluster::KeyText("a", "k9") },
    { "authenticate/unknown team", SettingsCluster::KeyText("zz", "k1") },
  };
  for (const auto& [name, key] : keys) {
    benchmark::RegisterBenchmark(name, Authenticate, key)->Repetitions(5);
  }
  benchmark::RegisterBenchmark("timeline/add", AddEvent)->Repetitions(5);
}

} // namespace

} // namespace lacewing::fakes

int
main(int argc, char** argv)
{
  lacewing::fakes::PrintChanges();
  lacewing::fakes::PrintMemory();
  std::fflush(stdout);
  lacewing::fakes::Register();
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
