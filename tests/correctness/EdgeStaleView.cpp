/// Guards against a leader that goes on starting tasks while it can't read what
/// the store holds: confirmed cancellations among them (UNASKED).
#include "fakes/LeaderCell.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace lacewing::fakes {

namespace {

const JobId kJob{ "00000000000000a1" };
constexpr const char* kWorker = "i-1";
/// Longer than a confirmed cancellation may take to end all starts.
constexpr Duration kLongSilence = milliseconds(3500);

/// A leader with one worker, which takes all starts.
class EdgeStaleView : public testing::Test
{
protected:
  bool Lead()
  {
    m_cell.SetDelay(milliseconds(5));
    m_cell.OverrideWith([this](const net::HttpRequest& aRequest)
                          -> std::optional<net::HttpResponse> {
      if (aRequest.m_path == "/api/hold") {
        return net::JsonResponse(
          200, R"({"born":1,"clock_ms":5,"running":[],"ended":[]})");
      }
      if (aRequest.m_path == "/api/run-start") {
        ++m_starts;
        return net::JsonResponse(200, R"({"clock_ms":5})");
      }
      return std::nullopt;
    });
    m_cell.Put({ { std::string("servers//") + kWorker, Entry() } });
    m_cell.Lead();
    return m_cell.RunUntil([&] {
      m_cell.Leader().OnRecorded(m_cell.Leader().WorkersToRecord().m_workers);
      return m_cell.Leader().IsLoaded() && IsWorkerUsable();
    });
  }

  bool IsWorkerUsable()
  {
    const auto& workers = m_cell.Leader().Scheduler().Workers();
    return std::ranges::any_of(workers, [](const auto& aItem) {
      return aItem.second.CanAcceptTasks(net::Loop::Now());
    });
  }

  /// Runs the leader for a time in which nothing is expected.
  void RunFor(Duration aTime)
  {
    m_cell.RunUntil([] { return false; }, aTime);
  }

  /// A front stores a job and tells the leader of it.
  void Submit()
  {
    const pool::Job job = PoolJob(kJob.Value(), kPatientQueue, { PoolStep(1) });
    m_cell.PutJob(job);
    m_cell.Leader().AddJob(job, m_cell.Version(), edge::JobSource::Front);
  }

  void StoreCancellation()
  {
    m_cell.Put({ { pool::CancelKey(kJob, pool::JobLocation::First), "{}" } });
  }

  LeaderCell m_cell;
  int m_starts = 0;

private:
  std::string Entry() const
  {
    return R"({"service":"ledger","address":")" + m_cell.Address().ToString() +
           R"(","zone":"z","state":"ready","labels":["a","r1"],"born":1,)"
           R"("capacity":{"cpu":8000,"mem_mb":16000}})";
  }
};

/// The watch of the job table had fallen behind by seconds, and the notice of
/// a cancellation had been lost: its job started long after the confirmation.
TEST_F(EdgeStaleView, CancelledJobDoesNotStartWhileChangesCannotBeRead)
{
  ASSERT_TRUE(Lead());
  m_cell.Hold("/api/rows-feed?table=jobs");
  RunFor(kLongSilence);
  Submit();
  StoreCancellation();
  RunFor(kLongSilence);
  EXPECT_EQ(m_starts, 0);
  m_cell.Release();
  ASSERT_TRUE(m_cell.RunUntil([&] {
    const auto view = m_cell.Leader().ViewOf(kJob);
    return view && view->m_state == pool::JobState::Cancelled;
  }));
  RunFor(milliseconds(300));
  EXPECT_EQ(m_starts, 0);
}

TEST_F(EdgeStaleView, WaitingJobStartsOnceChangesAreReadAgain)
{
  ASSERT_TRUE(Lead());
  m_cell.Hold("/api/rows-feed?table=jobs");
  RunFor(kLongSilence);
  Submit();
  m_cell.Release();
  EXPECT_TRUE(m_cell.RunUntil([&] { return m_starts == 1; }));
}

/// While the store answers, jobs start as soon as the leader is told of them.
TEST_F(EdgeStaleView, JobStartsWhileChangesAreRead)
{
  ASSERT_TRUE(Lead());
  RunFor(kLongSilence);
  Submit();
  EXPECT_TRUE(m_cell.RunUntil([&] { return m_starts == 1; }));
}

} // namespace

} // namespace lacewing::fakes
