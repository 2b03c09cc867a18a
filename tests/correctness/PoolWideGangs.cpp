/// Guards against gangs that never start beside idle workers, since they need
/// more permitted workers than one question names.
#include "fakes/PoolSamples.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

namespace {

constexpr Duration kTurn = milliseconds(20);

struct Asked
{
  Time m_answerAt{};
  pool::AdviceRequest m_request;
};

class PoolWideGangs : public testing::Test
{
protected:
  static constexpr int kWorkers = 400;

  /// The policy service permits four workers in ten, always the same ones.
  static bool IsPermitted(const pool::WorkerId& aWorker)
  {
    return std::stoi(aWorker.Value().substr(1)) % 10 < 4;
  }

  static pool::PoolConfig Config()
  {
    pool::PoolConfig config = PoolSample();
    config.m_queues.back().m_advice = { milliseconds(490),
                                        milliseconds(7),
                                        seconds(2) };
    return config;
  }

  static std::vector<pool::WorkerInfo> Workers()
  {
    std::vector<pool::WorkerInfo> workers;
    workers.reserve(kWorkers);
    for (int number = 0; number < kWorkers; ++number) {
      workers.push_back(PoolWorker("w" + std::to_string(number)));
    }
    return workers;
  }

  void AnswerDue()
  {
    std::erase_if(m_asked, [&](const Asked& aAsked) {
      const bool due = aAsked.m_answerAt <= m_fixture.m_now;
      if (due) {
        std::vector<pool::Permission> permitted;
        for (const pool::WorkerId& worker : aAsked.m_request.m_workers) {
          if (IsPermitted(worker)) {
            permitted.push_back({ worker, "ticket" });
          }
        }
        m_fixture.m_scheduler.OnAdvice(
          m_fixture.m_now, aAsked.m_request, permitted);
      }
      return due;
    });
  }

  /// Tasks that have started at the end of the time or once there are some.
  std::size_t StartsWithin(Duration aTime)
  {
    const Time end = m_fixture.m_now + aTime;
    while (m_fixture.m_now < end) {
      m_fixture.ReportAllIdle();
      AnswerDue();
      const pool::Actions actions = m_fixture.Plan();
      if (!actions.m_starts.empty()) {
        return actions.m_starts.size();
      }
      for (const pool::AdviceRequest& request : actions.m_adviceRequests) {
        const Duration cost =
          milliseconds(490) +
          milliseconds(7) * static_cast<int>(request.m_workers.size());
        m_asked.push_back({ m_fixture.m_now + cost, request });
      }
      m_fixture.m_now += kTurn;
    }
    return 0;
  }

  void AddGang(std::uint32_t aTasks)
  {
    pool::StepSpec step = PoolStep(aTasks, 5000); // one fits on a worker
    step.m_gang = true;
    m_fixture.Add(PoolJob("gang", kPolicyQueue, { step }));
  }

  PoolFixture m_fixture{ Workers(), Config() };
  std::vector<Asked> m_asked;
};

TEST_F(PoolWideGangs, GangOnTheWorkersOfTwoAnswersStarts)
{
  AddGang(60);
  EXPECT_EQ(StartsWithin(seconds(20)), 60U);
}

/// Each question named the same hundred permitted workers, so that the gang
/// asked without end.
TEST_F(PoolWideGangs, GangOnMoreWorkersThanAQuestionNamesStarts)
{
  AddGang(120);
  EXPECT_EQ(StartsWithin(seconds(20)), 120U);
}

} // namespace

} // namespace lacewing::fakes
