#include "ownership/AllotmentBook.h"

#include "ownership/SliceRow.h"

#include <algorithm>

namespace lacewing::ownership {

AllotmentBook::AllotmentBook(OwnershipOptions aOptions)
  : m_options(aOptions)
{
}

void
AllotmentBook::SetTimings(const AllotmentTimings& aTimings)
{
  const Duration change = aTimings.m_interval - m_options.m_allotmentInterval;
  for (auto& [id, slice] : m_slices) {
    if (slice.m_next != Time::min()) {
      slice.m_next += change;
    }
  }
  m_options.m_allotmentInterval = aTimings.m_interval;
  m_options.m_allotmentIdle = aTimings.m_idle;
  m_options.m_stopPatientAfter = aTimings.m_stopPatientAfter;
  m_options.m_stopAnyAfter = aTimings.m_stopAnyAfter;
}

void
AllotmentBook::Hold(const SliceId& aSlice)
{
  m_slices[aSlice] = Slice();
}

void
AllotmentBook::Drop(const SliceId& aSlice)
{
  m_slices.erase(aSlice);
}

void
AllotmentBook::OnRows(const table::Rows& aRows)
{
  for (const auto& entryOfRow : aRows) {
    const std::string& key = entryOfRow.first;
    const table::Row& row = entryOfRow.second;
    if (!key.starts_with(kLimitPrefix)) {
      continue;
    }
    const auto id = ParseLimitKey(key);
    if (!id) {
      continue;
    }
    Seen& seen = m_rows[*id];
    if (row.m_version <= seen.m_version) {
      continue;
    }
    // A malformed row permits nothing.
    const auto decoded = DecodeLimit(row.m_value);
    seen.m_row = decoded ? *decoded : LimitRow();
    seen.m_version = row.m_version;
    for (auto& [slice, state] : m_slices) {
      if (seen.m_row.Of(slice) > 0) {
        state.m_entries.try_emplace(*id);
      }
      const auto entry = state.m_entries.find(*id);
      if (entry != state.m_entries.end()) {
        // A change that checked an older version is in this row or void.
        std::erase_if(entry->second.m_pending, [&](const Pending& aPending) {
          return aPending.m_checked < row.m_version;
        });
      }
    }
  }
}

void
AllotmentBook::Confirm(const SliceId& aSlice)
{
  Slice& slice = m_slices[aSlice];
  slice.m_confirmed = true;
  for (const auto& [id, seen] : m_rows) {
    if (seen.m_row.Of(aSlice) > 0) {
      slice.m_entries.try_emplace(id);
    }
  }
}

bool
AllotmentBook::IsConfirmed(const SliceId& aSlice) const
{
  const auto found = m_slices.find(aSlice);
  return found != m_slices.end() && found->second.m_confirmed;
}

void
AllotmentBook::SetDemands(Time aNow,
                          const SliceId& aSlice,
                          const std::map<LimitId, Demand>& aDemands)
{
  const auto found = m_slices.find(aSlice);
  if (found == m_slices.end()) {
    return;
  }
  Slice& slice = found->second;
  const bool isFirst = !slice.m_demandKnown;
  slice.m_demandKnown = true;
  for (const auto& [id, demand] : aDemands) {
    slice.m_entries.try_emplace(id);
  }
  for (auto& [id, entry] : slice.m_entries) {
    const auto given = aDemands.find(id);
    const Demand demand = given == aDemands.end() ? Demand() : given->second;
    if (isFirst || demand.m_waiting > 0 || entry.m_demand.m_waiting > 0 ||
        demand.m_running > entry.m_demand.m_running) {
      entry.m_idleSince = aNow;
    }
    entry.m_demand = demand;
    const auto seen = m_rows.find(id);
    const bool above = seen != m_rows.end() &&
                       seen->second.m_row.Sum() > seen->second.m_row.m_limit &&
                       demand.m_running > FairPart(seen->second.m_row, aSlice);
    entry.m_aboveSince =
      above ? std::min(entry.m_aboveSince, aNow) : Time::max();
  }
}

std::int64_t
AllotmentBook::Allotment(const SliceId& aSlice, const LimitId& aLimit) const
{
  const auto slice = m_slices.find(aSlice);
  const auto seen = m_rows.find(aLimit);
  if (slice == m_slices.end() || !slice->second.m_confirmed ||
      seen == m_rows.end()) {
    return 0;
  }
  // Above a lowered limit no slice starts more than its fair part.
  std::int64_t amount = m_options.m_mechanisms.m_allotmentSum
                          ? FairPart(seen->second.m_row, aSlice)
                          : seen->second.m_row.Of(aSlice);
  const auto entry = slice->second.m_entries.find(aLimit);
  if (entry != slice->second.m_entries.end()) {
    for (const Pending& pending : entry->second.m_pending) {
      amount = std::min(amount, pending.m_amount);
    }
  }
  return amount;
}

bool
AllotmentBook::IsDue(Time aNow, const SliceId& aSlice) const
{
  const auto found = m_slices.find(aSlice);
  if (found == m_slices.end() || !found->second.m_confirmed ||
      !found->second.m_demandKnown || found->second.m_inFlight ||
      aNow < found->second.m_next) {
    return false;
  }
  const auto& entries = found->second.m_entries;
  return std::any_of(entries.begin(), entries.end(), [&](const auto& aEntry) {
    const auto seen = m_rows.find(aEntry.first);
    return seen != m_rows.end() &&
           (!aEntry.second.m_pending.empty() ||
            !(Change(aNow, aSlice, aEntry.second, seen->second.m_row) ==
              seen->second.m_row));
  });
}

table::Commit
AllotmentBook::Due(Time aNow,
                   const SliceId& aSlice,
                   RowVersion aSliceVersion,
                   const std::string& aNonce)
{
  table::Commit commit;
  const auto found = m_slices.find(aSlice);
  if (found == m_slices.end() || !found->second.m_confirmed ||
      !found->second.m_demandKnown || found->second.m_inFlight ||
      aNow < found->second.m_next) {
    return commit;
  }
  Slice& slice = found->second;
  for (auto& [id, entry] : slice.m_entries) {
    const auto seen = m_rows.find(id);
    if (seen == m_rows.end()) {
      continue;
    }
    const LimitRow& row = seen->second.m_row;
    LimitRow changed = Change(aNow, aSlice, entry, row);
    // A change whose fate is unknown is settled by the next one of the row.
    if (changed == row && entry.m_pending.empty()) {
      continue;
    }
    changed.m_nonce = aNonce;
    const Pending pending{ seen->second.m_version, changed.Of(aSlice) };
    entry.m_pending.push_back(pending);
    slice.m_sent[id] = pending;
    commit.m_checks.push_back({ LimitKey(id), seen->second.m_version });
    commit.m_puts.push_back({ LimitKey(id), EncodeLimit(changed) });
  }
  if (!commit.empty()) {
    slice.m_inFlight = true;
    slice.m_next = aNow + m_options.m_allotmentInterval;
    if (m_options.m_mechanisms.m_allotmentFence) {
      commit.m_checks.push_back({ SliceKey(aSlice), aSliceVersion });
    }
  }
  return commit;
}

void
AllotmentBook::OnResult(const SliceId& aSlice, table::CommitState aState)
{
  const auto found = m_slices.find(aSlice);
  if (found == m_slices.end()) {
    return;
  }
  Slice& slice = found->second;
  slice.m_inFlight = false;
  const bool isVoid = aState == table::CommitState::Conflict ||
                      aState == table::CommitState::NotApplied;
  if (isVoid) {
    for (const auto& sentEntry : slice.m_sent) {
      const LimitId& id = sentEntry.first;
      const Pending& sent = sentEntry.second;
      auto& pending = slice.m_entries[id].m_pending;
      const auto same =
        std::find_if(pending.begin(), pending.end(), [&](const Pending& aOne) {
          return aOne.m_checked == sent.m_checked &&
                 aOne.m_amount == sent.m_amount;
        });
      if (same != pending.end()) {
        pending.erase(same);
      }
    }
  }
  slice.m_sent.clear();
}

std::vector<StopDemand>
AllotmentBook::StopDemands(Time aNow, const SliceId& aSlice) const
{
  std::vector<StopDemand> demands;
  const auto slice = m_slices.find(aSlice);
  if (slice == m_slices.end()) {
    return demands;
  }
  for (const auto& [id, entry] : slice->second.m_entries) {
    const auto seen = m_rows.find(id);
    if (seen == m_rows.end() || entry.m_aboveSince == Time::max() ||
        aNow - entry.m_aboveSince < m_options.m_stopPatientAfter) {
      continue;
    }
    const LimitRow& row = seen->second.m_row;
    const std::int64_t excess =
      entry.m_demand.m_running - FairPart(row, aSlice);
    if (row.Sum() > row.m_limit && excess > 0) {
      const bool any = aNow - entry.m_aboveSince >= m_options.m_stopAnyAfter;
      demands.push_back({ id, excess, any });
    }
  }
  return demands;
}

std::vector<std::string>
AllotmentBook::Keys() const
{
  std::set<LimitId> ids;
  for (const auto& [slice, state] : m_slices) {
    for (const auto& [id, entry] : state.m_entries) {
      ids.insert(id);
    }
  }
  std::vector<std::string> keys;
  keys.reserve(ids.size());
  for (const LimitId& id : ids) {
    keys.push_back(LimitKey(id));
  }
  return keys;
}

std::size_t
AllotmentBook::EntryBytes()
{
  return sizeof(LimitId) + sizeof(Entry);
}

std::int64_t
AllotmentBook::FairPart(const LimitRow& aRow, const SliceId& aSlice) const
{
  const std::int64_t sum = aRow.Sum();
  if (sum <= aRow.m_limit || sum == 0) {
    return aRow.Of(aSlice);
  }
  const double share =
    static_cast<double>(aRow.m_limit) / static_cast<double>(sum);
  return static_cast<std::int64_t>(static_cast<double>(aRow.Of(aSlice)) *
                                   share);
}

LimitRow
AllotmentBook::Change(Time aNow,
                      const SliceId& aSlice,
                      const Entry& aEntry,
                      const LimitRow& aRow) const
{
  LimitRow row = aRow;
  const std::string& name = aSlice.Value();
  const std::int64_t held = aRow.Of(aSlice);
  const std::int64_t sum = aRow.Sum();
  const std::int64_t idle = held - aEntry.m_demand.m_running;
  std::int64_t others = 0;
  for (const auto& [slice, amount] : aRow.m_wanted) {
    others += slice == name ? 0 : 1;
  }
  std::int64_t amount = held;
  std::int64_t unmet = 0;
  if (sum > aRow.m_limit && m_options.m_mechanisms.m_allotmentSum) {
    amount = std::min(
      held, std::max(FairPart(aRow, aSlice), aEntry.m_demand.m_running));
  } else if (aEntry.m_demand.m_waiting > idle) {
    const std::int64_t need = aEntry.m_demand.m_waiting - idle;
    std::int64_t grant = need;
    if (m_options.m_mechanisms.m_allotmentSum) {
      // The free part is divided among the slices that want some.
      const std::int64_t free = aRow.m_limit - sum;
      const std::int64_t part =
        std::max(free / (1 + others), std::int64_t{ 1 });
      grant = std::min({ need, free, part });
    }
    amount = held + grant;
    unmet = need - grant;
  } else if (idle > aEntry.m_demand.m_waiting) {
    const bool longIdle =
      aNow - aEntry.m_idleSince >= m_options.m_allotmentIdle;
    if (others > 0 || longIdle) {
      amount = aEntry.m_demand.m_running + aEntry.m_demand.m_waiting;
    }
  }
  if (unmet > 0) {
    row.m_wanted.try_emplace(name, unmet);
  } else {
    row.m_wanted.erase(name);
  }
  if (amount > 0) {
    row.m_allotments[name] = amount;
  } else {
    row.m_allotments.erase(name);
  }
  if (row.Sum() <= row.m_limit) {
    row.m_inForce = row.m_limit;
  }
  return row;
}

} // namespace lacewing::ownership
