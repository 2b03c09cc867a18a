#include "settings/Schema.h"

#include "net/Address.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>
#include <vector>

namespace lacewing::settings {

namespace {

constexpr double kMinute = 60'000; // in milliseconds
constexpr double kHour = 60 * kMinute;
/// The front and the owner of a slice keep counts for this long after a
/// dispatch, and a planned stop is bounded by it. The settings can only lower
/// the deadline of requests.
constexpr double kLargestDeadlineMs = 30'000;
/// A larger body does not fit into a frame of 1 MiB between daemons.
constexpr double kLargestBody = 960 * 1024;
/// Keeps a value on one line of the INI text.
constexpr double kMaxText = 150;

constexpr SettingDef
Boot(std::string_view aSection,
     std::string_view aKey,
     ValueType aType,
     std::string_view aDefault,
     bool aRequired,
     std::string_view aDescription,
     std::string_view aChoices = "")
{
  return { Scope::Bootstrap, aSection, aKey,      aType,    "",          1,
           kMaxText,         aDefault, aRequired, aChoices, aDescription };
}

constexpr SettingDef
Number(Scope aScope,
       std::string_view aSection,
       std::string_view aKey,
       ValueType aType,
       std::string_view aUnit,
       double aMin,
       double aMax,
       std::string_view aDefault,
       std::string_view aDescription)
{
  return { aScope, aSection, aKey,  aType, aUnit,       aMin,
           aMax,   aDefault, false, "",    aDescription };
}

constexpr SettingDef
System(std::string_view aSection,
       std::string_view aKey,
       std::string_view aUnit,
       double aMin,
       double aMax,
       std::string_view aDefault,
       std::string_view aDescription)
{
  return Number(Scope::System,
                aSection,
                aKey,
                ValueType::Integer,
                aUnit,
                aMin,
                aMax,
                aDefault,
                aDescription);
}

using enum ValueType;

// clang-format off
//
// Values on which all daemons must agree at every moment are constants and no
// settings, because a change reaches the daemons one after the other:
// * lengths of leases and promises, and the bound on clock rates: a member
//   computes with its own values how long another one's lease can last;
// * the numbers of parts into which workers and endpoints are divided: two
//   owners would have the same VM in slices of different divisions.
constexpr SettingDef kSettings[] = {
  Boot("process", "vm", Name, "", true, "Name of the VM that the process runs on."),
  Boot("process", "region", Name, "", true, "Region of the VM."),
  Boot("process", "domain", Name, "", true, "Failure domain of the VM."),
  Boot("process", "cluster", Name, "", true, "Name of the cluster; peers of another cluster are refused."),
  Boot("listen", "callers", Address, "", true, "Listen address for callers and operators."),
  Boot("listen", "peers", Address, "", true, "Listen address for other entry daemons."),
  Boot("advertise", "callers", ReachableAddress, "", false, "Address that callers are told; the one of [listen] if absent."),
  Boot("advertise", "peers", ReachableAddress, "", false, "Address that other entry daemons are told; the one of [listen] if absent."),
  Boot("advertise", "peers_of_other_regions", ReachableAddress, "", false, "The same for daemons of other regions; `peers` if absent."),
  Boot("platform", "table", Address, "", true, "Address of the table service."),
  Boot("platform", "objects", Address, "", true, "Address of the object store."),
  Boot("platform", "vm_list", Address, "", true, "Address of the list of VMs."),
  Boot("secrets", "cluster_secret", Secret, "", false, "Cluster secret; give either this or cluster_secret_file."),
  Boot("secrets", "cluster_secret_file", Text, "", false, "File whose first line is the cluster secret."),
  Boot("secrets", "admin_key_digest", KeyDigest, "", true, "Salted digest of the operators' key."),
  Boot("log", "format", Choice, "json", false, "Form of the log lines.", "json,text"),
  Boot("log", "level", Choice, "info", false, "Least level that is written.", "debug,info,warn,error"),

  System("limits", "idle_return_ms", "ms", 100, kHour, "5000", "Time after which an idle allotment is given back."),
  System("limits", "stop_patient_ms", "ms", 0, kHour, "5000", "Time after which a lowered limit stops patient work."),
  System("limits", "stop_any_ms", "ms", 0, kHour, "10000", "Time after which a lowered limit stops any work."),
  System("limits", "transaction_ms", "ms", 10, kMinute, "1000", "Least time between two allotment transactions of a slice."),
  System("requests", "deadline_max_ms", "ms", 100, kLargestDeadlineMs, "30000", "Largest deadline of a service request; a larger one is refused."),
  System("requests", "deadline_default_ms", "ms", 100, kLargestDeadlineMs, "10000", "Deadline of a service request that names none; deadline_max_ms if that is smaller."),
  System("requests", "body_max_bytes", "bytes", 1024, kLargestBody, "983040", "Largest body of a service request."),
  System("requests", "queue_urgent", "requests", 1, 1'000'000, "1000", "Bound of the queue of urgent requests of a slice."),
  System("requests", "queue_interactive", "requests", 1, 1'000'000, "2000", "Bound of the queue of interactive requests of a slice."),
  System("requests", "queue_patient", "requests", 1, 1'000'000, "10000", "Bound of the queue of patient requests of a slice."),
  Number(Scope::System, "requests", "retry_budget", Real, "fraction", 0, 1, "0.1", "Retries as a fraction of the requests."),
  System("requests", "retry_backoff_ms", "ms", 1, kMinute, "20", "First back-off before a retry; it doubles with each."),
  System("requests", "record_writes_per_second", "writes/s", 1, 10'000, "200", "Budget of group commits of all fronts together."),
  System("requests", "record_batch_max", "records", 1, 10'000, "200", "Records in one group commit."),
  System("settings", "poll_ms", "ms", 50, kMinute, "1000", "Time between two checks of the settings version."),
  System("settings", "key_freshness_ms", "ms", 500, kMinute, "5000", "Age of the settings version from which keyed work is refused."),
  System("vm_list", "poll_ms", "ms", 50, kMinute, "1000", "Time between two reads of the list of VMs."),
  System("vm_list", "gone_polls", "reads", 1, 100, "3", "Reads in a row without a VM after which it counts as gone."),
  System("timeline", "ring_bytes", "bytes", 65'536, 67'108'864, "4194304", "Bound of the ring of time line events of a process."),
  { Scope::System, "queue.*", "access", Choice, "", 1, kMaxText, "team", false, "team,open", "Who may submit: listed teams with a key, or anyone." },
  { Scope::System, "queue.*", "teams", NameList, "", 1, 4000, "", true, "", "Teams of the queue; work on an open queue counts for the first." },
  System("service.*", "slots", "requests", 1, 1024, "8", "Requests that an endpoint runs at once, if the list of VMs does not say."),
  System("service.*", "connections", "connections", 1, 4096, "64", "Connections to one endpoint, if the list of VMs does not say."),
  { Scope::System, "service.*", "idempotent_methods", NameList, "", 1, 4000, "", false, "", "Methods that may be retried after dispatch." },

  Number(Scope::Team, "team", "weight", Real, "", 0.001, 1'000'000, "1", "Share of the team relative to the other teams."),
  Number(Scope::Team, "team", "limit.millicores", Integer, "millicores", 0, 1e12, "", "Upper limit of running tasks; none if absent."),
  Number(Scope::Team, "team", "limit.requests", Integer, "requests", 0, 1e9, "", "Upper limit of running service requests; none if absent."),
  { Scope::Team, "team", "removed", Boolean, "", 1, kMaxText, "false", false, "", "The team has been removed; nothing is taken for it any more." },
  { Scope::Team, "team", "key.*", KeyDigest, "", 1, kMaxText, "", false, "", "Digest of a key of the team." },
  { Scope::Team, "team", "key_state.*", Choice, "", 1, kMaxText, "active", false, "active,withdrawn", "State of the key of the same id." },
};
// clang-format on

bool
IsHex(std::string_view aText)
{
  return std::ranges::all_of(aText, [](char aChar) {
    return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'f');
  });
}

constexpr std::size_t kDigestDigits = 64;
constexpr std::size_t kSaltDigits = 32;

bool
IsDigest(std::string_view aText)
{
  return aText.size() == kDigestDigits && IsHex(aText);
}

bool
IsKeyDigest(std::string_view aText)
{
  return aText.size() == kSaltDigits + 1 + kDigestDigits &&
         aText[kSaltDigits] == ':' && IsHex(aText.substr(0, kSaltDigits)) &&
         IsDigest(aText.substr(kSaltDigits + 1));
}

bool
IsAddress(std::string_view aText)
{
  return leaf::try_handle_all(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(net::ParseAddress(aText));
      return true;
    },
    [] { return false; });
}

bool
IsReachableAddress(std::string_view aText)
{
  return leaf::try_handle_all(
    [&]() -> Result<bool> {
      BOOST_LEAF_AUTO(address, net::ParseAddress(aText));
      return !address.IsWildcard();
    },
    [] { return false; });
}

std::string
NumberText(double aNumber)
{
  std::ostringstream out;
  out.precision(15);
  out << aNumber;
  return out.str();
}

std::string
CheckNumber(const SettingDef& aSetting, std::string_view aValue)
{
  double number = 0;
  bool whole = false;
  const char* const end = aValue.data() + aValue.size();
  if (aSetting.m_type == Integer) {
    std::int64_t integer = 0;
    const auto parsed = std::from_chars(aValue.data(), end, integer);
    whole = parsed.ec == std::errc() && parsed.ptr == end;
    number = static_cast<double>(integer);
  } else {
    const auto parsed =
      std::from_chars(aValue.data(), end, number, std::chars_format::fixed);
    whole =
      parsed.ec == std::errc() && parsed.ptr == end && std::isfinite(number);
  }
  if (whole && number >= aSetting.m_min && number <= aSetting.m_max) {
    return "";
  }
  std::string text = "expected ";
  text += aSetting.m_type == Integer ? "an integer" : "a number";
  text +=
    " from " + NumberText(aSetting.m_min) + " to " + NumberText(aSetting.m_max);
  if (!aSetting.m_unit.empty()) {
    text += " (" + std::string(aSetting.m_unit) + ")";
  }
  return text;
}

std::string
CheckList(std::string_view aValue,
          bool (*aIsItem)(std::string_view),
          const char* aExpected)
{
  const auto items = SplitList(aValue);
  auto sorted = items;
  std::ranges::sort(sorted);
  const bool unique = std::ranges::adjacent_find(sorted) == sorted.end();
  const bool valid = std::ranges::all_of(items, aIsItem);
  return !items.empty() && unique && valid ? "" : aExpected;
}

} // namespace

std::span<const SettingDef>
AllSettings()
{
  return kSettings;
}

bool
MatchesPattern(std::string_view aPattern, std::string_view aName)
{
  if (!aPattern.ends_with(".*")) {
    return aPattern == aName;
  }
  const auto prefix = aPattern.substr(0, aPattern.size() - 1);
  return aName.starts_with(prefix) && IsName(aName.substr(prefix.size()));
}

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::ranges::all_of(aText, [](char aChar) {
           return (aChar >= 'a' && aChar <= 'z') ||
                  (aChar >= '0' && aChar <= '9') || aChar == '-' ||
                  aChar == '_';
         });
}

const SettingDef*
FindSetting(Scope aScope, std::string_view aSection, std::string_view aKey)
{
  for (const SettingDef& setting : kSettings) {
    if (setting.m_scope == aScope &&
        MatchesPattern(setting.m_section, aSection) &&
        MatchesPattern(setting.m_key, aKey)) {
      return &setting;
    }
  }
  return nullptr;
}

std::vector<std::string>
SplitList(std::string_view aText)
{
  std::vector<std::string> items;
  while (!aText.empty()) {
    const auto comma = std::min(aText.find(','), aText.size());
    std::string_view item = aText.substr(0, comma);
    aText.remove_prefix(std::min(comma + 1, aText.size()));
    while (item.starts_with(' ')) {
      item.remove_prefix(1);
    }
    while (item.ends_with(' ')) {
      item.remove_suffix(1);
    }
    items.emplace_back(item);
  }
  return items;
}

std::string
CheckValue(const SettingDef& aSetting, std::string_view aValue)
{
  const auto expect = [](bool aOk, const char* aText) -> std::string {
    return aOk ? "" : std::string("expected ") + aText;
  };
  switch (aSetting.m_type) {
    case Integer:
    case Real:
      return CheckNumber(aSetting, aValue);
    case Name:
      return expect(IsName(aValue),
                    "a name of 1 to 32 lower-case letters, digits, '-' or '_'");
    case NameList:
      return CheckList(
        aValue, IsName, "expected different names divided by commas");
    case Address:
      return expect(IsAddress(aValue), "an address IP:PORT");
    case ReachableAddress:
      return expect(IsReachableAddress(aValue),
                    "an address IP:PORT other than 0.0.0.0 and [::]");
    case AddressList:
      return CheckList(
        aValue, IsAddress, "expected different addresses divided by commas");
    case Boolean:
      return expect(aValue == "true" || aValue == "false", "true or false");
    case Choice: {
      const auto choices = SplitList(aSetting.m_choices);
      const bool known = std::ranges::find(choices, aValue) != choices.end();
      return known ? "" : "expected one of " + std::string(aSetting.m_choices);
    }
    case Digest:
      return expect(IsDigest(aValue), "64 hexadecimal digits");
    case KeyDigest:
      return expect(IsKeyDigest(aValue),
                    "a salt of 32 and a digest of 64 hexadecimal digits "
                    "divided by ':'");
    case Text:
    case Secret:
      return expect(static_cast<double>(aValue.size()) >= aSetting.m_min &&
                      static_cast<double>(aValue.size()) <= aSetting.m_max,
                    "a text of 1 to 150 bytes");
  }
  return "expected nothing";
}

std::string
SettingsPage()
{
  std::ostringstream out;
  out << "# Settings\n\nGenerated by `lacewing-settings-doc settings` from "
         "the table in `src/settings/Schema.cpp`.\n";
  const auto heading = [](Scope aScope) -> const char* {
    switch (aScope) {
      case Scope::Bootstrap:
        return "Bootstrap file of a process";
      case Scope::System:
        return "Subtree `system`";
      case Scope::Team:
        return "Subtree `team.<name>`";
    }
    return "";
  };
  const SettingDef* last = nullptr;
  for (const SettingDef& setting : kSettings) {
    if (last == nullptr || last->m_scope != setting.m_scope) {
      out << "\n## " << heading(setting.m_scope) << "\n";
    }
    if (last == nullptr || last->m_scope != setting.m_scope ||
        last->m_section != setting.m_section) {
      out << "\n### `[" << setting.m_section << "]`\n\n"
          << "| key | type | unit | range | default | description |\n"
          << "|---|---|---|---|---|---|\n";
    }
    const bool isNumber = setting.m_type == Integer || setting.m_type == Real;
    std::string range(setting.m_choices);
    if (isNumber) {
      range = NumberText(setting.m_min) + " to " + NumberText(setting.m_max);
    }
    const std::string standard =
      setting.m_required ? "required" : std::string(setting.m_default);
    out << "| `" << setting.m_key << "` | " << NameOf(setting.m_type) << " | "
        << setting.m_unit << " | " << range << " | " << standard << " | "
        << setting.m_description << " |\n";
    last = &setting;
  }
  return out.str();
}

} // namespace lacewing::settings
