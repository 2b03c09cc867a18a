#include "cli/CommandContext.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace lacewing::cli {

bool
CommandContext::Has(const std::string& aName) const
{
  const auto found = m_arguments.find(aName);
  if (found == m_arguments.end() || !found->second) {
    return false;
  }
  return !found->second.isBool() || found->second.asBool();
}

std::string
CommandContext::Get(const std::string& aName) const
{
  const auto found = m_arguments.find(aName);
  const bool isText =
    found != m_arguments.end() && found->second && found->second.isString();
  return isText ? found->second.asString() : std::string();
}

Result<std::string>
ReadInput(const std::string& aFile)
{
  std::ostringstream text;
  if (aFile == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  const std::ifstream in(aFile);
  if (!in) {
    return Fail(
      Verdict::NotRun, ErrorCode::BadInput, "cannot read the file " + aFile);
  }
  text << in.rdbuf();
  return text.str();
}

} // namespace lacewing::cli
