#include "jobs/JobRecord.h"

#include <nlohmann/json.hpp>

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
FromRanges(const Json& aRanges)
{
  std::set<std::uint32_t> indices;
  for (const Json& range : aRanges) {
    const auto first = range.at(0).get<std::uint32_t>();
    const auto last =
      std::min(range.at(1).get<std::uint32_t>(), caller::kMaxTasksPerJob);
    for (std::uint32_t index = first; index <= last; ++index) {
      indices.insert(indices.end(), index);
    }
  }
  return indices;
}

} // namespace

std::string
JobRow(const JobId& aJob)
{
  return JobRowPrefix(SliceOf(aJob)) + aJob.Value();
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
  const Json body = { { "team", aRecord.m_team.Value() },
                      { "spec",
                        Json::parse(caller::EncodeJobSpec(aRecord.m_spec)) },
                      { "ending", NameOf(aRecord.m_ending) },
                      { "cancel_requested", aRecord.m_cancelRequested },
    { "marked", ToRanges(aRecord.m_marked) },
                      { "succeeded", ToRanges(aRecord.m_succeeded) },
                      { "nonce", aRecord.m_nonce } };
  return body.dump();
}

Result<JobRecord>
DecodeRecord(const JobId& aJob, const std::string& aText)
{
  try {
    const Json body = Json::parse(aText);
    JobRecord record;
    record.m_id = aJob;
    record.m_team = TeamId(body.at("team").get<std::string>());
    BOOST_LEAF_ASSIGN(record.m_spec,
                      caller::DecodeJobSpec(body.at("spec").dump()));
    const auto ending =
      ParseName<JobEnding>(body.at("ending").get<std::string>());
    if (!ending) {
      return Fail(Verdict::Ran,
                  ErrorCode::Internal,
                  "row of job " + aJob.Value() + " has an unknown ending");
    }
    record.m_ending = *ending;
    record.m_cancelRequested = body.at("cancel_requested").get<bool>();
    record.m_marked = FromRanges(body.at("marked"));
    record.m_succeeded = FromRanges(body.at("succeeded"));
    record.m_nonce = body.at("nonce").get<std::string>();
    return record;
  } catch (const Json::exception& error) {
    return Fail(Verdict::Ran,
                ErrorCode::Internal,
                "row of job " + aJob.Value() +
                  " is malformed: " + error.what());
  }
}

} // namespace lacewing::jobs
