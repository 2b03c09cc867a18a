/// A worker that became suspect, or stays so after a further failure, and what
/// the leader knew as it decided so.
#pragma once

#include "core/EnumNames.h"
#include "core/Time.h"
#include "pool/Job.h"

namespace lacewing::pool {

/// What was wrong with the run that made a worker suspect.
enum class Suspicion : std::uint8_t
{
  Failed, ///< it ended so
  Stuck,  ///< it made no progress
};

struct SuspectWorker
{
  WorkerId m_worker;
  JobId m_job; ///< of that run
  std::uint32_t m_step = 0;
  Suspicion m_reason = Suspicion::Failed;
  Duration m_avoided{}; ///< it gets no new tasks for this long
};

} // namespace lacewing::pool

template<>
struct lacewing::EnumNames<lacewing::pool::Suspicion>
{
  using Reason = lacewing::pool::Suspicion;
  static constexpr std::array kTable = {
    std::pair{ Reason::Failed, std::string_view("failed") },
    std::pair{ Reason::Stuck, std::string_view("stuck") },
  };
};
