/// Token bucket that limits retries to a fraction of the requests.
#pragma once

namespace lacewing::routing {

class RetryBudget
{
public:
  /// Each request adds `aRatio` tokens, up to `aBurst`; a retry takes one.
  explicit RetryBudget(double aRatio = 0.1, double aBurst = 10.0);

  void OnRequest();
  /// Takes a token; false when there is none.
  bool TryRetry();

private:
  double m_ratio;
  double m_burst;
  double m_tokens;
};

} // namespace lacewing::routing
