#include "caller/JobSpec.h"

#include "core/JsonFields.h"

#include <set>

namespace lacewing::caller {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t kMaxMillicores = 10'000'000;
constexpr std::int64_t kMaxMemoryMib = 100'000'000;
constexpr std::int64_t kMaxAccelerators = 1'000;
constexpr std::int64_t kMaxRunMs = 30LL * 24 * 3600 * 1000;

leaf::error_id
BadField(const std::string& aField,
         const Json& aValue,
         const std::string& aExpected)
{
  return Fail(Verdict::NotRun,
              ErrorCode::BadInput,
              "field '" + aField + "' of the job is " + ShortText(aValue) +
                "; expected " + aExpected);
}

Result<void>
CheckFieldNames(const Json& aJson)
{
  static const std::set<std::string> kKnown = {
    "name",         "kind",   "urgent",     "patient",
    "at_most_once", "tasks",  "millicores", "memory_mib",
    "accelerators", "run_ms", "region"
  };
  for (const auto& [field, value] : aJson.items()) {
    if (!kKnown.contains(field)) {
      return Fail(Verdict::NotRun,
                  ErrorCode::BadInput,
                  "job has the unknown field '" + field + "'");
    }
  }
  return {};
}

Result<std::int64_t>
Number(const Json& aJson,
       const std::string& aField,
       std::int64_t aDefault,
       std::int64_t aMin,
       std::int64_t aMax)
{
  const auto found = aJson.find(aField);
  if (found == aJson.end()) {
    return aDefault;
  }
  const bool inRange = found->is_number_integer() &&
                       found->get<std::int64_t>() >= aMin &&
                       found->get<std::int64_t>() <= aMax;
  if (!inRange) {
    return BadField(aField,
                    *found,
                    "a whole number from " + std::to_string(aMin) + " to " +
                      std::to_string(aMax));
  }
  return found->get<std::int64_t>();
}

Result<bool>
Flag(const Json& aJson, const std::string& aField)
{
  const auto found = aJson.find(aField);
  if (found == aJson.end()) {
    return false;
  }
  if (!found->is_boolean()) {
    return BadField(aField, *found, "true or false");
  }
  return found->get<bool>();
}

Result<std::string>
Text(const Json& aJson, const std::string& aField)
{
  const auto found = aJson.find(aField);
  if (found == aJson.end()) {
    return std::string();
  }
  if (!found->is_string()) {
    return BadField(aField, *found, "a text");
  }
  return found->get<std::string>();
}

Result<JobKind>
Kind(const Json& aJson)
{
  BOOST_LEAF_AUTO(text, Text(aJson, "kind"));
  if (text.empty()) {
    return JobKind::Batch;
  }
  if (const auto kind = ParseName<JobKind>(text)) {
    return *kind;
  }
  return BadField("kind", text, "batch, service or gang");
}

Result<JobSpec>
FromJson(const Json& aJson)
{
  if (!aJson.is_object()) {
    return Fail(
      Verdict::NotRun, ErrorCode::BadInput, "the job is not a JSON object");
  }
  BOOST_LEAF_CHECK(CheckFieldNames(aJson));
  JobSpec spec;
  BOOST_LEAF_ASSIGN(spec.m_name, Text(aJson, "name"));
  BOOST_LEAF_ASSIGN(spec.m_kind, Kind(aJson));
  BOOST_LEAF_ASSIGN(spec.m_urgent, Flag(aJson, "urgent"));
  BOOST_LEAF_ASSIGN(spec.m_patient, Flag(aJson, "patient"));
  BOOST_LEAF_ASSIGN(spec.m_atMostOnce, Flag(aJson, "at_most_once"));
  BOOST_LEAF_AUTO(tasks, Number(aJson, "tasks", 1, 1, kMaxTasksPerJob));
  spec.m_tasks = static_cast<std::uint32_t>(tasks);
  Resources& need = spec.m_perTask;
  BOOST_LEAF_ASSIGN(
    need.m_millicores,
    Number(aJson, "millicores", need.m_millicores, 1, kMaxMillicores));
  BOOST_LEAF_ASSIGN(
    need.m_memoryMib,
    Number(aJson, "memory_mib", need.m_memoryMib, 1, kMaxMemoryMib));
  BOOST_LEAF_ASSIGN(need.m_accelerators,
                    Number(aJson, "accelerators", 0, 0, kMaxAccelerators));
  BOOST_LEAF_ASSIGN(spec.m_runMs,
                    Number(aJson, "run_ms", spec.m_runMs, 1, kMaxRunMs));
  BOOST_LEAF_AUTO(region, Text(aJson, "region"));
  spec.m_region = RegionId(region);
  if (spec.m_urgent && spec.m_patient) {
    return Fail(Verdict::NotRun,
                ErrorCode::BadInput,
                "a job cannot be both urgent and patient");
  }
  return spec;
}

} // namespace

std::string
EncodeJobSpec(const JobSpec& aSpec)
{
  const Json body = { { "name", aSpec.m_name },
                      { "kind", NameOf(aSpec.m_kind) },
                      { "urgent", aSpec.m_urgent },
                      { "patient", aSpec.m_patient },
                      { "at_most_once", aSpec.m_atMostOnce },
                      { "tasks", aSpec.m_tasks },
                      { "millicores", aSpec.m_perTask.m_millicores },
                      { "memory_mib", aSpec.m_perTask.m_memoryMib },
                      { "accelerators", aSpec.m_perTask.m_accelerators },
                      { "run_ms", aSpec.m_runMs },
                      { "region", aSpec.m_region.Value() } };
  return body.dump();
}

Result<JobSpec>
DecodeJobSpec(const std::string& aText)
{
  const Json body = Json::parse(aText, nullptr, false);
  if (body.is_discarded()) {
    return Fail(
      Verdict::NotRun, ErrorCode::BadInput, "the job is not valid JSON");
  }
  return FromJson(body);
}

} // namespace lacewing::caller
