// Advice requests to the policy service: when one is sent and for which
// workers.
#include "pool/PoolScheduler.h"

#include <algorithm>
#include <tuple>

namespace lacewing::pool {

namespace {

/// Steps at the head of the order whose tickets are renewed before they expire,
/// among those that could be placed, and as many of teams at their limits.
constexpr std::size_t kStepsWithFreshTickets = 10;
/// Tickets of the steps at the head of the order are renewed this long before
/// they expire, on top of the time that the policy service takes.
constexpr Duration kTicketRenewal = milliseconds(300);
/// Limit of advice requests in flight for interactive steps, for each VM that
/// sends them: the service handles them one after another, so more would only
/// queue.
constexpr int kInteractiveRequestsPerVm = 3;
/// Requests of patient (not interactive) steps take up to a second each. They
/// occupy at most this share of the VMs, so that interactive requests find a
/// free VM at once.
constexpr double kPatientShare = 0.75;
/// The service accepts at most this many workers in a request.
constexpr std::size_t kMaxWorkersPerRequest = 100;
/// A request names at least this many workers, so that a step can choose among
/// fast and slow ones.
constexpr std::size_t kMinWorkersPerRequest = 48;
/// A request names this multiple of the workers that the step would fill, since
/// the policy permits only some and other jobs use them too.
constexpr std::size_t kWorkersAskedPerNeeded = 6;
/// One of this many requests is for a step behind the head of the order, which
/// could otherwise take all of them for as long as it has steps.
constexpr std::size_t kRequestsPerTurn = 4;

} // namespace

bool
PoolScheduler::HasAdvice(Time aNow, const Candidate& aCandidate) const
{
  if (!aCandidate.m_queue->m_advice) {
    return true;
  }
  return std::ranges::any_of(
    aCandidate.Record().m_tickets, [&](const Ticket& aTicket) {
      return m_usableBySlot[aTicket.m_worker] != nullptr &&
             aTicket.m_until > aNow + kTicketMargin;
    });
}

bool
PoolScheduler::AwaitsAdvice(Time aNow, const Candidate& aCandidate) const
{
  return aCandidate.m_queue->m_advice && aCandidate.Record().m_adviceOpen &&
         !HasAdvice(aNow, aCandidate);
}

void
PoolScheduler::RequestAdvice(Time aNow,
                             const std::vector<Candidate>& aSteps,
                             Actions& aActions)
{
  for (const bool interactive : { true, false }) {
    AskInTurn(aNow, interactive, aSteps, aActions);
    KeepInNextPlan(aNow, interactive, aSteps);
  }
  RenewTickets(aNow, aSteps, aActions);
}

void
PoolScheduler::AskInTurn(Time aNow,
                         bool aInteractive,
                         const std::vector<Candidate>& aSteps,
                         Actions& aActions)
{
  if (!MayRequestAdvice(aInteractive)) {
    return;
  }
  std::deque<const Candidate*> head;
  std::deque<const Candidate*> others;
  for (const Candidate& step : aSteps) {
    if (step.m_interactive == aInteractive && step.m_queue->m_advice) {
      (step.m_atHead ? head : others).push_back(&step);
    }
  }
  std::ranges::stable_sort(others, {}, [](const Candidate* aStep) {
    return aStep->Record().m_requestedAt;
  });
  const auto takeFirst = [&](std::deque<const Candidate*>& aQueue) {
    const Candidate* first = nullptr;
    while (first == nullptr && !aQueue.empty()) {
      first = LacksOnlyAdvice(aNow, *aQueue.front()) ? aQueue.front() : nullptr;
      aQueue.pop_front();
    }
    return first;
  };
  std::size_t& atHead = aInteractive ? m_interactiveAtHead : m_patientAtHead;
  while (MayRequestAdvice(aInteractive)) {
    const bool headFirst = atHead + 1 < kRequestsPerTurn;
    const Candidate* step = takeFirst(headFirst ? head : others);
    if (step == nullptr) {
      step = takeFirst(headFirst ? others : head);
    }
    if (step == nullptr) {
      return;
    }
    Request(aNow, *step, aActions);
    atHead = step->m_atHead ? atHead + 1 : 0;
  }
}

void
PoolScheduler::KeepInNextPlan(Time aNow,
                              bool aInteractive,
                              const std::vector<Candidate>& aSteps)
{
  if (MayRequestAdvice(aInteractive)) {
    return; // all that need more have asked
  }
  for (const Candidate& step : aSteps) {
    if (step.m_interactive == aInteractive && step.m_wasNext &&
        !step.m_atHead && step.m_queue->m_advice &&
        aNow <
          step.Record().m_answeredAt + step.m_queue->m_advice->m_validity &&
        step.Record().Waiting() > 0 && LacksOnlyAdvice(aNow, step)) {
      step.Record().m_inNextPlan = true;
    }
  }
}

void
PoolScheduler::RenewTickets(Time aNow,
                            const std::vector<Candidate>& aSteps,
                            Actions& aActions)
{
  // Steps that can't be placed whatever the policy service answers must not
  // take the renewals of the others.
  std::size_t placeable = 0;
  std::size_t limited = 0;
  for (const Candidate& step : aSteps) {
    if (!step.m_queue->m_advice || !IsSuitedByUsable(step)) {
      continue;
    }
    std::size_t& renewed = HasQuotaFor(step) ? placeable : limited;
    if (++renewed <= kStepsWithFreshTickets && NeedsRenewal(aNow, step)) {
      Request(aNow, step, aActions);
    }
    if (placeable >= kStepsWithFreshTickets &&
        limited >= kStepsWithFreshTickets) {
      return;
    }
  }
}

bool
PoolScheduler::LacksOnlyAdvice(Time aNow, const Candidate& aCandidate)
{
  const StepRecord& step = aCandidate.Record();
  if (!aCandidate.m_queue->m_advice || step.m_adviceOpen ||
      HasRoomOn(aNow, aCandidate, Eligible(aNow, aCandidate))) {
    return false;
  }
  const bool neverAsked = step.m_asked.empty();
  return neverAsked || (HasQuotaFor(aCandidate) && HasRoom(aNow, aCandidate));
}

bool
PoolScheduler::NeedsRenewal(Time aNow, const Candidate& aCandidate) const
{
  const StepRecord& step = aCandidate.Record();
  // Tickets of workers that can't be used now are ignored here: they don't show
  // whether the usable workers need a renewal.
  Time earliest = Time::max();
  int usable = 0;
  for (const Ticket& ticket : step.m_tickets) {
    if (m_usableBySlot[ticket.m_worker] != nullptr) {
      ++usable;
      earliest = std::min(earliest, ticket.m_until);
    }
  }
  const AdviceRule& rule = *aCandidate.m_queue->m_advice;
  const Duration cost = rule.m_decide + rule.m_each * usable + kTicketRenewal;
  const bool fresh = usable > 0 && earliest > aNow + cost;
  return !fresh || (step.m_lacksCapacity && HasUnaskedCapacity(aCandidate));
}

void
PoolScheduler::Request(Time aNow,
                       const Candidate& aCandidate,
                       Actions& aActions)
{
  StepRecord& step = aCandidate.Record();
  if (step.m_adviceOpen || !MayRequestAdvice(aCandidate.m_interactive)) {
    return;
  }
  AdviceRequest request{ aCandidate.m_job->Spec().m_id,
                         aCandidate.m_step,
                         ChooseToAsk(aNow, aCandidate),
                         aCandidate.m_interactive };
  if (request.m_workers.empty()) {
    return;
  }
  step.m_adviceOpen = true;
  step.m_requestedAt = aNow;
  ++(aCandidate.m_interactive ? m_openInteractiveRequests
                              : m_openPatientRequests);
  aActions.m_adviceRequests.push_back(std::move(request));
}

bool
PoolScheduler::IsSuitedByUsable(const Candidate& aCandidate) const
{
  return std::ranges::any_of(m_usable, [&](const WorkerRecord* aWorker) {
    return IsSuitable(aCandidate, *aWorker);
  });
}

bool
PoolScheduler::HasRoom(Time aNow, const Candidate& aCandidate)
{
  if (!aCandidate.Spec().m_each.FitsIn(m_mostFree)) {
    return false;
  }
  const auto mayTakeOne = [&](const WorkerRecord* aWorker) {
    return aCandidate.Spec().m_each.FitsIn(aWorker->Free()) &&
           IsSuitable(aCandidate, *aWorker) &&
           MayBePermitted(aCandidate, *aWorker);
  };
  if (!aCandidate.Spec().m_gang) {
    // Mostly one of the first workers has room; the others are not looked at.
    return std::ranges::any_of(m_usable, [&](const WorkerRecord* aWorker) {
      return mayTakeOne(aWorker) &&
             TasksThatFitOn(aNow, *aWorker, aCandidate) > 0;
    });
  }
  std::vector<WorkerRecord*> workers;
  std::ranges::copy_if(m_usable, std::back_inserter(workers), mayTakeOne);
  return HasRoomOn(aNow, aCandidate, workers);
}

bool
PoolScheduler::HasRoomOn(Time aNow,
                         const Candidate& aCandidate,
                         const std::vector<WorkerRecord*>& aWorkers)
{
  if (aCandidate.Spec().m_gang) {
    return RackForGang(aCandidate, GangOptions(aNow, aCandidate, aWorkers))
      .has_value();
  }
  return std::ranges::any_of(aWorkers, [&](const WorkerRecord* aWorker) {
    return TasksThatFitOn(aNow, *aWorker, aCandidate) > 0;
  });
}

bool
PoolScheduler::MayRequestAdvice(bool aInteractive) const
{
  if (aInteractive) {
    return m_openInteractiveRequests < m_askingVms * kInteractiveRequestsPerVm;
  }
  const int most = static_cast<int>(m_askingVms * kPatientShare);
  return m_openPatientRequests < std::max(1, most);
}

bool
PoolScheduler::HasUnaskedCapacity(const Candidate& aCandidate) const
{
  if (!aCandidate.Spec().m_each.FitsIn(m_mostFree)) {
    return false;
  }
  const StepRecord& step = aCandidate.Record();
  return std::ranges::any_of(m_usable, [&](const WorkerRecord* aWorker) {
    return !step.WasAsked(aWorker->m_slot) &&
           aCandidate.Spec().m_each.FitsIn(aWorker->Free()) &&
           IsSuitable(aCandidate, *aWorker);
  });
}

std::size_t
PoolScheduler::MostToAsk(const Candidate& aCandidate) const
{
  const StepRecord& step = aCandidate.Record();
  const auto largest = m_largest.find(aCandidate.m_queue->m_service);
  const std::size_t onEmptyWorker =
    largest == m_largest.end()
      ? 1U
      : std::max(1U, TasksThatFit(aCandidate.Spec().m_each, largest->second));
  const std::size_t filled =
    (step.Waiting() + onEmptyWorker - 1) / onEmptyWorker;
  return std::clamp(filled * kWorkersAskedPerNeeded,
                    kMinWorkersPerRequest,
                    kMaxWorkersPerRequest);
}

std::vector<WorkerId>
PoolScheduler::ChooseToAsk(Time aNow, const Candidate& aCandidate) const
{
  const std::size_t most = MostToAsk(aCandidate);
  std::vector<const WorkerRecord*> chosen;
  for (const bool full : { false, true }) {
    AddPermitted(aNow, aCandidate, full, chosen);
    AddUndecided(aCandidate, full, most, chosen);
  }
  chosen.resize(std::min(chosen.size(), most));
  std::vector<WorkerId> result;
  result.reserve(chosen.size());
  for (const WorkerRecord* worker : chosen) {
    result.push_back(worker->m_info.m_id);
  }
  return result;
}

void
PoolScheduler::AddPermitted(Time aNow,
                            const Candidate& aCandidate,
                            bool aFull,
                            std::vector<const WorkerRecord*>& aChosen) const
{
  const auto begin = static_cast<std::ptrdiff_t>(aChosen.size());
  const AdviceRule& rule = *aCandidate.m_queue->m_advice;
  const Time answered = aNow + rule.m_decide +
                        rule.m_each * static_cast<int>(kMaxWorkersPerRequest) +
                        kTicketMargin;
  for (const Ticket& ticket : aCandidate.Record().m_tickets) {
    const WorkerRecord* worker = m_usableBySlot[ticket.m_worker];
    const bool isHeld = aCandidate.Spec().m_gang && ticket.m_until > answered;
    if (worker != nullptr && !isHeld && IsFull(aCandidate, *worker) == aFull &&
        IsSuitable(aCandidate, *worker)) {
      aChosen.push_back(worker);
    }
  }
  SortToAsk(aCandidate, aChosen.begin() + begin, aChosen.end());
}

void
PoolScheduler::AddUndecided(const Candidate& aCandidate,
                            bool aFull,
                            std::size_t aMost,
                            std::vector<const WorkerRecord*>& aChosen) const
{
  const StepRecord& step = aCandidate.Record();
  const auto begin = static_cast<std::ptrdiff_t>(aChosen.size());
  const WorkerSlot first = FirstToAsk(aCandidate);
  for (WorkerSlot turn = 0; turn < Slots(); ++turn) {
    if (aChosen.size() >= aMost && !aCandidate.Spec().m_gang) {
      return;
    }
    const WorkerRecord* worker = m_usableBySlot[(first + turn) % Slots()];
    if (worker != nullptr && !step.WasAsked(worker->m_slot) &&
        IsFull(aCandidate, *worker) == aFull &&
        IsSuitable(aCandidate, *worker)) {
      aChosen.push_back(worker);
    }
  }
  SortToAsk(aCandidate, aChosen.begin() + begin, aChosen.end());
}

bool
PoolScheduler::IsFull(const Candidate& aCandidate, const WorkerRecord& aWorker)
{
  return !aCandidate.Spec().m_each.FitsIn(aWorker.Free());
}

WorkerSlot
PoolScheduler::FirstToAsk(const Candidate& aCandidate) const
{
  // Each job begins at a different slot, so that jobs do not all ask about the
  // same workers.
  return static_cast<WorkerSlot>(
    std::hash<JobId>()(aCandidate.m_job->Spec().m_id) %
    std::max<std::size_t>(1, Slots()));
}

void
PoolScheduler::SortToAsk(const Candidate& aCandidate,
                         std::vector<const WorkerRecord*>::iterator aBegin,
                         std::vector<const WorkerRecord*>::iterator aEnd) const
{
  // A gang needs capacity for all its members, so it asks about the workers
  // with the most free resources.
  const WorkerSlot first = FirstToAsk(aCandidate);
  const bool gang = aCandidate.Spec().m_gang;
  const auto order = [&](const WorkerRecord* aWorker) {
    const std::int64_t turn = (aWorker->m_slot + Slots() - first) % Slots();
    return gang ? std::pair(-aWorker->Free().m_millicores, turn)
                : std::pair(std::int64_t{ 0 }, turn);
  };
  std::ranges::sort(aBegin, aEnd, {}, order);
}

void
PoolScheduler::OnAdvice(Time aNow,
                        const AdviceRequest& aRequest,
                        const std::vector<Permission>& aPermitted)
{
  CloseAdviceRequest(aRequest);
  TrackedJob* job = Find(aRequest.m_job);
  if (job == nullptr || job->IsOver()) {
    return;
  }
  StepRecord& step = job->Step(aRequest.m_step);
  for (const WorkerId& id : aRequest.m_workers) {
    if (const auto it = m_workers.find(id); it != m_workers.end()) {
      step.SetAsked(it->second.m_slot);
    }
  }
  const auto rule = m_rules.find(job->Spec().m_queue);
  const Duration validity = rule != m_rules.end() && rule->second.m_advice
                              ? rule->second.m_advice->m_validity
                              : Duration{};
  // Also without any permission: it may ask about others.
  step.m_inNextPlan = true;
  step.m_answeredAt = aNow;
  for (const Permission& permission : aPermitted) {
    const auto it = m_workers.find(permission.m_worker);
    if (it == m_workers.end()) {
      continue;
    }
    Ticket* ticket = step.FindTicket(it->second.m_slot);
    if (ticket == nullptr) {
      ticket = &step.m_tickets.emplace_back();
    }
    *ticket = { it->second.m_slot, permission.m_ticket, aNow + validity };
  }
}

void
PoolScheduler::OnAdviceFailed(Time, const AdviceRequest& aRequest)
{
  CloseAdviceRequest(aRequest);
  if (TrackedJob* job = Find(aRequest.m_job); job != nullptr) {
    job->Step(aRequest.m_step).m_inNextPlan = true;
  }
}

void
PoolScheduler::CloseAdviceRequest(const AdviceRequest& aRequest)
{
  --(aRequest.m_interactive ? m_openInteractiveRequests
                            : m_openPatientRequests);
  if (TrackedJob* job = Find(aRequest.m_job); job != nullptr) {
    job->Step(aRequest.m_step).m_adviceOpen = false;
  }
}

} // namespace lacewing::pool
