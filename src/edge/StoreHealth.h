/// What a daemon believes about its way to the parts of the store, from the
/// ends of its own calls. New work is not sent to a part that looks down: a
/// write that is cut there leaves the caller in doubt. Parts fail one by one.
#pragma once

#include "core/Time.h"

#include <map>
#include <string>

namespace lacewing::edge {

class StoreHealth
{
public:
  /// A call has ended with an answer that shows the store at work.
  void OnAnswer(Time aNow, const std::string& aPart);
  /// A call was refused, cut or not answered in time.
  void OnFailure(Time aNow, const std::string& aPart);

  bool LooksDown(Time aNow, const std::string& aPart) const;

private:
  struct Part
  {
    int m_failuresInRow = 0;
    Time m_lastFailure{};
  };

  std::map<std::string, Part> m_parts;
};

} // namespace lacewing::edge
