/// Guards against a short excess of jobs that becomes a lasting one, because
/// jobs are accepted that the leader can only start too late. Load pattern: a
/// burst of twice what the leader's processor can do, then four fifths of it.
#include "pool/AdmissionControl.h"

#include <gtest/gtest.h>

#include <deque>
#include <string>

namespace lacewing::pool {

namespace {

constexpr Time kStart{ seconds(1000) };
constexpr Duration kStep = milliseconds(50);
constexpr Duration kBurst = seconds(4);

/// The leader's processor: what it has not done yet is how late its loop is.
class BusyLeader
{
public:
  explicit BusyLeader(bool aSheds)
    : m_sheds(aSheds)
  {
  }

  void RunUntil(Duration aEnd)
  {
    for (; m_time < aEnd; m_time += kStep) {
      // The other daemons learn of the share with a delay.
      m_shares.push_back(m_sheds ? m_control.AdmittedShare() : 1.0);
      if (m_shares.size() > kDelaySteps) {
        m_shares.pop_front();
      }
      const double load = m_time < kBurst ? 2.0 : 0.8;
      m_lag += Scale(kStep, load * m_shares.front()) - kStep;
      m_lag = std::max(m_lag, Duration::zero());
      m_control.OnLag(kStart + m_time, m_lag);
    }
  }

  AdmissionControl m_control;
  Duration m_lag{};

private:
  static constexpr std::size_t kDelaySteps = 6;

  bool m_sheds;
  Duration m_time{};
  std::deque<double> m_shares;
};

TEST(PoolAdmissionControl, LeaderKeepsUpSoonAfterABurst)
{
  constexpr Duration kSoonAfter = kBurst + seconds(2);
  BusyLeader alone(false);
  alone.RunUntil(kSoonAfter);
  EXPECT_GT(alone.m_lag, seconds(3));
  BusyLeader shedding(true);
  shedding.RunUntil(kSoonAfter);
  EXPECT_EQ(shedding.m_lag, Duration::zero());
  EXPECT_LT(shedding.m_control.AdmittedShare(), 1.0);
  shedding.RunUntil(kSoonAfter + seconds(10));
  EXPECT_EQ(shedding.m_control.AdmittedShare(), 1.0);
}

/// Guards against a share that falls too slowly because a very busy loop comes
/// to its timers once a second only.
TEST(PoolAdmissionControl, RareLagsCountForTheirWholeTime)
{
  AdmissionControl often;
  AdmissionControl rarely;
  for (int tick = 0; tick <= 40; ++tick) {
    const Time now = kStart + milliseconds(250) * tick;
    often.OnLag(now, milliseconds(900));
    if (tick % 4 == 0) {
      rarely.OnLag(now, milliseconds(900));
    }
  }
  EXPECT_NEAR(rarely.AdmittedShare(), often.AdmittedShare(), 0.01);
}

/// Guards against callers who are refused because of one slow callback.
TEST(PoolAdmissionControl, ShortPausesRefuseNobody)
{
  AdmissionControl control;
  for (int tick = 0; tick < 1000; ++tick) {
    const bool pause = tick % 3 == 0;
    control.OnLag(kStart + kStep * tick,
                  pause ? milliseconds(120) : milliseconds(1));
  }
  EXPECT_EQ(control.AdmittedShare(), 1.0);
  EXPECT_EQ(control.StandingLag(), milliseconds(1));
}

/// Guards against a cell that refuses everybody and so never finds out that the
/// leader keeps up again.
TEST(PoolAdmissionControl, SomeJobsAreAlwaysAccepted)
{
  AdmissionControl control;
  for (int tick = 0; tick < 1000; ++tick) {
    control.OnLag(kStart + kStep * tick, seconds(1));
  }
  EXPECT_GT(control.AdmittedShare(), 0.0);
  EXPECT_LT(control.AdmittedShare(), 0.2);
}

/// Guards against a silent leader that counts as one that keeps up, and against
/// refusals because one answer is missing.
TEST(PoolAdmissionControl, ShareFallsWithTheAgeOfTheLastAnswer)
{
  HeardAdmission heard(kStart);
  EXPECT_EQ(heard.AdmittedShare(kStart + milliseconds(500)), 1.0);
  heard.OnAnswer(kStart + seconds(1), 0.8);
  EXPECT_EQ(heard.AdmittedShare(kStart + milliseconds(1500)), 0.8);
  EXPECT_LT(heard.AdmittedShare(kStart + seconds(4)), 0.4);
  // Some jobs show whether the leader answers again.
  EXPECT_GT(heard.AdmittedShare(kStart + seconds(60)), 0.0);
  EXPECT_LT(heard.AdmittedShare(kStart + seconds(60)), 0.2);
  heard.OnAnswer(kStart + seconds(61), 1.0);
  EXPECT_EQ(heard.AdmittedShare(kStart + seconds(61)), 1.0);
}

/// Guards against a share that is raised because the leader does not answer.
TEST(PoolAdmissionControl, SilenceNeverRaisesTheShare)
{
  HeardAdmission heard(kStart);
  heard.OnAnswer(kStart, 0.05);
  EXPECT_EQ(heard.AdmittedShare(kStart + seconds(10)), 0.05);
}

/// Guards against shares that hit other jobs in each daemon, or more or fewer
/// jobs than they should.
TEST(PoolAdmissionControl, ShareIsMetAndContainsEachSmallerOne)
{
  constexpr int kJobs = 10'000;
  int admitted = 0;
  for (int number = 0; number < kJobs; ++number) {
    const JobId job(std::to_string(number));
    admitted += IsAdmitted(job, 0.3) ? 1 : 0;
    EXPECT_TRUE(IsAdmitted(job, 1.0));
    EXPECT_TRUE(!IsAdmitted(job, 0.3) || IsAdmitted(job, 0.6));
  }
  EXPECT_NEAR(admitted, 0.3 * kJobs, 0.02 * kJobs);
}

/// Guards against callers who are sent away for longer than the load lasts, or
/// come back too early to be accepted.
TEST(PoolAdmissionControl, TimeToAdmissionIsThatOfTheRecoveryForEachJob)
{
  constexpr int kJobs = 20;
  for (int number = 0; number < kJobs; ++number) {
    const JobId job(std::to_string(number));
    EXPECT_EQ(TimeToAdmission(job, 1.0), Duration::zero());
    AdmissionControl control;
    Time now = kStart;
    for (int tick = 0; tick < 40; ++tick, now += kStep) {
      control.OnLag(now, seconds(1));
    }
    const Duration told = TimeToAdmission(job, control.AdmittedShare());
    const Time begin = now;
    for (; !IsAdmitted(job, control.AdmittedShare()); now += kStep) {
      control.OnLag(now, Duration::zero());
    }
    EXPECT_GE(now - begin, told - milliseconds(250)) << number;
    EXPECT_LE(now - begin, told + milliseconds(250)) << number;
  }
}

/// Guards against daemons of different builds that admit different jobs.
TEST(PoolAdmissionControl, PlaceOfAJobIsTheSameInEachBuild)
{
  const JobId job("c8703ac85910cbfc");
  EXPECT_FALSE(IsAdmitted(job, 0.3148));
  EXPECT_TRUE(IsAdmitted(job, 0.3149));
}

} // namespace

} // namespace lacewing::pool
