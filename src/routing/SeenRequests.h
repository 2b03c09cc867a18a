/// Ids of forwards that arrived recently, so that a duplicated message is not
/// run or answered a second time.
#pragma once

#include "routing/Request.h"

#include <deque>
#include <unordered_set>

namespace lacewing::routing {

class SeenRequests
{
public:
  /// Notes the id. False if it was noted before within `kRetention`.
  bool Insert(Time aNow, const RequestId& aId);
  std::size_t size() const { return m_ids.size(); }

  /// Longer than a request can live plus the largest delay of a message.
  static constexpr Duration kRetention = kMaxDeadline + 2 * kMaxMessageDelay;

private:
  void Forget(Time aNow);

  std::unordered_set<RequestId> m_ids;
  std::deque<std::pair<Time, RequestId>> m_order; ///< by arrival
};

} // namespace lacewing::routing
