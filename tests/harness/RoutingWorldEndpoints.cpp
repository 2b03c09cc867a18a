#include "harness/RoutingWorld.h"

namespace lacewing::harness {

void
RoutingWorld::RecordRun(EventKind aKind, const Event& aRun)
{
  Event event = aRun;
  event.m_kind = aKind;
  event.m_at = Now();
  m_history.push_back(std::move(event));
}

void
RoutingWorld::StartRun(const SlotPtr& aSlot, const Event& aRun)
{
  Announce(Step::EndpointStart, aRun.m_vm, aSlot->m_owner);
  Endpoint& endpoint = m_endpoints[aRun.m_vm];
  if (!m_processes.IsAlive(aRun.m_vm) ||
      !endpoint.m_seen.insert(aRun.m_attempt).second) {
    return;
  }
  if (Now() < endpoint.m_refusesUntil ||
      (endpoint.m_refusesWhenLeaving && endpoint.m_leavingSince)) {
    routing::EndpointAnswer refusal;
    refusal.m_status = 503;
    refusal.m_notRun = true;
    SendAnswer(aSlot, aRun, refusal);
    return;
  }
  RecordRun(EventKind::RunStart, aRun);
  endpoint.m_running[aRun.m_attempt] = { aSlot, aRun };
  m_queue.After(ServiceTime(), [this, aSlot, aRun] { EndRun(aSlot, aRun); });
}

Duration
RoutingWorld::ServiceTime()
{
  // Some runs outlast their request, their owner's lease and a takeover.
  if (Pick(30) == 0) {
    return seconds(7);
  }
  return milliseconds(Pick(8) == 0 ? 900 : 5 + Pick(120));
}

void
RoutingWorld::EndRun(const SlotPtr& aSlot, const Event& aRun)
{
  if (m_endpoints[aRun.m_vm].m_running.erase(aRun.m_attempt) == 0) {
    return;
  }
  RecordRun(EventKind::RunEnd, aRun);
  routing::EndpointAnswer answer;
  answer.m_status = 200;
  answer.m_body = ExpectedAnswer(aRun.m_body);
  answer.m_contentLength = answer.m_body.size();
  if (std::exchange(m_truncateNext, false)) {
    answer.m_body.resize(answer.m_body.size() / 2);
  }
  SendAnswer(aSlot, aRun, answer);
}

void
RoutingWorld::SendAnswer(const SlotPtr& aSlot,
                         const Event& aRun,
                         const routing::EndpointAnswer& aAnswer)
{
  Message(Step::EndpointAnswer,
          aRun.m_vm,
          m_processes.CurrentIncarnation(aRun.m_vm),
          aSlot->m_owner,
          [this, aSlot, aRun, aAnswer] {
            Announce(Step::OwnerAnswer, aSlot->m_owner, aRun.m_vm);
            RecordRun(EventKind::AttemptEnded, aRun);
            Apply(aSlot,
                  aSlot->m_router->OnEndpointAnswer(
                    Now(),
                    static_cast<routing::AttemptId>(aRun.m_number),
                    aRun.m_vm,
                    aAnswer));
          });
}

void
RoutingWorld::TickAll()
{
  for (const auto& [vm, front] : m_fronts) {
    Carry(vm, front->m_incarnation, [this, front = front] {
      ApplyOutcomes(front, front->m_forwards.OnTick(Now()));
      ApplyOnce(front, front->m_once.OnTick(Now()));
    });
  }
  for (const SlotPtr& slot : Slots()) {
    Carry(slot->m_owner, slot->m_incarnation, [this, slot] {
      Apply(slot, slot->m_router->OnTick(Now()));
    });
  }
}

} // namespace lacewing::harness
