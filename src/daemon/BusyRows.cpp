#include "daemon/BusyRows.h"

namespace lacewing::daemon {

namespace {

/// Begins the names of teams among the busy counts in a slice's row.
constexpr std::string_view kTeamCountPrefix = "team:";

} // namespace

std::map<std::string, std::int64_t>
ToRowCounts(const routing::BusyCounts& aCounts)
{
  std::map<std::string, std::int64_t> busy;
  for (const auto& [vm, count] : aCounts.m_byEndpoint) {
    busy[vm.Value()] = count;
  }
  for (const auto& [team, count] : aCounts.m_byTeam) {
    busy[std::string(kTeamCountPrefix) + team.Value()] = count;
  }
  return busy;
}

routing::BusyCounts
FromRowCounts(const std::map<std::string, std::int64_t>& aRow)
{
  routing::BusyCounts counts;
  for (const auto& [name, count] : aRow) {
    const int slots = static_cast<int>(count);
    if (name.starts_with(kTeamCountPrefix)) {
      counts.m_byTeam[TeamId(name.substr(kTeamCountPrefix.size()))] = slots;
    } else {
      counts.m_byEndpoint[VmId(name)] = slots;
    }
  }
  return counts;
}

} // namespace lacewing::daemon
