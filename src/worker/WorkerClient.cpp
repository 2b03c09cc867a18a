#include "worker/WorkerClient.h"

namespace lacewing::worker {

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;

ControlOutcome
ToOutcome(const net::HttpOutcome& aOutcome)
{
  ControlOutcome outcome;
  outcome.m_error = aOutcome.m_error;
  if (!aOutcome.m_response) {
    return outcome;
  }
  const int status = aOutcome.m_response->m_status;
  if (status != kOk && status != kConflict) {
    outcome.m_error = { Verdict::MayHaveRun,
                        ErrorCode::EndpointFailed,
                        "worker answered with status " +
                          std::to_string(status) };
    return outcome;
  }
  leaf::try_handle_all(
    [&]() -> Result<void> {
      BOOST_LEAF_ASSIGN(outcome.m_reply,
                        DecodeReply(aOutcome.m_response->m_body));
      return {};
    },
    [&](const Error& aError) { outcome.m_error = aError; },
    [&] { outcome.m_error.m_message = "worker's reply cannot be decoded"; });
  return outcome;
}

} // namespace

WorkerClient::WorkerClient(net::HttpClient& aHttp)
  : m_http(aHttp)
{
}

void
WorkerClient::Control(const net::Address& aWorker,
                      const ControlRequest& aRequest,
                      Duration aTimeout,
                      std::function<void(const ControlOutcome&)> aDone)
{
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_path = "/v1/control";
  request.m_body = EncodeRequest(aRequest);
  m_http.Send(aWorker,
              request,
              aTimeout,
              [done = std::move(aDone)](const net::HttpOutcome& aOutcome) {
                done(ToOutcome(aOutcome));
              });
}

} // namespace lacewing::worker
