/// Guards against bounds of a connection that leak, and against reconnects
/// without a growing pause.
#include "peer/PeerAdmission.h"

#include <gtest/gtest.h>

namespace lacewing::peer {

TEST(PeerAdmissionBounds, StreamsAndBytesAreBoundedAndReleased)
{
  ConnectionBudget budget({ 2, 100 });
  EXPECT_EQ(budget.Take(60), std::nullopt);
  EXPECT_EQ(budget.Take(41), PeerFault::TooManyBytes);
  EXPECT_EQ(budget.Take(40), std::nullopt);
  EXPECT_EQ(budget.Take(0), PeerFault::TooManyStreams);
  budget.Release(60);
  EXPECT_EQ(budget.Streams(), 1U);
  EXPECT_EQ(budget.Bytes(), 40U);
  EXPECT_EQ(budget.Take(60), std::nullopt);
}

TEST(PeerAdmissionBounds, SilentConnectionIsAskedAndThenGivenUp)
{
  LivenessCheck check({ seconds(1), seconds(5) });
  const Time start = Time() + seconds(100);
  // A long silence before the first call says nothing about the peer.
  EXPECT_EQ(check.Check(start, Time(), true), LivenessAction::None);
  EXPECT_EQ(check.Check(start + milliseconds(999), Time(), true),
            LivenessAction::None);
  const Time asked = start + seconds(1);
  EXPECT_EQ(check.Check(asked, Time(), true), LivenessAction::Ping);
  EXPECT_EQ(check.Check(asked + milliseconds(4999), Time(), true),
            LivenessAction::None);
  EXPECT_EQ(check.Check(asked + seconds(5), Time(), true),
            LivenessAction::Close);
}

TEST(PeerAdmissionBounds, AnsweringConnectionIsKept)
{
  LivenessCheck check({ seconds(1), seconds(5) });
  Time now = Time() + seconds(100);
  EXPECT_EQ(check.Check(now, now, true), LivenessAction::None);
  constexpr int kRounds = 20;
  for (int round = 0; round < kRounds; ++round) {
    const Time lastReceived = now;
    now += seconds(1);
    EXPECT_EQ(check.Check(now, lastReceived, true), LivenessAction::Ping);
    // The answer arrives before the next check.
    EXPECT_EQ(check.Check(now, now, true), LivenessAction::None);
  }
  // Without open calls nothing is asked.
  EXPECT_EQ(check.Check(now + seconds(60), now, false), LivenessAction::None);
}

TEST(PeerAdmissionBounds, PauseGrowsToItsBoundAndFallsBack)
{
  ReconnectBackoff backoff({ milliseconds(100), milliseconds(300) });
  Time now = Time() + seconds(1);
  EXPECT_TRUE(backoff.MayConnect(now));
  const std::vector<Duration> pauses = {
    milliseconds(100), milliseconds(200), milliseconds(300), milliseconds(300)
  };
  for (const Duration pause : pauses) {
    backoff.OnFailure(now, 1.0);
    EXPECT_FALSE(backoff.MayConnect(now + pause - Duration(1)));
    EXPECT_TRUE(backoff.MayConnect(now + pause));
    now += pause;
  }
  backoff.OnSuccess();
  EXPECT_TRUE(backoff.MayConnect(now));
  backoff.OnFailure(now, 0.0);
  EXPECT_FALSE(backoff.MayConnect(now + milliseconds(49)));
  EXPECT_TRUE(backoff.MayConnect(now + milliseconds(50)));
}

} // namespace lacewing::peer
