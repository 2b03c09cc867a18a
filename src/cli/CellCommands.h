/// Commands that show and change the state of the cell: members, nodes, top,
/// drain, timeline.
#pragma once

#include "cli/CommandContext.h"

namespace lacewing::cli {

Result<void>
Members(CommandContext& aContext);
Result<void>
Nodes(CommandContext& aContext);
Result<void>
Top(CommandContext& aContext);
/// Starts the planned stop of an entry daemon and waits until it has left.
Result<void>
Drain(CommandContext& aContext);

} // namespace lacewing::cli
