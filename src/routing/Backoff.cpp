#include "routing/Backoff.h"

#include <algorithm>

namespace lacewing::routing {

namespace {

// Shifts beyond this exceed every bound in use.
constexpr int kMaxShift = 20;

} // namespace

Backoff::Backoff(BackoffOptions aOptions, std::uint64_t aSeed)
  : m_options(aOptions)
  , m_random(aSeed)
{
}

Duration
Backoff::Delay(int aRetry)
{
  const int shift = std::clamp(aRetry, 0, kMaxShift);
  const Duration full =
    std::min<Duration>(m_options.m_max, m_options.m_base * (1LL << shift));
  std::uniform_int_distribution<Duration::rep> jitter(full.count() / 2,
                                                      full.count());
  return Duration(jitter(m_random));
}

} // namespace lacewing::routing
