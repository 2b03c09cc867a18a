/// Guards against commands on settings that fail without a message, because the
/// error was lost between the client and the command.
#include "cli/SubtreeClient.h"
#include "fakes/FreeAddress.h"

#include <gtest/gtest.h>

namespace lacewing::cli {

namespace {

template<typename Function>
std::string
ErrorOf(Function aFunction)
{
  return leaf::try_handle_all(
    [&]() -> Result<std::string> {
      BOOST_LEAF_CHECK(aFunction());
      return std::string("no error");
    },
    [](const Error& aError) { return std::string(NameOf(aError.m_code)); },
    [] { return std::string("lost"); });
}

} // namespace

TEST(CliSubtreeErrors, ReachTheCommand)
{
  EntryClient client({ fakes::FreeAddress() }, "key");
  EXPECT_EQ(ErrorOf([&] { return FetchSubtree(client, "system"); }),
            "unavailable");
  const auto same = [](const std::string& aText) -> Result<std::string> {
    return aText;
  };
  EXPECT_EQ(ErrorOf([&] { return EditSubtree(client, "system", same); }),
            "unavailable");
}

} // namespace lacewing::cli
