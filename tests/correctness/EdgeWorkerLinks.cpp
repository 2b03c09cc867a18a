/// Guards against lease extensions for an earlier incarnation of a worker,
/// which the restarted worker takes for its own.
#include "edge/WorkerLinks.h"
#include "fakes/PoolSamples.h"
#include "fakes/StoreCell.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace lacewing::fakes {

namespace {

/// A leader's link to one worker, which answers lease extensions with an end of
/// a job that does not exist, or not at all.
class LinkCell : public StoreCell
{
public:
  LinkCell()
    : m_log({})
    , m_workers(m_http)
    , m_scheduler(net::Loop::Now(), 1, {}, net::Loop::Now())
  {
    OverrideWith([this](const net::HttpRequest& aRequest) {
      if (aRequest.m_path != "/api/hold") {
        m_commands.push_back(aRequest.m_path);
        const bool stop = aRequest.m_path == "/api/run-stop";
        if (!stop && m_acceptsStarts) {
          return std::optional(net::JsonResponse(200, R"({"clock_ms":1})"));
        }
        return std::optional(
          net::JsonResponse(stop && m_acceptsStops ? 200 : 500, "{}"));
      }
      const auto body = nlohmann::json::parse(aRequest.m_body);
      m_acknowledged.push_back(body.at("last_seen").get<int>());
      m_leaseEnds.push_back(body.value("deadline_ms", 0));
      return std::optional(
        net::JsonResponse(m_answers ? 200 : 503,
                          R"({"born":)" + std::to_string(m_incarnation) +
                            R"(,"clock_ms":5,"running":[],)"
                            R"("ended":[[4,"job.0.0.0",1,"done",""]]})"));
    });
    // The loop does not return while requests and responses are always ready.
    SetDelay(milliseconds(5));
    List(false);
    edge::WorkerLinkHooks hooks;
    hooks.m_onChange = [this] {
      m_scheduler.OnJobNotFound(net::Loop::Now(), JobId("job"));
    };
    hooks.m_onFenced = [] {};
    hooks.m_maySendCommands = [] { return true; };
    m_links =
      std::make_shared<edge::WorkerLinks>(m_loop,
                                          edge::WorkerCalls(m_workers, nullptr),
                                          m_log,
                                          m_metrics,
                                          m_scheduler,
                                          1,
                                          std::move(hooks));
    m_links->Update();
  }
  ~LinkCell() { m_links->Close(); }
  LinkCell(const LinkCell&) = delete;
  LinkCell& operator=(const LinkCell&) = delete;

  /// The entry of the worker in the store.
  void List(bool aDraining)
  {
    pool::WorkerInfo worker = PoolWorker("w1");
    worker.m_address = Address().ToString();
    worker.m_draining = aDraining;
    m_scheduler.SetWorkers(net::Loop::Now(), { worker });
  }

  /// Runs until the worker has received that many further lease extensions.
  bool RunExtensions(std::size_t aCount)
  {
    const std::size_t until = m_acknowledged.size() + aCount;
    return RunUntil([&] { return m_acknowledged.size() >= until; });
  }

  /// Sends the start of a task, which the worker leaves in doubt.
  bool SendStart()
  {
    m_scheduler.SetConfig(net::Loop::Now(), PoolSample());
    m_scheduler.AddJob(net::Loop::Now(),
                       PoolJob("other", kPatientQueue, { PoolStep(1) }),
                       {},
                       {},
                       pool::JobOrigin::Accepted);
    m_scheduler.SetRecordedWorkers(
      m_scheduler.ListWorkersToRecord(net::Loop::Now()).m_workers);
    const auto starts = m_scheduler.Plan(net::Loop::Now()).m_starts;
    if (starts.size() == 1) {
      m_links->Start(starts[0]);
    }
    return RunUntil([this] { return !m_commands.empty(); });
  }

  /// Sends the stops that the scheduler has decided on.
  void SendStops()
  {
    for (const auto& stop : m_scheduler.Plan(net::Loop::Now()).m_stops) {
      m_links->Stop(stop);
    }
  }

  void CancelStarted()
  {
    m_scheduler.CancelJob(net::Loop::Now(), JobId("other"));
  }

  bool m_answers = true;
  bool m_acceptsStops = true;
  /// Answers to starts have the clock of a later incarnation.
  bool m_acceptsStarts = false;
  std::int64_t m_incarnation = 1;
  std::vector<std::string> m_commands; ///< paths of starts and stops
  std::vector<int> m_acknowledged;     ///< by each lease extension
  std::vector<int> m_leaseEnds;        ///< likewise; 0 for none

private:
  observe::Log m_log;
  observe::Metrics m_metrics;
  platform::WorkerClient m_workers;
  pool::PoolScheduler m_scheduler;
  std::shared_ptr<edge::WorkerLinks> m_links;
};

/// A worker that fails to answer may be restarting, and then numbers its ends
/// from 1 again. The number of its earlier incarnation's last end would
/// acknowledge ends that nobody has received.
TEST(EdgeWorkerLinks, NothingIsAcknowledgedToAWorkerThatDidNotAnswer)
{
  LinkCell cell;
  ASSERT_TRUE(cell.RunExtensions(3));
  EXPECT_EQ(cell.m_acknowledged.back(), 4);
  cell.m_answers = false;
  ASSERT_TRUE(cell.RunExtensions(2));
  EXPECT_EQ(cell.m_acknowledged.back(), 0);
  cell.m_answers = true;
  ASSERT_TRUE(cell.RunExtensions(2));
  EXPECT_EQ(cell.m_acknowledged.back(), 4);
}

/// A restarted worker's clock begins anew. It took the end of the lease on the
/// former clock for a far one and kept its tasks for the longest lease, while
/// the leader started them elsewhere.
TEST(EdgeWorkerLinks, WorkerThatDidNotAnswerGetsNoLease)
{
  LinkCell cell;
  ASSERT_TRUE(cell.RunExtensions(3));
  EXPECT_GT(cell.m_leaseEnds.back(), 0);
  cell.m_answers = false;
  ASSERT_TRUE(cell.RunExtensions(2));
  EXPECT_EQ(cell.m_leaseEnds.back(), 0);
  cell.m_answers = true;
  ASSERT_TRUE(cell.RunExtensions(2));
  EXPECT_GT(cell.m_leaseEnds.back(), 0);
}

/// The clock in the answer to a start shows a restart of which nothing else was
/// heard. The leader went on to send lease ends on the former clock.
TEST(EdgeWorkerLinks, WorkerThatAnswersWithAnEarlierClockGetsNoLease)
{
  LinkCell cell;
  cell.m_acceptsStarts = true;
  ASSERT_TRUE(cell.RunExtensions(3));
  EXPECT_EQ(std::ranges::count(cell.m_leaseEnds, 0), 1); // clock not known yet
  ASSERT_TRUE(cell.SendStart());
  ASSERT_TRUE(cell.RunExtensions(3));
  EXPECT_EQ(std::ranges::count(cell.m_leaseEnds, 0), 2);
}

/// A start without an answer was sent again to a worker that had restarted
/// meanwhile, perhaps as one of another kind.
TEST(EdgeWorkerLinks, StartInDoubtIsNotRepeatedAtANewIncarnation)
{
  LinkCell cell;
  ASSERT_TRUE(cell.RunExtensions(3));
  ASSERT_TRUE(cell.SendStart());
  cell.m_incarnation = 2;
  ASSERT_TRUE(cell.RunExtensions(2));
  cell.m_commands.clear();
  const bool commanded = cell.RunUntil([&] {
    cell.SendStops();
    return !cell.m_commands.empty();
  });
  ASSERT_TRUE(commanded);
  EXPECT_EQ(cell.m_commands.front(), "/api/run-stop");
}

/// A start without an answer is sent again for as long as its worker drains: it
/// can start later than the time that users allow after the entry says so
/// (DRAIN).
TEST(EdgeWorkerLinks, StartInDoubtIsNotRepeatedAtADrainingWorker)
{
  constexpr Duration kDrainBound = milliseconds(2500); // that users allow
  LinkCell cell;
  ASSERT_TRUE(cell.RunExtensions(3));
  ASSERT_TRUE(cell.SendStart());
  cell.List(true);
  cell.RunUntil([] { return false; }, kDrainBound);
  cell.m_commands.clear();
  cell.RunUntil([] { return false; }, milliseconds(500));
  EXPECT_EQ(std::ranges::count(cell.m_commands, "/api/run-start"), 0);
}

/// A start without an answer was sent again while its run was being stopped:
/// a task of a cancelled job started if no stop had reached its worker.
TEST(EdgeWorkerLinks, StartInDoubtIsNotRepeatedOnceItsJobIsCancelled)
{
  LinkCell cell;
  cell.m_acceptsStops = false;
  ASSERT_TRUE(cell.RunExtensions(3));
  ASSERT_TRUE(cell.SendStart());
  cell.CancelStarted();
  cell.SendStops();
  cell.m_commands.clear();
  const auto isStop = [](const std::string& aPath) {
    return aPath == "/api/run-stop";
  };
  ASSERT_TRUE(cell.RunUntil(
    [&] { return std::ranges::count_if(cell.m_commands, isStop) >= 4; }));
  EXPECT_TRUE(std::ranges::all_of(cell.m_commands, isStop));
}

} // namespace

} // namespace lacewing::fakes
