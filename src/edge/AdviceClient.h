/// Asks the policy service for this VM, a few questions at a time.
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

  /// Calls back once, with nothing if there was no answer.
  void Ask(const pool::AdviceRequest& aQuestion, Done aDone);

private:
  void Next();

  struct Entry
  {
    pool::AdviceRequest m_question;
    Done m_done;
  };

  platform::WorkerClient& m_client;
  std::optional<net::Address> m_policyService;
  std::deque<Entry> m_queue;
  int m_atService = 0; ///< questions without an answer yet
};

} // namespace lacewing::edge
