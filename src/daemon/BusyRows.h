/// The requests that run on a service slice, as the slice's row has them after
/// a planned release.
#pragma once

#include "routing/RequestRouter.h"

#include <cstdint>
#include <map>
#include <string>

namespace lacewing::daemon {

/// Counts by the name of an endpoint's VM, or of a team after a prefix.
std::map<std::string, std::int64_t>
ToRowCounts(const routing::BusyCounts& aCounts);
routing::BusyCounts
FromRowCounts(const std::map<std::string, std::int64_t>& aRow);

} // namespace lacewing::daemon
