/// Guards against edits of settings that lose comments or add a value beside
/// the old one, unreadable output, and exit codes that don't tell what
/// happened.
#include "cli/ExitCode.h"
#include "cli/IniEdit.h"
#include "cli/Output.h"

#include <gtest/gtest.h>

#include <sstream>

namespace lacewing::cli {

TEST(IniEdit, ReplacesAValueAndKeepsTheRest)
{
  EXPECT_EQ(SetIniValue("; top\n[a]\nx = 1\n# note\ny = 2\n", "a", "x", "3"),
            "; top\n[a]\nx = 3\n# note\ny = 2\n");
}

TEST(IniEdit, AddsMissingKeysAndSections)
{
  EXPECT_EQ(SetIniValue("", "a", "x", "1"), "[a]\nx = 1\n");
  EXPECT_EQ(SetIniValue("[a]\nx = 1\n\n[b]\nx = 2\n", "a", "y", "3"),
            "[a]\nx = 1\ny = 3\n\n[b]\nx = 2\n");
  EXPECT_EQ(SetIniValue("[b]\nx = 2", "a", "x", "1"),
            "[b]\nx = 2\n[a]\nx = 1\n");
}

TEST(IniEdit, FindsWhatTheSettingsParserAccepts)
{
  EXPECT_EQ(SetIniValue("[a] ; note\nx = 1\n", "a", "x", "2"),
            "[a] ; note\nx = 2\n");
  EXPECT_EQ(SetIniValue("[a]\nx: 1\n", "a", "x", "2"), "[a]\nx = 2\n");
  EXPECT_EQ(SetIniValue("[a]\nx = 1,\n  2\ny = 3\n", "a", "x", "4"),
            "[a]\nx = 4\ny = 3\n");
  EXPECT_EQ(RemoveIniValue("[a]\ny = 3\nx = 1,\n  2\n", "a", "x"),
            "[a]\ny = 3\n");
}

TEST(IniEdit, RemovesOnlyTheNamedValue)
{
  EXPECT_EQ(RemoveIniValue("[a]\nx = 1\n[b]\nx = 2\n", "b", "x"),
            "[a]\nx = 1\n[b]\n");
  EXPECT_EQ(RemoveIniValue("[a]\n; x = 1\n", "a", "x"), std::nullopt);
  EXPECT_EQ(RemoveIniValue("[b]\nx = 1\n", "a", "x"), std::nullopt);
}

TEST(Output, PrintsAlignedColumns)
{
  const nlohmann::json document = {
    { "jobs",
      { { { "id", "s.1" }, { "tasks", 12 }, { "tags", { "a", "b" } } },
        { { "id", "longer" }, { "tasks", nullptr } } } }
  };
  std::ostringstream out;
  PrintList(
    out, OutputFormat::Table, document, "jobs", { "id", "tasks", "tags" });
  EXPECT_EQ(out.str(),
            "ID      TASKS  TAGS\n"
            "s.1     12     a,b\n"
            "longer  -      -\n");
}

TEST(Output, PrintsOnlyTheHeaderOfAMissingList)
{
  std::ostringstream out;
  PrintList(
    out, OutputFormat::Table, nlohmann::json::object(), "jobs", { "id" });
  EXPECT_EQ(out.str(), "ID\n");
}

TEST(Output, PrintsObjectsAndJson)
{
  const nlohmann::json object = { { "a", true }, { "long", "x" } };
  std::ostringstream table;
  PrintObject(table, OutputFormat::Table, object);
  EXPECT_EQ(table.str(), "a     true\nlong  x\n");
  std::ostringstream json;
  PrintObject(json, OutputFormat::Json, object);
  EXPECT_EQ(nlohmann::json::parse(json.str()), object);
}

TEST(ExitCode, TellsWhatHappened)
{
  const auto code = [](Verdict aVerdict, ErrorCode aCode) {
    return ExitCodeOf({ aVerdict, aCode, "" });
  };
  EXPECT_EQ(code(Verdict::NotRun, ErrorCode::BadInput), ExitCode::Usage);
  EXPECT_EQ(code(Verdict::NotRun, ErrorCode::NotFound), ExitCode::NotFound);
  EXPECT_EQ(code(Verdict::NotRun, ErrorCode::Conflict), ExitCode::Conflict);
  EXPECT_EQ(code(Verdict::NotRun, ErrorCode::Forbidden),
            ExitCode::Unauthenticated);
  EXPECT_EQ(code(Verdict::NotRun, ErrorCode::QueueFull), ExitCode::NotRun);
  EXPECT_EQ(code(Verdict::MayHaveRun, ErrorCode::Unavailable),
            ExitCode::MayHaveRun);
  EXPECT_EQ(code(Verdict::Ran, ErrorCode::Internal), ExitCode::Failure);
}

} // namespace lacewing::cli
