#include "routing/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace lacewing::routing {

namespace {

constexpr std::int64_t kPartsPerToken = 1'000'000;

std::int64_t
ToParts(double aTokens)
{
  return std::llround(aTokens * static_cast<double>(kPartsPerToken));
}

} // namespace

RetryBudget::RetryBudget(double aRatio, double aBurst)
  : m_perRequest(ToParts(aRatio))
  , m_burst(ToParts(aBurst))
  , m_tokens(m_burst)
{
}

void
RetryBudget::SetRatio(double aRatio)
{
  m_perRequest = ToParts(aRatio);
}

void
RetryBudget::OnRequest()
{
  m_tokens = std::min(m_burst, m_tokens + m_perRequest);
}

bool
RetryBudget::TryRetry()
{
  if (m_tokens < kPartsPerToken) {
    return false;
  }
  m_tokens -= kPartsPerToken;
  return true;
}

} // namespace lacewing::routing
