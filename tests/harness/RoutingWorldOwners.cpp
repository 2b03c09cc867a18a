#include "harness/RoutingWorld.h"

namespace lacewing::harness {

std::optional<routing::BusyCounts>
RoutingWorld::NoCounts()
{
  return routing::BusyCounts();
}

void
RoutingWorld::TakeSlice(const SliceId& aSlice,
                        const VmId& aOwner,
                        const std::optional<routing::BusyCounts>& aCounts)
{
  routing::RouterOptions options;
  options.m_safeguards = m_options.m_safeguards;
  options.m_queue.m_maxPerClass = { 2, 2, 2 };
  options.m_queue.m_maxTotal = 3;
  auto slot = std::make_shared<Slot>();
  slot->m_owner = aOwner;
  slot->m_incarnation = m_processes.CurrentIncarnation(aOwner);
  slot->m_slice = aSlice;
  slot->m_epoch = ++m_epochs[aSlice];
  slot->m_router =
    std::make_unique<routing::RequestRouter>(Now(), options, m_options.m_seed);
  if (aCounts) {
    slot->m_router->Adopt(Now(), *aCounts);
  }
  slot->m_router->SetAuthorityEnd(Now(), m_lease[aOwner]);
  for (const auto& [team, allotment] : m_allotments) {
    slot->m_router->SetAllotment(Now(), team, allotment);
  }
  m_slots.push_back(slot);
  m_ownerOf[aSlice] = slot;
  Apply(slot, slot->m_router->UpdateEndpoints(Now(), List(aSlice)));
}

bool
RoutingWorld::CanOwn(const VmId& aVm) const
{
  return m_processes.IsAlive(aVm) && !m_processes.IsPaused(aVm) &&
         !m_stoppingOwners.contains(aVm);
}

void
RoutingWorld::Membership()
{
  for (int index = 0; index < 2; ++index) {
    const VmId vm = Vm("o", index);
    if (!m_processes.IsAlive(vm) || m_processes.IsPaused(vm)) {
      continue;
    }
    m_lease[vm] = Now() + kLease;
    for (const SlotPtr& slot : Slots()) {
      if (slot->m_owner == vm && m_ownerOf[slot->m_slice] == slot) {
        Apply(slot, slot->m_router->SetAuthorityEnd(Now(), m_lease[vm]));
      }
    }
  }
  for (int index = 0; index < 2; ++index) {
    const SliceId slice("s" + std::to_string(index));
    const SlotPtr slot = m_ownerOf[slice];
    // A new incarnation has a lease of its own, not that of the old one.
    const bool lapsed =
      Now() > slot->m_router->AuthorityEnd() + kTakeoverMargin;
    const VmId next = CanOwn(Vm("o", 0)) ? Vm("o", 0) : Vm("o", 1);
    if (lapsed && CanOwn(next)) {
      TakeSlice(slice, next, std::nullopt);
    }
  }
}

void
RoutingWorld::PollList(const VmId& aOwner)
{
  Announce(Step::OwnerListRead, aOwner, m_client);
  const Incarnation incarnation = m_processes.CurrentIncarnation(aOwner);
  Carry(aOwner, incarnation, [this, aOwner] {
    for (const SlotPtr& slot : Slots()) {
      if (slot->m_owner == aOwner) {
        Apply(slot,
              slot->m_router->UpdateEndpoints(Now(), List(slot->m_slice)));
      }
    }
  });
}

std::vector<routing::EndpointInfo>
RoutingWorld::List(const SliceId& aSlice) const
{
  const Time at = Now() - m_listLag;
  std::vector<routing::EndpointInfo> list;
  for (const auto& [vm, endpoint] : m_endpoints) {
    const bool gone = endpoint.m_goneSince && *endpoint.m_goneSince <= at;
    if (endpoint.m_slice == aSlice && !gone) {
      list.push_back(
        { vm,
          kSlots,
          64,
          endpoint.m_leavingSince && *endpoint.m_leavingSince <= at });
    }
  }
  return list;
}

void
RoutingWorld::Admit(const FrontPtr& aFront,
                    const CallPtr& aCall,
                    routing::Request aRequest,
                    Duration aRemaining,
                    const routing::SliceLoad& aTo)
{
  Announce(Step::OwnerAdmit, aTo.m_owner, aFront->m_vm);
  // A duplicate must not be refused as "not owner" after the slice has moved.
  if (!m_seen[aTo.m_owner].Insert(Now(), aRequest.m_id)) {
    return;
  }
  const SlotPtr slot = m_ownerOf[aTo.m_slice];
  if (slot->m_owner != aTo.m_owner ||
      slot->m_incarnation != m_processes.CurrentIncarnation(aTo.m_owner)) {
    SendReply(Step::OwnerRefuse,
              aTo.m_owner,
              aRequest.m_id,
              { {}, { Verdict::NotRun, ErrorCode::NotOwner, "moved" }, {} });
    return;
  }
  aRequest.m_deadline = Now() + aRemaining;
  slot->m_calls[aRequest.m_id] = aCall;
  Apply(slot, slot->m_router->Admit(Now(), aRequest));
}

void
RoutingWorld::Apply(const SlotPtr& aSlot, const routing::Actions& aActions)
{
  for (const routing::Action& action : aActions) {
    if (const auto* dispatch = std::get_if<routing::Dispatch>(&action)) {
      Send(aSlot, *dispatch);
    } else if (const auto* probe = std::get_if<routing::Probe>(&action)) {
      SendProbe(aSlot, probe->m_query);
    } else if (const auto* answer = std::get_if<routing::Answer>(&action)) {
      EndAttempt(aSlot, answer->m_request);
      SendReply(Step::OwnerRelay,
                aSlot->m_owner,
                answer->m_request,
                { answer->m_answer, {}, {} });
    } else {
      const auto& refuse = std::get<routing::Refuse>(action);
      EndAttempt(aSlot, refuse.m_request);
      SendReply(Step::OwnerRefuse,
                aSlot->m_owner,
                refuse.m_request,
                { {}, refuse.m_error, refuse.m_retryAfter });
    }
  }
}

void
RoutingWorld::EndAttempt(const SlotPtr& aSlot,
                         const routing::RequestId& aRequest)
{
  const auto found = aSlot->m_attempts.find(aRequest);
  if (found == aSlot->m_attempts.end()) {
    return;
  }
  Event& event = Record(EventKind::AttemptEnded);
  event.m_owner = aSlot->m_owner;
  event.m_attempt = found->second;
  aSlot->m_attempts.erase(found);
}

void
RoutingWorld::SendReply(Step aStep,
                        const VmId& aOwner,
                        const routing::RequestId& aRequest,
                        const routing::OwnerReply& aReply)
{
  Message(aStep,
          aOwner,
          m_processes.CurrentIncarnation(aOwner),
          aRequest.m_front,
          [this, aOwner, aRequest, aReply] {
            const FrontPtr front = m_fronts[aRequest.m_front];
            if (front->m_incarnation != aRequest.m_incarnation) {
              return;
            }
            Announce(Step::FrontOwnerReply, front->m_vm, aOwner);
            ApplyOutcomes(
              front,
              front->m_forwards.OnReply(Now(), aRequest.m_number, aReply));
          });
}

void
RoutingWorld::Send(const SlotPtr& aSlot, const routing::Dispatch& aDispatch)
{
  const CallPtr call = aSlot->m_calls.at(aDispatch.m_request);
  Event run;
  Describe(run, *call);
  run.m_body = call->m_body;
  run.m_slice = aSlot->m_slice;
  run.m_vm = aDispatch.m_endpoint;
  run.m_owner = aSlot->m_owner;
  run.m_number = static_cast<std::int64_t>(aDispatch.m_attempt);
  run.m_attempt = aSlot->m_slice.Value() + "-" +
                  std::to_string(aSlot->m_epoch) + "-" +
                  std::to_string(aDispatch.m_attempt);
  Announce(Step::OwnerDispatch, aSlot->m_owner, run.m_vm);
  Carry(aSlot->m_owner,
        aSlot->m_incarnation,
        [this, aSlot, run, request = aDispatch.m_request] {
          SendNow(aSlot, run, request);
        });
}

void
RoutingWorld::SendNow(const SlotPtr& aSlot,
                      const Event& aRun,
                      const routing::RequestId& aRequest)
{
  if (Now() >= aSlot->m_router->AuthorityEnd() ||
      !m_processes.IsAlive(aRun.m_vm)) {
    // Nothing left: the authority has ended or the connection is refused.
    m_queue.After(milliseconds(1), [this, aSlot, aRun] {
      Carry(aSlot->m_owner, aSlot->m_incarnation, [this, aSlot, aRun] {
        FailAttempt(aSlot, aRun, Verdict::NotRun);
      });
    });
    return;
  }
  aSlot->m_attempts[aRequest] = aRun.m_attempt;
  RecordRun(EventKind::DispatchSent, aRun);
  const Incarnation receiver = m_processes.CurrentIncarnation(aRun.m_vm);
  m_network.Send(aSlot->m_owner, aRun.m_vm, [this, aSlot, aRun, receiver] {
    if (m_processes.CurrentIncarnation(aRun.m_vm) == receiver) {
      StartRun(aSlot, aRun);
    }
  });
}

void
RoutingWorld::FailAttempt(const SlotPtr& aSlot,
                          const Event& aRun,
                          Verdict aVerdict)
{
  Announce(Step::OwnerFailure, aSlot->m_owner, aRun.m_vm);
  RecordRun(EventKind::AttemptEnded, aRun);
  Apply(aSlot,
        aSlot->m_router->OnEndpointFailure(
          Now(),
          static_cast<routing::AttemptId>(aRun.m_number),
          { aVerdict, "connection broke" }));
}

void
RoutingWorld::SendProbe(const SlotPtr& aSlot,
                        const routing::StatusQuery& aQuery)
{
  const auto done = std::make_shared<bool>(false);
  const auto finish = [this, aSlot, aQuery, done](
                        const std::optional<routing::EndpointStatus>& aStatus) {
    if (std::exchange(*done, true)) {
      return;
    }
    Announce(Step::OwnerStatus, aSlot->m_owner, aQuery.m_vm);
    Apply(aSlot, aSlot->m_router->OnEndpointStatus(Now(), aQuery, aStatus));
  };
  Message(Step::OwnerProbe,
          aSlot->m_owner,
          aSlot->m_incarnation,
          aQuery.m_vm,
          [this, aSlot, aQuery, finish] {
            const Endpoint& endpoint = m_endpoints[aQuery.m_vm];
            const routing::EndpointStatus status{
              kSlots,
              static_cast<int>(endpoint.m_running.size()),
              endpoint.m_refusesWhenLeaving &&
                endpoint.m_leavingSince.has_value()
            };
            m_network.Send(aQuery.m_vm, aSlot->m_owner, [finish, status] {
              finish(status);
            });
          });
  m_queue.After(kStoreTimeout, [this, aSlot, finish] {
    Carry(
      aSlot->m_owner, aSlot->m_incarnation, [finish] { finish(std::nullopt); });
  });
}

void
RoutingWorld::StopOwner(const VmId& aVm)
{
  if (!CanOwn(aVm)) {
    return;
  }
  m_stoppingOwners.insert(aVm);
  Record(EventKind::StopBegin).m_vm = aVm;
  const Incarnation incarnation = m_processes.CurrentIncarnation(aVm);
  for (const SlotPtr& slot : Slots()) {
    if (slot->m_owner == aVm) {
      Apply(slot, slot->m_router->BeginDrain(Now()));
      Release(slot);
    }
  }
  Every(milliseconds(50), [this, aVm, incarnation] {
    Carry(aVm, incarnation, [this, aVm] { ContinueStop(aVm); });
  });
}

void
RoutingWorld::Release(const SlotPtr& aSlot)
{
  const VmId next = Vm("o", 0) == aSlot->m_owner ? Vm("o", 1) : Vm("o", 0);
  if (m_ownerOf[aSlot->m_slice] == aSlot && CanOwn(next)) {
    TakeSlice(aSlot->m_slice, next, aSlot->m_router->CountBusy());
  }
}

void
RoutingWorld::ContinueStop(const VmId& aVm)
{
  bool drained = true;
  for (const SlotPtr& slot : Slots()) {
    if (slot->m_owner != aVm) {
      continue;
    }
    Release(slot);
    drained &= slot->m_router->IsDrained();
    const SlotPtr next = m_ownerOf[slot->m_slice];
    if (next != slot && next->m_epoch == slot->m_epoch + 1) {
      m_network.Send(
        aVm, next->m_owner, [this, next, counts = slot->m_router->CountBusy()] {
          Apply(next, next->m_router->OnEarlierOwner(Now(), counts));
        });
    }
  }
  if (drained && m_stoppingOwners.contains(aVm)) {
    Record(EventKind::StopExit).m_vm = aVm;
    // The last answers are on their way when the process closes.
    m_stoppingOwners.erase(aVm);
    m_queue.After(milliseconds(20), [this, aVm] { KillOwner(aVm); });
  }
}

} // namespace lacewing::harness
