/// Exponential back-off with jitter from a seeded generator.
#pragma once

#include "core/Time.h"

#include <random>

namespace lacewing::routing {

struct BackoffOptions
{
  Duration m_base = milliseconds(10);
  Duration m_max = seconds(1);
};

class Backoff
{
public:
  Backoff(BackoffOptions aOptions, std::uint64_t aSeed);

  /// Takes effect from the next delay on.
  void SetOptions(BackoffOptions aOptions) { m_options = aOptions; }

  /// A delay between half of and the whole of `base * 2^aRetry`, bounded.
  Duration Delay(int aRetry);

private:
  BackoffOptions m_options;
  std::mt19937_64 m_random;
};

} // namespace lacewing::routing
