/// Guards against a load run that stops waiting for the counts of slow
/// stand-ins: it would misreport what ran, and a late answer would meet memory
/// that is gone.
#include "fakes/FreeAddress.h"
#include "load/LoadRunner.h"
#include "net/HttpServer.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace lacewing::load {

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr const char* kJobId = "job-1";
/// Between one and two of the periods in which the runner polls its jobs, so
/// that an answer which was not waited for comes while the next counts are
/// read.
constexpr Duration kCountDelay = milliseconds(400);

/// Plays an entry daemon, the only endpoint and the only worker: everything
/// succeeds at once, and only the counts come late. Every job gets the same
/// identifier, and its task has started twice.
class SlowCounter
{
public:
  explicit SlowCounter(net::Loop& aLoop)
    : m_loop(aLoop)
    , m_server(
        aLoop,
        {},
        [this](const net::HttpRequest& aRequest, const net::HttpReply& aReply) {
          Handle(aRequest, aReply);
        })
  {
  }

  bool Listen(const net::Address& aAddress)
  {
    return static_cast<bool>(m_server.Listen(aAddress));
  }

  int CountsSent() const { return m_countsSent; }

private:
  void Handle(const net::HttpRequest& aRequest, const net::HttpReply& aReply)
  {
    if (aRequest.m_path == "/executions") {
      ReplyLate(aReply, { { "executions", m_executions } });
    } else if (aRequest.m_path == "/starts") {
      const std::string task = std::string(kJobId) + "/0";
      ReplyLate(aReply, { { "starts", { { task, 2 } } } });
    } else if (aRequest.m_path == "/v1/jobs") {
      Reply(aReply, kAccepted, { { "job", kJobId } });
    } else if (aRequest.m_path.starts_with("/v1/jobs/")) {
      Reply(aReply, kOk, { { "state", "succeeded" } });
    } else {
      m_executions[aRequest.m_body] = 1;
      Reply(aReply, kOk, { { "echo", aRequest.m_body } });
    }
  }

  static void Reply(const net::HttpReply& aReply,
                    int aStatus,
                    const nlohmann::json& aBody)
  {
    aReply(net::JsonResponse(aStatus, aBody.dump()));
  }

  void ReplyLate(const net::HttpReply& aReply, const nlohmann::json& aBody)
  {
    m_loop.After(kCountDelay, [this, aReply, aBody] {
      ++m_countsSent;
      Reply(aReply, kOk, aBody);
    });
  }

  net::Loop& m_loop;
  std::map<std::string, int> m_executions;
  int m_countsSent = 0;
  net::HttpServer m_server;
};

Mix
OneRequestAndOneJob()
{
  Mix mix;
  mix.m_name = "test";
  mix.m_service = "service";
  mix.m_requests.push_back(
    { "quote", 1.0, RequestClass::Interactive, true, seconds(5) });
  JobKindShare job;
  job.m_share = 1.0;
  job.m_spec.m_name = "batch";
  job.m_spec.m_tasks = 1;
  job.m_spec.m_atMostOnce = true;
  mix.m_jobs.push_back(job);
  return mix;
}

LoadOptions
OptionsFor(const net::Address& aAddress)
{
  LoadOptions options;
  options.m_entries = { aAddress };
  options.m_endpoints = { aAddress };
  options.m_requestsPerSecond = 100.0;
  options.m_duration = milliseconds(200);
  return options;
}

} // namespace

// Guards against answered requests reported as not run since their endpoint
// told its counts late.
TEST(LoadSlowCounts, AnsweredRequestsOfASlowEndpointDidRun)
{
  const net::Address address = fakes::FreeAddress();
  net::Loop loop;
  SlowCounter counter(loop);
  ASSERT_TRUE(counter.Listen(address));
  const LoadReport report =
    LoadRunner(loop, OneRequestAndOneJob(), OptionsFor(address)).Run();
  EXPECT_GT(report.m_kinds.at("quote").m_answered, 0U);
  EXPECT_EQ(report.m_violations.m_untrue, 0U);
  EXPECT_EQ(counter.CountsSent(), 1);
}

// Guards against double starts that go unnoticed since their worker told its
// counts late, and against late counts of endpoints that meet a frame that is
// gone while the starts are read.
TEST(LoadSlowCounts, DoubleStartsAtASlowWorkerAreReported)
{
  const net::Address address = fakes::FreeAddress();
  net::Loop loop;
  SlowCounter counter(loop);
  ASSERT_TRUE(counter.Listen(address));
  LoadOptions options = OptionsFor(address);
  options.m_workers = { address };
  options.m_jobsPerSecond = 100.0;
  const LoadReport report =
    LoadRunner(loop, OneRequestAndOneJob(), options).Run();
  const std::uint64_t jobs = report.m_kinds.at("job batch").m_answered;
  EXPECT_GT(jobs, 0U);
  EXPECT_EQ(report.m_violations.m_doubled, jobs);
  EXPECT_EQ(report.m_violations.m_untrue, 0U);
  EXPECT_EQ(counter.CountsSent(), 2);
}

} // namespace lacewing::load
