/// The waiting jobs of one team: class, then deadline, then age. Entries of
/// cancelled jobs stay until the scheduler comes across them.
#pragma once

#include "sched/JobTypes.h"

#include <compare>
#include <set>

namespace lacewing::sched {

/// Lower classes come first.
enum class QueueClass : std::uint8_t
{
  Urgent,
  Service,
  Normal,
  Patient,
};

QueueClass
QueueClassOf(const JobSpec& aSpec);

struct QueueEntry
{
  QueueClass m_class = QueueClass::Normal;
  Time m_deadline = Time::max();
  std::uint64_t m_sequence = 0; ///< of the submission, unique
  std::uint32_t m_job = 0;      ///< index of the job

  auto operator<=>(const QueueEntry&) const = default;
};

using TeamQueue = std::set<QueueEntry>;

QueueEntry
MakeQueueEntry(const JobSpec& aSpec,
               std::uint64_t aSequence,
               std::uint32_t aJob);

} // namespace lacewing::sched
