/// Membership, slice ownership and allotments of one entry daemon. A pure state
/// machine: the daemon carries out the effects and reports the results.
#pragma once

#include "ownership/AdoptionTracker.h"
#include "ownership/AllotmentBook.h"
#include "ownership/Draining.h"
#include "ownership/JoinProtocol.h"
#include "ownership/MemberLease.h"
#include "ownership/MembershipView.h"
#include "ownership/OutagePromises.h"
#include "ownership/SliceOwnership.h"

namespace lacewing::ownership {

/// The answer of the VM list as it concerns ownership.
struct VmListView
{
  /// When the list was asked for. Answers are taken in the order of this time.
  Time m_asked{};
  std::set<VmId> m_entryVms;
  /// All slices of the fleet. A worker stays in its slice until it is gone.
  std::vector<SliceInfo> m_slices;
};

struct OwnedSlice
{
  Epoch m_epoch = 0;
  bool m_open = false;
};

class Ownership
{
public:
  Ownership(OwnershipOptions aOptions, const Identity& aIdentity);

  /// Due work; call at least every 100 ms.
  Effects OnTick(Time aNow);
  Effects OnCommitResult(Time aNow,
                         OpId aOp,
                         const table::CommitResult& aResult);
  Effects OnReadResult(Time aNow, OpId aOp, const table::ReadResult& aResult);
  Effects OnPeerMessage(Time aNow,
                        const VmId& aFrom,
                        const PeerMessage& aMessage);
  /// A worker's answer to any control request, also to one of the scheduler.
  Effects OnWorkerReply(Time aNow,
                        const SliceId& aSlice,
                        const VmId& aWorker,
                        const worker::ControlReply& aReply);
  Effects OnVmList(Time aNow, const VmListView& aView);
  Effects OnShutdownRequested(Time aNow);

  /// End of the time in which this member may act. Compare with the present
  /// time before each batch of actions.
  Time Authority(Time aNow) const;
  /// Held slices with their epochs; empty when the authority has ended.
  std::map<SliceId, OwnedSlice> OwnedSlices(Time aNow) const;
  /// The owner as last seen; empty if none is known.
  VmId OwnerOf(const SliceId& aSlice) const;
  /// True if commands may be sent to workers of the slice, and requests to its
  /// endpoints.
  bool MayAct(Time aNow, const SliceId& aSlice) const;
  /// True if setting changes may be accepted here.
  bool MayAcceptSettings(Time aNow) const;
  /// True if no withdrawal of a key older than the limit can be unknown here.
  bool FreshnessConfirmed(Time aNow) const;
  /// True if no call of the table has succeeded for the time that means "down".
  bool IsTableDown(Time aNow) const;
  /// The highest version of the settings that a peer has named; a starting
  /// process serves only when it has at least this version.
  std::uint64_t PeerSettingsVersion() const { return m_peerSettingsVersion; }
  /// The process may serve: its state is active.
  bool IsActive() const;

  /// The version of the slice's row as this member wrote it under the epoch; a
  /// write that checks it fails once another member has claimed the slice.
  /// Nothing if the slice is not held under the epoch.
  std::optional<RowVersion> HeldVersion(const SliceId& aSlice,
                                        Epoch aEpoch) const
  {
    const auto held = m_slices.Held().find(aSlice);
    return held != m_slices.Held().end() && held->second.m_epoch == aEpoch
             ? std::optional(held->second.m_version)
             : std::nullopt;
  }
  /// The token for the next command to a worker; 0 if none may be sent.
  std::uint64_t WorkerToken(const SliceId& aSlice, const VmId& aWorker) const;
  /// What runs and waits in an open slice, of all teams: limits that are left
  /// out have nothing. Ignored while the slice is not open.
  void SetDemands(Time aNow,
                  const SliceId& aSlice,
                  const std::map<LimitId, Demand>& aDemands);
  /// Upper bound of what the team may have running in the slice.
  std::int64_t Allotment(const SliceId& aSlice, const LimitId& aLimit) const;
  std::vector<StopDemand> StopDemands(Time aNow, const SliceId& aSlice) const;
  /// Busy slots by endpoint, written into the slice's row on release.
  void SetBusy(const SliceId& aSlice,
               std::map<std::string, std::int64_t> aBusy);
  /// Busy slots that the previous owner of a held slice left behind.
  /// True if the slice was released by its owner before, or had none.
  bool WasPlannedHandover(const SliceId& aSlice) const
  {
    const auto held = m_slices.Held().find(aSlice);
    return held != m_slices.Held().end() && held->second.m_planned;
  }
  std::map<std::string, std::int64_t> InheritedBusy(
    const SliceId& aSlice) const;
  void SetAllotmentTimings(const AllotmentTimings& aTimings)
  {
    m_allotments.SetTimings(aTimings);
  }
  /// Polls of the VM list without a VM after which it is gone.
  void SetGonePolls(int aPolls) { m_view.SetGonePolls(aPolls); }
  /// Requests that this process still fronts or has dispatched.
  void SetOpenRequests(std::size_t aCount);
  /// The settings were confirmed with the table, or with a peer that did.
  void OnSettingsConfirmed(Time aConfirmed, std::uint64_t aVersion);
  /// True while a write of settings by this process may still take effect.
  void SetSettingsWriteUnresolved(bool aUnresolved);

  const MembershipView& View() const { return m_view; }
  Incarnation OwnIncarnation() const { return m_lease.OwnIncarnation(); }

private:
  enum class OpKind : std::uint8_t
  {
    Member,
    Release,
    Allotment,
    Relay,
    View,
    RelayRead,
  };

  struct Operation
  {
    OpKind m_kind = OpKind::View;
    Time m_sent{};
    std::string m_nonce;
    SliceId m_slice;
    VmId m_peer;
    bool m_allLimits = false;
    std::vector<table::Put> m_puts;
  };

  bool MayOwn(Time aNow) const;
  bool MayTakeOver(Time aNow) const;
  std::vector<VmId> ActiveMembers() const;

  void Advance(Time aNow, Effects& aEffects);
  void TickView(Time aNow, Effects& aEffects);
  void TickMember(Time aNow, Effects& aEffects);
  void TickJoin(Time aNow, Effects& aEffects);
  void TickOutage(Time aNow, Effects& aEffects);
  void TickReleases(Time aNow, Effects& aEffects);
  void TickAdoptions(Time aNow, Effects& aEffects);
  void TickAdoption(Time aNow,
                    const SliceId& aSlice,
                    AdoptionTracker& aTracker,
                    Effects& aEffects);
  void TickAllotments(Time aNow, Effects& aEffects);
  void TickDraining(Time aNow, Effects& aEffects);
  void CheckAuthority(Time aNow, Effects& aEffects);

  MemberState WantedState(Time aNow) const;
  Step StepOf(MemberState aWanted, bool aClaims, bool aDeposes) const;
  void AddDeposes(Time aNow,
                  table::Commit& aCommit,
                  std::vector<VmId>& aTargets) const;
  void AddClaims(Time aNow,
                 table::Commit& aCommit,
                 std::vector<VmId>& aTargets) const;
  void Write(Time aNow,
             Step aStep,
             Operation aOperation,
             table::Commit aCommit,
             Effects& aEffects);
  void ReadView(Time aNow, Effects& aEffects);
  void TakeRows(Time aNow, const table::Rows& aRows, Effects& aEffects);
  void TakeOwnRow(Time aNow, const table::Row& aRow, Effects& aEffects);
  void OnDeposed(Effects& aEffects);
  void Gain(Time aNow, const SliceId& aSlice, Effects& aEffects);
  void Lose(const SliceId& aSlice, Effects& aEffects);
  void OnMemberResult(Time aNow,
                      const Operation& aOperation,
                      const table::CommitResult& aResult,
                      Effects& aEffects);
  void OnReleaseResult(Time aNow,
                       const Operation& aOperation,
                       const table::CommitResult& aResult,
                       Effects& aEffects);
  void OnRelayResult(Time aNow,
                     const Operation& aOperation,
                     const table::CommitResult& aResult,
                     Effects& aEffects);

  void On(Time aNow, const VmId& aFrom, const Hello& aMessage, Effects& aOut);
  void On(Time aNow,
          const VmId& aFrom,
          const HelloAnswer& aMessage,
          Effects& aOut);
  void On(Time aNow,
          const VmId& aFrom,
          const OutageProbe& aMessage,
          Effects& aOut);
  void On(Time aNow, const VmId& aFrom, const Promise& aMessage, Effects& aOut);
  void On(Time aNow,
          const VmId& aFrom,
          const RelayRenewal& aMessage,
          Effects& aOut);
  void On(Time aNow,
          const VmId& aFrom,
          const RelayAnswer& aMessage,
          Effects& aOut);
  void On(Time aNow,
          const VmId& aFrom,
          const SliceReleased& aMessage,
          Effects& aOut);

  OwnershipOptions m_options;
  Identity m_identity;
  MemberLease m_lease;
  MembershipView m_view;
  JoinProtocol m_join;
  OutagePromises m_promises;
  SliceOwnership m_slices;
  AllotmentBook m_allotments;
  Draining m_draining;
  std::map<SliceId, AdoptionTracker> m_adoptions;

  OpId m_nextOp = 0;
  std::map<OpId, Operation> m_operations;
  RowVersion m_joinVersion = 0; ///< of the own row when it was first written
  bool m_viewInFlight = false;
  bool m_viewSeen = false;
  Time m_viewTaken = Time::min(); ///< when the latest view arrived
  bool m_allotmentInFlight = false;
  Time m_nextView = Time::min();
  bool m_memberInFlight = false;
  bool m_renewalOnly = false; ///< after a conflict: renew without other rows
  Time m_nextMemberWrite = Time::min();
  Time m_nextProbe = Time::min();
  Time m_lastTableSuccess = Time::min();
  Time m_activeSince = Time::max();
  bool m_acting = false;
  bool m_stopped = false;
  bool m_settingsUnresolved = false;
  std::uint64_t m_peerSettingsVersion = 0;
  Time m_listAsked = Time::min();
};

} // namespace lacewing::ownership
