/// Guards against reference pages that differ from the tables in the source.
#include "observe/Metrics.h"
#include "settings/Schema.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

namespace lacewing {

namespace {

std::string
ReadPage(const std::string& aName)
{
  // __FILE__ would not do: compiler caches may make it a relative path.
  std::ifstream file(std::filesystem::path(LACEWING_DOCS_DIR) / aName);
  return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace

TEST(ReferencePages, SettingsPageIsThatOfTheTable)
{
  EXPECT_EQ(ReadPage("settings.md"), settings::SettingsPage())
    << "run lacewing-settings-doc settings > docs/settings.md";
}

TEST(ReferencePages, MetricsPageIsThatOfTheTable)
{
  EXPECT_EQ(ReadPage("metrics.md"), observe::MetricsPage())
    << "run lacewing-settings-doc metrics > docs/metrics.md";
}

TEST(ReferencePages, DefaultsFitTheirOwnSchema)
{
  for (const settings::SettingDef& setting : settings::AllSettings()) {
    if (!setting.m_default.empty()) {
      EXPECT_EQ(settings::CheckValue(setting, setting.m_default), "")
        << setting.m_section << " " << setting.m_key;
    }
  }
}

TEST(ReferencePages, MetricsAreInTheOrderOfTheirEnum)
{
  std::set<std::string_view> names;
  std::size_t index = 0;
  for (const observe::MetricDef& def : observe::AllMetrics()) {
    EXPECT_EQ(static_cast<std::size_t>(def.m_metric), index++);
    EXPECT_TRUE(names.insert(def.m_name).second) << def.m_name;
  }
}

} // namespace lacewing
