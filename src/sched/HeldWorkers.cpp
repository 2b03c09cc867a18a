#include "sched/HeldWorkers.h"

#include "sched/GangPlacement.h"
#include "sched/RoomPlan.h"

#include <algorithm>

namespace lacewing::sched {

namespace {

struct Candidate
{
  std::uint32_t m_worker = kNone;
  std::uint32_t m_now = 0;   ///< tasks that fit at present
  std::uint32_t m_later = 0; ///< tasks that fit when only services are left
};

std::vector<Candidate>
CandidatesIn(const SliceState& aState,
             const Request& aRequest,
             const DomainSlots& aDomain)
{
  std::vector<Candidate> candidates;
  for (const std::uint32_t rack : aDomain.m_racks) {
    for (const std::uint32_t index : aState.Table().Racks()[rack].m_workers) {
      if (!CouldTake(aState, index, aRequest)) {
        continue;
      }
      const Worker& worker = aState.WorkerAt(index);
      const Resources later = worker.m_spec.m_capacity - worker.m_service;
      const Candidate candidate{ index,
                                 CountThatFit(aState.Free(index),
                                              aRequest.m_need),
                                 CountThatFit(later, aRequest.m_need) };
      if (candidate.m_later > 0) {
        candidates.push_back(candidate);
      }
    }
  }
  return candidates;
}

std::vector<std::uint32_t>
ChooseFrom(std::vector<Candidate> aCandidates, std::uint32_t aTasks)
{
  std::sort(aCandidates.begin(),
            aCandidates.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              return aLeft.m_now != aRight.m_now
                       ? aLeft.m_now > aRight.m_now
                       : aLeft.m_worker < aRight.m_worker;
            });
  std::vector<std::uint32_t> workers;
  std::uint32_t places = 0;
  for (const Candidate& candidate : aCandidates) {
    if (places >= aTasks) {
      break;
    }
    places += candidate.m_later;
    workers.push_back(candidate.m_worker);
  }
  if (places < aTasks) {
    workers.clear();
  }
  return workers;
}

} // namespace

std::vector<std::uint32_t>
ChooseWorkersToHold(const SliceState& aState,
                    const Request& aRequest,
                    std::uint32_t aTasks)
{
  std::vector<Candidate> all;
  for (const DomainSlots& domain : aState.Table().Domains()) {
    std::vector<Candidate> own = CandidatesIn(aState, aRequest, domain);
    std::vector<std::uint32_t> workers = ChooseFrom(own, aTasks);
    if (!workers.empty()) {
      return workers;
    }
    all.insert(all.end(), own.begin(), own.end());
  }
  return ChooseFrom(std::move(all), aTasks);
}

} // namespace lacewing::sched
