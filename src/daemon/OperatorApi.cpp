#include "daemon/OperatorApi.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <set>

namespace lacewing::daemon {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kAccepted = 202;

const std::set<std::string>&
OperatorPaths()
{
  static const std::set<std::string> kPaths = { "settings", "members", "nodes",
                                                "top",      "drain",   "limits",
                                                "timeline" };
  return kPaths;
}

net::HttpResponse
Ok(const Json& aBody)
{
  return net::JsonResponse(kOk, aBody.dump());
}

Result<settings::SettingsVersion>
ParseIfMatch(const std::string& aText)
{
  settings::SettingsVersion version = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return Fail(Verdict::NotRun,
                ErrorCode::BadInput,
                "If-Match is '" + aText +
                  "'; expected the subtree's version, 0 for a new one");
  }
  return version;
}

/// All faults of a rejected text, one a line.
Error
WithFaults(Error aError, const std::vector<settings::SettingError>& aFaults)
{
  for (const settings::SettingError& fault : aFaults) {
    aError.m_message += "\n" + fault.ToString();
  }
  return aError;
}

} // namespace

OperatorApi::OperatorApi(CellState aCell, std::function<void()> aBeginDrain)
  : m_cell(aCell)
  , m_beginDrain(std::move(aBeginDrain))
{
}

bool
OperatorApi::Handles(const net::HttpRequest& aRequest)
{
  const auto parts = aRequest.PathParts();
  return parts.size() >= 2 && parts[0] == "v1" &&
         OperatorPaths().contains(parts[1]);
}

Result<void>
OperatorApi::Serve(const net::HttpRequest& aRequest,
                   const net::HttpReply& aReply)
{
  constexpr std::string_view kBearer = "Bearer ";
  const std::string header = aRequest.Header("Authorization");
  const bool hasKey = header.starts_with(kBearer);
  if (!settings::IsAdminKey(m_cell.m_runtime.Config().m_adminKeyDigest,
                            hasKey ? header.substr(kBearer.size()) : "")) {
    return Fail(Verdict::NotRun,
                ErrorCode::Unauthenticated,
                "the administrator's key is missing or wrong");
  }
  const auto parts = aRequest.PathParts();
  const std::string& what = parts[1];
  if (what == "settings") {
    return ServeSettings(aRequest, aReply);
  }
  if (what == "members") {
    aReply(Members());
  } else if (what == "nodes") {
    aReply(Nodes());
  } else if (what == "top") {
    aReply(Top());
  } else if (what == "timeline") {
    aReply(TimelineOf(aRequest));
  } else if (what == "limits" && parts.size() == 3) {
    GetLimits(TeamId(parts[2]), aReply);
  } else if (what == "drain" && aRequest.m_method == "POST") {
    m_beginDrain();
    aReply(net::JsonResponse(kAccepted, "{}"));
  } else {
    return Fail(
      Verdict::NotRun, ErrorCode::NotFound, "no such path: " + aRequest.m_path);
  }
  return {};
}

Result<void>
OperatorApi::ServeSettings(const net::HttpRequest& aRequest,
                           const net::HttpReply& aReply)
{
  const auto parts = aRequest.PathParts();
  if (parts.size() == 2) {
    GetIndex(aReply);
    return {};
  }
  const std::string& subtree = parts[2];
  if (parts.size() == 4 && parts[3] == "history") {
    return GetHistory(subtree, aReply);
  }
  if (aRequest.m_method == "PUT") {
    return PutSubtree(aRequest, subtree, aReply);
  }
  if (aRequest.m_method != "GET") {
    return Fail(Verdict::NotRun,
                ErrorCode::NotFound,
                "no such path: " + aRequest.m_method + " " + aRequest.m_path);
  }
  GetSubtree(subtree, aReply);
  return {};
}

void
OperatorApi::GetIndex(const net::HttpReply& aReply)
{
  const std::string key(settings::kIndexKey);
  table::Read read;
  read.m_keys.push_back(key);
  m_cell.m_runtime.Table().Fetch(
    "settings", read, [this, key, aReply](const table::ReadResult& aResult) {
      std::map<std::string, settings::SettingsVersion> subtrees;
      auto version = m_cell.m_settings.Store().Fleet();
      for (const auto& [name, subtree] : m_cell.m_settings.Tree().All()) {
        subtrees[name] = subtree->m_version;
      }
      const auto row = aResult.m_rows.find(key);
      if (row != aResult.m_rows.end()) {
        if (const auto index = settings::DecodeIndex(row->second.m_value)) {
          version = index->m_fleet;
          subtrees = index->m_subtrees;
        }
      }
      aReply(Ok({ { "version", version }, { "subtrees", subtrees } }));
    });
}

void
OperatorApi::GetSubtree(const std::string& aSubtree,
                        const net::HttpReply& aReply)
{
  const std::string key = settings::SubtreeKey(aSubtree);
  table::Read read;
  read.m_keys.push_back(key);
  m_cell.m_runtime.Table().Fetch(
    "settings",
    read,
    [this, key, aSubtree, aReply](const table::ReadResult& aResult) {
      std::optional<settings::SubtreeRow> newest;
      const auto row = aResult.m_rows.find(key);
      if (row != aResult.m_rows.end()) {
        if (const auto decoded = settings::DecodeSubtree(row->second.m_value)) {
          newest = *decoded;
        }
      }
      aReply(SubtreeResponse(aSubtree, newest));
    });
}

net::HttpResponse
OperatorApi::SubtreeResponse(
  const std::string& aSubtree,
  const std::optional<settings::SubtreeRow>& aRow) const
{
  const settings::Subtree* known = m_cell.m_settings.Tree().Find(aSubtree);
  if (!aRow && known == nullptr) {
    return net::ErrorResponse({ Verdict::NotRun,
                                ErrorCode::NotFound,
                                "there is no subtree '" + aSubtree + "'" });
  }
  return Ok({ { "subtree", aSubtree },
              { "version", aRow ? aRow->m_version : known->m_version },
              { "text", aRow ? aRow->m_text : known->m_text },
              { "in_force", known == nullptr ? 0 : known->m_inForce },
              { "fault", known == nullptr ? "" : known->m_fault } });
}

Result<void>
OperatorApi::GetHistory(const std::string& aSubtree,
                        const net::HttpReply& aReply)
{
  const settings::Subtree* subtree = m_cell.m_settings.Tree().Find(aSubtree);
  if (subtree == nullptr) {
    return Fail(Verdict::NotRun,
                ErrorCode::NotFound,
                "there is no subtree '" + aSubtree + "'");
  }
  const auto newest = subtree->m_version;
  table::Read read;
  for (settings::SettingsVersion back = 0;
       back <= settings::kKeptVersions && back < newest;
       ++back) {
    read.m_keys.push_back(settings::HistoryKey(aSubtree, newest - back));
  }
  m_cell.m_runtime.Table().Fetch(
    "settings",
    read,
    [keys = read.m_keys, aReply](const table::ReadResult& aResult) {
      if (!aResult.m_ok) {
        aReply(net::ErrorResponse({ Verdict::NotRun,
                                    ErrorCode::StoreUnavailable,
                                    "the table cannot be read" }));
        return;
      }
      Json versions = Json::array();
      for (const std::string& key : keys) {
        const auto row = aResult.m_rows.find(key);
        if (row == aResult.m_rows.end()) {
          continue;
        }
        const auto decoded = settings::DecodeSubtree(row->second.m_value);
        if (decoded) {
          versions.push_back(
            { { "version", decoded->m_version }, { "text", decoded->m_text } });
        }
      }
      aReply(Ok({ { "versions", versions } }));
    });
  return {};
}

Result<void>
OperatorApi::PutSubtree(const net::HttpRequest& aRequest,
                        const std::string& aSubtree,
                        const net::HttpReply& aReply)
{
  BOOST_LEAF_AUTO(expected, ParseIfMatch(aRequest.Header("If-Match")));
  m_cell.m_settings.Change(
    aSubtree,
    expected,
    aRequest.m_body,
    [aSubtree, aReply](const settings::ChangeDone& aDone) {
      if (aDone.m_error) {
        aReply(net::ErrorResponse(WithFaults(*aDone.m_error, aDone.m_faults)));
        return;
      }
      aReply(Ok({ { "subtree", aSubtree },
                  { "version", aDone.m_version },
                  { "fleet_version", aDone.m_fleet } }));
    });
  return {};
}

net::HttpResponse
OperatorApi::Members() const
{
  std::map<VmId, std::vector<std::string>> slices;
  for (const auto& [id, slice] : m_cell.m_slices) {
    slices[m_cell.m_membership.Machine().OwnerOf(id)].push_back(id.Value());
  }
  Json members = Json::array();
  for (const MemberInfo& member : m_cell.m_membership.Members()) {
    members.push_back({ { "vm", member.m_vm.Value() },
                        { "state", NameOf(member.m_state) },
                        { "region", member.m_region.Value() },
                        { "domain", member.m_domain.Value() },
                        { "address", member.m_address.m_callers.ToString() },
                        { "slices", slices[member.m_vm].size() },
                        { "settings_version",
                          m_cell.m_loads.SettingsVersionOf(member.m_vm) } });
  }
  return Ok({ { "members", members } });
}

net::HttpResponse
OperatorApi::Nodes() const
{
  const Time now = net::Loop::Now();
  Json nodes = Json::array();
  for (const auto& [id, slice] : m_cell.m_slices) {
    const VmId owner = m_cell.m_membership.Machine().OwnerOf(id);
    const auto load = m_cell.m_loads.Find(now, owner, id);
    for (const vmlist::Vm& vm : slice.m_vms) {
      nodes.push_back({ { "vm", vm.m_vm.Value() },
                        { "kind", NameOf(vm.m_kind) },
                        { "state", NameOf(vm.m_state) },
                        { "region", vm.m_region.Value() },
                        { "domain", vm.m_domain.Value() },
                        { "slice", id.Value() },
                        { "owner", owner.Value() },
                        { "load", load ? Json(load->m_load) : Json() } });
    }
  }
  return Ok({ { "nodes", nodes } });
}

net::HttpResponse
OperatorApi::Top() const
{
  const Time now = net::Loop::Now();
  const auto& tree = m_cell.m_settings.Tree();
  Json teams = Json::array();
  for (const TeamId& team : tree.Teams()) {
    const auto settings = tree.Team(team);
    const auto usage = m_cell.m_loads.UsageOf(now, team);
    Json row = { { "team", team.Value() },
                 { "running_millicores", usage.m_millicores },
                 { "waiting_millicores", usage.m_waitingMillicores },
                 { "running_requests", usage.m_requests } };
    row["weight"] = settings ? settings->m_weight : 0.0;
    row["limit_millicores"] = settings && settings->m_limitMillicores
                                ? Json(*settings->m_limitMillicores)
                                : Json();
    teams.push_back(row);
  }
  Json slices = Json::array();
  for (const auto& [id, slice] : m_cell.m_slices) {
    const VmId owner = m_cell.m_membership.Machine().OwnerOf(id);
    const auto load = m_cell.m_loads.Find(now, owner, id);
    slices.push_back(
      { { "slice", id.Value() },
        { "owner", owner.Value() },
        { "load", load ? Json(load->m_load) : Json() },
        { "waiting", load ? Json(load->m_queueLength) : Json() } });
  }
  return Ok({ { "teams", teams }, { "slices", slices } });
}

net::HttpResponse
OperatorApi::TimelineOf(const net::HttpRequest& aRequest) const
{
  observe::EventFilter filter;
  filter.m_job = JobId(aRequest.Query("job"));
  filter.m_request = aRequest.Query("request");
  filter.m_team = TeamId(aRequest.Query("team"));
  filter.m_vm = VmId(aRequest.Query("vm"));
  filter.m_process = aRequest.Query("process");
  return net::JsonResponse(kOk, m_cell.m_runtime.Timeline().ToJson(filter));
}

void
OperatorApi::GetLimits(const TeamId& aTeam, const net::HttpReply& aReply)
{
  table::Read read;
  read.m_keys = {
    ownership::LimitKey({ aTeam, ownership::LimitUnit::Millicores }),
    ownership::LimitKey({ aTeam, ownership::LimitUnit::Requests })
  };
  m_cell.m_runtime.Table().Fetch(
    "limits", read, [aTeam, aReply](const table::ReadResult& aResult) {
      if (!aResult.m_ok) {
        aReply(net::ErrorResponse({ Verdict::NotRun,
                                    ErrorCode::StoreUnavailable,
                                    "the table cannot be read" }));
        return;
      }
      Json limits = Json::object();
      for (const auto& [key, row] : aResult.m_rows) {
        if (const auto limit = ownership::DecodeLimit(row.m_value)) {
          limits[key] = { { "accepted", limit->m_limit },
                          { "in_force", limit->m_inForce },
                          { "allotted", limit->Sum() },
                          { "allotments", limit->m_allotments } };
        }
      }
      aReply(Ok({ { "team", aTeam.Value() }, { "limits", limits } }));
    });
}

} // namespace lacewing::daemon
