#include "jobs/JobRecord.h"

#include "core/JsonFields.h"

#include <array>
#include <cstdio>

namespace lacewing::jobs {

namespace {

using Json = nlohmann::json;

/// Task indices as ranges [first, last], so that the row of a job with many
/// tasks stays small.
Json
ToRanges(const std::set<std::uint32_t>& aIndices)
{
  Json ranges = Json::array();
  for (const std::uint32_t index : aIndices) {
    if (!ranges.empty() && ranges.back()[1] == index - 1) {
      ranges.back()[1] = index;
    } else {
      ranges.push_back({ index, index });
    }
  }
  return ranges;
}

std::set<std::uint32_t>
FromRanges(const Json& aBody, const char* aField)
{
  std::set<std::uint32_t> indices;
  for (const Json& range : ArrayField(aBody, aField)) {
    constexpr std::uint32_t kLargest = caller::kMaxTasksPerJob - 1;
    const auto first =
      WholeNumber<std::uint32_t>(range.at(0), aField, 0, kLargest);
    const auto last =
      WholeNumber<std::uint32_t>(range.at(1), aField, first, kLargest);
    for (std::uint32_t index = first; index <= last; ++index) {
      indices.insert(indices.end(), index);
    }
  }
  return indices;
}

/// The job in a row. Bad input in a row is a fault of the system, not of the
/// caller.
Result<caller::JobSpec>
SpecFrom(const JobId& aJob, const Json& aSpec)
{
  for (const Json& value : aSpec) {
    // A nested value is never valid, and printing a deep one would overflow
    // the stack.
    if (value.is_structured()) {
      ThrowBadField("spec", value, "fields with plain values");
    }
  }
  std::string fault;
  auto spec = leaf::try_handle_all(
    [&]() -> Result<caller::JobSpec> {
      return caller::DecodeJobSpec(aSpec.dump());
    },
    [&](const Error& aError) {
      fault = aError.m_message;
      return caller::JobSpec();
    },
    [&] {
      fault = "unknown error";
      return caller::JobSpec();
    });
  if (!fault.empty()) {
    return Fail(Verdict::Ran,
                ErrorCode::Internal,
                "row of job " + aJob.Value() + ": " + fault);
  }
  return spec;
}

/// What the owner of a former slice needs to know of a job that has moved.
std::string
EncodeTombstone(const JobRecord& aRecord)
{
  Json body = { { "team", aRecord.m_team.Value() },
                { "ending", NameOf(aRecord.m_ending) },
                { "moved_to", aRecord.m_movedTo.Value() },
                { "ended_us", aRecord.m_endedMicros },
                { "nonce", aRecord.m_nonce } };
  if (aRecord.m_submission) {
    body["submission"] = *aRecord.m_submission;
  }
  return body.dump();
}

/// The fields that only the row of an existing job has.
Result<void>
ReadJobFields(const Json& aBody, JobRecord& aRecord)
{
  BOOST_LEAF_ASSIGN(aRecord.m_spec, SpecFrom(aRecord.m_id, aBody.at("spec")));
  aRecord.m_cancelRequested = TypedField<bool>(aBody, "cancel_requested");
  aRecord.m_marked = FromRanges(aBody, "marked");
  aRecord.m_succeeded = FromRanges(aBody, "succeeded");
  if (aBody.contains("moved_from")) {
    for (const Json& slice : ArrayField(aBody, "moved_from")) {
      aRecord.m_movedFrom.emplace_back(slice.get<std::string>());
    }
  }
  return {};
}

} // namespace

bool
MayExpire(const JobRecord& aRecord)
{
  return !MayStillRun(aRecord) && aRecord.m_submission.has_value();
}

bool
MayStillRun(const JobRecord& aRecord)
{
  return aRecord.m_ending == JobEnding::Open ||
         aRecord.m_ending == JobEnding::MayHaveRun;
}

std::string
JobRow(const JobId& aJob)
{
  return JobRow(SliceOf(aJob), aJob);
}

std::string
JobRow(const SliceId& aSlice, const JobId& aJob)
{
  return JobRowPrefix(aSlice) + aJob.Value();
}

std::string
JobRowPrefix(const SliceId& aSlice)
{
  return "job/" + aSlice.Value() + "/";
}

std::string
SubmissionRow(const TeamId& aTeam, const std::string& aIdempotencyKey)
{
  return "submission/" + aTeam.Value() + "/" + aIdempotencyKey;
}

bool
IsSubmissionRow(const TeamId& aTeam, const std::string& aKey)
{
  const std::string prefix = SubmissionRow(aTeam, "");
  return aKey.size() > prefix.size() && aKey.starts_with(prefix);
}

JobId
MakeJobId(const SliceId& aSlice, std::uint64_t aRandom)
{
  std::array<char, 17> hex{};
  std::snprintf(hex.data(),
                hex.size(),
                "%016llx",
                static_cast<unsigned long long>(aRandom));
  return JobId(aSlice.Value() + "." + hex.data());
}

SliceId
SliceOf(const JobId& aJob)
{
  const auto dot = aJob.Value().rfind('.');
  return dot == std::string::npos ? SliceId()
                                  : SliceId(aJob.Value().substr(0, dot));
}

std::string
EncodeRecord(const JobRecord& aRecord)
{
  if (aRecord.m_ending == JobEnding::Moved) {
    return EncodeTombstone(aRecord);
  }
  Json body = { { "team", aRecord.m_team.Value() },
                { "spec", Json::parse(caller::EncodeJobSpec(aRecord.m_spec)) },
                { "ending", NameOf(aRecord.m_ending) },
                { "cancel_requested", aRecord.m_cancelRequested },
                { "marked", ToRanges(aRecord.m_marked) },
                { "succeeded", ToRanges(aRecord.m_succeeded) },
                { "ended_us", aRecord.m_endedMicros },
                { "nonce", aRecord.m_nonce } };
  if (aRecord.m_submission) {
    body["submission"] = *aRecord.m_submission;
  }
  for (const SliceId& slice : aRecord.m_movedFrom) {
    body["moved_from"].push_back(slice.Value());
  }
  return body.dump();
}

Result<JobRecord>
DecodeRecord(const JobId& aJob, const std::string& aText)
{
  try {
    const Json body = Json::parse(aText);
    JobRecord record;
    record.m_id = aJob;
    record.m_team = TeamId(TypedField<std::string>(body, "team"));
    const auto ending =
      ParseName<JobEnding>(TypedField<std::string>(body, "ending"));
    if (!ending) {
      return Fail(Verdict::Ran,
                  ErrorCode::Internal,
                  "row of job " + aJob.Value() + " has an unknown ending");
    }
    record.m_ending = *ending;
    if (*ending == JobEnding::Moved) {
      record.m_movedTo = SliceId(TypedField<std::string>(body, "moved_to"));
    } else {
      BOOST_LEAF_CHECK(ReadJobFields(body, record));
    }
    // Rows of former versions have neither of the two fields.
    if (body.contains("ended_us")) {
      record.m_endedMicros = WholeNumber<std::int64_t>(
        body.at("ended_us"), "ended_us", std::int64_t{ 0 });
    }
    record.m_submission = std::nullopt;
    if (body.contains("submission")) {
      record.m_submission = TypedField<std::string>(body, "submission");
      if (!record.m_submission->empty() &&
          !IsSubmissionRow(record.m_team, *record.m_submission)) {
        ThrowBadField("submission",
                      body.at("submission"),
                      "the key of a submission's row of the team");
      }
    }
    record.m_nonce = TypedField<std::string>(body, "nonce");
    return record;
  } catch (const Json::exception& error) {
    return Fail(Verdict::Ran,
                ErrorCode::Internal,
                "row of job " + aJob.Value() +
                  " is malformed: " + error.what());
  }
}

std::string
EncodeSubmission(const JobRecord& aRecord, std::int64_t aWrittenMicros)
{
  const Json body = { { "job", aRecord.m_id.Value() },
                      { "record", EncodeRecord(aRecord) },
                      { "written_us", aWrittenMicros },
                      { "nonce", aRecord.m_nonce } };
  return body.dump();
}

Result<JobRecord>
DecodeSubmission(const std::string& aText)
{
  const Json body = Json::parse(aText, nullptr, false);
  const auto isText = [&](const char* aField) {
    return body.contains(aField) && body[aField].is_string();
  };
  if (!body.is_object() || !isText("job") || !isText("record")) {
    return Fail(Verdict::MayHaveRun,
                ErrorCode::Internal,
                "the submission's row is malformed");
  }
  return DecodeRecord(JobId(body["job"].get<std::string>()),
                      body["record"].get<std::string>());
}

Result<std::int64_t>
SubmissionTime(const std::string& aText)
{
  const Json body = Json::parse(aText, nullptr, false);
  if (!body.is_object()) {
    return Fail(Verdict::MayHaveRun,
                ErrorCode::Internal,
                "the submission's row is malformed");
  }
  const auto written = body.find("written_us");
  if (written == body.end()) {
    return std::int64_t{ 0 };
  }
  try {
    return WholeNumber<std::int64_t>(*written, "written_us", std::int64_t{ 0 });
  } catch (const Json::exception& error) {
    return Fail(Verdict::MayHaveRun,
                ErrorCode::Internal,
                std::string("the submission's row is malformed: ") +
                  error.what());
  }
}

} // namespace lacewing::jobs
