/// The workers that the store lists, from their entries and the changes of
/// these. An entry that vanishes counts as gone only after a while, since
/// entries lapse while the store is away and come back.
#pragma once

#include "core/Time.h"
#include "platform/TableStore.h"
#include "pool/WorkerRecord.h"

#include <map>
#include <optional>
#include <vector>

namespace lacewing::edge {

/// What an entry changed.
enum class EntryChange : std::uint8_t
{
  None,
  Listed,     ///< a worker that was not known, or whose draining changed
  Vanished,   ///< the entry has gone
  Unreadable, ///< it names no worker
};

class WorkerDirectory
{
public:
  EntryChange Take(Time aNow, const platform::ChangedRow& aChange);
  /// All entries are read anew: those that do not come again have vanished.
  void BeginReread(Time aNow);
  /// The workers that are not gone; forgets those that are.
  std::vector<pool::WorkerInfo> Workers(Time aNow);
  std::size_t size() const { return m_entries.size(); }
  /// The worker's name in a row's key.
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
