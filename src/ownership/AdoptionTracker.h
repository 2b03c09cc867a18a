/// Which workers of a held slice have been adopted, when the slice may open,
/// and when the lease of a worker is surely over.
#pragma once

#include "ownership/OwnershipOptions.h"
#include "ownership/OwnershipTypes.h"

#include <map>
#include <set>

namespace lacewing::ownership {

/// The adoption of one slice under one epoch.
class AdoptionTracker
{
public:
  /// `aClaimed` is not before the end of the previous owner's authority.
  AdoptionTracker(OwnershipOptions aOptions,
                  SliceId aSlice,
                  Epoch aEpoch,
                  Time aClaimed);

  /// The slice's workers in an answer of the VM list that was asked for at the
  /// given time. Workers that left the list stay until their lease is over.
  void SetWorkers(Time aAsked, const std::set<VmId>& aWorkers);
  /// Adoptions and renewals that are due.
  std::vector<WorkerSend> Due(Time aNow);
  /// True if the reply is a new one; then its inventory counts.
  bool OnReply(Time aNow,
               const VmId& aWorker,
               const worker::ControlReply& aReply);
  /// Workers whose lease has surely ended since the last call; until they are
  /// adopted again nothing is sent to them but adoptions.
  std::vector<VmId> TakeLost(Time aNow);
  /// True from the time on when no task of a former owner can run unknown.
  bool IsOpen() const { return m_open; }
  /// Opens the slice if it may; true if it opened now.
  bool TryOpen(Time aNow);
  bool IsAdopted(const VmId& aWorker) const;
  /// The token of the worker's latest answer; 0 if it is not adopted.
  std::uint64_t Token(const VmId& aWorker) const;
  Epoch OwnEpoch() const { return m_epoch; }

private:
  struct Worker
  {
    std::uint64_t m_token = 0; ///< the highest one received; 0 if none
    bool m_adopted = false;
    Time m_lastReply{};
    Time m_nextSend = Time::min();
    bool m_listed = true;
  };

  OwnershipOptions m_options;
  SliceId m_slice;
  Epoch m_epoch;
  Time m_claimed;
  bool m_listSeen = false;
  bool m_open = false;
  std::map<VmId, Worker> m_workers;
};

} // namespace lacewing::ownership
