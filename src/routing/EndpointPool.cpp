#include "routing/EndpointPool.h"

#include <algorithm>
#include <unordered_set>

namespace lacewing::routing {

int
Endpoint::Capacity() const
{
  // One connection stays free for status queries.
  return std::min(m_info.m_slots, std::max(1, m_info.m_connections - 1));
}

template<EndpointChoice Choice>
EndpointPool<Choice>::EndpointPool(PoolOptions aOptions, std::uint64_t aSeed)
  : m_options(aOptions)
  , m_choice(aSeed)
  , m_backoff(aOptions.m_probe, aSeed)
{
}

template<EndpointChoice Choice>
Endpoint*
EndpointPool<Choice>::FindMutable(const VmId& aVm)
{
  const auto found = m_index.find(aVm);
  return found == m_index.end() ? nullptr : &m_endpoints[found->second];
}

template<EndpointChoice Choice>
const Endpoint*
EndpointPool<Choice>::Find(const VmId& aVm) const
{
  const auto found = m_index.find(aVm);
  return found == m_index.end() ? nullptr : &m_endpoints[found->second];
}

template<EndpointChoice Choice>
void
EndpointPool<Choice>::ApplyInfo(Time aNow, const EndpointInfo& aInfo)
{
  Endpoint* endpoint = FindMutable(aInfo.m_vm);
  if (endpoint == nullptr) {
    m_index.emplace(aInfo.m_vm, m_endpoints.size());
    endpoint = &m_endpoints.emplace_back();
    endpoint->m_probeAt = aNow;
    endpoint->m_foreign = m_foreignBeforeList[aInfo.m_vm];
    m_foreignBeforeList.erase(aInfo.m_vm);
  }
  if (endpoint->m_state == EndpointState::Gone) {
    endpoint->m_state = EndpointState::Unknown;
    endpoint->m_probeAt = aNow;
  }
  endpoint->m_info = aInfo;
  endpoint->m_misses = 0;
  if (aInfo.m_leaving) {
    endpoint->m_state = EndpointState::Leaving;
  }
}

template<EndpointChoice Choice>
std::vector<VmId>
EndpointPool<Choice>::Update(Time aNow, const std::vector<EndpointInfo>& aList)
{
  std::unordered_set<VmId> listed;
  for (const EndpointInfo& info : aList) {
    listed.insert(info.m_vm);
    ApplyInfo(aNow, info);
  }
  std::vector<VmId> gone;
  for (Endpoint& endpoint : m_endpoints) {
    if (listed.contains(endpoint.m_info.m_vm) ||
        endpoint.m_state == EndpointState::Gone) {
      continue;
    }
    if (++endpoint.m_misses >= m_options.m_missesToGone) {
      endpoint.m_state = EndpointState::Gone;
      endpoint.m_foreign = 0;
      gone.push_back(endpoint.m_info.m_vm);
    }
  }
  RemoveIdleGone();
  return gone;
}

template<EndpointChoice Choice>
void
EndpointPool<Choice>::RemoveIdleGone()
{
  std::erase_if(m_endpoints, [](const Endpoint& aEndpoint) {
    // Flights keep the entry until the router has ended them.
    return aEndpoint.m_state == EndpointState::Gone && aEndpoint.m_flights == 0;
  });
  m_index.clear();
  for (std::size_t index = 0; index < m_endpoints.size(); ++index) {
    m_index.emplace(m_endpoints[index].m_info.m_vm, index);
  }
}

template<EndpointChoice Choice>
void
EndpointPool<Choice>::SetForeign(const VmId& aVm, int aBusy)
{
  if (Endpoint* endpoint = FindMutable(aVm)) {
    endpoint->m_foreign = std::max(0, aBusy);
  } else {
    m_foreignBeforeList[aVm] = std::max(0, aBusy);
  }
}

template<EndpointChoice Choice>
void
EndpointPool<Choice>::ClearForeign()
{
  m_foreignEnded = true;
  m_foreignBeforeList.clear();
  for (Endpoint& endpoint : m_endpoints) {
    endpoint.m_foreign = 0;
  }
}

template<EndpointChoice Choice>
int
EndpointPool<Choice>::TotalForeign() const
{
  int total = 0;
  for (const Endpoint& endpoint : m_endpoints) {
    const bool unread = !endpoint.m_adopted && !m_countsGiven &&
                        !m_foreignEnded &&
                        endpoint.m_state != EndpointState::Gone;
    total += unread ? endpoint.Capacity() : endpoint.m_foreign;
  }
  for (const auto& [vm, busy] : m_foreignBeforeList) {
    total += busy;
  }
  return total;
}

template<EndpointChoice Choice>
int
EndpointPool<Choice>::TotalSlots() const
{
  int total = 0;
  for (const Endpoint& endpoint : m_endpoints) {
    if (endpoint.m_state == EndpointState::Ready) {
      total += endpoint.Capacity();
    }
  }
  return total;
}

template<EndpointChoice Choice>
bool
EndpointPool<Choice>::HasLeft() const
{
  return !m_endpoints.empty() &&
         std::ranges::all_of(m_endpoints, [](const Endpoint& aEndpoint) {
           return aEndpoint.m_state == EndpointState::Leaving ||
                  aEndpoint.m_state == EndpointState::Gone;
         });
}

template<EndpointChoice Choice>
std::optional<VmId>
EndpointPool<Choice>::Choose(bool aCountSlots)
{
  m_candidates.clear();
  for (std::size_t index = 0; index < m_endpoints.size(); ++index) {
    const Endpoint& endpoint = m_endpoints[index];
    // A VM that left the list gets nothing even before it counts as gone.
    if (endpoint.m_state != EndpointState::Ready || endpoint.m_misses > 0) {
      continue;
    }
    const int capacity = endpoint.Capacity();
    if (endpoint.Busy() < capacity || !aCountSlots) {
      m_candidates.push_back({ index, endpoint.Busy(), capacity });
    }
  }
  if (m_candidates.empty()) {
    return std::nullopt;
  }
  const std::size_t position = m_choice.Pick(m_candidates);
  return m_endpoints[m_candidates[position].m_index].m_info.m_vm;
}

template<EndpointChoice Choice>
void
EndpointPool<Choice>::OnDispatch(const VmId& aVm)
{
  if (Endpoint* endpoint = FindMutable(aVm)) {
    ++endpoint->m_flights;
  }
}

template<EndpointChoice Choice>
void
EndpointPool<Choice>::OnEnd(const VmId& aVm, bool aWasAbandoned)
{
  if (Endpoint* endpoint = FindMutable(aVm)) {
    --endpoint->m_flights;
    endpoint->m_abandoned -= aWasAbandoned ? 1 : 0;
  }
}

template<EndpointChoice Choice>
void
EndpointPool<Choice>::OnAbandon(Time aNow, const VmId& aVm)
{
  Endpoint* endpoint = FindMutable(aVm);
  if (endpoint == nullptr) {
    return;
  }
  ++endpoint->m_abandoned;
  if (endpoint->m_state == EndpointState::Ready) {
    endpoint->m_probeAt =
      std::max(endpoint->m_probeAt, aNow + kMaxMessageDelay);
  }
}

template<EndpointChoice Choice>
void
EndpointPool<Choice>::OnSuccess(const VmId& aVm)
{
  if (Endpoint* endpoint = FindMutable(aVm)) {
    endpoint->m_failures = 0;
    endpoint->m_ejections = 0;
  }
}

template<EndpointChoice Choice>
void
EndpointPool<Choice>::OnFailure(Time aNow, const VmId& aVm)
{
  Endpoint* endpoint = FindMutable(aVm);
  if (endpoint == nullptr) {
    return;
  }
  ++endpoint->m_failures;
  if (endpoint->m_state == EndpointState::Ready &&
      endpoint->m_failures >= m_options.m_failuresToEject) {
    Eject(aNow, *endpoint);
  }
}

template<EndpointChoice Choice>
void
EndpointPool<Choice>::OnRefusal(Time aNow, const VmId& aVm)
{
  Endpoint* endpoint = FindMutable(aVm);
  if (endpoint != nullptr && endpoint->m_state == EndpointState::Ready) {
    Eject(aNow, *endpoint);
  }
}

template<EndpointChoice Choice>
void
EndpointPool<Choice>::OnLeaving(const VmId& aVm)
{
  Endpoint* endpoint = FindMutable(aVm);
  if (endpoint != nullptr && endpoint->m_state != EndpointState::Gone) {
    endpoint->m_state = EndpointState::Leaving;
  }
}

template<EndpointChoice Choice>
void
EndpointPool<Choice>::Eject(Time aNow, Endpoint& aEndpoint)
{
  aEndpoint.m_state = EndpointState::Ejected;
  aEndpoint.m_probeAt = aNow + m_backoff.Delay(aEndpoint.m_ejections);
  ++aEndpoint.m_ejections;
}

template<EndpointChoice Choice>
bool
EndpointPool<Choice>::NeedsProbe(const Endpoint& aEndpoint) const
{
  if (aEndpoint.m_probing || aEndpoint.m_state == EndpointState::Gone) {
    return false;
  }
  return aEndpoint.m_state == EndpointState::Unknown ||
         aEndpoint.m_state == EndpointState::Ejected ||
         (aEndpoint.m_state == EndpointState::Leaving &&
          !aEndpoint.m_info.m_leaving) ||
         aEndpoint.m_foreign > 0 || aEndpoint.m_abandoned > 0;
}

template<EndpointChoice Choice>
std::vector<StatusQuery>
EndpointPool<Choice>::TakeProbes(Time aNow)
{
  std::vector<StatusQuery> due;
  for (Endpoint& endpoint : m_endpoints) {
    if (NeedsProbe(endpoint) && endpoint.m_probeAt <= aNow) {
      endpoint.m_probing = true;
      endpoint.m_probeSent = aNow;
      due.push_back({ endpoint.m_info.m_vm, ++endpoint.m_probeNumber });
    }
  }
  return due;
}

template<EndpointChoice Choice>
std::optional<Time>
EndpointPool<Choice>::NextProbe() const
{
  std::optional<Time> next;
  for (const Endpoint& endpoint : m_endpoints) {
    if (NeedsProbe(endpoint)) {
      next = next ? std::min(*next, endpoint.m_probeAt) : endpoint.m_probeAt;
    }
  }
  return next;
}

template<EndpointChoice Choice>
StatusChange
EndpointPool<Choice>::OnStatus(Time aNow,
                               const StatusQuery& aQuery,
                               const std::optional<EndpointStatus>& aStatus,
                               Time aAdopted)
{
  StatusChange change;
  Endpoint* endpoint = FindMutable(aQuery.m_vm);
  if (endpoint == nullptr || !endpoint->m_probing ||
      endpoint->m_probeNumber != aQuery.m_number) {
    return change;
  }
  endpoint->m_probing = false;
  endpoint->m_probeAt = aNow + m_options.m_statusPeriod;
  if (!aStatus) {
    if (endpoint->m_state == EndpointState::Unknown ||
        endpoint->m_state == EndpointState::Ejected) {
      Eject(aNow, *endpoint);
    }
    return change;
  }
  // Work that an earlier owner sent may still have been under way when the
  // first status was read, so counts go down only after the largest delay.
  const Time settled = endpoint->m_probeSent - kMaxMessageDelay;
  if (!endpoint->m_adopted && !m_countsGiven && settled < aAdopted) {
    endpoint->m_probeAt = aAdopted + kMaxMessageDelay;
    return change;
  }
  if (endpoint->m_adopted && settled >= aAdopted) {
    endpoint->m_foreign = std::min(endpoint->m_foreign, aStatus->m_busy);
  }
  if (aStatus->m_busy == 0) {
    change.m_idleSince = settled;
  }
  ApplyStatus(*endpoint, *aStatus);
  return change;
}

template<EndpointChoice Choice>
void
EndpointPool<Choice>::ApplyStatus(Endpoint& aEndpoint,
                                  const EndpointStatus& aStatus)
{
  if (!aEndpoint.m_adopted) {
    // No attempt of this owner has left yet, so all that runs is foreign.
    aEndpoint.m_foreign = std::max(aEndpoint.m_foreign, aStatus.m_busy);
    aEndpoint.m_adopted = true;
  }
  if (aStatus.m_slots > 0) {
    aEndpoint.m_info.m_slots =
      std::min(aEndpoint.m_info.m_slots, aStatus.m_slots);
  }
  if (aStatus.m_leaving) {
    aEndpoint.m_state = EndpointState::Leaving;
    return;
  }
  if (!aEndpoint.m_info.m_leaving && aEndpoint.m_state != EndpointState::Gone) {
    aEndpoint.m_state = EndpointState::Ready;
    aEndpoint.m_failures = 0;
  }
}

template class EndpointPool<LeastBusy>;
template class EndpointPool<BestOfTwo>;
template class EndpointPool<RandomEndpoint>;
template class EndpointPool<RoundRobin>;

} // namespace lacewing::routing
