/// A settings tree with a subtree `system` of the given text in force.
#pragma once

#include "settings/SettingsTree.h"

#include <gtest/gtest.h>

namespace lacewing::fakes {

inline settings::SettingsTree
SystemSettings(const std::string& aText)
{
  settings::Subtree row;
  row.m_version = 1;
  row.m_text = aText;
  settings::SettingsTree tree;
  tree.Set(std::string(settings::kSystemSubtree), row);
  EXPECT_EQ(tree.Find("system")->m_fault, "");
  return tree;
}

} // namespace lacewing::fakes
