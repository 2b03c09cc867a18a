/// Guards against a burst of jobs that all go to the one slice that was
/// emptiest in the last heartbeat, and wait there while other slices are idle.
#include "daemon/LoadView.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace lacewing::daemon {

namespace {

constexpr std::int64_t kCapacity = 1'000'000;
constexpr std::size_t kWorkers = 32;
const VmId kOwner("entry-1");
const std::vector<SliceId> kSlices = { SliceId("a"),
                                       SliceId("b"),
                                       SliceId("c") };

peer::Heartbeat
IdleState()
{
  peer::Heartbeat beat;
  beat.m_vm = kOwner;
  for (const SliceId& slice : kSlices) {
    beat.m_slices.push_back({ slice, 0.0, kCapacity, 0 });
  }
  return beat;
}

LoadView
MakeView(Time aNow)
{
  LoadView view;
  view.OnHeartbeat(aNow, IdleState());
  return view;
}

SliceId
Emptiest(const LoadView& aView, Time aNow)
{
  return *std::ranges::max_element(kSlices, {}, [&](const SliceId& aSlice) {
    return aView.FreeShare(aNow, kOwner, aSlice, kCapacity, kWorkers);
  });
}

} // namespace

TEST(JobsInBurst, AreSpreadBetweenTwoHeartbeats)
{
  const Time now{ seconds(100) };
  LoadView view = MakeView(now);
  std::map<SliceId, int> jobs;
  for (int i = 0; i < 30; ++i) {
    const SliceId slice = Emptiest(view, now);
    ++jobs[slice];
    view.OnJobSent(now, slice, kCapacity / 10);
  }
  for (const SliceId& slice : kSlices) {
    EXPECT_EQ(jobs[slice], 10) << slice.Value();
  }
}

TEST(JobsInBurst, AreNotCountedTwiceOnceHeartbeatsIncludeThem)
{
  const Time now{ seconds(100) };
  LoadView view = MakeView(now);
  view.OnJobSent(now, kSlices[0], kCapacity / 2);
  const auto freeAt = [&](Duration aAfter) {
    return view.FreeShare(
      now + aAfter, kOwner, kSlices[0], kCapacity, kWorkers);
  };
  EXPECT_LT(freeAt({}), 0.6);
  // The owner cannot know the job yet.
  view.OnHeartbeat(now + milliseconds(400), IdleState());
  EXPECT_LT(freeAt(milliseconds(400)), 0.6);
  view.OnHeartbeat(now + milliseconds(500), IdleState());
  EXPECT_DOUBLE_EQ(freeAt(milliseconds(500)), 1.0);
}

TEST(JobsInBurst, AreCountedUntilAChangeWouldHaveBeenTold)
{
  const Time now{ seconds(100) };
  LoadView view = MakeView(now);
  view.OnJobSent(now, kSlices[0], kCapacity / 2);
  const auto freeAt = [&](Duration aAfter) {
    return view.FreeShare(
      now + aAfter, kOwner, kSlices[0], kCapacity, kWorkers);
  };
  EXPECT_LT(freeAt(milliseconds(2500)), 0.6);
  EXPECT_DOUBLE_EQ(freeAt(milliseconds(2501)), 1.0);
}

} // namespace lacewing::daemon
