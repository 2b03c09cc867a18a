#include "settings/IniText.h"

#include "core/Redact.h"

#include <INIReader.h>

#include <algorithm>
#include <charconv>
#include <numeric>
#include <set>

namespace lacewing::settings {

namespace {

/// inih cuts sections and keys off after this many bytes without an error.
constexpr std::size_t kMaxNameInIni = 49;
/// inih splits lines at 199 bytes without an error.
constexpr std::size_t kMaxLineBytes = 190;

std::string_view
Trim(std::string_view aText)
{
  constexpr std::string_view kBlanks = " \t\r\n";
  const auto first = aText.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kBlanks) - first + 1);
}

std::string
ShownValue(const SettingDef* aSetting, std::string_view aValue)
{
  if (aSetting == nullptr || aSetting->m_type == ValueType::Secret ||
      aSetting->m_type == ValueType::KeyDigest ||
      aSetting->m_type == ValueType::Digest) {
    return "(hidden)";
  }
  constexpr std::size_t kMaxShown = 80;
  std::string shown(aValue.substr(0, kMaxShown));
  if (aValue.size() > kMaxShown) {
    shown += "...";
  }
  return RedactKeys(shown);
}

bool
IsBlankChar(char aChar)
{
  return aChar == ' ' || aChar == '\t';
}

bool
IsComment(std::string_view aLine)
{
  return aLine.empty() || aLine.front() == ';' || aLine.front() == '#';
}

/// Hands one assignment after the other to inih, so that every value has its
/// line, and finds the faults that inih doesn't report: overlong lines and
/// names, repeated values and text after a section.
class Reader
{
public:
  Reader(Scope aScope, std::string aFile, std::string_view aText)
    : m_file(std::move(aFile))
    , m_rest(aText)
  {
    m_result.m_text = CheckedText(aScope);
  }

  IniResult Run()
  {
    while (!m_rest.empty()) {
      ReadItem();
    }
    CheckRequired();
    return std::move(m_result);
  }

private:
  std::string_view NextLine()
  {
    const auto end = std::min(m_rest.find('\n'), m_rest.size());
    const std::string_view line = m_rest.substr(0, end);
    m_rest.remove_prefix(std::min(end + 1, m_rest.size()));
    ++m_lastLine;
    return line;
  }

  bool ContinuesNext() const
  {
    return !m_rest.empty() && IsBlankChar(m_rest.front()) &&
           !IsComment(Trim(m_rest.substr(0, m_rest.find('\n'))));
  }

  /// Reads a section or an assignment with the indented lines that continue
  /// its value.
  void ReadItem()
  {
    const std::string_view line = Trim(NextLine());
    m_line = m_lastLine;
    if (IsComment(line)) {
      return;
    }
    bool usable = IsUsable(line);
    if (line.front() == '[') {
      if (usable) {
        ReadSection(line);
      }
      return;
    }
    std::string item(line);
    while (ContinuesNext()) {
      const std::string_view more = Trim(NextLine());
      usable = IsUsable(more) && usable;
      item += "\n " + std::string(more);
    }
    if (usable) {
      ReadAssignment(line, item);
    }
  }

  bool IsUsable(std::string_view aLine)
  {
    if (aLine.size() > kMaxLineBytes) {
      AddError("",
               "",
               "expected a line of at most 190 bytes; a list may continue on "
               "indented lines");
      return false;
    }
    if (std::ranges::any_of(aLine, [](char aChar) {
          return static_cast<unsigned char>(aChar) < ' ' && aChar != '\t';
        })) {
      AddError("", "", "expected text without control characters");
      return false;
    }
    return true;
  }

  void ReadSection(std::string_view aLine)
  {
    const auto end = std::min(aLine.find(']'), aLine.size());
    const auto name = aLine.substr(1, end - 1);
    const auto after = Trim(aLine.substr(std::min(end + 1, aLine.size())));
    m_inKnownSection = false;
    m_section = std::string(name.substr(0, kMaxNameInIni));
    if (end == aLine.size() || name.empty() || name.size() > kMaxNameInIni ||
        !IsComment(after)) {
      AddError("", "", "expected a section as [NAME] and nothing after it");
      return;
    }
    m_inKnownSection = CheckSection();
  }

  void ReadAssignment(std::string_view aLine, const std::string& aItem)
  {
    const auto equals = aLine.find_first_of("=:");
    const std::string key(
      Trim(aLine.substr(0, std::min(equals, aLine.size()))));
    if (equals == std::string_view::npos || key.empty() ||
        key.size() > kMaxNameInIni) {
      AddError("", "", "expected KEY = VALUE with a key of 1 to 49 bytes");
      return;
    }
    if (m_section.empty()) {
      AddError(key, "(hidden)", "expected a [section] before the first key");
      return;
    }
    const std::string text = "[" + m_section + "]\n" + aItem + "\n";
    const INIReader reader(text.data(), text.size());
    if (reader.ParseError() != 0 || !reader.HasValue(m_section, key)) {
      AddError(key, "(hidden)", "expected KEY = VALUE");
      return;
    }
    std::string value = reader.Get(m_section, key, "");
    std::ranges::replace(value, '\n', ' ');
    Accept(m_section, key, value);
  }

  bool CheckSection()
  {
    std::vector<std::string> names;
    for (const SettingDef& setting : AllSettings()) {
      if (setting.m_scope != m_result.m_text.GetScope()) {
        continue;
      }
      if (MatchesPattern(setting.m_section, m_section)) {
        m_sections.insert(m_section);
        return true;
      }
      names.emplace_back(setting.m_section);
    }
    AddError("", "", "unknown section" + Hint(m_section, names));
    return false;
  }

  static std::string Hint(std::string_view aName,
                          const std::vector<std::string>& aNames)
  {
    const auto nearest = NearestName(aName, aNames);
    return nearest ? "; the nearest known name is '" + *nearest + "'" : "";
  }

  void Accept(const std::string& aSection,
              const std::string& aKey,
              const std::string& aValue)
  {
    if (!m_inKnownSection) {
      return;
    }
    const Scope scope = m_result.m_text.GetScope();
    const SettingDef* setting = FindSetting(scope, aSection, aKey);
    if (setting == nullptr) {
      AddError(aKey, "(hidden)", "unknown key" + Hint(aKey, KeysOfSection()));
      return;
    }
    const auto [line, isNew] =
      m_lines.emplace(std::pair{ aSection, aKey }, m_line);
    if (!isNew) {
      AddError(aKey,
               ShownValue(setting, aValue),
               "duplicate of line " + std::to_string(line->second));
      return;
    }
    std::string fault = CheckValue(*setting, aValue);
    if (!fault.empty()) {
      AddError(aKey, ShownValue(setting, aValue), std::move(fault));
      return;
    }
    m_result.m_text.Set(aSection, aKey, aValue);
  }

  std::vector<std::string> KeysOfSection() const
  {
    std::vector<std::string> keys;
    for (const SettingDef& setting : AllSettings()) {
      if (setting.m_scope == m_result.m_text.GetScope() &&
          MatchesPattern(setting.m_section, m_section)) {
        keys.emplace_back(setting.m_key);
      }
    }
    return keys;
  }

  void CheckRequired()
  {
    for (const SettingDef& setting : AllSettings()) {
      if (setting.m_scope != m_result.m_text.GetScope() ||
          !setting.m_required) {
        continue;
      }
      if (!setting.m_section.ends_with(".*")) {
        RequireIn(std::string(setting.m_section), setting);
        continue;
      }
      for (const std::string& section : m_sections) {
        if (MatchesPattern(setting.m_section, section)) {
          RequireIn(section, setting);
        }
      }
    }
  }

  void RequireIn(const std::string& aSection, const SettingDef& aSetting)
  {
    const std::string key(aSetting.m_key);
    if (!m_lines.contains({ aSection, key })) {
      m_result.m_errors.push_back({ m_file,
                                    0,
                                    aSection,
                                    key,
                                    "",
                                    "missing; expected a value of type " +
                                      std::string(NameOf(aSetting.m_type)) });
    }
  }

  void AddError(const std::string& aKey,
                std::string aValue,
                std::string aExpected)
  {
    m_result.m_errors.push_back({ m_file,
                                  m_line,
                                  RedactKeys(m_section),
                                  RedactKeys(aKey),
                                  std::move(aValue),
                                  std::move(aExpected) });
  }

  std::string m_file;
  std::string_view m_rest;
  IniResult m_result;
  int m_line = 0; ///< of the present item
  int m_lastLine = 0;
  bool m_inKnownSection = false;
  std::string m_section;
  std::set<std::string> m_sections;
  std::map<std::pair<std::string, std::string>, int> m_lines;
};

std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), 0U);
  for (std::size_t i = 1; i <= aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= aRight.size(); ++j) {
      const std::size_t above = row[j];
      const std::size_t change = aLeft[i - 1] == aRight[j - 1] ? 0 : 1;
      row[j] = std::min({ above + 1, row[j - 1] + 1, diagonal + change });
      diagonal = above;
    }
  }
  return row.back();
}

} // namespace

std::string
SettingError::ToString() const
{
  std::string text = m_file;
  if (m_line > 0) {
    text += ":" + std::to_string(m_line);
  }
  text += ":";
  if (!m_section.empty()) {
    text += " [" + m_section + "]";
  }
  if (!m_key.empty()) {
    text += " " + m_key;
  }
  if (!m_value.empty()) {
    text += " = '" + m_value + "'";
  }
  return text + ": " + m_expected;
}

std::string
CheckedText::Get(const std::string& aSection, const std::string& aKey) const
{
  const auto found = m_values.find({ aSection, aKey });
  if (found != m_values.end()) {
    return found->second;
  }
  const SettingDef* setting = FindSetting(m_scope, aSection, aKey);
  return setting == nullptr ? "" : std::string(setting->m_default);
}

std::int64_t
CheckedText::GetInteger(const std::string& aSection,
                        const std::string& aKey) const
{
  const std::string text = Get(aSection, aKey);
  std::int64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

double
CheckedText::GetReal(const std::string& aSection, const std::string& aKey) const
{
  const std::string text = Get(aSection, aKey);
  double value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::vector<std::string>
CheckedText::GetList(const std::string& aSection, const std::string& aKey) const
{
  return SplitList(Get(aSection, aKey));
}

std::vector<std::string>
CheckedText::Sections() const
{
  std::vector<std::string> sections;
  for (const auto& [place, value] : m_values) {
    if (sections.empty() || sections.back() != place.first) {
      sections.push_back(place.first);
    }
  }
  return sections;
}

std::string
IniResult::ErrorText() const
{
  std::string text;
  for (const SettingError& error : m_errors) {
    text += (text.empty() ? "" : "\n") + error.ToString();
  }
  return text;
}

IniResult
ParseIni(Scope aScope, const std::string& aFile, const std::string& aText)
{
  if (aText.size() > kMaxTextBytes) {
    IniResult result;
    result.m_text = CheckedText(aScope);
    result.m_errors.push_back(
      { aFile, 0, "", "", "", "expected a text of at most 262144 bytes" });
    return result;
  }
  return Reader(aScope, aFile, aText).Run();
}

std::optional<std::string>
NearestName(std::string_view aName, const std::vector<std::string>& aNames)
{
  std::optional<std::string> nearest;
  std::size_t least = std::max<std::size_t>(2, aName.size() / 2) + 1;
  for (const std::string& name : aNames) {
    const std::size_t distance = EditDistance(aName, name);
    if (distance < least) {
      least = distance;
      nearest = name;
    }
  }
  return nearest;
}

} // namespace lacewing::settings
