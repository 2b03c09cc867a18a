/// Reads INI text, checks every value against the schema and reports all
/// errors with their place. Needs no running system.
#pragma once

#include "core/Verdict.h"
#include "settings/Schema.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lacewing::settings {

/// One fault of a text. `m_value` is hidden for secrets and keys.
struct SettingError
{
  std::string m_file;
  int m_line = 0; ///< from 1; 0 for a setting that is missing
  std::string m_section;
  std::string m_key;
  std::string m_value;
  std::string m_expected; ///< what is wrong or what was expected

  /// "file:line: [section] key = 'value': expected ..."
  std::string ToString() const;
};

/// The values that a text sets, checked, by section and key.
class CheckedText
{
public:
  explicit CheckedText(Scope aScope = Scope::System)
    : m_scope(aScope)
  {
  }

  Scope GetScope() const { return m_scope; }
  const std::map<std::pair<std::string, std::string>, std::string>& Values()
    const
  {
    return m_values;
  }
  void Set(const std::string& aSection,
           const std::string& aKey,
           std::string aValue)
  {
    m_values[{ aSection, aKey }] = std::move(aValue);
  }

  /// The value that is set or else the schema's default; empty if there is
  /// neither. The setting must be in the schema.
  std::string Get(const std::string& aSection, const std::string& aKey) const;
  std::int64_t GetInteger(const std::string& aSection,
                          const std::string& aKey) const;
  double GetReal(const std::string& aSection, const std::string& aKey) const;
  std::vector<std::string> GetList(const std::string& aSection,
                                   const std::string& aKey) const;
  bool Has(const std::string& aSection, const std::string& aKey) const
  {
    return m_values.contains({ aSection, aKey });
  }
  /// The sections in which something is set, sorted.
  std::vector<std::string> Sections() const;

private:
  Scope m_scope;
  std::map<std::pair<std::string, std::string>, std::string> m_values;
};

struct IniResult
{
  CheckedText m_text;
  std::vector<SettingError> m_errors; ///< in the order of lines

  bool Ok() const { return m_errors.empty(); }
  /// All errors, one a line.
  std::string ErrorText() const;
};

/// Largest text of one subtree or file. A larger one is one error.
inline constexpr std::size_t kMaxTextBytes = 256 * 1024;

/// Parses and checks a text. A value may continue on indented lines. The file
/// name only appears in errors.
IniResult
ParseIni(Scope aScope, const std::string& aFile, const std::string& aText);

/// The first word of the list that differs least from the given one, or
/// nothing if all differ too much to be a typing error.
std::optional<std::string>
NearestName(std::string_view aName, const std::vector<std::string>& aNames);

} // namespace lacewing::settings
