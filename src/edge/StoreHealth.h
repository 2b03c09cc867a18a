/// What a daemon believes about its way to the store, from the ends of its own
/// calls. New work is refused at once while the store looks down: a write that
/// is sent then would leave the caller in doubt.
#pragma once

#include "core/Time.h"

namespace lacewing::edge {

class StoreHealth
{
public:
  /// A call has ended with an answer that shows the store at work.
  void OnAnswer(Time aNow);
  /// A call was refused, cut or not answered in time.
  void OnFailure(Time aNow);

  bool LooksDown(Time aNow) const;
  Time LastAnswer() const { return m_lastAnswer; }

private:
  int m_failuresInRow = 0;
  Time m_lastAnswer = Time::min();
};

} // namespace lacewing::edge
