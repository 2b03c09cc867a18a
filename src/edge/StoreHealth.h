/// Failure detector for the store's tables, based on the outcomes of the
/// daemon's own calls. New work is not sent to a table suspected down, since an
/// interrupted write leaves its outcome unknown to the caller. Parts of a table
/// fail independently, so single failures are not significant.
#pragma once

#include "core/Time.h"

#include <map>
#include <optional>
#include <string>

namespace lacewing::edge {

class StoreHealth
{
public:
  /// A call ended with a response that shows that the store works.
  void OnAnswer(Time aNow, const std::string& aTable);
  /// A call was refused, interrupted or timed out.
  void OnFailure(Time aNow, const std::string& aTable);

  bool IsSuspectedDown(Time aNow, const std::string& aTable) const;
  /// When the present series of failures began, if the table is down: from the
  /// suspicion until a call is answered. Callers' writes are not sent to find
  /// out whether it works again, since one without an answer is in doubt; a
  /// read does that.
  std::optional<Time> DownSince(const std::string& aTable) const;

private:
  struct Table
  {
    int m_failuresInRow = 0;
    Time m_firstFailure{};
    Time m_lastFailure{};
  };

  std::map<std::string, Table> m_tables;
};

} // namespace lacewing::edge
