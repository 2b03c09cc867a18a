/// Sends advice requests to the policy service on behalf of this VM, with a
/// limit on the number in flight.
#pragma once

#include "net/Loop.h"
#include "platform/WorkerClient.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace lacewing::edge {

class AdviceClient
{
public:
  using Good = std::optional<std::vector<pool::Permission>>;
  using Done = std::function<void(const Good&)>;

  AdviceClient(platform::WorkerClient& aClient,
               std::optional<net::Address> aPolicyService);

  /// Queues a request. Calls back exactly once, with `nullopt` if the service
  /// is not configured or did not answer.
  void Ask(const pool::AdviceRequest& aRequest, Done aDone);

private:
  void SendNext();

  struct Entry
  {
    pool::AdviceRequest m_request;
    Done m_done;
  };

  platform::WorkerClient& m_client;
  std::optional<net::Address> m_policyService;
  std::deque<Entry> m_queue;
  int m_inFlight = 0; ///< requests without a response yet
};

} // namespace lacewing::edge
