#include "ownership/LimitRow.h"

#include "ownership/RowJson.h"

namespace lacewing::ownership {

std::int64_t
LimitRow::Sum() const
{
  std::int64_t sum = 0;
  for (const auto& [slice, amount] : m_allotments) {
    sum += amount;
  }
  return sum;
}

std::int64_t
LimitRow::Of(const SliceId& aSlice) const
{
  const auto found = m_allotments.find(aSlice.Value());
  return found == m_allotments.end() ? 0 : found->second;
}

std::string
LimitKey(const LimitId& aLimit)
{
  return kLimitPrefix + aLimit.m_team.Value() + "/" +
         std::string(NameOf(aLimit.m_unit));
}

Result<LimitId>
ParseLimitKey(const std::string& aKey)
{
  const std::string prefix = kLimitPrefix;
  const auto slash = aKey.rfind('/');
  if (aKey.starts_with(prefix) && slash > prefix.size()) {
    const auto unit = ParseName<LimitUnit>(aKey.substr(slash + 1));
    if (unit) {
      return LimitId{ TeamId(aKey.substr(prefix.size(), slash - prefix.size())),
                      *unit };
    }
  }
  return Fail(Verdict::NotRun,
              ErrorCode::BadInput,
              aKey + " is not the key of a limit row");
}

std::string
EncodeLimit(const LimitRow& aRow)
{
  using Object = nlohmann::json::object_t;
  const nlohmann::json json = {
    { "limit", aRow.m_limit },
    { "in_force", aRow.m_inForce },
    { "allotments",
      Object(aRow.m_allotments.begin(), aRow.m_allotments.end()) },
    { "wanted", Object(aRow.m_wanted.begin(), aRow.m_wanted.end()) },
    { "nonce", aRow.m_nonce },
  };
  return json.dump();
}

Result<LimitRow>
DecodeLimit(const std::string& aText)
{
  RowReader reader(aText, "limit row");
  LimitRow row;
  row.m_limit = reader.Signed("limit");
  row.m_inForce = reader.Signed("in_force");
  row.m_allotments = reader.Amounts("allotments");
  row.m_wanted = reader.Amounts("wanted");
  row.m_nonce = reader.Text("nonce");
  if (!reader.Complete()) {
    return reader.Failure();
  }
  return row;
}

LimitRow
WithLimit(LimitRow aRow, std::int64_t aLimit)
{
  aRow.m_limit = aLimit;
  if (aRow.Sum() <= aLimit) {
    aRow.m_inForce = aLimit;
  }
  return aRow;
}

} // namespace lacewing::ownership
