#include "edge/WorkerCalls.h"

namespace lacewing::edge {

void
WorkerCalls::ExtendLease(
  const DomainId& aDomain,
  const platform::LeaseExtension& aExtension,
  Duration aTimeout,
  std::function<void(const platform::LeaseExtensionResult&)> aDone)
{
  const bool relayed =
    m_relays != nullptr &&
    m_relays->Call(aDomain,
                   aExtension.m_address,
                   aExtension,
                   aTimeout,
                   [aDone](const relay::Answer& aAnswer) {
                     aDone({ aAnswer.m_state, aAnswer.m_inventory });
                   });
  if (!relayed) {
    m_client.ExtendLease(aExtension, aTimeout, std::move(aDone));
  }
}

void
WorkerCalls::Start(const DomainId& aDomain,
                   const net::Address& aAddress,
                   const pool::StartTask& aStart,
                   std::uint64_t aTerm,
                   std::int64_t aDeadlineMs,
                   Duration aTimeout,
                   std::function<void(const platform::StartResult&)> aDone)
{
  const bool relayed =
    m_relays != nullptr &&
    m_relays->Call(
      aDomain,
      aAddress,
      relay::StartCommand{ aStart, aDeadlineMs },
      aTimeout,
      [aDone](const relay::Answer& aAnswer) {
        aDone({ aAnswer.m_state, aAnswer.m_outcome, aAnswer.m_clockMs });
      });
  if (!relayed) {
    m_client.Start(
      aAddress, aStart, aTerm, aDeadlineMs, aTimeout, std::move(aDone));
  }
}

void
WorkerCalls::Stop(const DomainId& aDomain,
                  const net::Address& aAddress,
                  const pool::StopTask& aStop,
                  std::uint64_t aTerm,
                  Duration aTimeout,
                  std::function<void(platform::CommandState)> aDone)
{
  const bool relayed = m_relays != nullptr &&
                       m_relays->Call(aDomain,
                                      aAddress,
                                      aStop,
                                      aTimeout,
                                      [aDone](const relay::Answer& aAnswer) {
                                        aDone(aAnswer.m_state);
                                      });
  if (!relayed) {
    m_client.Stop(aAddress, aStop, aTerm, aTimeout, std::move(aDone));
  }
}

} // namespace lacewing::edge
