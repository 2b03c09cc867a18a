#include "edge/StoreHealth.h"

namespace lacewing::edge {

namespace {

/// Single answers get lost while the store works; three in a row are rare even
/// if it loses a third of them.
constexpr int kFailuresForDown = 3;
/// A part that looked down is tried again after this time.
constexpr Duration kTryAgainAfter = milliseconds(400);

} // namespace

void
StoreHealth::OnAnswer(Time, const std::string& aPart)
{
  m_parts.erase(aPart);
}

void
StoreHealth::OnFailure(Time aNow, const std::string& aPart)
{
  Part& part = m_parts[aPart];
  ++part.m_failuresInRow;
  part.m_lastFailure = aNow;
}

bool
StoreHealth::LooksDown(Time aNow, const std::string& aPart) const
{
  const auto it = m_parts.find(aPart);
  return it != m_parts.end() &&
         it->second.m_failuresInRow >= kFailuresForDown &&
         aNow < it->second.m_lastFailure + kTryAgainAfter;
}

} // namespace lacewing::edge
