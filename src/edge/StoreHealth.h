/// What a daemon believes about its way to the tables of the store, from the
/// ends of its own calls. New work is not sent to a table that looks down: a
/// write that is cut there leaves the caller in doubt. Parts of a table fail
/// one by one, so that single failures say little.
#pragma once

#include "core/Time.h"

#include <map>
#include <string>

namespace lacewing::edge {

class StoreHealth
{
public:
  /// A call has ended with an answer that shows the store at work.
  void OnAnswer(Time aNow, const std::string& aTable);
  /// A call was refused, cut or not answered in time.
  void OnFailure(Time aNow, const std::string& aTable);

  bool IsSuspectedDown(Time aNow, const std::string& aTable) const;

private:
  struct Table
  {
    int m_failuresInRow = 0;
    Time m_lastFailure{};
  };

  std::map<std::string, Table> m_tables;
};

} // namespace lacewing::edge
