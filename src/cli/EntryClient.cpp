#include "cli/EntryClient.h"

namespace lacewing::cli {

namespace {

constexpr Duration kCallTimeout = seconds(35);
constexpr int kFirstErrorStatus = 400;

/// The error in an answer's body, or one made from its status.
Error
ErrorIn(const net::HttpResponse& aResponse)
{
  Error error;
  error.m_verdict = Verdict::MayHaveRun;
  error.m_message =
    "the answer has status " + std::to_string(aResponse.m_status);
  const auto body = nlohmann::json::parse(aResponse.m_body, nullptr, false);
  if (!body.is_object()) {
    return error;
  }
  error.m_verdict =
    ParseName<Verdict>(body.value("verdict", "")).value_or(Verdict::MayHaveRun);
  error.m_code =
    ParseName<ErrorCode>(body.value("error", "")).value_or(ErrorCode::Internal);
  error.m_message = body.value("message", error.m_message);
  return error;
}

/// True if another entry daemon may be able to serve the call.
bool
IsWorthRetrying(const Error& aError)
{
  if (aError.m_verdict != Verdict::NotRun) {
    return false;
  }
  return aError.m_code == ErrorCode::Unavailable ||
         aError.m_code == ErrorCode::Draining ||
         aError.m_code == ErrorCode::NotOwner ||
         aError.m_code == ErrorCode::StoreUnavailable ||
         aError.m_code == ErrorCode::StaleSettings;
}

Result<nlohmann::json>
ParseBody(const std::string& aBody)
{
  auto body = nlohmann::json::parse(aBody, nullptr, false);
  if (body.is_discarded()) {
    return Fail(
      Verdict::Ran, ErrorCode::Internal, "the answer's body is not JSON");
  }
  return body;
}

} // namespace

EntryClient::EntryClient(std::vector<net::Address> aEntries, std::string aKey)
  : m_http(m_loop)
  , m_entries(std::move(aEntries))
  , m_key(std::move(aKey))
{
}

net::HttpOutcome
EntryClient::Send(const net::Address& aEntry, const Call& aCall)
{
  net::HttpRequest request;
  request.m_method = aCall.m_method;
  request.m_path = aCall.m_path;
  request.m_headers = aCall.m_headers;
  request.m_body = aCall.m_body;
  if (!m_key.empty()) {
    request.m_headers["Authorization"] = "Bearer " + m_key;
  }
  net::HttpOutcome result;
  m_http.Send(
    aEntry, request, kCallTimeout, [&](const net::HttpOutcome& aOutcome) {
      result = aOutcome;
      m_loop.Stop();
    });
  m_loop.Run();
  return result;
}

Result<std::string>
EntryClient::Text(const Call& aCall)
{
  Error error{ Verdict::NotRun,
               ErrorCode::Unavailable,
               "no entry daemon is known; set --entry or LACEWING_ENTRY" };
  for (const net::Address& entry : m_entries) {
    const net::HttpOutcome outcome = Send(entry, aCall);
    if (outcome.m_response &&
        outcome.m_response->m_status < kFirstErrorStatus) {
      return outcome.m_response->m_body;
    }
    error = outcome.m_response ? ErrorIn(*outcome.m_response) : outcome.m_error;
    if (!IsWorthRetrying(error)) {
      break;
    }
  }
  return leaf::new_error(error);
}

Result<nlohmann::json>
EntryClient::Json(const Call& aCall)
{
  BOOST_LEAF_AUTO(text, Text(aCall));
  return ParseBody(text);
}

Result<nlohmann::json>
EntryClient::JsonFrom(const net::Address& aEntry, const Call& aCall)
{
  const net::HttpOutcome outcome = Send(aEntry, aCall);
  if (!outcome.m_response) {
    return leaf::new_error(outcome.m_error);
  }
  if (outcome.m_response->m_status >= kFirstErrorStatus) {
    return leaf::new_error(ErrorIn(*outcome.m_response));
  }
  return ParseBody(outcome.m_response->m_body);
}

} // namespace lacewing::cli
