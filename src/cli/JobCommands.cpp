#include "cli/JobCommands.h"

#include "caller/JobSpec.h"

#include <chrono>
#include <random>
#include <thread>

namespace lacewing::cli {

namespace {

constexpr std::chrono::milliseconds kWaitPeriod{ 500 };

/// A key that makes a repeated submission of this process harmless.
std::string
RandomIdempotencyKey()
{
  std::random_device random;
  std::string key = "cli";
  for (int part = 0; part < 4; ++part) {
    key += "-" + std::to_string(random());
  }
  return key;
}

Result<nlohmann::json>
FetchStatus(CommandContext& aContext, const std::string& aJob)
{
  Call call;
  call.m_path = "/v1/jobs/" + aJob;
  return aContext.m_client.Json(call);
}

bool
IsOver(const nlohmann::json& aStatus)
{
  const std::string state = aStatus.value("state", "");
  return state != "queued" && state != "running";
}

Result<nlohmann::json>
WaitForEnd(CommandContext& aContext, const std::string& aJob)
{
  for (;;) {
    BOOST_LEAF_AUTO(status, FetchStatus(aContext, aJob));
    if (IsOver(status)) {
      return status;
    }
    aContext.m_progress << "job " << aJob << ": " << status.value("waiting", 0)
                        << " waiting, " << status.value("running", 0)
                        << " running, " << status.value("succeeded", 0)
                        << " succeeded\n";
    std::this_thread::sleep_for(kWaitPeriod);
  }
}

} // namespace

Result<void>
Submit(CommandContext& aContext)
{
  BOOST_LEAF_AUTO(text, ReadInput(aContext.Get("FILE")));
  // Checked here as well, so that a mistake shows without a running system.
  BOOST_LEAF_CHECK(caller::DecodeJobSpec(text));
  Call call;
  call.m_method = "POST";
  call.m_path = "/v1/jobs";
  call.m_body = text;
  call.m_headers["Idempotency-Key"] = aContext.Has("--idempotency-key")
                                        ? aContext.Get("--idempotency-key")
                                        : RandomIdempotencyKey();
  BOOST_LEAF_AUTO(accepted, aContext.m_client.Json(call));
  if (!aContext.Has("--wait")) {
    PrintObject(aContext.m_out, aContext.m_format, accepted);
    return {};
  }
  BOOST_LEAF_AUTO(status, WaitForEnd(aContext, accepted.value("job", "")));
  PrintObject(aContext.m_out, aContext.m_format, status);
  return {};
}

Result<void>
Status(CommandContext& aContext)
{
  BOOST_LEAF_AUTO(status, FetchStatus(aContext, aContext.Get("JOB")));
  PrintObject(aContext.m_out, aContext.m_format, status);
  return {};
}

Result<void>
Cancel(CommandContext& aContext)
{
  Call call;
  call.m_method = "DELETE";
  call.m_path = "/v1/jobs/" + aContext.Get("JOB");
  BOOST_LEAF_AUTO(answer, aContext.m_client.Json(call));
  PrintObject(aContext.m_out, aContext.m_format, answer);
  return {};
}

Result<void>
Resolve(CommandContext& aContext)
{
  Call call;
  call.m_method = "POST";
  call.m_path = "/v1/jobs/" + aContext.Get("JOB") +
                (aContext.Has("--run-again") ? "/run-again" : "/give-up");
  BOOST_LEAF_AUTO(answer, aContext.m_client.Json(call));
  PrintObject(aContext.m_out, aContext.m_format, answer);
  return {};
}

Result<void>
Explain(CommandContext& aContext)
{
  Call call;
  call.m_path = "/v1/jobs/" + aContext.Get("JOB") + "/explain";
  BOOST_LEAF_AUTO(answer, aContext.m_client.Json(call));
  PrintObject(aContext.m_out, aContext.m_format, answer);
  return {};
}

} // namespace lacewing::cli
