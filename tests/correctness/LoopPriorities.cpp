/// Guards against responses and timers that wait behind all other work of a
/// busy process: a leader's view of the stored jobs fell behind for that.
#include "fakes/ListeningSocket.h"
#include "net/HttpClient.h"

#include <gtest/gtest.h>

namespace lacewing::net {

namespace {

constexpr int kBacklog = 2000;

/// Work that is always ready: each callback arranges for its successor.
class Backlog
{
public:
  explicit Backlog(Loop& aLoop)
    : m_loop(aLoop)
  {
    for (int number = 0; number < kBacklog; ++number) {
      Add();
    }
  }

  void SetStep(std::function<void()> aStep) { m_step = std::move(aStep); }
  /// Callbacks so far.
  int Count() const { return m_count; }
  void End() { m_ended = true; }

private:
  void Add()
  {
    m_loop.After(Duration::zero(), [this] {
      ++m_count;
      if (m_step) {
        m_step();
      }
      if (!m_ended) {
        Add();
      }
    });
  }

  Loop& m_loop;
  std::function<void()> m_step;
  int m_count = 0;
  bool m_ended = false;
};

/// Callbacks of the backlog from the arrival of a large response at the client
/// until the client has read it; empty if it was not read.
std::optional<int>
CallbacksUntilRead(Priority aPriority)
{
  constexpr std::size_t kBodyBytes = 60'000;
  constexpr int kMostCallbacks = 400'000;
  Loop loop;
  HttpClient client(loop, aPriority);
  fakes::ListeningSocket server;
  Backlog backlog(loop);
  std::optional<int> answeredAt;
  std::optional<int> readAt;
  backlog.SetStep([&] {
    if (!answeredAt && server.HasRequest()) {
      server.Answer(std::string(kBodyBytes, 'x'));
      answeredAt = backlog.Count();
    }
    if (backlog.Count() > kMostCallbacks) {
      backlog.End();
    }
  });
  client.Send(
    server.LocalAddress(), {}, seconds(60), [&](const HttpOutcome& aOutcome) {
      if (aOutcome.m_response &&
          aOutcome.m_response->m_body.size() == kBodyBytes) {
        readAt = backlog.Count();
      }
      backlog.End();
    });
  loop.Poll();
  return answeredAt && readAt ? std::optional(*readAt - *answeredAt)
                              : std::nullopt;
}

/// A response is read in parts, one for each turn of the loop.
TEST(LoopPriorities, UrgentResponseIsReadBeforeABacklogOfOthers)
{
  const auto urgent = CallbacksUntilRead(Priority::Urgent);
  ASSERT_TRUE(urgent.has_value());
  EXPECT_LE(*urgent, 2 * kCallbacksBetweenPolls);
}

/// Shows that the test above would notice a connection without priority.
TEST(LoopPriorities, OtherResponseWaitsBehindTheBacklogInEachTurn)
{
  const auto normal = CallbacksUntilRead(Priority::Normal);
  ASSERT_TRUE(normal.has_value());
  EXPECT_GE(*normal, 2 * kBacklog);
}

TEST(LoopPriorities, UrgentTimerRunsBeforeABacklogOfOthers)
{
  Loop loop;
  Backlog backlog(loop);
  int ranAt = 0;
  loop.After(
    Duration::zero(),
    [&] {
      ranAt = backlog.Count();
      backlog.End();
    },
    Priority::Urgent);
  loop.Poll();
  EXPECT_LE(ranAt, kCallbacksBetweenPolls);
}

/// The urgent goes first, but what is ready of the rest is served all the same.
TEST(LoopPriorities, BacklogIsServedBesideUrgentTimers)
{
  constexpr int kUrgentTimers = 50;
  Loop loop;
  Backlog backlog(loop);
  int left = kUrgentTimers;
  std::function<void()> next = [&] {
    if (--left == 0) {
      backlog.End();
      return;
    }
    loop.After(milliseconds(1), next, Priority::Urgent);
  };
  loop.After(milliseconds(1), next, Priority::Urgent);
  loop.Poll();
  EXPECT_EQ(left, 0);
  EXPECT_GE(backlog.Count(), kUrgentTimers);
}

} // namespace

} // namespace lacewing::net
