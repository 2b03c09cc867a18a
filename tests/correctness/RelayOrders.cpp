/// Guards against orders that a relay passes on after its leader has been
/// replaced, or so late that their job may be cancelled.
#include "relay/OrderGate.h"

#include <gtest/gtest.h>

namespace lacewing::relay {

namespace {

constexpr Time kNow{ seconds(100) };

/// A relay's end of a connection, and a leader that has received its last beat.
struct Connection
{
  explicit Connection(TermFence& aFence)
    : m_gate(aFence)
  {
  }

  OrderFrame Frame(std::uint64_t aTerm = 5) const
  {
    OrderFrame frame;
    frame.m_term = aTerm;
    frame.m_beat = m_beat;
    return frame;
  }
  void Beat(Time aNow) { m_beat = m_gate.Beat(aNow); }

  OrderGate m_gate;
  Time m_beat{};
};

TEST(RelayOrders, OrderOfALeaderThatHearsTheRelayIsAccepted)
{
  TermFence fence;
  Connection one(fence);
  one.Beat(kNow);
  EXPECT_EQ(one.m_gate.Check(kNow + milliseconds(40), one.Frame(), 1),
            OrderVerdict::Accepted);
}

/// A relay that was paused reads what arrived before and during the pause.
TEST(RelayOrders, OrderThatWaitedInAPausedRelayIsDropped)
{
  TermFence fence;
  Connection one(fence);
  one.Beat(kNow);
  const OrderFrame sentBeforeThePause = one.Frame();
  const Time resumed = kNow + seconds(4);
  EXPECT_EQ(one.m_gate.Check(resumed, sentBeforeThePause, 1),
            OrderVerdict::Late);
  // The beat after the pause does not make the former frame younger.
  one.Beat(resumed);
  EXPECT_EQ(one.m_gate.Check(resumed, sentBeforeThePause, 2),
            OrderVerdict::Late);
  EXPECT_EQ(one.m_gate.Check(resumed + milliseconds(1), one.Frame(), 3),
            OrderVerdict::Accepted);
}

/// The link from the leader was cut for a while, and held the bytes back.
TEST(RelayOrders, OrderThatACutLinkHeldBackIsDropped)
{
  TermFence fence;
  Connection one(fence);
  one.Beat(kNow);
  const OrderFrame heldBack = one.Frame();
  for (int beat = 1; beat <= 20; ++beat) {
    one.Beat(kNow + beat * milliseconds(100));
  }
  EXPECT_EQ(one.m_gate.Check(kNow + seconds(2), heldBack, 1),
            OrderVerdict::Late);
}

/// Each order of a long frame is checked when it is its turn.
TEST(RelayOrders, OrderThatBecomesTooOldWithinItsFrameIsDropped)
{
  TermFence fence;
  Connection one(fence);
  one.Beat(kNow);
  EXPECT_EQ(one.m_gate.Check(kNow + kOrderLifetime, one.Frame(), 1),
            OrderVerdict::Accepted);
  EXPECT_EQ(
    one.m_gate.Check(kNow + kOrderLifetime + milliseconds(1), one.Frame(), 2),
    OrderVerdict::Late);
}

/// The age of a frame is known only by a beat of the same connection: one of
/// the relay's former process or a made-up one tells nothing.
TEST(RelayOrders, OrderWithABeatThatWasNotSentIsDropped)
{
  TermFence fence;
  Connection one(fence);
  EXPECT_EQ(one.m_gate.Check(kNow, one.Frame(), 1), OrderVerdict::Late);
  one.Beat(kNow);
  one.m_beat = kNow - milliseconds(10);
  EXPECT_EQ(one.m_gate.Check(kNow, one.Frame(), 2), OrderVerdict::Late);
  one.m_beat = kNow + milliseconds(10);
  EXPECT_EQ(one.m_gate.Check(kNow, one.Frame(), 3), OrderVerdict::Late);
}

/// A worker would run a task twice if a relay made the same call twice after
/// the first run had ended.
TEST(RelayOrders, RepeatedOrEarlierOrderIsNotCarriedOut)
{
  TermFence fence;
  Connection one(fence);
  one.Beat(kNow);
  EXPECT_EQ(one.m_gate.Check(kNow, one.Frame(), 7), OrderVerdict::Accepted);
  EXPECT_EQ(one.m_gate.Check(kNow, one.Frame(), 7), OrderVerdict::Repeated);
  EXPECT_EQ(one.m_gate.Check(kNow, one.Frame(), 6), OrderVerdict::Repeated);
  EXPECT_EQ(one.m_gate.Check(kNow, one.Frame(), 8), OrderVerdict::Accepted);
}

/// A replaced leader that does not know it yet goes on sending orders on its
/// own connection.
TEST(RelayOrders, OrdersOfAPredecessorAreDroppedOnceTheSuccessorIsKnown)
{
  TermFence fence;
  Connection former(fence);
  Connection later(fence);
  former.Beat(kNow);
  later.Beat(kNow);
  EXPECT_EQ(former.m_gate.Check(kNow, former.Frame(5), 1),
            OrderVerdict::Accepted);
  EXPECT_EQ(later.m_gate.Check(kNow, later.Frame(6), 1),
            OrderVerdict::Accepted);
  EXPECT_EQ(former.m_gate.Check(kNow, former.Frame(5), 2),
            OrderVerdict::Superseded);
}

/// The daemon may have heard of the successor in another way than by orders.
TEST(RelayOrders, TermHeardElsewhereFencesOrdersToo)
{
  TermFence fence;
  Connection one(fence);
  one.Beat(kNow);
  fence.OnTerm(9);
  EXPECT_EQ(one.m_gate.Check(kNow, one.Frame(8), 1), OrderVerdict::Superseded);
  EXPECT_EQ(one.m_gate.Check(kNow, one.Frame(9), 2), OrderVerdict::Accepted);
}

} // namespace

} // namespace lacewing::relay
