/// Client of a worker's control interface.
#pragma once

#include "net/HttpClient.h"
#include "worker/WorkerMessages.h"

#include <functional>
#include <optional>

namespace lacewing::worker {

/// A reply, or the error when there is none.
struct ControlOutcome
{
  std::optional<ControlReply> m_reply;
  Error m_error;
};

class WorkerClient
{
public:
  explicit WorkerClient(net::HttpClient& aHttp);

  /// Calls back exactly once.
  void Control(const net::Address& aWorker,
               const ControlRequest& aRequest,
               Duration aTimeout,
               std::function<void(const ControlOutcome&)> aDone);

private:
  net::HttpClient& m_http;
};

} // namespace lacewing::worker
