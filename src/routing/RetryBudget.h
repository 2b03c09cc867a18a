/// Token bucket that limits retries to a fraction of the requests.
#pragma once

#include <cstdint>

namespace lacewing::routing {

class RetryBudget
{
public:
  /// Each request adds `aRatio` tokens, up to `aBurst`; a retry takes one.
  explicit RetryBudget(double aRatio = 0.1, double aBurst = 10.0);

  /// Tokens that were earned stay.
  void SetRatio(double aRatio);
  void OnRequest();
  /// Takes a token; false when there is none.
  bool TryRetry();

private:
  // Whole parts of a token: sums of a fraction such as 0.1 would stay below 1.
  std::int64_t m_perRequest;
  std::int64_t m_burst;
  std::int64_t m_tokens;
};

} // namespace lacewing::routing
