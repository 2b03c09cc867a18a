/// Guards against a ring of the time line that keeps its first size.
#include "daemon/AppliedSettings.h"
#include "fakes/SystemSettings.h"
#include "observe/Timeline.h"

#include <gtest/gtest.h>

namespace lacewing::daemon {

TEST(SettingTimelineRing, SmallerRingDropsTheOldestEventsAtOnce)
{
  observe::Timeline timeline("vm-1", TimelineBytes(settings::SettingsTree()));
  constexpr int kEvents = 2000;
  for (int index = 0; index < kEvents; ++index) {
    timeline.Add(index, {});
  }
  EXPECT_EQ(timeline.Dropped(), 0U);
  const std::size_t bound =
    TimelineBytes(fakes::SystemSettings("[timeline]\nring_bytes = 65536\n"));
  timeline.SetMaxBytes(bound);
  EXPECT_LE(timeline.Bytes(), bound);
  EXPECT_EQ(timeline.Dropped(), kEvents - timeline.size());
  EXPECT_EQ(timeline.Find({}).back().m_sequence, 2000U);
}

} // namespace lacewing::daemon
