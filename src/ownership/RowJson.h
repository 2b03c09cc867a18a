/// Strict reading of JSON rows: every field must be there with the right type,
/// and there must be no others.
#pragma once

#include "core/Verdict.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace lacewing::ownership {

class RowReader
{
public:
  /// `aWhat` names the row in error messages.
  RowReader(const std::string& aText, std::string aWhat);

  std::string Text(const char* aField);
  std::uint64_t Unsigned(const char* aField);
  std::int64_t Signed(const char* aField);
  bool Flag(const char* aField);
  /// Amounts by name; none of them is negative.
  std::map<std::string, std::int64_t> Amounts(const char* aField);

  /// True if all fields read so far were right and no others exist.
  bool Complete();
  /// Why the row is malformed; `BadInput`.
  leaf::error_id Failure() const;

private:
  const nlohmann::json* Find(const char* aField);
  void Reject(const std::string& aReason);

  std::string m_what;
  nlohmann::json m_json;
  std::size_t m_fields = 0;
  std::string m_reason;
};

} // namespace lacewing::ownership
