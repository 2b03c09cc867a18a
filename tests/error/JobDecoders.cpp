/// Guards against jobs, job rows and request headers that end the process, are
/// taken for valid with a wrong value, or are refused without naming it.
#include "caller/CallerRequest.h"
#include "harness/DecoderFuzz.h"
#include "jobs/JobRecord.h"

namespace lacewing {

namespace {

const std::string kSpec =
  R"({"name":"n","kind":"gang","urgent":false,"patient":true,)"
  R"("at_most_once":true,"tasks":3,"millicores":10,"memory_mib":20,)"
  R"("accelerators":1,"run_ms":500,"region":"r"})";
const std::string kRecord =
  R"({"team":"t","spec":)" + kSpec +
  R"(,"ending":"open","cancel_requested":false,"marked":[[0,1]],)"
  R"("succeeded":[[0,0],[2,2]],"ended_us":5,)"
  R"("submission":"submission/t/k","nonce":"x"})";

Result<jobs::JobRecord>
DecodeRecord(const std::string& aText)
{
  return jobs::DecodeRecord(JobId("s.1"), aText);
}

/// Decodes a request with the given header.
Result<caller::CallerContext>
ContextOf(const std::string& aName, const std::string& aValue)
{
  net::HttpRequest request;
  request.m_headers[aName] = aValue;
  return caller::ParseContext(request);
}

} // namespace

TEST(JobDecoders, AnyJobGivesAValueOrATypedError)
{
  FuzzJsonDecoder(caller::DecodeJobSpec, kSpec);
}

TEST(JobDecoders, JobErrorsNameTheValue)
{
  const auto decode = caller::DecodeJobSpec;
  ExpectNamed(decode, kSpec, "/tasks", -1, "'tasks' of the job is -1");
  ExpectNamed(decode, kSpec, "/tasks", 18446744073709551615U, "18446744073");
  ExpectNamed(decode, kSpec, "/run_ms", 1e300, "1e+300");
  ExpectNamed(decode, kSpec, "/name", 5, "'name'");
  ExpectNamed(decode, kSpec, "/kind", "herd", "herd");
  ExpectNamed(decode, kSpec, "/urgent", 1, "'urgent'");
  ExpectNamed(decode, kSpec, "/colour", 1, "'colour'");
}

TEST(JobDecoders, AnyRowGivesAValueOrATypedError)
{
  FuzzJsonDecoder(DecodeRecord, kRecord, ErrorCode::Internal);
}

TEST(JobDecoders, RowErrorsNameTheValue)
{
  const auto expect = [](const std::string& aPointer,
                         const nlohmann::json& aValue,
                         const std::string& aNamed) {
    ExpectNamed(
      DecodeRecord, kRecord, aPointer, aValue, aNamed, ErrorCode::Internal);
  };
  expect("/marked/0/1", 4294967295U, "'marked' is 4294967295");
  expect("/marked/0/0", -1, "'marked' is -1");
  expect("/succeeded/1/1", 1, "'succeeded' is 1");
  expect("/succeeded", nullptr, "'succeeded'");
  expect("/spec/tasks", -1, "'tasks' of the job is -1");
  expect("/team", 5, "'team'");
  expect("/ended_us", -1, "'ended_us' is -1");
  // The row named there is deleted with the job's.
  expect("/submission", "job/s/s.2", "'submission' is \"job/s/s.2\"");
  expect("/submission", "submission/u/k", "'submission'");
}

TEST(JobDecoders, HeaderErrorsNameTheValue)
{
  const auto message = [](const std::string& aName, const std::string& aValue) {
    return DecodeErrorOf(
      [&](const std::string& aText) { return ContextOf(aName, aText); },
      aValue);
  };
  for (const std::string value :
       { "-1", "0", "30001", "99999999999999999999", "1.5", "ten", " 5" }) {
    EXPECT_NE(message("X-Deadline-Ms", value).find("'" + value + "'"),
              std::string::npos);
  }
  EXPECT_NE(message("X-Request-Class", "fast").find("fast"), std::string::npos);
  EXPECT_NE(message("Idempotency-Key", "a/b").find("a/b"), std::string::npos);
  EXPECT_NE(message("Idempotency-Key", std::string(129, 'a')), "");
  EXPECT_EQ(message("Idempotency-Key", std::string(128, 'a')), "");
  EXPECT_EQ(DecodeErrorOf(
              [](const std::string& aText) {
                return ContextOf("Authorization", aText);
              },
              "Basic secret",
              ErrorCode::Unauthenticated)
              .find("secret"),
            std::string::npos);
}

TEST(JobDecoders, AnyHeaderGivesAValueOrATypedError)
{
  const std::vector<std::pair<std::string, std::string>> headers = {
    { "X-Deadline-Ms", "1500" },
    { "X-Request-Class", "patient" },
    { "Idempotency-Key", "lot-1:a.b_c" }
  };
  for (const auto& [name, value] : headers) {
    FuzzDecoder(
      [header = name](const std::string& aText) {
        return ContextOf(header, aText);
      },
      value);
  }
}

} // namespace lacewing
