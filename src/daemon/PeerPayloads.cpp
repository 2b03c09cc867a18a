#include "daemon/PeerPayloads.h"

#include <nlohmann/json.hpp>

namespace lacewing::daemon {

namespace {

using Json = nlohmann::json;

Json
ToJson(const ownership::Hello& aMessage)
{
  return { { "type", "hello" },
           { "incarnation", aMessage.m_incarnation },
           { "region", aMessage.m_region.Value() } };
}

Json
ToJson(const ownership::HelloAnswer& aMessage)
{
  return { { "type", "hello_answer" },
           { "incarnation", aMessage.m_incarnation },
           { "settings_version", aMessage.m_settingsVersion } };
}

Json
ToJson(const ownership::OutageProbe& aMessage)
{
  return { { "type", "outage_probe" },
           { "round", aMessage.m_round },
           { "incarnation", aMessage.m_incarnation } };
}

Json
ToJson(const ownership::Promise& aMessage)
{
  return { { "type", "promise" },
           { "round", aMessage.m_round },
           { "incarnation", aMessage.m_incarnation },
           { "no_takeover", aMessage.m_noTakeover },
           { "no_settings", aMessage.m_noSettings },
           { "settings_version", aMessage.m_settingsVersion } };
}

Json
ToJson(const ownership::RelayRenewal& aMessage)
{
  return { { "type", "relay_renewal" },
           { "version", aMessage.m_version },
           { "row", aMessage.m_row } };
}

Json
ToJson(const ownership::RelayAnswer& aMessage)
{
  return { { "type", "relay_answer" },
           { "version", aMessage.m_version },
           { "row", aMessage.m_row } };
}

Json
ToJson(const ownership::SliceReleased& aMessage)
{
  return { { "type", "slice_released" },
           { "slice", aMessage.m_slice.Value() } };
}

Json
ToJson(const settings::Heartbeat& aMessage)
{
  Json body = { { "type", "heartbeat" },
                { "incarnation", aMessage.m_incarnation },
                { "number", aMessage.m_number },
                { "echo_incarnation", aMessage.m_echoIncarnation },
                { "echo_number", aMessage.m_echoNumber },
                { "fleet", aMessage.m_fleet },
                { "known", aMessage.m_known } };
  if (aMessage.m_age) {
    body["age_us"] = aMessage.m_age->count();
  }
  return body;
}

Json
ToJson(const settings::RowsRequest& aMessage)
{
  return { { "type", "rows_request" },
           { "fleet", aMessage.m_fleet },
           { "have", aMessage.m_have } };
}

Json
ToJson(const settings::RowsAnswer& aMessage)
{
  Json rows = Json::object();
  for (const auto& [key, row] : aMessage.m_rows) {
    rows[key] = { { "value", row.m_value }, { "version", row.m_version } };
  }
  return { { "type", "rows_answer" }, { "rows", rows } };
}

ownership::PeerMessage
OwnershipFrom(const Json& aJson)
{
  const auto type = aJson.at("type").get<std::string>();
  if (type == "hello") {
    return ownership::Hello{ aJson.at("incarnation").get<Incarnation>(),
                             RegionId(aJson.at("region").get<std::string>()) };
  }
  if (type == "hello_answer") {
    return ownership::HelloAnswer{
      aJson.at("incarnation").get<Incarnation>(),
      aJson.at("settings_version").get<std::uint64_t>()
    };
  }
  if (type == "outage_probe") {
    return ownership::OutageProbe{ aJson.at("round").get<std::uint64_t>(),
                                   aJson.at("incarnation").get<Incarnation>() };
  }
  if (type == "promise") {
    return ownership::Promise{
      aJson.at("round").get<std::uint64_t>(),
      aJson.at("incarnation").get<Incarnation>(),
      aJson.at("no_takeover").get<bool>(),
      aJson.at("no_settings").get<bool>(),
      aJson.at("settings_version").get<std::uint64_t>()
    };
  }
  if (type == "relay_renewal") {
    return ownership::RelayRenewal{ aJson.at("version").get<RowVersion>(),
                                    aJson.at("row").get<std::string>() };
  }
  if (type == "relay_answer") {
    return ownership::RelayAnswer{ aJson.at("version").get<RowVersion>(),
                                   aJson.at("row").get<std::string>() };
  }
  if (type == "slice_released") {
    return ownership::SliceReleased{ SliceId(
      aJson.at("slice").get<std::string>()) };
  }
  throw Json::other_error::create(600, "unknown type '" + type + "'", &aJson);
}

settings::Heartbeat
HeartbeatFrom(const Json& aJson)
{
  settings::Heartbeat heartbeat;
  heartbeat.m_incarnation = aJson.at("incarnation").get<Incarnation>();
  heartbeat.m_number = aJson.at("number").get<std::uint64_t>();
  heartbeat.m_echoIncarnation = aJson.at("echo_incarnation").get<Incarnation>();
  heartbeat.m_echoNumber = aJson.at("echo_number").get<std::uint64_t>();
  heartbeat.m_fleet = aJson.at("fleet").get<settings::FleetVersion>();
  heartbeat.m_known = aJson.at("known").get<settings::FleetVersion>();
  if (aJson.contains("age_us")) {
    heartbeat.m_age = Duration(aJson.at("age_us").get<Duration::rep>());
  }
  return heartbeat;
}

settings::PeerMessage
SettingsFrom(const Json& aJson)
{
  const auto type = aJson.at("type").get<std::string>();
  if (type == "heartbeat") {
    return HeartbeatFrom(aJson);
  }
  if (type == "rows_request") {
    return settings::RowsRequest{
      aJson.at("fleet").get<settings::FleetVersion>(),
      aJson.at("have").get<std::map<std::string, settings::SettingsVersion>>()
    };
  }
  if (type == "rows_answer") {
    settings::RowsAnswer answer;
    for (const auto& [key, row] : aJson.at("rows").items()) {
      answer.m_rows[key] = { row.at("value").get<std::string>(),
                             row.at("version").get<RowVersion>() };
    }
    return answer;
  }
  throw Json::other_error::create(600, "unknown type '" + type + "'", &aJson);
}

/// Runs a decoder and turns the JSON library's exceptions into results.
template<typename Message, typename Decode>
Result<Message>
Guarded(const std::string& aText, Decode aDecode)
{
  try {
    return aDecode(Json::parse(aText));
  } catch (const Json::exception& error) {
    return Fail(Verdict::NotRun,
                ErrorCode::BadInput,
                std::string("peer message is malformed: ") + error.what());
  }
}

template<typename Message>
peer::Opaque
PackAs(const char* aKind, const Message& aMessage)
{
  const Json body =
    std::visit([](const auto& aOne) { return ToJson(aOne); }, aMessage);
  return { aKind, body.dump() };
}

} // namespace

peer::Opaque
Pack(const ownership::PeerMessage& aMessage)
{
  return PackAs(kOwnershipKind, aMessage);
}

peer::Opaque
Pack(const settings::PeerMessage& aMessage)
{
  return PackAs(kSettingsKind, aMessage);
}

Result<ownership::PeerMessage>
UnpackOwnership(const std::string& aText)
{
  return Guarded<ownership::PeerMessage>(aText, OwnershipFrom);
}

Result<settings::PeerMessage>
UnpackSettings(const std::string& aText)
{
  return Guarded<settings::PeerMessage>(aText, SettingsFrom);
}

} // namespace lacewing::daemon
