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

} // namespace

} // namespace lacewing::edge
