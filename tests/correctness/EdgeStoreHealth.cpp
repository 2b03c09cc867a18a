/// Guards against a store that is considered down because one table fails or
/// single responses are lost, and against writes to an unavailable table, which
/// leave callers without a known result. Load pattern: the store is
/// unavailable, as a whole or in part.
#include "edge/StoreHealth.h"

#include <gtest/gtest.h>

namespace lacewing::edge {

namespace {

constexpr Time kStart{ seconds(1000) };

TEST(EdgeStoreHealth, HealthIsTrackedPerTable)
{
  StoreHealth health;
  for (int number = 0; number < 4; ++number) {
    health.OnFailure(kStart, "1");
    health.OnAnswer(kStart, "2");
  }
  EXPECT_TRUE(health.IsSuspectedDown(kStart, "1"));
  EXPECT_FALSE(health.IsSuspectedDown(kStart, "2"));
}

TEST(EdgeStoreHealth, SingleLostResponsesAreTolerated)
{
  StoreHealth health;
  for (int number = 0; number < 20; ++number) {
    health.OnFailure(kStart, "1");
    health.OnFailure(kStart, "1");
    health.OnAnswer(kStart, "1");
  }
  EXPECT_FALSE(health.IsSuspectedDown(kStart, "1"));
}

TEST(EdgeStoreHealth, TableIsRetriedAfterADelay)
{
  StoreHealth health;
  for (int number = 0; number < 4; ++number) {
    health.OnFailure(kStart, "1");
  }
  EXPECT_FALSE(health.IsSuspectedDown(kStart + milliseconds(500), "1"));
  health.OnFailure(kStart + milliseconds(500), "1");
  EXPECT_TRUE(health.IsSuspectedDown(kStart + milliseconds(600), "1"));
}

/// Every 400 ms a caller's job was sent to find out whether the store works
/// again, and its caller was left in doubt.
TEST(EdgeStoreHealth, TableStaysDownUntilACallIsAnswered)
{
  StoreHealth health;
  for (int number = 0; number < 3; ++number) {
    health.OnFailure(kStart + seconds(number), "1");
  }
  EXPECT_FALSE(health.DownSince("1"));
  health.OnFailure(kStart + seconds(3), "1");
  EXPECT_EQ(health.DownSince("1"), kStart);
  EXPECT_FALSE(health.DownSince("2"));
  health.OnFailure(kStart + seconds(60), "1");
  EXPECT_EQ(health.DownSince("1"), kStart);
  health.OnAnswer(kStart + seconds(61), "1");
  EXPECT_FALSE(health.DownSince("1"));
}

} // namespace

} // namespace lacewing::edge
