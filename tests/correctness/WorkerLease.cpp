/// Guards against tasks that keep running after the lease of their worker, and
/// against delayed renewals that extend it.
#include "WorkerModel.h"

#include <gtest/gtest.h>

namespace lacewing::standin {

namespace {

constexpr Duration kLease = seconds(20);

WorkerModel
MakeWorker()
{
  WorkerOptions options;
  options.m_capacity = { 32000, 65536, 0 };
  options.m_lease = kLease;
  return WorkerModel(options);
}

worker::ControlRequest
StartRequest(Epoch aEpoch, std::uint64_t aToken)
{
  worker::ControlRequest request;
  request.m_epoch = aEpoch;
  request.m_token = aToken;
  worker::Command start;
  start.m_task = { JobId("job"), 0 };
  start.m_reserved = { 1000, 1024, 0 };
  start.m_runMs = 3'600'000;
  request.m_commands.push_back(start);
  return request;
}

} // namespace

TEST(WorkerLease, EndsTasksWhenNotRenewed)
{
  WorkerModel worker = MakeWorker();
  ASSERT_TRUE(worker.Control(Time(), StartRequest(1, 0)).m_accepted);
  worker.Advance(Time() + kLease - milliseconds(1));
  EXPECT_EQ(worker.RunningCount(), 1U);
  worker.Advance(Time() + kLease);
  EXPECT_EQ(worker.RunningCount(), 0U);
}

TEST(WorkerLease, RunsFromTheIssueOfTheToken)
{
  WorkerModel worker = MakeWorker();
  const auto adopted = worker.Control(Time(), StartRequest(1, 0));
  worker::ControlRequest renewal;
  renewal.m_epoch = 1;
  renewal.m_token = adopted.m_token;
  const Time late = Time() + kLease - seconds(1);
  ASSERT_TRUE(worker.Control(late, renewal).m_accepted);
  worker.Advance(Time() + kLease);
  EXPECT_EQ(worker.RunningCount(), 0U);
}

TEST(WorkerLease, RefusesALowerEpoch)
{
  WorkerModel worker = MakeWorker();
  const auto first = worker.Control(Time(), StartRequest(1, 0));
  worker::ControlRequest adopt;
  adopt.m_epoch = 2;
  ASSERT_TRUE(worker.Control(Time(), adopt).m_accepted);
  const auto reply = worker.Control(Time(), StartRequest(1, first.m_token));
  EXPECT_FALSE(reply.m_accepted);
  EXPECT_EQ(reply.m_epoch, 2U);
}

} // namespace lacewing::standin
