#include "endpoint/EndpointClient.h"

#include <nlohmann/json.hpp>

#include <charconv>

#include <strings.h>

namespace lacewing::endpoint {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

std::string
HeaderOf(const net::HttpResponse& aResponse, const std::string& aName)
{
  const auto found = aResponse.m_headers.find(aName);
  return found == aResponse.m_headers.end() ? std::string() : found->second;
}

std::optional<std::size_t>
ParseLength(const std::string& aText)
{
  std::size_t length = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, length);
  if (aText.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return length;
}

} // namespace

std::string
RequestIdHeader(const SliceId& aSlice,
                Epoch aEpoch,
                routing::AttemptId aAttempt)
{
  return aSlice.Value() + "-" + std::to_string(aEpoch) + "-" +
         std::to_string(aAttempt);
}

DispatchOutcome
ToDispatchOutcome(const net::HttpOutcome& aOutcome)
{
  DispatchOutcome outcome;
  outcome.m_error = aOutcome.m_error;
  if (!aOutcome.m_response) {
    return outcome;
  }
  const net::HttpResponse& response = *aOutcome.m_response;
  routing::EndpointAnswer answer;
  answer.m_status = response.m_status;
  answer.m_body = response.m_body;
  answer.m_contentLength = ParseLength(HeaderOf(response, "Content-Length"));
  answer.m_notRun =
    response.m_status == kUnavailable && HeaderOf(response, "X-Not-Run") == "1";
  answer.m_close =
    strcasecmp(HeaderOf(response, "Connection").c_str(), "close") == 0;
  outcome.m_answer = std::move(answer);
  return outcome;
}

std::optional<routing::EndpointStatus>
DecodeStatus(const std::string& aBody)
{
  const auto json = nlohmann::json::parse(aBody, nullptr, false);
  if (!json.is_object() || !json.contains("slots") ||
      !json["slots"].is_number_integer() || !json.contains("busy") ||
      !json["busy"].is_number_integer() || !json.contains("leaving") ||
      !json["leaving"].is_boolean()) {
    return std::nullopt;
  }
  return routing::EndpointStatus{ json["slots"].get<int>(),
                                  json["busy"].get<int>(),
                                  json["leaving"].get<bool>() };
}

EndpointClient::EndpointClient(net::HttpClient& aHttp)
  : m_http(aHttp)
{
}

void
EndpointClient::Dispatch(const net::Address& aEndpoint,
                         const DispatchRequest& aRequest,
                         Duration aTimeout,
                         std::function<void(const DispatchOutcome&)> aDone)
{
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_path = aRequest.m_path;
  request.m_headers["X-Request-Id"] = aRequest.m_requestId;
  request.m_headers["Content-Type"] = aRequest.m_contentType;
  request.m_headers["X-Deadline-Ms"] =
    std::to_string(ToMilliseconds(aRequest.m_remaining));
  request.m_body = aRequest.m_body;
  m_http.Send(aEndpoint,
              request,
              aTimeout,
              [done = std::move(aDone)](const net::HttpOutcome& aOutcome) {
                done(ToDispatchOutcome(aOutcome));
              });
}

void
EndpointClient::FetchStatus(
  const net::Address& aEndpoint,
  Duration aTimeout,
  std::function<void(const std::optional<routing::EndpointStatus>&)> aDone)
{
  net::HttpRequest request;
  request.m_method = "GET";
  request.m_path = "/status";
  m_http.Send(aEndpoint,
              request,
              aTimeout,
              [done = std::move(aDone)](const net::HttpOutcome& aOutcome) {
                const bool ok =
                  aOutcome.m_response && aOutcome.m_response->m_status == kOk;
                done(ok ? DecodeStatus(aOutcome.m_response->m_body)
                        : std::nullopt);
              });
}

} // namespace lacewing::endpoint
