/// Promises between members while the table cannot be reached: what this member
/// has promised, and what it has been promised.
#pragma once

#include "ownership/MembershipView.h"
#include "ownership/OwnershipTypes.h"

namespace lacewing::ownership {

class OutagePromises
{
public:
  OutagePromises(OwnershipOptions aOptions, VmId aSelf, RegionId aRegion);

  /// A member announced itself: from now on its promise is needed.
  void OnHello(const VmId& aFrom, const Hello& aHello);

  /// Gives a promise. `aMayTakeOver` is true while a deposal of the sender or
  /// a claim on its slices may still take effect; `aMaySetSettings` while a
  /// setting change may be accepted.
  Promise Give(Time aNow,
               const VmId& aTo,
               const OutageProbe& aProbe,
               bool aMayTakeOver,
               bool aMaySetSettings);
  /// True while this member has promised not to take over from the other.
  bool IsBoundTo(Time aNow, const VmId& aVm) const;
  bool MayAcceptSettings(Time aNow) const { return aNow >= m_noSettingsUntil; }

  /// Starts a round of probes; they go to `Peers`.
  OutageProbe Ask(Time aNow, Incarnation aOwn);
  /// Members of all regions that are neither deposed nor gone.
  std::vector<VmId> Peers(const MembershipView& aView) const;
  /// `aAuthority` is the present end of the authority: promises prolong only
  /// one that has not ended.
  void OnPromise(Time aNow,
                 const VmId& aFrom,
                 const Promise& aPromise,
                 const MembershipView& aView,
                 Time aAuthority);
  /// End of the authority by promises of the own region.
  Time ExtendedUntil() const { return m_extendedUntil; }
  void EndExtension() { m_extendedUntil = Time::min(); }

  /// The settings were confirmed with the table, or with a peer that did, at
  /// this time.
  void OnSettingsConfirmed(Time aConfirmed,
                           std::uint64_t aVersion,
                           const MembershipView& aView);
  /// True if no withdrawal older than the freshness limit can be unknown here.
  bool IsFresh(Time aNow) const;
  std::uint64_t SettingsVersion() const { return m_settingsVersion; }

private:
  struct Round
  {
    std::uint64_t m_id = 0;
    Time m_asked{};
    std::set<VmId> m_noTakeover;
    std::map<VmId, Incarnation> m_noSettings;
  };

  bool RegionIsBound(const Round& aRound, const MembershipView& aView) const;
  bool FleetIsBound(const Round& aRound) const;

  OwnershipOptions m_options;
  VmId m_self;
  RegionId m_region;
  std::map<VmId, Hello> m_hellos;
  std::map<VmId, Time> m_boundUntil;
  Time m_noSettingsUntil = Time::min();
  std::uint64_t m_round = 0;
  std::vector<Round> m_rounds; ///< the latest ones, oldest first
  Time m_extendedUntil = Time::min();
  Time m_settingsConfirmed = Time::min();
  Time m_freshUntil = Time::min();
  std::uint64_t m_settingsVersion = 0;
  /// Members that may have accepted a setting change since the confirmation.
  std::map<VmId, Incarnation> m_settingsWriters;
};

} // namespace lacewing::ownership
