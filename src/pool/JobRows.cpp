#include "pool/JobRows.h"

#include "core/DecodeJson.h"
#include "core/JsonFields.h"

#include <nlohmann/json.hpp>

namespace lacewing::pool {

namespace {

using Json = nlohmann::json;

constexpr const char* kCancelSuffix = ".cancel";
constexpr const char* kLeaderPart = "main";

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json
EncodeStep(const StepSpec& aStep)
{
  Json json = { { "tasks", aStep.m_tasks },
                { "millicores", aStep.m_each.m_millicores },
                { "memory", aStep.m_each.m_memoryMib } };
  if (aStep.m_each.m_accelerators != 0) {
    json["accelerators"] = aStep.m_each.m_accelerators;
  }
  json["estimate_ms"] = ToMilliseconds(aStep.m_estimate);
  if (!aStep.m_after.empty()) {
    json["after"] = aStep.m_after;
  }
  if (aStep.m_gang) {
    json["gang"] = true;
  }
  if (aStep.m_sameRack) {
    json["same_rack"] = true;
  }
  if (aStep.m_checkpointing) {
    json["checkpointing"] = true;
  }
  if (!aStep.m_requiredLabel.empty()) {
    json["label"] = aStep.m_requiredLabel;
  }
  if (!aStep.m_preferredRack.empty()) {
    json["rack"] = aStep.m_preferredRack;
  }
  if (aStep.m_maxPerWorker != 0) {
    json["max_per_worker"] = aStep.m_maxPerWorker;
  }
  return json;
}

StepSpec
DecodeStep(const Json& aJson)
{
  StepSpec step;
  step.m_tasks = NumberField<std::uint32_t>(aJson, "tasks");
  step.m_each.m_millicores = NumberField<std::int64_t>(aJson, "millicores");
  step.m_each.m_memoryMib = NumberField<std::int64_t>(aJson, "memory");
  step.m_each.m_accelerators = aJson.value("accelerators", std::int64_t{ 0 });
  step.m_estimate =
    milliseconds(NumberField<std::int64_t>(aJson, "estimate_ms"));
  step.m_after = aJson.value("after", std::vector<std::uint32_t>{});
  step.m_gang = aJson.value("gang", false);
  step.m_sameRack = aJson.value("same_rack", false);
  step.m_checkpointing = aJson.value("checkpointing", false);
  step.m_requiredLabel = aJson.value("label", std::string());
  step.m_preferredRack = aJson.value("rack", std::string());
  step.m_maxPerWorker = aJson.value("max_per_worker", 0U);
  return step;
}

Json
EncodeIds(const std::vector<WorkerId>& aWorkers)
{
  Json result = Json::array();
  for (const WorkerId& worker : aWorkers) {
    result.push_back(worker.Value());
  }
  return result;
}

/// Each worker with its runs: [name, [[job, step, index], ...]].
Json
EncodeCordoned(const std::vector<CordonedWorker>& aWorkers)
{
  Json result = Json::array();
  for (const CordonedWorker& worker : aWorkers) {
    Json runs = Json::array();
    for (const TaskRef& run : worker.m_runs) {
      runs.push_back({ run.m_job.Value(), run.m_step, run.m_index });
    }
    result.push_back({ worker.m_worker.Value(), std::move(runs) });
  }
  return result;
}

std::vector<CordonedWorker>
DecodeCordoned(const Json& aJson)
{
  std::vector<CordonedWorker> result;
  for (const Json& item : aJson) {
    CordonedWorker& worker = result.emplace_back();
    worker.m_worker = WorkerId(item.at(0).get<std::string>());
    for (const Json& run : item.at(1)) {
      worker.m_runs.push_back({ JobId(run.at(0).get<std::string>()),
                                run.at(1).get<std::uint32_t>(),
                                run.at(2).get<std::uint32_t>() });
    }
  }
  return result;
}

} // namespace

std::string
JobPart(const JobId& aJob, JobLocation aLocation)
{
  unsigned sum = 0;
  for (const char letter : aJob.Value()) {
    constexpr unsigned kMultiplier = 31;
    sum = sum * kMultiplier + static_cast<unsigned char>(letter);
  }
  constexpr unsigned kSecondOffset = kJobParts / 2;
  const unsigned offset = aLocation == JobLocation::First ? 0 : kSecondOffset;
  return std::to_string((sum + offset) % kJobParts);
}

std::string
JobKey(const JobId& aJob, JobLocation aLocation)
{
  return std::string(kJobTable) + "/" + JobPart(aJob, aLocation) + "/" +
         aJob.Value();
}

std::string
CancelKey(const JobId& aJob, JobLocation aLocation)
{
  return JobKey(aJob, aLocation) + kCancelSuffix;
}

std::string
ProgressKey(const JobId& aJob)
{
  return ProgressPrefix() + aJob.Value();
}

std::string
LeaderKey()
{
  return std::string("leader/") + kLeaderPart + "/leader";
}

std::string
JobPartPrefix(int aPart)
{
  return std::string(kJobTable) + "/" + std::to_string(aPart) + "/";
}

std::string
RuntimesKey()
{
  return std::string("runtimes/") + kLeaderPart + "/model";
}

std::string
ProgressPrefix()
{
  return std::string(kProgressTable) + "/" + kLeaderPart + "/";
}

JobRowKey
ParseJobRowKey(const std::string& aKey)
{
  std::string name = aKey.substr(aKey.rfind('/') + 1);
  JobRowKey result;
  result.m_cancellation = name.ends_with(kCancelSuffix);
  if (result.m_cancellation) {
    name.resize(name.size() - std::string_view(kCancelSuffix).size());
  }
  result.m_job = JobId(name);
  return result;
}

std::string
EncodeJob(const Job& aJob)
{
  Json steps = Json::array();
  for (const StepSpec& step : aJob.m_steps) {
    steps.push_back(EncodeStep(step));
  }
  return Dump({ { "queue", aJob.m_queue.Value() },
                { "team", aJob.m_team.Value() },
                { "payload", aJob.m_payload },
                { "steps", std::move(steps) },
                { "accepted_ms", aJob.m_acceptedUnixMs } });
}

std::string
EncodeProgress(const JobProgress& aProgress)
{
  Json tasks = Json::array();
  for (const auto& [position, task] : aProgress.m_tasks) {
    tasks.push_back({ position.first,
                      position.second,
                      task.m_done,
                      task.m_failedRuns,
                      task.m_checkpoint });
  }
  return Dump(
    { { "state", NameOf(aProgress.m_state) }, { "tasks", std::move(tasks) } });
}

std::string
EncodeLeader(const LeaderRow& aRow)
{
  return Dump({ { "vm", aRow.m_vm },
                { "address", aRow.m_address },
                { "incarnation", aRow.m_incarnation },
                { "term", aRow.m_term },
                { "workers", EncodeIds(aRow.m_workers) },
                { "cordoned", EncodeCordoned(aRow.m_cordoned) },
                { "settled", aRow.m_settled },
                { "renewal_grace_ms", ToMilliseconds(aRow.m_renewalGrace) } });
}

std::string
EncodeCancellation(const Cancellation& aCancellation)
{
  return Dump({ { "requested_ms", aCancellation.m_requestedUnixMs } });
}

Cancellation
DecodeCancellation(const std::string& aRow)
{
  const Json json = Json::parse(aRow, nullptr, false);
  Cancellation result;
  if (json.is_object() && json.contains("requested_ms") &&
      json.at("requested_ms").is_number_integer()) {
    result.m_requestedUnixMs = json.at("requested_ms").get<std::int64_t>();
  }
  return result;
}

Result<Job>
DecodeJob(const JobId& aId, const std::string& aRow)
{
  return DecodeJson(Verdict::NotRun, "job row", [&] {
    const Json json = Json::parse(aRow);
    Job job;
    job.m_id = aId;
    job.m_queue = QueueId(TypedField<std::string>(json, "queue"));
    job.m_team = TeamId(TypedField<std::string>(json, "team"));
    job.m_payload = TypedField<std::string>(json, "payload");
    for (const Json& step : ArrayField(json, "steps")) {
      job.m_steps.push_back(DecodeStep(step));
    }
    job.m_acceptedUnixMs = NumberField<std::int64_t>(json, "accepted_ms");
    return job;
  });
}

Result<JobProgress>
DecodeProgress(const std::string& aRow)
{
  return DecodeJson(Verdict::NotRun, "progress row", [&] {
    const Json json = Json::parse(aRow);
    JobProgress progress;
    const auto name = TypedField<std::string>(json, "state");
    const auto state = ParseName<JobState>(name);
    if (!state) {
      ThrowBadField("state", name, "the state of a job");
    }
    progress.m_state = *state;
    for (const Json& item : ArrayField(json, "tasks")) {
      TaskProgress& task = progress.m_tasks[{
        item.at(0).get<std::uint32_t>(), item.at(1).get<std::uint32_t>() }];
      task.m_done = item.at(2).get<bool>();
      task.m_failedRuns = item.at(3).get<std::vector<std::uint64_t>>();
      task.m_checkpoint = item.at(4).get<std::string>();
    }
    return progress;
  });
}

Result<LeaderRow>
DecodeLeader(const std::string& aRow)
{
  return DecodeJson(Verdict::NotRun, "leader row", [&] {
    const Json json = Json::parse(aRow);
    LeaderRow row;
    row.m_vm = TypedField<std::string>(json, "vm");
    row.m_address = TypedField<std::string>(json, "address");
    row.m_incarnation = NumberField<std::uint64_t>(json, "incarnation");
    row.m_term = NumberField<std::uint64_t>(json, "term");
    for (auto& name : TypedField<std::vector<std::string>>(json, "workers")) {
      row.m_workers.emplace_back(std::move(name));
    }
    if (json.contains("cordoned")) {
      row.m_cordoned = DecodeCordoned(ArrayField(json, "cordoned"));
    }
    row.m_settled = json.value("settled", false);
    if (json.contains("renewal_grace_ms")) {
      row.m_renewalGrace = milliseconds(NumberField<std::int64_t>(
        json, "renewal_grace_ms", 0, ToMilliseconds(kMaxRenewalGrace)));
    }
    return row;
  });
}

} // namespace lacewing::pool
