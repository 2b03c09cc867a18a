#include "routing/SeenRequests.h"

namespace lacewing::routing {

bool
SeenRequests::Insert(Time aNow, const RequestId& aId)
{
  Forget(aNow);
  if (!m_ids.insert(aId).second) {
    return false;
  }
  m_order.emplace_back(aNow, aId);
  return true;
}

void
SeenRequests::Forget(Time aNow)
{
  while (!m_order.empty() && m_order.front().first + kRetention <= aNow) {
    m_ids.erase(m_order.front().second);
    m_order.pop_front();
  }
}

} // namespace lacewing::routing
