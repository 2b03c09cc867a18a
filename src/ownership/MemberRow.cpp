#include "ownership/MemberRow.h"

#include "ownership/RowJson.h"

namespace lacewing::ownership {

std::string
MemberKey(const VmId& aVm)
{
  return kMemberPrefix + aVm.Value();
}

std::string
EncodeMember(const MemberRow& aRow)
{
  const nlohmann::json json = {
    { "state", NameOf(aRow.m_state) },   { "incarnation", aRow.m_incarnation },
    { "address", aRow.m_address },       { "region", aRow.m_region.Value() },
    { "domain", aRow.m_domain.Value() }, { "renewals", aRow.m_renewals },
    { "nonce", aRow.m_nonce },
  };
  return json.dump();
}

Result<MemberRow>
DecodeMember(const std::string& aText)
{
  RowReader reader(aText, "member row");
  MemberRow row;
  const std::string stateName = reader.Text("state");
  row.m_incarnation = reader.Unsigned("incarnation");
  row.m_address = reader.Text("address");
  row.m_region = RegionId(reader.Text("region"));
  row.m_domain = DomainId(reader.Text("domain"));
  row.m_renewals = reader.Unsigned("renewals");
  row.m_nonce = reader.Text("nonce");
  if (!reader.Complete()) {
    return reader.Failure();
  }
  const auto state = ParseName<MemberState>(stateName);
  if (!state) {
    return Fail(Verdict::NotRun,
                ErrorCode::BadInput,
                "member row has the unknown state " + stateName);
  }
  row.m_state = *state;
  return row;
}

} // namespace lacewing::ownership
