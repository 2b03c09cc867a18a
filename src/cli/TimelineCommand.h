/// Command that merges the time lines of all entry daemons.
#pragma once

#include "cli/CommandContext.h"

namespace lacewing::cli {

/// Prints the events of all reachable members in their order; says on the
/// progress output which members could not be read.
Result<void>
Timeline(CommandContext& aContext);

} // namespace lacewing::cli
