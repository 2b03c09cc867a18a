/// The leader's calls to workers: through a relay if the worker has one, and
/// otherwise from this process.
#pragma once

#include "edge/RelayLinks.h"
#include "platform/WorkerClient.h"

namespace lacewing::edge {

class WorkerCalls
{
public:
  /// Without relays if `aRelays` is null. The relays may end once no further
  /// call is made.
  WorkerCalls(platform::WorkerClient& aClient, RelayLinks* aRelays)
    : m_client(aClient)
    , m_relays(aRelays)
  {
  }

  /// Each call ends exactly once with `aDone`, unless the relays end first.
  void ExtendLease(
    const DomainId& aDomain,
    const platform::LeaseExtension& aExtension,
    Duration aTimeout,
    std::function<void(const platform::LeaseExtensionResult&)> aDone);
  void Start(const DomainId& aDomain,
             const net::Address& aAddress,
             const pool::StartTask& aStart,
             std::uint64_t aTerm,
             std::int64_t aDeadlineMs,
             Duration aTimeout,
             std::function<void(const platform::StartResult&)> aDone);
  void Stop(const DomainId& aDomain,
            const net::Address& aAddress,
            const pool::StopTask& aStop,
            std::uint64_t aTerm,
            Duration aTimeout,
            std::function<void(platform::CommandState)> aDone);

private:
  platform::WorkerClient& m_client;
  RelayLinks* m_relays;
};

} // namespace lacewing::edge
