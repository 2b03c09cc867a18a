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

/// Adopts the worker and starts a task with the token of the adoption.
worker::ControlReply
AdoptAndStart(WorkerModel& aWorker, Time aNow)
{
  worker::ControlRequest adopt;
  adopt.m_epoch = 1;
  const auto adopted = aWorker.Control(aNow, adopt);
  return aWorker.Control(aNow, StartRequest(1, adopted.m_token));
}

} // namespace

TEST(WorkerLease, EndsTasksWhenNotRenewed)
{
  WorkerModel worker = MakeWorker();
  ASSERT_TRUE(AdoptAndStart(worker, Time()).m_accepted);
  worker.Advance(Time() + kLease - milliseconds(1));
  EXPECT_EQ(worker.RunningCount(), 1U);
  worker.Advance(Time() + kLease);
  EXPECT_EQ(worker.RunningCount(), 0U);
}

TEST(WorkerLease, RunsFromTheIssueOfTheToken)
{
  WorkerModel worker = MakeWorker();
  const auto adopted = AdoptAndStart(worker, Time());
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
  const auto first = AdoptAndStart(worker, Time());
  worker::ControlRequest adopt;
  adopt.m_epoch = 2;
  ASSERT_TRUE(worker.Control(Time(), adopt).m_accepted);
  const auto reply = worker.Control(Time(), StartRequest(1, first.m_token));
  EXPECT_FALSE(reply.m_accepted);
  EXPECT_EQ(reply.m_epoch, 2U);
}

/// Guards against an adoption that arrives late and keeps tasks running that a
/// later owner has given up.
TEST(WorkerLease, IsNotExtendedByAnAdoption)
{
  WorkerModel worker = MakeWorker();
  ASSERT_TRUE(AdoptAndStart(worker, Time()).m_accepted);
  worker::ControlRequest adopt;
  adopt.m_epoch = 2;
  const Time late = Time() + kLease - milliseconds(1);
  ASSERT_TRUE(worker.Control(late, adopt).m_accepted);
  worker.Advance(Time() + kLease);
  EXPECT_EQ(worker.RunningCount(), 0U);
}

TEST(WorkerLease, RefusesCommandsInAnAdoption)
{
  WorkerModel worker = MakeWorker();
  EXPECT_FALSE(worker.Control(Time(), StartRequest(1, 0)).m_accepted);
  EXPECT_EQ(worker.RunningCount(), 0U);
}

/// Guards against a worker that its owner can never command again after both
/// were cut off for longer than the lease.
TEST(WorkerLease, GivesANewTokenToTheSameOwner)
{
  WorkerModel worker = MakeWorker();
  const auto first = AdoptAndStart(worker, Time());
  const Time late = Time() + kLease + seconds(1);
  ASSERT_FALSE(worker.Control(late, StartRequest(1, first.m_token)).m_accepted);
  worker::ControlRequest adopt;
  adopt.m_epoch = 1;
  const auto again = worker.Control(late, adopt);
  ASSERT_TRUE(again.m_accepted);
  EXPECT_TRUE(worker.Control(late, StartRequest(1, again.m_token)).m_accepted);
}

TEST(WorkerLease, ARepeatedStartDoesNotRunAgain)
{
  WorkerModel worker = MakeWorker();
  const auto started = AdoptAndStart(worker, Time());
  worker::ControlRequest stop;
  stop.m_epoch = 1;
  stop.m_token = started.m_token;
  worker::Command command;
  command.m_kind = worker::CommandKind::Stop;
  command.m_task = { JobId("job"), 0 };
  stop.m_commands.push_back(command);
  stop.m_endedSeen = 1;
  ASSERT_TRUE(worker.Control(Time(), stop).m_accepted);
  worker.Control(Time(), StartRequest(1, started.m_token));
  EXPECT_EQ(worker.RunningCount(), 0U);
}

} // namespace lacewing::standin
