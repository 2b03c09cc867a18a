/// The workers listed in the store, maintained from their entries and the
/// changes of these. A worker is removed only after its entry has been missing
/// for a grace period, since entries expire while the store is unavailable and
/// reappear afterwards.
#pragma once

#include "core/Time.h"
#include "platform/TableStore.h"
#include "pool/WorkerRecord.h"

#include <map>
#include <optional>
#include <vector>

namespace lacewing::edge {

/// Effect of a changed entry on the directory.
enum class EntryChange : std::uint8_t
{
  None,
  Listed,     ///< a new worker, or its draining state changed
  Vanished,   ///< the entry was deleted
  Unreadable, ///< the entry cannot be decoded
};

class WorkerDirectory
{
public:
  EntryChange Take(Time aNow, const platform::ChangedRow& aChange);
  /// Marks all entries as missing before a full read; `Take` clears the mark of
  /// each entry that still exists.
  void BeginReread(Time aNow);
  /// Removes workers whose grace period is over and returns the others.
  std::vector<pool::WorkerInfo> Workers(Time aNow);
  std::size_t size() const { return m_entries.size(); }
  /// Extracts the worker's name from a row's key.
  static std::string NameOf(const std::string& aKey);

private:
  struct Entry
  {
    pool::WorkerInfo m_info;
    std::optional<Time> m_missingSince;
  };

  std::map<pool::WorkerId, Entry> m_entries;
};

} // namespace lacewing::edge
