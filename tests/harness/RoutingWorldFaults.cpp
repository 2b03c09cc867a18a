#include "harness/RoutingWorld.h"

namespace lacewing::harness {

void
RoutingWorld::Announce(Step aStep, const VmId& aSelf, const VmId& aPeer)
{
  const int nth = ++m_reached[aStep];
  for (const FaultPoint& point : m_options.m_faults) {
    if (point.m_step == aStep && point.m_nth == nth) {
      ++m_faultsHit;
      Inject(point.m_fault, aSelf, aPeer);
    }
  }
}

VmId
RoutingWorld::Involved(const char* aKind,
                       const VmId& aSelf,
                       const VmId& aPeer) const
{
  for (const VmId& vm : { aSelf, aPeer }) {
    if (vm.Value().starts_with(aKind)) {
      return vm;
    }
  }
  return Vm(aKind, 0);
}

void
RoutingWorld::Inject(Fault aFault, const VmId& aSelf, const VmId& aPeer)
{
  using fakes::SingleFault;
  switch (aFault) {
    case Fault::FrontKilled:
      return KillFront(Involved("f", aSelf, aPeer));
    case Fault::FrontPaused:
      return Pause(Involved("f", aSelf, aPeer));
    case Fault::OwnerKilled:
      return KillOwner(Involved("o", aSelf, aPeer));
    case Fault::OwnerPaused:
      return Pause(Involved("o", aSelf, aPeer));
    case Fault::MessageLost:
      return m_network.FaultNext(SingleFault::Lose);
    case Fault::MessageDelayed:
      return m_network.FaultNext(SingleFault::Delay);
    case Fault::MessageDuplicated:
      return m_network.FaultNext(SingleFault::Duplicate);
    case Fault::MessageReordered:
      return m_network.FaultNext(SingleFault::Reorder);
    case Fault::LinkCutOneWay:
      return Cut(aSelf, aPeer);
    case Fault::LinkCutBothWays:
      Cut(aSelf, aPeer);
      return Cut(aPeer, aSelf);
    case Fault::EndpointLeaving:
      return Leave(Involved("e", aSelf, aPeer));
    case Fault::EndpointFailing:
      return Crash(Involved("e", aSelf, aPeer));
    case Fault::EndpointRefusing:
      return Refuse(Involved("e", aSelf, aPeer));
    case Fault::AnswerTruncated:
      m_truncateNext = true;
      return;
    default:
      return InjectService(aFault);
  }
}

void
RoutingWorld::InjectService(Fault aFault)
{
  fakes::TableFaults& faults = m_table.Faults();
  if (aFault == Fault::ListLagging) {
    m_listLag += seconds(2);
    return;
  }
  faults.m_down = aFault == Fault::StoreDown;
  faults.m_loseAnswers = aFault == Fault::StoreAnswerLost;
  // Slower than the timeout: writes take effect after their caller gave up.
  faults.m_delay =
    aFault == Fault::StoreSlow ? 2 * kStoreTimeout : Duration(milliseconds(1));
  m_queue.After(kFaultTime, [this] {
    const Duration lag = m_table.Faults().m_readLag;
    m_table.Faults() = fakes::TableFaults();
    m_table.Faults().m_readLag = lag;
  });
}

void
RoutingWorld::Cut(const VmId& aFrom, const VmId& aTo)
{
  m_network.SetCut(aFrom, aTo, true);
  m_queue.After(kFaultTime,
                [this, aFrom, aTo] { m_network.SetCut(aFrom, aTo, false); });
}

void
RoutingWorld::Pause(const VmId& aVm)
{
  if (!m_processes.IsAlive(aVm) || m_processes.IsPaused(aVm)) {
    return;
  }
  m_processes.Pause(aVm);
  // One pause ends within the lease, the other after the takeover.
  const Duration length = Pick(2) == 0 ? seconds(1) : seconds(4);
  m_queue.After(length, [this, aVm] {
    Record(EventKind::Woken).m_vm = aVm;
    m_processes.Wake(aVm);
  });
}

void
RoutingWorld::KillFront(const VmId& aVm)
{
  if (!m_processes.IsAlive(aVm)) {
    return;
  }
  m_processes.Kill(aVm);
  Record(EventKind::Killed).m_vm = aVm;
  for (const auto& [id, call] : m_fronts[aVm]->m_calls) {
    m_queue.After(milliseconds(5),
                  [this, call = call] { EndAtCaller(call, true); });
  }
  m_queue.After(kFaultTime, [this, aVm] { StartFront(aVm); });
}

void
RoutingWorld::KillOwner(const VmId& aVm)
{
  if (!m_processes.IsAlive(aVm)) {
    return;
  }
  m_processes.Kill(aVm);
  Record(EventKind::Killed).m_vm = aVm;
  m_stoppingOwners.erase(aVm);
  m_seen.erase(aVm);
  std::erase_if(m_slots,
                [&](const SlotPtr& aSlot) { return aSlot->m_owner == aVm; });
  m_queue.After(milliseconds(5), [this, aVm] {
    for (const auto& [vm, front] : m_fronts) {
      Carry(front->m_vm, front->m_incarnation, [this, front = front, aVm] {
        ApplyOutcomes(front, front->m_forwards.OnOwnerLost(Now(), aVm));
      });
    }
  });
  m_queue.After(kFaultTime, [this, aVm] { m_processes.Start(aVm); });
}

void
RoutingWorld::Refuse(const VmId& aVm)
{
  m_endpoints[aVm].m_refusesUntil = Now() + milliseconds(300);
}

void
RoutingWorld::Leave(const VmId& aVm)
{
  Endpoint& endpoint = m_endpoints[aVm];
  if (endpoint.m_leavingSince) {
    return;
  }
  endpoint.m_leavingSince = Now();
  Event& event = Record(EventKind::EndpointLeaving);
  event.m_vm = aVm;
  const Duration lag =
    m_listLag +
    (Plans(Fault::ListLagging) ? Duration(seconds(2)) : Duration::zero());
  event.m_number = (lag + seconds(1) + milliseconds(50)).count();
  m_queue.After(seconds(4), [this, aVm] {
    Crash(aVm);
    m_endpoints[aVm].m_goneSince = Now();
  });
}

bool
RoutingWorld::Plans(Fault aFault) const
{
  return std::any_of(
    m_options.m_faults.begin(),
    m_options.m_faults.end(),
    [&](const FaultPoint& aPoint) { return aPoint.m_fault == aFault; });
}

void
RoutingWorld::Crash(const VmId& aVm)
{
  Endpoint& endpoint = m_endpoints[aVm];
  if (!m_processes.IsAlive(aVm)) {
    return;
  }
  m_processes.Kill(aVm);
  for (const auto& [attempt, run] : endpoint.m_running) {
    RecordRun(EventKind::RunEnd, run.second);
    m_queue.After(
      milliseconds(5), [this, slot = run.first, event = run.second] {
        Carry(slot->m_owner, slot->m_incarnation, [this, slot, event] {
          FailAttempt(slot, event, Verdict::MayHaveRun);
        });
      });
  }
  endpoint.m_running.clear();
  m_queue.After(milliseconds(700), [this, aVm] {
    if (!m_endpoints[aVm].m_goneSince) {
      m_processes.Start(aVm);
    }
  });
}

} // namespace lacewing::harness
