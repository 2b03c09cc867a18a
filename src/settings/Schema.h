/// The table of all settings. Parsing, checks and the reference page
/// (docs/settings.md) all come from it.
#pragma once

#include "core/EnumNames.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing::settings {

/// The text in which a setting stands.
enum class Scope : std::uint8_t
{
  Bootstrap, ///< a process's own file
  System,    ///< subtree `system`
  Team,      ///< subtree `team.<name>`
};

enum class ValueType : std::uint8_t
{
  Text,
  Name,
  NameList,
  Address,
  ReachableAddress, ///< an address that others can connect to
  AddressList,
  Integer,
  Real,
  Boolean,
  Choice,
  Digest,    ///< SHA-256 in hexadecimal digits
  KeyDigest, ///< `<salt>:<digest>` in hexadecimal digits
  Secret,    ///< text that never appears in a message
};

/// Largest length of a name of a team, queue, service or key, in bytes. It
/// keeps sections and keys below the 49 bytes at which inih cuts them off.
inline constexpr std::size_t kMaxNameBytes = 32;

struct SettingDef
{
  Scope m_scope;
  std::string_view m_section; ///< may end in ".*" for any name
  std::string_view m_key;     ///< may end in ".*" for any name
  ValueType m_type;
  std::string_view m_unit;    ///< "" for values without a unit
  double m_min;               ///< least number, or least length of a text
  double m_max;               ///< largest number, or largest length of a text
  std::string_view m_default; ///< "" for none
  bool m_required;
  std::string_view m_choices; ///< names divided by commas, for `Choice`
  std::string_view m_description;
};

/// All settings, ordered by scope and section.
std::span<const SettingDef>
AllSettings();

/// True if the name matches the pattern, whose ".*" stands for one name.
bool
MatchesPattern(std::string_view aPattern, std::string_view aName);

/// True for 1 to `kMaxNameBytes` lower-case letters, digits, '-' and '_'.
bool
IsName(std::string_view aText);

/// The definition, or nothing for an unknown setting.
const SettingDef*
FindSetting(Scope aScope, std::string_view aSection, std::string_view aKey);

/// Why the value doesn't fit the definition, as "expected ..."; empty if it
/// does.
std::string
CheckValue(const SettingDef& aSetting, std::string_view aValue);

/// The parts of a list divided by commas, without blanks around them.
std::vector<std::string>
SplitList(std::string_view aText);

/// The reference page of all settings in Markdown.
std::string
SettingsPage();

} // namespace lacewing::settings

template<>
struct lacewing::EnumNames<lacewing::settings::Scope>
{
  using Scope = lacewing::settings::Scope;
  static constexpr std::array kTable = {
    std::pair{ Scope::Bootstrap, std::string_view("bootstrap") },
    std::pair{ Scope::System, std::string_view("system") },
    std::pair{ Scope::Team, std::string_view("team") },
  };
};

template<>
struct lacewing::EnumNames<lacewing::settings::ValueType>
{
  using Type = lacewing::settings::ValueType;
  static constexpr std::array kTable = {
    std::pair{ Type::Text, std::string_view("text") },
    std::pair{ Type::Name, std::string_view("name") },
    std::pair{ Type::NameList, std::string_view("list of names") },
    std::pair{ Type::Address, std::string_view("address") },
    std::pair{ Type::ReachableAddress, std::string_view("address") },
    std::pair{ Type::AddressList, std::string_view("list of addresses") },
    std::pair{ Type::Integer, std::string_view("integer") },
    std::pair{ Type::Real, std::string_view("number") },
    std::pair{ Type::Boolean, std::string_view("true or false") },
    std::pair{ Type::Choice, std::string_view("choice") },
    std::pair{ Type::Digest, std::string_view("SHA-256 digest") },
    std::pair{ Type::KeyDigest, std::string_view("salt:digest") },
    std::pair{ Type::Secret, std::string_view("secret") },
  };
};
