#include "harness/RoutingWorld.h"

namespace lacewing::harness {

void
RoutingWorld::Take(const FrontPtr& aFront, const CallPtr& aCall)
{
  // A request whose caller has closed the connection is not taken.
  if (aCall->m_closed || !aFront->m_seen.insert(aCall->m_id).second) {
    return;
  }
  aFront->m_calls[aCall->m_id] = aCall;
  Event& taken = Record(EventKind::CallTaken);
  Describe(taken, *aCall);
  taken.m_vm = aFront->m_vm;
  const Time deadline = Now() + aCall->m_deadline;
  if (aCall->m_key.empty()) {
    aFront->m_forwards.Open(aCall->m_id, deadline, true);
    Forward(aFront, aCall, {});
    return;
  }
  ApplyOnce(
    aFront,
    aFront->m_once.Begin(
      Now(), WallMicros(), aCall->m_id, aCall->m_team, aCall->m_key, deadline));
}

void
RoutingWorld::Forward(const FrontPtr& aFront,
                      const CallPtr& aCall,
                      const std::set<SliceId>& aTried)
{
  std::vector<routing::SliceLoad> loads;
  for (const auto& [slice, slot] : m_ownerOf) {
    loads.push_back({ slice,
                      slot->m_owner,
                      RegionId("r"),
                      0.0,
                      m_processes.IsAlive(slot->m_owner) });
  }
  const auto chosen = aFront->m_slices.Choose(loads, aTried);
  if (!chosen) {
    ApplyOutcomes(aFront, { aFront->m_forwards.GiveUp(aCall->m_id) });
    return;
  }
  routing::Request request;
  request.m_id = { aFront->m_vm,
                   aFront->m_incarnation,
                   aFront->m_forwards.Send(
                     aCall->m_id, chosen->m_slice, chosen->m_owner) };
  request.m_team = aCall->m_team;
  request.m_class = aCall->m_class;
  request.m_idempotent = aCall->m_key.empty();
  const Duration remaining = aCall->m_deadline;
  Message(Step::FrontForward,
          aFront->m_vm,
          aFront->m_incarnation,
          chosen->m_owner,
          [this, aFront, aCall, request, remaining, chosen] {
            Admit(aFront, aCall, request, remaining, *chosen);
          });
}

void
RoutingWorld::ApplyOutcomes(const FrontPtr& aFront,
                            const routing::ForwardOutcomes& aOutcomes)
{
  for (const routing::ForwardOutcome& outcome : aOutcomes) {
    if (const auto* again = std::get_if<routing::TryElsewhere>(&outcome)) {
      Forward(aFront, aFront->m_calls.at(again->m_call), again->m_tried);
    } else if (const auto* fail = std::get_if<routing::FailCall>(&outcome)) {
      EndForward(aFront, fail->m_call, { {}, fail->m_error, {} });
    } else {
      const auto& answer = std::get<routing::DeliverAnswer>(outcome);
      EndForward(aFront, answer.m_call, { answer.m_answer, {}, {} });
    }
  }
}

void
RoutingWorld::EndForward(const FrontPtr& aFront,
                         CallId aCall,
                         const routing::OwnerReply& aReply)
{
  if (aFront->m_calls.at(aCall)->m_key.empty()) {
    Reply(aFront, aCall, aReply);
    return;
  }
  ApplyOnce(aFront,
            aFront->m_once.OnForwardEnd(Now(), WallMicros(), aCall, aReply));
}

void
RoutingWorld::Reply(const FrontPtr& aFront,
                    CallId aCall,
                    const routing::OwnerReply& aReply)
{
  const CallPtr call = aFront->m_calls.at(aCall);
  aFront->m_calls.erase(aCall);
  Announce(Step::FrontReply, aFront->m_vm, m_client);
  Carry(aFront->m_vm, aFront->m_incarnation, [this, aFront, call, aReply] {
    Event& event = Record(EventKind::CallReply);
    Describe(event, *call);
    event.m_flag = aReply.m_answer.has_value();
    event.m_verdict = aReply.m_error.m_verdict;
    event.m_body = aReply.m_answer ? aReply.m_answer->m_body : "";
    Event& done = Record(EventKind::CallDone);
    Describe(done, *call);
    done.m_vm = aFront->m_vm;
    const bool failed = !aReply.m_answer;
    m_network.Send(aFront->m_vm, m_client, [this, call, failed] {
      EndAtCaller(call, failed);
    });
  });
}

void
RoutingWorld::ApplyOnce(const FrontPtr& aFront,
                        const routing::OnceActions& aActions)
{
  for (const routing::OnceAction& action : aActions) {
    if (const auto* write = std::get_if<routing::WriteRecord>(&action)) {
      const auto record = aFront->m_commit.Add(
        { write->m_key, write->m_expected, write->m_value, write->m_deadline });
      aFront->m_records[*record] = { write->m_call, write->m_step };
    } else if (const auto* read = std::get_if<routing::ReadRecord>(&action)) {
      ReadRow(aFront, *read);
    } else if (const auto* call = std::get_if<routing::ForwardCall>(&action)) {
      const CallPtr found = aFront->m_calls.at(call->m_call);
      aFront->m_forwards.Open(found->m_id, Now() + found->m_deadline, false);
      Forward(aFront, found, {});
    } else {
      const auto& reply = std::get<routing::ReplyToCaller>(action);
      Reply(aFront, reply.m_call, reply.m_reply);
    }
  }
  ApplyCommit(aFront, aFront->m_commit.OnTick(Now()));
}

void
RoutingWorld::ReadRow(const FrontPtr& aFront, const routing::ReadRecord& aRead)
{
  Announce(Step::FrontReadRecord, aFront->m_vm, m_client);
  Carry(aFront->m_vm, aFront->m_incarnation, [this, aFront, aRead] {
    m_table.Fetch(aFront->m_vm,
                  { { aRead.m_key }, {} },
                  kStoreTimeout,
                  [this, aFront, aRead](const table::ReadResult& aResult) {
                    OnRow(aFront, aRead, aResult);
                  });
  });
}

void
RoutingWorld::OnRow(const FrontPtr& aFront,
                    const routing::ReadRecord& aRead,
                    const table::ReadResult& aResult)
{
  Announce(Step::FrontRecordRead, aFront->m_vm, m_client);
  std::optional<table::Row> row;
  if (aResult.m_ok) {
    const auto found = aResult.m_rows.find(aRead.m_key);
    row = found == aResult.m_rows.end() ? table::Row() : found->second;
  }
  ApplyOnce(aFront, aFront->m_once.OnRead(Now(), aRead.m_call, row));
}

Step
RoutingWorld::ResultStep(Step aStep)
{
  if (aStep == Step::FrontWriteInsert) {
    return Step::FrontInsertResult;
  }
  return aStep == Step::FrontWriteAnswer ? Step::FrontAnswerResult
                                         : Step::FrontDeleteResult;
}

void
RoutingWorld::ApplyCommit(const FrontPtr& aFront,
                          const table::GroupCommitEffects& aEffects)
{
  if (aEffects.m_commit) {
    AnnounceWrites(aFront, aEffects.m_commit->m_commit);
    Carry(aFront->m_vm,
          aFront->m_incarnation,
          [this, aFront, batch = *aEffects.m_commit] {
            SubmitBatch(aFront, batch);
          });
  }
  if (aEffects.m_read) {
    Announce(Step::FrontReadRecord, aFront->m_vm, m_client);
    Carry(aFront->m_vm,
          aFront->m_incarnation,
          [this, aFront, batch = *aEffects.m_read] {
            m_table.Fetch(aFront->m_vm,
                          batch.m_read,
                          kStoreTimeout,
                          [this, aFront, batch](const auto& aResult) {
                            ApplyCommit(aFront,
                                        aFront->m_commit.OnReadResult(
                                          Now(), batch.m_operation, aResult));
                          });
          });
  }
  for (const table::RecordResult& result : aEffects.m_results) {
    const auto [call, step] = aFront->m_records.at(result.m_record);
    aFront->m_records.erase(result.m_record);
    Announce(ResultStep(step), aFront->m_vm, m_client);
    ApplyOnce(aFront,
              aFront->m_once.OnWritten(
                Now(), call, step, result.m_state, result.m_version));
  }
}

void
RoutingWorld::SubmitBatch(const FrontPtr& aFront,
                          const table::CommitBatch& aBatch)
{
  m_table.Submit(
    aFront->m_vm,
    aBatch.m_commit,
    kStoreTimeout,
    [this, aFront, id = aBatch.m_operation](
      const table::CommitResult& aResult) {
      ApplyCommit(aFront, aFront->m_commit.OnCommitResult(Now(), id, aResult));
    });
}

void
RoutingWorld::AnnounceWrites(const FrontPtr& aFront,
                             const table::Commit& aCommit)
{
  if (!aCommit.m_deletes.empty()) {
    Announce(Step::FrontDeleteRecord, aFront->m_vm, m_client);
  }
  bool insert = false;
  bool answer = false;
  for (const table::Put& put : aCommit.m_puts) {
    const bool started = put.m_value.find("started") != std::string::npos;
    insert |= started;
    answer |= !started;
  }
  if (insert) {
    Announce(Step::FrontWriteInsert, aFront->m_vm, m_client);
  }
  if (answer) {
    Announce(Step::FrontWriteAnswer, aFront->m_vm, m_client);
  }
}

void
RoutingWorld::StopFront(const VmId& aVm)
{
  if (!m_processes.IsAlive(aVm)) {
    return;
  }
  const FrontPtr front = m_fronts[aVm];
  front->m_stopping = true;
  Record(EventKind::StopBegin).m_vm = aVm;
  Every(milliseconds(50), [this, front] {
    Carry(front->m_vm, front->m_incarnation, [this, front] {
      if (front->m_calls.empty() && front->m_once.size() == 0) {
        Record(EventKind::StopExit).m_vm = front->m_vm;
        KillFront(front->m_vm);
      }
    });
  });
}

} // namespace lacewing::harness
