/// The row `limit/<team>/<unit>`: a team's limit and the parts of it that the
/// slices hold.
#pragma once

#include "core/EnumNames.h"
#include "core/Ids.h"
#include "core/Verdict.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace lacewing::ownership {

enum class LimitUnit : std::uint8_t
{
  Millicores,
  Requests,
};

struct LimitId
{
  TeamId m_team;
  LimitUnit m_unit = LimitUnit::Millicores;

  auto operator<=>(const LimitId&) const = default;
};

struct LimitRow
{
  std::int64_t m_limit = 0; ///< as accepted
  /// Until the sum of allotments is within a lowered limit, the previous one.
  std::int64_t m_inForce = 0;
  std::map<std::string, std::int64_t> m_allotments; ///< by slice name
  std::map<std::string, std::int64_t> m_wanted;     ///< unmet need by slice
  std::string m_nonce;

  bool operator==(const LimitRow&) const = default;
  std::int64_t Sum() const;
  std::int64_t Of(const SliceId& aSlice) const;
};

inline constexpr const char* kLimitPrefix = "limit/";

std::string
LimitKey(const LimitId& aLimit);
/// Errors: `BadInput` with the key.
Result<LimitId>
ParseLimitKey(const std::string& aKey);
std::string
EncodeLimit(const LimitRow& aRow);
/// Errors: `BadInput` with what is wrong in the row.
Result<LimitRow>
DecodeLimit(const std::string& aText);
/// The row after the operator sets the limit; a lower one is in force when the
/// owners have cut their allotments.
LimitRow
WithLimit(LimitRow aRow, std::int64_t aLimit);

} // namespace lacewing::ownership

template<>
struct lacewing::EnumNames<lacewing::ownership::LimitUnit>
{
  using Unit = lacewing::ownership::LimitUnit;
  static constexpr std::array kTable = {
    std::pair{ Unit::Millicores, std::string_view("millicores") },
    std::pair{ Unit::Requests, std::string_view("requests") },
  };
};
