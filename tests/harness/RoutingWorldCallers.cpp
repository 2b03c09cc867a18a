#include "harness/RoutingWorld.h"

namespace lacewing::harness {

void
RoutingWorld::Carry(const VmId& aVm,
                    Incarnation aIncarnation,
                    std::function<void()> aFunction)
{
  m_processes.Deliver(aVm, aIncarnation, std::move(aFunction));
}

void
RoutingWorld::Message(Step aStep,
                      const VmId& aFrom,
                      Incarnation aFromIncarnation,
                      const VmId& aTo,
                      const std::function<void()>& aArrive)
{
  Announce(aStep, aFrom, aTo);
  const Incarnation receiver = m_processes.CurrentIncarnation(aTo);
  Carry(aFrom, aFromIncarnation, [this, aFrom, aTo, receiver, aArrive] {
    m_network.Send(aFrom, aTo, [this, aTo, receiver, aArrive] {
      if (m_processes.CurrentIncarnation(aTo) == receiver) {
        aArrive();
      }
    });
  });
}

RoutingWorld::CallPtr
RoutingWorld::MakeCall(int aCaller)
{
  auto call = std::make_shared<Call>();
  call->m_caller = aCaller;
  call->m_team = TeamId(aCaller % 2 == 0 ? "a" : "b");
  call->m_body = "body " + std::to_string(++m_bodies);
  if (Pick(3) != 0) {
    call->m_key = "key" + std::to_string(m_bodies);
  }
  call->m_class = static_cast<RequestClass>(Pick(3));
  call->m_deadline = milliseconds(300 + Pick(1500));
  call->m_repeatsLeft = kRepeats;
  return call;
}

void
RoutingWorld::Burst()
{
  for (int caller = 0; caller < kBurst; ++caller) {
    const CallPtr call = MakeCall(caller);
    call->m_followUp = false;
    Submit(call);
  }
}

void
RoutingWorld::NextCall(int aCaller, int aLeft)
{
  if (aLeft == 0) {
    return;
  }
  m_queue.After(milliseconds(20 + Pick(400)), [this, aCaller, aLeft] {
    const CallPtr call = MakeCall(aCaller);
    m_left[aCaller] = aLeft - 1;
    Submit(call);
    if (!call->m_key.empty() && Pick(4) == 0) {
      // The same request arrives through another front at the same time.
      auto twin = std::make_shared<Call>(*call);
      twin->m_followUp = false;
      twin->m_repeatsLeft = 0;
      Submit(twin);
    }
  });
}

void
RoutingWorld::Submit(const CallPtr& aCall)
{
  aCall->m_id = ++m_calls;
  std::vector<FrontPtr> up;
  for (const auto& [vm, front] : m_fronts) {
    if (m_processes.IsAlive(vm) && !front->m_stopping &&
        front->m_vm != aCall->m_front) {
      up.push_back(front);
    }
  }
  Event& start = Record(EventKind::CallStart);
  Describe(start, *aCall);
  start.m_body = aCall->m_body;
  start.m_flag = aCall->m_key.empty();
  if (!up.empty()) {
    const FrontPtr front = up[Pick(static_cast<int>(up.size()))];
    aCall->m_front = front->m_vm;
    Message(Step::FrontReceive,
            m_client,
            m_processes.CurrentIncarnation(m_client),
            front->m_vm,
            [this, front, aCall] { Take(front, aCall); });
  }
  m_queue.After(aCall->m_deadline + milliseconds(600),
                [this, aCall] { EndAtCaller(aCall, true); });
}

void
RoutingWorld::Describe(Event& aEvent, const Call& aCall)
{
  aEvent.m_call = aCall.m_id;
  aEvent.m_key = aCall.m_key;
  aEvent.m_team = aCall.m_team;
}

void
RoutingWorld::EndAtCaller(const CallPtr& aCall, bool aFailed)
{
  if (aCall->m_closed) {
    return;
  }
  aCall->m_closed = true;
  Describe(Record(EventKind::CallEnded), *aCall);
  if (aFailed && aCall->m_repeatsLeft > 0) {
    auto repeat = std::make_shared<Call>(*aCall);
    repeat->m_closed = false;
    --repeat->m_repeatsLeft;
    m_queue.After(milliseconds(20 + Pick(200)),
                  [this, repeat] { Submit(repeat); });
    return;
  }
  m_answered += aFailed ? 0 : 1;
  if (aCall->m_followUp) {
    NextCall(aCall->m_caller, m_left[aCall->m_caller]);
  }
}

} // namespace lacewing::harness
