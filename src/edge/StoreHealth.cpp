#include "edge/StoreHealth.h"

namespace lacewing::edge {

namespace {

/// Single answers get lost while the store works; three in a row are rare even
/// if it loses a third of them.
constexpr int kFailuresForDown = 3;
/// The watch of the desired state has an answer at least once a second.
constexpr Duration kSilence = milliseconds(2200);

} // namespace

void
StoreHealth::OnAnswer(Time aNow)
{
  m_failuresInRow = 0;
  m_lastAnswer = aNow;
}

void
StoreHealth::OnFailure(Time)
{
  ++m_failuresInRow;
}

bool
StoreHealth::LooksDown(Time aNow) const
{
  const bool silent =
    m_lastAnswer != Time::min() && aNow > m_lastAnswer + kSilence;
  return m_failuresInRow >= kFailuresForDown || silent;
}

} // namespace lacewing::edge
