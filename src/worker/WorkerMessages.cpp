#include "worker/WorkerMessages.h"

#include "core/JsonFields.h"

namespace lacewing::worker {

namespace {

using Json = nlohmann::json;

Json
ToJson(const Resources& aResources)
{
  return { { "millicores", aResources.m_millicores },
           { "memory_mib", aResources.m_memoryMib },
           { "accelerators", aResources.m_accelerators } };
}

/// An amount of a resource, never negative.
std::int64_t
AmountFrom(const Json& aJson, const char* aField)
{
  return NumberField<std::int64_t>(aJson, aField, 0, kMaxResourceAmount);
}

Resources
ResourcesFrom(const Json& aJson)
{
  return { AmountFrom(aJson, "millicores"),
           AmountFrom(aJson, "memory_mib"),
           AmountFrom(aJson, "accelerators") };
}

TaskId
TaskFrom(const Json& aJson)
{
  return { JobId(TypedField<std::string>(aJson, "job")),
           NumberField<std::uint32_t>(aJson, "index") };
}

template<typename Enum>
Enum
EnumFrom(const Json& aJson)
{
  const auto text = aJson.get<std::string>();
  const auto value = ParseName<Enum>(text);
  if (!value) {
    throw Json::other_error::create(600, "unknown name '" + text + "'", &aJson);
  }
  return *value;
}

Json
ToJson(const Command& aCommand)
{
  return { { "kind", NameOf(aCommand.m_kind) },
           { "job", aCommand.m_task.m_job.Value() },
           { "index", aCommand.m_task.m_index },
           { "attempt", aCommand.m_attempt },
           { "reserved", ToJson(aCommand.m_reserved) },
           { "run_ms", aCommand.m_runMs } };
}

Command
CommandFrom(const Json& aJson)
{
  Command command;
  command.m_kind = EnumFrom<CommandKind>(aJson.at("kind"));
  command.m_task = TaskFrom(aJson);
  command.m_attempt = NumberField<std::uint32_t>(aJson, "attempt");
  command.m_reserved = ResourcesFrom(aJson.at("reserved"));
  command.m_runMs = NumberField<std::int64_t>(aJson, "run_ms");
  return command;
}

/// How tasks are written. `Short` leaves out a false "throttled" and zero
/// "accelerators"; only readers that know deltas take it.
enum class TaskForm : std::uint8_t
{
  Full,
  Short,
};

Json
SizeToJson(const Resources& aResources, TaskForm aForm)
{
  Json json = ToJson(aResources);
  if (aForm == TaskForm::Short && aResources.m_accelerators == 0) {
    json.erase("accelerators");
  }
  return json;
}

Resources
SizeFrom(const Json& aJson, TaskForm aForm)
{
  if (aForm == TaskForm::Full || aJson.contains("accelerators")) {
    return ResourcesFrom(aJson);
  }
  return { AmountFrom(aJson, "millicores"),
           AmountFrom(aJson, "memory_mib"),
           0 };
}

Json
ToJson(const TaskId& aTask)
{
  return { { "job", aTask.m_job.Value() }, { "index", aTask.m_index } };
}

Json
ToJson(const RunningTask& aTask, TaskForm aForm)
{
  Json json = ToJson(aTask.m_task);
  json["attempt"] = aTask.m_attempt;
  json["reserved"] = SizeToJson(aTask.m_reserved, aForm);
  json["used"] = SizeToJson(aTask.m_used, aForm);
  if (aForm == TaskForm::Full || aTask.m_throttled) {
    json["throttled"] = aTask.m_throttled;
  }
  return json;
}

RunningTask
RunningFrom(const Json& aJson, TaskForm aForm)
{
  RunningTask task;
  task.m_task = TaskFrom(aJson);
  task.m_attempt = NumberField<std::uint32_t>(aJson, "attempt");
  task.m_reserved = SizeFrom(ObjectField(aJson, "reserved"), aForm);
  task.m_used = SizeFrom(ObjectField(aJson, "used"), aForm);
  if (aForm == TaskForm::Full || aJson.contains("throttled")) {
    task.m_throttled = TypedField<bool>(aJson, "throttled");
  }
  return task;
}

Json
ListToJson(const std::vector<RunningTask>& aTasks, TaskForm aForm)
{
  Json list = Json::array();
  for (const RunningTask& task : aTasks) {
    list.push_back(ToJson(task, aForm));
  }
  return list;
}

std::vector<RunningTask>
ListFrom(const Json& aObject, const char* aField, TaskForm aForm)
{
  std::vector<RunningTask> tasks;
  for (const Json& task : ArrayField(aObject, aField)) {
    tasks.push_back(RunningFrom(task, aForm));
  }
  return tasks;
}

Json
ToJson(const InventoryBasis& aBasis)
{
  return { { "instance", aBasis.m_instance }, { "state", aBasis.m_state } };
}

/// Empty lists are left out.
Json
ToJson(const InventoryState& aState)
{
  Json json = ToJson(aState.m_at);
  if (!aState.m_delta) {
    return json;
  }
  const InventoryDelta& delta = *aState.m_delta;
  json["base"] = delta.m_base;
  json["count"] = delta.m_count;
  json["hash"] = delta.m_hash;
  for (const TaskId& task : delta.m_removed) {
    json["removed"].push_back(ToJson(task));
  }
  if (!delta.m_added.empty()) {
    json["added"] = ListToJson(delta.m_added, TaskForm::Short);
  }
  if (!delta.m_changed.empty()) {
    json["changed"] = ListToJson(delta.m_changed, TaskForm::Short);
  }
  return json;
}

InventoryBasis
BasisFrom(const Json& aJson, std::uint64_t aLeastInstance)
{
  return { NumberField<std::uint64_t>(aJson, "instance", aLeastInstance),
           NumberField<std::uint64_t>(aJson, "state") };
}

InventoryDelta
DeltaFrom(const Json& aJson, std::uint64_t aState)
{
  InventoryDelta delta;
  delta.m_base = NumberField<std::uint64_t>(aJson, "base", 0, aState);
  delta.m_count = NumberField<std::uint64_t>(aJson, "count");
  delta.m_hash = NumberField<std::uint64_t>(aJson, "hash");
  if (aJson.contains("removed")) {
    for (const Json& task : ArrayField(aJson, "removed")) {
      delta.m_removed.push_back(TaskFrom(task));
    }
  }
  if (aJson.contains("added")) {
    delta.m_added = ListFrom(aJson, "added", TaskForm::Short);
  }
  if (aJson.contains("changed")) {
    delta.m_changed = ListFrom(aJson, "changed", TaskForm::Short);
  }
  return delta;
}

/// Refuses a field that contradicts the others: the sender's reply would be
/// taken for something else than it is.
void
RefuseField(const Json& aObject, const char* aField, const char* aExpected)
{
  if (aObject.contains(aField)) {
    ThrowBadField(aField, aObject.at(aField), aExpected);
  }
}

InventoryState
StateFrom(const Json& aJson)
{
  InventoryState state;
  state.m_at = BasisFrom(aJson, 1);
  if (aJson.contains("base")) {
    state.m_delta = DeltaFrom(aJson, state.m_at.m_state);
    return state;
  }
  for (const char* field : { "count", "hash", "removed", "added", "changed" }) {
    RefuseField(aJson, field, "no such field without 'base'");
  }
  return state;
}

Json
ToJson(const EndedTask& aTask)
{
  return { { "sequence", aTask.m_sequence },
           { "job", aTask.m_task.m_job.Value() },
           { "index", aTask.m_task.m_index },
           { "attempt", aTask.m_attempt },
           { "outcome", NameOf(aTask.m_outcome) } };
}

EndedTask
EndedFrom(const Json& aJson)
{
  EndedTask task;
  task.m_sequence = NumberField<std::uint64_t>(aJson, "sequence");
  task.m_task = TaskFrom(aJson);
  task.m_attempt = NumberField<std::uint32_t>(aJson, "attempt");
  task.m_outcome = EnumFrom<TaskOutcome>(aJson.at("outcome"));
  return task;
}

} // namespace

std::string
EncodeRequest(const ControlRequest& aRequest)
{
  Json commands = Json::array();
  for (const Command& command : aRequest.m_commands) {
    commands.push_back(ToJson(command));
  }
  Json body = { { "slice", aRequest.m_slice.Value() },
                { "epoch", aRequest.m_epoch },
                { "token", aRequest.m_token },
                { "sequence", aRequest.m_sequence },
                { "commands", commands },
                { "ended_seen", aRequest.m_endedSeen } };
  if (aRequest.m_inventory) {
    body["inventory"] = ToJson(*aRequest.m_inventory);
  }
  return body.dump();
}

std::string
EncodeReply(const ControlReply& aReply)
{
  Json ended = Json::array();
  for (const EndedTask& task : aReply.m_ended) {
    ended.push_back(ToJson(task));
  }
  Json body = { { "accepted", aReply.m_accepted },
                { "epoch", aReply.m_epoch },
                { "token", aReply.m_token },
                { "ended", ended } };
  if (aReply.m_inventory) {
    body["inventory"] = ToJson(*aReply.m_inventory);
  }
  if (!aReply.m_inventory || !aReply.m_inventory->m_delta) {
    body["capacity"] = ToJson(aReply.m_capacity);
    body["running"] = ListToJson(
      aReply.m_running, aReply.m_inventory ? TaskForm::Short : TaskForm::Full);
  }
  return body.dump();
}

Result<ControlRequest>
DecodeRequest(const std::string& aBody)
{
  return DecodeJson("worker message", aBody, [](const Json& aJson) {
    ControlRequest request;
    request.m_slice = SliceId(TypedField<std::string>(aJson, "slice"));
    request.m_epoch = NumberField<Epoch>(aJson, "epoch");
    request.m_token = NumberField<std::uint64_t>(aJson, "token");
    request.m_sequence = NumberField<std::uint64_t>(aJson, "sequence");
    request.m_endedSeen = NumberField<std::uint64_t>(aJson, "ended_seen");
    for (const Json& command : ArrayField(aJson, "commands")) {
      request.m_commands.push_back(CommandFrom(command));
    }
    if (aJson.contains("inventory")) {
      request.m_inventory = BasisFrom(ObjectField(aJson, "inventory"), 0);
    }
    return request;
  });
}

Result<ControlReply>
DecodeReply(const std::string& aBody)
{
  return DecodeJson("worker message", aBody, [](const Json& aJson) {
    ControlReply reply;
    reply.m_accepted = TypedField<bool>(aJson, "accepted");
    reply.m_epoch = NumberField<Epoch>(aJson, "epoch");
    reply.m_token = NumberField<std::uint64_t>(aJson, "token");
    if (aJson.contains("inventory")) {
      reply.m_inventory = StateFrom(ObjectField(aJson, "inventory"));
    }
    if (reply.m_inventory && reply.m_inventory->m_delta) {
      RefuseField(aJson, "running", "no such field beside a delta");
      RefuseField(aJson, "capacity", "no such field beside a delta");
    } else {
      reply.m_capacity = ResourcesFrom(aJson.at("capacity"));
      reply.m_running = ListFrom(
        aJson, "running", reply.m_inventory ? TaskForm::Short : TaskForm::Full);
    }
    for (const Json& task : ArrayField(aJson, "ended")) {
      reply.m_ended.push_back(EndedFrom(task));
    }
    return reply;
  });
}

} // namespace lacewing::worker
