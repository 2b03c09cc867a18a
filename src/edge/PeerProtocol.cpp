#include "edge/PeerProtocol.h"

#include "core/TryDecode.h"

#include "core/DecodeJson.h"
#include "core/JsonFields.h"

#include <cmath>
#include <cstdlib>

namespace lacewing::edge {

namespace {

using Json = nlohmann::json;

/// Lags above one hour are not believed.
constexpr std::int64_t kMaxLoopLagMs = 3'600'000;
constexpr int kPermille = 1000;
/// More cores of a VM are not believed.
constexpr double kMostCores = 1024;

Json
ToJson(const pool::LeaderRow& aLeader)
{
  return { { "vm", aLeader.m_vm },
           { "address", aLeader.m_address },
           { "incarnation", aLeader.m_incarnation },
           { "term", aLeader.m_term } };
}

pool::LeaderRow
LeaderFrom(const Json& aJson)
{
  pool::LeaderRow leader;
  leader.m_vm = TypedField<std::string>(aJson, "vm");
  leader.m_address = TypedField<std::string>(aJson, "address");
  leader.m_incarnation = NumberField<std::uint64_t>(aJson, "incarnation");
  leader.m_term = NumberField<std::uint64_t>(aJson, "term");
  return leader;
}

} // namespace

std::string
EncodeStatus(const LeaderStatus& aStatus)
{
  Json waiting;
  if (aStatus.m_waitingJobs) {
    waiting = Json::object();
    for (const auto& [queue, count] : *aStatus.m_waitingJobs) {
      waiting[queue.Value()] = count;
    }
  }
  return Json{
    { "leads", aStatus.m_leads },
    { "term", aStatus.m_term },
    { "incarnation", aStatus.m_incarnation },
    { "store_works", aStatus.m_storeWorks },
    { "loop_lag_ms", ToMilliseconds(aStatus.m_loopLag) },
    { "admitted_permille", std::lround(aStatus.m_admittedShare * kPermille) },
    { "waiting", std::move(waiting) },
    { "leader", ToJson(aStatus.m_leader) }
  }.dump();
}

std::string
EncodeJobView(const JobView& aView)
{
  return Json{
    { "state", NameOf(aView.m_state) }, { "team", aView.m_team.Value() }
  }.dump();
}

std::string
EncodeAdviceRequest(const pool::AdviceRequest& aRequest)
{
  Json workers = Json::array();
  for (const pool::WorkerId& worker : aRequest.m_workers) {
    workers.push_back(worker.Value());
  }
  return Json{
    { "job", aRequest.m_job.Value() },
    { "step", aRequest.m_step },
    { "workers", std::move(workers) }
  }.dump();
}

std::string
EncodePermissions(const std::vector<pool::Permission>& aPermissions)
{
  Json permissions = Json::array();
  for (const pool::Permission& permission : aPermissions) {
    permissions.push_back({ permission.m_worker.Value(), permission.m_ticket });
  }
  return permissions.dump();
}

Result<LeaderStatus>
DecodeStatus(const std::string& aBody)
{
  return DecodeJson(Verdict::Ran, "status of a leader", [&] {
    const Json json = Json::parse(aBody);
    LeaderStatus status;
    status.m_leads = TypedField<bool>(json, "leads");
    status.m_term = NumberField<std::uint64_t>(json, "term");
    status.m_incarnation = NumberField<std::uint64_t>(json, "incarnation");
    status.m_storeWorks = TypedField<bool>(json, "store_works");
    status.m_loopLag = milliseconds(
      NumberField<std::int64_t>(json, "loop_lag_ms", 0, kMaxLoopLagMs));
    status.m_admittedShare =
      NumberField<int>(json, "admitted_permille", 0, kPermille) /
      static_cast<double>(kPermille);
    if (!json.at("waiting").is_null()) {
      auto& waiting = status.m_waitingJobs.emplace();
      for (const auto& [queue, count] : ObjectField(json, "waiting").items()) {
        waiting[pool::QueueId(queue)] = count.get<std::size_t>();
      }
    }
    status.m_leader = LeaderFrom(ObjectField(json, "leader"));
    return status;
  });
}

Result<JobView>
DecodeJobView(const std::string& aBody)
{
  return DecodeJson(Verdict::Ran, "state of a job", [&] {
    const Json json = Json::parse(aBody);
    const auto name = TypedField<std::string>(json, "state");
    const auto state = ParseName<pool::JobState>(name);
    if (!state) {
      ThrowBadField("state", name, "the state of a job");
    }
    return JobView{ *state, TeamId(TypedField<std::string>(json, "team")) };
  });
}

Result<pool::AdviceRequest>
DecodeAdviceRequest(const std::string& aBody)
{
  return DecodeJson(Verdict::NotRun, "advice request", [&] {
    const Json json = Json::parse(aBody);
    pool::AdviceRequest request;
    request.m_job = JobId(TypedField<std::string>(json, "job"));
    request.m_step = NumberField<std::uint32_t>(json, "step");
    for (const Json& worker : ArrayField(json, "workers")) {
      request.m_workers.emplace_back(worker.get<std::string>());
    }
    return request;
  });
}

Result<std::vector<pool::Permission>>
DecodePermissions(const std::string& aBody)
{
  return DecodeJson(Verdict::Ran, "response to an advice request", [&] {
    std::vector<pool::Permission> permissions;
    for (const Json& row : Json::parse(aBody)) {
      permissions.push_back({ pool::WorkerId(row.at(0).get<std::string>()),
                              row.at(1).get<std::string>() });
    }
    return permissions;
  });
}

bool
ShowsNoLeader(const net::HttpOutcome& aOutcome)
{
  if (!aOutcome.m_response) {
    return false;
  }
  const auto status = TryDecode<LeaderStatus>(
    [&] { return DecodeStatus(aOutcome.m_response->m_body); });
  return status && !status->m_leads;
}

std::string
JobStatePath(const JobId& aJob, Duration aLongestWait)
{
  return std::string(kJobsPath) + "/" + aJob.Value() + "?" + kWaitQuery + "=" +
         std::to_string(ToMilliseconds(aLongestWait));
}

std::string
JobPath(const JobId& aJob, RowVersion aRowVersion)
{
  return std::string(kJobsPath) + "/" + aJob.Value() + "?" + kRowVersionQuery +
         "=" + std::to_string(aRowVersion);
}

std::string
RelayOffer(const EdgeSettings& aSettings)
{
  if (!aSettings.m_relay) {
    return {};
  }
  return std::string("&") + kRelayQuery + "=" + aSettings.m_relay->ToString() +
         "&" + kCoresQuery + "=" + std::to_string(aSettings.m_cores) + "&" +
         kDomainQuery + "=" + aSettings.m_domain.Value();
}

std::optional<relay::RelayPeer>
OfferedRelay(const net::HttpRequest& aRequest)
{
  const std::string text = aRequest.Query(kRelayQuery);
  if (text.empty()) {
    return std::nullopt;
  }
  const auto address =
    TryDecode<net::Address>([&] { return net::ParseAddress(text); });
  const double cores =
    std::strtod(aRequest.Query(kCoresQuery).c_str(), nullptr);
  if (!address || !(cores > 0 && cores <= kMostCores)) {
    return std::nullopt;
  }
  return relay::RelayPeer{ VmId(aRequest.Query("vm")),
                           DomainId(aRequest.Query(kDomainQuery)),
                           *address,
                           cores };
}

net::HttpRequest
MakeRequest(std::string aMethod, std::string aPath, std::string aBody)
{
  net::HttpRequest request;
  request.m_method = std::move(aMethod);
  request.m_path = std::move(aPath);
  if (!aBody.empty()) {
    request.m_headers["Content-Type"] = "application/json";
    request.m_body = std::move(aBody);
  }
  return request;
}

} // namespace lacewing::edge
