#include "ownership/SliceRow.h"

#include "ownership/RowJson.h"

namespace lacewing::ownership {

std::string
SliceKey(const SliceId& aSlice)
{
  return kSlicePrefix + aSlice.Value();
}

std::string
EncodeSlice(const SliceRow& aRow)
{
  const nlohmann::json json = {
    { "owner", aRow.m_owner.Value() },
    { "incarnation", aRow.m_ownerIncarnation },
    { "epoch", aRow.m_epoch },
    { "nonce", aRow.m_nonce },
    { "planned", aRow.m_planned },
    { "busy",
      nlohmann::json::object_t(aRow.m_busy.begin(), aRow.m_busy.end()) },
  };
  return json.dump();
}

Result<SliceRow>
DecodeSlice(const std::string& aText)
{
  RowReader reader(aText, "slice row");
  SliceRow row;
  row.m_owner = VmId(reader.Text("owner"));
  row.m_ownerIncarnation = reader.Unsigned("incarnation");
  row.m_epoch = reader.Unsigned("epoch");
  row.m_nonce = reader.Text("nonce");
  row.m_planned = reader.Flag("planned");
  row.m_busy = reader.Amounts("busy");
  if (!reader.Complete()) {
    return reader.Failure();
  }
  return row;
}

} // namespace lacewing::ownership
