/// Measures the processor: how long a small fixed calculation takes. A VM whose
/// host gives it less of a processor takes longer, whatever its work is.
#pragma once

#include "core/Time.h"
#include "net/Loop.h"

#include <cstdint>
#include <functional>

namespace lacewing::net {

class ProcessorProbe
{
public:
  using OnTaken = std::function<void(Duration aTaken)>;

  /// Starts measuring, ten times a second. The probe must live as long as the
  /// loop runs.
  ProcessorProbe(Loop& aLoop, OnTaken aOnTaken);

private:
  void Measure();

  Loop& m_loop;
  OnTaken m_onTaken;
  std::uint64_t m_value = 1; ///< kept, so that the calculation is carried out
};

} // namespace lacewing::net
