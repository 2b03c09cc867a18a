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

Json
ToJson(const RunningTask& aTask)
{
  return { { "job", aTask.m_task.m_job.Value() },
           { "index", aTask.m_task.m_index },
           { "attempt", aTask.m_attempt },
           { "reserved", ToJson(aTask.m_reserved) },
           { "used", ToJson(aTask.m_used) },
           { "throttled", aTask.m_throttled } };
}

RunningTask
RunningFrom(const Json& aJson)
{
  RunningTask task;
  task.m_task = TaskFrom(aJson);
  task.m_attempt = NumberField<std::uint32_t>(aJson, "attempt");
  task.m_reserved = ResourcesFrom(aJson.at("reserved"));
  task.m_used = ResourcesFrom(aJson.at("used"));
  task.m_throttled = TypedField<bool>(aJson, "throttled");
  return task;
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
  const Json body = { { "slice", aRequest.m_slice.Value() },
                      { "epoch", aRequest.m_epoch },
                      { "token", aRequest.m_token },
                      { "sequence", aRequest.m_sequence },
                      { "commands", commands },
                      { "ended_seen", aRequest.m_endedSeen } };
  return body.dump();
}

std::string
EncodeReply(const ControlReply& aReply)
{
  Json running = Json::array();
  for (const RunningTask& task : aReply.m_running) {
    running.push_back(ToJson(task));
  }
  Json ended = Json::array();
  for (const EndedTask& task : aReply.m_ended) {
    ended.push_back(ToJson(task));
  }
  const Json body = { { "accepted", aReply.m_accepted },
                      { "epoch", aReply.m_epoch },
                      { "token", aReply.m_token },
                      { "capacity", ToJson(aReply.m_capacity) },
                      { "running", running },
                      { "ended", ended } };
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
    reply.m_capacity = ResourcesFrom(aJson.at("capacity"));
    for (const Json& task : ArrayField(aJson, "running")) {
      reply.m_running.push_back(RunningFrom(task));
    }
    for (const Json& task : ArrayField(aJson, "ended")) {
      reply.m_ended.push_back(EndedFrom(task));
    }
    return reply;
  });
}

} // namespace lacewing::worker
