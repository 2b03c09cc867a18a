#include "routing/RetryBudget.h"

#include <algorithm>

namespace lacewing::routing {

RetryBudget::RetryBudget(double aRatio, double aBurst)
  : m_ratio(aRatio)
  , m_burst(aBurst)
  , m_tokens(aBurst)
{
}

void
RetryBudget::OnRequest()
{
  m_tokens = std::min(m_burst, m_tokens + m_ratio);
}

bool
RetryBudget::TryRetry()
{
  if (m_tokens < 1.0) {
    return false;
  }
  m_tokens -= 1.0;
  return true;
}

} // namespace lacewing::routing
