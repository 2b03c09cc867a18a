#include "sched/TeamQueue.h"

namespace lacewing::sched {

QueueClass
QueueClassOf(const JobSpec& aSpec)
{
  if (aSpec.m_kind == JobKind::Urgent) {
    return QueueClass::Urgent;
  }
  if (aSpec.m_patient) {
    return QueueClass::Patient;
  }
  return aSpec.m_kind == JobKind::Service ? QueueClass::Service
                                          : QueueClass::Normal;
}

QueueEntry
MakeQueueEntry(const JobSpec& aSpec,
               std::uint64_t aSequence,
               std::uint32_t aJob)
{
  QueueEntry entry;
  entry.m_class = QueueClassOf(aSpec);
  entry.m_deadline = aSpec.m_deadline.value_or(Time::max());
  entry.m_sequence = aSequence;
  entry.m_job = aJob;
  return entry;
}

} // namespace lacewing::sched
