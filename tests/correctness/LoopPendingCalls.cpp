/// Guards against calls that are still pending at the end of the loop and leak
/// what they hold.
#include "net/Loop.h"

#include <gtest/gtest.h>

namespace lacewing::net {

TEST(LoopPendingCalls, AreFreedWithTheLoop)
{
  auto held = std::make_shared<int>(1);
  const std::weak_ptr<int> watch = held;
  int calls = 0;
  {
    Loop loop;
    loop.After(seconds(60), [&calls, kept = std::move(held)] { ++calls; });
    EXPECT_FALSE(watch.expired());
  }
  EXPECT_TRUE(watch.expired());
  EXPECT_EQ(calls, 0);
}

TEST(LoopPendingCalls, MayArmTheNextOne)
{
  Loop loop;
  int calls = 0;
  loop.After(Duration::zero(), [&] {
    ++calls;
    loop.After(Duration::zero(), [&] {
      ++calls;
      loop.Stop();
    });
  });
  loop.Run();
  EXPECT_EQ(calls, 2);
}

} // namespace lacewing::net
