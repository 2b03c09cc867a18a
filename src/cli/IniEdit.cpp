#include "cli/IniEdit.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace lacewing::cli {

namespace {

std::string
Trimmed(const std::string& aText)
{
  const auto first = aText.find_first_not_of(" \t\r");
  if (first == std::string::npos) {
    return "";
  }
  return aText.substr(first, aText.find_last_not_of(" \t\r") - first + 1);
}

std::vector<std::string>
Lines(const std::string& aText)
{
  std::vector<std::string> lines;
  std::istringstream in(aText);
  for (std::string line; std::getline(in, line);) {
    lines.push_back(line);
  }
  return lines;
}

std::string
Join(const std::vector<std::string>& aLines)
{
  std::string text;
  for (const std::string& line : aLines) {
    text += line + "\n";
  }
  return text;
}

/// Where a section's lines stand: from behind its header to the next header.
struct SectionRange
{
  bool m_found = false;
  std::size_t m_begin = 0;
  std::size_t m_end = 0;
};

SectionRange
FindSection(const std::vector<std::string>& aLines, const std::string& aSection)
{
  SectionRange range;
  for (std::size_t i = 0; i < aLines.size(); ++i) {
    const std::string line = Trimmed(aLines[i]);
    if (line.empty() || line.front() != '[') {
      continue;
    }
    if (range.m_found) {
      range.m_end = i;
      return range;
    }
    // A comment may follow the closing bracket.
    if (line.starts_with("[" + aSection + "]")) {
      range.m_found = true;
      range.m_begin = i + 1;
    }
  }
  range.m_end = aLines.size();
  return range;
}

std::optional<std::size_t>
FindKey(const std::vector<std::string>& aLines,
        const SectionRange& aRange,
        const std::string& aKey)
{
  for (std::size_t i = aRange.m_begin; i < aRange.m_end; ++i) {
    const auto equals = aLines[i].find_first_of("=:");
    if (equals != std::string::npos &&
        Trimmed(aLines[i].substr(0, equals)) == aKey) {
      return i;
    }
  }
  return std::nullopt;
}

/// Removes the indented lines that continue the value of a line, as the
/// settings parser reads them.
void
EraseContinuation(std::vector<std::string>& aLines, std::size_t aLine)
{
  const auto isContinuation = [](const std::string& aText) {
    const std::string trimmed = Trimmed(aText);
    return !trimmed.empty() &&
           (aText.front() == ' ' || aText.front() == '\t') &&
           trimmed.front() != ';' && trimmed.front() != '#';
  };
  const auto first = aLines.begin() + static_cast<std::ptrdiff_t>(aLine) + 1;
  aLines.erase(first, std::find_if_not(first, aLines.end(), isContinuation));
}

} // namespace

std::string
SetIniValue(const std::string& aText,
            const std::string& aSection,
            const std::string& aKey,
            const std::string& aValue)
{
  auto lines = Lines(aText);
  const SectionRange range = FindSection(lines, aSection);
  const std::string line = aKey + " = " + aValue;
  if (!range.m_found) {
    lines.push_back("[" + aSection + "]");
    lines.push_back(line);
    return Join(lines);
  }
  if (const auto found = FindKey(lines, range, aKey)) {
    lines[*found] = line;
    EraseContinuation(lines, *found);
    return Join(lines);
  }
  std::size_t at = range.m_end;
  while (at > range.m_begin && Trimmed(lines[at - 1]).empty()) {
    --at;
  }
  lines.insert(lines.begin() + static_cast<std::ptrdiff_t>(at), line);
  return Join(lines);
}

std::optional<std::string>
RemoveIniValue(const std::string& aText,
               const std::string& aSection,
               const std::string& aKey)
{
  auto lines = Lines(aText);
  const SectionRange range = FindSection(lines, aSection);
  const auto found = range.m_found ? FindKey(lines, range, aKey) : std::nullopt;
  if (!found) {
    return std::nullopt;
  }
  EraseContinuation(lines, *found);
  lines.erase(lines.begin() + static_cast<std::ptrdiff_t>(*found));
  return Join(lines);
}

} // namespace lacewing::cli
