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
  explicit RoutingWorld(WorldOptions aOptions);
  /// Runs the whole schedule.
  const History& Run();
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
  std::int64_t WallMicros() const { return Now().time_since_epoch().count(); }
  int Pick(int aBelow);
  static VmId Vm(const char* aKind, int aIndex);
  Event& Record(EventKind aKind);

  // ---- Set-up ----

  void SetUp();
  /// Every schedule has a refusing, a crashing and a leaving endpoint, and by
  /// the seed planned stops, so that each step is reached.
  void PlanBackground();
  void Every(Duration aPeriod, const std::function<void()>& aFunction);
  void AddEndpoint(const VmId& aVm, const SliceId& aSlice);
  void StartFront(const VmId& aVm);

  // ---- Faults ----

  /// Announces a step of a process towards a peer.
  void Announce(Step aStep, const VmId& aSelf, const VmId& aPeer);
  /// The process of a kind that takes part in the step, or the first one.
  VmId Involved(const char* aKind, const VmId& aSelf, const VmId& aPeer) const;
  void Inject(Fault aFault, const VmId& aSelf, const VmId& aPeer);
  void InjectService(Fault aFault);
  void Cut(const VmId& aFrom, const VmId& aTo);
  void Pause(const VmId& aVm);
  void KillFront(const VmId& aVm);
  void KillOwner(const VmId& aVm);
  void Refuse(const VmId& aVm);
  void Leave(const VmId& aVm);
  bool Plans(Fault aFault) const;
  /// Kills the endpoint's process; what runs there ends and its owner sees the
  /// connections break.
  void Crash(const VmId& aVm);

  // ---- Carrying out effects ----

  void Carry(const VmId& aVm,
             Incarnation aIncarnation,
             std::function<void()> aFunction);
  /// Announces the step and sends a message to the present incarnation.
  void Message(Step aStep,
               const VmId& aFrom,
               Incarnation aFromIncarnation,
               const VmId& aTo,
               const std::function<void()>& aArrive);

  // ---- Callers ----

  CallPtr MakeCall(int aCaller);
  /// More calls at once than the queues hold, so that some are refused.
  void Burst();
  void NextCall(int aCaller, int aLeft);
  void Submit(const CallPtr& aCall);
  static void Describe(Event& aEvent, const Call& aCall);
  /// The caller got a reply or gave up; it repeats unless it has the answer.
  void EndAtCaller(const CallPtr& aCall, bool aFailed);

  // ---- Fronts ----

  void Take(const FrontPtr& aFront, const CallPtr& aCall);
  void Forward(const FrontPtr& aFront,
               const CallPtr& aCall,
               const std::set<SliceId>& aTried);
  void ApplyOutcomes(const FrontPtr& aFront,
                     const routing::ForwardOutcomes& aOutcomes);
  void EndForward(const FrontPtr& aFront,
                  CallId aCall,
                  const routing::OwnerReply& aReply);
  void Reply(const FrontPtr& aFront,
             CallId aCall,
             const routing::OwnerReply& aReply);
  void ApplyOnce(const FrontPtr& aFront, const routing::OnceActions& aActions);
  void ReadRow(const FrontPtr& aFront, const routing::ReadRecord& aRead);
  void OnRow(const FrontPtr& aFront,
             const routing::ReadRecord& aRead,
             const table::ReadResult& aResult);
  static Step ResultStep(Step aStep);
  void ApplyCommit(const FrontPtr& aFront,
                   const table::GroupCommitEffects& aEffects);
  void SubmitBatch(const FrontPtr& aFront, const table::CommitBatch& aBatch);
  void AnnounceWrites(const FrontPtr& aFront, const table::Commit& aCommit);
  void StopFront(const VmId& aVm);

  // ---- Owners ----

  static std::optional<routing::BusyCounts> NoCounts();
  /// Makes the VM the owner of the slice; counts are given by a planned
  /// release.
  void TakeSlice(const SliceId& aSlice,
                 const VmId& aOwner,
                 const std::optional<routing::BusyCounts>& aCounts);
  bool CanOwn(const VmId& aVm) const;
  /// Renews leases and moves slices whose owner's lease has run out.
  void Membership();
  std::vector<SlotPtr> Slots() const { return m_slots; }

  void PollList(const VmId& aOwner);
  /// The lagging VM list.
  std::vector<routing::EndpointInfo> List(const SliceId& aSlice) const;
  void Admit(const FrontPtr& aFront,
             const CallPtr& aCall,
             routing::Request aRequest,
             Duration aRemaining,
             const routing::SliceLoad& aTo);
  void Apply(const SlotPtr& aSlot, const routing::Actions& aActions);
  void EndAttempt(const SlotPtr& aSlot, const routing::RequestId& aRequest);
  void SendReply(Step aStep,
                 const VmId& aOwner,
                 const routing::RequestId& aRequest,
                 const routing::OwnerReply& aReply);
  void Send(const SlotPtr& aSlot, const routing::Dispatch& aDispatch);
  void SendNow(const SlotPtr& aSlot,
               const Event& aRun,
               const routing::RequestId& aRequest);
  void FailAttempt(const SlotPtr& aSlot, const Event& aRun, Verdict aVerdict);
  void SendProbe(const SlotPtr& aSlot, const routing::StatusQuery& aQuery);
  void StopOwner(const VmId& aVm);
  void Release(const SlotPtr& aSlot);
  void ContinueStop(const VmId& aVm);

  // ---- Endpoints ----

  void RecordRun(EventKind aKind, const Event& aRun);
  void StartRun(const SlotPtr& aSlot, const Event& aRun);
  Duration ServiceTime();
  void EndRun(const SlotPtr& aSlot, const Event& aRun);
  void SendAnswer(const SlotPtr& aSlot,
                  const Event& aRun,
                  const routing::EndpointAnswer& aAnswer);
  void TickAll();

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
