/// Callers, fronts, owners and endpoints of the request protocols under virtual
/// time, with faults at chosen steps. The wiring follows the daemon's: effects
/// are carried out by the process that decided them, unless it is paused or
/// dead by then.
///
/// Connections are modelled as TCP gives them: a message belongs to one
/// incarnation of its receiver, and an endpoint gets a dispatch at most once.
#pragma once

#include "fakes/FaultyNetwork.h"
#include "fakes/FaultyTable.h"
#include "harness/RoutingHistory.h"
#include "routing/AtMostOnce.h"
#include "routing/RequestRouter.h"
#include "routing/SliceChooser.h"
#include "table/GroupCommit.h"

#include <memory>

namespace lacewing::harness {

using routing::CallId;
using routing::Step;

enum class Fault : std::uint8_t
{
  FrontKilled,
  FrontPaused,
  OwnerKilled,
  OwnerPaused,
  MessageLost,
  MessageDelayed,
  MessageDuplicated,
  MessageReordered,
  LinkCutOneWay,
  LinkCutBothWays,
  StoreDown,
  StoreSlow,
  StoreAnswerLost,
  ListLagging,
  EndpointLeaving,
  EndpointFailing,
  EndpointRefusing,
  AnswerTruncated,
};
inline constexpr int kFaults = 18;

/// The fault happens when the step is reached for the n-th time (from 1).
struct FaultPoint
{
  Step m_step{};
  Fault m_fault{};
  int m_nth = 1;
};

struct WorldOptions
{
  std::uint64_t m_seed = 1;
  std::vector<FaultPoint> m_faults;
  routing::Safeguards m_safeguards;
};

class RoutingWorld
{
public:
  explicit RoutingWorld(WorldOptions aOptions)
    : m_options(std::move(aOptions))
    , m_random(m_options.m_seed)
    , m_processes(m_queue)
    , m_network(m_queue, m_processes, m_options.m_seed)
    , m_table(m_queue, m_processes)
  {
  }

  /// Runs the whole schedule.
  const History& Run()
  {
    SetUp();
    for (int caller = 0; caller < kCallers; ++caller) {
      NextCall(caller, kCallsPerCaller);
    }
    m_queue.RunUntil(Time() + kEnd);
    return m_history;
  }

  int Reached(Step aStep) const { return Count(m_reached, aStep); }
  int FaultsHit() const { return m_faultsHit; }
  int Answered() const { return m_answered; }

private:
  static constexpr Duration kEnd = seconds(12);
  static constexpr Duration kLease = seconds(3);
  static constexpr Duration kTakeoverMargin = milliseconds(60);
  static constexpr Duration kFaultTime = milliseconds(1500);
  static constexpr Duration kStoreTimeout = milliseconds(500);
  static constexpr int kFronts = 3;
  static constexpr int kCallers = 10;
  static constexpr int kCallsPerCaller = 5;
  static constexpr int kBurst = 20;
  static constexpr int kRepeats = 3;
  static constexpr int kSlots = 2;

  struct Call
  {
    CallId m_id = 0;
    int m_caller = 0;
    TeamId m_team;
    std::string m_key;
    std::string m_body;
    RequestClass m_class{};
    Duration m_deadline{};
    int m_repeatsLeft = 0;
    bool m_followUp = true; ///< the caller goes on when it has ended
    bool m_closed = false;
    VmId m_front;
  };
  using CallPtr = std::shared_ptr<Call>;

  struct Front
  {
    VmId m_vm;
    Incarnation m_incarnation = 0;
    routing::ForwardTable m_forwards;
    routing::AtMostOnce m_once;
    table::GroupCommit m_commit;
    routing::SliceChooser m_slices;
    std::map<CallId, CallPtr> m_calls{};
    std::set<CallId> m_seen{};
    std::map<table::RecordId, std::pair<CallId, Step>> m_records{};
    bool m_stopping = false;
  };
  using FrontPtr = std::shared_ptr<Front>;

  /// One slice at one owner in one epoch.
  struct Slot
  {
    VmId m_owner;
    Incarnation m_incarnation = 0;
    SliceId m_slice;
    Epoch m_epoch = 0;
    std::unique_ptr<routing::RequestRouter> m_router;
    std::map<routing::RequestId, CallPtr> m_calls;
    std::map<routing::RequestId, std::string> m_attempts; ///< open ones
  };
  using SlotPtr = std::shared_ptr<Slot>;

  struct Endpoint
  {
    SliceId m_slice;
    std::optional<Time> m_leavingSince;
    std::optional<Time> m_goneSince;
    Time m_refusesUntil{};
    bool m_refusesWhenLeaving = false;
    std::map<std::string, std::pair<SlotPtr, Event>> m_running;
    std::set<std::string> m_seen;
  };

  template<typename Map, typename Key>
  static int Count(const Map& aMap, const Key& aKey)
  {
    const auto found = aMap.find(aKey);
    return found == aMap.end() ? 0 : found->second;
  }

  Time Now() const { return m_queue.Now(); }
  int Pick(int aBelow)
  {
    return std::uniform_int_distribution<int>(0, aBelow - 1)(m_random);
  }
  static VmId Vm(const char* aKind, int aIndex)
  {
    return VmId(aKind + std::to_string(aIndex));
  }
  Event& Record(EventKind aKind)
  {
    Event& event = m_history.emplace_back();
    event.m_kind = aKind;
    event.m_at = Now();
    return event;
  }

  // ---- Set-up ----

  void SetUp()
  {
    m_processes.Start(m_client);
    // In some schedules reads of the table are stale.
    m_table.Faults().m_readLag = milliseconds(Pick(3) == 0 ? 200 : 0);
    for (int slice = 0; slice < 2; ++slice) {
      const SliceId id("s" + std::to_string(slice));
      for (int index = 0; index < 2; ++index) {
        AddEndpoint(Vm("e", 2 * slice + index), id);
      }
      for (const auto& [team, allotment] : m_allotments) {
        Event& event = Record(EventKind::AllotmentSet);
        event.m_slice = id;
        event.m_team = team;
        event.m_number = allotment;
      }
    }
    for (int index = 0; index < kFronts; ++index) {
      StartFront(Vm("f", index));
    }
    for (int index = 0; index < 2; ++index) {
      m_processes.Start(Vm("o", index));
      m_lease[Vm("o", index)] = Now() + kLease;
      TakeSlice(
        SliceId("s" + std::to_string(index)), Vm("o", index), NoCounts());
    }
    Every(milliseconds(100), [this] { Membership(); });
    Every(milliseconds(10), [this] { TickAll(); });
    for (int index = 0; index < 2; ++index) {
      m_queue.After(milliseconds(100 + Pick(900)), [this, index] {
        Every(seconds(1), [this, index] { PollList(Vm("o", index)); });
      });
    }
    PlanBackground();
  }

  /// Every schedule has a refusing, a crashing and a leaving endpoint, and by
  /// the seed planned stops, so that each step is reached.
  void PlanBackground()
  {
    m_queue.At(Time() + milliseconds(600), [this] { Refuse(Vm("e", 0)); });
    m_queue.At(Time() + milliseconds(1100), [this] { Crash(Vm("e", 2)); });
    m_queue.At(Time() + milliseconds(1800 + Pick(500)),
               [this] { Leave(Vm("e", 1)); });
    m_queue.At(Time() + milliseconds(400), [this] { Burst(); });
    const int stops = Pick(4);
    if ((stops & 1) != 0) {
      m_queue.At(Time() + milliseconds(700 + Pick(1500)),
                 [this] { StopFront(Vm("f", 2)); });
    }
    if ((stops & 2) != 0) {
      m_queue.At(Time() + milliseconds(700 + Pick(1500)),
                 [this] { StopOwner(Vm("o", 0)); });
    }
  }

  void Every(Duration aPeriod, const std::function<void()>& aFunction)
  {
    aFunction();
    m_queue.After(aPeriod,
                  [this, aPeriod, aFunction] { Every(aPeriod, aFunction); });
  }

  void AddEndpoint(const VmId& aVm, const SliceId& aSlice)
  {
    m_processes.Start(aVm);
    m_endpoints[aVm].m_slice = aSlice;
    m_endpoints[aVm].m_refusesWhenLeaving = Pick(2) == 0;
    Event& event = Record(EventKind::SlotsSet);
    event.m_vm = aVm;
    event.m_number = kSlots;
  }

  void StartFront(const VmId& aVm)
  {
    const Incarnation incarnation = m_processes.Start(aVm);
    routing::ForwardOptions forwards;
    forwards.m_safeguards = m_options.m_safeguards;
    routing::OnceOptions once;
    once.m_safeguards = m_options.m_safeguards;
    table::GroupCommitOptions commit;
    commit.m_readBackUnknown = m_options.m_safeguards.m_readBackUnknown;
    m_fronts[aVm] = std::make_shared<Front>(
      Front{ aVm,
             incarnation,
             routing::ForwardTable(forwards),
             routing::AtMostOnce(
               aVm.Value() + "-" + std::to_string(incarnation), once),
             table::GroupCommit(commit),
             routing::SliceChooser(RegionId("r"), m_random()) });
    m_fronts[aVm]->m_commit.SetMembers(kFronts);
  }

  // ---- Faults ----

  /// Announces a step of a process towards a peer.
  void Announce(Step aStep, const VmId& aSelf, const VmId& aPeer)
  {
    const int nth = ++m_reached[aStep];
    for (const FaultPoint& point : m_options.m_faults) {
      if (point.m_step == aStep && point.m_nth == nth) {
        ++m_faultsHit;
        Inject(point.m_fault, aSelf, aPeer);
      }
    }
  }

  /// The process of a kind that takes part in the step, or the first one.
  VmId Involved(const char* aKind, const VmId& aSelf, const VmId& aPeer) const
  {
    for (const VmId& vm : { aSelf, aPeer }) {
      if (vm.Value().starts_with(aKind)) {
        return vm;
      }
    }
    return Vm(aKind, 0);
  }

  void Inject(Fault aFault, const VmId& aSelf, const VmId& aPeer)
  {
    using fakes::SingleFault;
    switch (aFault) {
      case Fault::FrontKilled:
        return KillFront(Involved("f", aSelf, aPeer));
      case Fault::FrontPaused:
        return Pause(Involved("f", aSelf, aPeer));
      case Fault::OwnerKilled:
        return KillOwner(Involved("o", aSelf, aPeer));
      case Fault::OwnerPaused:
        return Pause(Involved("o", aSelf, aPeer));
      case Fault::MessageLost:
        return m_network.FaultNext(SingleFault::Lose);
      case Fault::MessageDelayed:
        return m_network.FaultNext(SingleFault::Delay);
      case Fault::MessageDuplicated:
        return m_network.FaultNext(SingleFault::Duplicate);
      case Fault::MessageReordered:
        return m_network.FaultNext(SingleFault::Reorder);
      case Fault::LinkCutOneWay:
        return Cut(aSelf, aPeer);
      case Fault::LinkCutBothWays:
        Cut(aSelf, aPeer);
        return Cut(aPeer, aSelf);
      case Fault::EndpointLeaving:
        return Leave(Involved("e", aSelf, aPeer));
      case Fault::EndpointFailing:
        return Crash(Involved("e", aSelf, aPeer));
      case Fault::EndpointRefusing:
        return Refuse(Involved("e", aSelf, aPeer));
      case Fault::AnswerTruncated:
        m_truncateNext = true;
        return;
      default:
        return InjectService(aFault);
    }
  }

  void InjectService(Fault aFault)
  {
    fakes::TableFaults& faults = m_table.Faults();
    if (aFault == Fault::ListLagging) {
      m_listLag += seconds(2);
      return;
    }
    faults.m_down = aFault == Fault::StoreDown;
    faults.m_loseAnswers = aFault == Fault::StoreAnswerLost;
    // Slower than the timeout: writes take effect after their caller gave up.
    faults.m_delay = aFault == Fault::StoreSlow ? 2 * kStoreTimeout
                                                : Duration(milliseconds(1));
    m_queue.After(kFaultTime, [this] {
      const Duration lag = m_table.Faults().m_readLag;
      m_table.Faults() = fakes::TableFaults();
      m_table.Faults().m_readLag = lag;
    });
  }

  void Cut(const VmId& aFrom, const VmId& aTo)
  {
    m_network.SetCut(aFrom, aTo, true);
    m_queue.After(kFaultTime,
                  [this, aFrom, aTo] { m_network.SetCut(aFrom, aTo, false); });
  }

  void Pause(const VmId& aVm)
  {
    if (!m_processes.IsAlive(aVm) || m_processes.IsPaused(aVm)) {
      return;
    }
    m_processes.Pause(aVm);
    // One pause ends within the lease, the other after the takeover.
    const Duration length = Pick(2) == 0 ? seconds(1) : seconds(4);
    m_queue.After(length, [this, aVm] {
      Record(EventKind::Woken).m_vm = aVm;
      m_processes.Wake(aVm);
    });
  }

  void KillFront(const VmId& aVm)
  {
    if (!m_processes.IsAlive(aVm)) {
      return;
    }
    m_processes.Kill(aVm);
    Record(EventKind::Killed).m_vm = aVm;
    for (const auto& [id, call] : m_fronts[aVm]->m_calls) {
      m_queue.After(milliseconds(5),
                    [this, call = call] { EndAtCaller(call, true); });
    }
    m_queue.After(kFaultTime, [this, aVm] { StartFront(aVm); });
  }

  void KillOwner(const VmId& aVm)
  {
    if (!m_processes.IsAlive(aVm)) {
      return;
    }
    m_processes.Kill(aVm);
    Record(EventKind::Killed).m_vm = aVm;
    m_stoppingOwners.erase(aVm);
    m_seen.erase(aVm);
    std::erase_if(m_slots,
                  [&](const SlotPtr& aSlot) { return aSlot->m_owner == aVm; });
    m_queue.After(milliseconds(5), [this, aVm] {
      for (const auto& [vm, front] : m_fronts) {
        Carry(front->m_vm, front->m_incarnation, [this, front = front, aVm] {
          ApplyOutcomes(front, front->m_forwards.OnOwnerLost(Now(), aVm));
        });
      }
    });
    m_queue.After(kFaultTime, [this, aVm] { m_processes.Start(aVm); });
  }

  void Refuse(const VmId& aVm)
  {
    m_endpoints[aVm].m_refusesUntil = Now() + milliseconds(300);
  }

  void Leave(const VmId& aVm)
  {
    Endpoint& endpoint = m_endpoints[aVm];
    if (endpoint.m_leavingSince) {
      return;
    }
    endpoint.m_leavingSince = Now();
    Event& event = Record(EventKind::EndpointLeaving);
    event.m_vm = aVm;
    const Duration lag =
      m_listLag +
      (Plans(Fault::ListLagging) ? Duration(seconds(2)) : Duration::zero());
    event.m_number = (lag + seconds(1) + milliseconds(50)).count();
    m_queue.After(seconds(4), [this, aVm] {
      Crash(aVm);
      m_endpoints[aVm].m_goneSince = Now();
    });
  }

  bool Plans(Fault aFault) const
  {
    return std::any_of(
      m_options.m_faults.begin(),
      m_options.m_faults.end(),
      [&](const FaultPoint& aPoint) { return aPoint.m_fault == aFault; });
  }

  /// Kills the endpoint's process; what runs there ends and its owner sees the
  /// connections break.
  void Crash(const VmId& aVm)
  {
    Endpoint& endpoint = m_endpoints[aVm];
    if (!m_processes.IsAlive(aVm)) {
      return;
    }
    m_processes.Kill(aVm);
    for (const auto& [attempt, run] : endpoint.m_running) {
      RecordRun(EventKind::RunEnd, run.second);
      m_queue.After(
        milliseconds(5), [this, slot = run.first, event = run.second] {
          Carry(slot->m_owner, slot->m_incarnation, [this, slot, event] {
            FailAttempt(slot, event, Verdict::MayHaveRun);
          });
        });
    }
    endpoint.m_running.clear();
    m_queue.After(milliseconds(700), [this, aVm] {
      if (!m_endpoints[aVm].m_goneSince) {
        m_processes.Start(aVm);
      }
    });
  }

  // ---- Carrying out effects ----

  void Carry(const VmId& aVm,
             Incarnation aIncarnation,
             std::function<void()> aFunction)
  {
    m_processes.Deliver(aVm, aIncarnation, std::move(aFunction));
  }

  /// Announces the step and sends a message to the present incarnation.
  void Message(Step aStep,
               const VmId& aFrom,
               Incarnation aFromIncarnation,
               const VmId& aTo,
               const std::function<void()>& aArrive)
  {
    Announce(aStep, aFrom, aTo);
    const Incarnation receiver = m_processes.CurrentIncarnation(aTo);
    Carry(aFrom, aFromIncarnation, [this, aFrom, aTo, receiver, aArrive] {
      m_network.Send(aFrom, aTo, [this, aTo, receiver, aArrive] {
        if (m_processes.CurrentIncarnation(aTo) == receiver) {
          aArrive();
        }
      });
    });
  }

  // ---- Callers ----

  CallPtr MakeCall(int aCaller)
  {
    auto call = std::make_shared<Call>();
    call->m_caller = aCaller;
    call->m_team = TeamId(aCaller % 2 == 0 ? "a" : "b");
    call->m_body = "body " + std::to_string(++m_bodies);
    if (Pick(3) != 0) {
      call->m_key = "key" + std::to_string(m_bodies);
    }
    call->m_class = static_cast<RequestClass>(Pick(3));
    call->m_deadline = milliseconds(300 + Pick(1500));
    call->m_repeatsLeft = kRepeats;
    return call;
  }

  /// More calls at once than the queues hold, so that some are refused.
  void Burst()
  {
    for (int caller = 0; caller < kBurst; ++caller) {
      const CallPtr call = MakeCall(caller);
      call->m_followUp = false;
      Submit(call);
    }
  }

  void NextCall(int aCaller, int aLeft)
  {
    if (aLeft == 0) {
      return;
    }
    m_queue.After(milliseconds(20 + Pick(400)), [this, aCaller, aLeft] {
      const CallPtr call = MakeCall(aCaller);
      m_left[aCaller] = aLeft - 1;
      Submit(call);
      if (!call->m_key.empty() && Pick(4) == 0) {
        // The same request arrives through another front at the same time.
        auto twin = std::make_shared<Call>(*call);
        twin->m_followUp = false;
        twin->m_repeatsLeft = 0;
        Submit(twin);
      }
    });
  }

  void Submit(const CallPtr& aCall)
  {
    aCall->m_id = ++m_calls;
    std::vector<FrontPtr> up;
    for (const auto& [vm, front] : m_fronts) {
      if (m_processes.IsAlive(vm) && !front->m_stopping &&
          front->m_vm != aCall->m_front) {
        up.push_back(front);
      }
    }
    Event& start = Record(EventKind::CallStart);
    Describe(start, *aCall);
    start.m_body = aCall->m_body;
    start.m_flag = aCall->m_key.empty();
    if (!up.empty()) {
      const FrontPtr front = up[Pick(static_cast<int>(up.size()))];
      aCall->m_front = front->m_vm;
      Message(Step::FrontReceive,
              m_client,
              m_processes.CurrentIncarnation(m_client),
              front->m_vm,
              [this, front, aCall] { Take(front, aCall); });
    }
    m_queue.After(aCall->m_deadline + milliseconds(600),
                  [this, aCall] { EndAtCaller(aCall, true); });
  }

  static void Describe(Event& aEvent, const Call& aCall)
  {
    aEvent.m_call = aCall.m_id;
    aEvent.m_key = aCall.m_key;
    aEvent.m_team = aCall.m_team;
  }

  /// The caller got a reply or gave up; it repeats unless it has the answer.
  void EndAtCaller(const CallPtr& aCall, bool aFailed)
  {
    if (aCall->m_closed) {
      return;
    }
    aCall->m_closed = true;
    Describe(Record(EventKind::CallEnded), *aCall);
    if (aFailed && aCall->m_repeatsLeft > 0) {
      auto repeat = std::make_shared<Call>(*aCall);
      repeat->m_closed = false;
      --repeat->m_repeatsLeft;
      m_queue.After(milliseconds(20 + Pick(200)),
                    [this, repeat] { Submit(repeat); });
      return;
    }
    m_answered += aFailed ? 0 : 1;
    if (aCall->m_followUp) {
      NextCall(aCall->m_caller, m_left[aCall->m_caller]);
    }
  }

  // ---- Fronts ----

  void Take(const FrontPtr& aFront, const CallPtr& aCall)
  {
    // A request whose caller has closed the connection is not taken.
    if (aCall->m_closed || !aFront->m_seen.insert(aCall->m_id).second) {
      return;
    }
    aFront->m_calls[aCall->m_id] = aCall;
    Event& taken = Record(EventKind::CallTaken);
    Describe(taken, *aCall);
    taken.m_vm = aFront->m_vm;
    const Time deadline = Now() + aCall->m_deadline;
    if (aCall->m_key.empty()) {
      aFront->m_forwards.Open(aCall->m_id, deadline, true);
      Forward(aFront, aCall, {});
      return;
    }
    ApplyOnce(aFront,
              aFront->m_once.Begin(
                Now(), aCall->m_id, aCall->m_team, aCall->m_key, deadline));
  }

  void Forward(const FrontPtr& aFront,
               const CallPtr& aCall,
               const std::set<SliceId>& aTried)
  {
    std::vector<routing::SliceLoad> loads;
    for (const auto& [slice, slot] : m_ownerOf) {
      loads.push_back({ slice,
                        slot->m_owner,
                        RegionId("r"),
                        0.0,
                        m_processes.IsAlive(slot->m_owner) });
    }
    const auto chosen = aFront->m_slices.Choose(loads, aTried);
    if (!chosen) {
      ApplyOutcomes(aFront, { aFront->m_forwards.GiveUp(aCall->m_id) });
      return;
    }
    routing::Request request;
    request.m_id = { aFront->m_vm,
                     aFront->m_incarnation,
                     aFront->m_forwards.Send(
                       aCall->m_id, chosen->m_slice, chosen->m_owner) };
    request.m_team = aCall->m_team;
    request.m_class = aCall->m_class;
    request.m_idempotent = aCall->m_key.empty();
    const Duration remaining = aCall->m_deadline;
    Message(Step::FrontForward,
            aFront->m_vm,
            aFront->m_incarnation,
            chosen->m_owner,
            [this, aFront, aCall, request, remaining, chosen] {
              Admit(aFront, aCall, request, remaining, *chosen);
            });
  }

  void ApplyOutcomes(const FrontPtr& aFront,
                     const routing::ForwardOutcomes& aOutcomes)
  {
    for (const routing::ForwardOutcome& outcome : aOutcomes) {
      if (const auto* again = std::get_if<routing::TryElsewhere>(&outcome)) {
        Forward(aFront, aFront->m_calls.at(again->m_call), again->m_tried);
      } else if (const auto* fail = std::get_if<routing::FailCall>(&outcome)) {
        EndForward(aFront, fail->m_call, { {}, fail->m_error, {} });
      } else {
        const auto& answer = std::get<routing::DeliverAnswer>(outcome);
        EndForward(aFront, answer.m_call, { answer.m_answer, {}, {} });
      }
    }
  }

  void EndForward(const FrontPtr& aFront,
                  CallId aCall,
                  const routing::OwnerReply& aReply)
  {
    if (aFront->m_calls.at(aCall)->m_key.empty()) {
      Reply(aFront, aCall, aReply);
      return;
    }
    ApplyOnce(aFront, aFront->m_once.OnForwardEnd(Now(), aCall, aReply));
  }

  void Reply(const FrontPtr& aFront,
             CallId aCall,
             const routing::OwnerReply& aReply)
  {
    const CallPtr call = aFront->m_calls.at(aCall);
    aFront->m_calls.erase(aCall);
    Announce(Step::FrontReply, aFront->m_vm, m_client);
    Carry(aFront->m_vm, aFront->m_incarnation, [this, aFront, call, aReply] {
      Event& event = Record(EventKind::CallReply);
      Describe(event, *call);
      event.m_flag = aReply.m_answer.has_value();
      event.m_verdict = aReply.m_error.m_verdict;
      event.m_body = aReply.m_answer ? aReply.m_answer->m_body : "";
      Event& done = Record(EventKind::CallDone);
      Describe(done, *call);
      done.m_vm = aFront->m_vm;
      const bool failed = !aReply.m_answer;
      m_network.Send(aFront->m_vm, m_client, [this, call, failed] {
        EndAtCaller(call, failed);
      });
    });
  }

  void ApplyOnce(const FrontPtr& aFront, const routing::OnceActions& aActions)
  {
    for (const routing::OnceAction& action : aActions) {
      if (const auto* write = std::get_if<routing::WriteRecord>(&action)) {
        const auto record = aFront->m_commit.Add({ write->m_key,
                                                   write->m_expected,
                                                   write->m_value,
                                                   write->m_deadline });
        aFront->m_records[*record] = { write->m_call, write->m_step };
      } else if (const auto* read = std::get_if<routing::ReadRecord>(&action)) {
        ReadRow(aFront, *read);
      } else if (const auto* call =
                   std::get_if<routing::ForwardCall>(&action)) {
        const CallPtr found = aFront->m_calls.at(call->m_call);
        aFront->m_forwards.Open(found->m_id, Now() + found->m_deadline, false);
        Forward(aFront, found, {});
      } else {
        const auto& reply = std::get<routing::ReplyToCaller>(action);
        Reply(aFront, reply.m_call, reply.m_reply);
      }
    }
    ApplyCommit(aFront, aFront->m_commit.OnTick(Now()));
  }

  void ReadRow(const FrontPtr& aFront, const routing::ReadRecord& aRead)
  {
    Announce(Step::FrontReadRecord, aFront->m_vm, m_client);
    Carry(aFront->m_vm, aFront->m_incarnation, [this, aFront, aRead] {
      m_table.Fetch(aFront->m_vm,
                    { { aRead.m_key }, {} },
                    kStoreTimeout,
                    [this, aFront, aRead](const table::ReadResult& aResult) {
                      OnRow(aFront, aRead, aResult);
                    });
    });
  }

  void OnRow(const FrontPtr& aFront,
             const routing::ReadRecord& aRead,
             const table::ReadResult& aResult)
  {
    Announce(Step::FrontRecordRead, aFront->m_vm, m_client);
    std::optional<table::Row> row;
    if (aResult.m_ok) {
      const auto found = aResult.m_rows.find(aRead.m_key);
      row = found == aResult.m_rows.end() ? table::Row() : found->second;
    }
    ApplyOnce(aFront, aFront->m_once.OnRead(Now(), aRead.m_call, row));
  }

  static Step ResultStep(Step aStep)
  {
    if (aStep == Step::FrontWriteInsert) {
      return Step::FrontInsertResult;
    }
    return aStep == Step::FrontWriteAnswer ? Step::FrontAnswerResult
                                           : Step::FrontDeleteResult;
  }

  void ApplyCommit(const FrontPtr& aFront,
                   const table::GroupCommitEffects& aEffects)
  {
    if (aEffects.m_commit) {
      AnnounceWrites(aFront, aEffects.m_commit->m_commit);
      Carry(aFront->m_vm,
            aFront->m_incarnation,
            [this, aFront, batch = *aEffects.m_commit] {
              SubmitBatch(aFront, batch);
            });
    }
    if (aEffects.m_read) {
      Announce(Step::FrontReadRecord, aFront->m_vm, m_client);
      Carry(aFront->m_vm,
            aFront->m_incarnation,
            [this, aFront, batch = *aEffects.m_read] {
              m_table.Fetch(aFront->m_vm,
                            batch.m_read,
                            kStoreTimeout,
                            [this, aFront, batch](const auto& aResult) {
                              ApplyCommit(aFront,
                                          aFront->m_commit.OnReadResult(
                                            Now(), batch.m_operation, aResult));
                            });
            });
    }
    for (const table::RecordResult& result : aEffects.m_results) {
      const auto [call, step] = aFront->m_records.at(result.m_record);
      aFront->m_records.erase(result.m_record);
      Announce(ResultStep(step), aFront->m_vm, m_client);
      ApplyOnce(aFront,
                aFront->m_once.OnWritten(
                  Now(), call, step, result.m_state, result.m_version));
    }
  }

  void SubmitBatch(const FrontPtr& aFront, const table::CommitBatch& aBatch)
  {
    m_table.Submit(aFront->m_vm,
                   aBatch.m_commit,
                   kStoreTimeout,
                   [this, aFront, id = aBatch.m_operation](
                     const table::CommitResult& aResult) {
                     ApplyCommit(
                       aFront,
                       aFront->m_commit.OnCommitResult(Now(), id, aResult));
                   });
  }

  void AnnounceWrites(const FrontPtr& aFront, const table::Commit& aCommit)
  {
    if (!aCommit.m_deletes.empty()) {
      Announce(Step::FrontDeleteRecord, aFront->m_vm, m_client);
    }
    bool insert = false;
    bool answer = false;
    for (const table::Put& put : aCommit.m_puts) {
      const bool started = put.m_value.find("started") != std::string::npos;
      insert |= started;
      answer |= !started;
    }
    if (insert) {
      Announce(Step::FrontWriteInsert, aFront->m_vm, m_client);
    }
    if (answer) {
      Announce(Step::FrontWriteAnswer, aFront->m_vm, m_client);
    }
  }

  void StopFront(const VmId& aVm)
  {
    if (!m_processes.IsAlive(aVm)) {
      return;
    }
    const FrontPtr front = m_fronts[aVm];
    front->m_stopping = true;
    Record(EventKind::StopBegin).m_vm = aVm;
    Every(milliseconds(50), [this, front] {
      Carry(front->m_vm, front->m_incarnation, [this, front] {
        if (front->m_calls.empty() && front->m_once.size() == 0) {
          Record(EventKind::StopExit).m_vm = front->m_vm;
          KillFront(front->m_vm);
        }
      });
    });
  }

  // ---- Owners ----

  static std::optional<routing::BusyCounts> NoCounts()
  {
    return routing::BusyCounts();
  }

  /// Makes the VM the owner of the slice; counts are given by a planned
  /// release.
  void TakeSlice(const SliceId& aSlice,
                 const VmId& aOwner,
                 const std::optional<routing::BusyCounts>& aCounts)
  {
    routing::RouterOptions options;
    options.m_safeguards = m_options.m_safeguards;
    options.m_queue.m_maxPerClass = { 2, 2, 2 };
    options.m_queue.m_maxTotal = 3;
    auto slot = std::make_shared<Slot>();
    slot->m_owner = aOwner;
    slot->m_incarnation = m_processes.CurrentIncarnation(aOwner);
    slot->m_slice = aSlice;
    slot->m_epoch = ++m_epochs[aSlice];
    slot->m_router = std::make_unique<routing::RequestRouter>(
      Now(), options, m_options.m_seed);
    if (aCounts) {
      slot->m_router->Adopt(Now(), *aCounts);
    }
    slot->m_router->SetAuthorityEnd(Now(), m_lease[aOwner]);
    for (const auto& [team, allotment] : m_allotments) {
      slot->m_router->SetAllotment(Now(), team, allotment);
    }
    m_slots.push_back(slot);
    m_ownerOf[aSlice] = slot;
    Apply(slot, slot->m_router->UpdateEndpoints(Now(), List(aSlice)));
  }

  bool CanOwn(const VmId& aVm) const
  {
    return m_processes.IsAlive(aVm) && !m_processes.IsPaused(aVm) &&
           !m_stoppingOwners.contains(aVm);
  }

  /// Renews leases and moves slices whose owner's lease has run out.
  void Membership()
  {
    for (int index = 0; index < 2; ++index) {
      const VmId vm = Vm("o", index);
      if (!m_processes.IsAlive(vm) || m_processes.IsPaused(vm)) {
        continue;
      }
      m_lease[vm] = Now() + kLease;
      for (const SlotPtr& slot : Slots()) {
        if (slot->m_owner == vm && m_ownerOf[slot->m_slice] == slot) {
          Apply(slot, slot->m_router->SetAuthorityEnd(Now(), m_lease[vm]));
        }
      }
    }
    for (int index = 0; index < 2; ++index) {
      const SliceId slice("s" + std::to_string(index));
      const SlotPtr slot = m_ownerOf[slice];
      // A new incarnation has a lease of its own, not that of the old one.
      const bool lapsed =
        Now() > slot->m_router->AuthorityEnd() + kTakeoverMargin;
      const VmId next = CanOwn(Vm("o", 0)) ? Vm("o", 0) : Vm("o", 1);
      if (lapsed && CanOwn(next)) {
        TakeSlice(slice, next, std::nullopt);
      }
    }
  }

  std::vector<SlotPtr> Slots() const { return m_slots; }

  void PollList(const VmId& aOwner)
  {
    Announce(Step::OwnerListRead, aOwner, m_client);
    const Incarnation incarnation = m_processes.CurrentIncarnation(aOwner);
    Carry(aOwner, incarnation, [this, aOwner] {
      for (const SlotPtr& slot : Slots()) {
        if (slot->m_owner == aOwner) {
          Apply(slot,
                slot->m_router->UpdateEndpoints(Now(), List(slot->m_slice)));
        }
      }
    });
  }

  /// The lagging VM list.
  std::vector<routing::EndpointInfo> List(const SliceId& aSlice) const
  {
    const Time at = Now() - m_listLag;
    std::vector<routing::EndpointInfo> list;
    for (const auto& [vm, endpoint] : m_endpoints) {
      const bool gone = endpoint.m_goneSince && *endpoint.m_goneSince <= at;
      if (endpoint.m_slice == aSlice && !gone) {
        list.push_back(
          { vm,
            kSlots,
            64,
            endpoint.m_leavingSince && *endpoint.m_leavingSince <= at });
      }
    }
    return list;
  }

  void Admit(const FrontPtr& aFront,
             const CallPtr& aCall,
             routing::Request aRequest,
             Duration aRemaining,
             const routing::SliceLoad& aTo)
  {
    Announce(Step::OwnerAdmit, aTo.m_owner, aFront->m_vm);
    // A duplicate must not be refused as "not owner" after the slice has moved.
    if (!m_seen[aTo.m_owner].Insert(Now(), aRequest.m_id)) {
      return;
    }
    const SlotPtr slot = m_ownerOf[aTo.m_slice];
    if (slot->m_owner != aTo.m_owner ||
        slot->m_incarnation != m_processes.CurrentIncarnation(aTo.m_owner)) {
      SendReply(Step::OwnerRefuse,
                aTo.m_owner,
                aRequest.m_id,
                { {}, { Verdict::NotRun, ErrorCode::NotOwner, "moved" }, {} });
      return;
    }
    aRequest.m_deadline = Now() + aRemaining;
    slot->m_calls[aRequest.m_id] = aCall;
    Apply(slot, slot->m_router->Admit(Now(), aRequest));
  }

  void Apply(const SlotPtr& aSlot, const routing::Actions& aActions)
  {
    for (const routing::Action& action : aActions) {
      if (const auto* dispatch = std::get_if<routing::Dispatch>(&action)) {
        Send(aSlot, *dispatch);
      } else if (const auto* probe = std::get_if<routing::Probe>(&action)) {
        SendProbe(aSlot, probe->m_query);
      } else if (const auto* answer = std::get_if<routing::Answer>(&action)) {
        EndAttempt(aSlot, answer->m_request);
        SendReply(Step::OwnerRelay,
                  aSlot->m_owner,
                  answer->m_request,
                  { answer->m_answer, {}, {} });
      } else {
        const auto& refuse = std::get<routing::Refuse>(action);
        EndAttempt(aSlot, refuse.m_request);
        SendReply(Step::OwnerRefuse,
                  aSlot->m_owner,
                  refuse.m_request,
                  { {}, refuse.m_error, refuse.m_retryAfter });
      }
    }
  }

  void EndAttempt(const SlotPtr& aSlot, const routing::RequestId& aRequest)
  {
    const auto found = aSlot->m_attempts.find(aRequest);
    if (found == aSlot->m_attempts.end()) {
      return;
    }
    Event& event = Record(EventKind::AttemptEnded);
    event.m_owner = aSlot->m_owner;
    event.m_attempt = found->second;
    aSlot->m_attempts.erase(found);
  }

  void SendReply(Step aStep,
                 const VmId& aOwner,
                 const routing::RequestId& aRequest,
                 const routing::OwnerReply& aReply)
  {
    Message(aStep,
            aOwner,
            m_processes.CurrentIncarnation(aOwner),
            aRequest.m_front,
            [this, aOwner, aRequest, aReply] {
              const FrontPtr front = m_fronts[aRequest.m_front];
              if (front->m_incarnation != aRequest.m_incarnation) {
                return;
              }
              Announce(Step::FrontOwnerReply, front->m_vm, aOwner);
              ApplyOutcomes(
                front,
                front->m_forwards.OnReply(Now(), aRequest.m_number, aReply));
            });
  }

  void Send(const SlotPtr& aSlot, const routing::Dispatch& aDispatch)
  {
    const CallPtr call = aSlot->m_calls.at(aDispatch.m_request);
    Event run;
    Describe(run, *call);
    run.m_body = call->m_body;
    run.m_slice = aSlot->m_slice;
    run.m_vm = aDispatch.m_endpoint;
    run.m_owner = aSlot->m_owner;
    run.m_number = static_cast<std::int64_t>(aDispatch.m_attempt);
    run.m_attempt = aSlot->m_slice.Value() + "-" +
                    std::to_string(aSlot->m_epoch) + "-" +
                    std::to_string(aDispatch.m_attempt);
    Announce(Step::OwnerDispatch, aSlot->m_owner, run.m_vm);
    Carry(aSlot->m_owner,
          aSlot->m_incarnation,
          [this, aSlot, run, request = aDispatch.m_request] {
            SendNow(aSlot, run, request);
          });
  }

  void SendNow(const SlotPtr& aSlot,
               const Event& aRun,
               const routing::RequestId& aRequest)
  {
    if (Now() >= aSlot->m_router->AuthorityEnd() ||
        !m_processes.IsAlive(aRun.m_vm)) {
      // Nothing left: the authority has ended or the connection is refused.
      m_queue.After(milliseconds(1), [this, aSlot, aRun] {
        Carry(aSlot->m_owner, aSlot->m_incarnation, [this, aSlot, aRun] {
          FailAttempt(aSlot, aRun, Verdict::NotRun);
        });
      });
      return;
    }
    aSlot->m_attempts[aRequest] = aRun.m_attempt;
    RecordRun(EventKind::DispatchSent, aRun);
    const Incarnation receiver = m_processes.CurrentIncarnation(aRun.m_vm);
    m_network.Send(aSlot->m_owner, aRun.m_vm, [this, aSlot, aRun, receiver] {
      if (m_processes.CurrentIncarnation(aRun.m_vm) == receiver) {
        StartRun(aSlot, aRun);
      }
    });
  }

  void FailAttempt(const SlotPtr& aSlot, const Event& aRun, Verdict aVerdict)
  {
    Announce(Step::OwnerFailure, aSlot->m_owner, aRun.m_vm);
    RecordRun(EventKind::AttemptEnded, aRun);
    Apply(aSlot,
          aSlot->m_router->OnEndpointFailure(
            Now(),
            static_cast<routing::AttemptId>(aRun.m_number),
            { aVerdict, "connection broke" }));
  }

  void SendProbe(const SlotPtr& aSlot, const routing::StatusQuery& aQuery)
  {
    const auto done = std::make_shared<bool>(false);
    const auto finish =
      [this, aSlot, aQuery, done](
        const std::optional<routing::EndpointStatus>& aStatus) {
        if (std::exchange(*done, true)) {
          return;
        }
        Announce(Step::OwnerStatus, aSlot->m_owner, aQuery.m_vm);
        Apply(aSlot, aSlot->m_router->OnEndpointStatus(Now(), aQuery, aStatus));
      };
    Message(Step::OwnerProbe,
            aSlot->m_owner,
            aSlot->m_incarnation,
            aQuery.m_vm,
            [this, aSlot, aQuery, finish] {
              const Endpoint& endpoint = m_endpoints[aQuery.m_vm];
              const routing::EndpointStatus status{
                kSlots,
                static_cast<int>(endpoint.m_running.size()),
                endpoint.m_refusesWhenLeaving &&
                  endpoint.m_leavingSince.has_value()
              };
              m_network.Send(aQuery.m_vm, aSlot->m_owner, [finish, status] {
                finish(status);
              });
            });
    m_queue.After(kStoreTimeout, [this, aSlot, finish] {
      Carry(aSlot->m_owner, aSlot->m_incarnation, [finish] {
        finish(std::nullopt);
      });
    });
  }

  void StopOwner(const VmId& aVm)
  {
    if (!CanOwn(aVm)) {
      return;
    }
    m_stoppingOwners.insert(aVm);
    Record(EventKind::StopBegin).m_vm = aVm;
    const Incarnation incarnation = m_processes.CurrentIncarnation(aVm);
    for (const SlotPtr& slot : Slots()) {
      if (slot->m_owner == aVm) {
        Apply(slot, slot->m_router->BeginDrain(Now()));
        Release(slot);
      }
    }
    Every(milliseconds(50), [this, aVm, incarnation] {
      Carry(aVm, incarnation, [this, aVm] { ContinueStop(aVm); });
    });
  }

  void Release(const SlotPtr& aSlot)
  {
    const VmId next = Vm("o", 0) == aSlot->m_owner ? Vm("o", 1) : Vm("o", 0);
    if (m_ownerOf[aSlot->m_slice] == aSlot && CanOwn(next)) {
      TakeSlice(aSlot->m_slice, next, aSlot->m_router->CountBusy());
    }
  }

  void ContinueStop(const VmId& aVm)
  {
    bool drained = true;
    for (const SlotPtr& slot : Slots()) {
      if (slot->m_owner != aVm) {
        continue;
      }
      Release(slot);
      drained &= slot->m_router->IsDrained();
      const SlotPtr next = m_ownerOf[slot->m_slice];
      if (next != slot && next->m_epoch == slot->m_epoch + 1) {
        m_network.Send(aVm,
                       next->m_owner,
                       [this, next, counts = slot->m_router->CountBusy()] {
                         Apply(next,
                               next->m_router->OnEarlierOwner(Now(), counts));
                       });
      }
    }
    if (drained && m_stoppingOwners.contains(aVm)) {
      Record(EventKind::StopExit).m_vm = aVm;
      // The last answers are on their way when the process closes.
      m_stoppingOwners.erase(aVm);
      m_queue.After(milliseconds(20), [this, aVm] { KillOwner(aVm); });
    }
  }

  // ---- Endpoints ----

  void RecordRun(EventKind aKind, const Event& aRun)
  {
    Event event = aRun;
    event.m_kind = aKind;
    event.m_at = Now();
    m_history.push_back(std::move(event));
  }

  void StartRun(const SlotPtr& aSlot, const Event& aRun)
  {
    Announce(Step::EndpointStart, aRun.m_vm, aSlot->m_owner);
    Endpoint& endpoint = m_endpoints[aRun.m_vm];
    if (!m_processes.IsAlive(aRun.m_vm) ||
        !endpoint.m_seen.insert(aRun.m_attempt).second) {
      return;
    }
    if (Now() < endpoint.m_refusesUntil ||
        (endpoint.m_refusesWhenLeaving && endpoint.m_leavingSince)) {
      routing::EndpointAnswer refusal;
      refusal.m_status = 503;
      refusal.m_notRun = true;
      SendAnswer(aSlot, aRun, refusal);
      return;
    }
    RecordRun(EventKind::RunStart, aRun);
    endpoint.m_running[aRun.m_attempt] = { aSlot, aRun };
    m_queue.After(ServiceTime(), [this, aSlot, aRun] { EndRun(aSlot, aRun); });
  }

  Duration ServiceTime()
  {
    // Some runs outlast their request, their owner's lease and a takeover.
    if (Pick(30) == 0) {
      return seconds(7);
    }
    return milliseconds(Pick(8) == 0 ? 900 : 5 + Pick(120));
  }

  void EndRun(const SlotPtr& aSlot, const Event& aRun)
  {
    if (m_endpoints[aRun.m_vm].m_running.erase(aRun.m_attempt) == 0) {
      return;
    }
    RecordRun(EventKind::RunEnd, aRun);
    routing::EndpointAnswer answer;
    answer.m_status = 200;
    answer.m_body = ExpectedAnswer(aRun.m_body);
    answer.m_contentLength = answer.m_body.size();
    if (std::exchange(m_truncateNext, false)) {
      answer.m_body.resize(answer.m_body.size() / 2);
    }
    SendAnswer(aSlot, aRun, answer);
  }

  void SendAnswer(const SlotPtr& aSlot,
                  const Event& aRun,
                  const routing::EndpointAnswer& aAnswer)
  {
    Message(Step::EndpointAnswer,
            aRun.m_vm,
            m_processes.CurrentIncarnation(aRun.m_vm),
            aSlot->m_owner,
            [this, aSlot, aRun, aAnswer] {
              Announce(Step::OwnerAnswer, aSlot->m_owner, aRun.m_vm);
              RecordRun(EventKind::AttemptEnded, aRun);
              Apply(aSlot,
                    aSlot->m_router->OnEndpointAnswer(
                      Now(),
                      static_cast<routing::AttemptId>(aRun.m_number),
                      aRun.m_vm,
                      aAnswer));
            });
  }

  void TickAll()
  {
    for (const auto& [vm, front] : m_fronts) {
      Carry(vm, front->m_incarnation, [this, front = front] {
        ApplyOutcomes(front, front->m_forwards.OnTick(Now()));
        ApplyOnce(front, front->m_once.OnTick(Now()));
      });
    }
    for (const SlotPtr& slot : Slots()) {
      Carry(slot->m_owner, slot->m_incarnation, [this, slot] {
        Apply(slot, slot->m_router->OnTick(Now()));
      });
    }
  }

  WorldOptions m_options;
  std::mt19937_64 m_random;
  fakes::EventQueue m_queue;
  fakes::ProcessSet m_processes;
  fakes::FaultyNetwork m_network;
  fakes::FaultyTable m_table;
  const VmId m_client{ "client" };
  const std::map<TeamId, int> m_allotments = { { TeamId("a"), 3 },
                                               { TeamId("b"), 2 } };
  std::map<VmId, FrontPtr> m_fronts;
  std::map<VmId, Endpoint> m_endpoints;
  std::vector<SlotPtr> m_slots;
  std::map<SliceId, SlotPtr> m_ownerOf;
  std::map<SliceId, Epoch> m_epochs;
  std::map<VmId, Time> m_lease;
  std::map<VmId, routing::SeenRequests> m_seen;
  std::set<VmId> m_stoppingOwners;
  std::map<Step, int> m_reached;
  std::map<int, int> m_left;
  Duration m_listLag = milliseconds(300);
  bool m_truncateNext = false;
  int m_faultsHit = 0;
  int m_answered = 0;
  std::uint64_t m_bodies = 0;
  CallId m_calls = 0;
  History m_history;
};

} // namespace lacewing::harness
