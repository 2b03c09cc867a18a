#include "daemon/PeerPayloads.h"

#include "core/JsonFields.h"

namespace lacewing::daemon {

namespace {

using Json = nlohmann::json;

/// Largest age in a heartbeat. It is above any uptime, and adding it to a time
/// does not overflow.
constexpr Duration kMaxAge = std::chrono::hours(24 * 365 * 100);

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
  const auto type = TypedField<std::string>(aJson, "type");
  if (type == "hello") {
    return ownership::Hello{ NumberField<Incarnation>(aJson, "incarnation"),
                             RegionId(
                               TypedField<std::string>(aJson, "region")) };
  }
  if (type == "hello_answer") {
    return ownership::HelloAnswer{
      NumberField<Incarnation>(aJson, "incarnation"),
      NumberField<std::uint64_t>(aJson, "settings_version")
    };
  }
  if (type == "outage_probe") {
    return ownership::OutageProbe{ NumberField<std::uint64_t>(aJson, "round"),
                                   NumberField<Incarnation>(aJson,
                                                            "incarnation") };
  }
  if (type == "promise") {
    return ownership::Promise{ NumberField<std::uint64_t>(aJson, "round"),
                               NumberField<Incarnation>(aJson, "incarnation"),
                               TypedField<bool>(aJson, "no_takeover"),
                               TypedField<bool>(aJson, "no_settings"),
                               NumberField<std::uint64_t>(aJson,
                                                          "settings_version") };
  }
  if (type == "relay_renewal") {
    return ownership::RelayRenewal{ NumberField<RowVersion>(aJson, "version"),
                                    TypedField<std::string>(aJson, "row") };
  }
  if (type == "relay_answer") {
    return ownership::RelayAnswer{ NumberField<RowVersion>(aJson, "version"),
                                   TypedField<std::string>(aJson, "row") };
  }
  if (type == "slice_released") {
    return ownership::SliceReleased{ SliceId(
      TypedField<std::string>(aJson, "slice")) };
  }
  throw Json::other_error::create(600, "unknown type '" + type + "'", &aJson);
}

settings::Heartbeat
HeartbeatFrom(const Json& aJson)
{
  settings::Heartbeat heartbeat;
  heartbeat.m_incarnation = NumberField<Incarnation>(aJson, "incarnation");
  heartbeat.m_number = NumberField<std::uint64_t>(aJson, "number");
  heartbeat.m_echoIncarnation =
    NumberField<Incarnation>(aJson, "echo_incarnation");
  heartbeat.m_echoNumber = NumberField<std::uint64_t>(aJson, "echo_number");
  heartbeat.m_fleet = NumberField<settings::FleetVersion>(aJson, "fleet");
  heartbeat.m_known = NumberField<settings::FleetVersion>(aJson, "known");
  if (aJson.contains("age_us")) {
    // A negative age would make settings look fresher than they are.
    heartbeat.m_age =
      Duration(NumberField<Duration::rep>(aJson, "age_us", 0, kMaxAge.count()));
  }
  return heartbeat;
}

settings::PeerMessage
SettingsFrom(const Json& aJson)
{
  const auto type = TypedField<std::string>(aJson, "type");
  if (type == "heartbeat") {
    return HeartbeatFrom(aJson);
  }
  if (type == "rows_request") {
    settings::RowsRequest request;
    request.m_fleet = NumberField<settings::FleetVersion>(aJson, "fleet");
    for (const auto& [subtree, version] : ObjectField(aJson, "have").items()) {
      request.m_have[subtree] =
        WholeNumber<settings::SettingsVersion>(version, "have." + subtree);
    }
    return request;
  }
  if (type == "rows_answer") {
    settings::RowsAnswer answer;
    for (const auto& [key, row] : ObjectField(aJson, "rows").items()) {
      answer.m_rows[key] = { TypedField<std::string>(row, "value"),
                             NumberField<RowVersion>(row, "version") };
    }
    return answer;
  }
  throw Json::other_error::create(600, "unknown type '" + type + "'", &aJson);
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
  return DecodeJson("peer message", aText, OwnershipFrom);
}

Result<settings::PeerMessage>
UnpackSettings(const std::string& aText)
{
  return DecodeJson("peer message", aText, SettingsFrom);
}

} // namespace lacewing::daemon
