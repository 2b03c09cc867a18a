/// Guards against a team's urgent or due work that waits behind its other work.
#include "fakes/SchedFleet.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

TEST(SchedQueueOrder, IsClassThenDeadlineThenAge)
{
  auto scheduler = MakeSlice(1);
  const Time now = Time() + seconds(1);
  const Resources whole{ 8000, 1024, 0 };
  auto patient = MakeJob("patient", "t", 1, whole);
  patient.m_patient = true;
  auto due = MakeJob("due", "t", 1, whole);
  due.m_deadline = now + seconds(30);
  auto dueFirst = MakeJob("due-first", "t", 1, whole);
  dueFirst.m_deadline = now + seconds(10);
  const std::vector<sched::JobSpec> jobs = {
    patient,
    MakeJob("older", "t", 1, whole),
    MakeJob("younger", "t", 1, whole),
    due,
    dueFirst,
    MakeJob("service", "t", 1, whole, sched::JobKind::Service),
    MakeJob("urgent", "t", 1, whole, sched::JobKind::Urgent),
  };
  for (const auto& job : jobs) {
    scheduler.Submit(now, job);
  }
  std::vector<std::string> order;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    const auto starts = scheduler.Decide(now, 10);
    ASSERT_EQ(starts.size(), 1U);
    order.push_back(starts[0].m_task.m_job.Value());
    End(scheduler, now, starts[0]);
  }
  const std::vector<std::string> expected = { "urgent", "service", "due-first",
                                              "due",    "older",   "younger",
                                              "patient" };
  EXPECT_EQ(order, expected);
}

} // namespace lacewing::fakes
