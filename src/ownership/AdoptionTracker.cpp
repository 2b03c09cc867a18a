#include "ownership/AdoptionTracker.h"

#include <algorithm>

namespace lacewing::ownership {

AdoptionTracker::AdoptionTracker(OwnershipOptions aOptions,
                                 SliceId aSlice,
                                 Epoch aEpoch,
                                 Time aClaimed)
  : m_options(aOptions)
  , m_slice(std::move(aSlice))
  , m_epoch(aEpoch)
  , m_claimed(aClaimed)
{
}

void
AdoptionTracker::SetWorkers(Time aAsked, const std::set<VmId>& aWorkers)
{
  for (auto& [vm, worker] : m_workers) {
    worker.m_listed = aWorkers.contains(vm);
  }
  for (const VmId& vm : aWorkers) {
    m_workers.try_emplace(vm);
  }
  // The former owner may have used a worker that an older answer of the list
  // lacked.
  m_listSeen = m_listSeen || aAsked >= m_claimed;
}

std::vector<WorkerSend>
AdoptionTracker::Due(Time aNow)
{
  std::vector<WorkerSend> sends;
  for (auto& [vm, worker] : m_workers) {
    const bool adopted = worker.m_adopted;
    if (aNow < worker.m_nextSend || (!adopted && !worker.m_listed)) {
      continue;
    }
    // A renewal without an answer is repeated as often as an adoption.
    worker.m_nextSend = aNow + m_options.m_adoptInterval;
    WorkerSend send;
    send.m_worker = vm;
    send.m_step = adopted ? Step::WorkerRenew : Step::WorkerAdopt;
    send.m_request.m_slice = m_slice;
    send.m_request.m_epoch = m_epoch;
    send.m_request.m_token = adopted ? worker.m_token : 0;
    sends.push_back(std::move(send));
  }
  return sends;
}

bool
AdoptionTracker::OnReply(Time aNow,
                         const VmId& aWorker,
                         const worker::ControlReply& aReply)
{
  const auto found = m_workers.find(aWorker);
  if (found == m_workers.end() || aReply.m_epoch > m_epoch) {
    return false;
  }
  Worker& worker = found->second;
  if (!aReply.m_accepted) {
    // The token has lapsed, or the worker has restarted: adopting it again
    // yields a new token.
    worker.m_adopted = false;
    return false;
  }
  // An older reply, which a later one has overtaken, has an outdated inventory.
  if (aReply.m_epoch != m_epoch || aReply.m_token <= worker.m_token) {
    return false;
  }
  const bool adopted = worker.m_adopted;
  worker.m_adopted = true;
  worker.m_token = aReply.m_token;
  worker.m_lastReply = aNow;
  // Adoption does not extend the worker's lease; the first renewal does.
  worker.m_nextSend =
    adopted ? aNow + m_options.m_workerRenewInterval : Time::min();
  return true;
}

std::vector<VmId>
AdoptionTracker::TakeLost(Time aNow)
{
  std::vector<VmId> lost;
  for (auto& [vm, worker] : m_workers) {
    if (worker.m_token != 0 &&
        aNow - worker.m_lastReply >= m_options.WorkerLapse()) {
      worker.m_token = 0;
      worker.m_adopted = false;
      worker.m_nextSend = Time::min();
      lost.push_back(vm);
    }
  }
  std::erase_if(m_workers, [](const auto& aEntry) {
    return aEntry.second.m_token == 0 && !aEntry.second.m_listed;
  });
  return lost;
}

bool
AdoptionTracker::TryOpen(Time aNow)
{
  if (m_open) {
    return false;
  }
  const bool adopted =
    std::all_of(m_workers.begin(), m_workers.end(), [](const auto& aEntry) {
      return aEntry.second.m_adopted;
    });
  const bool lapsed = aNow - m_claimed >= m_options.WorkerLapse();
  m_open = (m_listSeen && adopted) || lapsed ||
           !m_options.m_mechanisms.m_waitBeforeOpen;
  return m_open;
}

bool
AdoptionTracker::IsAdopted(const VmId& aWorker) const
{
  const auto found = m_workers.find(aWorker);
  return found != m_workers.end() && found->second.m_adopted;
}

std::uint64_t
AdoptionTracker::Token(const VmId& aWorker) const
{
  const auto found = m_workers.find(aWorker);
  return found == m_workers.end() || !found->second.m_adopted
           ? 0
           : found->second.m_token;
}

} // namespace lacewing::ownership
