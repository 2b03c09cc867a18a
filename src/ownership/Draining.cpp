#include "ownership/Draining.h"

namespace lacewing::ownership {

Draining::Draining(OwnershipOptions aOptions)
  : m_options(aOptions)
{
}

void
Draining::Start(Time aNow)
{
  if (!m_started) {
    m_started = true;
    m_startedAt = aNow;
  }
}

bool
Draining::MayLeave(Time aNow, std::size_t aHeldSlices) const
{
  const bool finished =
    m_openRequests == 0 || aNow - m_startedAt >= m_options.m_drainRequests;
  return m_started && aHeldSlices == 0 && finished;
}

bool
Draining::IsOverdue(Time aNow) const
{
  return m_started && aNow - m_startedAt >= m_options.m_drainBound;
}

} // namespace lacewing::ownership
