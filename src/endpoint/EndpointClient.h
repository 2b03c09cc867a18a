/// Client of an endpoint's HTTP interface: dispatch of one attempt, and status.
#pragma once

#include "net/HttpClient.h"
#include "routing/Request.h"

#include <functional>
#include <optional>
#include <string>

namespace lacewing::endpoint {

/// Value of X-Request-Id: unique, since an epoch of a slice has one owner and
/// its attempts are numbered.
std::string
RequestIdHeader(const SliceId& aSlice,
                Epoch aEpoch,
                routing::AttemptId aAttempt);

/// A whole or short answer, or the error when there is none.
struct DispatchOutcome
{
  std::optional<routing::EndpointAnswer> m_answer;
  Error m_error;
};

/// An attempt to send.
struct DispatchRequest
{
  std::string m_requestId; ///< from `RequestIdHeader`
  std::string m_path;      ///< path of the service's method
  std::string m_body;
  std::string m_contentType = "application/json";
  Duration m_remaining{}; ///< until the deadline, sent as X-Deadline-Ms
};

class EndpointClient
{
public:
  explicit EndpointClient(net::HttpClient& aHttp);

  /// Calls back exactly once. `aTimeout` may exceed the remaining time, so that
  /// a late answer can still free its slot.
  void Dispatch(const net::Address& aEndpoint,
                const DispatchRequest& aRequest,
                Duration aTimeout,
                std::function<void(const DispatchOutcome&)> aDone);

  /// Calls back exactly once; with nothing when the status cannot be had.
  void FetchStatus(
    const net::Address& aEndpoint,
    Duration aTimeout,
    std::function<void(const std::optional<routing::EndpointStatus>&)> aDone);

private:
  net::HttpClient& m_http;
};

/// The outcome of a dispatch for an HTTP outcome.
DispatchOutcome
ToDispatchOutcome(const net::HttpOutcome& aOutcome);
/// The status in the body of GET /status, or nothing if it is malformed.
std::optional<routing::EndpointStatus>
DecodeStatus(const std::string& aBody);

} // namespace lacewing::endpoint
