/// The parts of the teams' limits that the held slices have: asking for more,
/// giving back, and cutting after a limit was lowered.
#pragma once

#include "ownership/OwnershipOptions.h"
#include "ownership/OwnershipTypes.h"

#include <map>
#include <set>

namespace lacewing::ownership {

/// Amounts of a team in a slice, in the unit of the limit.
struct Demand
{
  std::int64_t m_running = 0; ///< with starts that are under way
  /// What could start now if the allotment were larger. Work for which the
  /// slice has no room is left out: it would hold parts of the limit idle.
  std::int64_t m_waiting = 0;
};

class AllotmentBook
{
public:
  explicit AllotmentBook(OwnershipOptions aOptions);

  /// Takes effect at once, also for a transaction that waits for its time.
  void SetTimings(const AllotmentTimings& aTimings);
  void Hold(const SliceId& aSlice);
  void Drop(const SliceId& aSlice);
  /// Takes newer versions of limit rows. Other keys are ignored.
  void OnRows(const table::Rows& aRows);
  /// The rows read hold all limits as of a time when the slice was already
  /// held; until then its allotments count as zero.
  void Confirm(const SliceId& aSlice);
  bool IsConfirmed(const SliceId& aSlice) const;
  /// What runs and waits in the slice, of all teams: limits that are left out
  /// have nothing. Until the first call for a held slice, nothing is given
  /// back.
  void SetDemands(Time aNow,
                  const SliceId& aSlice,
                  const std::map<LimitId, Demand>& aDemands);

  /// What the team may have running in the slice; starts beyond it are not
  /// permitted, but after a limit was lowered more may still be running.
  std::int64_t Allotment(const SliceId& aSlice, const LimitId& aLimit) const;
  /// True if a transaction of the slice is due, given the rows known.
  bool IsDue(Time aNow, const SliceId& aSlice) const;
  /// The one transaction of the slice that is due, for all teams together;
  /// without effect if it is empty. `aSliceVersion` fences it.
  table::Commit Due(Time aNow,
                    const SliceId& aSlice,
                    RowVersion aSliceVersion,
                    const std::string& aNonce);
  /// The result of the slice's transaction.
  void OnResult(const SliceId& aSlice, table::CommitState aState);
  /// What the scheduler has to stop after a limit was lowered.
  std::vector<StopDemand> StopDemands(Time aNow, const SliceId& aSlice) const;
  /// Keys of the limits that concern the held slices.
  std::vector<std::string> Keys() const;
  /// Bytes of one allotment's state, without allocator overhead.
  static std::size_t EntryBytes();

private:
  struct Seen
  {
    LimitRow m_row;
    RowVersion m_version = 0;
  };

  /// An allotment whose change is sent and not known to be void or in effect.
  struct Pending
  {
    RowVersion m_checked = 0;
    std::int64_t m_amount = 0;
  };

  struct Entry
  {
    Demand m_demand;
    Time m_idleSince{};              ///< start of the present idle period
    Time m_aboveSince = Time::max(); ///< since when it is above its fair part
    std::vector<Pending> m_pending;
  };

  struct Slice
  {
    bool m_confirmed = false;
    bool m_demandKnown = false;
    bool m_inFlight = false;
    Time m_next = Time::min();
    std::map<LimitId, Entry> m_entries;
    std::map<LimitId, Pending> m_sent; ///< in the transaction in flight
  };

  std::int64_t FairPart(const LimitRow& aRow, const SliceId& aSlice) const;
  /// The row after the slice's change; equal to `aRow` if none is due.
  LimitRow Change(Time aNow,
                  const SliceId& aSlice,
                  const Entry& aEntry,
                  const LimitRow& aRow) const;

  OwnershipOptions m_options;
  std::map<LimitId, Seen> m_rows;
  std::map<SliceId, Slice> m_slices;
};

} // namespace lacewing::ownership
