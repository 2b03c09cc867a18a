#include "table/TableClient.h"

#include "table/TableCodec.h"

namespace lacewing::table {

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;

net::HttpRequest
Post(std::string aPath, std::string aBody)
{
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_path = std::move(aPath);
  request.m_headers["Content-Type"] = "application/json";
  request.m_body = std::move(aBody);
  return request;
}

CommitResult
ToCommitResult(const net::HttpOutcome& aOutcome)
{
  CommitResult failed;
  if (!aOutcome.m_response) {
    failed.m_state = aOutcome.m_error.m_verdict == Verdict::NotRun
                       ? CommitState::NotApplied
                       : CommitState::Unknown;
    return failed;
  }
  const int status = aOutcome.m_response->m_status;
  if (status != kOk && status != kConflict) {
    return failed;
  }
  return leaf::try_handle_all(
    [&] { return DecodeCommitResult(aOutcome.m_response->m_body); },
    [&] { return failed; });
}

ReadResult
ToReadResult(const net::HttpOutcome& aOutcome)
{
  if (!aOutcome.m_response || aOutcome.m_response->m_status != kOk) {
    return {};
  }
  return leaf::try_handle_all(
    [&] { return DecodeReadResult(aOutcome.m_response->m_body); },
    [] { return ReadResult(); });
}

} // namespace

TableClient::TableClient(net::HttpClient& aHttp, net::Address aAddress)
  : m_http(aHttp)
  , m_address(std::move(aAddress))
{
}

void
TableClient::Submit(const Commit& aCommit, Duration aTimeout, CommitDone aDone)
{
  m_http.Send(m_address,
              Post("/v1/commit", EncodeCommit(aCommit)),
              aTimeout,
              [done = std::move(aDone)](const net::HttpOutcome& aOutcome) {
                done(ToCommitResult(aOutcome));
              });
}

void
TableClient::Fetch(const Read& aRead, Duration aTimeout, ReadDone aDone)
{
  m_http.Send(m_address,
              Post("/v1/read", EncodeRead(aRead)),
              aTimeout,
              [done = std::move(aDone)](const net::HttpOutcome& aOutcome) {
                done(ToReadResult(aOutcome));
              });
}

} // namespace lacewing::table
