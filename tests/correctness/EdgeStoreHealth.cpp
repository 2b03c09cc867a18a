/// Guards against a store that is taken for down because one part of it fails
/// or single answers are lost, and against callers left in doubt by writes to a
/// table that is down. Load pattern: the store is away, whole or in part.
#include "edge/StoreHealth.h"

#include <gtest/gtest.h>

namespace lacewing::edge {

namespace {

constexpr Time kStart{ seconds(1000) };

TEST(EdgeStoreHealth, TablesAreJudgedOneByOne)
{
  StoreHealth health;
  for (int number = 0; number < 4; ++number) {
    health.OnFailure(kStart, "1");
    health.OnAnswer(kStart, "2");
  }
  EXPECT_TRUE(health.IsSuspectedDown(kStart, "1"));
  EXPECT_FALSE(health.IsSuspectedDown(kStart, "2"));
}

TEST(EdgeStoreHealth, SingleLostAnswersDoNotCount)
{
  StoreHealth health;
  for (int number = 0; number < 20; ++number) {
    health.OnFailure(kStart, "1");
    health.OnFailure(kStart, "1");
    health.OnAnswer(kStart, "1");
  }
  EXPECT_FALSE(health.IsSuspectedDown(kStart, "1"));
}

TEST(EdgeStoreHealth, TableIsTriedAgainAfterAWhile)
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
