/// Names of enumerators: one table per enum, used for output and for parsing.
#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace lacewing {

/// Specialise with `static constexpr std::array kTable` of (value, name) pairs.
template<typename Enum>
struct EnumNames;

/// The name of a value; "unknown" for a value outside the table.
template<typename Enum>
constexpr std::string_view
NameOf(Enum aValue)
{
  for (const auto& [value, name] : EnumNames<Enum>::kTable) {
    if (value == aValue) {
      return name;
    }
  }
  return "unknown";
}

/// The value with the given name, or nothing.
template<typename Enum>
constexpr std::optional<Enum>
ParseName(std::string_view aName)
{
  for (const auto& [value, name] : EnumNames<Enum>::kTable) {
    if (name == aName) {
      return value;
    }
  }
  return std::nullopt;
}

} // namespace lacewing
