/// Figures of the ownership protocol. Times and rates are those of virtual time
/// with fixed seeds; only the cost of the state machine is measured on the real
/// clock.
#include "../tests/fakes/OwnershipCell.h"

#include "ownership/RendezvousHash.h"
#include "table/MemoryTable.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace lacewing {

namespace {

using fakes::CellOptions;
using fakes::OwnershipCell;

constexpr int kGapRuns = 40;
const SliceId kFirstSlice("r0-slice0");

struct Gap
{
  Duration m_owned{};
  Duration m_open{};
};

/// Time until another member may act for the slice, and until it is open.
Gap
MeasureGap(OwnershipCell& aCell)
{
  constexpr Duration kStep = milliseconds(5);
  const Time start = aCell.Queue().Now();
  const VmId before = aCell.OwnerOf(kFirstSlice);
  Gap gap;
  while (aCell.Queue().Now() - start < seconds(60)) {
    aCell.RunFor(kStep);
    const VmId owner = aCell.OwnerOf(kFirstSlice);
    const Duration passed = aCell.Queue().Now() - start;
    if (gap.m_owned == Duration::zero() && !owner.empty() && owner != before) {
      gap.m_owned = passed;
    }
    const auto unserved = aCell.Unserved();
    const bool served =
      std::find(unserved.begin(), unserved.end(), kFirstSlice) ==
      unserved.end();
    if (gap.m_owned != Duration::zero() && served) {
      gap.m_open = passed;
      return gap;
    }
  }
  return gap;
}

enum class Loss
{
  Kill,
  KillAndWorkerCut,
  PlannedStop,
};

void
PrintGaps(const char* aName, Loss aLoss)
{
  std::vector<std::int64_t> owned;
  std::vector<std::int64_t> open;
  for (int run = 0; run < kGapRuns; ++run) {
    CellOptions options;
    options.m_members = { 5, 4 };
    options.m_seed = static_cast<std::uint64_t>(run) + 1;
    OwnershipCell cell(options);
    cell.RunFor(seconds(10) + milliseconds(37 * run));
    const VmId owner = cell.OwnerOf(kFirstSlice);
    if (aLoss == Loss::KillAndWorkerCut) {
      for (const VmId& vm : cell.Members()) {
        cell.Network().SetCut(vm, VmId("r0-slice0-worker0"), true);
      }
    }
    if (aLoss == Loss::PlannedStop) {
      cell.Stop(owner);
    } else {
      cell.Kill(owner);
    }
    const Gap gap = MeasureGap(cell);
    owned.push_back(ToMilliseconds(gap.m_owned));
    open.push_back(ToMilliseconds(gap.m_open));
  }
  std::sort(owned.begin(), owned.end());
  std::sort(open.begin(), open.end());
  std::printf("| %s | %lld | %lld | %lld | %lld |\n",
              aName,
              static_cast<long long>(owned[kGapRuns / 2]),
              static_cast<long long>(owned.back()),
              static_cast<long long>(open[kGapRuns / 2]),
              static_cast<long long>(open.back()));
}

void
PrintStoreLoad(int aMembers, int aSlices)
{
  CellOptions options;
  options.m_members = { (aMembers + 1) / 2, aMembers / 2 };
  options.m_slicesPerRegion = aSlices / 2;
  options.m_workersPerSlice = 0;
  options.m_tasksPerSlice = 0;
  OwnershipCell cell(options);
  cell.RunFor(seconds(20));
  constexpr int kWindowSeconds = 20;
  const auto writes = cell.Table().Writes();
  const auto reads = cell.Table().Reads();
  cell.RunFor(seconds(kWindowSeconds));
  std::printf(
    "| %d | %d | %.1f | %.1f | %zu |\n",
    aMembers,
    aSlices,
    static_cast<double>(cell.Table().Writes() - writes) / kWindowSeconds,
    static_cast<double>(cell.Table().Reads() - reads) / kWindowSeconds,
    cell.Unserved().size());
}

void
PrintMoved(int aMembers, int aSlices)
{
  std::vector<VmId> vms;
  vms.reserve(static_cast<std::size_t>(aMembers));
  for (int i = 0; i < aMembers; ++i) {
    vms.emplace_back("entry" + std::to_string(i));
  }
  auto joined = vms;
  joined.emplace_back("joined");
  const std::vector<VmId> left(vms.begin(), vms.end() - 1);
  int onJoin = 0;
  int onLeave = 0;
  for (int i = 0; i < aSlices; ++i) {
    const SliceId slice("slice" + std::to_string(i));
    const VmId owner = ownership::ChooseOwner(slice, vms);
    onJoin += owner == ownership::ChooseOwner(slice, joined) ? 0 : 1;
    onLeave += owner == ownership::ChooseOwner(slice, left) ? 0 : 1;
  }
  std::printf("| %d | %d | %.3f | %.3f | %.3f | %.3f |\n",
              aMembers,
              aSlices,
              static_cast<double>(onJoin) / aSlices,
              1.0 / (aMembers + 1),
              static_cast<double>(onLeave) / aSlices,
              1.0 / aMembers);
}

/// Share of a limit that no owner counts as running while work of the team
/// waits in every slice.
void
PrintIdle(int aSlicesPerRegion, std::int64_t aMaxRunMs)
{
  CellOptions options;
  options.m_slicesPerRegion = aSlicesPerRegion;
  options.m_tasksPerSlice = 200;
  options.m_minRunMs = 500;
  options.m_maxRunMs = aMaxRunMs;
  const std::int64_t limit = aSlicesPerRegion * 2 * 2000;
  options.m_limits = { limit };
  OwnershipCell cell(options);
  cell.RunFor(seconds(20));
  constexpr int kSamples = 400;
  double running = 0;
  for (int i = 0; i < kSamples; ++i) {
    cell.RunFor(milliseconds(100));
    running += static_cast<double>(cell.Accounted(0));
  }
  std::printf("| %d | %lld | %.3f |\n",
              aSlicesPerRegion * 2,
              static_cast<long long>(aMaxRunMs),
              1.0 - running / kSamples / static_cast<double>(limit));
}

/// Drives one machine against a table in memory among members that renew.
class Pump
{
public:
  Pump(int aMembers, int aSlices, int aTeams)
    : m_machine({}, MakeIdentity())
    , m_members(aMembers)
  {
    Renew();
    ownership::VmListView view;
    std::vector<VmId> vms;
    vms.reserve(static_cast<std::size_t>(aMembers));
    for (int i = 0; i < aMembers; ++i) {
      vms.push_back(Vm(i));
      view.m_entryVms.insert(Vm(i));
    }
    table::Commit rows;
    ownership::LimitRow row;
    for (int i = 0; i < aSlices; ++i) {
      const std::string name = "slice" + std::to_string(i);
      const SliceId slice(name);
      view.m_slices.push_back({ slice, RegionId("region"), {} });
      const VmId owner = ownership::ChooseOwner(slice, vms);
      if (owner != Vm(0)) {
        ownership::SliceRow owned;
        owned.m_owner = owner;
        owned.m_ownerIncarnation = 1;
        owned.m_epoch = 1;
        rows.m_puts.push_back(
          { ownership::SliceKey(slice), ownership::EncodeSlice(owned) });
      }
      // A team runs in up to eight slices.
      if (i < 8) {
        row.m_allotments[name] = 1000;
      }
    }
    row.m_limit = row.m_inForce = 100000;
    for (int i = 0; i < aTeams; ++i) {
      rows.m_puts.push_back(
        { ownership::LimitKey({ TeamId("team" + std::to_string(i)),
                                ownership::LimitUnit::Millicores }),
          ownership::EncodeLimit(row) });
    }
    m_table.Apply(rows);
    view.m_asked = m_now;
    Carry(m_machine.OnVmList(m_now, view));
  }

  void RunFor(int aSeconds)
  {
    for (int i = 0; i < aSeconds * 10; ++i) {
      m_now += milliseconds(100);
      if (i % 10 == 0) {
        Renew();
      }
      Timed([&] { return m_machine.OnTick(m_now); });
    }
  }

  /// Real time spent in the machine since the last call.
  std::chrono::nanoseconds TakeSpent() { return std::exchange(m_spent, {}); }
  std::chrono::nanoseconds OneTick()
  {
    const auto start = std::chrono::steady_clock::now();
    Carry(m_machine.OnTick(m_now));
    return std::chrono::steady_clock::now() - start;
  }

private:
  static VmId Vm(int aIndex) { return VmId("vm" + std::to_string(aIndex)); }
  static ownership::Identity MakeIdentity()
  {
    return {
      Vm(0), "10.0.0.1:80", RegionId("region"), DomainId("domain"), "s"
    };
  }

  void Renew()
  {
    table::Commit commit;
    ++m_renewals;
    for (int i = 1; i < m_members; ++i) {
      ownership::MemberRow row;
      row.m_state = ownership::MemberState::Active;
      row.m_incarnation = 1;
      row.m_region = RegionId("region");
      row.m_address = "10.0.0." + std::to_string(i) + ":80";
      row.m_renewals = m_renewals;
      commit.m_puts.push_back(
        { ownership::MemberKey(Vm(i)), ownership::EncodeMember(row) });
    }
    m_table.Apply(commit);
  }

  template<typename Call>
  void Timed(const Call& aCall)
  {
    const auto start = std::chrono::steady_clock::now();
    const auto effects = aCall();
    m_spent += std::chrono::steady_clock::now() - start;
    Carry(effects);
  }

  void Carry(const ownership::Effects& aEffects)
  {
    for (const auto& write : aEffects.m_writes) {
      const auto result = m_table.Apply(write.m_commit);
      Timed(
        [&] { return m_machine.OnCommitResult(m_now, write.m_op, result); });
    }
    for (const auto& read : aEffects.m_reads) {
      const auto result = m_table.Get(read.m_read);
      Timed([&] { return m_machine.OnReadResult(m_now, read.m_op, result); });
    }
    for (const auto& send : aEffects.m_sends) {
      if (const auto* hello = std::get_if<ownership::Hello>(&send.m_message)) {
        const ownership::HelloAnswer answer{ hello->m_incarnation, 0 };
        Timed(
          [&] { return m_machine.OnPeerMessage(m_now, send.m_to, answer); });
      }
    }
  }

  table::MemoryTable m_table;
  ownership::Ownership m_machine;
  int m_members;
  std::uint64_t m_renewals = 0;
  Time m_now = Time() + seconds(100);
  std::chrono::nanoseconds m_spent{};
};

void
PrintCost(int aMembers, int aSlices, int aTeams)
{
  Pump pump(aMembers, aSlices, aTeams);
  pump.RunFor(10);
  pump.TakeSpent();
  constexpr int kSeconds = 20;
  pump.RunFor(kSeconds);
  const auto perSecond = pump.TakeSpent() / kSeconds;
  constexpr int kTicks = 2000;
  std::chrono::nanoseconds ticks{};
  for (int i = 0; i < kTicks; ++i) {
    ticks += pump.OneTick();
  }
  std::printf("| %d | %d | %d | %.1f | %.2f | %.3f |\n",
              aMembers,
              aSlices,
              aTeams,
              static_cast<double>(ticks.count()) / kTicks / 1e3,
              static_cast<double>(perSecond.count()) / 1e6,
              static_cast<double>(perSecond.count()) / 1e7);
}

/// Bytes that stay allocated by a pump; the difference of two sizes excludes
/// what does not depend on the size. The pump's own table holds the rows as
/// well.
std::size_t
Allocated()
{
  return mallinfo2().uordblks;
}

std::size_t
PumpBytes(int aMembers, int aSlices, int aTeams)
{
  const std::size_t before = Allocated();
  Pump pump(aMembers, aSlices, aTeams);
  pump.RunFor(6);
  return Allocated() - before;
}

void
PrintBytes(const char* aWhat, int aSizes[3], std::size_t (*aMeasure)(int))
{
  const std::size_t small = aMeasure(aSizes[0]);
  const std::size_t middle = aMeasure(aSizes[1]);
  const std::size_t large = aMeasure(aSizes[2]);
  std::printf("| %s | %d, %d, %d | %.0f | %.0f |\n",
              aWhat,
              aSizes[0],
              aSizes[1],
              aSizes[2],
              static_cast<double>(middle - small) / (aSizes[1] - aSizes[0]),
              static_cast<double>(large - middle) / (aSizes[2] - aSizes[1]));
}

void
PrintAll()
{
  std::printf("Time without an owner, ms (%d runs, 9 members, 2 regions)\n\n"
              "| event | owned p50 | owned max | open p50 | open max |\n"
              "|---|---|---|---|---|\n",
              kGapRuns);
  PrintGaps("owner killed", Loss::Kill);
  PrintGaps("owner killed, a worker cut off", Loss::KillAndWorkerCut);
  PrintGaps("planned stop", Loss::PlannedStop);

  std::printf("\nStore calls per second at rest, whole fleet\n\n"
              "| members | slices | writes/s | reads/s | slices unserved |\n"
              "|---|---|---|---|---|\n");
  for (const int members : { 3, 9, 30, 100 }) {
    for (const int slices : { 12, 60, 200 }) {
      PrintStoreLoad(members, slices);
    }
  }

  std::printf("\nShare of slices moved\n\n"
              "| members | slices | on join | 1/(n+1) | on leave | 1/n |\n"
              "|---|---|---|---|---|---|\n");
  for (const int members : { 3, 9, 30, 100 }) {
    PrintMoved(members, 200);
  }

  std::printf("\nShare of a limit idle while work waits\n\n"
              "| slices | longest task, ms | idle share |\n|---|---|---|\n");
  for (const int slices : { 2, 6, 12 }) {
    PrintIdle(slices, 10000);
    PrintIdle(slices, 60000);
  }

  std::printf("\nCost of the state machine of one member\n\n"
              "| members | slices | teams | us per tick | ms per second | "
              "%% of a core |\n|---|---|---|---|---|---|\n");
  PrintCost(9, 12, 6);
  PrintCost(30, 60, 240);
  PrintCost(100, 200, 240);

  std::printf("\nBytes of state, with the rows in the driver's own table\n\n"
              "| per | sizes | bytes, first step | bytes, second step |\n"
              "|---|---|---|---|\n");
  int members[3] = { 10, 50, 100 };
  PrintBytes(
    "member", members, [](int aSize) { return PumpBytes(aSize, 12, 6); });
  int slices[3] = { 20, 100, 200 };
  PrintBytes("slice", slices, [](int aSize) { return PumpBytes(9, aSize, 6); });
  int teams[3] = { 20, 120, 240 };
  PrintBytes("limit with 8 allotments", teams, [](int aSize) {
    return PumpBytes(9, 12, aSize);
  });
}

} // namespace

} // namespace lacewing

int
main()
{
  lacewing::PrintAll();
  return 0;
}
