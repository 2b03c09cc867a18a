/// A planned stop: no new claims, slices are released one by one, and the
/// member leaves when its fronted requests have finished.
#pragma once

#include "ownership/OwnershipOptions.h"

namespace lacewing::ownership {

class Draining
{
public:
  explicit Draining(OwnershipOptions aOptions);

  void Start(Time aNow);
  bool IsStarted() const { return m_started; }
  /// Requests that this process still fronts or has dispatched.
  void SetOpenRequests(std::size_t aCount) { m_openRequests = aCount; }
  /// True when the own row may be written as deposed.
  bool MayLeave(Time aNow, std::size_t aHeldSlices) const;
  /// True when the process stops even if the table cannot be reached.
  bool IsOverdue(Time aNow) const;

private:
  OwnershipOptions m_options;
  bool m_started = false;
  Time m_startedAt{};
  std::size_t m_openRequests = 0;
};

} // namespace lacewing::ownership
