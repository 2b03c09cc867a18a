#include "cli/Output.h"

#include <algorithm>
#include <iomanip>

namespace lacewing::cli {

namespace {

std::string
CellText(const nlohmann::json& aValue)
{
  if (aValue.is_string()) {
    return aValue.get<std::string>();
  }
  if (aValue.is_null()) {
    return "-";
  }
  if (aValue.is_array()) {
    std::string text;
    for (const auto& item : aValue) {
      text += (text.empty() ? "" : ",") + CellText(item);
    }
    return text.empty() ? "-" : text;
  }
  return aValue.dump();
}

using TableRow = std::vector<std::string>;

void
PrintRows(std::ostream& aOut, const std::vector<TableRow>& aRows)
{
  std::vector<std::size_t> widths;
  for (const TableRow& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  for (const TableRow& row : aRows) {
    for (std::size_t column = 0; column + 1 < row.size(); ++column) {
      aOut << std::left << std::setw(static_cast<int>(widths[column]) + 2)
           << row[column];
    }
    aOut << row.back() << "\n";
  }
}

} // namespace

void
PrintList(std::ostream& aOut,
          OutputFormat aFormat,
          const nlohmann::json& aDocument,
          const std::string& aListField,
          const std::vector<std::string>& aColumns)
{
  if (aFormat == OutputFormat::Json) {
    aOut << aDocument.dump(2) << "\n";
    return;
  }
  std::vector<TableRow> rows;
  TableRow header;
  for (std::string column : aColumns) {
    std::ranges::transform(column, column.begin(), [](unsigned char aLetter) {
      return static_cast<char>(std::toupper(aLetter));
    });
    header.push_back(column);
  }
  rows.push_back(header);
  for (const auto& item :
       aDocument.value(aListField, nlohmann::json::array())) {
    TableRow row;
    for (const std::string& column : aColumns) {
      row.push_back(item.contains(column) ? CellText(item.at(column)) : "-");
    }
    rows.push_back(row);
  }
  PrintRows(aOut, rows);
}

void
PrintObject(std::ostream& aOut,
            OutputFormat aFormat,
            const nlohmann::json& aObject)
{
  if (aFormat == OutputFormat::Json) {
    aOut << aObject.dump(2) << "\n";
    return;
  }
  std::vector<TableRow> rows;
  for (const auto& [field, value] : aObject.items()) {
    rows.push_back({ field, CellText(value) });
  }
  PrintRows(aOut, rows);
}

} // namespace lacewing::cli
