#include "cli/TimelineCommand.h"

#include "observe/Timeline.h"

namespace lacewing::cli {

namespace {

std::string
QueryOf(const CommandContext& aContext)
{
  constexpr std::pair<const char*, const char*> kFilters[] = {
    { "--job", "job" }, { "--request", "request" }, { "--team", "team" },
    { "--vm", "vm" },   { "--process", "process" },
  };
  std::string query;
  for (const auto& [option, name] : kFilters) {
    if (aContext.Has(option)) {
      query += (query.empty() ? "?" : "&") + std::string(name) + "=" +
               aContext.Get(option);
    }
  }
  return query;
}

observe::TimelineFormat
FormatOf(const CommandContext& aContext)
{
  if (aContext.Has("--chrome")) {
    return observe::TimelineFormat::Chrome;
  }
  return aContext.m_format == OutputFormat::Json
           ? observe::TimelineFormat::Json
           : observe::TimelineFormat::Text;
}

Result<std::vector<observe::Event>>
RingOf(CommandContext& aContext, const std::string& aAddress)
{
  BOOST_LEAF_AUTO(address, net::ParseAddress(aAddress));
  Call call;
  call.m_path = "/v1/timeline" + QueryOf(aContext);
  BOOST_LEAF_AUTO(body, aContext.m_client.JsonFrom(address, call));
  return observe::ParseRing(body.dump());
}

} // namespace

Result<void>
Timeline(CommandContext& aContext)
{
  Call call;
  call.m_path = "/v1/members";
  BOOST_LEAF_AUTO(body, aContext.m_client.Json(call));
  std::vector<std::vector<observe::Event>> rings;
  for (const auto& member : body.value("members", nlohmann::json::array())) {
    leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(ring, RingOf(aContext, member.value("address", "")));
        rings.push_back(std::move(ring));
        return {};
      },
      [&](const Error& aError) {
        aContext.m_progress << "no time line of " << member.value("vm", "")
                            << ": " << aError.m_message << "\n";
      },
      [] {});
  }
  aContext.m_out << observe::FormatEvents(observe::MergeRings(rings),
                                          FormatOf(aContext));
  return {};
}

} // namespace lacewing::cli
