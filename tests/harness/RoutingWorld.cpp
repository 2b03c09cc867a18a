#include "harness/RoutingWorld.h"

namespace lacewing::harness {

RoutingWorld::RoutingWorld(WorldOptions aOptions)
  : m_options(std::move(aOptions))
  , m_random(m_options.m_seed)
  , m_processes(m_queue)
  , m_network(m_queue, m_processes, m_options.m_seed)
  , m_table(m_queue, m_processes)
{
}

const History&
RoutingWorld::Run()
{
  SetUp();
  for (int caller = 0; caller < kCallers; ++caller) {
    NextCall(caller, kCallsPerCaller);
  }
  m_queue.RunUntil(Time() + kEnd);
  return m_history;
}

int
RoutingWorld::Pick(int aBelow)
{
  return std::uniform_int_distribution<int>(0, aBelow - 1)(m_random);
}

VmId
RoutingWorld::Vm(const char* aKind, int aIndex)
{
  return VmId(aKind + std::to_string(aIndex));
}

Event&
RoutingWorld::Record(EventKind aKind)
{
  Event& event = m_history.emplace_back();
  event.m_kind = aKind;
  event.m_at = Now();
  return event;
}

void
RoutingWorld::SetUp()
{
  m_processes.Start(m_client);
  // In some schedules reads of the table are stale.
  m_table.Faults().m_readLag = milliseconds(Pick(3) == 0 ? 200 : 0);
  for (int slice = 0; slice < 2; ++slice) {
    const SliceId id("s" + std::to_string(slice));
    for (int index = 0; index < 2; ++index) {
      AddEndpoint(Vm("e", 2 * slice + index), id);
    }
    for (const auto& [team, allotment] : m_allotments) {
      Event& event = Record(EventKind::AllotmentSet);
      event.m_slice = id;
      event.m_team = team;
      event.m_number = allotment;
    }
  }
  for (int index = 0; index < kFronts; ++index) {
    StartFront(Vm("f", index));
  }
  for (int index = 0; index < 2; ++index) {
    m_processes.Start(Vm("o", index));
    m_lease[Vm("o", index)] = Now() + kLease;
    TakeSlice(SliceId("s" + std::to_string(index)), Vm("o", index), NoCounts());
  }
  Every(milliseconds(100), [this] { Membership(); });
  Every(milliseconds(10), [this] { TickAll(); });
  for (int index = 0; index < 2; ++index) {
    m_queue.After(milliseconds(100 + Pick(900)), [this, index] {
      Every(seconds(1), [this, index] { PollList(Vm("o", index)); });
    });
  }
  PlanBackground();
}

void
RoutingWorld::PlanBackground()
{
  m_queue.At(Time() + milliseconds(600), [this] { Refuse(Vm("e", 0)); });
  m_queue.At(Time() + milliseconds(1100), [this] { Crash(Vm("e", 2)); });
  m_queue.At(Time() + milliseconds(1800 + Pick(500)),
             [this] { Leave(Vm("e", 1)); });
  m_queue.At(Time() + milliseconds(400), [this] { Burst(); });
  const int stops = Pick(4);
  if ((stops & 1) != 0) {
    m_queue.At(Time() + milliseconds(700 + Pick(1500)),
               [this] { StopFront(Vm("f", 2)); });
  }
  if ((stops & 2) != 0) {
    m_queue.At(Time() + milliseconds(700 + Pick(1500)),
               [this] { StopOwner(Vm("o", 0)); });
  }
}

void
RoutingWorld::Every(Duration aPeriod, const std::function<void()>& aFunction)
{
  aFunction();
  m_queue.After(aPeriod,
                [this, aPeriod, aFunction] { Every(aPeriod, aFunction); });
}

void
RoutingWorld::AddEndpoint(const VmId& aVm, const SliceId& aSlice)
{
  m_processes.Start(aVm);
  m_endpoints[aVm].m_slice = aSlice;
  m_endpoints[aVm].m_refusesWhenLeaving = Pick(2) == 0;
  Event& event = Record(EventKind::SlotsSet);
  event.m_vm = aVm;
  event.m_number = kSlots;
}

void
RoutingWorld::StartFront(const VmId& aVm)
{
  const Incarnation incarnation = m_processes.Start(aVm);
  routing::ForwardOptions forwards;
  forwards.m_safeguards = m_options.m_safeguards;
  routing::OnceOptions once;
  once.m_safeguards = m_options.m_safeguards;
  table::GroupCommitOptions commit;
  commit.m_readBackUnknown = m_options.m_safeguards.m_readBackUnknown;
  m_fronts[aVm] = std::make_shared<Front>(Front{
    aVm,
    incarnation,
    routing::ForwardTable(forwards),
    routing::AtMostOnce(aVm.Value() + "-" + std::to_string(incarnation), once),
    table::GroupCommit(commit),
    routing::SliceChooser(RegionId("r"), m_random()) });
  m_fronts[aVm]->m_commit.SetMembers(kFronts);
}

} // namespace lacewing::harness
