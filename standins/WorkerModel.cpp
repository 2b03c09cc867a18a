#include "WorkerModel.h"

#include <algorithm>

namespace lacewing::standin {

using worker::Command;
using worker::CommandKind;
using worker::ControlReply;
using worker::ControlRequest;
using worker::EndedTask;
using worker::TaskOutcome;

WorkerModel::WorkerModel(WorkerOptions aOptions)
  : m_options(aOptions)
  , m_inventory(aOptions.m_instance)
{
}

ControlReply
WorkerModel::Control(Time aNow, const ControlRequest& aRequest)
{
  Advance(aNow);
  if (!Accepts(aNow, aRequest)) {
    return Refusal();
  }
  TakeEpochAndToken(aNow, aRequest);
  std::erase_if(m_ended, [&](const EndedTask& aTask) {
    return aTask.m_sequence <= aRequest.m_endedSeen;
  });
  for (const Command& command : aRequest.m_commands) {
    Carry(aNow, command);
  }
  m_issued[++m_token] = aNow;
  return Reply(aRequest);
}

void
WorkerModel::Measure(const TaskId& aTask, const Resources& aUsed)
{
  worker::RunningTask& task = m_tasks.at(aTask).m_running;
  task.m_used = ReportedSize(aUsed, task.m_reserved);
}

void
WorkerModel::Advance(Time aNow)
{
  std::vector<std::pair<TaskId, TaskOutcome>> ends;
  for (const auto& [id, task] : m_tasks) {
    if (task.m_end <= aNow && task.m_end <= m_leaseEnd) {
      ends.emplace_back(id,
                        m_options.m_failEverything ? TaskOutcome::Failed
                                                   : TaskOutcome::Succeeded);
    } else if (m_leaseEnd <= aNow) {
      ends.emplace_back(id, TaskOutcome::LeaseExpired);
    }
  }
  for (const auto& [id, outcome] : ends) {
    End(aNow, id, outcome);
  }
}

Resources
WorkerModel::Reserved() const
{
  Resources sum;
  for (const auto& [id, task] : m_tasks) {
    sum += task.m_running.m_reserved;
  }
  return sum;
}

bool
WorkerModel::LeaseValid(Time aNow) const
{
  return aNow < m_leaseEnd;
}

std::vector<worker::RunningTask>
WorkerModel::Running() const
{
  std::vector<worker::RunningTask> running;
  running.reserve(m_tasks.size());
  for (const auto& [id, task] : m_tasks) {
    running.push_back(task.m_running);
  }
  return running;
}

Time
WorkerModel::NextChange() const
{
  Time next = m_tasks.empty() ? Time::max() : m_leaseEnd;
  for (const auto& [id, task] : m_tasks) {
    next = std::min(next, task.m_end);
  }
  return next;
}

bool
WorkerModel::Accepts(Time aNow, const ControlRequest& aRequest) const
{
  if (aRequest.m_epoch < m_epoch && m_options.m_checkEpoch) {
    return false;
  }
  // Adoption, also a repeated one by the same owner: it yields a token.
  if ((aRequest.m_token == 0 && aRequest.m_commands.empty()) ||
      !m_options.m_tokenRule) {
    return true;
  }
  if (aRequest.m_epoch > m_epoch) {
    return false;
  }
  const auto issued = m_issued.find(aRequest.m_token);
  return issued != m_issued.end() && aNow < issued->second + m_options.m_lease;
}

void
WorkerModel::TakeEpochAndToken(Time aNow, const ControlRequest& aRequest)
{
  if (aRequest.m_epoch > m_epoch) {
    // Tokens of the previous owner are void, so that its delayed commands
    // cannot extend the lease.
    m_epoch = aRequest.m_epoch;
    if (m_options.m_checkEpoch) {
      m_issued.clear();
    }
  }
  if (!m_options.m_tokenRule) {
    m_leaseEnd = aNow + m_options.m_lease;
    return;
  }
  // An adoption carries no token and leaves the lease as it is: it may have
  // been delayed for so long that yet another owner has given up this worker.
  const auto issued = m_issued.find(aRequest.m_token);
  if (issued != m_issued.end()) {
    m_leaseEnd = std::max(m_leaseEnd, issued->second + m_options.m_lease);
    m_issued.erase(m_issued.begin(), issued);
  }
}

void
WorkerModel::Carry(Time aNow, const Command& aCommand)
{
  if (aCommand.m_kind == CommandKind::Start) {
    Start(aNow, aCommand);
    return;
  }
  const auto found = m_tasks.find(aCommand.m_task);
  if (found == m_tasks.end() ||
      found->second.m_running.m_attempt != aCommand.m_attempt) {
    return;
  }
  switch (aCommand.m_kind) {
    case CommandKind::Stop:
      End(aNow, aCommand.m_task, TaskOutcome::Stopped);
      break;
    case CommandKind::Checkpoint:
      End(aNow, aCommand.m_task, TaskOutcome::Checkpointed);
      break;
    case CommandKind::Throttle:
      found->second.m_running.m_throttled = true;
      break;
    case CommandKind::Unthrottle:
      found->second.m_running.m_throttled = false;
      break;
    case CommandKind::Start:
      break;
  }
}

void
WorkerModel::Start(Time aNow, const Command& aCommand)
{
  // A repetition of a start carries a token from before the task ended, so that
  // the token's age refuses it once the end is forgotten.
  std::erase_if(m_recentEnds, [&](const auto& aEnd) {
    return aEnd.second + m_options.m_lease < aNow;
  });
  if (m_tasks.contains(aCommand.m_task) ||
      m_recentEnds.contains({ aCommand.m_task, aCommand.m_attempt })) {
    return;
  }
  ++m_starts[aCommand.m_task];
  Task task;
  task.m_running.m_task = aCommand.m_task;
  task.m_running.m_attempt = aCommand.m_attempt;
  task.m_running.m_reserved = aCommand.m_reserved;
  task.m_running.m_used = aCommand.m_reserved;
  task.m_end = aNow;
  if (!m_options.m_failEverything) {
    task.m_end += milliseconds(aCommand.m_runMs);
  }
  m_tasks[aCommand.m_task] = task;
}

void
WorkerModel::End(Time aNow, const TaskId& aTask, TaskOutcome aOutcome)
{
  const auto found = m_tasks.find(aTask);
  EndedTask ended;
  ended.m_sequence = ++m_endedSequence;
  ended.m_task = aTask;
  ended.m_attempt = found->second.m_running.m_attempt;
  ended.m_outcome = aOutcome;
  m_ended.push_back(ended);
  m_recentEnds[{ aTask, ended.m_attempt }] = aNow;
  m_tasks.erase(found);
}

ControlReply
WorkerModel::Refusal() const
{
  ControlReply reply;
  reply.m_epoch = m_epoch;
  return reply;
}

ControlReply
WorkerModel::Reply(const ControlRequest& aRequest)
{
  ControlReply reply;
  reply.m_accepted = true;
  reply.m_epoch = m_epoch;
  reply.m_token = m_token;
  reply.m_ended = m_ended;
  if (aRequest.m_inventory && m_options.m_instance != 0) {
    worker::Inventory inventory;
    for (const auto& [id, task] : m_tasks) {
      inventory[id] = task.m_running;
    }
    m_inventory.Update(inventory);
    reply.m_inventory = m_inventory.Answer(*aRequest.m_inventory);
    if (reply.m_inventory->m_delta) {
      return reply;
    }
  }
  reply.m_capacity = m_options.m_capacity;
  reply.m_running = Running();
  return reply;
}

} // namespace lacewing::standin
