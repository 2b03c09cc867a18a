#include "edge/WorkerDirectory.h"

#include "core/TryDecode.h"
#include "platform/Documents.h"

namespace lacewing::edge {

namespace {

/// A worker whose entry is missing for longer is removed. Entries that expired
/// while the store was unavailable reappear after about two seconds.
constexpr Duration kMissingEntryGrace = milliseconds(2500);

} // namespace

std::string
WorkerDirectory::NameOf(const std::string& aKey)
{
  return platform::SplitKey(aKey).m_name;
}

EntryChange
WorkerDirectory::Take(Time aNow, const platform::ChangedRow& aChange)
{
  const std::string name = NameOf(aChange.m_key);
  const auto known = m_entries.find(pool::WorkerId(name));
  if (aChange.m_deleted) {
    if (known == m_entries.end()) {
      return EntryChange::None;
    }
    known->second.m_missingSince = known->second.m_missingSince.value_or(aNow);
    return EntryChange::Vanished;
  }
  const auto info = TryDecode<pool::WorkerInfo>(
    [&] { return platform::DecodeWorker(name, aChange.m_row.m_value); });
  if (!info) {
    return EntryChange::Unreadable;
  }
  const bool changed = known == m_entries.end() ||
                       known->second.m_info.m_draining != info->m_draining;
  m_entries[info->m_id] = { *info, std::nullopt };
  return changed ? EntryChange::Listed : EntryChange::None;
}

void
WorkerDirectory::BeginReread(Time aNow)
{
  for (auto& [id, entry] : m_entries) {
    entry.m_missingSince = entry.m_missingSince.value_or(aNow);
  }
}

std::vector<pool::WorkerInfo>
WorkerDirectory::Workers(Time aNow)
{
  std::erase_if(m_entries, [&](const auto& aItem) {
    const auto& missing = aItem.second.m_missingSince;
    return missing && aNow > *missing + kMissingEntryGrace;
  });
  std::vector<pool::WorkerInfo> workers;
  for (const auto& [id, entry] : m_entries) {
    workers.push_back(entry.m_info);
  }
  return workers;
}

} // namespace lacewing::edge
