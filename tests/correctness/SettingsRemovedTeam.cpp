/// Guards against a removed team whose keys still work or whose limit still
/// counts.
#include "settings/SettingsTree.h"

#include <gtest/gtest.h>

namespace lacewing::settings {

TEST(SettingsRemovedTeam, HasNeitherKeysNorSettings)
{
  const NewKey key = CreateKey(TeamId("buyers")).value();
  Subtree row;
  row.m_version = 1;
  row.m_text = WithKey(CheckedText(Scope::Team), key);
  SettingsTree tree;
  tree.Set("team.buyers", row);
  ASSERT_EQ(tree.Teams().size(), 1U);
  ASSERT_EQ(tree.Find("team.buyers")->m_keys.size(), 1U);

  row.m_version = 2;
  row.m_text += "removed = true\n";
  tree.Set("team.buyers", row);
  EXPECT_TRUE(tree.Teams().empty());
  EXPECT_FALSE(tree.Team(TeamId("buyers")).has_value());
  EXPECT_EQ(tree.Find("team.buyers")->m_keys.size(), 0U);
}

} // namespace lacewing::settings
