#include "cli/CellCommands.h"

#include <chrono>
#include <thread>

namespace lacewing::cli {

namespace {

constexpr std::chrono::milliseconds kDrainPollPeriod{ 500 };
/// The longest planned stop (32 s) and a margin for the operator's network.
constexpr int kMaxDrainPolls = 80;

Result<nlohmann::json>
FetchMembers(CommandContext& aContext)
{
  Call call;
  call.m_path = "/v1/members";
  return aContext.m_client.Json(call);
}

Result<net::Address>
AddressOf(CommandContext& aContext, const std::string& aVm)
{
  BOOST_LEAF_AUTO(body, FetchMembers(aContext));
  for (const auto& member : body.value("members", nlohmann::json::array())) {
    if (member.value("vm", "") == aVm) {
      return net::ParseAddress(member.value("address", ""));
    }
  }
  return Fail(Verdict::NotRun,
              ErrorCode::NotFound,
              "'" + aVm + "' is not an entry VM of this cell");
}

/// True once the member list no longer has the VM as a serving member.
Result<bool>
HasLeft(CommandContext& aContext, const std::string& aVm)
{
  BOOST_LEAF_AUTO(body, FetchMembers(aContext));
  for (const auto& member : body.value("members", nlohmann::json::array())) {
    const std::string state = member.value("state", "");
    if (member.value("vm", "") == aVm &&
        (state == "active" || state == "draining")) {
      return false;
    }
  }
  return true;
}

Result<void>
PrintListOf(CommandContext& aContext,
            const std::string& aPath,
            const std::string& aField,
            const std::vector<std::string>& aColumns)
{
  Call call;
  call.m_path = aPath;
  BOOST_LEAF_AUTO(body, aContext.m_client.Json(call));
  PrintList(aContext.m_out, aContext.m_format, body, aField, aColumns);
  return {};
}

} // namespace

Result<void>
Members(CommandContext& aContext)
{
  return PrintListOf(aContext,
                     "/v1/members",
                     "members",
                     { "vm",
                       "state",
                       "region",
                       "domain",
                       "address",
                       "slices",
                       "settings_version" });
}

Result<void>
Nodes(CommandContext& aContext)
{
  return PrintListOf(
    aContext,
    "/v1/nodes",
    "nodes",
    { "vm", "kind", "state", "region", "domain", "slice", "owner", "load" });
}

Result<void>
Top(CommandContext& aContext)
{
  Call call;
  call.m_path = "/v1/top";
  BOOST_LEAF_AUTO(body, aContext.m_client.Json(call));
  if (aContext.m_format == OutputFormat::Json) {
    PrintObject(aContext.m_out, aContext.m_format, body);
    return {};
  }
  PrintList(aContext.m_out,
            aContext.m_format,
            body,
            "teams",
            { "team",
              "weight",
              "limit_millicores",
              "running_millicores",
              "waiting_millicores",
              "running_requests" });
  aContext.m_out << "\n";
  PrintList(aContext.m_out,
            aContext.m_format,
            body,
            "slices",
            { "slice", "owner", "load", "waiting" });
  return {};
}

Result<void>
Drain(CommandContext& aContext)
{
  const std::string vm = aContext.Get("VM");
  BOOST_LEAF_AUTO(address, AddressOf(aContext, vm));
  Call call;
  call.m_method = "POST";
  call.m_path = "/v1/drain";
  BOOST_LEAF_CHECK(aContext.m_client.JsonFrom(address, call));
  for (int poll = 0; poll < kMaxDrainPolls; ++poll) {
    BOOST_LEAF_AUTO(left, HasLeft(aContext, vm));
    if (left) {
      PrintObject(aContext.m_out,
                  aContext.m_format,
                  { { "vm", vm }, { "state", "drained" } });
      return {};
    }
    aContext.m_progress << "draining " << vm << "\n";
    std::this_thread::sleep_for(kDrainPollPeriod);
  }
  return Fail(Verdict::MayHaveRun,
              ErrorCode::DeadlineExceeded,
              "'" + vm + "' is still draining");
}

} // namespace lacewing::cli
