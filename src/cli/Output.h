/// Output of the client: tables for people or JSON for programs.
#pragma once

#include "core/EnumNames.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace lacewing::cli {

enum class OutputFormat : std::uint8_t
{
  Table,
  Json,
};

/// Prints the objects of a list as a table with one column for each field, in
/// the given order, or the whole document as JSON.
void
PrintList(std::ostream& aOut,
          OutputFormat aFormat,
          const nlohmann::json& aDocument,
          const std::string& aListField,
          const std::vector<std::string>& aColumns);

/// Prints the fields of one object, a line each, or the object as JSON.
void
PrintObject(std::ostream& aOut,
            OutputFormat aFormat,
            const nlohmann::json& aObject);

} // namespace lacewing::cli

template<>
struct lacewing::EnumNames<lacewing::cli::OutputFormat>
{
  using Format = lacewing::cli::OutputFormat;
  static constexpr std::array kTable = {
    std::pair{ Format::Table, std::string_view("table") },
    std::pair{ Format::Json, std::string_view("json") },
  };
};
